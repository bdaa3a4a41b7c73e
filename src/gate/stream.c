/* Stream: forwards the streams of model workers. The prompt is read at a
   prefill worker or at the decode worker itself, whichever costs less. The
   caller gets complete events only, so that another worker can resume the
   stream between two events. See task.h. */
#include "stream.h"
#include "blame.h"
#include "detour.h"
#include "end_check.h"
#include "grace.h"
#include "reservation.h"
#include "stream_events.h"
#include "stream_precedence.h"
#include "stream_prepare.h"
#include "stream_rest.h"
#include "stream_resume.h"
#include "stream_urgency.h"
#include "successor.h"
#include "survey.h"
#include "task_wait.h"

#include "../log.h"

#include <string.h>

/* A run that may happen only once uses a new connection. A reset of an idle
   connection would leave its outcome unknown, and a failed stream costs more
   than a connection. */
#define STREAM_ONCE_IDLE_MAX_MS 0
/* Weight of a new sample in the moving means of memory and event interval. */
#define STREAM_MEAN_WEIGHT 0.05
/* Time between looks at the first survey of the workers. */
#define STREAM_SURVEY_POLL_US (20 * CLK_US_PER_MS)
/* Used until an event interval is known. */
#define STREAM_DEFAULT_EVENT_INTERVAL_US 30000

static void add_demand(const GateTask *task);
static void on_run_silent(GateTask *task);
static HandoverLimits get_limits(const GateTask *task);
static void take_over(GateTask *task);
static void refuse_late(GateTask *task);
static bool must_wait_for_survey(const GateTask *task);
static bool has_call_budget(GateTask *task, bool with_prefill);
static void wait_for_budget(GateTask *task);
static void begin_run(GateTask *task);
static uint32_t get_idle_max_ms(const GateTask *task);
static void set_prompt_source(GateTask *task, GateCallOptions *options);
static void on_run_data(void *context, const void *data, size_t size);
static void on_run_end(void *context, ClientOutcome outcome);
static void on_end_checked(TaskCall *current, AnswerEndStep step);
static void end_run(TaskCall *current, ClientOutcome outcome,
                    const char *cause);
static void end_stream(GateTask *task);
static void on_silent_end(GateTask *task, ClientOutcome outcome);
static void forward_or_retry(GateTask *task);

void
Stream_Begin(GateTask *task)
{
    Gate *gate = task->gate;
    /* Memory grows with the answer, so half of the answer counts. */
    double tokens =
        task->request.prompt_tokens + task->request.output_tokens / 2.0;

    Stream_UpdateMean(&gate->mean_tokens, tokens);
    Stream_UpdateMean(&gate->mean_answer_tokens, task->request.output_tokens);
    if (task->service->kv_tokens > 0 &&
        task->request.prompt_tokens > task->service->kv_tokens) {
        g_strlcpy(task->cause, "prompt exceeds a worker's KV memory",
                  sizeof(task->cause));
        Task_Refuse(task, ADMISSION_TOO_LARGE);
        return;
    }
    add_demand(task);
    StreamUrgency_NoteAsked(task);
    if (task->request.last_event != GATE_NO_EVENT) {
        task->last_event = task->request.last_event;
        task->order.last = task->last_event;
        StreamResume_Advance(task);
        return;
    }
    Stream_Advance(task);
}

void
Stream_UpdateMean(double *mean, double sample)
{
    *mean =
        *mean == 0 ? sample : *mean + STREAM_MEAN_WEIGHT * (sample - *mean);
}

/* Adds the request's work to the demand on the service's pools. */
static void
add_demand(const GateTask *task)
{
    Gate *gate = task->gate;
    const GateRequest *request = &task->request;
    GateDemand *demand =
        g_hash_table_lookup(gate->demands, task->service->name);

    if (demand == NULL) {
        demand = g_new0(GateDemand, 1);
        g_hash_table_insert(gate->demands, g_strdup(task->service->name),
                            demand);
    }
    demand->prompt_tokens += request->prompt_tokens;
    /* Memory grows with the answer, so half of the answer counts. */
    demand->kv_token_us +=
        (request->prompt_tokens + request->output_tokens / 2.0) *
        (double)Task_GetStreamTime(task);
}

