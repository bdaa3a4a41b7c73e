#include "req.h"

#include "eng.h"
#include "mem.h"
#include "plc.h"
#include "quo.h"
#include "reap.h"
#include "ring.h"

#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

#define REQ_AVOID_MAX 4
#define REQ_PATH_MAX 256
#define REQ_GRANT_SLACK_US (2 * CLK_US_PER_S) /* Beyond the home's own. */
#define REQ_PREFILL_SLACK_US CLK_US_PER_S
#define REQ_PREFILL_FACTOR 4 /* Of the time the prefill should take. */
#define REQ_FIRST_CHUNK_SLACK_US (2 * CLK_US_PER_S)
#define REQ_GAP_MIN_US (2 * CLK_US_PER_S)
#define REQ_GAP_TOKENS 20 /* Token intervals without a token. */
#define REQ_BACKOFF_US (20 * CLK_US_PER_MS)

typedef enum ReqStage {
    REQ_WAIT_GRANT,
    REQ_PREFILL,
    REQ_DECODE,
    REQ_BACKOFF,
} ReqStage;

typedef struct ReqItem {
    TAILQ_ENTRY(ReqItem) link;
    char id[BOARD_REQUEST_MAX];
    uint64_t caller;
    char customer[CON_ID_MAX];
    char model[CON_ID_MAX];
    char *prompt;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t priority;
    int64_t first_token_target_us;
    int64_t per_token_target_us;
    GArray *prefixes; /* guint64 */
    GString *text;    /* Delivered to the caller. */
    uint32_t tokens;  /* Delivered to the caller. */
    ReqStage stage;
    uint32_t attempt;
    uint32_t failures;
    bool sent;    /* Some work left for an upstream. */
    bool resumed; /* The present engine was asked to continue once. */
    bool kv_used; /* The present prefill's result was decoded from. */
    bool spilled; /* The present cell is in another region. */
    char finish_reason[CON_ID_MAX];
    char cell[CON_ID_MAX * 2];
    char cell_region[CON_ID_MAX];
    char home[CON_ID_MAX];
    char prefill[CON_ID_MAX];
    char decode[CON_ID_MAX];
    GPtrArray *cells_refused; /* char * */
    GPtrArray *avoid;         /* char * */
    uint64_t call;
    int64_t arrived_us;
    int64_t budget_us;   /* From when the first-token target counts. */
    int64_t stage_us;    /* When the stage began. */
    int64_t progress_us; /* When the upstream last moved on. */
    int64_t first_token_us;
    int64_t backoff_until_us;
    int64_t recheck_us;
} ReqItem;

typedef TAILQ_HEAD(ReqList, ReqItem) ReqList;

struct Req {
    ReqList items;
    GHashTable *by_id;     /* id to ReqItem */
    GHashTable *by_caller; /* caller to ReqItem */
    uint64_t sequence;
};

static void destroy_item(ReqItem *item);
static void free_item(Board *board, ReqItem *item);
static bool choose_cell(Board *board, ReqItem *item);
static void send_reserve(Board *board, ReqItem *item);
static void reserve_again(Board *board, ReqItem *item);
static void send_release(Board *board, const ReqItem *item, PlcOutcome outcome,
                         const char *blamed);
static void begin_prefill(Board *board, ReqItem *item);
static void begin_decode(Board *board, ReqItem *item, const json_t *params);
static void begin_resume(Board *board, ReqItem *item);
static void handle_prefill(Board *board, void *owner,
                           const BoardCallEvent *event);
static void handle_decode(Board *board, void *owner,
                          const BoardCallEvent *event);
static void fail_attempt(Board *board, ReqItem *item, PlcOutcome outcome,
                         const char *blamed, LsResult code,
                         const char *message);
static void finish_item(Board *board, ReqItem *item);
static void refuse_item(Board *board, ReqItem *item, LsResult code,
                        uint32_t retry_after_ms, const char *message);
