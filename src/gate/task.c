/* Task: begin and end of a request, and its answers. See task.h. */
#include "task.h"
#include "access.h"
#include "account_load.h"
#include "blame.h"
#include "detour.h"
#include "grace.h"
#include "stream_urgency.h"
#include "successor.h"

#include "../io/loop.h"
#include "../log.h"

#include <string.h>
#include <xxhash.h>

/* Timers fire slightly late, so deadlines are set early by this time. */
#define TASK_TIMER_MARGIN_US (5 * CLK_US_PER_MS)
/* The loop was held up if a timer fires later than this. What has come
   meanwhile is read first, for this time. */
#define TASK_TIMER_LATE_US (50 * CLK_US_PER_MS)
#define TASK_TIMER_DELAY_US (5 * CLK_US_PER_MS)

/* Longest time left of a caller, as a multiple of the route's timeout. */
#define TASK_LEFT_FACTOR_MAX 4

static void on_timer(evutil_socket_t fd, short what, void *context);
static void answer_task_error(GateTask *task, const LsError *err);
static void answer_error(const Gate *gate, ServerExchange *exchange,
                         const char *id, HeaderList *headers,
                         const LsError *err);
static int64_t get_caller_left_ms(const GateTask *task);
static void note_left(GateTask *task);
static void begin_service(GateTask *task);
static void free_task(GateTask *task);

int64_t
Task_Now(const GateTask *task)
{
    return Clk_Now(task->gate->options.clk);
}

uint64_t
Task_GetIdentity(GateTask *task)
{
    const ServerExchange *exchange = task->exchange;
    const char *const texts[] = {
        task->request.host,
        exchange != NULL ? exchange->method : "",
        exchange != NULL ? exchange->target : "",
    };
    XXH3_state_t *state;

    if (task->identity != 0 || exchange == NULL) {
        return task->identity;
    }
    state = XXH3_createState();
    XXH3_64bits_reset(state);
    for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
        XXH3_64bits_update(state, texts[i], strlen(texts[i]) + 1);
    }
    XXH3_64bits_update(state, exchange->body->data, exchange->body->len);
    task->identity = XXH3_64bits_digest(state);
    XXH3_freeState(state);
    return task->identity;
}

Precedence *
Task_GetPrecedence(const GateTask *task)
{
    GHashTable *precedences = task->gate->precedences;
    Precedence *precedence =
        g_hash_table_lookup(precedences, task->service->name);

    if (precedence == NULL) {
        precedence = g_new0(Precedence, 1);
        g_hash_table_insert(precedences, g_strdup(task->service->name),
                            precedence);
    }
    return precedence;
}

bool
Task_MayBeRunning(const GateTask *task)
{
    return (task->current->call != NULL || task->current->end_check != NULL) &&
           (task->current->stage == TASK_RUN ||
            task->current->stage == TASK_DECODE);
}

int64_t
Task_GetLeftMs(const GateTask *task)
{
    return (task->deadline_us - Task_Now(task)) / CLK_US_PER_MS;
}

void
Task_SetTimer(GateTask *task)
{
    int64_t deadline_us = task->deadline_us;

    if (task->step_deadline_us != 0 && !task->is_read_paused &&
        task->step_deadline_us < deadline_us) {
        deadline_us = task->step_deadline_us;
    }
    task->timer_us = MAX(deadline_us, Task_Now(task));
    task->timer_delayed = false;
    Loop_ArmTimerUs(task->timer, deadline_us - Task_Now(task));
}

void
Task_PassAnswer(GateTask *task)
{
    TaskCall *current = task->current;
    int status = current->reply.status;
    ServerExchange *exchange = task->exchange;

    task->exchange = NULL;
    DetourVm_AddAnswer(task, current->headers);
    Server_SendResponse(exchange, status, current->headers,
                        current->body->data, current->body->len);
    Task_End(task, "passed", status);
}

void
Task_PassUntilClose(GateTask *task)
{
    TaskCall *current = task->current;
    int status = current->reply.status;
    ServerExchange *exchange = task->exchange;

    task->exchange = NULL;
    Server_SendUntilClose(exchange, status, current->headers,
                          current->body->data, current->body->len);
    Task_End(task, "passed_until_close", status);
}

