#!/usr/bin/env bash
# A small site as separate processes on 127.x addresses: one control, two
# entries, eleven agents with stand-in upstreams, a fabric that sprays single
# packets over both entries, and callers on UDP sockets and TCP stand-ins. A
# zone leaves and returns, an upstream drains and returns, an entry is killed.
# Ends with a table; exit 1 when a promise was broken. First argument: the
# build folder. DEMO_RECORD=yes records every process.
set -u
cd "$(dirname "$0")/.."
build=$1
run=out/demo
net=127.$((20 + $$ % 200))
seconds=${DEMO_SECONDS:-38}
seed=${DEMO_SEED:-7}
rm -rf "$run"
mkdir -p "$run"
declare -A pids=()

# Starts a program in the background; its output goes to logs of its name.
start() { # name, command...
    local name=$1
    shift
    "$@" >"$run/$name.out" 2>"$run/$name.log" &
    pids[$name]=$!
}

stop_all() {
    local name
    for name in "${!pids[@]}"; do
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
    echo "demo: $*" >&2
    exit 1
}

ctl() {
    "$build/savoryledgectl" --control "$net.1.1:7001" \
        --key-file "$run/site.key" "$@" >>"$run/ctl.log" 2>&1 ||
        { tail -3 "$run/ctl.log" >&2; fail "savoryledgectl $* failed"; }
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
members = control-1@$net.1.1:7001
END
}

record() { # name
    [ "${DEMO_RECORD:-no}" = yes ] || return 0
    printf '[record]\nfile = %s/%s.rec\n' "$run" "$1"
}

daemon() { # name
    start "$1" "$build/savoryledged" "$run/$1.ini"
}

start_control() {
    mkdir -p "$run/control-1.data"
    { settings control-1 a control "$net.1.1"
      printf 'data_folder = %s/control-1.data\nbootstrap = yes\n' "$run"
      record control-1; } >"$run/control-1.ini"
    daemon control-1
}

start_entry() { # number, zone
    { settings "entry-$1" "$2" entry "$net.2.$1"
      printf '[entry]\nport = encap\nport_listen = %s\nport_peer = %s\n' \
          "$net.2.$1:7100" "$net.10.1:7000"
      record "entry-$1"; } >"$run/entry-$1.ini"
    daemon "entry-$1"
}

# An agent and the upstream beside it.
start_agent() { # service, number, address number, zone, port kind, port
    local name=$1-$2 agent=$net.3.$3 upstream=$net.4.$3
    start "up-$name" "$build/example/standin_upstream" --seconds 70 \
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
      record "$name"; } >"$run/$name.ini"
    daemon "$name"
}

now_us() { date +%s%6N; }

# The first value of key= in a file's last line that holds it.
value() { # file, key
    grep -o "$2=[0-9]*" "$1" | tail -1 | cut -d= -f2
}

"$build/savoryledgectl" key new "$run/site.key" >>"$run/ctl.log" 2>&1 ||
    { head -c 32 /dev/urandom | od -An -v -tx1 | tr -d ' \n' >"$run/site.key"
      echo >>"$run/site.key"
      chmod 600 "$run/site.key"; }

start_control
start_entry 1 a
start_entry 2 b
zones=(a b c a b c a b c a b)
for i in 1 2 3 4 5; do
    start_agent workroom "$i" "$i" "${zones[i]}" udp 5001
done
for i in 1 2 3; do
    start_agent catalogue "$i" $((5 + i)) "${zones[i]}" udp 5002
    start_agent orders "$i" $((8 + i)) "${zones[i]}" encap 5003
done
start fabric "$build/example/standin_fabric" --seed "$seed" --seconds 70 \
    --encap "$net.10.1:7000" --callers "$net.10.2:7000" \
    --entry "$net.2.1:7100" --entry "$net.2.2:7100" \
    --service "$net.20.1:5001" --service "$net.20.2:5002"
sleep 2
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
sleep 1

start callers "$build/example/standin_callers" --seed "$seed" \
    --seconds "$seconds" --encap "$net.10.2:7000" --fabric "$net.10.1:7000" \
    --zone c --windows "$run/windows.txt" \
    --udp "workroom=$net.20.1:5001=500" \
    --udp "catalogue=$net.20.2:5002=180" \
    --tcp "orders=$net.20.3:5003=180"
begin=$SECONDS
until_second() { # second of the run
    local left=$(($1 - (SECONDS - begin)))
    [ "$left" -le 0 ] || sleep "$left"
}

until_second 9
kill -USR1 "${pids[callers]}"
out_us=$(now_us)
ctl zone out c
until_second 17
for name in workroom-2 workroom-5 catalogue-2 orders-2; do
    kill -USR1 "${pids[up-$name]}"
done
sleep 0.2
silent_us=0
for name in workroom-2 workroom-5 catalogue-2 orders-2; do
    last_us=$(value "$run/up-$name.out" last_us)
    [ $((last_us - out_us)) -gt "$silent_us" ] && silent_us=$((last_us - out_us))
done
ctl zone in c
sleep 1
kill -USR2 "${pids[callers]}"
until_second 22
ctl upstream drain workroom-1
until_second 27
ctl upstream return workroom-1
until_second 29
kill -KILL "${pids[entry-2]}"
wait "${pids[callers]}"
unset "pids[callers]"
for name in "${!pids[@]}"; do
    case $name in up-*) kill -TERM "${pids[$name]}" ;; esac
done
sleep 0.3

callers=$run/callers.out
flows=$(value "$callers" flows)
broken=$(value "$callers" broken)
refused=$(value "$callers" refused)
foreign=$(cat "$callers" "$run"/up-*.out | grep -o 'foreign=[0-9]*' |
    awk -F= '{ sum += $2 } END { print sum + 0 }')
imbalance() { # before, or end
    awk -v when="when=$1" '/^callers open/ && $7 == when {
            split($3, service, "="); split($6, flows, "=")
            sum[service[2]] += flows[2]; count[service[2]]++
            if (flows[2] > most[service[2]]) most[service[2]] = flows[2]
        }
        END { for (k in sum) { i = most[k] * count[k] / sum[k]
                  if (i > worst) worst = i }
              printf "%.2f", worst }' "$callers"
}
silent_s=$(awk -v us="$silent_us" 'BEGIN { printf "%.2f", us / 1e6 }')
answers=$(value "$callers" answers)
echo
echo "flows                                   ${flows:-none}"
echo "answers                                 ${answers:-none}"
echo "broken flows outside the zone taken out ${broken:-none}"
echo "flows given up with the zone            $(value "$callers" given_up)"
echo "refusals                                ${refused:-none}"
echo "packets of another service              $foreign"
echo "imbalance before the zone left          $(imbalance before)"
echo "imbalance at the end, zone just back    $(imbalance end)"
echo "seconds until the zone fell silent      $silent_s"
verdict=0
[ "${broken:-1}" = 0 ] || verdict=1
[ "$foreign" = 0 ] || verdict=1
[ "${answers:-0}" -gt 1000 ] || verdict=1
awk -v s="$silent_s" 'BEGIN { exit !(s <= 3.0) }' || verdict=1
[ "$verdict" = 0 ] && echo "every promise held" ||
    echo "a promise was broken; logs are in $run"
exit "$verdict"
