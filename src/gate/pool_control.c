#include "pool_control.h"

#include "../decide/pool.h"
#include "../io/loop.h"
#include "../log.h"
#include "../metrics.h"

#include <string.h>

#define POOL_CONTROL_TICK_MS 500
/* Ticks with load before the first order. */
#define POOL_CONTROL_WARMUP_TICKS 3
/* Weight of one tick in the moving average of the load, which thus covers
   some 5 s. */
#define POOL_CONTROL_SMOOTHING 0.1
/* A VM that becomes home of a service waits for this many leases before its
   first order. By then the previous home sends no more orders: it received a
   message of the new home, or it lost contact with the majority of the VMs. */
#define POOL_CONTROL_HOME_LEASES 2
/* Least time between two orders of a service. No code applies it: the number
   of orders per tick and of pending orders is limited instead. */
#define POOL_CONTROL_ORDER_GAP_US (3 * CLK_US_PER_S)
/* An order whose worker has not changed its phase in this time counts as
   lost. */
#define POOL_CONTROL_ORDER_TIMEOUT_US (15 * CLK_US_PER_S)
/* Answer to an order whose fence is lower than one that the worker has seen.
 */
#define POOL_CONTROL_STATUS_OUTDATED 412
/* A tick may send one order, and one more per this many workers. */
#define POOL_CONTROL_WORKERS_PER_ORDER 40
/* Largest share of a service's workers that may change at a time. */
#define POOL_CONTROL_CHANGING_SHARE_MAX 0.17
/* Weight of one more worker in a zone against one running call. It is far
   above the usual number of calls at a worker, so that the zone decides
   first. */
#define POOL_CONTROL_ZONE_WEIGHT 1000

/* The state of one service of model workers. */
typedef struct PoolControlService {
    char name[FLEET_NAME_MAX];
    GateDemand last_totals;  /* The gate's totals at the last tick. */
    ReportDemand own_load;   /* Moving average of this VM's load. */
    ReportDemand total_load; /* Sum of all VMs' moving averages. */
    uint32_t ticks;          /* Ticks at which there was load. */
    int64_t home_since_us; /* Time at which this VM became home; 0 if it is not
                              home or can't reach the source. */
    PoolFence fence;       /* Of this VM's orders. */
} PoolControlService;

/* An order whose worker has not yet changed its phase. */
typedef struct PoolControlOrder {
    char worker[FLEET_ID_MAX];
    FleetPhase to;
    int64_t at_us;
} PoolControlOrder;

/* The call that carries an order to its worker. */
typedef struct PoolControlCall {
    PoolControl *control;
    char worker[FLEET_ID_MAX];
    char service[FLEET_NAME_MAX];
    int status;
} PoolControlCall;

struct PoolControl {
    PoolControlOptions options;
    struct event *timer;
    GHashTable *services; /* Name to PoolControlService. */
    GArray *orders;       /* PoolControlOrder elements. */
    int64_t last_tick_us;
};

static void on_timer(evutil_socket_t fd, short what, void *context);
static PoolControlService *get_or_add_service(PoolControl *control,
                                              const char *name);
static void update_load(PoolControl *control, PoolControlService *state,
                        int64_t elapsed_us);
static void check_pools(PoolControl *control, PoolControlService *state,
                        const RteService *service);
static void count_pools(PoolControl *control, const RteService *service,
                        PoolInput *input);
static guint prune_orders(PoolControl *control, const char *service);
static FleetWorker *choose_worker(PoolControl *control, const char *service,
                                  FleetPhase from);
static void send_order(PoolControl *control, PoolControlService *state,
                       FleetWorker *worker, FleetPhase to);
static bool is_ordered(const PoolControl *control, const char *worker);
static void on_head(void *context, int status, const HeaderList *headers);
static void on_end(void *context, ClientOutcome outcome);

PoolControlOptions
PoolControl_DefaultOptions(void)
{
    PoolControlOptions options = {.vm = "", .lease_ms = 3000};
    return options;
}

PoolControl *
PoolControl_New(const PoolControlOptions *options)
{
    PoolControl *control = g_new0(PoolControl, 1);

    control->options = *options;
    control->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    control->orders = g_array_new(FALSE, FALSE, sizeof(PoolControlOrder));
    control->timer = evtimer_new(options->base, on_timer, control);
    control->last_tick_us = Clk_Now(options->clk);
    Loop_ArmTimer(control->timer, POOL_CONTROL_TICK_MS);
    return control;
}

