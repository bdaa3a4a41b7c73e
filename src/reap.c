/* Orphan reaping: running lists, claim queries and cancels. */
#include "reap.h"

#include "membership.h"
#include "order.h"
#include "placement.h"

#include <stdlib.h>
#include <string.h>

#define REAP_PATH_MAX 256

/* Requests of one entry on one engine's list, for a claim query. */
typedef struct ClaimBatch {
    char vm[CON_ID_MAX]; /* The entry. */
    GPtrArray *requests; /* const char *, owned by the JSON list */
} ClaimBatch;

static void send_claim_query(Board *board, const char *upstream,
                             const ClaimBatch *batch);
static void handle_list(Board *board, void *owner,
                        const BoardCallEvent *event);
static void handle_cancel(Board *board, void *owner,
                          const BoardCallEvent *event);
static void check_listed_request(Board *board, const ConUpstream *upstream,
                                 const char *engine_request,
                                 GPtrArray *batches);

void
Reap_FormatRequest(const Board *board, uint64_t sequence, char *target,
                   size_t size)
{
    g_snprintf(target, size, "%s.%" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT,
               board->vm, board->incarnation, sequence);
}

bool
Reap_ParseRequest(const char *request, char *vm, size_t vm_size,
                  uint64_t *incarnation)
{
    const char *last = strrchr(request, '.');
    const char *middle = NULL;

    for (const char *c = request; last != NULL && c < last; c++) {
        if (*c == '.') {
            middle = c;
        }
    }
    if (middle == NULL || (size_t)(middle - request) >= vm_size) {
        return false;
    }
    memcpy(vm, request, (size_t)(middle - request));
    vm[middle - request] = '\0';
    *incarnation = g_ascii_strtoull(middle + 1, NULL, 16);
    return true;
}

/* Whether the process of a request's entry certainly no longer exists. An
   unreachable entry may still use its request, so only a restart of its
   process or the VM's removal from the platform's list counts. */
static bool
has_entry_exited(Board *board, const char *vm, uint64_t incarnation)
{
    if (strcmp(vm, board->vm) == 0) {
        return incarnation != board->incarnation;
    }
    return Mem_IsRemoved(board, vm) ||
           Mem_GetIncarnation(board, vm) > incarnation;
}

void
Reap_CheckJob(Board *board, const char *engine_request)
{
    char vm[CON_ID_MAX];
    uint64_t incarnation;
    ClaimBatch batch = {0};

    if (!Reap_ParseRequest(engine_request, vm, sizeof(vm), &incarnation)) {
        return;
    }
    if (has_entry_exited(board, vm, incarnation)) {
        Plc_DropJob(board, engine_request);
        return;
    }
    g_strlcpy(batch.vm, vm, sizeof(batch.vm));
    batch.requests = g_ptr_array_new();
    g_ptr_array_add(batch.requests, (gpointer)engine_request);
    send_claim_query(board, "", &batch);
    g_ptr_array_unref(batch.requests);
}

/* Whether this VM reads the running list of an engine. Baseline policies
   without homes need the lists of all engines at each entry. */
static bool
is_list_reader(Board *board, const ConUpstream *upstream)
{
    return Pick_IsLocal(Plc_GetPolicy(board->plc)) ||
           Mem_IsHome(board, upstream->cell, upstream->region);
}

void
Reap_OnTick(Board *board)
{
    int64_t now = Board_Now(board);

    if (board->config == NULL || now < board->next_list_poll_us) {
        return;
    }
    board->last_list_poll_us = now;
    board->next_list_poll_us = now + REAP_POLL_INTERVAL_US;
    for (guint i = 0; i < board->config->upstreams->len; i++) {
        const ConUpstream *upstream = board->config->upstreams->pdata[i];
        BoardCall call = {0};
        if (upstream->role == CON_ROLE_SERVICE ||
            !is_list_reader(board, upstream)) {
            continue;
        }
        call.method = "GET";
        call.address = upstream->address;
        call.path = "/v1/requests";
        Board_BeginCall(board, &call, handle_list,
                        (void *)g_intern_string(upstream->id));
    }
}

void
Reap_RequestPoll(Board *board)
{
    board->next_list_poll_us = MIN(
        board->next_list_poll_us, board->last_list_poll_us + REAP_POLL_MIN_US);
}

void
Reap_OnClaimAnswer(Board *board, const Wire__ClaimAnswer *answer)
{
    const ConUpstream *upstream =
        board->config != NULL
            ? Con_FindUpstream(board->config, answer->upstream)
            : NULL;

    for (size_t i = 0; i < answer->n_unclaimed; i++) {
        Plc_DropJob(board, answer->unclaimed[i]);
    }
    for (size_t i = 0; upstream != NULL && i < answer->n_unclaimed; i++) {
        Met_Add(MET_ORPHANS_CANCELLED, 1);
        Reap_CancelAtEngine(board, upstream, answer->unclaimed[i]);
    }
}

