#include "pol.h"

#include "../decide/pool.h"
#include "../io/loop.h"
#include "../log.h"
#include "../met.h"

#include <string.h>

#define POL_TICK_MS 500
#define POL_WARMUP_TICKS 3 /* Of load, before it is believed. */
#define POL_SMOOTHING 0.1  /* Weight of a tick: the mean of some 5 s. */
/* As home, before the first order: this many leases. The VM that was home
   before stops at once, or is cut off and has given up by then. */
#define POL_HOME_LEASES 2
#define POL_ORDER_GAP_US                                                      \
    (3 * CLK_US_PER_S)                        /* Between orders of a service. \
                                               */
#define POL_ORDER_LIFE_US (15 * CLK_US_PER_S) /* Until it counts as lost. */
#define POL_TICK_WORKERS 40  /* One more order a tick for so many workers. */
#define POL_BATCH_SHARE 0.17 /* Of the workers that change at a time. */

/* A service of model workers, as it loads its pools. */
typedef struct PolService {
    char name[FLT_NAME_MAX];
    GateDemand asked;      /* At the last tick. */
    GosDemand own;         /* Moving means of what reaches this VM. */
    GosDemand all;         /* The same of all VMs. */
    uint32_t ticks;        /* With any load. */
    int64_t home_since_us; /* 0: another VM is home. */
    uint64_t fence;        /* Of the last order. */
} PolService;

/* A worker that was ordered and has not yet changed. */
typedef struct PolOrder {
    char worker[FLT_ID_MAX];
    FltPhase to;
    int64_t at_us;
} PolOrder;

typedef struct PolCall {
    Pol *pol;
    char worker[FLT_ID_MAX];
    int status;
} PolCall;

struct Pol {
    PolOptions options;
    struct event *timer;
    GHashTable *services; /* Name to PolService. */
    GArray *orders;       /* Of PolOrder. */
    int64_t ticked_us;
};

static void on_timer(evutil_socket_t fd, short what, void *context);
static PolService *use_service(Pol *pol, const char *name);
static void note_load(Pol *pol, PolService *state, int64_t since_us);
static void check_pools(Pol *pol, PolService *state,
                        const RteService *service);
static void count_pools(Pol *pol, const RteService *service, PoolInput *input);
static guint settle_orders(Pol *pol, const char *service);
static FltWorker *choose_worker(Pol *pol, const char *service, FltPhase from);
static void give_order(Pol *pol, PolService *state, FltWorker *worker,
                       FltPhase to);
static bool is_ordered(const Pol *pol, const char *worker);
static void on_head(void *context, int status, const HdrList *headers);
static void on_end(void *context, CliOutcome outcome);

PolOptions
Pol_DefaultOptions(void)
{
    PolOptions options = {.vm = "", .lease_ms = 3000};
    return options;
}

Pol *
Pol_New(const PolOptions *options)
{
    Pol *pol = g_new0(Pol, 1);

    pol->options = *options;
    pol->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    pol->orders = g_array_new(FALSE, FALSE, sizeof(PolOrder));
    pol->timer = evtimer_new(options->base, on_timer, pol);
    pol->ticked_us = Clk_Now(options->clk);
    Loop_ArmTimer(pol->timer, POL_TICK_MS);
    return pol;
}

void
Pol_Free(Pol *pol)
{
    if (pol == NULL) {
        return;
    }
    event_free(pol->timer);
    g_hash_table_destroy(pol->services);
    g_array_free(pol->orders, TRUE);
    g_free(pol);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Pol *pol = context;
    const RteTable *table = Gate_GetTable(pol->options.gate);
    int64_t now_us = Clk_Now(pol->options.clk);
    int64_t since_us = now_us - pol->ticked_us;
    GHashTableIter iter;
    gpointer row;

    (void)fd;
    (void)what;
    pol->ticked_us = now_us;
    if (table != NULL && since_us > 0) {
        g_hash_table_iter_init(&iter, table->services);
        while (g_hash_table_iter_next(&iter, NULL, &row)) {
            const RteService *service = row;
            if (service->is_engine) {
                PolService *state = use_service(pol, service->name);
                note_load(pol, state, since_us);
                check_pools(pol, state, service);
            }
        }
    }
    Loop_ArmTimer(pol->timer, POL_TICK_MS);
}

static PolService *
use_service(Pol *pol, const char *name)
{
    PolService *state = g_hash_table_lookup(pol->services, name);

    if (state == NULL) {
        state = g_new0(PolService, 1);
        g_strlcpy(state->name, name, sizeof(state->name));
        g_hash_table_insert(pol->services, state->name, state);
    }
    return state;
}