void
PoolControl_Free(PoolControl *control)
{
    if (control == NULL) {
        return;
    }
    event_free(control->timer);
    g_hash_table_destroy(control->services);
    g_array_free(control->orders, TRUE);
    g_free(control);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    PoolControl *control = context;
    const RteTable *table = Gate_GetTable(control->options.gate);
    int64_t now_us = Clk_Now(control->options.clk);
    int64_t elapsed_us = now_us - control->last_tick_us;
    GHashTableIter iter;
    gpointer row;

    (void)fd;
    (void)what;
    control->last_tick_us = now_us;
    if (table != NULL && elapsed_us > 0) {
        g_hash_table_iter_init(&iter, table->services);
        while (g_hash_table_iter_next(&iter, NULL, &row)) {
            const RteService *service = row;
            if (service->is_engine) {
                PoolControlService *state =
                    get_or_add_service(control, service->name);
                update_load(control, state, elapsed_us);
                check_pools(control, state, service);
            }
        }
    }
    Loop_ArmTimer(control->timer, POOL_CONTROL_TICK_MS);
}

static PoolControlService *
get_or_add_service(PoolControl *control, const char *name)
{
    PoolControlService *state = g_hash_table_lookup(control->services, name);

    if (state == NULL) {
        state = g_new0(PoolControlService, 1);
        g_strlcpy(state->name, name, sizeof(state->name));
        g_hash_table_insert(control->services, state->name, state);
    }
    return state;
}

/* Adds the load of the time since the last tick to the moving averages, and
   publishes this VM's average to the other VMs. */
static void
update_load(PoolControl *control, PoolControlService *state,
            int64_t elapsed_us)
{
    GateDemand totals = Gate_GetDemand(control->options.gate, state->name);
    double prompt_per_us =
        (totals.prompt_tokens - state->last_totals.prompt_tokens) /
        (double)elapsed_us;
    double kv_tokens = (totals.kv_token_us - state->last_totals.kv_token_us) /
                       (double)elapsed_us;
    ReportDemand load;
    /* The first ticks get equal weights, so that the average does not start
       near 0. */
    double weight = MAX(POOL_CONTROL_SMOOTHING, 1.0 / (state->ticks + 1.0));

    state->last_totals = totals;
    state->own_load.prompt_per_us +=
        weight * (prompt_per_us - state->own_load.prompt_per_us);
    state->own_load.kv_tokens +=
        weight * (kv_tokens - state->own_load.kv_tokens);
    load = Gos_GetDemand(control->options.gossip, state->name);
    load.prompt_per_us = state->own_load.prompt_per_us;
    load.kv_tokens = state->own_load.kv_tokens;
    Gos_SetDemand(control->options.gossip, state->name, &load);
    state->total_load =
        Gos_SumPeerDemand(control->options.gossip, state->name);
    state->total_load.prompt_per_us += load.prompt_per_us;
    state->total_load.kv_tokens += load.kv_tokens;
    state->ticks += state->total_load.prompt_per_us > 0;
}

/* Sends the orders that bring the pools nearer to their target sizes, if this
   VM has been home for long enough. */
