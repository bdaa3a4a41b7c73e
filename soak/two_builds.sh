#!/usr/bin/env bash
# Runs the soak test with VMs that are changed between this build and each one
# of soak/old_builds.txt, at the same time. Without that history there is
# nothing to run. Usage: soak/two_builds.sh BUILD FIRST COUNT [flags of soak]
# SOAK_JOBS is the number of parallel runs with each earlier build.
set -euo pipefail
build=$1 first=$2 count=$3
shift 3
cd "$(dirname "$0")/.."

run_with() {
    commit=$1
    shift
    gate=$(soak/old_gate.sh "$build" "$commit")
    if [ -z "$gate" ]; then
        echo "passed over: no history of $commit in this clone"
        return
    fi
    SOAK_OUT=$build/soak-out-$commit \
        soak/run.sh "$build" "$first" "$count" --old-gate "$gate" "$@" |
        sed "s/^/with $commit: /"
}

runs=() status=0
for commit in $(sed -n 's/^\([0-9a-f][0-9a-f]*\) .*/\1/p' soak/old_builds.txt); do
    run_with "$commit" "$@" &
    runs+=($!)
done
for run in "${runs[@]}"; do
    wait "$run" || status=1
done
exit $status
