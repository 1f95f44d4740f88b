#!/usr/bin/env bash
# Tests savoryledged and savoryledgectl as an operator uses them: exit codes,
# recording, malformed input, a reload of keys and a planned stop. First
# argument: the build folder.
set -eu
build=$(cd "$1" && pwd)
folder=$(mktemp -d)
pid=
clean_up() {
    [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null || true
    rm -rf "$folder"
}
trap clean_up EXIT
cd "$folder"

expect() { # exit code, command...
    local wanted=$1 got=0
    shift
    "$@" >out.txt 2>&1 || got=$?
    [ "$got" = "$wanted" ] && return 0
    echo "got exit code $got instead of $wanted: $*"
    cat out.txt
    exit 1
}

address=127.$((1 + RANDOM % 200)).$((RANDOM % 250)).1
ctl() { "$build/savoryledgectl" -C "$address:7001" "$@"; }
mkdir data
ctl key new old.key
ctl key new new.key
write_settings() { # key file lines
    cat >settings.ini <<END
[node]
name = control-1
zone = a
roles = control
tunnel = $address:7000
link = $address:7001
[security]
$1
[control]
data_folder = data
bootstrap = yes
members = control-1@$address:7001
END
}

write_settings "key_file = old.key"
expect 0 "$build/savoryledged" --version
expect 2 "$build/savoryledged"
expect 2 "$build/savoryledged" --settings absent.ini
expect 2 "$build/savoryledged" --no-such-option
"$build/savoryledged" --settings settings.ini 2>log.txt &
pid=$!
expect 0 ctl -k old.key create zone a
expect 3 ctl -k old.key create zone a
expect 3 ctl -k old.key label zone a k=v --expect 1.1
expect 5 ctl -k old.key label zone b k=v
expect 2 ctl -k old.key label zone a 'k v=1'
grep -q '"k v=1"' out.txt || { cat out.txt; exit 1; }
expect 0 ctl -k old.key create zone c --client 9 --request 1 --base 1.1
expect 0 ctl -k old.key create zone c --client 9 --request 1 --base 1.1
expect 0 ctl -k old.key wait
expect 0 ctl -k old.key list zone --json
expect 4 ctl -k new.key -t 500 list zone
expect 1 ctl -k old.key record on ../elsewhere
expect 1 ctl -k old.key record on "$folder/absolute.rec"
expect 1 ctl -k old.key record on old.key
expect 0 ctl -k old.key record on now.rec
expect 0 ctl -k old.key create zone d
expect 0 ctl -k old.key record off
[ -s now.rec ] || { echo "the recording now.rec is missing or empty"; exit 1; }

# Random bytes from unknown senders are refused and counted.
for bytes in 1 23 24 40 41 600 9000; do
    head -c "$bytes" /dev/urandom >"/dev/udp/$address/7000"
    head -c "$bytes" /dev/urandom >"/dev/tcp/$address/7001" 2>/dev/null || true
done
expect 0 ctl -k old.key metrics
for counter in datagrams_malformed links_refused_malformed; do
    grep -q "^$counter=[1-9]" out.txt || { cat out.txt; exit 1; }
done

reload() { # key file lines
    local before
    before=$(grep -c 'reason=taken' log.txt || true)
    write_settings "$1"
    kill -HUP "$pid"
    for _ in $(seq 200); do
        [ "$(grep -c 'reason=taken' log.txt)" -gt "$before" ] && return 0
        sleep 0.05
    done
    echo "the settings were not reloaded within 10 s"
    exit 1
}
reload "key_file = new.key
second_key_file = old.key"
expect 0 ctl -k new.key list zone
expect 0 ctl -k old.key list zone
reload "key_file = new.key"
expect 0 ctl -k new.key list zone
expect 4 ctl -k old.key -t 500 list zone

kill -TERM "$pid"
code=0
wait "$pid" || code=$?
pid=
grep -q 'SL1602 stopped' log.txt || { cat log.txt; exit 1; }
[ "$code" = 0 ] || { echo "a planned stop exited with code $code"; exit 1; }
