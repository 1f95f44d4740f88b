#!/usr/bin/env bash
# Runs the soak for each of several seeds. Arguments: the build folder, seconds
# of faults, number of parallel runs, and the seeds. SOAK_OPTIONS has further
# options of soak_main. The logs of a failed seed are kept in out/soak.
set -u
build=$1
seconds=$2
jobs=$3
shift 3
mkdir -p out/soak
run_seed() { # build, seconds, net, seed
    local folder="out/soak/seed-$4"
    rm -rf "$folder"
    mkdir -p "$folder"
    # shellcheck disable=SC2086
    if "$1/soak/soak_main" --seed "$4" --seconds "$2" --net "$3" \
        ${SOAK_OPTIONS-} "$1/soak/soak_daemon" "$folder" >"$folder/soak.log" 2>&1; then
        tail -1 "$folder/soak.log"
        rm -rf "$folder"
    else
        grep BROKEN "$folder/soak.log" | sort -k2 | uniq -c -f1 | head -20
        tail -1 "$folder/soak.log"
        return 1
    fi
}
export -f run_seed
# Each run starts with a different net of loopback addresses; soak_main skips
# nets that another soak uses.
i=0
for seed in "$@"; do
    i=$((i + 1))
    echo "$((80 + i % 100)) $seed"
done | xargs -P "$jobs" -L 1 bash -c 'run_seed "$0" "$1" "$2" "$3"' \
    "$build" "$seconds"
