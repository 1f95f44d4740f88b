#!/usr/bin/env bash
# explain place asks a relay entry where it would offer a flow: the errors, and
# the explanation once the entry has a plan. First argument: the build folder.
set -eu
build=$(cd "$1" && pwd)
folder=$(mktemp -d)
pids=()
clean_up() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap clean_up EXIT
cd "$folder"

expect() { # exit code, pattern, command...
    local wanted=$1 pattern=$2 got=0
    shift 2
    "$@" >out.txt 2>&1 || got=$?
    [ "$got" = "$wanted" ] && grep -qE -- "$pattern" out.txt && return 0
    echo "got exit code $got, wanted $wanted with \"$pattern\": $*"
    cat out.txt
    exit 1
}
retry() { # command...
    for _ in $(seq 50); do
        "$@" >out.txt 2>&1 && return 0
        sleep 0.1
    done
    echo "no success in time: $*"
    cat out.txt ./*.log
    exit 1
}

net=127.$((1 + RANDOM % 200)).$((RANDOM % 250))
control=$net.1
entry=$net.2
agent=$net.3
"$build/savoryledgectl" key new site.key
mkdir data
write_settings() { # name, address, roles, section
    cat >"$1.ini" <<END
[node]
name = $1
zone = a
roles = $3
tunnel = $2:7000
link = $2:7001
[security]
key_file = site.key
[control]
members = control-1@$control:7001
$4
END
    "$build/savoryledged" --settings "$1.ini" >"$1.log" 2>&1 &
    pids+=($!)
}
write_settings control-1 "$control" control "data_folder = data
bootstrap = yes
[relay]
adapter = platform
control = $control:8080"
write_settings entry-1 "$entry" entry "[relay]
adapter = platform
callers = $entry:9000
ready = $entry:9001"

ctl() { "$build/savoryledgectl" -C "$control:7001" -k site.key "$@"; }
place() { ctl explain place 192.0.2.9:1025 "$@"; }
retry ctl show node entry-1
expect 2 'key-file' "$build/savoryledgectl" explain place 192.0.2.9:1025 \
    198.18.0.1:8080 "$entry:7001"
expect 2 'is not ADDRESS:PORT' place 198.18.0.1 entry-1
expect 5 'there is no process "entry-9"' place 198.18.0.1:8080 entry-9
expect 1 'not an entry' place 198.18.0.1:8080 control-1
expect 5 'no plan yet' place 198.18.0.1:8080 entry-1

document='{"version":7,"routes":[{"name":"orders","host":"198.18.0.1","path_prefix":"/8080/","type":"non_idempotent","timeout_ms":1500,"slo_ms":150,"priority":1,"service":"workroom","max_attempts":2}],"services":[{"name":"workroom","health_path":"/health","max_conns":2000,"cold_start_s":2.5,"cold_per_s":12.0}],"limits":{"idle_timeout_ms":15000}}'
put() { # address, path, text
    (
        exec 3<>"/dev/tcp/$1/8080" || exit 1
        printf 'PUT %s HTTP/1.1\r\nHost: site\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
            "$2" "${#3}" "$3" >&3
        read -r -t 2 line <&3 && [[ $line = *" 20"?" "* ]]
    )
}
instance='{"service":"workroom","address":"10.1.0.9:8080","zone":"a","version":"v1","concurrency":3,"state":"ready","cold_left_ms":0,"seq":4,"born":17000}'
retry put "$control" /api/config "$document"
retry place 198.18.0.1:8080 entry-1
write_settings agent-1 "$agent" agent "[relay]
adapter = platform
callers = $agent:9000
upstream = $agent:9100
upstream_sends = $agent:9101
service = workroom
ready = $agent:9001
control = $agent:8080"
retry put "$agent" /api/instances/w-1 "$instance"
has_candidate() { place 198.18.0.1:8080 entry-1 | grep -q '^agent-1 '; }
retry has_candidate
expect 0 '^agent-1 .* admits ' place 198.18.0.1:8080 entry-1
expect 0 '^node  *score  *load  *place  *home ' place 198.18.0.1:8080 entry-1
expect 0 '"candidate.1.slots": ?"?3"?' place 198.18.0.1:8080 entry-1 --json
expect 0 '^service=workroom$' place 198.18.0.1:8080 "$entry:7001"
expect 0 '"placed_by": ?"requests"' place 198.18.0.1:8080 entry-1 --json
expect 5 'no route' place 198.18.0.1:8081 entry-1
