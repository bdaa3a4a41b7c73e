/* Operations: the table of issued keys, their calls and their answers. */
#include "operation.h"

#include "membership.h"
#include "quota.h"
#include "service.h"

#include <string.h>
#include <sys/queue.h>

#define OP_KEY_PREFIX "op."
#define OP_ATTEMPTS_MAX 3 /* Workers tried while no byte was sent. */
#define OP_RETRY_AFTER_MS 1000

typedef enum OpState {
    OP_ISSUED,  /* No byte was sent to a service. */
    OP_SENT,    /* Some bytes may have been sent; no answer arrived yet. */
    OP_DONE,    /* The service answered. */
    OP_UNKNOWN, /* The operation was sent and its answer is lost. */
} OpState;

/* Recipient of an operation's answer: a caller of this VM, or a call that
   another VM forwarded. */
typedef struct OpWaiter {
    uint64_t caller;     /* Set if `vm` is empty. */
    char vm[CON_ID_MAX]; /* VM that forwarded the call, or "". */
    uint64_t call;       /* Identifier of the call at `vm`. */
} OpWaiter;

/* An issued key and its operation. */
typedef struct OpItem {
    TAILQ_ENTRY(OpItem) link; /* In `items`, by time of issue. */
    TAILQ_ENTRY(OpItem) sent; /* In `sent`, while in OP_SENT. */
    char key[OP_KEY_MAX];
    char customer[CON_ID_MAX];
    char service[CON_ID_MAX];
    char path[CON_PATH_MAX];
    char *digest; /* Digest of the first call's body; NULL before it. */
    char *body;
    size_t body_size;
    OpState state;
    int64_t issued_us;
    int64_t deadline_us; /* Deadline of the running call. */
    uint64_t call;       /* Board call in progress, if in OP_SENT. */
    uint32_t attempts;
    int status; /* HTTP status of the answer. */
    char *answer;
    size_t answer_size;
    GArray *waiters; /* OpWaiter */
} OpItem;

/* A call forwarded to the VM that issued its key. */
typedef struct OpRemote {
    uint64_t caller;
    char vm[CON_ID_MAX];
    int64_t deadline_us;
} OpRemote;

typedef TAILQ_HEAD(OpList, OpItem) OpList;

struct Op {
    OpList items;        /* All keys of the table, oldest first. */
    GHashTable *by_key;  /* key to OpItem */
    GHashTable *remotes; /* call to OpRemote */
    OpList sent;         /* Items in OP_SENT. */
    guint running;       /* Length of `sent`. */
};

static void run_local(Board *board, const OpParams *params,
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
                "the table of operation keys is full");
        err->retry_after_ms = OP_RETRY_AFTER_MS;
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

/* Parses the VM that issued a key, and the VM's incarnation at that time.
   Returns false if the key is malformed. */
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

/* Forwards the call to the VM that issued the key. */
static void
send_remote(Board *board, const OpParams *params, const char *vm)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__OperationCall call = WIRE__OPERATION_CALL__INIT;
    OpRemote *remote = g_new0(OpRemote, 1);
    gint64 *id = g_new(gint64, 1);

    *id = (gint64)Board_NewId(board);
    remote->caller = params->caller;
    remote->deadline_us = Board_Now(board) + OP_DEADLINE_US;
    g_strlcpy(remote->vm, vm, sizeof(remote->vm));
    g_hash_table_insert(board->op->remotes, id, remote);
    call.call = (uint64_t)*id;
    call.key = (char *)params->key;
    call.customer = (char *)params->customer->id;
    call.service = (char *)params->service;
    call.path = (char *)params->path;
    call.body.data = (uint8_t *)params->body;
    call.body.len = params->body_size;
    call.deadline_budget_us = OP_DEADLINE_US;
    frame.body_case = WIRE__FRAME__BODY_OPERATION_CALL;
    frame.operation_call = &call;
    Board_SendFrame(board, vm, &frame);
}

