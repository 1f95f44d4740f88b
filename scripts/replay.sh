#!/usr/bin/env bash
# Runs every trace, several at a time, and replays every kept recording; a
# line for each: the stated and the seen outcome. Exit 1 when one differs.
# First argument: the build folder; further ones: traces instead of all.
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
