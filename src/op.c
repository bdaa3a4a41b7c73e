#include "op.h"

#include "mem.h"
#include "quo.h"
#include "svc.h"

#include <string.h>
#include <sys/queue.h>

#define OP_KEY_PREFIX "op."
#define OP_SERVICE_TRIES 3

typedef enum OpState {
    OP_ISSUED,  /* Never sent. */
    OP_SENT,    /* Some byte may have left; no answer yet. */
    OP_DONE,    /* Answered by the service. */
    OP_UNKNOWN, /* Sent, and the answer is lost. */
} OpState;

/* Who waits for an operation's answer: a caller here, or a call of a VM. */
typedef struct OpWaiter {
    uint64_t caller;
    char vm[CON_ID_MAX];
    uint64_t call;
} OpWaiter;

typedef struct OpItem {
    TAILQ_ENTRY(OpItem) link; /* By issue. */
    TAILQ_ENTRY(OpItem) sent; /* While it is sent and not answered. */
    char key[OP_KEY_MAX];
    char customer[CON_ID_MAX];
    char service[CON_ID_MAX];
    char path[CON_PATH_MAX];
    char *digest; /* Of the body first sent. */
    char *body;
    size_t body_size;
    OpState state;
    int64_t issued_us;
    int64_t deadline_us; /* Of the running call. */
    uint64_t call;
    uint32_t tries;
    int status;
    char *answer;
    size_t answer_size;
    GArray *waiters; /* OpWaiter */
} OpItem;

/* A call handed to the VM that issued its key. */
typedef struct OpRemote {
    uint64_t caller;
    char vm[CON_ID_MAX];
    int64_t deadline_us;
} OpRemote;

typedef TAILQ_HEAD(OpList, OpItem) OpList;

struct Op {
    OpList items;
    GHashTable *by_key;  /* key to OpItem */
    GHashTable *remotes; /* call to OpRemote */
    OpList sent;         /* Sent and not answered. */
    guint running;       /* Their number. */
};

static void run_local(Board *board, const OpParams *order,
                      const OpWaiter *waiter, int64_t deadline_us);
static void send_operation(Board *board, OpItem *item);
static void handle_operation(Board *board, void *owner,
                             const BoardCallEvent *event);
static void answer_waiter(Board *board, const OpWaiter *waiter,
                          const LsError *err, int status, const char *body,
                          size_t size);
static void answer_all(Board *board, OpItem *item, const LsError *err);
static void free_item(Op *op, OpItem *item);

Op *
Op_New(void)
{
    Op *op = g_new0(Op, 1);

    TAILQ_INIT(&op->items);
    TAILQ_INIT(&op->sent);
    op->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    op->remotes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return op;
}

void
Op_Free(Op *op)
{
    while (!TAILQ_EMPTY(&op->items)) {
        free_item(op, TAILQ_FIRST(&op->items));
    }
    g_hash_table_unref(op->by_key);
    g_hash_table_unref(op->remotes);
    g_free(op);
}

LsResult
Op_IssueKey(Board *board, const ConCustomer *customer, char *key,
            size_t key_size, LsError *err)
{
    Op *op = board->op;
    OpItem *item;

    if (board->stopping) {
        return Err_Set(err, LS_ERR_SHUTTING_DOWN, LS_RUN_NOT_RUN,
                       "this VM is shutting down");
    }
    if (Quo_Admit(board, customer, 0, err) != LS_OK) {
        return err->code;
    }
    Quo_Release(board, customer->id);
    if (g_hash_table_size(op->by_key) >= OP_KEYS_MAX) {
        Err_Set(err, LS_ERR_OPERATION_TABLE_FULL, LS_RUN_NOT_RUN,
                "too many operation keys are open");
        err->retry_after_ms = 1000;
        return err->code;
    }
    item = g_new0(OpItem, 1);
    g_snprintf(item->key, sizeof(item->key),
               OP_KEY_PREFIX "%s.%" G_GINT64_MODIFIER "x.%08x%08x", board->vm,
               board->incarnation, g_rand_int(board->rand),
               g_rand_int(board->rand));
    g_strlcpy(item->customer, customer->id, sizeof(item->customer));
    item->issued_us = Board_Now(board);
    item->waiters = g_array_new(FALSE, FALSE, sizeof(OpWaiter));
    TAILQ_INSERT_TAIL(&op->items, item, link);
    g_hash_table_insert(op->by_key, item->key, item);
    g_strlcpy(key, item->key, key_size);
    Met_Add(MET_OPERATIONS_ISSUED, 1);
    return LS_OK;
}

