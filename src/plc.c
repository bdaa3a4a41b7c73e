#include "plc.h"

#include "mem.h"
#include "reap.h"
#include "ring.h"

#include <string.h>
#include <sys/queue.h>

#define PLC_PREFIXES_MAX 256 /* Prefixes remembered for each engine. */
#define PLC_PREFILL_LEAD_US (60 * CLK_US_PER_MS)
#define PLC_DOWN_US (2 * CLK_US_PER_S)     /* After a failure. */
#define PLC_FULL_US (100 * CLK_US_PER_MS)  /* After a refusal. */
#define PLC_LEAVING_US (60 * CLK_US_PER_S) /* After "leaving". */
#define PLC_AGING_US (2 * CLK_US_PER_S)    /* Raises a waiter by one step. */
#define PLC_CHECK_US                                                          \
    (5 * CLK_US_PER_S)      /* Between checks of a grant's use.               \
                             */
#define PLC_RATE_WEIGHT 0.2 /* Of the newest interval between releases. */
#define PLC_RETRY_MIN_MS 100
#define PLC_RETRY_MAX_MS 30000

typedef struct PlcEngine {
    char id[CON_ID_MAX];
    ConUpstream spec;
    bool present; /* In the configuration in force. */
    uint32_t slots_used;
    uint32_t blocks_used;
    uint32_t prefills;       /* Granted and not yet ended. */
    int64_t prefill_free_us; /* When its prefill queue should be empty. */
    int64_t link_free_us;    /* When its outgoing link should be free. */
    int64_t down_until_us;
    GHashTable *prefixes; /* Prefix hash set. */
    GQueue *prefix_order; /* Oldest first. */
} PlcEngine;

typedef struct PlcJob {
    TAILQ_ENTRY(PlcJob) link;
    char key[BOARD_REQUEST_MAX]; /* "request/attempt" */
    char request[BOARD_REQUEST_MAX];
    char entry[CON_ID_MAX];
    uint32_t attempt;
    uint32_t context_tokens;
    uint32_t output_tokens;
    uint32_t priority;
    GArray *prefixes; /* guint64, longest last. */
    GPtrArray *avoid; /* char * */
    int64_t arrived_us;
    int64_t give_up_us; /* First token is of no use after this. */
    int64_t check_us;   /* When its caller is asked about again. */
    bool granted;
    bool prefilling;
    struct PlcCell *cell;
    PlcEngine *prefill;
    PlcEngine *decode;
    uint32_t blocks;
} PlcJob;

typedef TAILQ_HEAD(PlcJobList, PlcJob) PlcJobList;

typedef struct PlcCell {
    char name[CON_ID_MAX * 2];
    GPtrArray *engines; /* PlcEngine * of the configuration. */
    PlcJobList waiting; /* By arrival. */
    guint waiting_count;
    double release_interval_us; /* Smoothed; 0 until known. */
    int64_t released_us;
    uint64_t turn; /* Of the round-robin baseline. */
} PlcCell;

struct Plc {
    PlcPolicy policy;
    GHashTable *engines; /* id to PlcEngine */
    GHashTable *cells;   /* name to PlcCell */
    GHashTable *jobs;    /* key to PlcJob */
    int64_t next_check_us;
};

static void free_engine(gpointer data);
static void free_cell(gpointer data);
static void free_job(Plc *plc, PlcJob *job);
static PlcCell *get_cell(Plc *plc, const char *name);
static PlcJob *find_job(const Plc *plc, const char *request, uint32_t attempt);
static PlcJob *new_job(const char *entry, const char *request,
                       uint32_t attempt);
static void dispatch_cell(Board *board, PlcCell *cell);
static bool place_job(Board *board, PlcJob *job);
static void take_grant(Board *board, PlcJob *job);
static void give_back_grant(PlcJob *job);
static int64_t predict_wait(const Board *board, const PlcJob *job);
static void refuse_job(Board *board, PlcJob *job, LsResult code,
                       int64_t wait_us, const char *message);

