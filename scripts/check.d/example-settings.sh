#!/usr/bin/env bash
# Every settings file of the examples passes the daemon's check.
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
[ "$count" -ge 8 ] || { echo "only $count files were found"; exit 1; }
sed 's/^zone = .*/zone = a b/' "$file" >broken.ini
if "$build/savoryledged" --check broken.ini; then
    echo "a broken file passed"
    exit 1
fi