static void
check_pools(PoolControl *control, PoolControlService *state,
            const RteService *service)
{
    const PoolControlOptions *options = &control->options;
    int64_t now_us = Clk_Now(options->clk);
    PoolInput input = {0};
    uint32_t target;
    uint32_t total;
    guint pending = prune_orders(control, service->name);
    uint32_t count;
    FleetPhase from;

    count_pools(control, service, &input);
    if (!Gos_IsHome(options->gossip, service->name) ||
        !options->is_source_reachable(options->context)) {
        state->home_since_us = 0;
        return;
    }
    if (state->home_since_us == 0) {
        state->home_since_us = now_us;
    }
    if (now_us - state->home_since_us < POOL_CONTROL_HOME_LEASES *
                                            (int64_t)options->lease_ms *
                                            CLK_US_PER_MS ||
        state->ticks < POOL_CONTROL_WARMUP_TICKS ||
        !Gos_HasMajority(options->gossip)) {
        return;
    }
    input.kv_tokens = state->total_load.kv_tokens;
    input.prompt_per_us = state->total_load.prompt_per_us;
    total = input.prefill_workers + input.decode_workers;
    target = Pool_GetPrefillTarget(&input);
    from = target < input.prefill_workers ? FLEET_PHASE_PREFILL
                                          : FLEET_PHASE_DECODE;
    count = (target < input.prefill_workers ? input.prefill_workers - target
                                            : target - input.prefill_workers);
    for (uint32_t i = 0;
         i < count && i < 1 + total / POOL_CONTROL_WORKERS_PER_ORDER &&
         pending + 1 <= POOL_CONTROL_CHANGING_SHARE_MAX * total;
         i++) {
        FleetWorker *worker = choose_worker(control, service->name, from);
        if (worker == NULL) {
            break;
        }
        Log_WriteJson(LOG_LEVEL_INFO, "pool_change",
                      json_pack("{s:s,s:i,s:i,s:i,s:f,s:f,s:f}", "service",
                                service->name, "prefill",
                                (int)input.prefill_workers, "decode",
                                (int)input.decode_workers, "target",
                                (int)target, "load",
                                Pool_GetLoad(&input, input.prefill_workers),
                                "load_then", Pool_GetLoad(&input, target),
                                "prompt_per_us", input.prompt_per_us));
        send_order(control, state, worker,
                   from == FLEET_PHASE_PREFILL ? FLEET_PHASE_DECODE
                                               : FLEET_PHASE_PREFILL);
        pending++;
    }
}

/* Fills in the sizes and capacities of the pools. A worker with an order
   counts in the pool to which it changes. */
static void
count_pools(PoolControl *control, const RteService *service, PoolInput *input)
{
    const GPtrArray *rows = control->options.fleet->rows;
    int64_t now_us = Clk_Now(control->options.clk);
    double prefill_workers = 0;
    double slowness = 0;

    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        FleetPhase phase = worker->entry.phase;
        if (!Fleet_IsReady(worker, now_us) || phase == FLEET_PHASE_NONE ||
            strcmp(worker->entry.service, service->name) != 0) {
            continue;
        }
        for (guint k = 0; k < control->orders->len; k++) {
            const PoolControlOrder *order =
                &g_array_index(control->orders, PoolControlOrder, k);
            if (strcmp(order->worker, worker->entry.id) == 0) {
                phase = order->to;
            }
        }
        if (worker->entry.phase == FLEET_PHASE_PREFILL) {
            prefill_workers++;
            slowness += worker->slowness;
        }
        input->prefill_workers += phase == FLEET_PHASE_PREFILL;
        input->decode_workers += phase == FLEET_PHASE_DECODE;
    }
    input->kv_capacity_tokens = service->kv_tokens;
    input->prefill_per_us =
        Gate_GetWeights(control->options.gate)->prefill_per_us;
    if (prefill_workers > 0) {
        /* The configured speed is corrected by what this VM's own calls
           have measured. */
        input->prefill_per_us *= prefill_workers / slowness;
    }
}

/* Removes the orders that are done or lost, and returns the number of the
   service's orders that are still pending. */
static guint
prune_orders(PoolControl *control, const char *service)
{
    int64_t now_us = Clk_Now(control->options.clk);
    guint pending = 0;

    for (guint i = control->orders->len; i-- > 0;) {
        const PoolControlOrder *order =
            &g_array_index(control->orders, PoolControlOrder, i);
        const FleetWorker *worker =
            Fleet_Find(control->options.fleet, order->worker);
        if (worker == NULL || worker->entry.phase == order->to ||
            now_us - order->at_us > POOL_CONTROL_ORDER_TIMEOUT_US) {
            g_array_remove_index_fast(control->orders, i);
        }
        else {
            pending += strcmp(worker->entry.service, service) == 0;
        }
    }
    return pending;
}

/* Returns the worker with the fewest running calls in the availability zone
   that has the most ready workers of the pool, or NULL if none can change. */