Plc *
Plc_New(void)
{
    Plc *plc = g_new0(Plc, 1);

    plc->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_engine);
    plc->cells =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_cell);
    plc->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    return plc;
}

void
Plc_Free(Plc *plc)
{
    GList *jobs = g_hash_table_get_values(plc->jobs);

    for (GList *item = jobs; item != NULL; item = item->next) {
        free_job(plc, item->data);
    }
    g_list_free(jobs);
    g_hash_table_unref(plc->jobs);
    g_hash_table_unref(plc->cells);
    g_hash_table_unref(plc->engines);
    g_free(plc);
}

void
Plc_SetPolicy(Plc *plc, PlcPolicy policy)
{
    plc->policy = policy;
}

PlcPolicy
Plc_GetPolicy(const Plc *plc)
{
    return plc->policy;
}

void
Plc_OnConfig(Board *board)
{
    Plc *plc = board->plc;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, plc->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((PlcEngine *)value)->present = false;
    }
    g_hash_table_iter_init(&iter, plc->cells);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_set_size(((PlcCell *)value)->engines, 0);
    }
    for (guint i = 0; i < board->config->upstreams->len; i++) {
        const ConUpstream *spec = board->config->upstreams->pdata[i];
        PlcEngine *engine = g_hash_table_lookup(plc->engines, spec->id);
        if (spec->role == CON_ROLE_SERVICE) {
            continue;
        }
        if (engine == NULL) {
            engine = g_new0(PlcEngine, 1);
            g_strlcpy(engine->id, spec->id, sizeof(engine->id));
            engine->prefixes = g_hash_table_new_full(
                g_int64_hash, g_int64_equal, NULL, g_free);
            engine->prefix_order = g_queue_new();
            g_hash_table_insert(plc->engines, engine->id, engine);
        }
        engine->spec = *spec;
        engine->present = true;
        g_ptr_array_add(get_cell(plc, spec->cell)->engines, engine);
    }
}

void
Plc_OnReserve(Board *board, const char *entry, const Wire__Reserve *reserve)
{
    Plc *plc = board->plc;
    PlcJob *job = find_job(plc, reserve->request, reserve->attempt);
    PlcCell *cell;
    int64_t wait_us;

    if (job != NULL) {
        return; /* A repeated frame: the first one is being served. */
    }
    cell = get_cell(plc, reserve->cell);
    job = new_job(entry, reserve->request, reserve->attempt);
    job->cell = cell;
    job->context_tokens = MAX(reserve->context_tokens, 1);
    job->output_tokens = reserve->output_tokens;
    job->priority = reserve->priority;
    job->arrived_us = Board_Now(board);
    job->give_up_us = job->arrived_us + reserve->first_token_budget_us;
    g_array_append_vals(job->prefixes, reserve->prefix,
                        (guint)reserve->n_prefix);
    for (size_t i = 0; i < reserve->n_avoid; i++) {
        g_ptr_array_add(job->avoid, g_strdup(reserve->avoid[i]));
    }
    g_hash_table_insert(plc->jobs, job->key, job);
    TAILQ_INSERT_TAIL(&cell->waiting, job, link);
    cell->waiting_count++;
    if (board->stopping && strcmp(entry, board->vm) != 0) {
        refuse_job(board, job, LS_ERR_HOME_LOST, 0,
                   "the home is shutting down");
        return;
    }
    if (cell->engines->len == 0) {
        refuse_job(board, job, LS_ERR_NO_UPSTREAM, CLK_US_PER_S,
                   "the cell has no engine");
        return;
    }
    wait_us = predict_wait(board, job);
    if (job->arrived_us + wait_us > job->give_up_us) {
        refuse_job(board, job, LS_ERR_OVERLOAD,
                   wait_us - reserve->first_token_budget_us,
                   "the first token would come too late");
        return;
    }
    dispatch_cell(board, cell);
}

