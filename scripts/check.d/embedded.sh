#!/usr/bin/env bash
# Checks that example/embedded_core succeeds, prints the same in two runs, and
# has fewer than 300 lines. First argument: the build folder.
set -eu
cd "$(dirname "$0")/../.."
[ "$(wc -l <example/embedded_core.c)" -lt 300 ] || {
    echo "example/embedded_core.c has 300 lines or more"
    exit 1
}
mkdir -p out
"$1/example/embedded_core" >out/embedded.1
"$1/example/embedded_core" >out/embedded.2
cmp out/embedded.1 out/embedded.2
tail -1 out/embedded.1
