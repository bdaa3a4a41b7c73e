/* Completion requests: reservation, retries and answers at the entry. */
#include "request.h"

#include "attempt.h"
#include "engine.h"
#include "membership.h"
#include "placement.h"
#include "quota.h"
#include "reap.h"
#include "ring.h"
#include "slo.h"

#include <string.h>
#include <xxhash.h>

#define REQ_AVOID_MAX 4 /* Failed upstreams that later attempts avoid. */
/* The random wait before a retry is at most this time, doubled with each
   failure so far, the first included. */
#define REQ_BACKOFF_US (20 * CLK_US_PER_MS)
#define REQ_RETRY_AFTER_MS 1000 /* Given with a final failure. */

typedef TAILQ_HEAD(ReqList, AttCompletion) ReqList;

struct Req {
    ReqList items;
    GHashTable *by_id;     /* id to AttCompletion */
    GHashTable *by_caller; /* caller to AttCompletion */
    uint64_t sequence;
};

static void destroy_item(AttCompletion *item);
static void free_item(Board *board, AttCompletion *item);
static bool choose_cell(Board *board, AttCompletion *item);
static void send_reserve(Board *board, AttCompletion *item);
static void reserve_again(Board *board, AttCompletion *item);
static void update_home(Board *board, AttCompletion *item);
static const char *find_home(Board *board, const AttCompletion *item);
static void send_release(Board *board, const AttCompletion *item,
                         PlcOutcome outcome, const char *blamed);
static void refuse_item(Board *board, AttCompletion *item, LsResult code,
                        uint32_t retry_after_ms, const char *message);

Req *
Req_New(void)
{
    Req *req = g_new0(Req, 1);

    TAILQ_INIT(&req->items);
    req->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    req->by_caller = g_hash_table_new(g_int64_hash, g_int64_equal);
    return req;
}

void
Req_Free(Req *req)
{
    AttCompletion *item;

    while ((item = TAILQ_FIRST(&req->items)) != NULL) {
        TAILQ_REMOVE(&req->items, item, link);
        destroy_item(item);
    }
    g_hash_table_unref(req->by_id);
    g_hash_table_unref(req->by_caller);
    g_free(req);
}

/* Hashes the first 1, 2, 4, ... prefix blocks of the prompt. */
static GArray *
hash_prefixes(const char *prompt)
{
    GArray *prefixes = g_array_new(FALSE, FALSE, sizeof(guint64));
    size_t size = strlen(prompt);
    size_t block = (size_t)CELL_PREFIX_TOKENS * ENG_BYTES_PER_TOKEN;

    for (int i = 0; i < CELL_PREFIX_COUNT && block <= size; i++, block *= 2) {
        guint64 hash = XXH64(prompt, block, 0);
        g_array_append_val(prefixes, hash);
    }
    return prefixes;
}

static AttCompletion *
new_item(Board *board, const ReqParams *params)
{
    AttCompletion *item = g_new0(AttCompletion, 1);
    const ConCustomer *customer = params->customer;

    Reap_FormatRequest(board, ++board->req->sequence, item->id,
                       sizeof(item->id));
    item->caller = params->caller;
    g_strlcpy(item->customer, customer->id, sizeof(item->customer));
    g_strlcpy(item->model, params->model, sizeof(item->model));
    item->prompt = g_strdup(params->prompt);
    item->prompt_tokens = Eng_CountTokens(strlen(params->prompt));
    item->max_tokens = params->max_tokens;
    item->priority = customer->priority;
    item->first_token_target_us = customer->first_token_us;
    item->per_token_target_us = customer->per_token_us;
    item->prefixes = hash_prefixes(params->prompt);
    item->text = g_string_new(NULL);
    item->cells_refused = g_ptr_array_new_with_free_func(g_free);
    item->avoid = g_ptr_array_new_with_free_func(g_free);
    item->arrived_us = Board_Now(board);
    item->budget_start_us = item->arrived_us;
    return item;
}

static LsResult
check_params(const Board *board, const ReqParams *params, LsError *err)
{
    if (board->stopping) {
        Err_Set(err, LS_ERR_SHUTTING_DOWN, LS_RUN_NOT_RUN,
                "this VM is shutting down");
        err->retry_after_ms = 1;
        return err->code;
    }
    if (!Con_IsModelAllowed(params->customer, params->model)) {
        return Err_Set(err, LS_ERR_UNKNOWN_MODEL, LS_RUN_NOT_RUN,
                       "model %s is not in the contract", params->model);
    }
    if (params->max_tokens == 0 || params->max_tokens > REQ_MAX_TOKENS_MAX) {
        return Err_Set(err, LS_ERR_BAD_FIELD, LS_RUN_NOT_RUN,
                       "max_tokens: needs a number from 1 to %d",
                       REQ_MAX_TOKENS_MAX);
    }
    return LS_OK;
}

