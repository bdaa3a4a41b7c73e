/* Edge, gossip: see edge_gossip.h. */
#include "edge_gossip.h"
#include "edge.h"

static uint32_t lend(void *context, uint64_t service, const BudgetAsk *ask);
static void borrow(void *context, uint64_t service, uint32_t parts,
                   int64_t asked_us);
static LookupAnswer answer_lookup(void *context,
                                  const LookupQuestion *question,
                                  const Origin **origin);
static void on_lookup_answer(void *context, uint64_t holder,
                             const LookupAnswer *answer);
static uint32_t list_cut(void *context, uint64_t *services, uint32_t max);
static uint32_t list_reaches(void *context, GateReach *reaches, uint32_t max);
static void on_reach(void *context, const GateReach *reach);
static void on_suspects_change(void *context);
static void on_limit_change(void *context, const FleetWorker *worker);
static void update_load(void *context);

void
EdgeGossip_SetCallbacks(GosOptions *options)
{
    options->lend = lend;
    options->borrow = borrow;
    options->answer_lookup = answer_lookup;
    options->on_lookup_answer = on_lookup_answer;
    options->list_cut = list_cut;
    options->list_reaches = list_reaches;
    options->on_reach = on_reach;
    options->on_suspects_change = on_suspects_change;
    options->on_limit_change = on_limit_change;
    options->update_load = update_load;
}

static uint32_t
lend(void *context, uint64_t service, const BudgetAsk *ask)
{
    return Gate_Lend(Edge_GetGate(context), service, ask);
}

static void
borrow(void *context, uint64_t service, uint32_t parts, int64_t asked_us)
{
    Gate_Borrow(Edge_GetGate(context), service, parts, asked_us);
}

static LookupAnswer
answer_lookup(void *context, const LookupQuestion *question,
              const Origin **origin)
{
    return Lookup_Answer(Edge_GetGate(context), question, origin);
}

static void
on_lookup_answer(void *context, uint64_t holder, const LookupAnswer *answer)
{
    Lookup_NoteAnswer(Edge_GetGate(context), holder, answer);
}

static uint32_t
list_cut(void *context, uint64_t *services, uint32_t max)
{
    return Gate_ListCut(Edge_GetGate(context), services, max);
}

static uint32_t
list_reaches(void *context, GateReach *reaches, uint32_t max)
{
    return Gate_ListReaches(Edge_GetGate(context), reaches, max);
}

static void
on_reach(void *context, const GateReach *reach)
{
    Gate_OnReach(Edge_GetGate(context), reach);
}

static void
on_suspects_change(void *context)
{
    Gate_LogSuspects(Edge_GetGate(context));
}

static void
on_limit_change(void *context, const FleetWorker *worker)
{
    Gate_LogLimit(Edge_GetGate(context), worker);
}

static void
update_load(void *context)
{
    Gate_UpdateForecasts(Edge_GetGate(context));
}
