#!/usr/bin/env bash
# Checks the tour of README.md: callers get answers, and while zone a is
# evacuated only from the upstream of zone b. First argument: the build folder.
set -eu
cd "$(dirname "$0")/../.."
mkdir -p out
scripts/tour.sh "$1" >out/tour.log || { cat out/tour.log; exit 1; }
for request in seven eight nine; do
    grep -q "caller asks \"$request\": echo-2 got: $request" out/tour.log
done