static void drop_attempt(Board *board, ReqItem *item);

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
    ReqItem *item;

    while ((item = TAILQ_FIRST(&req->items)) != NULL) {
        TAILQ_REMOVE(&req->items, item, link);
        destroy_item(item);
    }
    g_hash_table_unref(req->by_id);
    g_hash_table_unref(req->by_caller);
    g_free(req);
}

/* Hashes of the prompt's beginnings of 1, 2, 4, ... prefix blocks. */
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

static ReqItem *
new_item(Board *board, const ReqOrder *order)
{
    ReqItem *item = g_new0(ReqItem, 1);
    const ConCustomer *customer = order->customer;

    Reap_FormatRequest(board, ++board->req->sequence, item->id,
                       sizeof(item->id));
    item->caller = order->caller;
    g_strlcpy(item->customer, customer->id, sizeof(item->customer));
    g_strlcpy(item->model, order->model, sizeof(item->model));
    item->prompt = g_strdup(order->prompt);
    item->prompt_tokens = Eng_CountTokens(strlen(order->prompt));
    item->max_tokens = order->max_tokens;
    item->priority = customer->priority;
    item->first_token_target_us = customer->first_token_us;
    item->per_token_target_us = customer->per_token_us;
    item->prefixes = hash_prefixes(order->prompt);
    item->text = g_string_new(NULL);
    item->cells_refused = g_ptr_array_new_with_free_func(g_free);
    item->avoid = g_ptr_array_new_with_free_func(g_free);
    item->arrived_us = Board_Now(board);
    item->budget_us = item->arrived_us;
    return item;
}

static LsResult
check_order(const Board *board, const ReqOrder *order, LsError *err)
{
    if (board->stopping) {
        Err_Set(err, LS_ERR_SHUTTING_DOWN, LS_RUN_NOT_RUN,
                "this VM is shutting down");
        err->retry_after_ms = 1;
        return err->code;
    }
    if (!Con_IsModelAllowed(order->customer, order->model)) {
        return Err_Set(err, LS_ERR_UNKNOWN_MODEL, LS_RUN_NOT_RUN,
                       "model %s is not in the contract", order->model);
    }
    if (order->max_tokens == 0 || order->max_tokens > REQ_MAX_TOKENS_MAX) {
        return Err_Set(err, LS_ERR_BAD_FIELD, LS_RUN_NOT_RUN,
                       "max_tokens: needs 1 to %d", REQ_MAX_TOKENS_MAX);
    }
    return LS_OK;
}

