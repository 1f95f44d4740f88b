#!/usr/bin/env bash
# Installs the missing ones of the Debian packages that building and checking
# need.
set -eu
packages="build-essential cmake pkg-config clang clang-format clang-tidy
 cppcheck libclang-rt-14-dev liburcu-dev libmsgpack-dev libargtable2-dev
 libinih-dev libxxhash-dev libsodium-dev libcunit1-dev libhttp-parser-dev
 libjansson-dev zlib1g-dev"
missing=""
for package in $packages; do
    if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed'; then
        missing="$missing $package"
    fi
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
as_root=""
[ "$(id -u)" = 0 ] || as_root=sudo
$as_root apt-get update -q >/dev/null
# shellcheck disable=SC2086
$as_root apt-get install -y -q $missing >/dev/null