int64_t
Task_GetStreamTime(const GateTask *task)
{
    double event_interval_us = task->gate->event_interval_us > 0
                                   ? task->gate->event_interval_us
                                   : STREAM_DEFAULT_EVENT_INTERVAL_US;
    uint32_t tokens_per_event = MAX(task->service->tokens_per_event, 1);

    return (int64_t)((double)task->request.output_tokens / tokens_per_event *
                     event_interval_us);
}

void
Stream_OnStepTimeout(GateTask *task)
{
    task->step_deadline_us = 0;
    if (task->resuming) {
        StreamResume_Advance(task);
        return;
    }
    if (task->waiting) {
        task->waiting = false;
        Stream_Advance(task);
        return;
    }
    if (StreamRest_IsAsked(task)) {
        StreamRest_JudgeLate(task);
        Task_EndCall(task);
        end_stream(task);
        return;
    }
    if (Task_MayBeRunning(task)) {
        on_run_silent(task);
        return;
    }
    Task_NoteUnresponsive(task->current);
    if (task->current->stage == TASK_PREFILL) {
        Blame_NoteSilent(task);
    }
    /* Budget for two calls: a repeated prefill is followed by a run. */
    if (task->current->stage == TASK_PREFILL && !Task_HasBudget(task, 2)) {
        /* No other call is allowed: keep waiting. */
        task->step_deadline_us = Task_Now(task) + HANDOVER_AGAIN_US;
        Task_SetTimer(task);
        return;
    }
    Task_NoteFailure(task, CLIENT_INTERRUPTED, LS_RUN_NOT_RUN, "silent");
    if (task->current->stage == TASK_CHECK) {
        Reservation_UnassignWorker(task, true);
    }
    if ((task->current->stage == TASK_RESERVE ||
         task->current->stage == TASK_CHECK) &&
        Stream_HasBegun(task)) {
        StreamPrepare_AvoidWorker(task);
        Task_EndCall(task);
        Reservation_UnassignWorker(task, false);
        Stream_Advance(task);
        return;
    }
    Stream_RetryOrEnd(task, LS_RUN_NOT_RUN, false);
}

bool
Stream_HasBegun(const GateTask *task)
{
    return task->streaming || task->silent != NULL;
}

/* Notes that the worker is silent, then prepares a successor, and at last
   gives up the silent call for it. */
static void
on_run_silent(GateTask *task)
{
    TaskCall *current = task->current;
    int64_t now_us = Task_Now(task);
    HandoverLimits limits;

    if (task->silent != NULL) {
        if (Successor_Decide(task, false, false) == HANDOVER_SWITCH) {
            take_over(task);
            Task_SetTimer(task);
        }
        return;
    }
    if (!current->is_quiet) {
        limits = get_limits(task);
        current->is_quiet = true;
        /* A single stream may wait for its turn at a loaded worker. */
        if (now_us - current->worker->heard_us >= limits.quiet_us) {
            Task_NoteUnresponsive(current);
            Blame_NoteSilent(task);
        }
        task->step_deadline_us = current->progress_us + limits.prepare_us;
        Task_SetTimer(task);
        return;
    }
    Task_NoteUnresponsive(current);
    if (Successor_Decide(task, false, false) != HANDOVER_PREPARE) {
        Task_SetTimer(task);
        return;
    }
    Successor_Begin(task);
    Stream_Advance(task);
}

/* Returns how long the run may make no progress. */
static HandoverLimits
get_limits(const GateTask *task)
{
    HandoverCall call = {
        .stage =
            task->current->events > 0 ? HANDOVER_EVENTS : HANDOVER_NO_EVENT,
        .expected_us = task->current->expected_us,
        .slo_us = (int64_t)task->route->slo_ms * CLK_US_PER_MS,
        .gap_us = (int64_t)task->route->gap_ms * CLK_US_PER_MS,
    };
    HandoverLimits limits;

    limits = Handover_GetLimits(&call);
    if (task->current->worker->is_vm) {
        limits.prepare_us += DETOUR_SILENCE_EXTRA_US;
    }
    return limits;
}

