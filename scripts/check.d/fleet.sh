#!/usr/bin/env bash
# Plays the experiments with simulated fleets; each states how soon after an
# event it is to serve again. First argument: the build folder.
set -eu
cd "$(dirname "$0")/../.."
exec "$1/replay/fleet_run" traces/fleet/*.ini
