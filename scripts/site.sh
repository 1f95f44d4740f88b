# Functions for scripts that run a small site as separate processes on
# 127.x addresses. Set before sourcing: build (folder of the programs), run
# (folder for settings and logs, made anew), net (first two bytes of the
# addresses), controls (how many control instances), alive_s (bound on the
# stand-ins' life), record (yes to record every process).
# shellcheck shell=bash disable=SC2154

rm -rf "$run"
mkdir -p "$run"
declare -A pids=()

# Starts a program in the background; its output goes to logs of its name.
start() { # name, command...
    local name=$1
    shift
    "$@" >>"$run/$name.out" 2>>"$run/$name.log" &
    pids[$name]=$!
}

# Ends one program by signal and forgets it.
end() { # name, signal
    kill "-$2" "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null
    unset "pids[$1]"
}

stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null
        kill -TERM "${pids[$name]}" 2>/dev/null
    done
    sleep 0.3
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
}
trap stop_all EXIT

fail() {
    echo "$(basename "$0"): $*" >&2
    exit 1
}

control_addresses() { # separator, with names or without
    local i list=""
    for i in $(seq "$controls"); do
        [ "$2" = named ] && list+="control-$i@"
        list+="$net.1.$i:7001$1"
    done
    echo "${list%"$1"}"
}

ctl_once() {
    "$build/savoryledgectl" --key-file "$run/site.key" --timeout-ms 8000 \
        --control "$(control_addresses , plain)" "$@" 2>&1
}

# One command of an operator; a change whose outcome is unknown is sent again
# with the same request number until it is known.
ctl() {
    local output code again resends=0
    output=$(ctl_once "$@")
    code=$?
    while [ "$code" = 4 ] && [ "$resends" -lt 10 ]; do
        resends=$((resends + 1))
        again=$(echo "$output" |
            grep -oE -- '--client [0-9]+ --request [0-9]+ --base [0-9.]+' |
            tail -1)
        # shellcheck disable=SC2086
        output=$(ctl_once "$@" $again)
        code=$?
    done
    printf '%s\nexit %s after %s resends: %s\n' "$output" "$code" "$resends" \
        "$*" >>"$run/ctl.log"
    [ "$code" = 0 ] || { tail -3 "$run/ctl.log" >&2
                         fail "savoryledgectl $* gave $code"; }
}

# What every process's settings begin with.
settings() { # name, zone, role, ip
    cat <<END
[node]
name = $1
zone = $2
roles = $3
tunnel = $4:7000
link = $4:7001
threads = 1
stop_timeout_ms = 5000
[security]
key_file = $run/site.key
[control]
members = $(control_addresses ', ' named)
END
}

record_settings() { # name
    [ "${record:-no}" = yes ] || return 0
    printf '[record]\nfile = %s/%s.rec\n' "$run" "$1"
}

daemon() { # name
    start "$1" "$build/savoryledged" "$run/$1.ini"
}

start_control() { # number, zone
    local name=control-$1
    mkdir -p "$run/$name.data"
    { settings "$name" "$2" control "$net.1.$1"
      printf 'data_folder = %s/%s.data\nbootstrap = yes\n' "$run" "$name"
      record_settings "$name"; } >"$run/$name.ini"
    daemon "$name"
}

start_entry() { # number, zone
    { settings "entry-$1" "$2" entry "$net.2.$1"
      printf '[entry]\nport = encap\nport_listen = %s\nport_peer = %s\n' \
          "$net.2.$1:7100" "$net.10.1:7000"
      record_settings "entry-$1"; } >"$run/entry-$1.ini"
    daemon "entry-$1"
}

