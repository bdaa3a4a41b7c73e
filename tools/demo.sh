#!/usr/bin/env bash
# Starts the fake services and three daemons on loopback. Sends one request of
# each customer through a daemon that is home of neither cell, if there is
# one, prints the streamed completions and the paths that they took, and stops
# everything. Usage: tools/demo.sh [BUILD]
set -euo pipefail
BUILD=${1:-build}
WORK=$(mktemp -d)
BASE=${DEMO_BASE_PORT:-21000}
. "$(dirname "$0")/cluster.sh"
trap 'stop_cluster; rm -rf "$WORK"' EXIT

write_config 1
write_vm_list 3
start_standins
for i in 0 1 2; do start_vm "$i"; done
wait_ready 0 1 2
wait_agreed 0 1 2

homes=$(curl -s "http://127.0.0.1:$(operator_port 0)/v1/status" |
    grep -o '"homes":{[^}]*}')
echo "homes of the cells: $homes"
entry=0
for i in 0 1 2; do
    case $homes in *"\"vm-$i\""*) ;; *) entry=$i ;; esac
done
echo "requests are sent to vm-$entry"

make_prompt() { # text to repeat, length of the document in bytes
    local line="$1 "
    while ((${#line} < $2)); do line+="$line"; done
    printf %s "${line:0:$2}"
}

send_completion() { # key, model, prompt
    printf '{"model":"%s","prompt":"%s","max_tokens":12,"stream":true}' \
        "$2" "$3" >"$WORK/body.json"
    curl -sN -H "Authorization: Bearer $1" -d @"$WORK/body.json" \
        "http://127.0.0.1:$(vm_port "$entry")/v1/completions" |
        tee "$WORK/answer" | sed -n 's/.*"text":"\([^"]*\)".*/\1/p' |
        tr -d '\n'
    echo
    grep -o '"path":"[^"]*"' "$WORK/answer"
}

echo "--- Zupan: a condition log"
send_completion "$ZUPAN_KEY" lens-assist "$(make_prompt \
    'Lens 50 mm T1.5: front element, two coating marks.' 24000)"
echo "--- Festplass: an application"
send_completion "$FESTPLASS_KEY" vurdering-llm "$(make_prompt \
    'Festival rules: power 16 A at most; menus need allergens.' 40000)"

echo "--- Zupan: a reservation hold, sent to two VMs with one idempotency key"
url=http://127.0.0.1:$(vm_port "$entry")
key=$(curl -s -X POST -H "Authorization: Bearer $ZUPAN_KEY" \
    "$url/v1/operations" | sed 's/.*"idempotency_key":"\([^"]*\)".*/\1/')
for vm in "$entry" $(((entry + 1) % 3)); do
    curl -s -X POST -H "Authorization: Bearer $ZUPAN_KEY" \
        -H "Idempotency-Key: $key" -d '{"lens":"50 mm"}' \
        "http://127.0.0.1:$(vm_port "$vm")/v1/services/booking-app/holds"
    echo
done
echo "number of runs of the operation at the booking service:"
curl -s "http://127.0.0.1:$(booking_port)/counts"
echo
echo "demo done"
