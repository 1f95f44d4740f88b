#!/usr/bin/env bash
# Recomputes every sum in docs/CAPACITY.md from the values in its tables, with
# a tolerance of 1 percent, and checks that a benchmark exists for each slope.
set -eu
cd "$(dirname "$0")/../.."
page=docs/CAPACITY.md

# Prints "## TABLE NAME VALUE" for each row of the tables Target and Slopes.
values() {
    awk -F'|' '/^## /{ part = $0 }
        (part == "## Target" || part == "## Slopes") && $2 ~ /^ `/ {
            gsub(/[ `]/, "", $2); gsub(/ /, "", $3); print part, $2, $3 }' \
        "$page"
}

failed=0
mkdir -p out
while read -r _ part name value; do
    [ "$part" = Slopes ] || continue
    # Benchmarks insert sizes, object and endpoint into names with a format.
    stem=$(echo "$name" | sed -E 's/_[0-9]+$//; s/_(object|endpoint)_/_%s_/')
    grep -qF "$stem" bench/*.c ||
        { echo "no benchmark prints $name"; failed=1; }
done < <(values)

{
    echo 'BEGIN {'
    values | awk '{ print $3 " = " $4 }'
    awk -F'|' '/^## /{ part = $0 }
        part == "## Sums" && $3 ~ /^ `/ {
            gsub(/`/, "", $3); gsub(/ /, "", $4)
            printf "check(\"%s\", %s, %s)\n", $2, $3, $4 }' "$page"
    echo 'print sums " sums"; exit failed || sums < 15 }'
    echo 'function check(name, computed, stated,   deviation) {
        sums++
        deviation = computed > stated ? computed - stated : stated - computed
        if (deviation > stated * 0.01) {
            print "wrong sum:" name "computed " computed ", stated " stated
            failed = 1 } }'
} >out/capacity.awk
awk -f out/capacity.awk </dev/null || failed=1
exit "$failed"
