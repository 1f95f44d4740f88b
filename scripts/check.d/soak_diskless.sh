#!/usr/bin/env bash
# Runs a short soak in which most control processes have no disk, one control
# instance is replaced, and all processes are lost at the end, for some of them
# with two disks. First argument: the build folder. Seeds that failed once:
# 61 reads were refused by processes without a disk; a new control instance
#    joined no group
# 62 reads were refused by processes without a disk
set -u
cd "$(dirname "$0")/../.."
export SOAK_OPTIONS="--controls 6 --diskless 10 --entries 6 --size 12 \
--replacements 1 --losses 1"
scripts/soak.sh "$1" 30 3 61 62 63
