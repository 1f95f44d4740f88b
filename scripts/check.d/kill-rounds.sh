#!/usr/bin/env bash
# Runs eight rounds of scripts/kill-rounds.sh. First argument: the build folder.
exec "$(dirname "$0")/../kill-rounds.sh" "$1" 8