void
Plc_OnPrefillEnd(Board *board, const Wire__PrefillEnd *end)
{
    PlcJob *job = find_job(board->plc, end->request, end->attempt);
    PlcEngine *engine;
    int64_t now = Board_Now(board);

    if (job == NULL || !job->prefilling) {
        return;
    }
    engine = job->prefill;
    job->prefilling = false;
    engine->prefills--;
    if (engine->prefills == 0) {
        engine->prefill_free_us = now;
    }
    dispatch_cell(board, job->cell);
}

/* Takes an engine that an entry blamed out of use for a while. */
static void
blame_engine(Board *board, const Wire__Release *release)
{
    PlcEngine *engine =
        g_hash_table_lookup(board->plc->engines, release->blamed);
    int64_t pause_us = 0;

    if (engine == NULL) {
        return;
    }
    if (release->outcome == PLC_OUTCOME_REFUSED) {
        pause_us = PLC_FULL_US;
    }
    else if (release->outcome == PLC_OUTCOME_FAILED) {
        pause_us = PLC_DOWN_US;
    }
    else if (release->outcome == PLC_OUTCOME_LEAVING) {
        pause_us = PLC_LEAVING_US;
    }
    engine->down_until_us =
        MAX(engine->down_until_us, Board_Now(board) + pause_us);
}

/* Notes how often slots of the cell come free. */
static void
note_release(PlcCell *cell, int64_t now)
{
    if (cell->released_us != 0) {
        double interval = (double)(now - cell->released_us);
        cell->release_interval_us =
            cell->release_interval_us > 0
                ? cell->release_interval_us * (1 - PLC_RATE_WEIGHT) +
                      interval * PLC_RATE_WEIGHT
                : interval;
    }
    cell->released_us = now;
}

void
Plc_OnRelease(Board *board, const Wire__Release *release)
{
    PlcJob *job = find_job(board->plc, release->request, release->attempt);
    PlcCell *cell = get_cell(board->plc, release->cell);

    if (release->blamed[0] != '\0') {
        blame_engine(board, release);
    }
    if (job != NULL) {
        if (job->granted) {
            note_release(job->cell, Board_Now(board));
        }
        cell = job->cell;
        free_job(board->plc, job);
    }
    dispatch_cell(board, cell);
}

void
Plc_DropJob(Board *board, const char *key)
{
    PlcJob *job = g_hash_table_lookup(board->plc->jobs, key);
    PlcCell *cell;

    if (job == NULL) {
        return;
    }
    cell = job->cell;
    free_job(board->plc, job);
    dispatch_cell(board, cell);
}

void
Plc_OnLinkDown(Board *board, const char *vm)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, board->plc->cells);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PlcCell *cell = value;
        PlcJob *job = TAILQ_FIRST(&cell->waiting);
        while (job != NULL) {
            PlcJob *next = TAILQ_NEXT(job, link);
            if (strcmp(job->entry, vm) == 0) {
                free_job(board->plc, job);
            }
            job = next;
        }
    }
}

void
Plc_OnHold(Board *board, const char *entry, const Wire__Hold *hold)
{
    Plc *plc = board->plc;
    PlcEngine *decode =
        g_hash_table_lookup(plc->engines, hold->decode_upstream);
    PlcJob *job = find_job(plc, hold->request, hold->attempt);

    if (job != NULL || decode == NULL) {
        return;
    }
    job = new_job(entry, hold->request, hold->attempt);
    job->cell = get_cell(plc, hold->cell);
    job->context_tokens = hold->context_tokens;
    job->output_tokens = hold->output_tokens;
    job->arrived_us = Board_Now(board);
    job->decode = decode;
    g_hash_table_insert(plc->jobs, job->key, job);
    TAILQ_INSERT_TAIL(&job->cell->waiting, job, link);
    job->cell->waiting_count++;
    take_grant(board, job);
}