void
Stream_ExpectProgress(GateTask *task)
{
    TaskCall *current = task->current;

    current->progress_us = Task_Now(task);
    current->idle_bytes = 0;
    current->is_quiet = false;
    task->step_deadline_us = current->progress_us + get_limits(task).quiet_us;
}

/* Gives up the silent call: the run at the other worker has begun. */
static void
take_over(GateTask *task)
{
    Successor_TakeOver(task, CLIENT_INTERRUPTED, LS_RUN_UNKNOWN, "silent");
    Stream_ExpectProgress(task);
}

void
Stream_ReleaseAll(GateTask *task)
{
    Reservation_ReleaseHandle(task, true);
    Reservation_UnassignWorker(task, true);
    TaskWait_EndWait(task, task->is_caller_gone ? ADMISSION_WAIT_LEFT
                                                : ADMISSION_WAIT_OVER);
}

void
Stream_Advance(GateTask *task)
{
    int64_t run_cost_us = 0;
    int64_t remote_prefill_cost_us = INT64_MAX;
    FleetWorker *prefill_worker;

    if (!Blame_IsAllowed(task) || (!Stream_HasBegun(task) && task->runs == 0 &&
                                   !Grace_MayBegin(task, 0))) {
        return;
    }
    if (task->last_event != GATE_NO_EVENT && !task->streaming) {
        StreamResume_Recall(task);
    }
    if (must_wait_for_survey(task)) {
        task->waiting = true;
        task->step_deadline_us = Task_Now(task) + STREAM_SURVEY_POLL_US;
        Task_SetTimer(task);
        return;
    }
    if (task->kv.handle[0] != '\0' && !Reservation_HasHandle(task)) {
        Reservation_ReleaseHandle(task, true);
    }
    if (!Reservation_HasLease(task)) {
        FleetWorker *decode_worker =
            StreamUrgency_FindRoom(task, &run_cost_us);
        if (!StreamPrecedence_MayTakeRoom(task)) {
            refuse_late(task);
            return;
        }
        if (decode_worker == NULL) {
            TaskWait_BeginWait(task, StreamUrgency_GetWaitCause(task));
            return;
        }
        if (!has_call_budget(task, false)) {
            wait_for_budget(task);
            return;
        }
        Reservation_AssignWorker(task, decode_worker);
        if (StreamPrepare_CanReserve(task)) {
            task->current->expected_us = run_cost_us;
            StreamPrepare_BeginReserve(task);
            return;
        }
    }
    run_cost_us = Reservation_GetRunCost(task);
    prefill_worker =
        Reservation_HasHandle(task) || task->assigned.worker->is_vm
            ? NULL
            : Reservation_ChoosePrefillWorker(task, &remote_prefill_cost_us);
    if (!StreamPrecedence_MayBegin(task,
                                   MIN(run_cost_us, remote_prefill_cost_us))) {
        refuse_late(task);
        return;
    }
    if (!Stream_HasBegun(task) && task->runs == 0 &&
        !Grace_MayBegin(task, MIN(run_cost_us, remote_prefill_cost_us))) {
        return;
    }
    /* Other requests may have spent the budget during the reservation. What is
       left may do for a run that reads the prompt itself. */
    if (!has_call_budget(task, false)) {
        Reservation_UnassignWorker(task, true);
        wait_for_budget(task);
        return;
    }
    if (prefill_worker != NULL && remote_prefill_cost_us < run_cost_us &&
        has_call_budget(task, true)) {
        task->current->expected_us = remote_prefill_cost_us;
        StreamPrepare_BeginPrefill(task, prefill_worker);
        return;
    }
    if (StreamPrepare_NeedsCheck(task, get_idle_max_ms(task))) {
        StreamPrepare_BeginCheck(task);
        return;
    }
    task->current->expected_us = run_cost_us - Reservation_GetPauseCost(task);
    begin_run(task);
}

static void
refuse_late(GateTask *task)
{
    g_strlcpy(task->cause, "capacity is left to requests in time",
              sizeof(task->cause));
    Task_Abort(task, ADMISSION_FULL, LS_ERR_UPSTREAM_FAILED);
}

