#!/usr/bin/env bash
# Starts the stand-ins and three daemons on loopback, sends one request of
# each first user through a daemon that is home of neither cell, prints the
# streamed answers and the paths that they took, and stops everything.
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
echo "callers go to vm-$entry"

prompt_of() { # A document of about $2 bytes that begins with $1.
    local line="$1 "
    while ((${#line} < $2)); do line+="$line"; done
    printf %s "${line:0:$2}"
}

ask() { # key, model, prompt
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
ask "$ZUPAN_KEY" lens-assist "$(prompt_of \
    'Lens 50 mm T1.5: front element, two coating marks.' 24000)"
echo "--- Festplass: an application"
ask "$FESTPLASS_KEY" vurdering-llm "$(prompt_of \
    'Festival rules: power 16 A at most; menus need allergens.' 40000)"

echo "--- Zupan: a reservation hold, sent twice with one key"
url=http://127.0.0.1:$(vm_port "$entry")
key=$(curl -s -X POST -H "Authorization: Bearer $ZUPAN_KEY" \
    "$url/v1/operations" | sed 's/.*"idempotency_key":"\([^"]*\)".*/\1/')
for vm in "$entry" $(((entry + 1) % 3)); do
    curl -s -X POST -H "Authorization: Bearer $ZUPAN_KEY" \
        -H "Idempotency-Key: $key" -d '{"lens":"50 mm"}' \
        "http://127.0.0.1:$(vm_port "$vm")/v1/services/booking-app/holds"
    echo
done
echo "runs of the key at the booking application:"
curl -s "http://127.0.0.1:$(booking_port)/counts"
echo
echo "demo done"
