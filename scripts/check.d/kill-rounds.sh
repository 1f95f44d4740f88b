#!/usr/bin/env bash
# A short run of scripts/kill-rounds.sh. First argument: the build folder.
exec "$(dirname "$0")/../kill-rounds.sh" "$1" 8
