#!/usr/bin/env bash
# Runs fleet experiments and plots them to out/. With a second build, prints for
# each second the share of requests answered in time with either build.
# Arguments: the build folder; optionally --against FOLDER with the second
# build; optionally experiments, by default all of traces/fleet.
set -eu
cd "$(dirname "$0")/.."
build=$1
shift
other=""
if [ "${1:-}" = --against ]; then
    other=$2
    shift 2
fi
[ $# -gt 0 ] || set -- traces/fleet/*.ini
mkdir -p out
verdict=0
for file in "$@"; do
    name=$(basename "$file" .ini)
    "$build/replay/fleet_run" --svg "out/fleet-$name.svg" "$file" || verdict=1
    [ -n "$other" ] || continue
    "$other/replay/fleet_run" "$file" || true
    echo "second   this  other"
    paste <("$build/replay/fleet_run" --table "$file") \
        <("$other/replay/fleet_run" --table "$file") |
        awk '$1 ~ /^[0-9]+$/ { printf "%6d  %5.3f  %5.3f\n", $1, $6, $13 }'
done
exit "$verdict"
