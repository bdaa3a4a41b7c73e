/* Placement: the jobs of a cell at its home, from reservation to release. */
#include "placement.h"

#include "cell.h"
#include "engine.h"
#include "membership.h"
#include "reap.h"
#include "ring.h"

#include <string.h>

/* Time for which a new home only collects the grants in use. */
#define PLC_NEW_HOME_WAIT_US (300 * CLK_US_PER_MS)
/* Time for which an engine gets no jobs after it refused one as full. */
#define PLC_FULL_PAUSE_US (100 * CLK_US_PER_MS)
/* Time for which an engine gets no jobs after it reported "leaving". */
#define PLC_LEAVING_PAUSE_US (60 * CLK_US_PER_S)
/* Interval of the checks whether a grant is still in use. */
#define PLC_GRANT_CHECK_US (5 * CLK_US_PER_S)
/* Bounds of the retry time given with a refusal. */
#define PLC_RETRY_MIN_MS 100
#define PLC_RETRY_MAX_MS 30000

struct Plc {
    PickPolicy policy;
    GHashTable *engines; /* id to CellEngine */
    GHashTable *cells;   /* name to Cell */
    GHashTable *jobs;    /* key to CellJob */
    int64_t next_check_us;
};

static void free_job(Plc *plc, CellJob *job);
static Cell *get_cell(Plc *plc, const char *name);
static CellJob *find_job(const Plc *plc, const char *request,
                         uint32_t attempt);
static void charge_job(Board *board, CellJob *job);
static void dispatch_cell(Board *board, Cell *cell);
static void refuse_job(Board *board, CellJob *job, LsResult code,
                       int64_t wait_us, const char *message);

Plc *
Plc_New(void)
{
    Plc *plc = g_new0(Plc, 1);

    plc->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)Cell_FreeEngine);
    plc->cells = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)Cell_Free);
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
Plc_SetPolicy(Plc *plc, PickPolicy policy)
{
    plc->policy = policy;
}

PickPolicy
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

    g_hash_table_iter_init(&iter, plc->cells);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_set_size(((Cell *)value)->engines, 0);
    }
    for (guint i = 0; i < board->config->upstreams->len; i++) {
        const ConUpstream *spec = board->config->upstreams->pdata[i];
        CellEngine *engine = g_hash_table_lookup(plc->engines, spec->id);
        if (spec->role == CON_ROLE_SERVICE) {
            continue;
        }
        if (engine == NULL) {
            engine = Cell_NewEngine(spec->id);
            g_hash_table_insert(plc->engines, engine->id, engine);
        }
        engine->spec = *spec;
        g_ptr_array_add(get_cell(plc, spec->cell)->engines, engine);
    }
}

/* Returns the time that the job's first token may take, in microseconds. A
   prompt that is too long for its target even on idle engines gets the target
   on top of its idle time: every retry of it would be refused otherwise. */
static int64_t
get_first_token_budget(const CellJob *job, int64_t target_us)
{
    int64_t idle_us = Pick_PredictIdleFirstToken(job, job->arrived_us);

    return idle_us > target_us ? idle_us + target_us : target_us;
}

/* Makes this VM the home of a cell. A new home grants nothing until the
   entries have reported the grants in use, so that it overfills no engine. */
static void
become_home(Board *board, Cell *cell)
{
    if (!cell->is_home && !Pick_IsLocal(board->plc->policy)) {
        cell->is_home = true;
        cell->no_grants_until_us = Board_Now(board) + PLC_NEW_HOME_WAIT_US;
    }
}