void
Op_Begin(Board *board, const OpParams *params)
{
    char vm[CON_ID_MAX];
    uint64_t incarnation;
    OpWaiter waiter = {0};
    LsError err;

    if (!parse_key(params->key, vm, sizeof(vm), &incarnation)) {
        Err_Set(&err, LS_ERR_OPERATION_KEY_BAD, LS_RUN_NOT_RUN,
                "the Idempotency-Key was not issued by POST /v1/operations");
        Board_AnswerError(board, params->caller, NULL, &err);
        return;
    }
    if (Quo_Admit(board, params->customer, 0, &err) != LS_OK) {
        Board_AnswerError(board, params->caller, NULL, &err);
        return;
    }
    Quo_Release(board, params->customer->id);
    waiter.caller = params->caller;
    if (strcmp(vm, board->vm) == 0 && incarnation == board->incarnation) {
        run_local(board, params, &waiter, Board_Now(board) + OP_DEADLINE_US);
        return;
    }
    if (strcmp(vm, board->vm) == 0 || Mem_IsRemoved(board, vm) ||
        Mem_GetIncarnation(board, vm) > incarnation) {
        set_unknown(&err, "the process that issued the key no longer exists");
        Board_AnswerError(board, params->caller, NULL, &err);
        return;
    }
    send_remote(board, params, vm);
}

void
Op_Cancel(Board *board, uint64_t caller)
{
    OpItem *item;
    GHashTableIter iter;
    gpointer value;

    /* Only items in OP_SENT have waiters. */
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
    OpParams params = {0};
    OpWaiter waiter = {0};
    ConCustomer customer = {0};
    char issuer[CON_ID_MAX];
    uint64_t incarnation = 0;
    LsError err;

    g_strlcpy(waiter.vm, vm, sizeof(waiter.vm));
    waiter.call = call->call;
    if (!parse_key(call->key, issuer, sizeof(issuer), &incarnation) ||
        strcmp(issuer, board->vm) != 0 || incarnation != board->incarnation) {
        set_unknown(&err, "the process that issued the key no longer exists");
        answer_waiter(board, &waiter, &err, 0, NULL, 0);
        return;
    }
    g_strlcpy(customer.id, call->customer, sizeof(customer.id));
    params.customer = &customer;
    params.key = call->key;
    params.service = call->service;
    params.path = call->path;
    params.body = (const char *)call->body.data;
    params.body_size = call->body.len;
    run_local(board, &params, &waiter,
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
        return; /* The call was answered, or its caller disconnected. */
    }
    waiter.caller = remote->caller;
    g_hash_table_remove(board->op->remotes, &key);
    Err_Set(&err, (LsResult)answer->code, (LsRun)answer->run, "%s",
            answer->message);
    answer_waiter(board, &waiter, answer->code != LS_OK ? &err : NULL,
                  (int)answer->status, (const char *)answer->body.data,
                  answer->body.len);
}