LsResult
Req_Begin(Board *board, const ReqOrder *order, char *request,
          size_t request_size, LsError *err)
{
    LsResult result = check_order(board, order, err);
    ReqItem *item;

    Met_Add(MET_REQUESTS, 1);
    if (result != LS_OK) {
        return result;
    }
    result = Quo_Admit(
        board, order->customer,
        Eng_CountTokens(strlen(order->prompt)) + order->max_tokens, err);
    if (result != LS_OK) {
        return result;
    }
    item = new_item(board, order);
    g_strlcpy(request, item->id, request_size);
    if (!choose_cell(board, item)) {
        Err_Set(err, LS_ERR_NO_UPSTREAM, LS_RUN_NOT_RUN,
                "no engine of %s in the contract's regions", order->model);
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
    ReqItem *item = g_hash_table_lookup(board->req->by_caller, &key);

    if (item == NULL) {
        return;
    }
    Met_Add(MET_CALLERS_GONE, 1);
    Ring_Add(board, item->id, "caller gone");
    drop_attempt(board, item);
    send_release(board, item, PLC_OUTCOME_CANCELLED, "");
    free_item(board, item);
}

static ReqItem *
find_waiting(const Board *board, const char *request, uint32_t attempt)
{
    ReqItem *item = g_hash_table_lookup(board->req->by_id, request);

    return item != NULL && item->attempt == attempt &&
                   item->stage == REQ_WAIT_GRANT
               ? item
               : NULL;
}

/* Gives a grant back that nobody here waits for any more. */
static void
return_grant(Board *board, const char *home, const Wire__Grant *grant)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Release release = WIRE__RELEASE__INIT;
    const ReqItem *item =
        g_hash_table_lookup(board->req->by_id, grant->request);

    if (item != NULL && item->attempt == grant->attempt) {
        return; /* A repeated frame of the grant in use. */
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
    ReqItem *item = find_waiting(board, grant->request, grant->attempt);

    if (item == NULL) {
        return_grant(board, home, grant);
        return;
    }
    g_strlcpy(item->prefill, grant->prefill_upstream, sizeof(item->prefill));
    g_strlcpy(item->decode, grant->decode_upstream, sizeof(item->decode));
    g_strlcpy(item->home, home, sizeof(item->home));
    begin_prefill(board, item);
}

void
Req_OnRefuse(Board *board, const char *home, const Wire__Refuse *refuse)
{
    ReqItem *item = find_waiting(board, refuse->request, refuse->attempt);

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
send_hold(Board *board, const ReqItem *item)
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

static bool
has_grant(const ReqItem *item)
{
    return item->stage == REQ_PREFILL || item->stage == REQ_DECODE;
}

/* Whether this entry still uses a request, given as "request/attempt". */
static bool
is_claimed(Board *board, const char *engine_request, const char *home)
{
    char request[BOARD_REQUEST_MAX];
    const char *slash = strrchr(engine_request, '/');
    ReqItem *item;

    if (slash == NULL || strlen(engine_request) >= sizeof(request)) {
        return true;
    }
    g_strlcpy(request, engine_request, (gsize)(slash - engine_request) + 1);
    item = g_hash_table_lookup(board->req->by_id, request);
    if (item == NULL || !has_grant(item) ||
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
    ReqItem *item;

    TAILQ_FOREACH(item, &board->req->items, link)
    {
        if (item->stage == REQ_WAIT_GRANT && strcmp(item->home, vm) == 0) {
            Met_Add(MET_RESUBMITS, 1);
            item->attempt++;
            reserve_again(board, item);
        }
    }
}

/* Expected time of the prefill on the upstream of the grant. */
static int64_t
get_prefill_us(const Board *board, const ReqItem *item)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, item->prefill);
    uint32_t rate = spec != NULL ? spec->prefill_tokens_per_s : 1000;
    return (int64_t)item->prompt_tokens * CLK_US_PER_S / rate;
}

/* Expected time of the KV transfer on the decode upstream's link. */
static int64_t
get_transfer_us(const Board *board, const ReqItem *item)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, item->decode);
    const ConModel *model = Con_FindModel(board->config, item->model);

    if (spec == NULL || model == NULL) {
        return CLK_US_PER_S;
    }
    return (int64_t)((double)item->prompt_tokens * model->kv_bytes_per_token /
                     (double)spec->link_bytes_per_s * (double)CLK_US_PER_S);
}

/* Longest time without progress that the present stage allows. */
static int64_t
get_stage_timeout(const Board *board, const ReqItem *item)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, item->decode);
    int64_t interval = spec != NULL ? spec->token_interval_us : 0;

    switch (item->stage) {
    case REQ_WAIT_GRANT:
        return item->first_token_target_us + REQ_GRANT_SLACK_US;
    case REQ_PREFILL:
        return REQ_PREFILL_SLACK_US +
               REQ_PREFILL_FACTOR * get_prefill_us(board, item);
    case REQ_DECODE:
        if (!item->kv_used) {
            return REQ_FIRST_CHUNK_SLACK_US +
                   REQ_PREFILL_FACTOR * get_transfer_us(board, item);
        }
        return MAX(REQ_GAP_MIN_US, REQ_GAP_TOKENS * interval);
    case REQ_BACKOFF:
        break;
    }
    return REQ_DEADLINE_US;
}

/* Follows a cell whose home has changed with the grant in use. */
static void
recheck_home(Board *board, ReqItem *item, int64_t now)
{
    const char *home;

    if (!has_grant(item) || now < item->recheck_us) {
        return;
    }
    item->recheck_us = now + REQ_RECHECK_US;
    home = Mem_FindHome(board, item->cell, item->cell_region);
    if (strcmp(home, item->home) != 0) {
        g_strlcpy(item->home, home, sizeof(item->home));
        send_hold(board, item);
    }
}

