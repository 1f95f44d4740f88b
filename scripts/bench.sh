#!/usr/bin/env bash
# Runs every program of the build's bench folder; each prints lines of
# NAME VALUE UNIT. First argument: the build folder.
set -eu -o pipefail
cd "$(dirname "$0")/.."
build=$1
mkdir -p out
: >out/bench.txt
for program in "$build"/bench/*; do
    [ -x "$program" ] && [ -f "$program" ] || continue
    "$program" | tee -a out/bench.txt
done
