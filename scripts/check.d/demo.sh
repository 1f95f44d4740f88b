#!/usr/bin/env bash
# Runs a small recorded demonstration, checks that the replay of each recording
# gives the same events, and that explain gives the reasons for the evacuated
# zone, a drained upstream and a flow given up. First argument: the build
# folder.
set -eu -o pipefail
cd "$(dirname "$0")/../.."
build=$1
DEMO_RECORD=yes DEMO_SHARE=20 DEMO_TIMED=no scripts/demo.sh "$build"
"$build/replay/recording_replay" out/demo/*.rec
expect_explanation() { # expected words; arguments of explain...
    local words=$1
    shift
    "$build/savoryledgectl" explain "$@" out/demo/*.rec >out/explained.txt
    grep -q "$words" out/explained.txt ||
        { echo "explain $*: the output does not contain \"$words\""; exit 1; }
}
expect_explanation "its availability zone changed: it is out" zone c
expect_explanation "After that" zone c
expect_explanation "asked for it" upstream workroom-1
expect_explanation "took version" process entry-1
"$build/replay/recording_replay" --events out/demo/catalogue-2.rec \
    >out/events.txt
flow=$(grep -m 1 ' reset .*reason=zone_out' out/events.txt |
    sed 's/.*flow=\([^ ]*\) .*/\1/')
expect_explanation "its availability zone is out" flow "$flow"
expect_explanation "admitted" flow "$flow"
echo "explain gives the expected reasons"
