#include "reap.h"

#include "mem.h"
#include "ord.h"
#include "plc.h"

#include <stdlib.h>
#include <string.h>

#define REAP_PATH_MAX 256

/* Unclaimed requests of one entry on one engine. */
typedef struct Query {
    char vm[CON_ID_MAX];
    GPtrArray *requests; /* const char *, owned by the JSON list. */
} Query;

static void send_query(Board *board, const char *upstream, const Query *query);
static void handle_list(Board *board, void *owner,
                        const BoardCallEvent *event);
static void handle_cancel(Board *board, void *owner,
                          const BoardCallEvent *event);
static void sort_request(Board *board, const ConUpstream *upstream,
                         const char *engine_request, GPtrArray *queries);

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

/* Whether the process that holds a request's caller is gone for certain. An
   entry that is merely unreachable may still hold its request, so only a
   restart of its VM or the VM's removal from the list counts. */
static bool
is_entry_gone(Board *board, const char *vm, uint64_t incarnation)
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
    Query query = {0};

    if (!Reap_ParseRequest(engine_request, vm, sizeof(vm), &incarnation)) {
        return;
    }
    if (is_entry_gone(board, vm, incarnation)) {
        Plc_DropJob(board, engine_request);
        return;
    }
    g_strlcpy(query.vm, vm, sizeof(query.vm));
    query.requests = g_ptr_array_new();
    g_ptr_array_add(query.requests, (gpointer)engine_request);
    send_query(board, "", &query);
    g_ptr_array_unref(query.requests);
}

/* Whether this VM reads the lists of a cell's engines. Baselines without homes
   need the reports of all engines at each entry. */
static bool
reads_lists_of(Board *board, const ConUpstream *upstream)
{
    return Pick_IsLocal(Plc_GetPolicy(board->plc)) ||
           Mem_IsHome(board, upstream->cell, upstream->region);
}

/* Reads the running lists of the cells that this VM is home of. */
void
Reap_OnTick(Board *board)
{
    int64_t now = Board_Now(board);

    if (board->config == NULL || now < board->next_list_poll_us) {
        return;
    }
    board->last_list_poll_us = now;
    board->next_list_poll_us = now + REAP_POLL_US;
    for (guint i = 0; i < board->config->upstreams->len; i++) {
        const ConUpstream *upstream = board->config->upstreams->pdata[i];
        BoardCall call = {0};
        if (upstream->role == CON_ROLE_SERVICE ||
            !reads_lists_of(board, upstream)) {
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
    board->next_list_poll_us = MIN(board->next_list_poll_us,
                                   board->last_list_poll_us + REAP_HASTE_US);
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
send_query(Board *board, const char *upstream, const Query *query)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__ClaimQuery claim = WIRE__CLAIM_QUERY__INIT;

    claim.upstream = (char *)upstream;
    claim.n_request = query->requests->len;
    claim.request = (char **)query->requests->pdata;
    frame.body_case = WIRE__FRAME__BODY_CLAIM_QUERY;
    frame.claim_query = &claim;
    Board_SendFrame(board, query->vm, &frame);
}

static void
free_query(gpointer data)
{
    Query *query = data;
    g_ptr_array_unref(query->requests);
    g_free(query);
}

/* Engines that take orders report what they have loaded. */
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
    const char *id = owner; /* Interned. */
    const ConUpstream *upstream = Con_FindUpstream(board->config, id);
    json_t *root = NULL;
    GPtrArray *queries;
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
    queries = g_ptr_array_new_with_free_func(free_query);
    json_array_foreach(json_object_get(root, "requests"), i, item)
    {
        if (json_is_string(item)) {
            foreign += Plc_HasJob(board->plc, json_string_value(item)) ? 0 : 1;
            sort_request(board, upstream, json_string_value(item), queries);
        }
    }
    if (root != NULL) {
        Plc_OnReport(
            board, id,
            (uint32_t)json_array_size(json_object_get(root, "requests")),
            foreign, json_is_true(json_object_get(root, "leaving")));
        report_loaded(board, id, json_object_get(root, "loaded"));
    }
    for (guint q = 0; q < queries->len; q++) {
        send_query(board, id, queries->pdata[q]);
    }
    g_ptr_array_unref(queries);
    json_decref(root);
}

static void
handle_cancel(Board *board, void *owner, const BoardCallEvent *event)
{
    /* A cancel that is lost leaves a running request, which the next list
       shows again. */
    (void)board;
    (void)owner;
    (void)event;
}

static void
add_to_query(GPtrArray *queries, const char *vm, const char *engine_request)
{
    Query *query = NULL;

    for (guint i = 0; i < queries->len && query == NULL; i++) {
        Query *present = queries->pdata[i];
        if (strcmp(present->vm, vm) == 0) {
            query = present;
        }
    }
    if (query == NULL) {
        query = g_new0(Query, 1);
        g_strlcpy(query->vm, vm, sizeof(query->vm));
        query->requests = g_ptr_array_new();
        g_ptr_array_add(queries, query);
    }
    g_ptr_array_add(query->requests, (gpointer)engine_request);
}

/* Decides about one request on an engine's list: without any entry, known
   here, or to be asked about. */
static void
sort_request(Board *board, const ConUpstream *upstream,
             const char *engine_request, GPtrArray *queries)
{
    char vm[CON_ID_MAX];
    uint64_t incarnation;

    if (strchr(engine_request, '/') == NULL ||
        !Reap_ParseRequest(engine_request, vm, sizeof(vm), &incarnation)) {
        return; /* Not one of ours. */
    }
    if (is_entry_gone(board, vm, incarnation)) {
        Met_Add(MET_ORPHANS_CANCELLED, 1);
        Reap_CancelAtEngine(board, upstream, engine_request);
    }
    else if (!Plc_HasJob(board->plc, engine_request)) {
        add_to_query(queries, vm, engine_request);
    }
}
