#!/usr/bin/env bash
# Runs the fuzz targets on the inputs in fuzz/corpus, without new inputs.
set -eu
cd "$(dirname "$0")/../.."
scripts/build-fuzz.sh
for source in fuzz/*_fuzz.c; do
    name=$(basename -s _fuzz.c "$source")
    "build-fuzz/fuzz/${name}_fuzz" -runs=0 "fuzz/corpus/$name"
done