void
Plc_OnUpstreamLeaving(Board *board, const char *upstream)
{
    PlcEngine *engine = g_hash_table_lookup(board->plc->engines, upstream);

    if (engine != NULL) {
        engine->down_until_us = Board_Now(board) + PLC_LEAVING_US;
    }
}

/* Asks whether grants are still used: a release may have been lost. */
static void
check_jobs(Board *board, int64_t now)
{
    GPtrArray *due = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer value;

    if (now < board->plc->next_check_us) {
        g_ptr_array_unref(due);
        return;
    }
    board->plc->next_check_us = now + CLK_US_PER_S;
    g_hash_table_iter_init(&iter, board->plc->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PlcJob *job = value;
        if (job->granted && now >= job->check_us) {
            job->check_us = now + PLC_CHECK_US;
            g_ptr_array_add(due, g_strdup(job->key));
        }
    }
    for (guint i = 0; i < due->len; i++) {
        Reap_CheckJob(board, due->pdata[i]);
    }
    g_ptr_array_unref(due);
}

void
Plc_OnTick(Board *board)
{
    Plc *plc = board->plc;
    GHashTableIter iter;
    gpointer value;
    int64_t now = Board_Now(board);

    g_hash_table_iter_init(&iter, plc->cells);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PlcCell *cell = value;
        PlcJob *job = TAILQ_FIRST(&cell->waiting);
        while (job != NULL) {
            PlcJob *next = TAILQ_NEXT(job, link);
            if (now > job->give_up_us) {
                refuse_job(board, job, LS_ERR_OVERLOAD,
                           predict_wait(board, job),
                           "no engine came free in time");
            }
            job = next;
        }
        dispatch_cell(board, cell);
    }
    check_jobs(board, now);
    Reap_OnTick(board);
}

void
Plc_HandOn(Board *board)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, board->plc->cells);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PlcCell *cell = value;
        while (!TAILQ_EMPTY(&cell->waiting)) {
            refuse_job(board, TAILQ_FIRST(&cell->waiting), LS_ERR_HOME_LOST, 0,
                       "the home is shutting down");
        }
    }
}

guint
Plc_CountJobs(const Plc *plc)
{
    return g_hash_table_size(plc->jobs);
}

guint
Plc_CountWaiting(const Plc *plc)
{
    GHashTableIter iter;
    gpointer value;
    guint count = 0;

    g_hash_table_iter_init(&iter, plc->cells);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((const PlcCell *)value)->waiting_count;
    }
    return count;
}

bool
Plc_HasJob(const Plc *plc, const char *key)
{
    return g_hash_table_contains(plc->jobs, key);
}

json_t *
Plc_Describe(const Board *board)
{
    json_t *array = json_array();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, board->plc->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PlcEngine *engine = value;
        json_array_append_new(
            array, json_pack("{s:s, s:s, s:i, s:i, s:i, s:b}", "upstream",
                             engine->id, "cell", engine->spec.cell,
                             "slots_used", (int)engine->slots_used,
                             "blocks_used", (int)engine->blocks_used,
                             "prefills", (int)engine->prefills, "down",
                             (int)(engine->down_until_us > Board_Now(board))));
    }
    return array;
}

static void
free_engine(gpointer data)
{
    PlcEngine *engine = data;
    g_hash_table_unref(engine->prefixes);
    g_queue_free(engine->prefix_order);
    g_free(engine);
}

static void
free_cell(gpointer data)
{
    PlcCell *cell = data;
    g_ptr_array_unref(cell->engines);
    g_free(cell);
}

static PlcCell *
get_cell(Plc *plc, const char *name)
{
    PlcCell *cell = g_hash_table_lookup(plc->cells, name);

    if (cell == NULL) {
        cell = g_new0(PlcCell, 1);
        g_strlcpy(cell->name, name, sizeof(cell->name));
        cell->engines = g_ptr_array_new();
        TAILQ_INIT(&cell->waiting);
        g_hash_table_insert(plc->cells, cell->name, cell);
    }
    return cell;
}

