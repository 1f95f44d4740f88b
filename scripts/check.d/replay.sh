#!/usr/bin/env bash
# Runs all traces and kept recordings, and checks that a trace with a wrong
# stated outcome is reported as different. First argument: the build folder.
set -u
cd "$(dirname "$0")/../.."
build=$1
scripts/replay.sh "$build" || exit 1
changed=out/changed-outcome.trace
mkdir -p out
sed 's/^expect broken = 0$/expect broken = 1/' traces/kotetsi-relabel.trace |
    sed "s|^include |include ../traces/|" >"$changed"
if "$build/replay/trace_run" "$changed"; then
    echo "a trace with a wrong stated outcome was accepted"
    exit 1
fi
echo "a trace with a wrong stated outcome was rejected, as expected"
