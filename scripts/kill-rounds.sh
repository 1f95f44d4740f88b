#!/usr/bin/env bash
# Kills control instances during a stream of changes. In each round one of three
# instances, drawn with a fixed seed, is killed with SIGKILL in the middle of
# the stream and restarted with its data folder. A change whose outcome is
# unknown is resent with the same request number. Afterwards every accepted
# change must be present, and none may have been executed twice.
# Arguments: build folder, rounds (default 200).
set -u
cd "$(dirname "$0")/.."
build=$1
rounds=${2:-200}
run=out/kill-rounds
net=127.$((20 + $$ % 200)).9
RANDOM=11
rm -rf "$run"
mkdir -p "$run"
declare -A pids=()

stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
}
trap stop_all EXIT

start_control() { # number
    "$build/savoryledged" "$run/c$1.ini" >>"$run/c$1.log" 2>&1 &
    pids[c$1]=$!
    disown
}

ctl() {
    "$build/savoryledgectl" --key-file "$run/site.key" --timeout-ms 6000 \
        --control "$net.1:7001,$net.2:7001,$net.3:7001" "$@" 2>&1
}

# Creates a group, resending the request until its outcome is known.
create_group() { # name
    local output code retry_options
    output=$(ctl create group "$1" --selector "app=$1")
    code=$?
    while [ "$code" = 4 ]; do
        resends=$((resends + 1))
        retry_options=$(echo "$output" |
            grep -oE -- '--client [0-9]+ --request [0-9]+ --base [0-9.]+' |
            tail -1)
        # shellcheck disable=SC2086
        output=$(ctl create group "$1" --selector "app=$1" $retry_options)
        code=$?
    done
    case $code in
    0) echo "$1" >>"$run/accepted" ;;
    3) echo "$1: $output" >>"$run/twice" ;;
    *) echo "$1: exit $code: $output" >>"$run/refused" ;;
    esac
}

"$build/savoryledgectl" key new "$run/site.key" >/dev/null
members="c1@$net.1:7001, c2@$net.2:7001, c3@$net.3:7001"
for i in 1 2 3; do
    mkdir -p "$run/c$i.data"
    cat >"$run/c$i.ini" <<END
[node]
name = c$i
zone = z$i
roles = control
tunnel = $net.$i:7000
link = $net.$i:7001
[security]
key_file = $run/site.key
[control]
members = $members
data_folder = $run/c$i.data
bootstrap = yes
END
    start_control "$i"
done
touch "$run/accepted" "$run/twice" "$run/refused"
resends=0
# The first election needs all initial members, so wait for a leader before the
# first kill.
create_group "first"
for round in $(seq "$rounds"); do
    victim=$((RANDOM % 3 + 1))
    delay=0.0$((RANDOM % 9 + 1))
    { sleep "$delay"
      kill -KILL "${pids[c$victim]}"; } 2>/dev/null &
    killer=$!
    create_group "g$round-a"
    create_group "g$round-b"
    wait "$killer" 2>/dev/null
    start_control "$victim"
    create_group "g$round-c"
done
ctl list group >"$run/present"
missing=0
while read -r name; do
    grep -qw -- "$name" "$run/present" || missing=$((missing + 1))
done <"$run/accepted"
accepted=$(wc -l <"$run/accepted")
twice=$(wc -l <"$run/twice")
refused=$(wc -l <"$run/refused")
echo "kill_rounds $rounds rounds"
echo "kill_accepted $accepted changes"
echo "kill_missing $missing changes"
echo "kill_twice $twice changes"
echo "kill_refused $refused changes"
echo "kill_resends $resends requests"
head -3 "$run/twice" "$run/refused"
[ "$missing" = 0 ] && [ "$twice" = 0 ] && [ "$refused" = 0 ] &&
    [ "$accepted" = $((rounds * 3 + 1)) ]
