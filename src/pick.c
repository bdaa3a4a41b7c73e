#include "pick.h"

#include <string.h>

#define PICK_LEAD_US (60 * CLK_US_PER_MS) /* Prefill queue at an engine. */
#define PICK_AGING_US (2 * CLK_US_PER_S)  /* Raises a waiter by one step. */

bool
Pick_IsLocal(PickPolicy policy)
{
    return policy == PICK_POLICY_ROUND_ROBIN ||
           policy == PICK_POLICY_LEAST_LOAD;
}

bool
Pick_IsShedding(PickPolicy policy)
{
    return policy == PICK_POLICY_RESERVE;
}

/* Priority of a waiting job; each PICK_AGING_US of waiting raises it one
   step, so that low priorities can't starve for ever. */
static int64_t
get_rank(const CellJob *job, int64_t now_us)
{
    return (int64_t)job->priority - (now_us - job->arrived_us) / PICK_AGING_US;
}

CellJob *
Pick_FindNextJob(const Cell *cell, int64_t now_us)
{
    CellJob *best = NULL;
    CellJob *job;

    TAILQ_FOREACH(job, &cell->waiting, link)
    {
        if (best == NULL || get_rank(job, now_us) < get_rank(best, now_us)) {
            best = job;
        }
    }
    return best;
}