void
Task_Refuse(GateTask *task, AdmissionCause cause)
{
    LsError err;
    LsResult code = LS_ERR_OVERLOAD;
    int64_t open_us = 0;
    int64_t wait_ms = 0;
    bool is_limited = false;

    AccountLoad_GiveBack(task);
    if (cause == ADMISSION_CAPPED) {
        wait_ms = AccountLoad_GetWait(task) / CLK_US_PER_MS;
        code = task->account->unit == ACC_UNIT_TOKENS ? LS_ERR_TOKEN_LIMIT
                                                      : LS_ERR_RATE_LIMIT;
    }
    else if (cause == ADMISSION_BLOCKED) {
        open_us = Blame_GetProbeTime(task);
        wait_ms = MAX(open_us - Task_Now(task), 0) / CLK_US_PER_MS;
        code = LS_ERR_PROMPT_BLOCKED;
    }
    else if (cause != ADMISSION_STOPPING && cause != ADMISSION_TOO_LARGE &&
             Task_IsTurnedAway(task, &open_us, &is_limited)) {
        cause = open_us != 0 ? ADMISSION_PAUSED : ADMISSION_NO_WORKER;
        wait_ms = MAX(open_us - Task_Now(task), 0) / CLK_US_PER_MS;
        g_strlcpy(task->cause,
                  open_us != 0 ? (is_limited ? "all workers limit requests"
                                             : "all workers asked for a pause")
                               : "all workers are leaving",
                  sizeof(task->cause));
    }
    if (cause == ADMISSION_FULL && task->last_event == GATE_NO_EVENT) {
        wait_ms =
            Precedence_GetLackTime(Task_GetPrecedence(task), Task_Now(task)) /
            CLK_US_PER_MS;
        wait_ms = StreamUrgency_NoteRefused(task, wait_ms);
    }
    if (cause == ADMISSION_NO_CONFIG) {
        code = LS_ERR_NOT_READY;
    }
    else if (cause == ADMISSION_NO_WORKER) {
        code = LS_ERR_NO_UPSTREAM;
    }
    else if (cause == ADMISSION_STOPPING) {
        code = LS_ERR_SHUTTING_DOWN;
    }
    Err_Set(&err, code, LS_RUN_NOT_RUN, "%s",
            task->cause[0] != '\0' ? task->cause
                                   : "no worker accepts the request");
    err.retry_after_ms =
        Admission_GetRetryAfter(cause, get_caller_left_ms(task), wait_ms,
                                g_rand_int(task->gate->rand));
    task->retry_after_ms = err.retry_after_ms;
    answer_task_error(task, &err);
    Task_End(task, "refused", Err_GetHttpStatus(code));
}

void
Task_Fail(GateTask *task, LsResult code)
{
    LsError err;

    if (task->streaming) {
        ServerExchange *exchange = task->exchange;
        task->exchange = NULL;
        Met_Add(MET_STREAMS_BROKEN_OFF, 1);
        Server_AbortResponse(exchange);
        Task_End(task, "broken_off", 200);
        return;
    }
    Err_Set(&err, code, LS_RUN_UNKNOWN, "%s",
            task->cause[0] != '\0' ? task->cause : "no answer in time");
    answer_task_error(task, &err);
    Task_End(task, "failed", Err_GetHttpStatus(code));
}

void
Task_Abort(GateTask *task, AdmissionCause cause, LsResult code)
{
    bool may_have_run;

    if (task->silent != NULL) {
        Successor_Cancel(task);
        task->step_deadline_us = Task_Now(task) + HANDOVER_AGAIN_US;
        Task_SetTimer(task);
        return;
    }
    may_have_run =
        task->runs > 0 || task->streaming || Task_MayBeRunning(task);
    Task_EndCall(task);
    if (may_have_run) {
        Task_Fail(task, code);
    }
    else {
        Task_Refuse(task, cause);
    }
}