/* Whether the prompt of a new stream would replace those that the workers keep
   from before this VM started, and have not named yet. */
static bool
must_wait_for_survey(const GateTask *task)
{
    int64_t waited_us = Task_Now(task) - task->began_us;
    int64_t slo_us = (int64_t)task->route->slo_ms * CLK_US_PER_MS;

    return task->last_event == GATE_NO_EVENT && task->sends == 0 &&
           task->silent == NULL && !task->is_relayed &&
           waited_us < slo_us / 2 &&
           Survey_IsFirst(task->gate, task->service->name);
}

/* Whether the retry budget allows the calls that are still needed: the run,
   and the prefill if an earlier one's KV memory can't be fetched any more, or
   if one follows and may fail. The first call of a request is free. */
static bool
has_call_budget(GateTask *task, bool with_prefill)
{
    uint32_t calls = task->counted_calls > 0;

    calls += (task->prefilled && !Reservation_HasHandle(task)) ||
             (with_prefill && task->counted_calls > 0);
    return calls == 0 || Task_HasBudget(task, calls);
}

static void
wait_for_budget(GateTask *task)
{
    TaskWait_BeginWait(task, "retry budget spent");
}

/* Runs the request at the assigned worker, from the KV memory at the prefill
   worker if there is any. */
static void
begin_run(GateTask *task)
{
    FleetWorker *worker = Fleet_Ref(task->assigned.worker);
    GateCallOptions options = {
        .worker = worker->entry.id,
        .last_event = task->last_event,
        .priority = StreamUrgency_GetCallPriority(task),
    };

    if (worker->is_vm) {
        Reservation_ReleaseHandle(task, true);
    }
    if (task->kv.handle[0] != '\0') {
        options.kv_address = task->kv.address;
        options.kv_handle = task->kv.handle;
        task->kv.offers++;
    }
    set_prompt_source(task, &options);
    Sse_Reset(&task->current->sse);
    memset(&task->current->order, 0, sizeof(task->current->order));
    task->current->idle_bytes = 0;
    if (task->lease[0] != '\0') {
        options.lease = task->lease;
    }
    Task_BeginCall(task, worker, &options, get_idle_max_ms(task), on_run_data,
                   on_run_end);
    task->waiting_since_us = 0;
    StreamUrgency_NoteAdmitted(task);
    TaskWait_EndWait(task, ADMISSION_WAIT_SERVED);
    /* From here on the call counts the memory and uses the reservation. */
    Reservation_UnassignWorker(task, false);
    Fleet_Unref(worker);
    Stream_ExpectProgress(task);
    if (task->silent != NULL) {
        task->step_deadline_us =
            task->current->began_us + HANDOVER_ACCEPT_MAX_US;
    }
    Task_SetTimer(task);
}

/* Returns the longest idle time of a connection for the run. */
static uint32_t
get_idle_max_ms(const GateTask *task)
{
    return task->route->can_resume ? UINT32_MAX : STREAM_ONCE_IDLE_MAX_MS;
}

/* Lets the assigned worker fetch the prompt of a resumed stream if no other
   one was chosen to read it. */
static void
set_prompt_source(GateTask *task, GateCallOptions *options)
{
    const FleetWorker *worker = task->assigned.worker;
    FleetWorker *reader = Reservation_FindReader(task);

    if (options->kv_handle != NULL) {
        task->prompt_source = "prefill";
    }
    else if (reader != NULL && reader == worker) {
        task->prompt_source = "kept";
    }
    else if (reader != NULL && !worker->is_vm) {
        options->fetch_address = reader->entry.address;
        task->fetches++;
        task->prompt_source = "fetched";
        Met_Add(MET_PROMPTS_FETCHED, 1);
    }
    else {
        task->prompt_source = "none";
    }
}