LsResult
Req_Begin(Board *board, const ReqParams *params, char *request,
          size_t request_size, LsError *err)
{
    LsResult result = check_params(board, params, err);
    AttCompletion *item;

    Met_Add(MET_REQUESTS, 1);
    if (result != LS_OK) {
        return result;
    }
    result = Quo_Admit(
        board, params->customer,
        Eng_CountTokens(strlen(params->prompt)) + params->max_tokens, err);
    if (result != LS_OK) {
        return result;
    }
    item = new_item(board, params);
    g_strlcpy(request, item->id, request_size);
    if (!choose_cell(board, item)) {
        Err_Set(err, LS_ERR_NO_UPSTREAM, LS_RUN_NOT_RUN,
                "no engine of model %s is available in the contract's regions",
                params->model);
        Quo_Release(board, item->customer);
        destroy_item(item);
        return err->code;
    }
    TAILQ_INSERT_TAIL(&board->req->items, item, link);
    g_hash_table_insert(board->req->by_id, item->id, item);
    g_hash_table_insert(board->req->by_caller, &item->caller, item);
    send_reserve(board, item);
    return LS_OK;
}

void
Req_Cancel(Board *board, uint64_t caller)
{
    gint64 key = (gint64)caller;
    AttCompletion *item = g_hash_table_lookup(board->req->by_caller, &key);

    if (item == NULL) {
        return;
    }
    Met_Add(MET_CALLERS_DISCONNECTED, 1);
    Ring_Add(board, item->id, "caller disconnected");
    Att_Cancel(board, item);
    send_release(board, item, PLC_OUTCOME_CANCELLED, "");
    free_item(board, item);
}

static AttCompletion *
find_waiting(const Board *board, const char *request, uint32_t attempt)
{
    AttCompletion *item = g_hash_table_lookup(board->req->by_id, request);

    return item != NULL && item->attempt == attempt &&
                   item->stage == ATT_WAIT_GRANT
               ? item
               : NULL;
}

/* Releases a grant that no attempt of this entry waits for. */
static void
return_grant(Board *board, const char *home, const Wire__Grant *grant)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Release release = WIRE__RELEASE__INIT;
    const AttCompletion *item =
        g_hash_table_lookup(board->req->by_id, grant->request);

    if (item != NULL && item->attempt == grant->attempt) {
        return; /* The frame is a duplicate of the grant in use. */
    }
    release.request = grant->request;
    release.attempt = grant->attempt;
    release.outcome = PLC_OUTCOME_CANCELLED;
    frame.body_case = WIRE__FRAME__BODY_RELEASE;
    frame.release = &release;
    Board_SendFrame(board, home, &frame);
}

void
Req_OnGrant(Board *board, const char *home, const Wire__Grant *grant)
{
    AttCompletion *item = find_waiting(board, grant->request, grant->attempt);

    if (item == NULL) {
        return_grant(board, home, grant);
        return;
    }
    g_strlcpy(item->prefill, grant->prefill_upstream, sizeof(item->prefill));
    g_strlcpy(item->decode, grant->decode_upstream, sizeof(item->decode));
    g_strlcpy(item->home, home, sizeof(item->home));
    Att_BeginPrefill(board, item);
}

void
Req_OnRefuse(Board *board, const char *home, const Wire__Refuse *refuse)
{
    AttCompletion *item =
        find_waiting(board, refuse->request, refuse->attempt);

    if (item == NULL) {
        return;
    }
    if (refuse->code == LS_ERR_HOME_LOST) {
        Mem_OnLinkDown(board, home);
        item->attempt++;
        reserve_again(board, item);
        return;
    }
    g_ptr_array_add(item->cells_refused, g_strdup(item->cell));
    if (choose_cell(board, item)) {
        item->attempt++;
        send_reserve(board, item);
        return;
    }
    refuse_item(board, item, (LsResult)refuse->code, refuse->retry_after_ms,
                refuse->message);
}

static void
send_hold(Board *board, const AttCompletion *item)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Hold hold = WIRE__HOLD__INIT;

    hold.cell = (char *)item->cell;
    hold.request = (char *)item->id;
    hold.attempt = item->attempt;
    hold.prefill_upstream = (char *)item->prefill;
    hold.decode_upstream = (char *)item->decode;
    hold.context_tokens = item->prompt_tokens;
    hold.output_tokens = item->max_tokens;
    frame.body_case = WIRE__FRAME__BODY_HOLD;
    frame.hold = &hold;
    Board_SendFrame(board, item->home, &frame);
}

