/* Stream preparation: reserves memory at a decode worker and lets a prefill
   worker read the prompt. See stream_prepare.h. */
#include "stream_prepare.h"
#include "blame.h"
#include "reservation.h"
#include "stream.h"
#include "stream_urgency.h"
#include "task_budget.h"
#include "task_wait.h"
#include "worker_pace.h"

#include "../decide/handover.h"
#include "../log.h"

/* Timeouts of reservations and prefills without an answer. That of a prefill
   is the expected time x STREAM_TIMEOUT_FACTOR, with a minimum. */
#define STREAM_TIMEOUT_FACTOR 3
#define STREAM_RESERVE_TIMEOUT_US (250 * CLK_US_PER_MS)
#define STREAM_PREFILL_TIMEOUT_MIN_US (1500 * CLK_US_PER_MS)
/* Duration of a reservation: a fixed time for a run that follows at once, plus
   this multiple of the expected prefill time if the prompt must be read. */
#define STREAM_LEASE_MS 300
#define STREAM_LEASE_FACTOR 2
#define STREAM_LEASE_LATENCY_MARGIN_MS 50 /* Latency to the worker. */
/* Questions for a worker's start in a row whose connections were not kept. */
#define STREAM_CHECKS_MAX 3
/* Time for which a prefill worker that refused is not called again: it may be
   changing its phase. */
#define STREAM_PHASE_CHANGE_BACKOFF_US (1500 * CLK_US_PER_MS)
/* Weight of a new sample in the moving mean of a worker's slowness. */
#define STREAM_SLOWNESS_WEIGHT 0.2
#define STREAM_SLOWNESS_MIN 0.5
#define STREAM_SLOWNESS_MAX 8.0

static void avoid_unreachable(TaskCall *call);
static void on_reserve_end(void *context, ClientOutcome outcome);
static void on_check_end(void *context, ClientOutcome outcome);
static bool is_start_known(TaskCall *call);
static void on_prefill_end(void *context, ClientOutcome outcome);

bool
StreamPrepare_CanReserve(const GateTask *task)
{
    return task->service->lease_max_ms > 0 &&
           !task->assigned.worker->lacks_reservations;
}

void
StreamPrepare_BeginReserve(GateTask *task)
{
    const GateCodec *codec = task->gate->options.codec;
    FleetWorker *worker = task->assigned.worker;
    GateControlCall control_call = {.headers = Header_New()};
    int64_t ttl_ms = STREAM_LEASE_MS;

    if (!Reservation_HasHandle(task)) {
        /* The prompt must be read first. */
        ttl_ms +=
            STREAM_LEASE_FACTOR * task->current->expected_us / CLK_US_PER_MS;
    }
    ttl_ms = MIN(ttl_ms, task->service->lease_max_ms);
    codec->encode_reserve(codec->context, worker->entry.id,
                          Reservation_GetLeaseTokens(task), (uint32_t)ttl_ms,
                          &control_call);
    Task_BeginControlCall(task, worker, TASK_RESERVE, &control_call,
                          on_reserve_end);
    Header_Free(control_call.headers);
    task->lease_until_us =
        task->current->began_us +
        (ttl_ms - STREAM_LEASE_LATENCY_MARGIN_MS) * CLK_US_PER_MS;
    task->step_deadline_us =
        task->current->began_us + STREAM_RESERVE_TIMEOUT_US;
    Task_SetTimer(task);
}

bool
StreamPrepare_NeedsCheck(const GateTask *task, uint32_t idle_max_ms)
{
    const Client *client = task->gate->options.client;
    const FleetWorker *worker = task->assigned.worker;
    const char *address = worker->entry.address;
    bool is_checked = task->checked_worker == worker->hash && task->checks > 0;

    if (task->route->can_resume || worker->is_vm) {
        return !Task_HasConnection(task, worker, idle_max_ms);
    }
    /* The end of its process shows in connections that were open then. */
    return worker->closes_answers && !worker->tells_no_start && !is_checked &&
           (worker->told_us == 0 ||
            worker->told_us <= Client_GetLostTime(client, address) ||
            !Client_HasOlder(client, address, worker->told_number));
}

void
StreamPrepare_BeginCheck(GateTask *task)
{
    const GateCodec *codec = task->gate->options.codec;
    FleetWorker *worker = Fleet_Ref(task->assigned.worker);
    GateControlCall control_call = {.headers = Header_New()};

    if (task->checked_worker != worker->hash) {
        task->checked_worker = worker->hash;
        task->checks = 0;
    }
    if (task->checks >= STREAM_CHECKS_MAX) {
        /* The worker closes its connections. */
        task->checks = 0;
        worker->full_until_us = Task_Now(task) + HANDOVER_AGAIN_US;
        Reservation_UnassignWorker(task, true);
        TaskWait_BeginWait(task, "worker keeps no connection");
    }
    else {
        task->checks++;
        Met_Add(MET_STARTS_CHECKED, 1);
        codec->encode_state(codec->context, worker->entry.id, &control_call);
        Task_BeginControlCall(task, worker, TASK_CHECK, &control_call,
                              on_check_end);
        task->step_deadline_us =
            task->current->began_us + STREAM_RESERVE_TIMEOUT_US;
        Task_SetTimer(task);
    }
    Header_Free(control_call.headers);
    Fleet_Unref(worker);
}