/* Takes this tick's load into the moving means, and tells the other VMs. */
static void
note_load(Pol *pol, PolService *state, int64_t since_us)
{
    GateDemand asked = Gate_GetDemand(pol->options.gate, state->name);
    double prompt =
        (asked.prompt_tokens - state->asked.prompt_tokens) / (double)since_us;
    double held =
        (asked.held_token_us - state->asked.held_token_us) / (double)since_us;
    GosDemand row;
    /* The first ticks weigh alike, so that the mean need not climb. */
    double weight = MAX(POL_SMOOTHING, 1.0 / (state->ticks + 1.0));

    state->asked = asked;
    state->own.prompt_per_us += weight * (prompt - state->own.prompt_per_us);
    state->own.held += weight * (held - state->own.held);
    row = Gos_GetDemand(pol->options.gossip, state->name);
    row.prompt_per_us = state->own.prompt_per_us;
    row.held = state->own.held;
    Gos_SetDemand(pol->options.gossip, state->name, &row);
    state->all = Gos_SumPeerDemand(pol->options.gossip, state->name);
    state->all.prompt_per_us += row.prompt_per_us;
    state->all.held += row.held;
    state->ticks += state->all.prompt_per_us > 0;
}

static void
check_pools(Pol *pol, PolService *state, const RteService *service)
{
    const PolOptions *options = &pol->options;
    int64_t now_us = Clk_Now(options->clk);
    PoolInput input = {0};
    uint32_t target;
    uint32_t total;
    guint pending = settle_orders(pol, service->name);
    uint32_t count;
    FltPhase from;

    count_pools(pol, service, &input);
    if (!Gos_IsHome(options->gossip, service->name) ||
        !options->is_source_reachable(options->context)) {
        state->home_since_us = 0;
        return;
    }
    if (state->home_since_us == 0) {
        state->home_since_us = now_us;
    }
    if (now_us - state->home_since_us <
            POL_HOME_LEASES * (int64_t)options->lease_ms * CLK_US_PER_MS ||
        state->ticks < POL_WARMUP_TICKS || !Gos_HasMajority(options->gossip)) {
        return;
    }
    input.held = state->all.held;
    input.prompt_per_us = state->all.prompt_per_us;
    total = input.prefill + input.decode;
    target = Pool_GetPrefillTarget(&input);
    from = target < input.prefill ? FLT_PHASE_PREFILL : FLT_PHASE_DECODE;
    count = (target < input.prefill ? input.prefill - target
                                    : target - input.prefill);
    for (uint32_t i = 0; i < count && i < 1 + total / POL_TICK_WORKERS &&
                         pending + 1 <= POL_BATCH_SHARE * total;
         i++) {
        FltWorker *worker = choose_worker(pol, service->name, from);
        if (worker == NULL) {
            break;
        }
        Log_WriteJson(LOG_LEVEL_INFO, "pool_change",
                      json_pack("{s:s,s:i,s:i,s:i,s:f,s:f,s:f}", "service",
                                service->name, "prefill", (int)input.prefill,
                                "decode", (int)input.decode, "target",
                                (int)target, "load",
                                Pool_GetLoad(&input, input.prefill),
                                "load_then", Pool_GetLoad(&input, target),
                                "prompt_per_us", input.prompt_per_us));
        give_order(pol, state, worker,
                   from == FLT_PHASE_PREFILL ? FLT_PHASE_DECODE
                                             : FLT_PHASE_PREFILL);
        pending++;
    }
}

/* Workers that are ready, counted by the pool that they are in or are
   changing to. */
static void
count_pools(Pol *pol, const RteService *service, PoolInput *input)
{
    const GPtrArray *rows = pol->options.fleet->rows;
    double readers = 0;
    double slowness = 0;

    for (guint i = 0; i < rows->len; i++) {
        const FltWorker *worker = g_ptr_array_index(rows, i);
        FltPhase phase = worker->entry.phase;
        if (!Flt_IsReady(worker) || phase == FLT_PHASE_NONE ||
            strcmp(worker->entry.service, service->name) != 0) {
            continue;
        }
        for (guint k = 0; k < pol->orders->len; k++) {
            const PolOrder *order = &g_array_index(pol->orders, PolOrder, k);
            if (strcmp(order->worker, worker->entry.id) == 0) {
                phase = order->to;
            }
        }
        if (worker->entry.phase == FLT_PHASE_PREFILL) {
            readers++;
            slowness += worker->slowness;
        }
        input->prefill += phase == FLT_PHASE_PREFILL;
        input->decode += phase == FLT_PHASE_DECODE;
    }
    input->memory = service->kv_tokens;
    input->prefill_per_us = Gate_GetWeights(pol->options.gate)->prefill_per_us;
    if (readers > 0) {
        /* As fast as this VM's own calls have shown them to be. */
        input->prefill_per_us *= readers / slowness;
    }
}

