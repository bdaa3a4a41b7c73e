/* Gate: creation, configuration and shutdown. See gate.h. */
#include "../log.h"
#include "access.h"
#include "begun.h"
#include "crash_check.h"
#include "detour.h"
#include "grace.h"
#include "lookup.h"
#include "successor.h"
#include "survey.h"

#include <string.h>
#include <xxhash.h>

/* Longest random time that is added to the pause of a worker. */
#define GATE_PAUSE_SPREAD_MAX_US (250 * CLK_US_PER_MS)
/* After a worker named a limit, answers that name none are looked at for this
   time, to find out when it is lifted. */
#define GATE_LIMITS_KEEP_US (60 * CLK_US_PER_S)

static void on_response(void *context, const char *address, int status,
                        const HeaderList *headers);
static void note_pause(const Gate *gate, FleetWorker *worker, int64_t pause_us,
                       int64_t now_us);
static void note_limit(Gate *gate, FleetWorker *worker, double limit,
                       int64_t now_us);
static void log_malformed_notice(FleetWorker *worker, const char *field);
static uint32_t get_single_vm(void *context);
static void ask_nobody(void *context, const char *service,
                       const BudgetAsk *ask);
static double get_whole_share(void *context, const char *service);
static void ignore_budget_change(void *context, const char *service,
                                 double requests, double extras);
static void get_no_rooms(void *context, const char *service,
                         ReportRooms *rooms);
static void ignore_rooms_change(void *context, const char *service,
                                const ReportRooms *rooms);
static void ignore_load_change(void *context);
static uint32_t list_no_peers(void *context, const char *service,
                              GatePeer *peers, uint32_t max);
static void list_only_holder(void *context, Holders *holders);
static int64_t get_no_step_time(void *context);
static void ignore_lookups(void *context, uint64_t holder,
                           const LookupQuestion *rows, uint32_t count);

GateOptions
Gate_DefaultOptions(void)
{
    GateOptions options = {
        .vm = "",
        .weights = Rank_DefaultWeights(),
        .budget = Budget_DefaultOptions(),
        .quota = AccountLoad_DefaultOptions(),
        .get_vm_count = get_single_vm,
        .ask_loan = ask_nobody,
        .get_share = get_whole_share,
        .on_budget_change = ignore_budget_change,
        .get_peer_rooms = get_no_rooms,
        .on_rooms_change = ignore_rooms_change,
        .on_load_change = ignore_load_change,
        .list_peers = list_no_peers,
        .list_holders = list_only_holder,
        .get_step_time = get_no_step_time,
        .send_lookups = ignore_lookups,
    };
    return options;
}

Gate *
Gate_New(const GateOptions *options)
{
    Gate *gate = g_new0(Gate, 1);

    gate->options = *options;
    gate->options.budget.started_us =
        Clk_Now(options->clk) + Clk_GetSuspended(options->clk);
    gate->rand = g_rand_new_with_seed(options->seed);
    Client_SetObserver(options->client, gate, on_response);
    gate->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gate->demands =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gate->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gate->precedences =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gate->rooms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gate->urgencies =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gate->paces =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gate->drain_times =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gate->first_left_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    LIST_INIT(&gate->tasks);
    LIST_INIT(&gate->crash_checks);
    gate->surveys = Survey_New(gate);
    gate->lookups = Lookup_New(gate);
    gate->account_loads = AccountLoad_New(&gate->options);
    Detour_Init(gate);
    Access_Init(gate);
    Origins_Init(&gate->origins);
    Suspects_Init(&gate->suspects,
                  XXH3_64bits(options->vm, strlen(options->vm)));
    return gate;
}

void
Gate_Free(Gate *gate)
{
    if (gate == NULL) {
        return;
    }
    Gate_EndAll(gate);
    CrashCheck_EndAll(gate);
    Lookup_Free(gate->lookups);
    Survey_Free(gate->surveys);
    Detour_Clear(gate);
    Access_Clear(gate);
    Origins_Clear(&gate->origins);
    AccountLoad_Free(gate->account_loads);
    Rte_Unref(gate->table);
    g_hash_table_destroy(gate->budgets);
    g_hash_table_destroy(gate->demands);
    g_hash_table_destroy(gate->first_left_ms);
    g_hash_table_destroy(gate->queues);
    g_hash_table_destroy(gate->precedences);
    g_hash_table_destroy(gate->rooms);
    g_hash_table_destroy(gate->urgencies);
    g_hash_table_destroy(gate->paces);
    g_hash_table_destroy(gate->drain_times);
    g_rand_free(gate->rand);
    g_free(gate);
}

