#!/usr/bin/env bash
# Runs a control instance and a process without a data folder, and checks over
# HTTP that the second redirects reads and orders to the first. First argument:
# the build folder.
set -eu
build=$(cd "$1" && pwd)
folder=$(mktemp -d)
pids=()
clean_up() {
    [ ${#pids[@]} = 0 ] || kill -KILL "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$folder"
}
trap clean_up EXIT
cd "$folder"
net=127.$((1 + RANDOM % 200)).$((RANDOM % 250))

start() { # last byte of the address, line with the data folder or nothing
    local ip=$net.$1
    cat >"$1.ini" <<END
[node]
name = control-$ip
zone = a
roles = control
tunnel = $ip:7001
link = $ip:7001
[security]
open = yes
[control]
$2
bootstrap = yes
seeds = $net.1:7002
seed_port = 7001
self_forming = yes
[relay]
adapter = platform
control = $ip:7002
END
    "$build/savoryledged" "$1.ini" >"$1.log" 2>&1 &
    pids+=($!)
}

ask() { # method, last byte of the address, body; prints status and location
    exec 3<>"/dev/tcp/$net.$2/7002" || return 0
    printf '%s /api/config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s' \
        "$1" "${#3}" "$3" >&3
    timeout 3 sed -n '/^HTTP/s/^[^ ]* \([0-9]*\).*/\1/p
        s/^[Ll]ocation: *\(.*\)\r$/\1/p; /^\r$/q' <&3 | tr '\n' ' '
    exec 3>&-
}

expect() { # words, method, last byte of the address, body
    local words=$1 got=
    shift
    for _ in $(seq 60); do
        got=$(ask "$@" 2>/dev/null || true)
        [ "$got" = "$words " ] && return 0
        sleep 0.1
    done
    echo "$1 at $net.$2: got \"$got\" instead of \"$words\""
    cat ./*.log
    exit 1
}

config='{"version":7,"routes":[],"services":[],"limits":{}}'
start 2 ""
expect 503 GET 2 ""
mkdir data
start 1 "data_folder = data"
expect 200 PUT 1 "$config"
expect 200 GET 1 ""
expect "307 http://$net.1:7002/api/config" GET 2 ""
expect "307 http://$net.1:7002/api/config" PUT 2 "$config"
echo "a process without a data folder redirects reads and orders"