/* Answers "outcome unknown" to forwarded calls: to those of one VM, or to
   those past their deadline if `vm` is NULL. */
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
        bool is_lost = vm != NULL ? strcmp(remote->vm, vm) == 0
                                  : now > remote->deadline_us;
        if (is_lost) {
            g_array_append_val(callers, remote->caller);
            g_hash_table_iter_remove(&iter);
        }
    }
    for (guint i = 0; i < callers->len; i++) {
        set_unknown(&err, message);
        err.retry_after_ms = OP_RETRY_AFTER_MS;
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
end_running(Op *op, OpItem *item)
{
    TAILQ_REMOVE(&op->sent, item, sent);
    op->running--;
}

/* Ends running operations whose answers did not arrive by the deadline. */
static void
expire_running(Board *board, int64_t now, const char *message)
{
    OpItem *item = TAILQ_FIRST(&board->op->sent);
    LsError err;

    while (item != NULL) {
        OpItem *next = TAILQ_NEXT(item, sent);
        if (now > item->deadline_us) {
            Board_EndCall(board, item->call);
            item->state = OP_UNKNOWN;
            end_running(board->op, item);
            set_unknown(&err, message);
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

    fail_remotes(board, NULL, now,
                 "the VM that issued the key did not answer in time");
    expire_running(board, now, "the service did not answer in time");
    while (item != NULL && now - item->issued_us > OP_KEY_LIFETIME_US) {
        OpItem *next = TAILQ_NEXT(item, link);
        if (item->state != OP_SENT) {
            free_item(board->op, item);
        }
        item = next;
    }
}

void
Op_EndAll(Board *board)
{
    expire_running(board, INT64_MAX, "the VM stopped before the answer");
    fail_remotes(board, NULL, INT64_MAX, "the VM stopped before the answer");
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

/* Checks that a call equals the first call of its key, and records it if it is
   the first. */
static LsResult
check_use(OpItem *item, const OpParams *params, LsError *err)
{
    char *digest = Con_GetDigest(params->body, params->body_size);
    bool same;

    if (strcmp(item->customer, params->customer->id) != 0) {
        g_free(digest);
        return Err_Set(err, LS_ERR_OPERATION_KEY_BAD, LS_RUN_NOT_RUN,
                       "the key was issued to another customer");
    }
    if (item->digest == NULL) {
        item->digest = digest;
        g_strlcpy(item->service, params->service, sizeof(item->service));
        g_strlcpy(item->path, params->path, sizeof(item->path));
        item->body = g_memdup2(params->body, params->body_size);
        item->body_size = params->body_size;
        return LS_OK;
    }
    same = strcmp(item->digest, digest) == 0 &&
           strcmp(item->service, params->service) == 0 &&
           strcmp(item->path, params->path) == 0;
    g_free(digest);
    if (!same) {
        return Err_Set(err, LS_ERR_OPERATION_MISMATCH, LS_RUN_NOT_RUN,
                       "the key was already used for a different call; this "
                       "call was not run");
    }
    return LS_OK;
}

/* Runs the operation in the process that issued its key. */
static void
run_local(Board *board, const OpParams *params, const OpWaiter *waiter,
          int64_t deadline_us)
{
    OpItem *item = g_hash_table_lookup(board->op->by_key, params->key);
    LsError err;

    if (item == NULL) {
        set_unknown(&err, "the key has expired or was never issued");
        answer_waiter(board, waiter, &err, 0, NULL, 0);
        return;
    }
    if (check_use(item, params, &err) != LS_OK) {
        answer_waiter(board, waiter, &err, 0, NULL, 0);
        return;
    }
    switch (item->state) {
    case OP_ISSUED:
        g_array_append_val(item->waiters, *waiter);
        item->deadline_us = deadline_us;
        item->attempts = 0;
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
        set_unknown(&err, "the operation was sent but its answer was lost");
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
                LS_RUN_NOT_RUN, "the operation was not sent to any worker");
        err.retry_after_ms = OP_RETRY_AFTER_MS;
        answer_all(board, item, &err);
        return;
    }
    item->state = OP_SENT;
    item->attempts++;
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
    end_running(board->op, item);
    if (event->type == BOARD_CALL_END && event->size > OP_ANSWER_MAX_BYTES) {
        item->state = OP_UNKNOWN;
        set_unknown(&err, "the service's answer was too long");
        answer_all(board, item, &err);
        return;
    }
    if (event->type == BOARD_CALL_END) {
        item->state = OP_DONE;
        item->status = event->status;
        item->answer_size = event->size;
        item->answer = g_memdup2(event->data, item->answer_size);
        answer_all(board, item, NULL);
        return;
    }
    if (!event->sent) {
        /* No byte was sent, so the operation did not run and another worker
           may be tried. */
        item->state = OP_ISSUED;
        if (item->attempts < OP_ATTEMPTS_MAX) {
            send_operation(board, item);
            return;
        }
        Err_Set(&err, LS_ERR_NO_UPSTREAM, LS_RUN_NOT_RUN,
                "no worker of the service could be reached");
        err.retry_after_ms = OP_RETRY_AFTER_MS;
        answer_all(board, item, &err);
        return;
    }
    item->state = OP_UNKNOWN;
    set_unknown(&err, "the operation was sent but its answer was lost");
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