static void
handle_silence(Board *board, ReqItem *item)
{
    switch (item->stage) {
    case REQ_WAIT_GRANT:
        Mem_OnLinkDown(board, item->home);
        item->attempt++;
        Met_Add(MET_RESUBMITS, 1);
        reserve_again(board, item);
        break;
    case REQ_PREFILL:
        fail_attempt(board, item, PLC_OUTCOME_FAILED, item->prefill,
                     LS_ERR_UPSTREAM_SILENT, "the prefill went silent");
        break;
    case REQ_DECODE:
        if (item->kv_used && !item->resumed) {
            begin_resume(board, item);
        }
        else {
            fail_attempt(board, item, PLC_OUTCOME_FAILED, item->decode,
                         LS_ERR_UPSTREAM_SILENT, "the decode went silent");
        }
        break;
    case REQ_BACKOFF:
        break;
    }
}

void
Req_OnTick(Board *board)
{
    int64_t now = Board_Now(board);
    ReqItem *item = TAILQ_FIRST(&board->req->items);

    while (item != NULL) {
        ReqItem *next = TAILQ_NEXT(item, link);
        if (now - item->arrived_us > REQ_DEADLINE_US) {
            drop_attempt(board, item);
            send_release(board, item, PLC_OUTCOME_CANCELLED, "");
            refuse_item(board, item, LS_ERR_DEADLINE, 0,
                        "the request's deadline passed");
        }
        else if (item->stage == REQ_BACKOFF) {
            if (now >= item->backoff_until_us) {
                reserve_again(board, item);
            }
        }
        else if (now - item->progress_us > get_stage_timeout(board, item)) {
            handle_silence(board, item);
        }
        else {
            recheck_home(board, item, now);
        }
        item = next;
    }
}

guint
Req_Count(const Req *req)
{
    return g_hash_table_size(req->by_id);
}

static void
destroy_item(ReqItem *item)
{
    g_free(item->prompt);
    g_array_unref(item->prefixes);
    g_string_free(item->text, TRUE);
    g_ptr_array_unref(item->cells_refused);
    g_ptr_array_unref(item->avoid);
    g_free(item);
}

static void
free_item(Board *board, ReqItem *item)
{
    Quo_Release(board, item->customer);
    g_hash_table_remove(board->req->by_id, item->id);
    g_hash_table_remove(board->req->by_caller, &item->caller);
    TAILQ_REMOVE(&board->req->items, item, link);
    destroy_item(item);
}

static bool
is_refused(const ReqItem *item, const char *cell)
{
    for (guint i = 0; i < item->cells_refused->len; i++) {
        if (strcmp(item->cells_refused->pdata[i], cell) == 0) {
            return true;
        }
    }
    return false;
}

/* Tries one region's cell. Other regions take from the contract's volume. */
static bool
try_region(Board *board, ReqItem *item, const ConCustomer *customer,
           const char *region)
{
    char cell[CON_ID_MAX * 2];
    bool far = strcmp(region, board->region) != 0;

    g_snprintf(cell, sizeof(cell), "%s@%s", item->model, region);
    if (is_refused(item, cell) ||
        g_hash_table_lookup(board->config->cells, cell) == NULL ||
        (far && !Quo_TakeVolume(board, customer, item->prompt_tokens))) {
        return false;
    }
    g_strlcpy(item->cell, cell, sizeof(item->cell));
    g_strlcpy(item->cell_region, region, sizeof(item->cell_region));
    item->spilled = far;
    return true;
}

/* Chooses the next cell: this region's first, then the contract's others in
   its order. */
static bool
choose_cell(Board *board, ReqItem *item)
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

static void
set_stage(Board *board, ReqItem *item, ReqStage stage)
{
    item->stage = stage;
    item->stage_us = Board_Now(board);
    item->progress_us = item->stage_us;
    item->recheck_us = item->stage_us + REQ_RECHECK_US;
}