void
Task_End(GateTask *task, const char *outcome, int status)
{
    int64_t took_us = Task_Now(task) - task->began_us;
    int64_t run_us;

    Met_Add(status < 300 ? MET_GATE_OK
                         : (status == 503 || status == 429 ? MET_GATE_REFUSED
                                                           : MET_GATE_FAILED),
            1);
    Met_Observe(task->route->kind == RTE_STREAM ? MET_STREAM_US : MET_PLAIN_US,
                took_us);
    Successor_EndSilent(task);
    Task_EndCall(task);
    run_us = task->spent_us[TASK_RUN] + task->spent_us[TASK_DECODE];
    Log_WriteJson(
        LOG_LEVEL_INFO, "request_end",
        json_pack(
            "{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:i,s:i,s:s,s:I,s:s,s:i,s:I,"
            "s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:s,s:s,s:s,s:b,s:I,s:b,s:s,s:s,s:i,"
            "s:I,s:i}",
            "request", task->request.id, "route", task->route->name, "account",
            task->request.account != NULL ? task->request.account : "",
            "worker", task->worker, "outcome", outcome, "status", status,
            "retry_after_ms", (int)task->retry_after_ms, "took_us",
            (json_int_t)took_us, "sends", (int)task->sends, "runs",
            (int)task->runs, "cause", task->cause, "last_event",
            (json_int_t)task->last_event, "framing", Task_GetFramingName(task),
            "unfinished_bytes", (int)task->current->sse.pending->len, "config",
            (json_int_t)task->table->version, "longest_gap_us",
            (json_int_t)task->longest_gap_us, "first_us",
            (json_int_t)(task->first_event_us
                             ? task->first_event_us - task->began_us
                             : 0),

            "reserve_us", (json_int_t)task->spent_us[TASK_RESERVE],
            "prefill_us", (json_int_t)task->spent_us[TASK_PREFILL], "run_us",
            (json_int_t)run_us, "prompt_tokens",
            (int)task->request.prompt_tokens, "output_tokens",
            (int)task->request.output_tokens, "resumes",
            task->request.resumes != NULL ? task->request.resumes : "",
            "version",
            Fleet_GetVersionName(task->gate->options.fleet, task->version),
            "prompt_source",
            task->prompt_source != NULL ? task->prompt_source : "", "relayed",
            (int)task->is_relayed, "left_ms",
            (json_int_t)task->request.left_ms, "retry", (int)task->is_retry,
            "service", task->service->name, "reach",
            Detour_GetStateName(task->gate, task->service->name), "attempts",
            (int)task->attempts, "first_event", (json_int_t)task->first_event,
            "level", (int)StreamUrgency_GetLevel(task)));
    Stream_ReleaseAll(task);
    Grace_NoteEnd(task);
    free_task(task);
}

/* Decodes a request and checks it. Returns its route, or NULL with *err filled
   in. */
static const RteRoute *
admit_request(Gate *gate, ServerExchange *exchange, bool is_relayed,
              GateRequest *request, const Account **account, LsError *err)
{
    const GateCodec *codec = gate->options.codec;
    const RteRoute *route;

    if (codec->decode_request(codec->context, exchange, request, err) !=
        LS_OK) {
        return NULL;
    }
    if (gate->table == NULL) {
        Err_Set(err, LS_ERR_NOT_READY, LS_RUN_NOT_RUN,
                "no configuration has been read yet");
        err->retry_after_ms = Admission_GetRetryAfter(
            ADMISSION_NO_CONFIG, request->left_ms, 0, g_rand_int(gate->rand));
        return NULL;
    }
    route = Rte_FindRoute(gate->table, request->host, exchange->target);
    if (route == NULL) {
        Err_Set(err, LS_ERR_UNKNOWN_ROUTE, LS_RUN_NOT_RUN,
                "no route for this host and path");
        return NULL;
    }
    return Access_Check(gate, route, is_relayed, exchange, request, account,
                        err) == LS_OK
               ? route
               : NULL;
}

/* Creates the task of a request, or answers with an error and returns NULL.
   `is_relayed`: another VM passes the request on. */
