#!/usr/bin/env bash
# Measures memory and processor time of one daemon for several numbers of open
# streams. docs/CAPACITY.md uses the results.
#
#   tools/measure_memory.sh BUILD "STREAMS..."
set -uo pipefail
BUILD=$1
WORK=$(mktemp -d)
BASE=${BASE:-16500}
CLUSTER_SECONDS=300
. "$(dirname "$0")/cluster.sh"
trap 'stop_cluster; rm -rf "$WORK"' EXIT
ENGINE_FLAGS="--slots 2000 --blocks 100000 --interval-us 200000"

cpu_ms() { # process id; assumes 100 clock ticks per second
    awk '{ print ($14 + $15) * 10 }' "/proc/$1/stat"
}

printf '%8s %12s %14s %14s\n' streams rss_kb cpu_ms_per_s tokens_per_s
for streams in $2; do
    write_config 1
    sed -i 's/"slots":20/"slots":2000/; s/"memory_blocks":60/"memory_blocks":100000/' \
        "$WORK/kv/lavenderspool/parts/upstreams"
    publish_config 1
    write_vm_list 1
    start_standins
    start_vm 0 --log-level error --vm-count-max 1
    wait_ready 0
    sleep 1
    if [ "$streams" -gt 0 ]; then
        "$BUILD/loadgen" --targets "127.0.0.1:$(vm_port 0)" --key "$ZUPAN_KEY" \
            --model lens-assist --mix short --rate $((streams / 4)) \
            --seconds 4 --tokens-low 190 --tokens-high 200 \
            --first-token-ms 100000 --quiet 1 >/dev/null &
    fi
    sleep 9
    before=$(cpu_ms "$VM_PID_0")
    sleep 5
    after=$(cpu_ms "$VM_PID_0")
    printf '%8d %12d %14.1f %14d\n' "$streams" \
        "$(awk '/VmRSS/ { print $2 }' "/proc/$VM_PID_0/status")" \
        "$(((after - before) / 5))" $((streams * 5))
    stop_cluster
done 2>/dev/null