# An agent and the upstream beside it.
start_agent() { # service, number, address number, zone, port kind, port
    local name=$1-$2 agent=$net.3.$3 upstream=$net.4.$3
    start "up-$name" "$build/example/standin_upstream" --seconds "$alive_s" \
        --name "$name" --zone "$4" --service "$1" --udp "$upstream:$6" \
        --encap "$upstream:7200" --slots 3 --cold-ms 3000
    { settings "$name" "$4" agent "$agent"
      printf '[agent]\nport = %s\nslots = 3\ncapacity_flows = 2000\n' "$5"
      printf 'labels = service=%s\n' "$1"
      if [ "$5" = udp ]; then
          printf 'upstream = %s\n' "$upstream"
      else
          printf 'port_listen = %s:7200\nport_peer = %s:7200\n' "$agent" \
              "$upstream"
      fi
      record_settings "$name"; } >"$run/$name.ini"
    daemon "$name"
}

# Eleven agents in zones a, b and c: five of workroom, three of catalogue
# (both UDP) and three of orders (TCP).
start_agents() {
    local zones=(a b c a b c a b c a b) i
    for i in 1 2 3 4 5; do
        start_agent workroom "$i" "$i" "${zones[i]}" udp 5001
    done
    for i in 1 2 3; do
        start_agent catalogue "$i" $((5 + i)) "${zones[i]}" udp 5002
        start_agent orders "$i" $((8 + i)) "${zones[i]}" encap 5003
    done
}

start_fabric() { # entries, seed
    local i entries=()
    for i in $(seq "$1"); do
        entries+=(--entry "$net.2.$i:7100")
    done
    start fabric "$build/example/standin_fabric" --seed "$2" \
        --seconds "$alive_s" --encap "$net.10.1:7000" \
        --callers "$net.10.2:7000" "${entries[@]}" \
        --service "$net.20.1:5001" --service "$net.20.2:5002"
}

# Zones, services and upstream groups, by labels and selectors.
make_objects() {
    local zone service
    for zone in a b c; do
        ctl create zone "$zone"
    done
    ctl create service workroom --address "$net.20.1:5001" --protocol udp \
        --selector name=workroom
    ctl create service catalogue --address "$net.20.2:5002" --protocol udp \
        --selector name=catalogue
    ctl create service orders --address "$net.20.3:5003" --protocol tcp \
        --selector name=orders
    for service in workroom catalogue orders; do
        ctl create group "$service" --selector "service=$service"
    done
    ctl wait
}

start_callers() { # seed, seconds
    start callers "$build/example/standin_callers" --seed "$1" \
        --seconds "$2" --encap "$net.10.2:7000" --fabric "$net.10.1:7000" \
        --zone c --windows "$run/windows.txt" \
        --udp "workroom=$net.20.1:5001=$((500 * ${share:-100} / 100))" \
        --udp "catalogue=$net.20.2:5002=$((180 * ${share:-100} / 100))" \
        --tcp "orders=$net.20.3:5003=$((180 * ${share:-100} / 100))"
    begin_s=$SECONDS
}

until_second() { # second since the callers began
    local left=$(($1 - (SECONDS - begin_s)))
    [ "$left" -le 0 ] || sleep "$left"
}

now_us() { date +%s%6N; }

# The last value of key= in a file.
value() { # file, key
    grep -o "$2=[0-9]*" "$1" | tail -1 | cut -d= -f2
}

# Microseconds from a moment until the last packet at the zone's upstreams.
zone_silent_us() { # moment, names of upstreams
    local from_us=$1 last_us silent_us=0 name
    shift
    for name in "$@"; do
        kill -USR1 "${pids[up-$name]}"
    done
    sleep 0.2
    for name in "$@"; do
        last_us=$(value "$run/up-$name.out" last_us)
        [ $((last_us - from_us)) -gt "$silent_us" ] &&
            silent_us=$((last_us - from_us))
    done
    echo "$silent_us"
}

stop_upstreams() {
    local name
    for name in "${!pids[@]}"; do
        case $name in up-*) kill -TERM "${pids[$name]}" ;; esac
    done
    sleep 0.3
}

# Packets of another service, as callers and upstreams counted them.
foreign_packets() {
    cat "$run/callers.out" "$run"/up-*.out | grep -o 'foreign=[0-9]*' |
        awk -F= '{ sum += $2 } END { print sum + 0 }'
}

"$build/savoryledgectl" key new "$run/site.key" >>"$run/ctl.log" 2>&1 ||
    fail "no site key"