static GateTask *
begin_task(Gate *gate, ServerExchange *exchange, bool is_relayed)
{
    GateRequest request = {.last_event = GATE_NO_EVENT};
    LsError err = {0};
    const Account *account = NULL;
    const RteRoute *route =
        admit_request(gate, exchange, is_relayed, &request, &account, &err);
    SseOptions sse = {
        .version_field = gate->options.codec->event_version_name,
    };
    const char *service;
    GateTask *task;

    if (route == NULL) {
        Log_WriteJson(
            LOG_LEVEL_INFO, "request_refused",
            json_pack("{s:s,s:s,s:i,s:I}", "request",
                      request.id != NULL ? request.id : "", "cause",
                      err.message, "error", (int)err.code, "config",
                      (json_int_t)(gate->table ? gate->table->version : 0)));
        answer_error(gate, exchange, request.id, Header_New(), &err);
        g_free(request.id);
        g_free(request.host);
        g_free(request.resumes);
        g_free(request.parts);
        g_free(request.key);
        g_free(request.account);
        Header_Free(request.forward);
        return NULL;
    }
    task = g_new0(GateTask, 1);
    task->gate = gate;
    task->exchange = exchange;
    task->request = request;
    task->caller = exchange->caller;
    task->table = Rte_Ref(gate->table);
    task->route = route;
    task->attempts = route->attempts;
    task->account = account;
    task->priority = Access_GetPriority(route, account);
    service = Rte_ChooseService(route, g_rand_int(gate->rand));
    task->service = Rte_FindService(gate->table, service);
    task->timer = evtimer_new(gate->options.base, on_timer, task);
    task->began_us = exchange->received_us;
    task->arrived_us = Task_Now(task);
    task->deadline_us =
        task->began_us + (int64_t)route->timeout_ms * CLK_US_PER_MS;
    if (request.left_ms > 0) {
        int64_t caller_deadline_us =
            task->began_us + request.left_ms * CLK_US_PER_MS;
        task->deadline_us = MIN(task->deadline_us, caller_deadline_us);
    }
    task->deadline_us -= TASK_TIMER_MARGIN_US;
    task->first_event = GATE_NO_EVENT;
    task->last_event = GATE_NO_EVENT;
    task->order.last = EVENT_ORDER_NO_ID;
    task->is_after_stop = gate->drain_end_us != 0;
    for (guint i = 0; i < G_N_ELEMENTS(task->calls); i++) {
        task->calls[i].task = task;
        Sse_Init(&task->calls[i].sse, &sse);
    }
    task->current = &task->calls[0];
    exchange->owner = task;
    LIST_INSERT_HEAD(&gate->tasks, task, links);
    return task;
}

/* Returns the time that is left to the caller, who may come back after the
   route's timeout. */
static int64_t
get_caller_left_ms(const GateTask *task)
{
    int64_t waited_ms = (Task_Now(task) - task->began_us) / CLK_US_PER_MS;

    return task->request.left_ms > 0 ? task->request.left_ms - waited_ms
                                     : Task_GetLeftMs(task);
}

/* Notes the caller's time left, and whether that makes it a retry. A caller
   that allows far more than the route does says nothing of the others. */
static void
note_left(GateTask *task)
{
    GHashTable *first_left = task->gate->first_left_ms;
    const char *route = task->route->name;
    int64_t known_ms = GPOINTER_TO_INT(g_hash_table_lookup(first_left, route));
    int64_t left_ms;

    if (task->request.left_ms <= 0) {
        return;
    }
    left_ms = MIN(task->request.left_ms,
                  (int64_t)TASK_LEFT_FACTOR_MAX * task->route->timeout_ms);
    task->is_retry = Admission_IsRetry(left_ms, known_ms);
    known_ms = Admission_UpdateFirstLeft(known_ms, left_ms);
    g_hash_table_insert(first_left, g_strdup(route),
                        GINT_TO_POINTER((gint)MIN(known_ms, G_MAXINT)));
}

void
Gate_OnRequest(void *context, ServerExchange *exchange)
{
    GateTask *task;
    AdmissionCause cause;

    Header_Remove(exchange->headers, DETOUR_HEADER);
    task = begin_task(context, exchange, false);
    if (task == NULL) {
        return;
    }
    note_left(task);
    Met_Add(MET_GATE_REQUESTS, 1);
    if (!AccountLoad_Admit(task, &cause)) {
        Task_Refuse(task, cause);
        return;
    }
    Task_NoteRequest(task);
    begin_service(task);
}

