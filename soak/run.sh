#!/usr/bin/env bash
# Runs the soak test for several seeds in parallel and keeps the output of
# each seed that has findings.
# Usage: soak/run.sh BUILD FIRST COUNT [flags of the soak program]
# FIRST is the first seed; "kept" runs the seeds of soak/seeds.txt instead,
# which have failed before; COUNT is ignored then. SOAK_JOBS sets the number
# of parallel runs, and SOAK_OUT the directory for their output.
set -uo pipefail
build=$1 first=$2 count=$3
shift 3
out=${SOAK_OUT:-$build/soak-out} jobs=${SOAK_JOBS:-$(($(nproc) / 2 + 1))}
mkdir -p "$out"
if [ "$first" = kept ]; then
    seeds=$(sed -n 's/^\([0-9][0-9]*\).*/\1/p' soak/seeds.txt)
else
    seeds=$(seq "$first" $((first + count - 1)))
fi
run_seed() {
    timeout 120 "$1/soak" --gate "$1/lavenderspool-gate" --out "$2/$3" \
        --seed "$3" "${@:4}" >"$2/$3.txt" 2>&1
    status=$?
    [ $status -eq 0 ] && rm -rf "${2:?}/$3" "$2/$3.txt" && return
    echo "seed $3: status $status, output in $2/$3.txt"
    grep FINDING "$2/$3.txt" | head -5
}
export -f run_seed
failed=$(echo "$seeds" |
    xargs -P "$jobs" -I{} bash -c 'run_seed "$@"' _ "$build" "$out" {} "$@")
echo "$failed"
echo "soak: $(echo "$seeds" | grep -c .) seeds, $(grep -c '^seed' <<<"$failed") with findings"
! grep -q '^seed' <<<"$failed"
