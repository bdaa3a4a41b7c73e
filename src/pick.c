/* Engine selection: the order of a cell's jobs and the engines for each. */
#include "pick.h"

#include <string.h>

/* Longest prefill queue of an engine that is given another job. */
#define PICK_PREFILL_QUEUE_MAX_US (60 * CLK_US_PER_MS)
/* Waiting time that lowers a job's rank by one. */
#define PICK_AGING_US (2 * CLK_US_PER_S)

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

/* Returns the rank of a waiting job; the lowest is placed first. Each
   PICK_AGING_US of waiting lowers it by one, so that jobs of low priority
   don't starve. */
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

/* Whether a job already probes an engine that failed. Such an engine gets one
   job at a time until one succeeds. */
static bool
is_probe_running(const CellEngine *engine)
{
    return engine->failure_count > 0 &&
           (engine->slots_used > 0 || engine->prefills > 0);
}

static bool
is_usable(const CellJob *job, const CellEngine *engine, ConRole role,
          int64_t now_us)
{
    return (engine->spec.role == role || engine->spec.role == CON_ROLE_BOTH) &&
           !engine->spec.leaving && engine->suspended_until_us <= now_us &&
           !is_probe_running(engine) && !is_avoided(job, engine);
}

/* Finds the engine whose prefill would end first, among those with a prefill
   queue of at most `queue_max_us`. Returns NULL if there is none. */
