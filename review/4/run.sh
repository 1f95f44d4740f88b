#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 when the rule was broken, with 0
# when it held, and with 2 when the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
RECORD="review/4/record.txt" timeout -s KILL 110 target/review/case-4
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