/* Whether this entry uses the engine request "request/attempt". If it does,
   the home that sent the query becomes the home of its grant. */
static bool
is_claimed(Board *board, const char *engine_request, const char *home)
{
    char request[BOARD_REQUEST_ID_MAX];
    const char *slash = strrchr(engine_request, '/');
    AttCompletion *item;

    if (slash == NULL || strlen(engine_request) >= sizeof(request)) {
        return true;
    }
    g_strlcpy(request, engine_request, (gsize)(slash - engine_request) + 1);
    item = g_hash_table_lookup(board->req->by_id, request);
    if (item == NULL || !Att_HasGrant(item) ||
        g_ascii_strtoull(slash + 1, NULL, 10) != item->attempt) {
        return false;
    }
    g_strlcpy(item->home, home, sizeof(item->home));
    send_hold(board, item);
    return true;
}

void
Req_OnClaimQuery(Board *board, const char *home, const Wire__ClaimQuery *query)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__ClaimAnswer answer = WIRE__CLAIM_ANSWER__INIT;
    GPtrArray *unclaimed = g_ptr_array_new();

    for (size_t i = 0; i < query->n_request; i++) {
        if (!is_claimed(board, query->request[i], home)) {
            g_ptr_array_add(unclaimed, query->request[i]);
        }
    }
    answer.upstream = query->upstream;
    answer.n_unclaimed = unclaimed->len;
    answer.unclaimed = (char **)unclaimed->pdata;
    frame.body_case = WIRE__FRAME__BODY_CLAIM_ANSWER;
    frame.claim_answer = &answer;
    if (unclaimed->len > 0) {
        Board_SendFrame(board, home, &frame);
    }
    g_ptr_array_unref(unclaimed);
}

void
Req_OnLinkDown(Board *board, const char *vm)
{
    AttCompletion *item;

    TAILQ_FOREACH(item, &board->req->items, link)
    {
        if (strcmp(item->home, vm) != 0) {
            continue;
        }
        if (item->stage == ATT_WAIT_GRANT) {
            Met_Add(MET_RESUBMITS, 1);
            item->attempt++;
            reserve_again(board, item);
        }
        else {
            update_home(board, item);
        }
    }
}

/* Reports the grant in use to the cell's new home. */
static void
update_home(Board *board, AttCompletion *item)
{
    const char *home = find_home(board, item);

    if (Att_HasGrant(item) && strcmp(home, item->home) != 0) {
        g_strlcpy(item->home, home, sizeof(item->home));
        send_hold(board, item);
    }
}

static void
handle_timeout(Board *board, AttCompletion *item)
{
    switch (item->stage) {
    case ATT_WAIT_GRANT:
        Mem_OnLinkDown(board, item->home);
        item->attempt++;
        Met_Add(MET_RESUBMITS, 1);
        reserve_again(board, item);
        break;
    case ATT_PREFILL:
        Req_FailAttempt(board, item, PLC_OUTCOME_FAILED, item->prefill,
                        LS_ERR_UPSTREAM_SILENT, "the prefill timed out");
        break;
    case ATT_DECODE:
        if (item->kv_used && !item->resumed) {
            Att_BeginResume(board, item);
        }
        else {
            Req_FailAttempt(board, item, PLC_OUTCOME_FAILED, item->decode,
                            LS_ERR_UPSTREAM_SILENT, "the decode timed out");
        }
        break;
    case ATT_BACKOFF:
        break;
    }
}

void
Req_OnTick(Board *board)
{
    int64_t now = Board_Now(board);
    AttCompletion *item = TAILQ_FIRST(&board->req->items);

    while (item != NULL) {
        AttCompletion *next = TAILQ_NEXT(item, link);
        if (now - item->arrived_us > REQ_DEADLINE_US) {
            Att_Cancel(board, item);
            send_release(board, item, PLC_OUTCOME_CANCELLED, "");
            refuse_item(board, item, LS_ERR_DEADLINE, 0,
                        "the request did not finish before its deadline");
        }
        else if (item->stage == ATT_BACKOFF) {
            if (now >= item->backoff_until_us) {
                reserve_again(board, item);
            }
        }
        else if (now - item->last_progress_us > Att_GetTimeout(board, item)) {
            handle_timeout(board, item);
        }
        else {
            if (now >= item->home_check_us) {
                item->home_check_us = now + REQ_HOME_CHECK_US;
                update_home(board, item);
            }
        }
        item = next;
    }
}

