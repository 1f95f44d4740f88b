#!/usr/bin/env bash
# Odd heartbeats, configurations and requests at running processes: each is
# refused, the endpoint and the configuration of before stay in force, and no
# process ends or needs more memory than the smallest machine has. First
# argument: the build folder. Second argument: the memory limit of a process in
# kB, 40 MB by default.
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
memory_max_kb=${2:-40960}

fail() {
    echo "$*"
    tail -n 5 ./*.log
    exit 1
}
retry() { # command...
    for _ in $(seq 50); do
        "$@" >out.txt 2>&1 && return 0
        sleep 0.1
    done
    fail "no success in time: $*"
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
write_settings agent-1 "$agent" agent "[relay]
adapter = platform
callers = $agent:9000
upstream = $agent:9100
upstream_sends = $agent:9101
service = workroom
ready = $agent:9001
control = $agent:8080"

# Sends a request whose body is the standard input, and prints the status.
call() { # address, method, path
    local line status
    cat >body
    (
        exec 3<>"/dev/tcp/$1/8080" || exit 1
        printf '%s %s HTTP/1.1\r\nContent-Length: %s\r\nConnection: close\r\n\r\n' \
            "$2" "$3" "$(stat -c %s body)" >&3
        cat body >&3 2>/dev/null || true
        read -r -t 5 line <&3
        status=${line#* }
        echo "${status%% *}"
    )
}
answers() { # status, address, method, path, text
    [ "$(printf '%s' "$5" | call "$2" "$3" "$4")" = "$1" ]
}
place() { "$build/savoryledgectl" -C "$control:7001" -k site.key explain place \
    192.0.2.9:1025 198.18.0.1:8080 entry-1; }
has_candidate() { place | grep -q '^agent-1 .* admits '; }

document='{"version":7,"routes":[{"name":"orders","host":"198.18.0.1","path_prefix":"/8080/","type":"non_idempotent","timeout_ms":1500,"slo_ms":150,"priority":1,"service":"workroom"}],"services":[{"name":"workroom","max_conns":2000}]}'
instance='{"service":"workroom","address":"10.1.0.9:8080","zone":"a","version":"v1","concurrency":3,"state":"ready","cold_left_ms":0,"seq":4,"born":17000}'
retry answers 200 "$control" PUT /api/config "$document"
retry answers 200 "$agent" PUT /api/instances/w-1 "$instance"
retry has_candidate

# Fills one MiB with a text. The arguments are its start, middle and end.
fill() {
    printf '%s' "$1"
    yes "$2" | tr -d '\n' | head -c $((1048000 / ${#2} * ${#2}))
    printf '%s' "$3"
}
odd_bodies() { # number
    case $1 in
    0) fill '{"later":[' '{},' '0]}' ;;
    1) fill '{"later":[' '[],' '0]}' ;;
    2) fill '{"later":[' '0,' '0]}' ;;
    3) fill '{"later":' '[' '' ;;
    4) fill '{"later":' '{"":' '' ;;
    5) fill '{"later":"' 'x' '"}' ;;
    6) fill '' ' ' '' ;;
    7) head -c 1048576 /dev/zero ;;
    8) printf '%s' "${2/:8080/:65536}" | sed 's|/8080/|/65536/|' ;;
    9) printf '%s' "${2/:8080/:-1}" | sed 's|/8080/|/-1/|' ;;
    10) printf '%s' "${2/\"seq\":4/\"seq\":9223372036854775808}" |
        sed 's/"version":7/"version":9223372036854775808/' ;;
    11) printf '%s' "${2/\"seq\":4/\"seq\":1e999}" |
        sed 's/"timeout_ms":1500/"timeout_ms":1e999/' ;;
    12) printf '%s' "${2/workroom/$'work\xc3room'}" ;;
    13) printf '%s' "${2/workroom/work\\u0000room}" ;;
    14) printf '%s' "${2%?}" ;;
    15) printf '' ;;
    *) return 1 ;;
    esac
}
number=0
while odd_bodies "$number" "$instance" >odd; do
    status=$(call "$agent" PUT /api/instances/w-1 <odd)
    [[ $status = 4?? ]] || fail "heartbeat $number was answered with $status"
    odd_bodies "$number" "$document" >odd
    status=$(call "$control" PUT /api/config <odd)
    [[ $status = 4?? ]] || fail "document $number was answered with $status"
    number=$((number + 1))
done
for path in '/api/instances/' /api/instances/$'\xff' "/api/instances/$(fill '' a '' | head -c 200)" \
    /api/evacuations/ /api/evacuations/$'\xc3' /api/config/ //; do
    status=$(printf '%s' "$document" | call "$control" PUT "$path")
    [[ $status = 4?? ]] || fail "path $path was answered with $status"
done
head -c 4096 /dev/urandom >"/dev/tcp/$agent/8080" || true

answers 200 "$control" PUT /api/config "${document/:7,/:8,}" || fail "no new configuration"
answers 200 "$agent" PUT /api/instances/w-1 "${instance/\"seq\":4/\"seq\":5}" || fail "no heartbeat"
retry has_candidate
for pid in "${pids[@]}"; do
    kill -0 "$pid" || fail "process $pid has ended"
    peak_kb=$(awk '/^VmHWM/ {print $2}' "/proc/$pid/status")
    echo "peak memory $peak_kb kB, $number odd bodies"
    [ "$peak_kb" -le "$memory_max_kb" ] || fail "more than $memory_max_kb kB"
done
