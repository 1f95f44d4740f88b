#!/usr/bin/env bash
# Runs every trace, several at a time, and prints a line for each: the stated
# and the seen outcome. Exit 1 when one differs. First argument: the build
# folder; further ones: traces instead of all.
set -u
cd "$(dirname "$0")/.."
build=$1
shift
[ $# -gt 0 ] || set -- traces/*.trace
printf '%s\0' "$@" | xargs -0 -n 1 -P "$(nproc)" "$build/replay/trace_run"
verdict=$?
echo "$# traces"
[ "$verdict" = 0 ]
