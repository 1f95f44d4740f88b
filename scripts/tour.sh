#!/usr/bin/env bash
# Runs the tour of README.md: a site of three processes with two upstreams, on
# 127.0.61.x to 127.0.64.x. Prints each operator command before running it, and
# at the end the decisions that the processes logged. Exits with 1 if a caller
# got no answer. First argument: the build folder.
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
run_printed() {
    echo "\$ $*"
    "$@"
}

savoryledgectl() {
    "$build/savoryledgectl" --control 127.0.61.1:7001 --key-file site.key "$@"
}

# Sends a request as a caller from a new socket, and checks the answer.
send_request() {
    exec 3<>/dev/udp/127.0.64.1/5001
    printf '%s' "$1" >&3
    answer=$(timeout 2 dd bs=1200 count=1 2>/dev/null <&3 || true)
    exec 3>&-
    echo "caller asks \"$1\": ${answer:-no answer}"
    case $answer in *" got: $1") ;; *) return 1 ;; esac
}

start_program() { # log, command...
    "${@:2}" 2>"$1.log" &
    pids+=($!)
}

run_printed savoryledgectl key new site.key
start_program first "$build/savoryledged" first.ini
for i in 1 2; do
    start_program "echo-$i" "$build/savoryledged" "echo-$i.ini"
    start_program "upstream-$i" "$build/example/echo" "127.0.63.$i:5001" \
        "echo-$i"
done
for _ in $(seq 100); do
    found=$(savoryledgectl list upstream 2>/dev/null | grep -c '^node' || true)
    [ "$found" = 3 ] && break
    sleep 0.1
done
run_printed savoryledgectl list upstream
run_printed savoryledgectl create zone a
run_printed savoryledgectl create zone b
run_printed savoryledgectl create group echoes --selector app=echo
run_printed savoryledgectl create service echo --address 127.0.64.1:5001 \
    --selector name=echoes
run_printed savoryledgectl wait
for request in one two three four five six; do
    send_request "$request"
done
run_printed savoryledgectl zone out a --reason "water in the rack"
run_printed savoryledgectl wait
for request in seven eight nine; do
    send_request "$request"
done
run_printed savoryledgectl show zone a
run_printed savoryledgectl zone in a
run_printed savoryledgectl wait
echo
run_printed savoryledgectl explain zone a ./*.log
echo
echo "what the processes decided:"
grep -hE ' (route|admit|refuse|zone_left|committed) ' ./*.log |
    sed 's/^<.>//' | sort -t= -k2,2n | tail -20