bool
Gate_SetTable(Gate *gate, RteTable *table)
{
    if (gate->table != NULL && gate->table->version >= table->version) {
        Rte_Unref(table);
        return false;
    }
    Log_WriteJson(
        LOG_LEVEL_INFO, "config_in_force",
        json_pack("{s:I,s:I,s:i}", "version", (json_int_t)table->version,
                  "before",
                  (json_int_t)(gate->table ? gate->table->version : 0),
                  "routes", (int)table->route_count));
    AccountLoad_SetAccounts(gate->account_loads, table->accounts);
    Rte_Unref(gate->table);
    Rte_SetLevels(table);
    gate->table = table;
    Met_Add(MET_CONFIG_ACCEPTED, 1);
    return true;
}

AccountLoads *
Gate_GetAccountLoads(Gate *gate)
{
    return gate->account_loads;
}

const RteTable *
Gate_GetTable(const Gate *gate)
{
    return gate->table;
}

GateDemand
Gate_GetDemand(const Gate *gate, const char *service)
{
    const GateDemand *demand = g_hash_table_lookup(gate->demands, service);
    GateDemand none = {0};

    return demand != NULL ? *demand : none;
}

const RankWeights *
Gate_GetWeights(const Gate *gate)
{
    return &gate->options.weights;
}

void
Gate_UpdateForecasts(Gate *gate)
{
    GateTask *task = NULL;

    LIST_FOREACH(task, &gate->tasks, links)
    {
        Task_UpdateForecasts(task);
    }
    Begun_Publish(gate);
}

size_t
Gate_GetBufferedBytes(const Gate *gate)
{
    const GateTask *task = NULL;
    size_t bytes = gate->buffered_bytes;

    LIST_FOREACH(task, &gate->tasks, links)
    {
        for (guint i = 0; i < G_N_ELEMENTS(task->calls); i++) {
            bytes += task->calls[i].sse.pending->len;
        }
    }
    return bytes;
}

Origins *
Gate_GetOrigins(Gate *gate)
{
    return &gate->origins;
}

Suspects *
Gate_GetSuspects(Gate *gate)
{
    return &gate->suspects;
}

void
Gate_LogSuspects(Gate *gate)
{
    int64_t now_us = Clk_Now(gate->options.clk);
    const SuspectsRow *row;

    Met_Add(MET_SUSPECTS_DISPLACED, gate->suspects.displaced);
    gate->suspects.displaced = 0;
    while ((row = Suspects_TakeChange(&gate->suspects, now_us)) != NULL) {
        int64_t until_us = 0;
        int64_t first_us = now_us;
        int64_t last_us = 0;

        for (uint32_t i = 0; i < row->crash_count; i++) {
            first_us = MIN(first_us, row->crashes[i].at_us);
            last_us = MAX(last_us, row->crashes[i].at_us);
        }
        Suspects_Judge(&gate->suspects, &row->part, 1, now_us, &until_us);
        Met_Add(MET_PARTS_BLAMED, row->blamed);
        Log_WriteJson(
            LOG_LEVEL_WARNING, row->blamed ? "part_blamed" : "part_cleared",
            json_pack(
                "{s:o,s:i,s:i,s:I,s:I,s:I}", "part",
                json_sprintf("%016llx", (unsigned long long)row->part),
                "depth", (int)row->depth, "crashes", (int)row->crash_count,
                "crashes_span_us", (json_int_t)MAX(last_us - first_us, 0),
                "sound_ago_us",
                (json_int_t)(row->sound_us != 0 ? now_us - row->sound_us : -1),
                "blocked_us", (json_int_t)MAX(until_us - now_us, 0)));
    }
}

void
Gate_LogLimit(Gate *gate, const FleetWorker *worker)
{
    gate->limits_until_us = Clk_Now(gate->options.clk) + GATE_LIMITS_KEEP_US;
    Met_Add(MET_LIMITS, 1);
    Log_WriteJson(LOG_LEVEL_INFO, "worker_limit",
                  json_pack("{s:s,s:f}", "worker", worker->entry.id,
                            "requests_per_s", worker->throttle.limit));
}

void
Gate_BeginShutdown(Gate *gate)
{
    gate->stopping = true;
}

void
Gate_SetDrain(Gate *gate, int64_t end_us)
{
    Grace_Begin(gate, end_us);
}

void
Gate_LogRequests(const Gate *gate)
{
    Grace_LogRequests(gate);
}

void
Gate_LogDrain(const Gate *gate)
{
    Grace_LogCount(gate);
}

void
Gate_EndAll(Gate *gate)
{
    Grace_NoteCut(gate);
    while (!LIST_EMPTY(&gate->tasks)) {
        Successor_EndSilent(LIST_FIRST(&gate->tasks));
        Task_Abort(LIST_FIRST(&gate->tasks), ADMISSION_STOPPING,
                   LS_ERR_UPSTREAM_FAILED);
    }
}