static CellEngine *
find_prefill(const CellJob *job, int64_t queue_max_us, int64_t now_us)
{
    int64_t best_end = INT64_MAX;
    CellEngine *best = NULL;

    for (guint i = 0; i < job->cell->engines->len; i++) {
        CellEngine *engine = job->cell->engines->pdata[i];
        int64_t begin = MAX(engine->prefill_free_us, now_us);
        int64_t end;
        if (begin - now_us > queue_max_us ||
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
has_capacity(const CellJob *job, const CellEngine *engine)
{
    return engine->slots_used + engine->foreign_requests <
               engine->spec.slots &&
           engine->blocks_used + Cell_CountBlocks(job, &engine->spec) <=
               engine->spec.memory_blocks;
}

/* Finds the decode engine with the largest share of free slots; `allow_full`
   includes full engines. Returns NULL if there is none. */
static CellEngine *
find_decode(const CellJob *job, bool allow_full, int64_t now_us)
{
    CellEngine *best = NULL;
    double best_load = 0;

    for (guint i = 0; i < job->cell->engines->len; i++) {
        CellEngine *engine = job->cell->engines->pdata[i];
        double load = (double)engine->slots_used / engine->spec.slots;
        if ((best != NULL && load >= best_load) ||
            !(allow_full || has_capacity(job, engine)) ||
            !is_usable(job, engine, CON_ROLE_DECODE, now_us)) {
            continue;
        }
        best = engine;
        best_load = load;
    }
    return best;
}

/* Finds the engine of the role with the fewest requests in its last running
   list. */
static CellEngine *
find_least_reported(const CellJob *job, ConRole role, int64_t now_us)
{
    CellEngine *best = NULL;

    for (guint i = 0; i < job->cell->engines->len; i++) {
        CellEngine *engine = job->cell->engines->pdata[i];
        if (is_usable(job, engine, role, now_us) &&
            (best == NULL ||
             engine->reported_requests < best->reported_requests)) {
            best = engine;
        }
    }
    return best;
}

/* Finds the next usable engine of the role by round robin. */
static CellEngine *
find_round_robin(const CellJob *job, ConRole role, int64_t now_us)
{
    Cell *cell = job->cell;

    for (guint i = 0; i < cell->engines->len; i++) {
        CellEngine *engine =
            cell->engines->pdata[cell->next_index++ % cell->engines->len];
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
        job->prefill =
            job->decode != NULL
                ? find_prefill(job, PICK_PREFILL_QUEUE_MAX_US, now_us)
                : NULL;
        break;
    case PICK_POLICY_NO_RESERVE:
        job->decode = find_decode(job, true, now_us);
        job->prefill = find_prefill(job, INT64_MAX, now_us);
        break;
    case PICK_POLICY_ROUND_ROBIN:
        job->decode = find_round_robin(job, CON_ROLE_DECODE, now_us);
        job->prefill = find_round_robin(job, CON_ROLE_PREFILL, now_us);
        break;
    case PICK_POLICY_LEAST_LOAD:
        job->decode = find_least_reported(job, CON_ROLE_DECODE, now_us);
        job->prefill = find_least_reported(job, CON_ROLE_PREFILL, now_us);
        break;
    }
    return job->prefill != NULL && job->decode != NULL;
}

/* Returns the time from the end of the prefill to the first token. */
static int64_t
get_first_step_us(const CellJob *job, const CellEngine *decode)
{
    return Con_GetTransferTime(&decode->spec, job->context_tokens) +
           decode->spec.token_interval_us;
}

int64_t
Pick_PredictFirstToken(const CellJob *job, int64_t now_us)
{
    return MAX(job->prefill->prefill_free_us - now_us, 0) +
           Cell_GetPrefillCost(job, job->prefill) +
           get_first_step_us(job, job->decode);
}

/* Capacity that the usable engines of a cell have for a job. */
typedef struct Capacity {
    double prefill_tokens_per_us; /* Sum over the prefill engines. */
    double backlog_tokens;        /* Tokens granted and not yet prefilled. */
    int64_t prefill_us;    /* Shortest prefill; INT64_MAX without engine. */
    int64_t first_step_us; /* Shortest time from prefill to first token. */
    uint32_t free_slots;   /* Sum over the decode engines. */
} Capacity;

static Capacity
sum_capacity(const CellJob *job, int64_t now_us)
{
    Capacity capacity = {0, 0, INT64_MAX, INT64_MAX, 0};

    for (guint i = 0; i < job->cell->engines->len; i++) {
        const CellEngine *engine = job->cell->engines->pdata[i];
        if (is_usable(job, engine, CON_ROLE_PREFILL, now_us)) {
            double rate = (double)engine->spec.prefill_tokens_per_s /
                          (double)CLK_US_PER_S;
            capacity.prefill_tokens_per_us += rate;
            capacity.backlog_tokens +=
                (double)MAX(engine->prefill_free_us - now_us, 0) * rate;
            capacity.prefill_us =
                MIN(capacity.prefill_us, Cell_GetPrefillCost(job, engine));
        }
        if (is_usable(job, engine, CON_ROLE_DECODE, now_us)) {
            capacity.first_step_us =
                MIN(capacity.first_step_us, get_first_step_us(job, engine));
            capacity.free_slots +=
                engine->spec.slots -
                MIN(engine->slots_used + engine->foreign_requests,
                    engine->spec.slots);
        }
    }
    return capacity;
}

int64_t
Pick_PredictIdleFirstToken(const CellJob *job, int64_t now_us)
{
    Capacity capacity = sum_capacity(job, now_us);

    if (capacity.prefill_us == INT64_MAX ||
        capacity.first_step_us == INT64_MAX) {
        return 0;
    }
    return capacity.prefill_us + capacity.first_step_us;
}

/* The prediction is the longer of two waits, plus the job's own prefill,
   transfer and first step: the prefill work ahead of the job divided by the
   cell's prefill rate, and the wait for a decode slot. */
int64_t
Pick_PredictQueuedFirstToken(const CellJob *job, int64_t now_us)
{
    const Cell *cell = job->cell;
    Capacity capacity = sum_capacity(job, now_us);
    double prefill_wait_us;
    double slot_wait_us = 0;
    guint ahead = 0;
    const CellJob *other;

    if (capacity.prefill_us == INT64_MAX ||
        capacity.first_step_us == INT64_MAX) {
        return 0; /* Suspended engines may become usable in time. */
    }
    TAILQ_FOREACH(other, &cell->waiting, link)
    {
        if (other != job && get_rank(other, now_us) <= get_rank(job, now_us)) {
            ahead++;
            capacity.backlog_tokens += other->context_tokens;
        }
    }
    prefill_wait_us = capacity.backlog_tokens / capacity.prefill_tokens_per_us;
    if (ahead >= capacity.free_slots) {
        slot_wait_us = cell->release_interval_us *
                       (double)(ahead - capacity.free_slots + 1);
    }
    return (int64_t)MAX(prefill_wait_us, slot_wait_us) + capacity.prefill_us +
           capacity.first_step_us;
}