/* Splits a key into the VM and the process that issued it. */
static bool
parse_key(const char *key, char *vm, size_t vm_size, uint64_t *incarnation)
{
    const char *begin = key + strlen(OP_KEY_PREFIX);
    const char *nonce = strrchr(key, '.');
    const char *dot = NULL;

    if (strncmp(key, OP_KEY_PREFIX, strlen(OP_KEY_PREFIX)) != 0 ||
        strlen(key) >= OP_KEY_MAX) {
        return false;
    }
    for (const char *c = begin; c < nonce; c++) {
        if (*c == '.') {
            dot = c;
        }
    }
    if (dot == NULL || (size_t)(dot - begin) >= vm_size) {
        return false;
    }
    memcpy(vm, begin, (size_t)(dot - begin));
    vm[dot - begin] = '\0';
    *incarnation = g_ascii_strtoull(dot + 1, NULL, 16);
    return true;
}

static void
set_unknown(LsError *err, const char *message)
{
    Err_Set(err, LS_ERR_OPERATION_UNKNOWN, LS_RUN_UNKNOWN, "%s", message);
    Met_Add(MET_OPERATIONS_UNKNOWN, 1);
}

/* Hands the call to the VM that issued the key. */
static void
send_remote(Board *board, const OpParams *order, const char *vm)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__OperationCall call = WIRE__OPERATION_CALL__INIT;
    OpRemote *remote = g_new0(OpRemote, 1);
    gint64 *id = g_new(gint64, 1);

    *id = (gint64)Board_NewId(board);
    remote->caller = order->caller;
    remote->deadline_us = Board_Now(board) + OP_DEADLINE_US;
    g_strlcpy(remote->vm, vm, sizeof(remote->vm));
    g_hash_table_insert(board->op->remotes, id, remote);
    call.call = (uint64_t)*id;
    call.key = (char *)order->key;
    call.customer = (char *)order->customer->id;
    call.service = (char *)order->service;
    call.path = (char *)order->path;
    call.body.data = (uint8_t *)order->body;
    call.body.len = order->body_size;
    call.deadline_budget_us = OP_DEADLINE_US;
    frame.body_case = WIRE__FRAME__BODY_OPERATION_CALL;
    frame.operation_call = &call;
    Board_SendFrame(board, vm, &frame);
}

void
Op_Begin(Board *board, const OpParams *order)
{
    char vm[CON_ID_MAX];
    uint64_t incarnation;
    OpWaiter waiter = {0};
    LsError err;

    if (!parse_key(order->key, vm, sizeof(vm), &incarnation)) {
        Err_Set(&err, LS_ERR_OPERATION_KEY_BAD, LS_RUN_NOT_RUN,
                "the Idempotency-Key was not issued by POST /v1/operations");
        Board_AnswerError(board, order->caller, NULL, &err);
        return;
    }
    if (Quo_Admit(board, order->customer, 0, &err) != LS_OK) {
        Board_AnswerError(board, order->caller, NULL, &err);
        return;
    }
    Quo_Release(board, order->customer->id);
    waiter.caller = order->caller;
    if (strcmp(vm, board->vm) == 0 && incarnation == board->incarnation) {
        run_local(board, order, &waiter, Board_Now(board) + OP_DEADLINE_US);
        return;
    }
    if (strcmp(vm, board->vm) == 0 || Mem_IsRemoved(board, vm) ||
        Mem_GetIncarnation(board, vm) > incarnation) {
        set_unknown(&err, "the process that issued the key is gone");
        Board_AnswerError(board, order->caller, NULL, &err);
        return;
    }
    send_remote(board, order, vm);
}