void
Req_EndAll(Board *board)
{
    AttCompletion *item;

    while ((item = TAILQ_FIRST(&board->req->items)) != NULL) {
        Att_Cancel(board, item);
        send_release(board, item, PLC_OUTCOME_CANCELLED, "");
        refuse_item(board, item, LS_ERR_SHUTTING_DOWN, REQ_RETRY_AFTER_MS,
                    "the VM stopped before the answer was complete");
    }
}

guint
Req_Count(const Req *req)
{
    return g_hash_table_size(req->by_id);
}

static void
destroy_item(AttCompletion *item)
{
    g_free(item->prompt);
    g_array_unref(item->prefixes);
    g_string_free(item->text, TRUE);
    g_ptr_array_unref(item->cells_refused);
    g_ptr_array_unref(item->avoid);
    g_free(item);
}

static void
free_item(Board *board, AttCompletion *item)
{
    Quo_Release(board, item->customer);
    g_hash_table_remove(board->req->by_id, item->id);
    g_hash_table_remove(board->req->by_caller, &item->caller);
    TAILQ_REMOVE(&board->req->items, item, link);
    destroy_item(item);
}

static bool
is_refused(const AttCompletion *item, const char *cell)
{
    for (guint i = 0; i < item->cells_refused->len; i++) {
        if (strcmp(item->cells_refused->pdata[i], cell) == 0) {
            return true;
        }
    }
    return false;
}

/* Selects the cell of one region. A cell of another region is charged to the
   contract's cross-region volume. */
static bool
try_region(Board *board, AttCompletion *item, const ConCustomer *customer,
           const char *region)
{
    char cell[CON_ID_MAX * 2];
    bool is_remote = strcmp(region, board->region) != 0;

    g_snprintf(cell, sizeof(cell), "%s@%s", item->model, region);
    if (is_refused(item, cell) ||
        g_hash_table_lookup(board->config->cells, cell) == NULL ||
        (is_remote &&
         !Quo_TakeCrossRegionTokens(board, customer, item->prompt_tokens))) {
        return false;
    }
    g_strlcpy(item->cell, cell, sizeof(item->cell));
    g_strlcpy(item->cell_region, region, sizeof(item->cell_region));
    return true;
}

/* Chooses the next cell: this region's first, then those of the contract's
   other regions in the order of the contract. */
static bool
choose_cell(Board *board, AttCompletion *item)
{
    const ConCustomer *customer =
        Con_FindCustomerById(board->config, item->customer);

    if (customer == NULL) {
        return false;
    }
    if (Con_IsRegionAllowed(customer, board->region) &&
        try_region(board, item, customer, board->region)) {
        return true;
    }
    for (guint i = 0; i < customer->regions->len; i++) {
        const char *region = customer->regions->pdata[i];
        if (strcmp(region, board->region) != 0 &&
            try_region(board, item, customer, region)) {
            return true;
        }
    }
    return false;
}

/* Finds the home of the completion's cell. Baseline policies without homes
   place each request at its own entry. */
static const char *
find_home(Board *board, const AttCompletion *item)
{
    if (Pick_IsLocal(Plc_GetPolicy(board->plc))) {
        return board->vm;
    }
    return Mem_FindHome(board, item->cell, item->cell_region);
}

static void
send_reserve(Board *board, AttCompletion *item)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Reserve reserve = WIRE__RESERVE__INIT;
    int64_t used_us = Board_Now(board) - item->budget_start_us;

    Att_SetStage(board, item, ATT_WAIT_GRANT);
    item->resumed = false;
    item->kv_used = false;
    item->prefill[0] = '\0';
    item->decode[0] = '\0';
    g_strlcpy(item->home, find_home(board, item), sizeof(item->home));
    reserve.request = item->id;
    reserve.attempt = item->attempt;
    reserve.customer = item->customer;
    reserve.cell = item->cell;
    reserve.context_tokens = item->prompt_tokens + item->tokens;
    reserve.output_tokens = item->max_tokens - item->tokens;
    reserve.priority = item->priority;
    reserve.first_token_budget_us =
        MAX(item->first_token_target_us - used_us, 0);
    reserve.n_prefix = item->prefixes->len;
    reserve.prefix = (uint64_t *)(void *)item->prefixes->data;
    reserve.n_avoid = item->avoid->len;
    reserve.avoid = (char **)item->avoid->pdata;
    frame.body_case = WIRE__FRAME__BODY_RESERVE;
    frame.reserve = &reserve;
    Board_SendFrame(board, item->home, &frame);
}

