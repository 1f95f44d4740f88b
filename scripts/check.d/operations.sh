#!/usr/bin/env bash
# docs/OPERATIONS.md names every setting and every command, and no setting
# that is gone. First argument: the build folder.
set -eu
cd "$(dirname "$0")/../.."
page=docs/OPERATIONS.md
faults=0

settings() {
    sed -nE 's/^ *(KEY|NUMBER)\(([a-z]+), ([a-z_]+),.*/\2.\3/p;
             s/^ *PORT_KEY\(([a-z]+), "([a-z_]+)",.*/\1.\2/p' \
        packages/daemon/src/settings.c
}

[ "$(settings | wc -l)" -ge 20 ] || { echo "settings.c was not read"; exit 1; }
for key in $(settings); do
    grep -qF "\`$key\`" "$page" || { echo "not described: $key"; faults=1; }
done
for key in $(grep -oE '`(node|security|control|entry|agent|relay|record)\.[a-z_]+`' \
    "$page" | tr -d '`' | sort -u); do
    settings | grep -qx "$key" || { echo "no such setting: $key"; faults=1; }
done
"$1/savoryledgectl" --help |
    sed -nE '/^Commands:/,/^$/s/^  ([a-z]+) ?([a-z]*).*/\1 \2/p' |
    while read -r first second; do
        case "$first" in
        zone | upstream | member | record | key) words="$first $second" ;;
        *) words=$first ;;
        esac
        grep -qE "\`$words[ \`]" "$page" || { echo "no command: $words"; exit 1; }
    done || faults=1
exit "$faults"