void
Op_Cancel(Board *board, uint64_t caller)
{
    OpItem *item;
    GHashTableIter iter;
    gpointer value;

    /* Only operations that are sent have waiters. */
    TAILQ_FOREACH(item, &board->op->sent, sent)
    {
        for (guint i = item->waiters->len; i > 0; i--) {
            if (g_array_index(item->waiters, OpWaiter, i - 1).caller ==
                caller) {
                g_array_remove_index(item->waiters, i - 1);
            }
        }
    }
    g_hash_table_iter_init(&iter, board->op->remotes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((OpRemote *)value)->caller == caller) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
Op_OnCall(Board *board, const char *vm, const Wire__OperationCall *call)
{
    OpParams order = {0};
    OpWaiter waiter = {0};
    ConCustomer customer = {0};
    char issuer[CON_ID_MAX];
    uint64_t incarnation = 0;
    LsError err;

    g_strlcpy(waiter.vm, vm, sizeof(waiter.vm));
    waiter.call = call->call;
    if (!parse_key(call->key, issuer, sizeof(issuer), &incarnation) ||
        strcmp(issuer, board->vm) != 0 || incarnation != board->incarnation) {
        set_unknown(&err, "the process that issued the key is gone");
        answer_waiter(board, &waiter, &err, 0, NULL, 0);
        return;
    }
    g_strlcpy(customer.id, call->customer, sizeof(customer.id));
    order.customer = &customer;
    order.key = call->key;
    order.service = call->service;
    order.path = call->path;
    order.body = (const char *)call->body.data;
    order.body_size = call->body.len;
    run_local(board, &order, &waiter,
              Board_Now(board) +
                  MIN(call->deadline_budget_us, OP_DEADLINE_US));
}

void
Op_OnAnswer(Board *board, const Wire__OperationAnswer *answer)
{
    gint64 key = (gint64)answer->call;
    const OpRemote *remote = g_hash_table_lookup(board->op->remotes, &key);
    OpWaiter waiter = {0};
    LsError err;

    if (remote == NULL) {
        return; /* Answered already, or the caller is gone. */
    }
    waiter.caller = remote->caller;
    g_hash_table_remove(board->op->remotes, &key);
    Err_Set(&err, (LsResult)answer->code, (LsRun)answer->run, "%s",
            answer->message);
    answer_waiter(board, &waiter, answer->code != LS_OK ? &err : NULL,
                  (int)answer->status, (const char *)answer->body.data,
                  answer->body.len);
}

/* Answers "unknown" to the remote calls that `is_lost` picks. */
static void
fail_remotes(Board *board, const char *vm, int64_t now, const char *message)
{
    GArray *callers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer value;
    LsError err;

    g_hash_table_iter_init(&iter, board->op->remotes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const OpRemote *remote = value;
        bool lost = vm != NULL ? strcmp(remote->vm, vm) == 0
                               : now > remote->deadline_us;
        if (lost) {
            g_array_append_val(callers, remote->caller);
            g_hash_table_iter_remove(&iter);
        }
    }
    for (guint i = 0; i < callers->len; i++) {
        set_unknown(&err, message);
        err.retry_after_ms = 1000;
        Board_AnswerError(board, g_array_index(callers, uint64_t, i), NULL,
                          &err);
    }
    g_array_unref(callers);
}

void
Op_OnLinkDown(Board *board, const char *vm)
{
    fail_remotes(board, vm, 0, "the VM that issued the key is unreachable");
}

static void
stop_running(Op *op, OpItem *item)
{
    TAILQ_REMOVE(&op->sent, item, sent);
    op->running--;
}

/* Ends a running operation whose answer did not come in time. */
static void
expire_running(Board *board, int64_t now)
{
    OpItem *item = TAILQ_FIRST(&board->op->sent);
    LsError err;

    while (item != NULL) {
        OpItem *next = TAILQ_NEXT(item, sent);
        if (now > item->deadline_us) {
            Board_EndCall(board, item->call);
            item->state = OP_UNKNOWN;
            stop_running(board->op, item);
            set_unknown(&err, "the service did not answer in time");
            answer_all(board, item, &err);
        }
        item = next;
    }
}

void
Op_OnTick(Board *board)
{
    int64_t now = Board_Now(board);
    OpItem *item = TAILQ_FIRST(&board->op->items);

    fail_remotes(board, NULL, now, "no answer came in time");
    expire_running(board, now);
    while (item != NULL && now - item->issued_us > OP_KEEP_US) {
        OpItem *next = TAILQ_NEXT(item, link);
        if (item->state != OP_SENT) {
            free_item(board->op, item);
        }
        item = next;
    }
}

guint
Op_CountRunning(const Op *op)
{
    return op->running;
}

static void
free_item(Op *op, OpItem *item)
{
    g_hash_table_remove(op->by_key, item->key);
    TAILQ_REMOVE(&op->items, item, link);
    g_array_unref(item->waiters);
    g_free(item->digest);
    g_free(item->body);
    g_free(item->answer);
    g_free(item);
}

/* Checks that a call fits what its key was used for before. */
static LsResult
check_use(OpItem *item, const OpParams *order, LsError *err)
{
    char *digest = Con_GetDigest(order->body, order->body_size);
    bool same;

    if (strcmp(item->customer, order->customer->id) != 0) {
        g_free(digest);
        return Err_Set(err, LS_ERR_OPERATION_KEY_BAD, LS_RUN_NOT_RUN,
                       "the key was issued to another customer");
    }
    if (item->digest == NULL) {
        item->digest = digest;
        g_strlcpy(item->service, order->service, sizeof(item->service));
        g_strlcpy(item->path, order->path, sizeof(item->path));
        item->body = g_memdup2(order->body, order->body_size);
        item->body_size = order->body_size;
        return LS_OK;
    }
    same = strcmp(item->digest, digest) == 0 &&
           strcmp(item->service, order->service) == 0 &&
           strcmp(item->path, order->path) == 0;
    g_free(digest);
    if (!same) {
        return Err_Set(err, LS_ERR_OPERATION_MISMATCH, LS_RUN_NOT_RUN,
                       "the key was used for another call before; this one "
                       "was not run");
    }
    return LS_OK;
}

/* Runs the operation in the process that issued its key. */
static void
run_local(Board *board, const OpParams *order, const OpWaiter *waiter,
          int64_t deadline_us)
{
    OpItem *item = g_hash_table_lookup(board->op->by_key, order->key);
    LsError err;

    if (item == NULL) {
        set_unknown(&err, "the key has expired or was never issued");
        answer_waiter(board, waiter, &err, 0, NULL, 0);
        return;
    }
    if (check_use(item, order, &err) != LS_OK) {
        answer_waiter(board, waiter, &err, 0, NULL, 0);
        return;
    }
    switch (item->state) {
    case OP_ISSUED:
        g_array_append_val(item->waiters, *waiter);
        item->deadline_us = deadline_us;
        item->tries = 0;
        send_operation(board, item);
        break;
    case OP_SENT:
        Met_Add(MET_OPERATIONS_REPEATED, 1);
        g_array_append_val(item->waiters, *waiter);
        break;
    case OP_DONE:
        Met_Add(MET_OPERATIONS_REPEATED, 1);
        answer_waiter(board, waiter, NULL, item->status, item->answer,
                      item->answer_size);
        break;
    case OP_UNKNOWN:
        set_unknown(&err, "the operation was sent and its answer was lost");
        answer_waiter(board, waiter, &err, 0, NULL, 0);
        break;
    }
}

/* Sends the operation to a worker of its service. */
static void
send_operation(Board *board, OpItem *item)
{
    const ConUpstream *upstream =
        Svc_ChooseUpstream(board, item->service, item->customer, NULL);
    BoardCall call = {0};
    LsError err;

    if (upstream == NULL || Board_Now(board) > item->deadline_us) {
        item->state = OP_ISSUED;
        Err_Set(&err, upstream == NULL ? LS_ERR_NO_UPSTREAM : LS_ERR_DEADLINE,
                LS_RUN_NOT_RUN, "the operation was not sent");
        err.retry_after_ms = 1000;
        answer_all(board, item, &err);
        return;
    }
    item->state = OP_SENT;
    item->tries++;
    TAILQ_INSERT_TAIL(&board->op->sent, item, sent);
    board->op->running++;
    Met_Add(MET_OPERATIONS_SENT, 1);
    call.method = "POST";
    call.address = upstream->address;
    call.path = item->path;
    call.body = item->body;
    call.body_size = item->body_size;
    call.request = item->key;
    call.idempotency_key = item->key;
    call.fresh = true;
    item->call = Board_BeginCall(board, &call, handle_operation, item);
}

static void
handle_operation(Board *board, void *owner, const BoardCallEvent *event)
{
    OpItem *item = owner;
    LsError err;

    if (event->type == BOARD_CALL_DATA) {
        return;
    }
    stop_running(board->op, item);
    if (event->type == BOARD_CALL_END) {
        item->state = OP_DONE;
        item->status = event->status;
        item->answer_size = MIN(event->size, (size_t)OP_BODY_MAX);
        item->answer = g_memdup2(event->data, item->answer_size);
        answer_all(board, item, NULL);
        return;
    }
    if (!event->sent) {
        /* No byte left, so another worker may be tried. */
        item->state = OP_ISSUED;
        if (item->tries < OP_SERVICE_TRIES) {
            send_operation(board, item);
            return;
        }
        Err_Set(&err, LS_ERR_NO_UPSTREAM, LS_RUN_NOT_RUN,
                "no worker of the service could be reached");
        err.retry_after_ms = 1000;
        answer_all(board, item, &err);
        return;
    }
    item->state = OP_UNKNOWN;
    set_unknown(&err, "the operation was sent and its answer was lost");
    answer_all(board, item, &err);
}

static void
answer_waiter(Board *board, const OpWaiter *waiter, const LsError *err,
              int status, const char *body, size_t size)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__OperationAnswer answer = WIRE__OPERATION_ANSWER__INIT;
    BoardAnswer local = {0};

    if (waiter->vm[0] == '\0') {
        if (err != NULL) {
            Board_AnswerError(board, waiter->caller, NULL, err);
            return;
        }
        local.type = BOARD_ANSWER_BODY;
        local.status = status;
        local.text = body;
        local.size = size;
        Board_Answer(board, waiter->caller, &local);
        return;
    }
    answer.call = waiter->call;
    answer.status = (uint32_t)status;
    answer.body.data = (uint8_t *)body;
    answer.body.len = size;
    answer.run = LS_RUN_RAN;
    if (err != NULL) {
        answer.code = err->code;
        answer.run = err->run;
        answer.message = (char *)err->message;
    }
    frame.body_case = WIRE__FRAME__BODY_OPERATION_ANSWER;
    frame.operation_answer = &answer;
    Board_SendFrame(board, waiter->vm, &frame);
}

static void
answer_all(Board *board, OpItem *item, const LsError *err)
{
    GArray *waiters = item->waiters;

    item->waiters = g_array_new(FALSE, FALSE, sizeof(OpWaiter));
    for (guint i = 0; i < waiters->len; i++) {
        answer_waiter(board, &g_array_index(waiters, OpWaiter, i), err,
                      item->status, item->answer, item->answer_size);
    }
    g_array_unref(waiters);
}
