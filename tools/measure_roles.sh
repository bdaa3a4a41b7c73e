#!/usr/bin/env bash
# Measures processor time and bytes sent to peers, for the home of a cell and
# for the other VMs, when idle and at several request rates. docs/CAPACITY.md
# uses the results.
#
#   tools/measure_roles.sh BUILD "RATES..."
set -uo pipefail
BUILD=$1
WORK=$(mktemp -d)
BASE=${BASE:-17500}
VMS=9
CLUSTER_SECONDS=120
. "$(dirname "$0")/cluster.sh"
trap 'stop_cluster; rm -rf "$WORK"' EXIT
export PREFILL_OF_THREE=2

cpu_ms() { awk '{ print ($14 + $15) * 10 }' "/proc/$1/stat"; }
bytes_sent() {
    curl -s "http://127.0.0.1:$(operator_port "$1")/metrics" |
        sed -n 's/^lavenderspool_peer_bytes_sent_total //p'
}

printf '%6s %14s %15s %14s %15s\n' rate home_cpu_ms/s other_cpu_ms/s \
    home_sent_B/s other_sent_B/s
# The first pass, in which BUILD takes the place of a rate, has no load.
for rate in $1 $2; do
    [ "$rate" = "$1" ] && rate=0
    write_config 1
    write_vm_list "$VMS"
    start_standins
    targets=""
    for ((i = 0; i < VMS; i++)); do
        start_vm "$i" --log-level error
        targets+="${targets:+,}127.0.0.1:$(vm_port "$i")"
    done
    for ((i = 0; i < VMS; i++)); do wait_ready "$i"; done
    sleep 2
    home=$(curl -s "http://127.0.0.1:$(operator_port 0)/v1/status" |
        grep -oE '"lens-assist@ljubljana": *"vm-[0-9]' | grep -oE '[0-9]$')
    if [ "$rate" -gt 0 ]; then
        "$BUILD/loadgen" --targets "$targets" --key "$ZUPAN_KEY" --model \
            lens-assist --rate "$rate" --seconds 14 --quiet 1 >/dev/null &
        sleep 3
    fi
    for ((i = 0; i < VMS; i++)); do
        cpu[i]=$(cpu_ms "$(eval "echo \$VM_PID_$i")")
        bytes[i]=$(bytes_sent "$i")
    done
    sleep 10
    cpu_others=0 bytes_others=0
    for ((i = 0; i < VMS; i++)); do
        used=$(($(cpu_ms "$(eval "echo \$VM_PID_$i")") - cpu[i]))
        out=$(($(bytes_sent "$i") - bytes[i]))
        if [ "$i" = "$home" ]; then
            cpu_home=$used bytes_home=$out
        else
            cpu_others=$((cpu_others + used))
            bytes_others=$((bytes_others + out))
        fi
    done
    awk -v r="$rate" -v a="$cpu_home" -v b="$cpu_others" -v c="$bytes_home" \
        -v d="$bytes_others" 'BEGIN { printf "%6d %14.1f %15.1f %14.0f %15.0f\n",
            r, a / 10, b / 80, c / 10, d / 80 }'
    stop_cluster
done 2>/dev/null
