/* Service calls: attempts at workers and their retries. */
#include "service.h"

#include "quota.h"

#include <string.h>
#include <sys/queue.h>

#define SVC_RETRY_AFTER_MS 1000

/* A call in progress. */
typedef struct SvcItem {
    TAILQ_ENTRY(SvcItem) link;
    uint64_t caller;
    char customer[CON_ID_MAX];
    char service[CON_ID_MAX];
    char upstream[CON_ID_MAX]; /* Worker of the last attempt, or "". */
    char *method;
    char *path;
    char *body;
    size_t body_size;
    uint64_t call; /* Board call of the attempt. */
    uint32_t attempts;
    bool sent; /* Some bytes of the call may have been sent. */
    int64_t begun_us;
    int64_t attempt_begun_us;
} SvcItem;

typedef TAILQ_HEAD(SvcList, SvcItem) SvcList;

struct Svc {
    SvcList items;
    guint count;
    uint64_t next_worker; /* Next index by round robin. */
};

static void try_upstream(Board *board, SvcItem *item);
static void fail_attempt(Board *board, SvcItem *item, const char *message);
static void handle_service(Board *board, void *owner,
                           const BoardCallEvent *event);
static void free_item(Board *board, SvcItem *item);

Svc *
Svc_New(void)
{
    Svc *svc = g_new0(Svc, 1);
    TAILQ_INIT(&svc->items);
    return svc;
}

void
Svc_Free(Svc *svc)
{
    SvcItem *item;

    while ((item = TAILQ_FIRST(&svc->items)) != NULL) {
        TAILQ_REMOVE(&svc->items, item, link);
        g_free(item->method);
        g_free(item->path);
        g_free(item->body);
        g_free(item);
    }
    g_free(svc);
}

void
Svc_Begin(Board *board, const SvcParams *params)
{
    SvcItem *item;
    LsError err;

    if (Quo_Admit(board, params->customer, 0, &err) != LS_OK) {
        Board_AnswerError(board, params->caller, NULL, &err);
        return;
    }
    item = g_new0(SvcItem, 1);
    item->caller = params->caller;
    g_strlcpy(item->customer, params->customer->id, sizeof(item->customer));
    g_strlcpy(item->service, params->service, sizeof(item->service));
    item->method = g_strdup(params->method);
    item->path = g_strdup(params->path);
    item->body = g_memdup2(params->body, params->body_size);
    item->body_size = params->body_size;
    item->begun_us = Board_Now(board);
    TAILQ_INSERT_TAIL(&board->svc->items, item, link);
    board->svc->count++;
    try_upstream(board, item);
}

void
Svc_Cancel(Board *board, uint64_t caller)
{
    SvcItem *item;

    TAILQ_FOREACH(item, &board->svc->items, link)
    {
        if (item->caller == caller) {
            Board_EndCall(board, item->call);
            free_item(board, item);
            return;
        }
    }
}

void
Svc_OnTick(Board *board)
{
    int64_t now = Board_Now(board);
    SvcItem *item = TAILQ_FIRST(&board->svc->items);

    while (item != NULL) {
        SvcItem *next = TAILQ_NEXT(item, link);
        if (now - item->attempt_begun_us > SVC_ATTEMPT_TIMEOUT_US) {
            Board_EndCall(board, item->call);
            item->sent = true;
            fail_attempt(board, item, "the worker did not answer in time");
        }
        item = next;
    }
}

void
Svc_EndAll(Board *board)
{
    SvcItem *item;
    LsError err;

    while ((item = TAILQ_FIRST(&board->svc->items)) != NULL) {
        Board_EndCall(board, item->call);
        Err_Set(&err, LS_ERR_SHUTTING_DOWN, LS_RUN_UNKNOWN,
                "the VM stopped before the worker answered");
        err.retry_after_ms = SVC_RETRY_AFTER_MS;
        Board_AnswerError(board, item->caller, NULL, &err);
        free_item(board, item);
    }
}

guint
Svc_Count(const Svc *svc)
{
    return svc->count;
}

static bool
is_eligible(const Board *board, const ConUpstream *upstream,
            const char *service, const char *customer, bool is_local)
{
    const ConCustomer *contract = NULL;

    if (upstream->role != CON_ROLE_SERVICE || upstream->leaving ||
        strcmp(upstream->serves, service) != 0 ||
        (strcmp(upstream->region, board->region) == 0) != is_local) {
        return false;
    }
    contract = Con_FindCustomerById(board->config, customer);
    return contract != NULL && Con_IsRegionAllowed(contract, upstream->region);
}

