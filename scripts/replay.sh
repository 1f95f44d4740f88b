#!/usr/bin/env bash
# Runs all traces in parallel and replays all kept recordings. Prints for each
# trace the stated and the measured outcome; exits with 1 if any differs.
# Arguments: the build folder; optionally traces, which are then run instead of
# all traces and recordings.
set -u
cd "$(dirname "$0")/.."
build=$1
shift
verdict=0
if [ $# -eq 0 ]; then
    set -- traces/*.trace
    recordings=(traces/recordings/*.rec)
    if [ -e "${recordings[0]}" ]; then
        "$build/replay/recording_replay" "${recordings[@]}" || verdict=1
        echo "${#recordings[@]} recordings"
    fi
fi
printf '%s\0' "$@" | xargs -0 -n 1 -P "$(nproc)" "$build/replay/trace_run" ||
    verdict=1
echo "$# traces"
exit "$verdict"
