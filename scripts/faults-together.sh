#!/usr/bin/env bash
# Injects overlapping faults into a site of real processes with traffic: three
# control instances, three entries and eleven agents. An entry is killed, two
# control instances are paused and continued, agents are stopped and restarted,
# and a zone is evacuated and returned, while an operator makes changes and
# resends those with an unknown outcome. Then each guarantee is checked. Takes
# at most two minutes; the seed is fixed. First argument: the build folder.
set -u
cd "$(dirname "$0")/.."
build=$1
run=out/faults-together
net=127.$((20 + $$ % 200))
controls=3
lifetime_s=110
record=yes
seed=19
# shellcheck source=scripts/site.sh
. scripts/site.sh

for i in 1 2 3; do
    start_control "$i" "$(echo a b c | cut -d' ' -f"$i")"
done
for i in 1 2 3; do
    start_entry "$i" "$(echo a b c | cut -d' ' -f"$i")"
done
start_agents
start_fabric 3 "$seed"
sleep 3
create_objects
sleep 1
start_callers "$seed" 50

# Creates 60 groups one after the other, each once, during the faults.
create_groups() {
    local i
    trap - EXIT
    for i in $(seq 60); do
        ctl create group "extra-$i" --selector "extra=$i"
        echo "extra-$i" >>"$run/accepted"
        sleep 0.5
    done
}
create_groups &
pids[changes]=$!

sleep_until_second 8
stop_program entry-2 KILL
sleep_until_second 9
kill -STOP "${pids[control-1]}"
sleep_until_second 10
kill -USR1 "${pids[callers]}"
evacuation_us=$(now_us)
ctl zone out c
sleep_until_second 12
stop_program orders-1 KILL
sleep 0.5
start_daemon orders-1
sleep_until_second 18
silent_us=$(zone_silence_delay_us "$evacuation_us" workroom-2 workroom-5 \
    catalogue-2 orders-2)
ctl zone in c
sleep 1
kill -USR2 "${pids[callers]}"
sleep_until_second 22
kill -CONT "${pids[control-1]}"
sleep_until_second 24
start_daemon entry-2
sleep_until_second 28
kill -STOP "${pids[control-2]}"
sleep_until_second 30
stop_program workroom-3 TERM
start_daemon workroom-3
sleep_until_second 34
kill -CONT "${pids[control-2]}"
wait "${pids[changes]}"
unset "pids[changes]"
ctl wait
ctl_once list group >"$run/groups"
wait "${pids[callers]}"
unset "pids[callers]"
stop_upstreams
missing=0
while read -r name; do
    grep -qw -- "$name" "$run/groups" || missing=$((missing + 1))
done <"$run/accepted"

callers=$run/callers.out
verdict=0
# Checks one guarantee and prints the result. Arguments: name, maximum, measured
# value.
check_guarantee() {
    local held=yes
    awk -v seen="$3" -v max="$2" 'BEGIN { exit !(seen <= max) }' ||
        { held=NO; verdict=1; }
    printf '%-44s at most %-6s seen %-8s held %s\n' "$1" "$2" "$3" "$held"
}
echo "flows $(last_value "$callers" flows)," \
    "answers $(last_value "$callers" answers)," \
    "accepted changes $(wc -l <"$run/accepted")," \
    "given up with the zone $(last_value "$callers" given_up)"
check_guarantee "1 broken flows outside the zone taken out" 0 \
    "$(last_value "$callers" broken)"
check_guarantee "2 packets of another service" 0 "$(foreign_packets)"
check_guarantee "3 refused flows" 0 "$(last_value "$callers" refused)"
check_guarantee "4 seconds until the zone fell silent" 3 \
    "$(awk -v us="$silent_us" 'BEGIN { printf "%.2f", us / 1e6 }')"
check_guarantee "5 accepted changes missing" 0 "$missing"
check_guarantee "6 accepted changes fewer than made" 0 \
    "$((60 - $(wc -l <"$run/accepted")))"
answers=$(last_value "$callers" answers)
check_guarantee "7 answers fewer than 10000" 0 "$((answers < 10000))"
exit "$verdict"
