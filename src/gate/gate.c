/* Gate: creation, configuration and shutdown. See gate.h. */
#include "../log.h"
#include "task.h"

#include <string.h>

static BudgetPeerUsage get_no_peer_usage(void *context, const char *service);
static void ignore_budget_change(void *context, const char *service,
                                 double requests, double extras);
static void ignore_load_change(void *context);

GateOptions
Gate_DefaultOptions(void)
{
    GateOptions options = {
        .weights = Rank_DefaultWeights(),
        .budget = Budget_DefaultOptions(),
        .get_peer_usage = get_no_peer_usage,
        .on_budget_change = ignore_budget_change,
        .on_load_change = ignore_load_change,
    };
    return options;
}

Gate *
Gate_New(const GateOptions *options)
{
    Gate *gate = g_new0(Gate, 1);

    gate->options = *options;
    gate->options.budget.started_us = Clk_Now(options->clk);
    gate->rand = g_rand_new_with_seed(options->seed);
    gate->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gate->demands =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    LIST_INIT(&gate->tasks);
    return gate;
}

void
Gate_Free(Gate *gate)
{
    if (gate == NULL) {
        return;
    }
    Gate_EndAll(gate);
    Rte_Unref(gate->table);
    g_hash_table_destroy(gate->budgets);
    g_hash_table_destroy(gate->demands);
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
    Rte_Unref(gate->table);
    gate->table = table;
    Met_Add(MET_CONFIG_ACCEPTED, 1);
    return true;
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
}

size_t
Gate_GetBufferedBytes(const Gate *gate)
{
    return gate->buffered_bytes;
}

void
Gate_SetBudget(Gate *gate, const BudgetOptions *options)
{
    GHashTableIter iter;
    gpointer budget;
    int64_t started_us = gate->options.budget.started_us;

    gate->options.budget = *options;
    gate->options.budget.started_us = started_us;
    g_hash_table_iter_init(&iter, gate->budgets);
    while (g_hash_table_iter_next(&iter, NULL, &budget)) {
        ((Budget *)budget)->options = gate->options.budget;
    }
}

void
Gate_BeginShutdown(Gate *gate)
{
    gate->stopping = true;
}

void
Gate_EndAll(Gate *gate)
{
    while (!LIST_EMPTY(&gate->tasks)) {
        Task_Abort(LIST_FIRST(&gate->tasks), ADMISSION_STOPPING,
                   LS_ERR_UPSTREAM_FAILED);
    }
}

static BudgetPeerUsage
get_no_peer_usage(void *context, const char *service)
{
    BudgetPeerUsage alone = {.vm_count = 1};

    (void)context;
    (void)service;
    return alone;
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
ignore_load_change(void *context)
{
    (void)context;
}
