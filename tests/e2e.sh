#!/usr/bin/env bash
# End-to-end checks with real processes on loopback: three daemons, and fakes of
# the engines, the booking service and the platform. Each check compares output
# with an expected pattern. Durations are not checked, apart from the time
# limits that end the test.
set -uo pipefail
BUILD=$1
HERE=$(cd "$(dirname "$0")" && pwd)
WORK=$(mktemp -d)
CLUSTER_SECONDS=300
BASE=$((15000 + RANDOM % 17000))
while (exec 3<>"/dev/tcp/127.0.0.1/$BASE") 2>/dev/null; do
    BASE=$((15000 + RANDOM % 17000))
done
. "$HERE/../tools/cluster.sh"
trap 'stop_cluster; rm -rf "$WORK"' EXIT
FAILED=0

check() { # name, expected pattern, text
    if grep -qE -- "$2" <<<"$3"; then
        echo "ok: $1"
    else
        echo "FAILED: $1: expected /$2/ in: ${3:0:300}"
        FAILED=1
    fi
}

# Repeats a command for up to 15 s until its output matches.
eventually() { # name, expected pattern, command...
    local name=$1 pattern=$2 try text=""
    shift 2
    for ((try = 0; try < 150; try++)); do
        text=$("$@" 2>&1)
        if grep -qE -- "$pattern" <<<"$text"; then break; fi
        sleep 0.1
    done
    check "$name" "$pattern" "$text"
}

url() { echo "http://127.0.0.1:$(vm_port "$1")$2"; }
status() { curl -s "http://127.0.0.1:$(operator_port "$1")/v1/status"; }

# Requests a completion from a VM and prints the answer.
complete() { # vm, tokens, stream (true or false), further curl flags
    local vm=$1 tokens=$2 stream=$3
    shift 3
    curl -sN "$@" -H "Authorization: Bearer $ZUPAN_KEY" -d \
        "{\"model\":\"lens-assist\",\"prompt\":\"$PROMPT\",\"max_tokens\":$tokens,\"stream\":$stream}" \
        "$(url "$vm" /v1/completions)"
}

# Prints the text of a streamed answer, which is read from standard input.
streamed_text() {
    sed -n 's/.*"text":"\([^"]*\)".*/\1/p' | tr -d '\n'
}

# Prints the number of requests that all engines hold in memory.
held() {
    local i sum=0 n
    for i in 0 1 2 3 4 5 6 7 8 9 10 11; do
        n=$(curl -s "http://127.0.0.1:$(engine_port "$i")/counts" |
            sed 's/.*"held": *\([0-9]*\).*/\1/')
        sum=$((sum + n))
    done
    echo "held=$sum"
}

# Gets an operation key from a VM.
operation_key() { # vm
    curl -s -X POST -H "Authorization: Bearer $ZUPAN_KEY" \
        "$(url "$1" /v1/operations)" |
        sed 's/.*"idempotency_key":"\([^"]*\)".*/\1/'
}

# Requests a hold, a non-idempotent operation, with an operation key.
hold() { # vm, key
    curl -s -X POST -H "Authorization: Bearer $ZUPAN_KEY" \
        -H "Idempotency-Key: $2" -d '{"lens":1}' \
        "$(url "$1" /v1/services/booking-app/holds)"
}

PROMPT=$(head -c 6000 /dev/zero | tr '\0' 'x')
write_config 1
write_vm_list 3
ENGINE_FLAGS="--checks 1"
start_standins >"$WORK/standins.log" 2>&1
for i in 0 1 2; do start_vm "$i"; done
wait_ready 0 1 2
wait_agreed 0 1 2
home=$(status 0 | grep -oE '"lens-assist@ljubljana": *"vm-[0-9]"' |
    grep -oE '[0-9]"' | tr -d '"')
entry=$(((home + 1) % 3))
other=$(((home + 2) % 3))

echo "--- ${SECONDS}s: placement"
streamed=$(complete "$entry" 40 true | streamed_text)
check "the streamed answer has 40 tokens" "^40$" "$(wc -w <<<"$streamed")"
answer=$(complete "$entry" 40 false)
check "the unstreamed answer is the same" "$streamed" "$answer"
check "the home is another VM than the entry" \
    "vm-$entry>vm-$home:lens-assist" "$answer"
request=$(grep -oE '"id":"[^"]*"' <<<"$answer" | cut -d'"' -f4)
check "the home explains its decision" "granted lens-assist" \
    "$("$BUILD/lavenderspoolctl" explain "$request" --vms \
        "127.0.0.1:$(operator_port "$home")")"
check "the log contains the outcome" \
    '"outcome":"whole","run":"ran","path":"vm-' \
    "$(grep completion_ended "$WORK/vm-$entry.log")"