void
Plc_OnReserve(Board *board, const char *entry, const Wire__Reserve *reserve)
{
    Plc *plc = board->plc;
    CellJob *job = find_job(plc, reserve->request, reserve->attempt);
    Cell *cell;
    int64_t budget_us;
    int64_t wait_us;

    if (job != NULL) {
        return; /* The frame is a duplicate. */
    }
    cell = get_cell(plc, reserve->cell);
    become_home(board, cell);
    job = Cell_NewJob(entry, reserve->request, reserve->attempt);
    job->context_tokens = MAX(reserve->context_tokens, 1);
    job->output_tokens = reserve->output_tokens;
    job->priority = reserve->priority;
    job->arrived_us = Board_Now(board);
    g_array_append_vals(job->prefixes, reserve->prefix,
                        (guint)reserve->n_prefix);
    for (size_t i = 0; i < reserve->n_avoid; i++) {
        g_ptr_array_add(job->avoid, g_strdup(reserve->avoid[i]));
    }
    g_hash_table_insert(plc->jobs, job->key, job);
    Cell_BeginWaiting(cell, job);
    if (board->stopping && strcmp(entry, board->vm) != 0) {
        refuse_job(board, job, LS_ERR_HOME_LOST, 0,
                   "the home VM is shutting down");
        return;
    }
    if (cell->engines->len == 0) {
        refuse_job(board, job, LS_ERR_NO_UPSTREAM, CLK_US_PER_S,
                   "no engine is configured for the cell");
        return;
    }
    budget_us = get_first_token_budget(job, reserve->first_token_budget_us);
    job->first_token_deadline_us = job->arrived_us + budget_us;
    wait_us = Pick_PredictQueuedFirstToken(job, job->arrived_us);
    if (Pick_IsShedding(plc->policy) &&
        job->arrived_us + wait_us > job->first_token_deadline_us) {
        refuse_job(board, job, LS_ERR_OVERLOAD, wait_us - budget_us,
                   "the first token would miss its target");
        return;
    }
    dispatch_cell(board, cell);
}

void
Plc_OnPrefillEnd(Board *board, const Wire__PrefillEnd *end)
{
    CellJob *job = find_job(board->plc, end->request, end->attempt);

    if (job != NULL) {
        Cell_EndPrefill(job, Board_Now(board));
        dispatch_cell(board, job->cell);
    }
}

/* Suspends the engine that an entry blames, for a time that depends on the
   outcome. */
static void
suspend_engine(Board *board, const Wire__Release *release)
{
    CellEngine *engine =
        g_hash_table_lookup(board->plc->engines, release->blamed);
    int64_t now = Board_Now(board);
    int64_t pause_us = 0;

    if (engine == NULL) {
        return;
    }
    if (release->outcome == PLC_OUTCOME_FAILED) {
        Cell_RecordFailure(engine, now);
    }
    else if (release->outcome == PLC_OUTCOME_REFUSED) {
        /* Requests that this home did not grant occupy the engine. The next
           running list shows them. */
        pause_us = PLC_FULL_PAUSE_US;
        Reap_RequestPoll(board);
    }
    else if (release->outcome == PLC_OUTCOME_LEAVING) {
        pause_us = PLC_LEAVING_PAUSE_US;
    }
    engine->suspended_until_us =
        MAX(engine->suspended_until_us, now + pause_us);
}

void
Plc_OnRelease(Board *board, const Wire__Release *release)
{
    CellJob *job = find_job(board->plc, release->request, release->attempt);
    Cell *cell = g_hash_table_lookup(board->plc->cells, release->cell);

    if (release->blamed[0] != '\0') {
        suspend_engine(board, release);
    }
    if (job != NULL) {
        if (job->granted && release->outcome == PLC_OUTCOME_DONE &&
            release->blamed[0] == '\0') {
            Cell_ClearFailures(job);
        }
        if (job->granted) {
            Cell_RecordRelease(job->cell, Board_Now(board));
        }
        cell = job->cell;
        free_job(board->plc, job);
    }
    if (cell != NULL) {
        dispatch_cell(board, cell);
    }
}