void
StreamPrepare_AvoidWorker(GateTask *task)
{
    task->current->worker->full_until_us = Task_Now(task) + HANDOVER_AGAIN_US;
}

void
StreamPrepare_NoteOutcome(GateTask *task, ClientOutcome outcome)
{
    TaskCall *current = task->current;

    if (outcome == CLIENT_NOT_SENT && !current->worker->is_vm) {
        current->is_unsent = true;
        task->sends--;
        avoid_unreachable(current);
    }
}

void
StreamPrepare_BeginPrefill(GateTask *task, FleetWorker *worker)
{
    GateCallOptions options = {
        .worker = worker->entry.id,
        .prefill = true,
        .last_event = task->last_event,
        .priority = StreamUrgency_GetCallPriority(task),
    };

    Met_Add(MET_PREFILLS, 1);
    Met_Add(MET_PREFILL_TOKENS, task->request.prompt_tokens);
    Task_BeginCall(task, worker, &options, UINT32_MAX, Task_AppendBody,
                   on_prefill_end);
    task->step_deadline_us =
        task->current->began_us +
        MAX(STREAM_PREFILL_TIMEOUT_MIN_US,
            STREAM_TIMEOUT_FACTOR * task->current->expected_us);
    Task_SetTimer(task);
}

void
StreamPrepare_UpdateSlowness(TaskCall *call, int64_t took_us)
{
    double slowness = call->worker->slowness;
    double ratio;

    WorkerPace_NoteRead(call, took_us);
    if (call->expected_us <= 0) {
        return;
    }
    ratio = slowness * (double)took_us / (double)call->expected_us;
    ratio = CLAMP(ratio, STREAM_SLOWNESS_MIN, STREAM_SLOWNESS_MAX);
    call->worker->slowness += STREAM_SLOWNESS_WEIGHT * (ratio - slowness);
}

/* Keeps requests away from a worker that can't be reached, also if there is no
   other one. */
static void
avoid_unreachable(TaskCall *call)
{
    call->worker->full_until_us = Task_Now(call->task) + HEALTH_BLOCK_MIN_US;
}

static void
on_reserve_end(void *context, ClientOutcome outcome)
{
    TaskCall *current = context;
    GateTask *task = current->task;
    const GateCodec *codec = task->gate->options.codec;
    int status = current->has_reply ? current->reply.status : 0;
    bool may_go_on = true;
    bool granted = outcome == CLIENT_COMPLETE && status == 200 &&
                   codec->decode_reserve(codec->context,
                                         (const char *)current->body->data,
                                         current->body->len, task->lease);

    current->call = NULL;
    if (!granted && outcome == CLIENT_COMPLETE &&
        (status == 503 || status == 429)) {
        WorkerPace_NoteRefusal(task, current->worker);
    }
    else if (!granted && outcome == CLIENT_COMPLETE && status != 421) {
        Log_WriteJson(LOG_LEVEL_WARNING, "worker_reserves_not",
                      json_pack("{s:s,s:i}", "worker",
                                current->worker->entry.id, "status", status));
        current->worker->lacks_reservations = true;
    }
    else if (!granted) {
        current->reply.misdirected = status == 421;
        Task_NoteFailure(task, outcome, LS_RUN_NOT_RUN, "reservation failed");
        if (outcome == CLIENT_NOT_SENT) {
            avoid_unreachable(current);
        }
        else if (Stream_HasBegun(task)) {
            StreamPrepare_AvoidWorker(task);
        }
        else {
            may_go_on = Task_ExcludeWorker(task, current->worker);
        }
    }
    else {
        WorkerPace_NoteGrant(current->worker);
    }
    Task_EndCall(task);
    if (may_go_on) {
        Stream_Advance(task);
    }
    else {
        /* The worker may be chosen again. */
        Reservation_UnassignWorker(task, false);
        TaskWait_BeginWait(task, "no worker is reachable");
    }
}

