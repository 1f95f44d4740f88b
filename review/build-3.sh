#!/bin/sh
# Builds the stand-ins of the third review in target/review-3. Run it in the
# repository, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in flows announce; do
    ${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -o "target/review-3/$program" \
        "review/standin-3/$program.c" review/standin-3/site.c -lpthread
done
