#!/usr/bin/env bash
# Runs the experiments with simulated fleets. Each states how soon after an
# event the fleet must answer requests in time again. First argument: the build
# folder.
set -eu
cd "$(dirname "$0")/../.."
exec "$1/replay/fleet_run" traces/fleet/*.ini
