#!/usr/bin/env bash
# Runs a short soak in which everything takes 250 ms one way to control
# instances. First argument: the build folder. Seeds that failed once:
# 91050 no change was accepted and no request answered
# 91051 the same
set -u
cd "$(dirname "$0")/../.."
export SOAK_OPTIONS="--controls 6 --diskless 3 --entries 6 --size 15 \
--restarts-only --control-delay 250"
scripts/soak.sh "$1" 20 2 91050 91051
