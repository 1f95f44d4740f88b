#!/usr/bin/env bash
# Runs a short soak with a fixed seed and with every seed that ever failed.
# soak/seeds lists these, one per line with the cause. First argument: the build
# folder.
set -u
cd "$(dirname "$0")/../.."
seeds=$(sed -nE 's/^([0-9]+) .*/\1/p' soak/seeds)
# shellcheck disable=SC2086
scripts/soak.sh "$1" 6 3 7 $seeds
