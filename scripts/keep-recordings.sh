#!/usr/bin/env bash
# Runs a small demonstration and copies the recordings of five of its processes
# to traces/recordings: a control instance, an agent of the evacuated zone, a
# drained agent, a TCP agent and the killed entry. Run it after a change of
# decisions or events, because a replay of the kept recordings fails if the
# cores decide or report anything else. First argument: the build folder.
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
