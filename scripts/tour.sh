#!/usr/bin/env bash
# The tour of README.md: a site of three processes with two upstreams, on
# 127.0.61.x to 127.0.64.x. Prints each command of the operator before it runs
# it, and ends with what the system logged. Exit 1 when a caller was not
# served. First argument: the build folder.
set -eu
cd "$(dirname "$0")/.."
build=$(cd "${1:-build}" && pwd)
run=out/tour
rm -rf "$run"
mkdir -p "$run/data"
cp example/tour/*.ini "$run"
cd "$run"
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT

# Prints a command, then runs it.
say() {
    echo "\$ $*"
    "$@"
}

savoryledgectl() {
    "$build/savoryledgectl" --control 127.0.61.1:7001 --key-file site.key "$@"
}

# Asks as a caller, from a socket of its own.
ask() {
    exec 3<>/dev/udp/127.0.64.1/5001
    printf '%s' "$1" >&3
    answer=$(timeout 2 dd bs=1200 count=1 2>/dev/null <&3 || true)
    exec 3>&-
    echo "caller asks \"$1\": ${answer:-no answer}"
    case $answer in *" got: $1") ;; *) return 1 ;; esac
}

start() { # log, command...
    "${@:2}" 2>"$1.log" &
    pids+=($!)
}

say savoryledgectl key new site.key
start first "$build/savoryledged" first.ini
for i in 1 2; do
    start "echo-$i" "$build/savoryledged" "echo-$i.ini"
    start "upstream-$i" "$build/example/echo" "127.0.63.$i:5001" "echo-$i"
done
for _ in $(seq 100); do
    found=$(savoryledgectl list upstream 2>/dev/null | grep -c '^node' || true)
    [ "$found" = 3 ] && break
    sleep 0.1
done
say savoryledgectl list upstream
say savoryledgectl create zone a
say savoryledgectl create zone b
say savoryledgectl create group echoes --selector app=echo
say savoryledgectl create service echo --address 127.0.64.1:5001 \
    --selector name=echoes
say savoryledgectl wait
for question in one two three four five six; do
    ask "$question"
done
say savoryledgectl zone out a --reason "water in the rack"
say savoryledgectl wait
for question in seven eight nine; do
    ask "$question"
done
say savoryledgectl show zone a
say savoryledgectl zone in a
say savoryledgectl wait
echo
say savoryledgectl explain zone a ./*.log
echo
echo "what the processes decided:"
grep -hE ' (route|admit|refuse|zone_left|committed) ' ./*.log |
    sed 's/^<.>//' | sort -t= -k2,2n | tail -20
