#!/usr/bin/env bash
# Runs all benchmarks and collects their output in out/bench.txt, in lines of
# the form NAME VALUE UNIT. First argument: the build folder.
set -eu -o pipefail
cd "$(dirname "$0")/.."
build=$1
mkdir -p out
: >out/bench.txt
for program in "$build"/bench/*; do
    [ -x "$program" ] && [ -f "$program" ] || continue
    "$program" | tee -a out/bench.txt
done