/* Chooses the next worker by round robin, of this region or of the others. */
static const ConUpstream *
choose_round_robin(Board *board, const char *service, const char *customer,
                   const char *avoid, bool is_local)
{
    const GPtrArray *upstreams = board->config->upstreams;
    const ConUpstream *avoided = NULL;
    uint64_t begin = board->svc->next_worker++;

    for (guint i = 0; i < upstreams->len; i++) {
        const ConUpstream *upstream =
            upstreams->pdata[(begin + i) % upstreams->len];
        if (!is_eligible(board, upstream, service, customer, is_local)) {
            continue;
        }
        if (avoid == NULL || strcmp(upstream->id, avoid) != 0) {
            board->svc->next_worker = begin + i + 1;
            return upstream;
        }
        avoided = upstream;
    }
    return avoided;
}

const ConUpstream *
Svc_ChooseUpstream(Board *board, const char *service, const char *customer,
                   const char *avoid)
{
    const ConUpstream *local_upstream;
    const ConUpstream *remote_upstream;

    if (board->config == NULL) {
        return NULL;
    }
    local_upstream = choose_round_robin(board, service, customer, avoid, true);
    if (local_upstream != NULL &&
        (avoid == NULL || strcmp(local_upstream->id, avoid) != 0)) {
        return local_upstream;
    }
    remote_upstream =
        choose_round_robin(board, service, customer, avoid, false);
    return remote_upstream != NULL ? remote_upstream : local_upstream;
}

static void
free_item(Board *board, SvcItem *item)
{
    Quo_Release(board, item->customer);
    TAILQ_REMOVE(&board->svc->items, item, link);
    board->svc->count--;
    g_free(item->method);
    g_free(item->path);
    g_free(item->body);
    g_free(item);
}

static void
try_upstream(Board *board, SvcItem *item)
{
    const ConUpstream *upstream =
        Svc_ChooseUpstream(board, item->service, item->customer,
                           item->attempts > 0 ? item->upstream : NULL);
    BoardCall call = {0};
    LsError err;

    if (upstream == NULL) {
        Err_Set(&err, LS_ERR_NO_UPSTREAM,
                item->sent ? LS_RUN_UNKNOWN : LS_RUN_NOT_RUN,
                "no worker of service %s is available", item->service);
        err.retry_after_ms = SVC_RETRY_AFTER_MS;
        Board_AnswerError(board, item->caller, NULL, &err);
        free_item(board, item);
        return;
    }
    g_strlcpy(item->upstream, upstream->id, sizeof(item->upstream));
    item->attempts++;
    item->attempt_begun_us = Board_Now(board);
    call.method = item->method;
    call.address = upstream->address;
    call.path = item->path;
    call.body = item->body;
    call.body_size = item->body_size;
    item->call = Board_BeginCall(board, &call, handle_service, item);
}

static void
fail_attempt(Board *board, SvcItem *item, const char *message)
{
    LsError err;

    if (item->attempts < SVC_ATTEMPTS_MAX &&
        Board_Now(board) - item->begun_us < SVC_DEADLINE_US &&
        Quo_TakeRetry(board, item->customer)) {
        Met_Add(MET_UPSTREAM_RETRIES, 1);
        try_upstream(board, item);
        return;
    }
    Err_Set(&err, LS_ERR_UPSTREAM_FAILED,
            item->sent ? LS_RUN_UNKNOWN : LS_RUN_NOT_RUN, "%s", message);
    err.retry_after_ms = SVC_RETRY_AFTER_MS;
    Board_AnswerError(board, item->caller, NULL, &err);
    free_item(board, item);
}

static void
handle_service(Board *board, void *owner, const BoardCallEvent *event)
{
    SvcItem *item = owner;
    BoardAnswer answer = {0};

    if (event->type == BOARD_CALL_DATA) {
        return;
    }
    item->sent = item->sent || event->sent;
    if (event->type == BOARD_CALL_FAILED) {
        fail_attempt(board, item, "no complete answer from a worker");
        return;
    }
    answer.type = BOARD_ANSWER_BODY;
    answer.status = event->status;
    answer.text = event->data;
    answer.size = event->size;
    Board_Answer(board, item->caller, &answer);
    free_item(board, item);
}