void
Reap_CancelAtEngine(Board *board, const ConUpstream *upstream,
                    const char *engine_request)
{
    BoardCall call = {0};
    char *escaped = g_uri_escape_string(engine_request, NULL, FALSE);
    char *path = g_strdup_printf("/v1/requests/%s/cancel", escaped);

    call.method = "POST";
    call.address = upstream->address;
    call.path = path;
    Met_Add(MET_CANCELS_SENT, 1);
    Board_BeginCall(board, &call, handle_cancel, NULL);
    g_free(escaped);
    g_free(path);
}

static void
send_claim_query(Board *board, const char *upstream, const ClaimBatch *batch)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__ClaimQuery claim = WIRE__CLAIM_QUERY__INIT;

    claim.upstream = (char *)upstream;
    claim.n_request = batch->requests->len;
    claim.request = (char **)batch->requests->pdata;
    frame.body_case = WIRE__FRAME__BODY_CLAIM_QUERY;
    frame.claim_query = &claim;
    Board_SendFrame(board, batch->vm, &frame);
}

static void
free_batch(gpointer data)
{
    ClaimBatch *batch = data;
    g_ptr_array_unref(batch->requests);
    g_free(batch);
}

/* Reports the engine's loaded model version to the engine orders. Only engines
   that accept orders name one. */
static void
report_loaded(Board *board, const char *upstream, const json_t *loaded)
{
    if (json_is_string(loaded)) {
        Ord_OnReport(board, upstream, json_string_value(loaded));
    }
}

static void
handle_list(Board *board, void *owner, const BoardCallEvent *event)
{
    const char *id = owner; /* Interned string. */
    const ConUpstream *upstream = Con_FindUpstream(board->config, id);
    json_t *root = NULL;
    GPtrArray *batches;
    uint32_t foreign = 0;
    size_t i;
    const json_t *item;

    if (event->type == BOARD_CALL_DATA) {
        return;
    }
    if (event->type == BOARD_CALL_END && event->status == 200 &&
        upstream != NULL) {
        root = json_loadb(event->data, event->size, 0, NULL);
    }
    batches = g_ptr_array_new_with_free_func(free_batch);
    json_array_foreach(json_object_get(root, "requests"), i, item)
    {
        if (json_is_string(item)) {
            foreign += Plc_HasJob(board->plc, json_string_value(item)) ? 0 : 1;
            check_listed_request(board, upstream, json_string_value(item),
                                 batches);
        }
    }
    if (root != NULL) {
        Plc_OnReport(
            board, id,
            (uint32_t)json_array_size(json_object_get(root, "requests")),
            foreign, json_is_true(json_object_get(root, "leaving")));
        report_loaded(board, id, json_object_get(root, "loaded"));
    }
    for (guint q = 0; q < batches->len; q++) {
        send_claim_query(board, id, batches->pdata[q]);
    }
    g_ptr_array_unref(batches);
    json_decref(root);
}

static void
handle_cancel(Board *board, void *owner, const BoardCallEvent *event)
{
    /* A lost cancel needs no handling: the next running list shows the
       request again. */
    (void)board;
    (void)owner;
    (void)event;
}

static void
add_to_batch(GPtrArray *batches, const char *vm, const char *engine_request)
{
    ClaimBatch *batch = NULL;

    for (guint i = 0; i < batches->len && batch == NULL; i++) {
        ClaimBatch *existing = batches->pdata[i];
        if (strcmp(existing->vm, vm) == 0) {
            batch = existing;
        }
    }
    if (batch == NULL) {
        batch = g_new0(ClaimBatch, 1);
        g_strlcpy(batch->vm, vm, sizeof(batch->vm));
        batch->requests = g_ptr_array_new();
        g_ptr_array_add(batches, batch);
    }
    g_ptr_array_add(batch->requests, (gpointer)engine_request);
}

/* Handles one request on an engine's list: cancels it if its entry no longer
   exists, and adds it to a claim query if it is no job of this home. */
static void
check_listed_request(Board *board, const ConUpstream *upstream,
                     const char *engine_request, GPtrArray *batches)
{
    char vm[CON_ID_MAX];
    uint64_t incarnation;

    if (strchr(engine_request, '/') == NULL ||
        !Reap_ParseRequest(engine_request, vm, sizeof(vm), &incarnation)) {
        return; /* Not a request of this system. */
    }
    if (has_entry_exited(board, vm, incarnation)) {
        Met_Add(MET_ORPHANS_CANCELLED, 1);
        Reap_CancelAtEngine(board, upstream, engine_request);
    }
    else if (!Plc_HasJob(board->plc, engine_request)) {
        add_to_batch(batches, vm, engine_request);
    }
}
