# Functions for scripts that run a small site as separate processes on
# 127.x addresses. Variables to set before sourcing: build (folder of the
# programs), run (folder for settings and logs, deleted and created anew), net
# (first two bytes of the addresses), controls (number of control instances),
# lifetime_s (maximum run time of the simulated callers, upstreams and fabric in
# seconds), record (yes to record every process).
# shellcheck shell=bash disable=SC2154

rm -rf "$run"
mkdir -p "$run"
declare -A pids=()

# Starts a program in the background. Its standard output goes to NAME.out, its
# standard error to NAME.log.
start_program() { # name, command...
    local name=$1
    shift
    "$@" >>"$run/$name.out" 2>>"$run/$name.log" &
    pids[$name]=$!
}

# Stops a program with a signal and removes it from pids.
stop_program() { # name, signal
    kill "-$2" "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null
    unset "pids[$1]"
}

stop_all_programs() {
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
trap stop_all_programs EXIT

fail() {
    echo "$(basename "$0"): $*" >&2
    exit 1
}

control_addresses() { # separator, "named" or "plain"
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

# Runs savoryledgectl. A change whose outcome is unknown is resent with the same
# request number until the outcome is known, at most ten times.
ctl() {
    local output code retry_options resends=0
    output=$(ctl_once "$@")
    code=$?
    while [ "$code" = 4 ] && [ "$resends" -lt 10 ]; do
        resends=$((resends + 1))
        retry_options=$(echo "$output" |
            grep -oE -- '--client [0-9]+ --request [0-9]+ --base [0-9.]+' |
            tail -1)
        # shellcheck disable=SC2086
        output=$(ctl_once "$@" $retry_options)
        code=$?
    done
    printf '%s\nexit %s after %s resends: %s\n' "$output" "$code" "$resends" \
        "$*" >>"$run/ctl.log"
    [ "$code" = 0 ] || { tail -3 "$run/ctl.log" >&2
                         fail "savoryledgectl $* exited with code $code"; }
}

# Prints the settings that all processes have.
print_common_settings() { # name, zone, role, ip
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

print_record_settings() { # name
    [ "${record:-no}" = yes ] || return 0
    printf '[record]\nfile = %s/%s.rec\n' "$run" "$1"
}

start_daemon() { # name
    start_program "$1" "$build/savoryledged" "$run/$1.ini"
}

start_control() { # number, zone
    local name=control-$1
    mkdir -p "$run/$name.data"
    { print_common_settings "$name" "$2" control "$net.1.$1"
      printf 'data_folder = %s/%s.data\nbootstrap = yes\n' "$run" "$name"
      print_record_settings "$name"; } >"$run/$name.ini"
    start_daemon "$name"
}

start_entry() { # number, zone
    { print_common_settings "entry-$1" "$2" entry "$net.2.$1"
      printf '[entry]\nport = encap\nport_listen = %s\nport_peer = %s\n' \
          "$net.2.$1:7100" "$net.10.1:7000"
      print_record_settings "entry-$1"; } >"$run/entry-$1.ini"
    start_daemon "entry-$1"
}

# Starts an agent and the simulated upstream beside it.
start_agent() { # service, number, address number, zone, port kind, port
    local name=$1-$2 agent=$net.3.$3 upstream=$net.4.$3
    start_program "up-$name" "$build/example/stub_upstream" \
        --seconds "$lifetime_s" --name "$name" --zone "$4" --service "$1" --udp "$upstream:$6" \
        --encap "$upstream:7200" --slots 3 --cold-ms 3000
    { print_common_settings "$name" "$4" agent "$agent"
      printf '[agent]\nport = %s\nslots = 3\ncapacity_flows = 2000\n' "$5"
      printf 'labels = service=%s\n' "$1"
      if [ "$5" = udp ]; then
          printf 'upstream = %s\n' "$upstream"
      else
          printf 'port_listen = %s:7200\nport_peer = %s:7200\n' "$agent" \
              "$upstream"
      fi
      print_record_settings "$name"; } >"$run/$name.ini"
    start_daemon "$name"
}

# Starts eleven agents in zones a, b and c: five for workroom and three for
# catalogue (both UDP), and three for orders (TCP).
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
    start_program fabric "$build/example/stub_fabric" --seed "$2" \
        --seconds "$lifetime_s" --encap "$net.10.1:7000" \
        --callers "$net.10.2:7000" "${entries[@]}" \
        --service "$net.20.1:5001" --service "$net.20.2:5002"
}

# Creates the zones, the services, and an upstream group for each service.
create_objects() {
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
    start_program callers "$build/example/stub_callers" --seed "$1" \
        --seconds "$2" --encap "$net.10.2:7000" --fabric "$net.10.1:7000" \
        --zone c --windows "$run/windows.txt" \
        --udp "workroom=$net.20.1:5001=$((500 * ${share:-100} / 100))" \
        --udp "catalogue=$net.20.2:5002=$((180 * ${share:-100} / 100))" \
        --tcp "orders=$net.20.3:5003=$((180 * ${share:-100} / 100))"
    callers_start_s=$SECONDS
}

sleep_until_second() { # seconds since the callers were started
    local left=$(($1 - (SECONDS - callers_start_s)))
    [ "$left" -le 0 ] || sleep "$left"
}

now_us() { date +%s%6N; }

# Prints the last number given as KEY=NUMBER in a file.
last_value() { # file, key
    grep -o "$2=[0-9]*" "$1" | tail -1 | cut -d= -f2
}

# Prints the time in microseconds from a moment until the last packet that any
# of the upstreams received.
zone_silence_delay_us() { # moment, names of upstreams
    local from_us=$1 last_us silent_us=0 name
    shift
    for name in "$@"; do
        kill -USR1 "${pids[up-$name]}"
    done
    sleep 0.2
    for name in "$@"; do
        last_us=$(last_value "$run/up-$name.out" last_us)
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

# Prints how many packets of another service callers and upstreams counted.
foreign_packets() {
    cat "$run/callers.out" "$run"/up-*.out | grep -o 'foreign=[0-9]*' |
        awk -F= '{ sum += $2 } END { print sum + 0 }'
}

"$build/savoryledgectl" key new "$run/site.key" >>"$run/ctl.log" 2>&1 ||
    fail "savoryledgectl could not create the site key"