/* Forgets orders that are done or lost. Returns how many are pending. */
static guint
settle_orders(Pol *pol, const char *service)
{
    int64_t now_us = Clk_Now(pol->options.clk);
    guint pending = 0;

    for (guint i = pol->orders->len; i-- > 0;) {
        const PolOrder *order = &g_array_index(pol->orders, PolOrder, i);
        const FltWorker *worker = Flt_Find(pol->options.fleet, order->worker);
        if (worker == NULL || worker->entry.phase == order->to ||
            now_us - order->at_us > POL_ORDER_LIFE_US) {
            g_array_remove_index_fast(pol->orders, i);
        }
        else {
            pending += strcmp(worker->entry.service, service) == 0;
        }
    }
    return pending;
}

/* The worker of the pool with the least under way, of the region that has
   most of them. */
static FltWorker *
choose_worker(Pol *pol, const char *service, FltPhase from)
{
    const GPtrArray *rows = pol->options.fleet->rows;
    int64_t now_us = Clk_Now(pol->options.clk);
    FltWorker *best = NULL;
    int64_t best_key = 0;

    for (guint i = 0; i < rows->len; i++) {
        FltWorker *worker = g_ptr_array_index(rows, i);
        int64_t same = 0;
        int64_t key;
        if (!Flt_IsReady(worker) || worker->entry.phase != from ||
            strcmp(worker->entry.service, service) != 0 ||
            is_ordered(pol, worker->entry.id) ||
            Hlt_IsBlocked(&worker->health, now_us)) {
            continue;
        }
        for (guint k = 0; k < rows->len; k++) {
            const FltWorker *other = g_ptr_array_index(rows, k);
            same += Flt_IsReady(other) && other->entry.phase == from &&
                    strcmp(other->entry.service, service) == 0 &&
                    strcmp(other->entry.zone, worker->entry.zone) == 0;
        }
        key =
            same * 1000 - (int64_t)(worker->inflight + worker->peer_inflight);
        if (best == NULL || key > best_key) {
            best = worker;
            best_key = key;
        }
    }
    return best;
}

static void
give_order(Pol *pol, PolService *state, FltWorker *worker, FltPhase to)
{
    const GateCodec *codec = pol->options.codec;
    PolOrder order = {.to = to, .at_us = Clk_Now(pol->options.clk)};
    PolCall *call = g_new0(PolCall, 1);
    GateControlCall side = {.headers = Hdr_New()};
    uint64_t wall = (uint64_t)(g_get_real_time() / CLK_US_PER_MS);
    CliCallOptions options = {
        .address = worker->entry.address,
        .target = side.target,
        .headers = side.headers,
        .idle_max_ms = 0,
        .context = call,
        .on_head = on_head,
        .on_end = on_end,
    };

    /* The wall clock orders the numbers of successive homes, which begin
       leases apart; a home's own numbers only grow. */
    state->fence = MAX(state->fence + 1, wall);
    g_strlcpy(order.worker, worker->entry.id, sizeof(order.worker));
    g_array_append_val(pol->orders, order);
    worker->phase_change_until_us = order.at_us + POL_ORDER_LIFE_US;
    Gos_ScheduleUpdate(pol->options.gossip);
    call->pol = pol;
    g_strlcpy(call->worker, worker->entry.id, sizeof(call->worker));
    codec->encode_order(codec->context, worker->entry.id, pol->options.vm,
                        state->fence, to, &side);
    options.method = side.method;
    options.body = side.body;
    options.body_size = strlen(side.body);
    Cli_BeginCall(pol->options.cli, &options);
    Hdr_Free(side.headers);
    Met_Add(MET_ORDERS_SENT, 1);
    Log_WriteJson(LOG_LEVEL_INFO, "order",
                  json_pack("{s:s,s:s,s:I}", "worker", worker->entry.id, "to",
                            to == FLT_PHASE_PREFILL ? "prefill" : "decode",
                            "fence", (json_int_t)state->fence));
}

static bool
is_ordered(const Pol *pol, const char *worker)
{
    for (guint i = 0; i < pol->orders->len; i++) {
        const PolOrder *order = &g_array_index(pol->orders, PolOrder, i);
        if (strcmp(order->worker, worker) == 0) {
            return true;
        }
    }
    return false;
}

static void
on_head(void *context, int status, const HdrList *headers)
{
    PolCall *call = context;

    (void)headers;
    call->status = status;
}

static void
on_end(void *context, CliOutcome outcome)
{
    PolCall *call = context;
    FltWorker *worker;

    worker = Flt_Find(call->pol->options.fleet, call->worker);
    if (worker != NULL && (outcome != CLI_COMPLETE || call->status >= 300)) {
        /* Refused, or lost: whether it changes, its refusals will tell. */
        worker->phase_change_until_us = 0;
    }
    Log_WriteJson(LOG_LEVEL_INFO, "order_answered",
                  json_pack("{s:s,s:i,s:b}", "worker", call->worker, "status",
                            call->status, "whole", outcome == CLI_COMPLETE));
    g_free(call);
}