static FleetWorker *
choose_worker(PoolControl *control, const char *service, FleetPhase from)
{
    const GPtrArray *rows = control->options.fleet->rows;
    int64_t now_us = Clk_Now(control->options.clk);
    FleetWorker *best = NULL;
    int64_t best_key = 0;

    for (guint i = 0; i < rows->len; i++) {
        FleetWorker *worker = g_ptr_array_index(rows, i);
        int64_t same_zone = 0;
        int64_t key;
        if (!Fleet_IsReady(worker, now_us) || worker->entry.phase != from ||
            strcmp(worker->entry.service, service) != 0 ||
            is_ordered(control, worker->entry.id) ||
            Notice_GetUse(&worker->notice, now_us) != NOTICE_OPEN ||
            Health_IsBlocked(&worker->health, now_us)) {
            continue;
        }
        for (guint k = 0; k < rows->len; k++) {
            const FleetWorker *other = g_ptr_array_index(rows, k);
            same_zone += Fleet_IsReady(other, now_us) &&
                         other->entry.phase == from &&
                         strcmp(other->entry.service, service) == 0 &&
                         strcmp(other->entry.zone, worker->entry.zone) == 0;
        }
        key = same_zone * POOL_CONTROL_ZONE_WEIGHT -
              (int64_t)(worker->inflight + worker->peer_inflight);
        if (best == NULL || key > best_key) {
            best = worker;
            best_key = key;
        }
    }
    return best;
}

static void
send_order(PoolControl *control, PoolControlService *state,
           FleetWorker *worker, FleetPhase to)
{
    const GateCodec *codec = control->options.codec;
    PoolControlOrder order = {.to = to,
                              .at_us = Clk_Now(control->options.clk)};
    PoolControlCall *call = g_new0(PoolControlCall, 1);
    GateControlCall control_call = {.headers = Header_New()};
    /* A new home has a higher fence than the previous one: it waits for
       POOL_CONTROL_HOME_LEASES leases before its first order. */
    uint64_t fence = Pool_GetNextFence(
        &state->fence, (uint64_t)(g_get_real_time() / CLK_US_PER_MS));
    ClientCallOptions options = {
        .address = worker->entry.address,
        .target = control_call.target,
        .headers = control_call.headers,
        .idle_max_ms = 0,
        .context = call,
        .on_head = on_head,
        .on_end = on_end,
    };

    g_strlcpy(order.worker, worker->entry.id, sizeof(order.worker));
    g_array_append_val(control->orders, order);
    worker->phase_change_until_us =
        order.at_us + POOL_CONTROL_ORDER_TIMEOUT_US;
    Gos_ScheduleUpdate(control->options.gossip);
    call->control = control;
    g_strlcpy(call->worker, worker->entry.id, sizeof(call->worker));
    g_strlcpy(call->service, state->name, sizeof(call->service));
    codec->encode_order(codec->context, worker->entry.id, control->options.vm,
                        fence, to, &control_call);
    options.method = control_call.method;
    options.body = control_call.body;
    options.body_size = strlen(control_call.body);
    Throttle_Charge(&worker->throttle);
    Client_BeginCall(control->options.client, &options);
    Header_Free(control_call.headers);
    Met_Add(MET_ORDERS_SENT, 1);
    Log_WriteJson(LOG_LEVEL_INFO, "order",
                  json_pack("{s:s,s:s,s:I}", "worker", worker->entry.id, "to",
                            to == FLEET_PHASE_PREFILL ? "prefill" : "decode",
                            "fence", (json_int_t)fence));
}

static bool
is_ordered(const PoolControl *control, const char *worker)
{
    for (guint i = 0; i < control->orders->len; i++) {
        const PoolControlOrder *order =
            &g_array_index(control->orders, PoolControlOrder, i);
        if (strcmp(order->worker, worker) == 0) {
            return true;
        }
    }
    return false;
}

static void
on_head(void *context, int status, const HeaderList *headers)
{
    PoolControlCall *call = context;

    (void)headers;
    call->status = status;
}

static void
on_end(void *context, ClientOutcome outcome)
{
    PoolControlCall *call = context;
    FleetWorker *worker;

    worker = Fleet_Find(call->control->options.fleet, call->worker);
    if (call->status == POOL_CONTROL_STATUS_OUTDATED) {
        Pool_NoteFenceRefused(
            &get_or_add_service(call->control, call->service)->fence);
    }
    if (worker != NULL &&
        (outcome != CLIENT_COMPLETE || call->status >= 300)) {
        /* The order was refused or lost. If the worker changes its phase
           nevertheless, it refuses work until the change is done. */
        worker->phase_change_until_us = 0;
    }
    Log_WriteJson(LOG_LEVEL_INFO, "order_answered",
                  json_pack("{s:s,s:i,s:b}", "worker", call->worker, "status",
                            call->status, "whole",
                            outcome == CLIENT_COMPLETE));
    g_free(call);
}
