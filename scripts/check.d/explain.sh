#!/usr/bin/env bash
# explain prints the same events, sorted by time, from a log collector's file of
# several processes and from the log file of one process.
# First argument: the build folder.
set -eu
cd "$(dirname "$0")/../.."
flow='tcp:192.0.2.9:1025>198.51.100.7:443'
mkdir -p out
explained=$("$1/savoryledgectl" explain flow "$flow" test/logs/collected.log)
expected="9.500000 entry-1 offered $flow to agent-1: it has the lowest load for its slots; 1 of 2 slots in use (SL1108, version 2.9)
9.500700 agent-1 declined $flow: its upstream returned the segment; 2 of 2 slots in use; it has not run here (SL1217, version 2.9)
9.501500 entry-1 was notified that agent-1 declined $flow: its upstream returned the segment (SL1109, version 2.9)
9.710000 entry-1 reset $flow after 2 agents declined it, 110000 us after it arrived; it has not run. Reason of the last agent: all slots are in use (SL1110, version 2.9)"
[ "$explained" = "$expected" ] || { diff <(echo "$expected") <(echo "$explained"); exit 1; }

sed -n 's/^ *[0-9.]* entry-1 \(<.*t=.*\)/\1/p' test/logs/collected.log >out/entry-1.log
"$1/savoryledgectl" explain flow "$flow" out/entry-1.log >out/explain.txt
[ "$(grep -c '^70\.[0-9]* entry-1 ' out/explain.txt)" = 3 ] || {
    cat out/explain.txt
    exit 1
}
if "$1/savoryledgectl" explain flow "" test/logs/collected.log \
    >out/explain.txt 2>&1; then
    echo "an empty name was accepted"
    exit 1
fi
if "$1/savoryledgectl" explain flow tcp:192.0.2.1:1 test/logs/collected.log \
    2>out/explain.txt; then
    echo "an unknown flow was explained"
    exit 1
fi
