#!/usr/bin/env bash
# Builds with warnings as errors and runs every test program, first without
# sanitizers, then with the address and undefined-behaviour sanitizers; threaded
# tests also run with the thread sanitizer. Then runs the checks of
# scripts/check.d, the formatter and the linters. The last line counts checks.
set -u
cd "$(dirname "$0")/.."
passed=0
failed=0
failures=""

# True if KNOWN-RED.txt lists the test as a known failure.
is_known_failure() {
    [ -s KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

# Runs a check and prints its result. Arguments: a name, then the command.
check() {
    local name=$1 log
    shift
    log="out/check/$(echo "$name" | tr ' /' '__').log"
    mkdir -p out/check
    if "$@" >"$log" 2>&1; then
        passed=$((passed + 1))
        echo "ok      $name"
    elif is_known_failure "$name"; then
        echo "red     $name (listed in KNOWN-RED.txt)"
        tail -5 "$log"
    else
        failed=$((failed + 1))
        failures="$failures [$name]"
        echo "FAILED  $name"
        tail -40 "$log"
    fi
}

build() { # folder, additional cmake arguments
    local folder=$1
    shift
    cmake -S . -B "$folder" "$@" && cmake --build "$folder" -j "$(nproc)"
}

run_tests() { # label, build folder, pattern of program names
    local program
    for program in "$2"/test/*; do
        [ -x "$program" ] && [ -f "$program" ] || continue
        basename "$program" | grep -qE "$3" || continue
        check "$1 $(basename "$program")" "$program"
    done
}

check "build" build build
run_tests "test" build '_test$'
check "build sanitized" build build-asan -DSL_SANITIZE=address,undefined \
    -DCMAKE_C_FLAGS=-fno-sanitize-recover=all
run_tests "sanitized" build-asan '_test$'
if ls test/*_thread_test.c >/dev/null 2>&1; then
    check "build for races" build build-tsan -DSL_SANITIZE=thread
    export TSAN_OPTIONS="suppressions=$PWD/test/tsan.supp halt_on_error=1"
    run_tests "races" build-tsan '_thread_test$'
fi
for extra in scripts/check.d/*.sh; do
    [ -x "$extra" ] && check "$(basename "$extra" .sh)" "$extra" build
done
check "format and lint" scripts/lint.sh build
if [ -s KNOWN-RED.txt ]; then
    echo "known red:"
    cat KNOWN-RED.txt
fi
[ -z "$failures" ] || echo "failures:$failures"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
