#!/usr/bin/env bash
# A short soak with a fixed seed, and every seed that ever failed
# (soak/seeds: one a line, with the cause). First argument: the build folder.
set -u
cd "$(dirname "$0")/../.."
seeds=$(sed -nE 's/^([0-9]+) .*/\1/p' soak/seeds)
# shellcheck disable=SC2086
scripts/soak.sh "$1" 6 3 7 $seeds
