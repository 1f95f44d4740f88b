#!/usr/bin/env bash
# Checks that savoryledged --check accepts every settings file in
# example/settings and rejects one with an invalid zone.
# First argument: the build folder.
set -eu
cd "$(dirname "$0")/../.."
build=$(cd "$1" && pwd)
examples=$PWD/example/settings
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
"$build/savoryledgectl" key new site.key
mkdir data
count=0
for file in "$examples"/*/*.ini; do
    "$build/savoryledged" --check "$file"
    count=$((count + 1))
done
[ "$count" -ge 8 ] || {
    echo "found only $count settings files; expected at least 8"
    exit 1
}
sed 's/^zone = .*/zone = a b/' "$file" >broken.ini
if "$build/savoryledged" --check broken.ini; then
    echo "savoryledged --check accepted an invalid zone"
    exit 1
fi