/* Baselines without homes place every request at its own entry. */
static const char *
find_home(Board *board, const ReqItem *item)
{
    if (Pick_IsLocal(Plc_GetPolicy(board->plc))) {
        return board->vm;
    }
    return Mem_FindHome(board, item->cell, item->cell_region);
}

static void
send_reserve(Board *board, ReqItem *item)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Reserve reserve = WIRE__RESERVE__INIT;
    int64_t used_us = Board_Now(board) - item->budget_us;

    set_stage(board, item, REQ_WAIT_GRANT);
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

/* Reserves anew after a failure that is not the caller's. The target counts
   anew as well: an answer that is late is better than one that is lost. */
static void
reserve_again(Board *board, ReqItem *item)
{
    item->budget_us = Board_Now(board);
    send_reserve(board, item);
}

static void
send_release(Board *board, const ReqItem *item, PlcOutcome outcome,
             const char *blamed)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Release release = WIRE__RELEASE__INIT;

    if (item->stage == REQ_BACKOFF) {
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

static EngWork
get_work(const ReqItem *item)
{
    EngWork work = {0};

    work.model = item->model;
    work.prompt = item->prompt;
    work.resume_text = item->text->str;
    work.resume_offset = item->tokens;
    work.max_tokens = item->max_tokens - item->tokens;
    work.priority = item->priority;
    return work;
}

/* Posts one body to an engine under the attempt's identifier. */
static void
begin_engine_call(Board *board, ReqItem *item, const char *upstream,
                  char *body, bool stream, BoardCallHandler handler)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, upstream);
    char engine_request[BOARD_REQUEST_MAX];
    BoardCall call = {0};

    g_snprintf(engine_request, sizeof(engine_request), "%s/%u", item->id,
               item->attempt);
    call.method = "POST";
    call.address = spec->address;
    call.path = "/v1/completions";
    call.body = body;
    call.body_size = strlen(body);
    call.request = engine_request;
    call.stream = stream;
    call.fresh = item->resumed;
    item->call = Board_BeginCall(board, &call, handler, item);
    free(body);
}

/* Fails the attempt if the upstream left the configuration. */
static bool
check_upstream(Board *board, ReqItem *item, const char *upstream)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, upstream);

    if (spec != NULL) {
        return true;
    }
    fail_attempt(board, item, PLC_OUTCOME_LEAVING, upstream,
                 LS_ERR_NO_UPSTREAM, "the upstream left the configuration");
    return false;
}

static void
begin_prefill(Board *board, ReqItem *item)
{
    EngWork work = get_work(item);

    set_stage(board, item, REQ_PREFILL);
    if (!check_upstream(board, item, item->prefill)) {
        return;
    }
    Met_Add(MET_PREFILLS, 1);
    Met_Add(MET_PREFILL_TOKENS, item->prompt_tokens + item->tokens);
    begin_engine_call(board, item, item->prefill, Eng_FormatPrefill(&work),
                      false, handle_prefill);
}

static void
begin_decode(Board *board, ReqItem *item, const json_t *params)
{
    EngWork work = get_work(item);

    set_stage(board, item, REQ_DECODE);
    if (!check_upstream(board, item, item->decode)) {
        return;
    }
    begin_engine_call(board, item, item->decode,
                      Eng_FormatDecode(&work, params), true, handle_decode);
}

/* Asks the present decode engine to go on from the last token received. */
static void
begin_resume(Board *board, ReqItem *item)
{
    EngWork work = get_work(item);

    item->resumed = true;
    Board_EndCall(board, item->call);
    set_stage(board, item, REQ_DECODE);
    if (!check_upstream(board, item, item->decode)) {
        return;
    }
    Met_Add(MET_UPSTREAM_RETRIES, 1);
    begin_engine_call(board, item, item->decode, Eng_FormatResume(&work), true,
                      handle_decode);
}

