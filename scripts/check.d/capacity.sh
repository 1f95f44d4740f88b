#!/usr/bin/env bash
# Recomputes every sum of docs/CAPACITY.md from the values of its own tables,
# and finds each slope's name in the benchmarks.
set -eu
cd "$(dirname "$0")/../.."
page=docs/CAPACITY.md

# "name value" of the tables Target and Slopes.
values() {
    awk -F'|' '/^## /{ part = $0 }
        (part == "## Target" || part == "## Slopes") && $2 ~ /^ `/ {
            gsub(/[ `]/, "", $2); gsub(/ /, "", $3); print part, $2, $3 }' \
        "$page"
}

faults=0
mkdir -p out
while read -r _ part name value; do
    [ "$part" = Slopes ] || continue
    # Sizes and some words come into the names by a format.
    stem=$(echo "$name" | sed -E 's/_[0-9]+$//; s/_(object|endpoint)_/_%s_/')
    grep -qF "$stem" bench/*.c || { echo "no benchmark gives $name"; faults=1; }
done < <(values)

{
    echo 'BEGIN {'
    values | awk '{ print $3 " = " $4 }'
    awk -F'|' '/^## /{ part = $0 }
        part == "## Sums" && $3 ~ /^ `/ {
            gsub(/`/, "", $3); gsub(/ /, "", $4)
            printf "check(\"%s\", %s, %s)\n", $2, $3, $4 }' "$page"
    echo 'print sums " sums"; exit faults || sums < 15 }'
    echo 'function check(what, is, told,   off) {
        sums++
        off = is > told ? is - told : told - is
        if (off > told * 0.01) {
            print "wrong:" what "is " is ", told " told; faults = 1 } }'
} >out/capacity.awk
awk -f out/capacity.awk </dev/null || faults=1
exit "$faults"