static bool
is_avoided(const CellJob *job, const CellEngine *engine)
{
    for (guint i = 0; i < job->avoid->len; i++) {
        if (strcmp(job->avoid->pdata[i], engine->id) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether an engine that failed has a job already that tries it out. */
static bool
is_on_trial(const CellEngine *engine)
{
    return engine->failure_count > 0 &&
           (engine->slots_used > 0 || engine->prefills > 0);
}

static bool
is_usable(const CellJob *job, const CellEngine *engine, ConRole role,
          int64_t now_us)
{
    return (engine->spec.role == role || engine->spec.role == CON_ROLE_BOTH) &&
           !engine->spec.leaving && engine->down_until_us <= now_us &&
           !is_on_trial(engine) && !is_avoided(job, engine);
}

/* The engine whose prefill would end first, if one may begin within `lead`
   of now. */
static CellEngine *
find_prefill(const CellJob *job, int64_t lead_us, int64_t now_us)
{
    int64_t best_end = INT64_MAX;
    CellEngine *best = NULL;

    for (guint i = 0; i < job->cell->engines->len; i++) {
        CellEngine *engine = job->cell->engines->pdata[i];
        int64_t begin = MAX(engine->prefill_free_us, now_us);
        int64_t end;
        if (begin - now_us > lead_us ||
            !is_usable(job, engine, CON_ROLE_PREFILL, now_us)) {
            continue;
        }
        end = begin + Cell_GetPrefillCost(job, engine);
        if (end < best_end) {
            best = engine;
            best_end = end;
        }
    }
    return best;
}

static bool
has_room(const CellJob *job, const CellEngine *engine)
{
    return engine->slots_used + engine->foreign < engine->spec.slots &&
           engine->blocks_used + Cell_CountBlocks(job, &engine->spec) <=
               engine->spec.memory_blocks;
}

/* The decode engine with the largest free part of its slots; `any` takes
   full ones too. */
static CellEngine *
find_decode(const CellJob *job, bool any, int64_t now_us)
{
    CellEngine *best = NULL;
    double best_load = 0;

    for (guint i = 0; i < job->cell->engines->len; i++) {
        CellEngine *engine = job->cell->engines->pdata[i];
        double load = (double)engine->slots_used / engine->spec.slots;
        if ((best != NULL && load >= best_load) ||
            !(any || has_room(job, engine)) ||
            !is_usable(job, engine, CON_ROLE_DECODE, now_us)) {
            continue;
        }
        best = engine;
        best_load = load;
    }
    return best;
}

/* The engine of the role with the fewest requests in its last report. */
static CellEngine *
find_least_reported(const CellJob *job, ConRole role, int64_t now_us)
{
    CellEngine *best = NULL;

    for (guint i = 0; i < job->cell->engines->len; i++) {
        CellEngine *engine = job->cell->engines->pdata[i];
        if (is_usable(job, engine, role, now_us) &&
            (best == NULL || engine->reported < best->reported)) {
            best = engine;
        }
    }
    return best;
}

/* The usable engine of the role whose turn it is. */
static CellEngine *
find_in_turn(const CellJob *job, ConRole role, int64_t now_us)
{
    Cell *cell = job->cell;

    for (guint i = 0; i < cell->engines->len; i++) {
        CellEngine *engine =
            cell->engines->pdata[cell->turn++ % cell->engines->len];
        if (is_usable(job, engine, role, now_us)) {
            return engine;
        }
    }
    return NULL;
}

bool
Pick_ChooseEngines(CellJob *job, PickPolicy policy, int64_t now_us)
{
    switch (policy) {
    case PICK_POLICY_RESERVE:
        job->decode = find_decode(job, false, now_us);
        job->prefill = job->decode != NULL
                           ? find_prefill(job, PICK_LEAD_US, now_us)
                           : NULL;
        break;
    case PICK_POLICY_NO_RESERVE:
        job->decode = find_decode(job, true, now_us);
        job->prefill = find_prefill(job, INT64_MAX, now_us);
        break;
    case PICK_POLICY_ROUND_ROBIN:
        job->decode = find_in_turn(job, CON_ROLE_DECODE, now_us);
        job->prefill = find_in_turn(job, CON_ROLE_PREFILL, now_us);
        break;
    case PICK_POLICY_LEAST_LOAD:
        job->decode = find_least_reported(job, CON_ROLE_DECODE, now_us);
        job->prefill = find_least_reported(job, CON_ROLE_PREFILL, now_us);
        break;
    }
    return job->prefill != NULL && job->decode != NULL;
}

/* Time from the end of the prefill to the first token. */
static int64_t
get_tail_us(const CellJob *job, const CellEngine *decode)
{
    return Con_GetTransferTime(&decode->spec, job->context_tokens) +
           decode->spec.token_interval_us;
}

int64_t
Pick_PredictFirstToken(const CellJob *job, int64_t now_us)
{
    return MAX(job->prefill->prefill_free_us - now_us, 0) +
           Cell_GetPrefillCost(job, job->prefill) +
           get_tail_us(job, job->decode);
}

/* What the cell's engines offer a job. */
typedef struct Supply {
    double prefill_tokens_per_us;
    double backlog_tokens; /* Granted and not yet prefilled. */
    int64_t own_us;        /* The job's prefill on its best engine. */
    int64_t tail_us;       /* From there to its first token. */
    uint32_t free_slots;
} Supply;

static Supply
sum_supply(const CellJob *job, int64_t now_us)
{
    Supply supply = {0, 0, INT64_MAX, INT64_MAX, 0};

    for (guint i = 0; i < job->cell->engines->len; i++) {
        const CellEngine *engine = job->cell->engines->pdata[i];
        if (is_usable(job, engine, CON_ROLE_PREFILL, now_us)) {
            double rate = (double)engine->spec.prefill_tokens_per_s /
                          (double)CLK_US_PER_S;
            supply.prefill_tokens_per_us += rate;
            supply.backlog_tokens +=
                (double)MAX(engine->prefill_free_us - now_us, 0) * rate;
            supply.own_us =
                MIN(supply.own_us, Cell_GetPrefillCost(job, engine));
        }
        if (is_usable(job, engine, CON_ROLE_DECODE, now_us)) {
            supply.tail_us = MIN(supply.tail_us, get_tail_us(job, engine));
            supply.free_slots +=
                engine->spec.slots -
                MIN(engine->slots_used + engine->foreign, engine->spec.slots);
        }
    }
    return supply;
}

int64_t
Pick_PredictIdleFirstToken(const CellJob *job, int64_t now_us)
{
    Supply supply = sum_supply(job, now_us);

    if (supply.own_us == INT64_MAX || supply.tail_us == INT64_MAX) {
        return 0;
    }
    return supply.own_us + supply.tail_us;
}

/* The prefill work before the job over the cell's prefill rate, or the wait
   for a decode slot where that is longer, then its own prefill, transfer and
   first step. */
int64_t
Pick_PredictQueuedFirstToken(const CellJob *job, int64_t now_us)
{
    const Cell *cell = job->cell;
    Supply supply = sum_supply(job, now_us);
    double queue_us;
    double slot_us = 0;
    guint ahead = 0;
    const CellJob *other;

    if (supply.own_us == INT64_MAX || supply.tail_us == INT64_MAX) {
        return 0; /* Engines that are down may come back in time. */
    }
    TAILQ_FOREACH(other, &cell->waiting, link)
    {
        if (other != job && get_rank(other, now_us) <= get_rank(job, now_us)) {
            ahead++;
            supply.backlog_tokens += other->context_tokens;
        }
    }
    queue_us = supply.backlog_tokens / supply.prefill_tokens_per_us;
    if (ahead >= supply.free_slots) {
        slot_us = cell->release_interval_us *
                  (double)(ahead - supply.free_slots + 1);
    }
    return (int64_t)MAX(queue_us, slot_us) + supply.own_us + supply.tail_us;
}