void
Gate_OnRelayedRequest(void *context, ServerExchange *exchange,
                      const char *mark)
{
    GateTask *task = begin_task(context, exchange, true);

    if (task == NULL) {
        return;
    }
    task->is_relayed = true;
    task->gate->relayed_count++;
    task->caller = 0; /* The connection is the other VM's. */
    /* The other VM counts one run, whatever becomes of this VM. */
    task->attempts = 1;
    DetourVm_ReadMark(task, mark);
    Met_Add(MET_RELAYED_REQUESTS, 1);
    if (Detour_IsLost(task->gate, task->service->name)) {
        g_strlcpy(task->cause, "this VM reaches no worker either",
                  sizeof(task->cause));
        Task_Refuse(task, ADMISSION_NO_WORKER);
        return;
    }
    begin_service(task);
}

static void
begin_service(GateTask *task)
{
    if (Task_Now(task) >= task->deadline_us) {
        /* It was read too late. */
        g_strlcpy(task->cause, "timeout", sizeof(task->cause));
        Task_Refuse(task, ADMISSION_FULL);
        return;
    }
    if (task->route->kind == RTE_STREAM) {
        Stream_Begin(task);
    }
    else {
        Plain_Begin(task);
    }
}

void
Gate_OnDisconnect(void *context, ServerExchange *exchange)
{
    GateTask *task = exchange->owner;

    (void)context;
    if (task != NULL) {
        task->exchange = NULL;
        task->is_caller_gone = true;
        Met_Add(MET_CALLERS_DISCONNECTED, 1);
        if (task->runs == 0 && !task->streaming && !Task_MayBeRunning(task)) {
            AccountLoad_GiveBack(task);
        }
        Task_End(task, "caller_gone", 499);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    GateTask *task = context;

    (void)fd;
    (void)what;
    if (Task_Now(task) - task->timer_us > TASK_TIMER_LATE_US &&
        !task->timer_delayed) {
        task->timer_delayed = true;
        Loop_ArmTimerUs(task->timer, TASK_TIMER_DELAY_US);
        return;
    }
    if (Task_Now(task) >= task->deadline_us) {
        if (task->current->worker != NULL) {
            Task_NoteUnresponsive(task->current);
        }
        Successor_EndSilent(task);
        g_strlcpy(task->cause, "timeout", sizeof(task->cause));
        Task_Abort(task, ADMISSION_FULL, LS_ERR_DEADLINE);
        return;
    }
    if (task->step_deadline_us != 0 && !task->is_read_paused &&
        Task_Now(task) >= task->step_deadline_us) {
        if (task->route->kind == RTE_STREAM) {
            Stream_OnStepTimeout(task);
        }
        else {
            Plain_OnStepTimeout(task);
        }
        return;
    }
    Task_SetTimer(task);
}

static void
answer_task_error(GateTask *task, const LsError *err)
{
    HeaderList *headers = Header_New();

    DetourVm_AddAnswer(task, headers);
    answer_error(task->gate, task->exchange, task->request.id, headers, err);
    task->exchange = NULL;
}

/* Frees `headers`, which the answer gets beside those of the error. */
static void
answer_error(const Gate *gate, ServerExchange *exchange, const char *id,
             HeaderList *headers, const LsError *err)
{
    const GateCodec *codec = gate->options.codec;
    GString *body = g_string_new(NULL);

    codec->encode_error(codec->context, id, err, headers, body);
    Server_SendResponse(exchange, Err_GetHttpStatus(err->code), headers,
                        body->str, body->len);
    Header_Free(headers);
    g_string_free(body, TRUE);
}

static void
free_task(GateTask *task)
{
    LIST_REMOVE(task, links);
    task->gate->relayed_count -= task->is_relayed;
    event_free(task->timer);
    for (guint i = 0; i < task->excluded_count; i++) {
        Fleet_Unref(task->excluded[i]);
    }
    for (guint i = 0; i < G_N_ELEMENTS(task->calls); i++) {
        Sse_Clear(&task->calls[i].sse);
    }
    Rte_Unref(task->table);
    g_free(task->request.id);
    g_free(task->request.host);
    g_free(task->request.resumes);
    g_free(task->request.parts);
    g_free(task->request.key);
    g_free(task->request.account);
    g_free(task->causes);
    Header_Free(task->request.forward);
    g_free(task);
}
