#include "svc.h"

#include "quo.h"

#include <string.h>
#include <sys/queue.h>

typedef struct SvcItem {
    TAILQ_ENTRY(SvcItem) link;
    uint64_t caller;
    char customer[CON_ID_MAX];
    char service[CON_ID_MAX];
    char upstream[CON_ID_MAX];
    char *method;
    char *path;
    char *body;
    size_t body_size;
    uint64_t call;
    uint32_t tries;
    bool sent;
    int64_t begun_us;
    int64_t try_us;
} SvcItem;

typedef TAILQ_HEAD(SvcList, SvcItem) SvcList;

struct Svc {
    SvcList items;
    guint count;
    uint64_t turn;
};

static void try_upstream(Board *board, SvcItem *item);
static void fail_try(Board *board, SvcItem *item, const char *message);
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
Svc_Begin(Board *board, const SvcParams *order)
{
    SvcItem *item;
    LsError err;

    if (Quo_Admit(board, order->customer, 0, &err) != LS_OK) {
        Board_AnswerError(board, order->caller, NULL, &err);
        return;
    }
    item = g_new0(SvcItem, 1);
    item->caller = order->caller;
    g_strlcpy(item->customer, order->customer->id, sizeof(item->customer));
    g_strlcpy(item->service, order->service, sizeof(item->service));
    item->method = g_strdup(order->method);
    item->path = g_strdup(order->path);
    item->body = g_memdup2(order->body, order->body_size);
    item->body_size = order->body_size;
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
        if (now - item->try_us > SVC_TRY_US) {
            Board_EndCall(board, item->call);
            item->sent = true;
            fail_try(board, item, "the service went silent");
        }
        item = next;
    }
}

guint
Svc_Count(const Svc *svc)
{
    return svc->count;
}

static bool
serves(const Board *board, const ConUpstream *upstream, const char *service,
       const char *customer, bool near)
{
    const ConCustomer *contract = NULL;

    if (upstream->role != CON_ROLE_SERVICE || upstream->leaving ||
        strcmp(upstream->serves, service) != 0 ||
        (strcmp(upstream->region, board->region) == 0) != near) {
        return false;
    }
    contract = Con_FindCustomerById(board->config, customer);
    return contract != NULL && Con_IsRegionAllowed(contract, upstream->region);
}

/* The next worker in turn, of this region or of the others. */
static const ConUpstream *
choose_in_turn(Board *board, const char *service, const char *customer,
               const char *avoid, bool near)
{
    const GPtrArray *upstreams = board->config->upstreams;
    const ConUpstream *last = NULL;
    uint64_t begin = board->svc->turn++;

    for (guint i = 0; i < upstreams->len; i++) {
        const ConUpstream *upstream =
            upstreams->pdata[(begin + i) % upstreams->len];
        if (!serves(board, upstream, service, customer, near)) {
            continue;
        }
        if (avoid == NULL || strcmp(upstream->id, avoid) != 0) {
            board->svc->turn = begin + i + 1;
            return upstream;
        }
        last = upstream;
    }
    return last;
}

const ConUpstream *
Svc_ChooseUpstream(Board *board, const char *service, const char *customer,
                   const char *avoid)
{
    const ConUpstream *near_one;
    const ConUpstream *far_one;

    if (board->config == NULL) {
        return NULL;
    }
    near_one = choose_in_turn(board, service, customer, avoid, true);
    if (near_one != NULL &&
        (avoid == NULL || strcmp(near_one->id, avoid) != 0)) {
        return near_one;
    }
    far_one = choose_in_turn(board, service, customer, avoid, false);
    return far_one != NULL ? far_one : near_one;
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
                           item->tries > 0 ? item->upstream : NULL);
    BoardCall call = {0};
    LsError err;

    if (upstream == NULL) {
        Err_Set(&err, LS_ERR_NO_UPSTREAM,
                item->sent ? LS_RUN_UNKNOWN : LS_RUN_NOT_RUN,
                "no worker of service %s", item->service);
        err.retry_after_ms = 1000;
        Board_AnswerError(board, item->caller, NULL, &err);
        free_item(board, item);
        return;
    }
    g_strlcpy(item->upstream, upstream->id, sizeof(item->upstream));
    item->tries++;
    item->try_us = Board_Now(board);
    call.method = item->method;
    call.address = upstream->address;
    call.path = item->path;
    call.body = item->body;
    call.body_size = item->body_size;
    item->call = Board_BeginCall(board, &call, handle_service, item);
}

static void
fail_try(Board *board, SvcItem *item, const char *message)
{
    LsError err;

    if (item->tries < SVC_TRIES &&
        Board_Now(board) - item->begun_us < SVC_DEADLINE_US &&
        Quo_TakeRetry(board, item->customer)) {
        Met_Add(MET_UPSTREAM_RETRIES, 1);
        try_upstream(board, item);
        return;
    }
    Err_Set(&err, LS_ERR_UPSTREAM_FAILED,
            item->sent ? LS_RUN_UNKNOWN : LS_RUN_NOT_RUN, "%s", message);
    err.retry_after_ms = 1000;
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
        fail_try(board, item, "the service could not be reached");
        return;
    }
    answer.type = BOARD_ANSWER_BODY;
    answer.status = event->status;
    answer.text = event->data;
    answer.size = event->size;
    Board_Answer(board, item->caller, &answer);
    free_item(board, item);
}