static void
on_check_end(void *context, ClientOutcome outcome)
{
    TaskCall *current = context;
    GateTask *task = current->task;
    FleetWorker *worker = current->worker;
    int status = current->has_reply ? current->reply.status : 0;
    bool is_known = outcome == CLIENT_COMPLETE && is_start_known(current);
    bool may_go_on = true;

    current->call = NULL;
    if (outcome == CLIENT_COMPLETE && (status == 503 || status == 429)) {
        worker->full_until_us = Task_Now(task) + STREAM_FULL_BACKOFF_US;
    }
    else if (!is_known && outcome == CLIENT_COMPLETE) {
        Fleet_NoteMisdirected(worker, Task_Now(task));
    }
    else if (!is_known) {
        Task_NoteFailure(task, outcome, LS_RUN_NOT_RUN, "start not told");
        if (outcome == CLIENT_NOT_SENT) {
            avoid_unreachable(current);
        }
        else if (Stream_HasBegun(task)) {
            StreamPrepare_AvoidWorker(task);
        }
        else {
            may_go_on = Task_ExcludeWorker(task, worker);
        }
    }
    Task_EndCall(task);
    if (!is_known) {
        Reservation_UnassignWorker(task, true);
    }
    if (may_go_on) {
        Stream_Advance(task);
    }
    else {
        TaskWait_BeginWait(task, "no worker is reachable");
    }
}

/* Whether the worker's answer tells the start of its entry, or shows that it
   tells none. */
static bool
is_start_known(TaskCall *call)
{
    const GateCodec *codec = call->task->gate->options.codec;
    FleetWorker *worker = call->worker;
    int64_t born_ms = 0;
    bool is_told =
        call->reply.status == 200 &&
        codec->decode_state(codec->context, (const char *)call->body->data,
                            call->body->len, &born_ms);
    bool is_known = is_told && born_ms == worker->entry.born_ms;
    bool is_untold = (is_told && born_ms == 0) || call->reply.status == 404;

    Fleet_NoteToldStart(worker, call->address, born_ms,
                        Client_GetLastNumber(call->task->gate->options.client),
                        Task_Now(call->task));
    if (is_told && !is_known && born_ms != 0) {
        Fleet_NoteUnknownStart(call->task->gate->options.fleet,
                               Task_Now(call->task));
        Met_Add(MET_STARTS_UNKNOWN, 1);
        Log_WriteJson(
            LOG_LEVEL_INFO, "worker_start_unknown",
            json_pack("{s:s,s:s,s:I,s:I}", "request", call->task->request.id,
                      "worker", worker->entry.id, "born", (json_int_t)born_ms,
                      "entry_born", (json_int_t)worker->entry.born_ms));
    }
    if (is_untold) {
        /* It counts for this connection: another one may lead to a process
           that tells its start. */
        Log_WriteJson(LOG_LEVEL_WARNING, "worker_tells_no_start",
                      json_pack("{s:s,s:i,s:b}", "worker", worker->entry.id,
                                "status", call->reply.status, "told_before",
                                (int)worker->tells_start));
        worker->tells_no_start = !worker->tells_start;
        is_known = worker->tells_no_start;
    }
    else if (is_known) {
        worker->tells_no_start = false;
        worker->tells_start = true;
    }
    /* A stream that is not resumed is of any version. */
    return is_known || (is_told && !call->task->route->can_resume);
}

static void
on_prefill_end(void *context, ClientOutcome outcome)
{
    TaskCall *current = context;
    GateTask *task = current->task;
    TaskHandle *kv = &task->kv;
    const GateCodec *codec = task->gate->options.codec;
    int64_t now_us = Task_Now(task);

    current->call = NULL;
    if (outcome != CLIENT_COMPLETE || !current->has_reply ||
        current->reply.status != 200 ||
        !codec->decode_prefill(codec->context,
                               (const char *)current->body->data,
                               current->body->len, kv->handle)) {
        Task_NoteFailure(task, outcome, LS_RUN_NOT_RUN, "prefill failed");
        StreamPrepare_NoteOutcome(task, outcome);
        Blame_NoteBreak(task, outcome,
                        outcome == CLIENT_NOT_SENT ? LS_RUN_NOT_RUN
                                                   : LS_RUN_UNKNOWN);
        if (current->has_reply && current->reply.not_run) {
            current->worker->full_until_us =
                now_us + STREAM_PHASE_CHANGE_BACKOFF_US;
        }
        else if (outcome != CLIENT_NOT_SENT) {
            Health_NoteFailure(&current->worker->health, now_us);
        }
        Stream_RetryOrEnd(task, LS_RUN_NOT_RUN, false);
        return;
    }
    TaskBudget_NotePrefilled(task);
    g_strlcpy(kv->address, current->worker->entry.address,
              sizeof(kv->address));
    kv->worker = Fleet_Ref(current->worker);
    kv->prefilled_us = now_us;
    kv->offers = 0;
    Health_NoteSuccess(&current->worker->health, now_us);
    StreamPrepare_UpdateSlowness(current, now_us - current->began_us);
    Task_EndCall(task);
    Stream_Advance(task);
}
