#!/usr/bin/env bash
# Checks the format of all sources and runs the linters. First argument: a
# configured build folder, from which clang-tidy reads the compile commands.
set -eu -o pipefail
build=$1
# shellcheck disable=SC2046
clang-format --dry-run --Werror $(git ls-files '*.c' '*.h')
git ls-files 'packages/*.c' 'platform/*.c' 'example/*.c' |
    xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$build" 2>/dev/null
cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr -j "$(nproc)" \
    --enable=warning,portability --suppress=missingIncludeSystem \
    -I packages/common/include packages platform