/* Reserves again after an engine or a home failed, which is no fault of the
   caller. The first-token target starts again as well, because a late answer
   is better than none. */
static void
reserve_again(Board *board, AttCompletion *item)
{
    item->budget_start_us = Board_Now(board);
    send_reserve(board, item);
}

static void
send_release(Board *board, const AttCompletion *item, PlcOutcome outcome,
             const char *blamed)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Release release = WIRE__RELEASE__INIT;

    if (item->stage == ATT_BACKOFF) {
        return;
    }
    release.cell = (char *)item->cell;
    release.request = (char *)item->id;
    release.attempt = item->attempt;
    release.outcome = outcome;
    release.blamed = (char *)blamed;
    frame.body_case = WIRE__FRAME__BODY_RELEASE;
    frame.release = &release;
    Board_SendFrame(board, item->home, &frame);
}

void
Req_FailAttempt(Board *board, AttCompletion *item, PlcOutcome outcome,
                const char *blamed, LsResult code, const char *message)
{
    char blamed_id[CON_ID_MAX];
    int64_t backoff_max_us;

    g_strlcpy(blamed_id, blamed, sizeof(blamed_id));
    Ring_Add(board, item->id, "attempt %u failed at %s: %s", item->attempt,
             blamed_id, message);
    Att_Cancel(board, item);
    send_release(board, item, outcome, blamed_id);
    item->failures++;
    if (item->failures >= REQ_ATTEMPTS_MAX ||
        !Quo_TakeRetry(board, item->customer)) {
        item->stage = ATT_BACKOFF;
        refuse_item(board, item, code, REQ_RETRY_AFTER_MS, message);
        return;
    }
    Met_Add(MET_UPSTREAM_RETRIES, 1);
    if (blamed_id[0] != '\0' && item->avoid->len < REQ_AVOID_MAX &&
        outcome != PLC_OUTCOME_REFUSED) {
        g_ptr_array_add(item->avoid, g_strdup(blamed_id));
    }
    item->attempt++;
    Att_SetStage(board, item, ATT_BACKOFF);
    backoff_max_us = REQ_BACKOFF_US << item->failures;
    item->backoff_until_us =
        Board_Now(board) +
        (int64_t)(g_rand_double(board->rand) * (double)backoff_max_us);
}

/* Records whether the answer met the contract's latency targets. */
static void
count_goodput(Board *board, const AttCompletion *item)
{
    int64_t first_us = item->first_token_us - item->arrived_us;
    int64_t rest_us = Board_Now(board) - item->first_token_us;
    uint32_t gaps = item->tokens > 1 ? item->tokens - 1 : 1;
    bool first_met = first_us <= item->first_token_target_us;
    bool rest_met = rest_us / gaps <= item->per_token_target_us;

    Met_Add(MET_ANSWERS_OK, 1);
    Met_Add(MET_FIRST_TOKEN_MET, first_met ? 1 : 0);
    Met_Add(MET_GOODPUT, first_met && rest_met ? 1 : 0);
    Slo_Count(board, item->customer, SLO_ANSWERED, true);
    Slo_Count(board, item->customer, SLO_FIRST_TOKEN, first_met);
    Slo_Count(board, item->customer, SLO_PER_TOKEN, rest_met);
}

void
Req_Finish(Board *board, AttCompletion *item)
{
    BoardAnswer answer = {0};
    char *path = g_strdup_printf("%s>%s:%s>%s", board->vm, item->home,
                                 item->prefill, item->decode);

    send_release(board, item, PLC_OUTCOME_DONE, "");
    count_goodput(board, item);
    answer.type = BOARD_ANSWER_END;
    answer.finish_reason = item->finish_reason;
    answer.prompt_tokens = item->prompt_tokens;
    answer.output_tokens = item->tokens;
    answer.path = path;
    answer.request = item->id;
    Ring_Add(board, item->id, "done by %s", path);
    Board_Answer(board, item->caller, &answer);
    g_free(path);
    free_item(board, item);
}

static void
refuse_item(Board *board, AttCompletion *item, LsResult code,
            uint32_t retry_after_ms, const char *message)
{
    LsError err;

    Err_Set(&err, code, item->sent ? LS_RUN_UNKNOWN : LS_RUN_NOT_RUN, "%s",
            message);
    err.retry_after_ms = retry_after_ms;
    Ring_Add(board, item->id, "refused %s: %s", Err_GetName(code), message);
    Slo_Count(board, item->customer, SLO_ANSWERED, false);
    Board_AnswerError(board, item->caller, item->id, &err);
    free_item(board, item);
}