static void
send_prefill_end(Board *board, const ReqItem *item)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__PrefillEnd end = WIRE__PREFILL_END__INIT;

    end.cell = (char *)item->cell;
    end.request = (char *)item->id;
    end.attempt = item->attempt;
    frame.body_case = WIRE__FRAME__BODY_PREFILL_END;
    frame.prefill_end = &end;
    Board_SendFrame(board, item->home, &frame);
}

/* Fails an attempt by what an engine's answer says. */
static void
handle_engine_failure(Board *board, ReqItem *item, const char *upstream,
                      const BoardCallEvent *event)
{
    EngRefusal refusal = ENG_REFUSAL_OTHER;

    if (event->type == BOARD_CALL_END && event->status != 200) {
        refusal = Eng_ParseRefusal(event->data, event->size);
    }
    switch (refusal) {
    case ENG_REFUSAL_FULL:
        fail_attempt(board, item, PLC_OUTCOME_REFUSED, upstream,
                     LS_ERR_OVERLOAD, "the engine was full");
        return;
    case ENG_REFUSAL_LEAVING:
        fail_attempt(board, item, PLC_OUTCOME_LEAVING, upstream,
                     LS_ERR_NO_UPSTREAM, "the engine is leaving");
        return;
    case ENG_REFUSAL_KV_MISSING:
        fail_attempt(board, item, PLC_OUTCOME_DONE, "", LS_ERR_UPSTREAM_FAILED,
                     "the prefill result was gone");
        return;
    case ENG_REFUSAL_OTHER:
        break;
    }
    fail_attempt(board, item, PLC_OUTCOME_FAILED, upstream,
                 LS_ERR_UPSTREAM_FAILED, "the engine failed");
}

static void
handle_prefill(Board *board, void *owner, const BoardCallEvent *event)
{
    ReqItem *item = owner;
    json_t *params = NULL;

    if (event->type == BOARD_CALL_DATA) {
        return;
    }
    item->call = 0;
    item->sent = item->sent || event->sent;
    if (event->type == BOARD_CALL_END && event->status == 200) {
        params = Eng_ParsePrefill(event->data, event->size);
    }
    if (params == NULL) {
        handle_engine_failure(board, item, item->prefill, event);
        return;
    }
    send_prefill_end(board, item);
    begin_decode(board, item, params);
    json_decref(params);
}

/* Passes a chunk on if it continues the answer exactly. */
static bool
deliver_chunk(Board *board, ReqItem *item, const EngChunk *chunk)
{
    BoardAnswer answer = {0};

    if (chunk->offset + chunk->tokens <= item->tokens && chunk->tokens > 0) {
        Met_Add(MET_CHUNKS_DROPPED, 1);
        return true;
    }
    if (chunk->offset != item->tokens) {
        return false;
    }
    if (item->first_token_us == 0) {
        item->first_token_us = Board_Now(board);
    }
    answer.type = BOARD_ANSWER_CHUNK;
    answer.offset = item->tokens;
    answer.text = chunk->text;
    answer.size = strlen(chunk->text);
    item->tokens += chunk->tokens;
    g_string_append(item->text, chunk->text);
    if (chunk->finish_reason != NULL) {
        g_strlcpy(item->finish_reason, chunk->finish_reason,
                  sizeof(item->finish_reason));
    }
    Board_Answer(board, item->caller, &answer);
    return true;
}

static void
handle_decode(Board *board, void *owner, const BoardCallEvent *event)
{
    ReqItem *item = owner;
    EngChunk chunk;
    bool ok;

    item->sent = item->sent || event->sent;
    if (event->type == BOARD_CALL_DATA) {
        ok = Eng_ParseChunk(event->data, event->size, &chunk);
        item->progress_us = Board_Now(board);
        item->kv_used = true;
        if (ok && !chunk.done) {
            ok = deliver_chunk(board, item, &chunk);
        }
        Eng_ClearChunk(&chunk);
        if (!ok) {
            fail_attempt(board, item, PLC_OUTCOME_FAILED, item->decode,
                         LS_ERR_UPSTREAM_FAILED, "the stream had a gap");
        }
        return;
    }
    item->call = 0;
    if (item->finish_reason[0] != '\0') {
        finish_item(board, item);
        return;
    }
    if (item->kv_used && !item->resumed) {
        begin_resume(board, item);
        return;
    }
    handle_engine_failure(board, item, item->decode, event);
}

