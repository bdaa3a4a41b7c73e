# Functions that start the fake services and daemons on loopback. The scripts
# in tools/ and the end-to-end tests source this file. They must first set
# BUILD (the build directory), WORK (a scratch directory) and BASE (the first
# port).

CLUSTER_PIDS=()
CLUSTER_SECONDS=${CLUSTER_SECONDS:-120}

# Key of the links between the daemons.
export LAVENDERSPOOL_PEER_KEY=${LAVENDERSPOOL_PEER_KEY:-6c6176656e64657273706f6f6c2d64656d6f}
ZUPAN_KEY=zupan-demo-key
FESTPLASS_KEY=festplass-demo-key

platform_port() { echo "$BASE"; }
booking_port() { echo $((BASE + 1)); }
engine_port() { echo $((BASE + 100 + $1)); }  # port of worker number $1
vm_port() { echo $((BASE + 10 + $1 * 3)); }   # callers' port of VM number $1
operator_port() { echo $((BASE + 11 + $1 * 3)); }
peer_port() { echo $((BASE + 12 + $1 * 3)); }

digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# Prints one customer. Arguments: id, key, model, service, path of
# non-idempotent operations, path of idempotent operations, priority, weight
# of wasted prefill.
customer_json() {
    cat <<EOF
{"id":"$1","key_sha256":["$(digest "$2")"],"priority":$7,
 "requests_per_s":2000,"tokens_per_s":20000000,"concurrency":2000,
 "cross_region_tokens_per_s":100000,"regions":["ljubljana"],"models":["$3"],
 "first_token_ms":1300,"per_token_ms":36,"wasted_prefill_weight":$8,
 "routes":[{"service":"$4","path":"$5","idempotent":false},
           {"service":"$4","path":"$6","idempotent":true}]}
EOF
}

# Prints workers $1 to $2 of model $3. Of each three workers,
# PREFILL_OF_THREE are prefill workers (default 1). LOAD, if set, is the load
# target of all of them.
engines_json() {
    local i role
    for ((i = $1; i <= $2; i++)); do
        role=decode
        if (((i - $1) % 3 < ${PREFILL_OF_THREE:-1})); then role=prefill; fi
        cat <<EOF
{"id":"$3-$i","address":"127.0.0.1:$(engine_port "$i")","serves":"$3",
 "zone":"lj-1","region":"ljubljana","role":"$role","slots":20,
 ${LOAD:+\"load\":\"$LOAD\",\"checks_fencing\":true,}
 "memory_blocks":60,"block_tokens":2000,"prefill_tokens_per_s":20000,
 "token_interval_us":20000,"link_bytes_per_s":10000000000},
EOF
    done
}

# Prints the only worker of service $1.
service_json() {
    cat <<EOF
{"id":"$1-1","address":"127.0.0.1:$(booking_port)","serves":"$1",
 "zone":"lj-1","region":"ljubljana","role":"service"}
EOF
}

# Writes the manifest of configuration version $1 for the parts in WORK/kv.
publish_config() {
    local dir=$WORK/kv/lavenderspool name comma="" parts=""
    for name in contracts upstreams; do
        parts+="$comma{\"name\":\"$name\",\"sha256\":\"$(
            sha256sum <"$dir/parts/$name" | cut -d' ' -f1)\"}"
        comma=,
    done
    echo "{\"version\":$1,\"parts\":[$parts]}" >"$dir/manifest.new"
    mv "$dir/manifest.new" "$dir/manifest"
}

