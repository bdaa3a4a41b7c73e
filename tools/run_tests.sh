#!/usr/bin/env bash
# Runs the tests of the plain and of the sanitizer builds. Tests that are
# listed in KNOWN-RED.txt run first and don't affect the exit status; the
# summary of the plain build is printed last. Usage: tools/run_tests.sh [BUILD]
set -uo pipefail
build=${1:-build}
# Closed connections keep their ports for a minute: with as many tests as
# processors at a time, all ports of outgoing connections may be taken.
jobs=$((($(nproc) + 1) / 2))
known=$(sed -n 's/^test: *\([^ ]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null |
    paste -sd'|')
skip=()
if [ -n "$known" ]; then
    echo "== known failures (KNOWN-RED.txt), not part of the result"
    ctest --test-dir "$build" -R "^($known)\$" --output-on-failure || true
    skip=(-E "^($known)\$")
fi
status=0
for sanitized in build-asan build-tsan; do
    echo "== $sanitized"
    ctest --test-dir "$sanitized" -j "$jobs" --output-on-failure \
        --no-tests=error "${skip[@]}" >"$sanitized/ctest.log" 2>&1 || {
        status=1
        cat "$sanitized/ctest.log"
    }
    grep -E "tests passed|tests failed" "$sanitized/ctest.log"
done
echo "== $build"
ctest --test-dir "$build" -j "$jobs" --output-on-failure --no-tests=error \
    "${skip[@]}" || status=1
exit $status