static PlcJob *
find_job(const Plc *plc, const char *request, uint32_t attempt)
{
    char key[BOARD_REQUEST_MAX];

    g_snprintf(key, sizeof(key), "%s/%u", request, attempt);
    return g_hash_table_lookup(plc->jobs, key);
}

static PlcJob *
new_job(const char *entry, const char *request, uint32_t attempt)
{
    PlcJob *job = g_new0(PlcJob, 1);

    g_snprintf(job->key, sizeof(job->key), "%s/%u", request, attempt);
    g_strlcpy(job->request, request, sizeof(job->request));
    g_strlcpy(job->entry, entry, sizeof(job->entry));
    job->attempt = attempt;
    job->prefixes = g_array_new(FALSE, FALSE, sizeof(guint64));
    job->avoid = g_ptr_array_new_with_free_func(g_free);
    return job;
}

static void
stop_waiting(PlcJob *job)
{
    TAILQ_REMOVE(&job->cell->waiting, job, link);
    job->cell->waiting_count--;
}

static void
free_job(Plc *plc, PlcJob *job)
{
    if (job->granted) {
        give_back_grant(job);
    }
    else {
        stop_waiting(job);
    }
    g_hash_table_remove(plc->jobs, job->key);
    g_array_unref(job->prefixes);
    g_ptr_array_unref(job->avoid);
    g_free(job);
}

/* Priority of a waiting job; each PLC_AGING_US of waiting raises it one
   step, so that low priorities can't starve for ever. */
static int64_t
get_rank(const PlcJob *job, int64_t now)
{
    return (int64_t)job->priority - (now - job->arrived_us) / PLC_AGING_US;
}

static PlcJob *
find_next_job(const PlcCell *cell, int64_t now)
{
    PlcJob *best = NULL;
    PlcJob *job;

    TAILQ_FOREACH(job, &cell->waiting, link)
    {
        if (best == NULL || get_rank(job, now) < get_rank(best, now)) {
            best = job;
        }
    }
    return best;
}

static void
dispatch_cell(Board *board, PlcCell *cell)
{
    PlcJob *job;

    if (Mem_IsPictureStale(board)) {
        return;
    }
    while ((job = find_next_job(cell, Board_Now(board))) != NULL) {
        Wire__Frame frame = WIRE__FRAME__INIT;
        Wire__Grant grant = WIRE__GRANT__INIT;
        if (!place_job(board, job)) {
            return;
        }
        take_grant(board, job);
        grant.request = job->request;
        grant.attempt = job->attempt;
        grant.prefill_upstream = job->prefill->id;
        grant.decode_upstream = job->decode->id;
        frame.body_case = WIRE__FRAME__BODY_GRANT;
        frame.grant = &grant;
        Ring_Add(board, job->request, "granted %s > %s after %ld us",
                 job->prefill->id, job->decode->id,
                 (long)(Board_Now(board) - job->arrived_us));
        Board_SendFrame(board, job->entry, &frame);
    }
}