/* Gives up what the attempt holds at engines; their cancels are sent even
   where a call seems dead, since the engine may not have noticed. */
static void
drop_attempt(Board *board, ReqItem *item)
{
    const char *const upstreams[] = {item->prefill, item->decode};
    char engine_request[BOARD_REQUEST_MAX];

    if (item->call != 0) {
        /* Without its end, nobody can tell that nothing left. */
        item->sent = true;
        Board_EndCall(board, item->call);
        item->call = 0;
    }
    if (!has_grant(item)) {
        return;
    }
    if (!item->kv_used) {
        Met_Add(MET_PREFILL_TOKENS_WASTED, item->prompt_tokens + item->tokens);
    }
    g_snprintf(engine_request, sizeof(engine_request), "%s/%u", item->id,
               item->attempt);
    for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        const ConUpstream *spec =
            Con_FindUpstream(board->config, upstreams[i]);
        bool reached = i == 0 || item->stage == REQ_DECODE;
        if (spec != NULL && reached) {
            Reap_CancelAtEngine(board, spec, engine_request);
        }
    }
}

static void
fail_attempt(Board *board, ReqItem *item, PlcOutcome outcome,
             const char *blamed, LsResult code, const char *message)
{
    char blamed_id[CON_ID_MAX];
    int64_t spread_us;

    g_strlcpy(blamed_id, blamed, sizeof(blamed_id));
    Ring_Add(board, item->id, "attempt %u failed at %s: %s", item->attempt,
             blamed_id, message);
    drop_attempt(board, item);
    send_release(board, item, outcome, blamed_id);
    item->failures++;
    if (item->failures >= REQ_ATTEMPTS_MAX ||
        !Quo_TakeRetry(board, item->customer)) {
        item->stage = REQ_BACKOFF;
        refuse_item(board, item, code, 1000, message);
        return;
    }
    Met_Add(MET_UPSTREAM_RETRIES, 1);
    if (blamed_id[0] != '\0' && item->avoid->len < REQ_AVOID_MAX &&
        outcome != PLC_OUTCOME_REFUSED) {
        g_ptr_array_add(item->avoid, g_strdup(blamed_id));
    }
    item->attempt++;
    set_stage(board, item, REQ_BACKOFF);
    spread_us = REQ_BACKOFF_US << item->failures;
    item->backoff_until_us =
        Board_Now(board) +
        (int64_t)(g_rand_double(board->rand) * (double)spread_us);
}

/* Counts the answer towards the contract's latency targets. */
static void
count_goodput(Board *board, const ReqItem *item)
{
    int64_t first_us = item->first_token_us - item->arrived_us;
    int64_t rest_us = Board_Now(board) - item->first_token_us;
    uint32_t gaps = item->tokens > 1 ? item->tokens - 1 : 1;

    Met_Add(MET_ANSWERS_OK, 1);
    if (first_us > item->first_token_target_us) {
        return;
    }
    Met_Add(MET_FIRST_TOKEN_MET, 1);
    if (rest_us / gaps <= item->per_token_target_us) {
        Met_Add(MET_GOODPUT, 1);
    }
}

static void
finish_item(Board *board, ReqItem *item)
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
    Ring_Add(board, item->id, "done by %s", path);
    Board_Answer(board, item->caller, &answer);
    g_free(path);
    free_item(board, item);
}

static void
refuse_item(Board *board, ReqItem *item, LsResult code,
            uint32_t retry_after_ms, const char *message)
{
    LsError err;

    Err_Set(&err, code, item->sent ? LS_RUN_UNKNOWN : LS_RUN_NOT_RUN, "%s",
            message);
    err.retry_after_ms = retry_after_ms;
    Ring_Add(board, item->id, "refused %s: %s", Err_GetName(code), message);
    Board_AnswerError(board, item->caller, &err);
    free_item(board, item);
}
