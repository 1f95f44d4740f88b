#!/usr/bin/env bash
# A small site as separate processes on 127.x addresses: one control, two
# entries, eleven agents with stand-in upstreams, a fabric that sprays single
# packets over both entries, and callers on UDP sockets and TCP stand-ins. A
# zone leaves and returns, an upstream drains and returns, an entry is killed.
# Ends with a table; exit 1 when a promise was broken. First argument: the
# build folder. DEMO_RECORD=yes records every process; DEMO_SHARE is the
# percentage of the usual flows; DEMO_TIMED=no leaves the bound on seconds out
# of the verdict.
set -u
cd "$(dirname "$0")/.."
build=$1
run=out/demo
net=127.$((20 + $$ % 200))
controls=1
alive_s=70
record=${DEMO_RECORD:-no}
seconds=${DEMO_SECONDS:-38}
seed=${DEMO_SEED:-7}
share=${DEMO_SHARE:-100}
# shellcheck source=scripts/site.sh
. scripts/site.sh

start_control 1 a
start_entry 1 a
start_entry 2 b
start_agents
start_fabric 2 "$seed"
sleep 2
make_objects
sleep 1

start_callers "$seed" "$seconds"
until_second 9
kill -USR1 "${pids[callers]}"
out_us=$(now_us)
ctl zone out c
until_second 17
silent_us=$(zone_silent_us "$out_us" workroom-2 workroom-5 catalogue-2 orders-2)
ctl zone in c
sleep 1
kill -USR2 "${pids[callers]}"
until_second 22
ctl upstream drain workroom-1
until_second 27
ctl upstream return workroom-1
until_second 29
end entry-2 KILL
wait "${pids[callers]}"
unset "pids[callers]"
stop_upstreams

callers=$run/callers.out
flows=$(value "$callers" flows)
broken=$(value "$callers" broken)
refused=$(value "$callers" refused)
foreign=$(foreign_packets)
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
given_up=$(value "$callers" given_up)
echo
echo "flows                                   ${flows:-none}"
echo "answers                                 ${answers:-none}"
echo "broken flows outside the zone taken out ${broken:-none}"
echo "flows given up with the zone            ${given_up:-none}"
echo "refusals                                ${refused:-none}"
echo "packets of another service              $foreign"
echo "imbalance before the zone left          $(imbalance before)"
echo "imbalance at the end, zone just back    $(imbalance end)"
echo "seconds until the zone fell silent      $silent_s"
verdict=0
[ "${broken:-1}" = 0 ] || verdict=1
[ "$foreign" = 0 ] || verdict=1
[ "${answers:-0}" -gt 1000 ] || verdict=1
[ "${given_up:-0}" -gt 0 ] || verdict=1
[ "${DEMO_TIMED:-yes}" = no ] ||
    awk -v s="$silent_s" 'BEGIN { exit !(s <= 3.0) }' || verdict=1
[ "$verdict" = 0 ] && echo "every promise held" ||
    echo "a promise was broken; logs are in $run"
exit "$verdict"