check "no log contains a key or a prompt" "^0$" "$(cat "$WORK"/vm-*.log |
    grep -cE "$ZUPAN_KEY|xxxxxxxx")"
check "the burn report counts both requests" "zupan +first_token +300 +2 +0" \
    "$("$BUILD/lavenderspoolctl" burn --vms \
        "127.0.0.1:$(operator_port "$entry")")"
check "contracts can be validated offline" "valid: 2 customers" \
    "$("$BUILD/lavenderspoolctl" check "$WORK"/kv/lavenderspool/parts/*)"

echo "--- ${SECONDS}s: bad input"
post() { curl -s -X POST -H "Authorization: Bearer ${KEY:-$ZUPAN_KEY}" \
    -d "$1" "$(url "$entry" "${2:-/v1/completions}")"; }
check "malformed JSON" '"number":100.*not_run' "$(post '{"model":')"
check "wrong type" '"number":101.*prompt' \
    "$(post '{"model":"lens-assist","prompt":7}')"
check "absent field" '"number":101.*model' "$(post '{"prompt":"x"}')"
check "unknown model" '"number":105' "$(post '{"model":"m","prompt":"x"}')"
check "unknown customer" '"number":104' "$(KEY=nobody post \
    '{"model":"lens-assist","prompt":"x"}')"
check "no key" '"number":103' "$(curl -s -d '{}' \
    "$(url "$entry" /v1/completions)")"
check "unknown route" '"number":107' "$(post '{}' /v2/none)"
check "unknown service" '"number":106' "$(post '{}' /v1/services/none/x)"
check "no operation key" '"number":300.*not_run' \
    "$(post '{}' /v1/services/booking-app/holds)"
head -c 1100000 /dev/zero | tr '\0' 'x' >"$WORK/large"
check "body too large" '"number":102.*not_run' "$(curl -s -X POST \
    -H "Authorization: Bearer $ZUPAN_KEY" --data-binary @"$WORK/large" \
    "$(url "$entry" /v1/completions)")"
check "the query is forwarded to the service" '"query": *"50mm"' "$(curl -s \
    -H "Authorization: Bearer $ZUPAN_KEY" \
    "$(url "$entry" '/v1/services/booking-app/stock?lens=50mm')")"
check "an idempotent service call is answered" '"available"' "$(curl -s \
    -H "Authorization: Bearer $ZUPAN_KEY" \
    "$(url "$entry" /v1/services/booking-app/stock/50mm)")"

echo "--- ${SECONDS}s: caller disconnected"
complete "$entry" 8000 true --max-time 1 >/dev/null
eventually "memory of a streamed request is freed" "held=0" held
complete "$entry" 8000 false --max-time 1 >/dev/null
eventually "memory of an unstreamed request is freed" "held=0" held

echo "--- ${SECONDS}s: the home is killed in the middle of an answer"
complete "$entry" 100 true >"$WORK/answer" &
client_pid=$!
sleep 1
kill -9 "$(eval "echo \$VM_PID_$home")"
wait "$client_pid"
check "the answer is complete" "^100$" "$(streamed_text <"$WORK/answer" | wc -w)"
check "the stream ends with DONE" 'DONE' "$(cat "$WORK/answer")"
check "requests succeed without the home" "finish_reason\":\"length" \
    "$(complete "$entry" 5 false)"
start_vm "$home"
wait_ready "$home"
wait_agreed 0 1 2
eventually "engine memory is freed" "held=0" held

echo "--- ${SECONDS}s: the home is paused before an answer"
kill -STOP "$(eval "echo \$VM_PID_$home")"
check "the answer is complete" "finish_reason\":\"length" \
    "$(complete "$entry" 5 false)"
kill -CONT "$(eval "echo \$VM_PID_$home")"

echo "--- ${SECONDS}s: operations"
key=$(operation_key "$entry")
check "a hold is executed" '"run": *1' "$(hold "$other" "$key")"
check "a repeated key is answered from the table" '"run": *1' \
    "$(hold "$entry" "$key")"
key=$(operation_key "$home")
curl -s -d '{"delay_ms":3000}' \
    "http://127.0.0.1:$(booking_port)/switch" >/dev/null
hold "$entry" "$key" >"$WORK/hold" &
client_pid=$!
sleep 1
kill -9 "$(eval "echo \$VM_PID_$home")"
wait "$client_pid"
check "after the issuer is killed, the outcome is unknown" \
    '"number":302.*unknown' "$(cat "$WORK/hold")"
curl -s -d '{"delay_ms":0}' \
    "http://127.0.0.1:$(booking_port)/switch" >/dev/null
start_vm "$home"
wait_ready "$home"
wait_agreed 0 1 2
check "after the issuer is restarted, it is still unknown" '"number":302.*unknown' \
    "$(hold "$entry" "$key")"
