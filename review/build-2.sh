#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-format-truncation \
    review/standin-2/*.c -o target/review-2/cases
