#!/usr/bin/env bash
# Runs each fuzz target with a fixed number of inputs and a fixed seed, starting
# from its corpus in fuzz/corpus. FUZZ_RUNS and FUZZ_SEED override the number
# and the seed. New inputs and inputs that fail are written to out/fuzz, not to
# fuzz/corpus.
set -eu
cd "$(dirname "$0")/.."
runs=${FUZZ_RUNS:-200000}
seed=${FUZZ_SEED:-1}
scripts/build-fuzz.sh >/dev/null
failed=0
for source in fuzz/*_fuzz.c; do
    name=$(basename -s _fuzz.c "$source")
    mkdir -p "out/fuzz/$name"
    if "build-fuzz/fuzz/${name}_fuzz" -runs="$runs" -seed="$seed" \
        -max_len=2048 -artifact_prefix="out/fuzz/$name-" \
        "out/fuzz/$name" "fuzz/corpus/$name" >"out/fuzz/$name.log" 2>&1; then
        echo "ok      $name $runs runs, seed $seed"
    else
        failed=1
        echo "FAILED  $name, seed $seed"
        tail -30 "out/fuzz/$name.log"
    fi
done
exit "$failed"