void
Plc_DropJob(Board *board, const char *key)
{
    CellJob *job = g_hash_table_lookup(board->plc->jobs, key);
    Cell *cell;

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
        Cell *cell = value;
        CellJob *job = TAILQ_FIRST(&cell->waiting);
        while (job != NULL) {
            CellJob *next = TAILQ_NEXT(job, link);
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
    CellEngine *decode =
        g_hash_table_lookup(plc->engines, hold->decode_upstream);
    CellJob *job = find_job(plc, hold->request, hold->attempt);

    if (job != NULL || decode == NULL) {
        return;
    }
    job = Cell_NewJob(entry, hold->request, hold->attempt);
    job->context_tokens = hold->context_tokens;
    job->output_tokens = hold->output_tokens;
    job->arrived_us = Board_Now(board);
    job->decode = decode;
    g_hash_table_insert(plc->jobs, job->key, job);
    Cell_BeginWaiting(get_cell(plc, hold->cell), job);
    charge_job(board, job);
}

void
Plc_OnReport(Board *board, const char *upstream, uint32_t requests,
             uint32_t foreign_requests, bool leaving)
{
    CellEngine *engine = g_hash_table_lookup(board->plc->engines, upstream);

    if (engine == NULL) {
        return;
    }
    engine->reported_requests = requests;
    engine->foreign_requests = foreign_requests;
    if (leaving) {
        engine->suspended_until_us = Board_Now(board) + PLC_LEAVING_PAUSE_US;
    }
}

/* Updates whether this VM is the home of the cell. A former home stays one
   until no job waits. */
static void
update_home(Board *board, Cell *cell)
{
    const ConUpstream *first =
        cell->engines->len > 0
            ? &((const CellEngine *)cell->engines->pdata[0])->spec
            : NULL;
    bool is_home =
        first != NULL && Mem_IsHome(board, cell->name, first->region);

    if (is_home) {
        become_home(board, cell);
    }
    else if (cell->waiting_count == 0) {
        cell->is_home = false;
    }
}

/* Checks which grants are still in use, because a release may be lost. */
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
        CellJob *job = value;
        if (job->granted && now >= job->grant_check_us) {
            job->grant_check_us = now + PLC_GRANT_CHECK_US;
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
        Cell *cell = value;
        CellJob *job = TAILQ_FIRST(&cell->waiting);
        while (job != NULL) {
            CellJob *next = TAILQ_NEXT(job, link);
            if (now > job->first_token_deadline_us) {
                refuse_job(board, job, LS_ERR_OVERLOAD,
                           Pick_PredictQueuedFirstToken(job, now),
                           "no engine became free in time");
            }
            job = next;
        }
        update_home(board, cell);
        dispatch_cell(board, cell);
    }
    check_jobs(board, now);
    Reap_OnTick(board);
}

void
Plc_RefuseWaiting(Board *board)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, board->plc->cells);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Cell *cell = value;
        while (!TAILQ_EMPTY(&cell->waiting)) {
            refuse_job(board, TAILQ_FIRST(&cell->waiting), LS_ERR_HOME_LOST, 0,
                       "the home VM is shutting down");
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
        count += ((const Cell *)value)->waiting_count;
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
        const CellEngine *engine = value;
        json_array_append_new(
            array,
            json_pack("{s:s, s:s, s:i, s:i, s:i, s:b}", "upstream", engine->id,
                      "cell", engine->spec.cell, "slots_used",
                      (int)engine->slots_used, "blocks_used",
                      (int)engine->blocks_used, "prefills",
                      (int)engine->prefills, "down",
                      (int)(engine->suspended_until_us > Board_Now(board))));
    }
    return array;
}

static Cell *
get_cell(Plc *plc, const char *name)
{
    Cell *cell = g_hash_table_lookup(plc->cells, name);

    if (cell == NULL) {
        cell = Cell_New(name);
        g_hash_table_insert(plc->cells, cell->name, cell);
    }
    return cell;
}

static CellJob *
find_job(const Plc *plc, const char *request, uint32_t attempt)
{
    char key[BOARD_REQUEST_ID_MAX];

    Eng_FormatRequest(key, sizeof(key), request, attempt);
    return g_hash_table_lookup(plc->jobs, key);
}

static void
free_job(Plc *plc, CellJob *job)
{
    g_hash_table_remove(plc->jobs, job->key);
    Cell_FreeJob(job);
}

static void
charge_job(Board *board, CellJob *job)
{
    int64_t now = Board_Now(board);

    Cell_ChargeJob(job, now);
    job->grant_check_us = now + PLC_GRANT_CHECK_US;
}

static void
send_grant(Board *board, const CellJob *job)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Grant grant = WIRE__GRANT__INIT;

    grant.request = (char *)job->request;
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

/* Grants the cell's waiting jobs in the order of their ranks until one must
   wait. Grants nothing while this VM's view of the members may be out of date,
   because another VM may be the home by now. */
static void
dispatch_cell(Board *board, Cell *cell)
{
    PickPolicy policy = board->plc->policy;
    int64_t now = Board_Now(board);
    CellJob *job;

    if (Mem_IsViewStale(board) || now < cell->no_grants_until_us) {
        return;
    }
    while ((job = Pick_FindNextJob(cell, now)) != NULL &&
           Pick_ChooseEngines(job, policy, now)) {
        if (Pick_IsShedding(policy) && now + Pick_PredictFirstToken(job, now) >
                                           job->first_token_deadline_us) {
            refuse_job(board, job, LS_ERR_OVERLOAD,
                       Pick_PredictQueuedFirstToken(job, now),
                       "the first token would miss its target");
            continue;
        }
        charge_job(board, job);
        send_grant(board, job);
    }
}

static void
refuse_job(Board *board, CellJob *job, LsResult code, int64_t wait_us,
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