static void
on_run_data(void *context, const void *data, size_t size)
{
    TaskCall *current = context;
    GateTask *task = current->task;

    Task_NoteHeard(current);
    if (current->reply.status != 200 || !current->reply.has_receipt ||
        !current->reply.matches_request || current->reply.is_encoded) {
        Task_AppendBody(current, data, size);
        return;
    }
    Sse_Feed(&current->sse, data, size);
    current->idle_bytes += size;
    if (current == task->silent) {
        if (!StreamEvents_HasNext(task, current) ||
            Successor_Decide(task, true, false) != HANDOVER_RETURN) {
            if (StreamEvents_IsMalformed(current)) {
                Client_RejectBody(current->call);
            }
            return;
        }
        Successor_Cancel(task);
    }
    else if (task->silent != NULL &&
             Successor_Decide(task, false, false) == HANDOVER_SWITCH) {
        take_over(task);
    }
    /* The worker has fetched the KV memory. */
    Reservation_ReleaseHandle(task, false);
    forward_or_retry(task);
}

/* Forwards the current run's events, or gives it up if one is malformed. */
static void
forward_or_retry(GateTask *task)
{
    if (!StreamEvents_Forward(task)) {
        Task_NoteFailure(task, CLIENT_MALFORMED, LS_RUN_UNKNOWN,
                         "event out of order or endless in stream");
        Stream_RetryOrEnd(task, LS_RUN_UNKNOWN, false);
    }
}

static void
on_run_end(void *context, ClientOutcome outcome)
{
    TaskCall *current = context;
    GateTask *task = current->task;
    const char *cause = NULL;

    current->call = NULL;
    if (current == task->silent) {
        on_silent_end(task, outcome);
        return;
    }
    if (StreamRest_IsAsked(task) && !Sse_IsInsideEvent(&current->sse)) {
        on_end_checked(current, StreamRest_JudgeEnd(task, outcome));
        return;
    }
    /* The framing alone doesn't show that a stream is complete: it may be
       nothing but the end of the connection. */
    if (outcome == CLIENT_COMPLETE && Sse_IsInsideEvent(&current->sse)) {
        Met_Add(MET_STREAMS_ENDED_IN_EVENT, 1);
        cause = "stream ended inside an event";
    }
    else if (outcome == CLIENT_COMPLETE && !task->streaming &&
             current->framing == CLIENT_FRAMING_CLOSE &&
             current->reply.status == 200) {
        cause = "stream ended before its first event";
    }
    else if (EndCheck_IsNeeded(current, outcome)) {
        StreamRest_Prepare(task, current);
        EndCheck_Begin(current, on_end_checked);
        return;
    }
    end_run(current, cause != NULL ? CLIENT_INTERRUPTED : outcome, cause);
}

static void
on_end_checked(TaskCall *current, AnswerEndStep step)
{
    if (current == current->task->silent) {
        Successor_Cancel(current->task);
    }
    if (step != ANSWER_END_COMPLETE) {
        end_run(current, CLIENT_INTERRUPTED, "worker ended with its answer");
    }
    else if (StreamRest_IsAsked(current->task)) {
        end_stream(current->task);
    }
    else if (!StreamRest_Begin(current->task, on_run_data, on_run_end)) {
        end_run(current, CLIENT_COMPLETE, NULL);
    }
}

/* Ends the run. `cause` says why it is not complete, NULL for that of the
   outcome. */
static void
end_run(TaskCall *current, ClientOutcome outcome, const char *cause)
{
    GateTask *task = current->task;
    LsRun run = Task_GetRun(current, outcome);
    bool has_answer = Task_HasAnswer(current, outcome);

    /* A run that goes on for the caller may have nothing left. */
    if (has_answer && current->reply.status == 200 &&
        (task->streaming || (task->request.last_event != GATE_NO_EVENT &&
                             StreamEvents_Begin(task)))) {
        end_stream(task);
        return;
    }
    Task_NoteFailure(task, outcome, run,
                     cause != NULL ? cause
                                   : Task_GetCause(current, outcome, run));
    StreamPrepare_NoteOutcome(task, outcome);
    Blame_NoteBreak(task, outcome, run);
    if (run == LS_RUN_NOT_RUN && outcome == CLIENT_COMPLETE &&
        current->stage == TASK_DECODE && task->kv.worker != NULL) {
        /* Memory is reserved beforehand, so a refusal is treated as a failed
           fetch: the prefill worker no longer has the KV memory or can't send
           it. */
        Health_NoteFailure(&task->kv.worker->health, Task_Now(task));
        Reservation_ReleaseHandle(task, false);
    }
    else if (run == LS_RUN_NOT_RUN && outcome == CLIENT_COMPLETE) {
        current->worker->full_until_us =
            Task_Now(task) + STREAM_FULL_BACKOFF_US;
    }
    Stream_RetryOrEnd(task, run, has_answer && current->reply.status != 200);
}

