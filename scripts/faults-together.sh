#!/usr/bin/env bash
# Faults that overlap, on real processes: three control instances, three
# entries and eleven agents with traffic; an entry is killed, a control
# instance stopped and continued, an agent killed and restarted, a zone taken
# out and returned, and operators' changes go on and are sent again all the
# while. Afterwards the promises are checked one by one. Bounded to two
# minutes, fixed seed. First argument: the build folder.
set -u
cd "$(dirname "$0")/.."
build=$1
run=out/faults-together
net=127.$((20 + $$ % 200))
controls=3
alive_s=110
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
make_objects
sleep 1
start_callers "$seed" 50

# Changes all the while: one group after the other, each made once.
changes() {
    local i
    trap - EXIT
    for i in $(seq 60); do
        ctl create group "extra-$i" --selector "extra=$i"
        echo "extra-$i" >>"$run/accepted"
        sleep 0.5
    done
}
changes &
pids[changes]=$!

until_second 8
end entry-2 KILL
until_second 9
kill -STOP "${pids[control-1]}"
until_second 10
kill -USR1 "${pids[callers]}"
out_us=$(now_us)
ctl zone out c
until_second 12
end orders-1 KILL
sleep 0.5
daemon orders-1
until_second 18
silent_us=$(zone_silent_us "$out_us" workroom-2 workroom-5 catalogue-2 orders-2)
ctl zone in c
sleep 1
kill -USR2 "${pids[callers]}"
until_second 22
kill -CONT "${pids[control-1]}"
until_second 24
daemon entry-2
until_second 28
kill -STOP "${pids[control-2]}"
until_second 30
end workroom-3 TERM
daemon workroom-3
until_second 34
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
# One promise: name, what is allowed, what was seen.
promise() {
    local held=yes
    awk -v seen="$3" -v most="$2" 'BEGIN { exit !(seen <= most) }' ||
        { held=NO; verdict=1; }
    printf '%-44s at most %-6s seen %-8s held %s\n' "$1" "$2" "$3" "$held"
}
echo "flows $(value "$callers" flows), answers $(value "$callers" answers)," \
    "accepted changes $(wc -l <"$run/accepted")," \
    "given up with the zone $(value "$callers" given_up)"
promise "1 broken flows outside the zone taken out" 0 "$(value "$callers" broken)"
promise "2 packets of another service" 0 "$(foreign_packets)"
promise "3 refused flows" 0 "$(value "$callers" refused)"
promise "4 seconds until the zone fell silent" 3 \
    "$(awk -v us="$silent_us" 'BEGIN { printf "%.2f", us / 1e6 }')"
promise "5 accepted changes missing" 0 "$missing"
promise "6 accepted changes fewer than made" 0 \
    "$((60 - $(wc -l <"$run/accepted")))"
answers=$(value "$callers" answers)
promise "7 answers fewer than 10000" 0 "$((answers < 10000))"
exit "$verdict"
