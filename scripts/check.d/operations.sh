#!/usr/bin/env bash
# Checks that docs/OPERATIONS.md describes every setting and every command, and
# no setting that does not exist. First argument: the build folder.
set -eu
cd "$(dirname "$0")/../.."
page=docs/OPERATIONS.md
failed=0

list_settings() {
    sed -nE 's/^ *(KEY|NUMBER)\(([a-z]+), ([a-z_]+),.*/\2.\3/p;
             s/^ *(PORT_KEY|RATE)\(([a-z]+), "([a-z_]+)",.*/\2.\3/p' \
        packages/daemon/src/settings.c
}

[ "$(list_settings | wc -l)" -ge 20 ] || {
    echo "found fewer than 20 settings in settings.c"
    exit 1
}
for key in $(list_settings); do
    grep -qF "\`$key\`" "$page" ||
        { echo "setting not described: $key"; failed=1; }
done
for key in $(grep -oE '`(node|security|control|entry|agent|relay|record)\.[a-z_]+`' \
    "$page" | tr -d '`' | sort -u); do
    list_settings | grep -qx "$key" ||
        { echo "described setting does not exist: $key"; failed=1; }
done
"$1/savoryledgectl" --help |
    sed -nE '/^Commands:/,/^$/s/^  ([a-z]+) ?([a-z]*).*/\1 \2/p' |
    while read -r first second; do
        case "$first" in
        zone | upstream | member | record | key) words="$first $second" ;;
        *) words=$first ;;
        esac
        grep -qE "\`$words[ \`]" "$page" ||
            { echo "command not described: $words"; exit 1; }
    done || failed=1
exit "$failed"
