#!/usr/bin/env bash
# Runs a small demonstration and keeps the recordings of five of its processes
# among the traces: a control, an agent of the zone taken out, a drained one, a
# TCP one and the entry that was killed. Wanted after a change of decisions or
# events, since kept recordings hold the cores to the same ones. First
# argument: the build folder.
set -eu
cd "$(dirname "$0")/.."
build=$1
DEMO_RECORD=yes DEMO_SHARE=20 scripts/demo.sh "$build"
mkdir -p traces/recordings
for name in control-1 catalogue-2 workroom-1 orders-2 entry-2; do
    cp "out/demo/$name.rec" "traces/recordings/$name.rec"
    chmod 644 "traces/recordings/$name.rec"
done
"$build/replay/recording_replay" traces/recordings/*.rec