/* Notes what a worker says of itself in any answer, whoever gets that. */
static void
on_response(void *context, const char *address, int status,
            const HeaderList *headers)
{
    Gate *gate = context;
    const GateCodec *codec = gate->options.codec;
    int64_t now_us = Clk_Now(gate->options.clk);
    FleetWorker *worker;
    GateNotice notice;

    codec->decode_notice(codec->context, status, headers, &notice);
    if (!notice.leaving && !notice.has_pause && !notice.has_limit &&
        notice.malformed == NULL && now_us >= gate->limits_until_us) {
        return;
    }
    worker = Fleet_FindByAddress(gate->options.fleet, address);
    if (worker == NULL) {
        return;
    }
    if (notice.malformed != NULL) {
        log_malformed_notice(worker, notice.malformed);
    }
    if (notice.has_pause) {
        note_pause(gate, worker, notice.pause_us, now_us);
    }
    if (notice.malformed == NULL) {
        note_limit(gate, worker,
                   notice.has_limit ? notice.limit : THROTTLE_NONE, now_us);
    }
    if (notice.leaving && !worker->notice.leaving) {
        Fleet_NoteLeaving(gate->options.fleet, worker, now_us);
        Met_Add(MET_WORKERS_LEAVING, 1);
        Log_WriteJson(LOG_LEVEL_INFO, "worker_leaving",
                      json_pack("{s:s,s:i,s:I}", "worker", worker->entry.id,
                                "status", status, "serves_us",
                                (json_int_t)(worker->notice.leave_deadline_us -
                                             now_us)));
        gate->options.on_load_change(gate->options.context);
    }
}

/* Notes a pause that the worker asks for, and logs the first of a time. */
static void
note_pause(const Gate *gate, FleetWorker *worker, int64_t pause_us,
           int64_t now_us)
{
    bool is_known = Notice_IsPaused(&worker->notice, now_us);
    /* VMs that were turned away together must not return together. */
    int64_t spread_us = MIN(pause_us / 10, GATE_PAUSE_SPREAD_MAX_US);

    pause_us += g_rand_int_range(gate->rand, 0, (gint32)spread_us + 1);
    Notice_NotePause(&worker->notice, pause_us, now_us);
    Met_Add(MET_PAUSES, 1);
    if (!is_known) {
        Log_WriteJson(LOG_LEVEL_INFO, "worker_pauses",
                      json_pack("{s:s,s:I}", "worker", worker->entry.id,
                                "pause_us", (json_int_t)pause_us));
    }
}

/* Notes the limit that the worker names, or THROTTLE_NONE. */
static void
note_limit(Gate *gate, FleetWorker *worker, double limit, int64_t now_us)
{
    if (Throttle_NoteLimit(&worker->throttle, limit, now_us,
                           g_rand_double(gate->rand), now_us)) {
        Gate_LogLimit(gate, worker);
        gate->options.on_load_change(gate->options.context);
    }
    if (Throttle_IsLimited(&worker->throttle)) {
        gate->limits_until_us = now_us + GATE_LIMITS_KEEP_US;
    }
}

static void
log_malformed_notice(FleetWorker *worker, const char *field)
{
    Met_Add(MET_NOTICES_MALFORMED, 1);
    if (!worker->malformed_notice_logged) {
        worker->malformed_notice_logged = true;
        Log_WriteJson(LOG_LEVEL_WARNING, "worker_notice_malformed",
                      json_pack("{s:s,s:s}", "worker", worker->entry.id,
                                "field", field));
    }
}

static uint32_t
get_single_vm(void *context)
{
    (void)context;
    return 1;
}

static void
ask_nobody(void *context, const char *service, const BudgetAsk *ask)
{
    (void)context;
    (void)service;
    (void)ask;
}

static double
get_whole_share(void *context, const char *service)
{
    (void)context;
    (void)service;
    return 1.0;
}

static void
ignore_budget_change(void *context, const char *service, double requests,
                     double extras)
{
    (void)context;
    (void)service;
    (void)requests;
    (void)extras;
}

static void
get_no_rooms(void *context, const char *service, ReportRooms *rooms)
{
    (void)context;
    (void)service;
    (void)rooms;
}

static void
ignore_rooms_change(void *context, const char *service,
                    const ReportRooms *rooms)
{
    (void)context;
    (void)service;
    (void)rooms;
}

static void
ignore_load_change(void *context)
{
    (void)context;
}

static uint32_t
list_no_peers(void *context, const char *service, GatePeer *peers,
              uint32_t max)
{
    (void)context;
    (void)service;
    (void)peers;
    (void)max;
    return 0;
}

static void
list_only_holder(void *context, Holders *holders)
{
    (void)context;
    holders->self = 1;
    Holders_Add(holders, holders->self);
}

static int64_t
get_no_step_time(void *context)
{
    (void)context;
    return 0;
}

static void
ignore_lookups(void *context, uint64_t holder, const LookupQuestion *rows,
               uint32_t count)
{
    (void)context;
    (void)holder;
    (void)rows;
    (void)count;
}
