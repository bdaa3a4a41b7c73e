#!/usr/bin/env bash
# Measures goodput and wasted prefill of several placement policies.
#
#   tools/experiment.sh BUILD OUTPUT RUNS "POLICIES" "LOADS" [MIX] [FAULT]
#
# LOADS are percentages of the engines' capacity, which is computed from their
# settings. FAULT is none, worker (a decode worker stops responding) or home
# (the home of the cell is killed); the fault occurs after a third of the run.
# Appends one line of JSON per run to OUTPUT; tools/summarize.sh prints the
# medians.
set -uo pipefail
BUILD=$1
OUTPUT=$2
RUNS=$3
POLICIES=$4
LOADS=$5
MIX=${6:-zupan}
FAULT=${7:-none}
SECONDS_EACH=${SECONDS_EACH:-12}
VMS=${VMS:-9}
BASE=${BASE:-18000}
WORK=$(mktemp -d)
CLUSTER_SECONDS=120
. "$(dirname "$0")/cluster.sh"
trap 'stop_cluster; rm -rf "$WORK"' EXIT

# Eight prefill workers (together 160,000 tokens/s) and four decode workers
# (together 80 slots).
export PREFILL_OF_THREE=2
ENGINE_FLAGS="--interval-us 30000"
if [ "$MIX" = zupan ]; then
    KEY=$ZUPAN_KEY MODEL=lens-assist
    CAPACITY=50.7 # requests/s: 160,000 tokens/s / mean prompt of 3,157 tokens
    FIRST=0
else
    KEY=$FESTPLASS_KEY MODEL=vurdering-llm
    # Requests/s: 80 slots / 1.5 s (50 tokens, loadgen's mean, at 30 ms each).
    # Decode is the limit, because the festival rules come from the prefix
    # cache.
    CAPACITY=53
    FIRST=12
fi

sum_metric() { # name of a metric, summed over all VMs
    local i sum=0 n
    for ((i = 0; i < VMS; i++)); do
        n=$(curl -s "http://127.0.0.1:$(operator_port "$i")/metrics" |
            sed -n "s/^lavenderspool_$1_total //p")
        sum=$((sum + ${n:-0}))
    done
    echo "$sum"
}

sum_engines() { # field of /counts, summed over the model's engines
    local i sum=0 n
    for ((i = FIRST; i < FIRST + 12; i++)); do
        n=$(curl -s "http://127.0.0.1:$(engine_port "$i")/counts" |
            sed "s/.*\"$1\": *\([0-9]*\).*/\1/")
        sum=$((sum + ${n:-0}))
    done
    echo "$sum"
}

inject_fault() {
    sleep $((SECONDS_EACH / 3))
    if [ "$FAULT" = worker ]; then
        curl -s -d '{"silent":true}' \
            "http://127.0.0.1:$(engine_port $((FIRST + 2)))/switch"
    elif [ "$FAULT" = home ]; then
        local home
        home=$(curl -s "http://127.0.0.1:$(operator_port 0)/v1/status" |
            grep -oE "\"$MODEL@ljubljana\": *\"vm-[0-9]\"" |
            grep -oE '[0-9]"$' | tr -d '"')
        kill -9 "$(eval "echo \$VM_PID_$home")"
    fi >/dev/null 2>&1
}

run_once() { # run number, policy, load
    local i targets="" rate
    write_config 1
    write_vm_list "$VMS"
    start_standins
    for ((i = 0; i < VMS; i++)); do
        start_vm "$i" --placement "$2" --log-level error
        targets+="${targets:+,}127.0.0.1:$(vm_port "$i")"
    done
    for ((i = 0; i < VMS; i++)); do wait_ready "$i"; done
    sleep 1
    rate=$(awk "BEGIN { print $CAPACITY * $3 / 100 }")
    inject_fault &
    "$BUILD/loadgen" --targets "$targets" --key "$KEY" --model "$MODEL" \
        --mix "$MIX" --rate "$rate" --seconds "$SECONDS_EACH" --seed $(($1 + ${SEED:-0})) \
        --quiet 1 --output "$WORK/result.json" >/dev/null
    echo "{\"run\":$1,\"policy\":\"$2\",\"load\":$3,\"mix\":\"$MIX\",\"fault\":\"$FAULT\",\"prefill_sent\":$(sum_metric prefill_tokens),\"prefill_wasted\":$(sum_metric prefill_tokens_wasted),\"retries\":$(sum_metric upstream_retries),\"peer_bytes\":$(sum_metric peer_bytes_sent),\"engine_prefilled\":$(sum_engines prefilled),\"result\":$(tr -d '\n' <"$WORK/result.json")}" >>"$OUTPUT"
    stop_cluster
}

for ((run = 1; run <= RUNS; run++)); do
    for load in $LOADS; do
        for policy in $POLICIES; do
            run_once "$run" "$policy" "$load" 2>/dev/null
        done
    done
done
