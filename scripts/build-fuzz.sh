#!/usr/bin/env bash
# Builds the fuzz targets in build-fuzz with clang, with the address and
# undefined-behaviour sanitizers.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B build-fuzz -DCMAKE_C_COMPILER=clang -DSL_FUZZ=ON \
    -DSL_SANITIZE=address,undefined \
    -DCMAKE_C_FLAGS="-fsanitize=fuzzer-no-link -fno-sanitize-recover=all" \
    >/dev/null
targets=$(basename -s .c fuzz/*_fuzz.c)
# shellcheck disable=SC2086
cmake --build build-fuzz -j "$(nproc)" --target $targets