check "no operation was executed twice" '^[^2-9]*$' "$(curl -s \
    "http://127.0.0.1:$(booking_port)/counts" | grep -oE ':[ 0-9]+')"

echo "--- ${SECONDS}s: configuration"
curl -s -d '{"outage":true}' \
    "http://127.0.0.1:$(platform_port)/switch" >/dev/null
kill -9 "$(eval "echo \$VM_PID_$other")"
start_vm "$other"
eventually "a VM gets the configuration from peers while the service is down" \
    '"config_version":1' status "$other"
curl -s -d '{}' "http://127.0.0.1:$(platform_port)/switch" >/dev/null
write_config 2
for i in 0 1 2; do
    eventually "version 2 is active on vm-$i" '"config_version":2' \
        status "$i"
done
echo '{"customers":[{"id":"x"}]}' >"$WORK/kv/lavenderspool/parts/contracts"
publish_config 3
eventually "an invalid part is refused with its field" \
    'contracts: customers\[0\]' status "$entry"
check "the last valid version remains active" '"config_version":2' \
    "$(status "$entry")"
write_config 1
sleep 1
check "an older version changes nothing" '"config_version":2' \
    "$(status "$entry")"
write_config 4
eventually "version 4 is active" '"config_version":4' status "$entry"

echo "--- ${SECONDS}s: orders to engines"
loaded() { curl -s "http://127.0.0.1:$(engine_port "$1")/v1/requests"; }
check "nothing is loaded without an order" '"loaded":""' "$(loaded 0)"
LOAD=lens-assist-v2 write_config 5
for i in 0 5 11; do
    eventually "engine $i loads the ordered version" \
        '"loaded":"lens-assist-v2"' loaded "$i"
done
check "an old fencing number is refused" '"fenced"' "$(curl -s -d \
    '{"fencing":4,"load":"lens-assist-v1"}' \
    "http://127.0.0.1:$(engine_port 0)/v1/orders")"

echo "--- ${SECONDS}s: graceful shutdown"
pid=$(eval "echo \$VM_PID_$entry")
complete "$entry" 150 true >"$WORK/answer" &
client_pid=$!
sleep 1
kill -TERM "$pid"
sleep 0.3
check "new work is refused" '"number":201.*not_run' \
    "$(complete "$entry" 5 false)"
wait "$client_pid"
check "the answer is complete" "^150$" "$(streamed_text <"$WORK/answer" | wc -w)"
wait "$pid"
check "the process exits with 0" "^0$" "$?"

echo "--- ${SECONDS}s: shutdowns that can't wait"
# Keeps calls of three kinds at work and signals their VM.
cut_short() { # vm, signals, name
    local vm=$1 signals=$2 pid begun=$SECONDS k
    pid=$(eval "echo \$VM_PID_$vm")
    complete "$vm" 8000 true >"$WORK/cut-stream" &
    local stream_pid=$!
    complete "$vm" 8000 false >"$WORK/cut-whole" &
    local whole_pid=$!
    sleep 1
    for ((k = 0; k < signals; k++)); do
        kill -TERM "$pid"
        sleep 0.2
    done
    wait "$stream_pid"
    check "$3: a streamed answer ends with an error" \
        '"number":201.*"run":"unknown"' "$(tail -n 3 "$WORK/cut-stream")"
    wait "$whole_pid"
    check "$3: an unstreamed answer is an error" \
        '"number":201.*"run":"unknown"' "$(cat "$WORK/cut-whole")"
    wait "$pid"
    check "$3: the process exits with 75" "^75$" "$?"
    check "$3: the process is gone in time" "^[0-4]$" "$((SECONDS - begun))"
}
# TSan's runtime sleeps for a second at the exit, which is not the process's.
exit_at_once="atexit_sleep_ms=0${TSAN_OPTIONS:+:$TSAN_OPTIONS}"
TSAN_OPTIONS=$exit_at_once start_vm "$entry" --shutdown-s 3
wait_ready "$entry"
cut_short "$entry" 1 "end of the shutdown's time"
TSAN_OPTIONS=$exit_at_once start_vm "$entry"
wait_ready "$entry"
cut_short "$entry" 2 "second signal"

check "no sanitizer report in the daemons' logs" "^0$" "$(cat "$WORK"/vm-*.log |
    grep -cE 'Sanitizer|runtime error')"
check "no sanitizer report of the stand-ins" "^0$" \
    "$(grep -cE 'Sanitizer|runtime error' "$WORK/standins.log")"
if [ "$FAILED" -ne 0 ]; then
    grep -hE -A25 'Sanitizer|runtime error' "$WORK"/*.log | head -n 80
    tail -n 5 "$WORK"/vm-*.log
fi
exit "$FAILED"
