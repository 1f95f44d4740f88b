#!/usr/bin/env bash
# Demonstrates a small site of separate processes on 127.x addresses: one
# control instance, two entries, eleven agents with simulated upstreams, a
# simulated fabric that distributes single packets over both entries, and
# simulated UDP and TCP callers. A zone is evacuated and returned, an upstream
# is drained and returned, and an entry is killed. Prints a table of results;
# exits with 1 if a guarantee was violated. First argument: the build folder.
# DEMO_RECORD=yes records every process. DEMO_SHARE is the percentage of the
# usual number of flows. DEMO_TIMED=no ignores the limit on the seconds until
# the zone has no traffic.
set -u
cd "$(dirname "$0")/.."
build=$1
run=out/demo
net=127.$((20 + $$ % 200))
controls=1
lifetime_s=70
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
create_objects
sleep 1

start_callers "$seed" "$seconds"
sleep_until_second 9
kill -USR1 "${pids[callers]}"
evacuation_us=$(now_us)
ctl zone out c
sleep_until_second 17
silent_us=$(zone_silence_delay_us "$evacuation_us" workroom-2 workroom-5 \
    catalogue-2 orders-2)
ctl zone in c
sleep 1
kill -USR2 "${pids[callers]}"
sleep_until_second 22
ctl upstream drain workroom-1
sleep_until_second 27
ctl upstream return workroom-1
sleep_until_second 29
stop_program entry-2 KILL
wait "${pids[callers]}"
unset "pids[callers]"
stop_upstreams

callers=$run/callers.out
flows=$(last_value "$callers" flows)
broken=$(last_value "$callers" broken)
refused=$(last_value "$callers" refused)
foreign=$(foreign_packets)
imbalance() { # before, or end
    awk -v when="when=$1" '/^callers open/ && $7 == when {
            split($3, service, "="); split($6, flows, "=")
            sum[service[2]] += flows[2]; count[service[2]]++
            if (flows[2] > max[service[2]]) max[service[2]] = flows[2]
        }
        END { for (k in sum) { i = max[k] * count[k] / sum[k]
                  if (i > worst) worst = i }
              printf "%.2f", worst }' "$callers"
}
silent_s=$(awk -v us="$silent_us" 'BEGIN { printf "%.2f", us / 1e6 }')
answers=$(last_value "$callers" answers)
given_up=$(last_value "$callers" given_up)
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
