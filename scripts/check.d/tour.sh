#!/usr/bin/env bash
# The tour of README.md runs as told: callers are served, and while zone a
# is out only the one of zone b. First argument: the build folder.
set -eu
cd "$(dirname "$0")/../.."
mkdir -p out
scripts/tour.sh "$1" >out/tour.log || { cat out/tour.log; exit 1; }
for question in seven eight nine; do
    grep -q "caller asks \"$question\": echo-2 got: $question" out/tour.log
done