static bool
is_avoided(const PlcJob *job, const PlcEngine *engine)
{
    for (guint i = 0; i < job->avoid->len; i++) {
        if (strcmp(job->avoid->pdata[i], engine->id) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_usable(const Board *board, const PlcJob *job, const PlcEngine *engine,
          ConRole role)
{
    return (engine->spec.role == role || engine->spec.role == CON_ROLE_BOTH) &&
           !engine->spec.leaving &&
           engine->down_until_us <= Board_Now(board) &&
           !is_avoided(job, engine);
}

static uint32_t
count_blocks(const PlcJob *job, const ConUpstream *spec)
{
    uint32_t tokens = job->context_tokens + job->output_tokens;
    return (tokens + spec->block_tokens - 1) / spec->block_tokens;
}

/* Prompt tokens of the job that the engine's prefix cache should hold. */
static uint32_t
count_cached_tokens(const PlcJob *job, const PlcEngine *engine)
{
    uint32_t block = 1;
    uint32_t cached = 0;

    for (guint i = 0; i < job->prefixes->len; i++, block *= 2) {
        guint64 prefix = g_array_index(job->prefixes, guint64, i);
        if (!g_hash_table_contains(engine->prefixes, &prefix)) {
            break;
        }
        cached = block * PLC_PREFIX_TOKENS;
    }
    return MIN(cached, job->context_tokens - 1);
}

static int64_t
get_prefill_cost(const PlcJob *job, const PlcEngine *engine)
{
    int64_t tokens = job->context_tokens - count_cached_tokens(job, engine);
    return tokens * CLK_US_PER_S / engine->spec.prefill_tokens_per_s;
}

/* The engine whose prefill would end first, if one may begin soon. */
static PlcEngine *
find_prefill(const Board *board, const PlcJob *job)
{
    int64_t now = Board_Now(board);
    int64_t best_end = INT64_MAX;
    PlcEngine *best = NULL;

    for (guint i = 0; i < job->cell->engines->len; i++) {
        PlcEngine *engine = job->cell->engines->pdata[i];
        int64_t begin = MAX(engine->prefill_free_us, now);
        int64_t end;
        if (!is_usable(board, job, engine, CON_ROLE_PREFILL) ||
            begin - now > PLC_PREFILL_LEAD_US) {
            continue;
        }
        end = begin + get_prefill_cost(job, engine);
        if (end < best_end) {
            best = engine;
            best_end = end;
        }
    }
    return best;
}

static bool
has_room(const PlcJob *job, const PlcEngine *engine)
{
    return engine->slots_used < engine->spec.slots &&
           engine->blocks_used + count_blocks(job, &engine->spec) <=
               engine->spec.memory_blocks;
}

/* The decode engine with the largest free part of its slots. */
static PlcEngine *
find_decode(const Board *board, const PlcJob *job)
{
    PlcEngine *best = NULL;
    double best_load = 0;

    for (guint i = 0; i < job->cell->engines->len; i++) {
        PlcEngine *engine = job->cell->engines->pdata[i];
        double load = (double)engine->slots_used / engine->spec.slots;
        if (!is_usable(board, job, engine, CON_ROLE_DECODE) ||
            !has_room(job, engine)) {
            continue;
        }
        if (best == NULL || load < best_load) {
            best = engine;
            best_load = load;
        }
    }
    return best;
}

/* The usable engine of the role whose turn it is. */
static PlcEngine *
find_in_turn(const Board *board, const PlcJob *job, ConRole role)
{
    PlcCell *cell = job->cell;

    for (guint i = 0; i < cell->engines->len; i++) {
        PlcEngine *engine =
            cell->engines->pdata[cell->turn++ % cell->engines->len];
        if (is_usable(board, job, engine, role)) {
            return engine;
        }
    }
    return NULL;
}

static bool
place_job(Board *board, PlcJob *job)
{
    if (board->plc->policy == PLC_POLICY_ROUND_ROBIN) {
        job->prefill = find_in_turn(board, job, CON_ROLE_PREFILL);
        job->decode = find_in_turn(board, job, CON_ROLE_DECODE);
    }
    else {
        job->decode = find_decode(board, job);
        job->prefill = job->decode != NULL ? find_prefill(board, job) : NULL;
    }
    return job->prefill != NULL && job->decode != NULL;
}

static void
remember_prefixes(PlcEngine *engine, const GArray *prefixes)
{
    for (guint i = 0; i < prefixes->len; i++) {
        guint64 prefix = g_array_index(prefixes, guint64, i);
        guint64 *key;
        if (g_hash_table_contains(engine->prefixes, &prefix)) {
            continue;
        }
        key = g_new(guint64, 1);
        *key = prefix;
        g_hash_table_insert(engine->prefixes, key, key);
        g_queue_push_tail(engine->prefix_order, key);
        if (g_queue_get_length(engine->prefix_order) > PLC_PREFIXES_MAX) {
            g_hash_table_remove(engine->prefixes,
                                g_queue_pop_head(engine->prefix_order));
        }
    }
}

/* Charges a placed job to its engines. A job without a prefill engine is
   one taken over from another home after its prefill. */
static void
take_grant(Board *board, PlcJob *job)
{
    int64_t now = Board_Now(board);

    stop_waiting(job);
    job->granted = true;
    job->check_us = now + PLC_CHECK_US;
    job->blocks = count_blocks(job, &job->decode->spec);
    job->decode->slots_used++;
    job->decode->blocks_used += job->blocks;
    if (job->prefill != NULL) {
        job->prefilling = true;
        job->prefill->prefills++;
        job->prefill->prefill_free_us =
            MAX(job->prefill->prefill_free_us, now) +
            get_prefill_cost(job, job->prefill);
        remember_prefixes(job->prefill, job->prefixes);
    }
}

static void
give_back_grant(PlcJob *job)
{
    job->decode->slots_used--;
    job->decode->blocks_used -= job->blocks;
    if (job->prefilling) {
        job->prefill->prefills--;
    }
}

/* Time until the job's first token if it joins the queue now: the prefill
   work before it over the cell's prefill rate, or the wait for a decode
   slot where that is longer, then its own prefill. */
static int64_t
predict_wait(const Board *board, const PlcJob *job)
{
    const PlcCell *cell = job->cell;
    int64_t now = Board_Now(board);
    double prefill_rate = 0;
    double backlog = 0;
    double slot_wait_us = 0;
    uint32_t free_slots = 0;
    int64_t own_us = INT64_MAX;
    guint ahead = 0;
    const PlcJob *other;

    for (guint i = 0; i < cell->engines->len; i++) {
        const PlcEngine *engine = cell->engines->pdata[i];
        if (is_usable(board, job, engine, CON_ROLE_PREFILL)) {
            double rate = engine->spec.prefill_tokens_per_s;
            prefill_rate += rate;
            own_us = MIN(own_us, get_prefill_cost(job, engine));
            backlog += (double)MAX(engine->prefill_free_us - now, 0) * rate /
                       (double)CLK_US_PER_S;
        }
        if (is_usable(board, job, engine, CON_ROLE_DECODE)) {
            free_slots += engine->spec.slots -
                          MIN(engine->slots_used, engine->spec.slots);
        }
    }
    TAILQ_FOREACH(other, &cell->waiting, link)
    {
        if (other != job && get_rank(other, now) <= get_rank(job, now)) {
            ahead++;
            backlog += other->context_tokens;
        }
    }
    if (prefill_rate <= 0) {
        return job->give_up_us > now ? 0 : CLK_US_PER_S;
    }
    if (ahead >= free_slots && cell->release_interval_us > 0) {
        slot_wait_us =
            cell->release_interval_us * (double)(ahead - free_slots + 1);
    }
    return (int64_t)MAX(backlog / prefill_rate * (double)CLK_US_PER_S,
                        slot_wait_us) +
           own_us;
}

static void
refuse_job(Board *board, PlcJob *job, LsResult code, int64_t wait_us,
           const char *message)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Refuse refuse = WIRE__REFUSE__INIT;
    int64_t wait_ms = wait_us / CLK_US_PER_MS;

    refuse.request = job->request;
    refuse.attempt = job->attempt;
    refuse.code = code;
    refuse.retry_after_ms =
        (uint32_t)CLAMP(wait_ms, PLC_RETRY_MIN_MS, PLC_RETRY_MAX_MS);
    refuse.message = (char *)message;
    frame.body_case = WIRE__FRAME__BODY_REFUSE;
    frame.refuse = &refuse;
    Ring_Add(board, job->request, "refused %s: %s", Err_GetName(code),
             message);
    Board_SendFrame(board, job->entry, &frame);
    free_job(board->plc, job);
}