/* Ends the stream as complete. */
static void
end_stream(GateTask *task)
{
    ServerExchange *exchange = task->exchange;

    if (task->current->sse.pending->len > 0) {
        Server_SendData(exchange, task->current->sse.pending->data,
                        task->current->sse.pending->len);
    }
    task->exchange = NULL;
    Server_EndStream(exchange);
    Blame_NoteSound(task);
    Grace_NoteStream(task);
    StreamEvents_UpdateInterval(task);
    Task_End(task, "streamed", 200);
}

/* Goes on with the successor after the silent call has ended. Its last events
   may have come with the end. */
static void
on_silent_end(GateTask *task, ClientOutcome outcome)
{
    TaskCall *silent = task->silent;
    LsRun run = Task_GetRun(silent, outcome);
    const char *cause = Task_GetCause(silent, outcome, run);

    if (Task_HasAnswer(silent, outcome) && task->streaming &&
        silent->reply.status == 200 && !silent->order.is_refused &&
        !Sse_IsInsideEvent(&silent->sse)) {
        Successor_Cancel(task);
        on_run_end(silent, outcome);
        return;
    }
    if (silent->order.is_contradicted) {
        Successor_Cancel(task);
        end_run(silent, outcome, cause);
        return;
    }
    Successor_SwapCalls(task);
    Blame_NoteBreak(task, outcome, run);
    Successor_SwapCalls(task);
    Successor_TakeOver(task, outcome, run, cause);
    if (Task_MayBeRunning(task)) {
        Stream_ExpectProgress(task);
        Task_SetTimer(task);
    }
}

void
Stream_RetryOrEnd(GateTask *task, LsRun run, bool has_answer)
{
    bool is_worker_failed =
        !task->current->is_unsent &&
        (run != LS_RUN_NOT_RUN || task->current->worker->is_vm ||
         !task->current->has_reply || task->readmissions > 0 ||
         task->current->reply.misdirected ||
         task->current->stage == TASK_PREFILL);
    RetryInput input;

    if (task->silent != NULL && StreamEvents_HasNext(task, task->silent)) {
        Task_ExcludeWorker(task, task->current->worker);
        task->runs += run != LS_RUN_NOT_RUN;
        Successor_Cancel(task);
        forward_or_retry(task);
        return;
    }
    if (is_worker_failed) {
        Task_ExcludeFailed(task);
    }
    task->work_us = 0;
    task->runs += run != LS_RUN_NOT_RUN;
    input = Task_GetRetryInput(task, run);
    input.repeatable =
        task->route->can_resume && !task->current->order.is_contradicted;
    input.has_answer = has_answer && !Stream_HasBegun(task);
    /* A stream that has begun, also with an earlier request, waits for the
       budget, as for a worker. */
    input.has_budget = task->last_event != GATE_NO_EVENT || task->streaming ||
                       task->silent != NULL || task->counted_calls == 0 ||
                       Task_HasBudget(task, task->prefilled ? 2 : 1);
    /* A worker that is full at present counts, as the task can wait. A stream
       that has begun also waits for one that starts. */
    input.has_candidate =
        task->streaming || (Reservation_HasCandidate(task) &&
                            (task->silent != NULL || Grace_IsEnough(task, 0)));
    switch (Task_DecideRetry(task, &input)) {
    case RETRY_ELSEWHERE:
        Task_EndCall(task);
        Stream_Advance(task);
        return;
    case RETRY_PASS:
        Task_PassAnswer(task);
        return;
    case RETRY_REFUSE:
    case RETRY_FAIL:
        break;
    }
    Task_Abort(task,
               input.has_candidate ? ADMISSION_FAULT : ADMISSION_NO_WORKER,
               LS_ERR_UPSTREAM_FAILED);
}