# Writes version $1 (default 1) of a configuration with two customers, 12
# workers for each of two models, and two services.
write_config() {
    mkdir -p "$WORK/kv/lavenderspool/parts"
    {
        echo '{"customers":['
        customer_json zupan "$ZUPAN_KEY" lens-assist booking-app /holds \
            /stock 1 1
        echo ,
        customer_json festplass "$FESTPLASS_KEY" vurdering-llm pitchdesk \
            /bookings /map 2 4
        echo ']}'
    } >"$WORK/kv/lavenderspool/parts/contracts"
    {
        echo '{"models":[{"name":"lens-assist","kv_bytes_per_token":100000},'
        echo '{"name":"vurdering-llm","kv_bytes_per_token":100000}],'
        echo '"upstreams":['
        engines_json 0 11 lens-assist
        engines_json 12 23 vurdering-llm
        service_json booking-app
        echo ,
        service_json pitchdesk
        echo ']}'
    } >"$WORK/kv/lavenderspool/parts/upstreams"
    publish_config "${1:-1}"
}

write_vm_list() { # VMs 0 to $1 - 1
    local i comma=""
    {
        echo '['
        for ((i = 0; i < $1; i++)); do
            echo "$comma{\"id\":\"vm-$i\",\"state\":\"live\",
                \"address\":\"127.0.0.1:$(peer_port "$i")\",
                \"zone\":\"lj-$((i % 3 + 1))\",\"region\":\"ljubljana\"}"
            comma=,
        done
        echo ']'
    } >"$WORK/kv/vms.json"
}

# Starts the fake services. ENGINE_FLAGS holds further flags of fake_engine.
start_standins() {
    "$BUILD/fake_platform" --port "$(platform_port)" --directory "$WORK/kv" \
        --seconds "$CLUSTER_SECONDS" &
    CLUSTER_PIDS+=($!)
    "$BUILD/fake_booking" --port "$(booking_port)" \
        --seconds "$CLUSTER_SECONDS" &
    CLUSTER_PIDS+=($!)
    "$BUILD/fake_engine" --port "$(engine_port 0)" --workers 24 \
        --seconds "$CLUSTER_SECONDS" ${ENGINE_FLAGS:-} &
    CLUSTER_PIDS+=($!)
}

# Starts a daemon and sets VM_PID and VM_PID_<number> to its process id.
# Arguments: VM number, further flags of the daemon.
start_vm() {
    local i=$1
    shift
    "$BUILD/lavenderspoold" --vm "vm-$i" --zone "lj-$((i % 3 + 1))" \
        --region ljubljana --port "$(vm_port "$i")" \
        --operator-port "$(operator_port "$i")" \
        --peer-port "$(peer_port "$i")" \
        --config-service "127.0.0.1:$(platform_port)" \
        --vm-list "127.0.0.1:$(platform_port)" "$@" \
        >>"$WORK/vm-$i.log" 2>&1 &
    VM_PID=$!
    CLUSTER_PIDS+=("$VM_PID")
    eval "VM_PID_$i=$VM_PID"
}

# Waits until each of the given VMs has a configuration and knows the homes of
# the cells, at most 10 s for each; continues if one does not.
wait_ready() {
    local i try
    for i in "$@"; do
        for ((try = 0; try < 100; try++)); do
            if curl -s "http://127.0.0.1:$(operator_port "$i")/v1/status" \
                2>/dev/null | grep -q '"config_version":[1-9].*"homes":{"'
            then break; fi
            sleep 0.1
        done
    done
}

# Waits until the given VMs report the same homes for all cells, at most 15 s.
wait_agreed() {
    local i try homes
    for ((try = 0; try < 150; try++)); do
        homes=$(for i in "$@"; do
            curl -s "http://127.0.0.1:$(operator_port "$i")/v1/status" |
                grep -oE '"homes":\{[^}]*\}'
        done | sort -u)
        if [ "$(wc -l <<<"$homes")" -eq 1 ] && [ -n "$homes" ]; then
            return
        fi
        sleep 0.1
    done
}

stop_cluster() {
    local pid
    for pid in "${CLUSTER_PIDS[@]}"; do kill -9 "$pid" 2>/dev/null; done
    wait 2>/dev/null
    CLUSTER_PIDS=()
}
