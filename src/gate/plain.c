/* Plain: forwards a request with a single answer. The answer is read
   completely before the caller gets any of it, so that another worker can run
   the request if the connection is lost. See task.h. */
#include "blame.h"
#include "detour.h"
#include "end_check.h"
#include "grace.h"
#include "stream_urgency.h"
#include "successor.h"

#include <string.h>

/* Longest idle time of the connection for a call that may run only once. A
   reset of an idle connection would leave the outcome unknown. */
#define PLAIN_ONCE_IDLE_MAX_MS 1500

static int64_t get_cost(const GateTask *task, const FleetWorker *worker,
                        const RankWorker *rank, const void *context);
static int64_t get_wait(const GateTask *task, const FleetWorker *worker,
                        const RankWorker *rank, const void *context);
static int64_t get_call_time(const GateTask *task, const FleetWorker *worker,
                             const RankWorker *rank, const void *context);
static bool is_in_time(const GateTask *task, const FleetWorker *worker);
static void begin_call(GateTask *task, FleetWorker *worker);
static void on_end(void *context, ClientOutcome outcome);
static void on_end_checked(TaskCall *call, AnswerEndStep step);
static void end_run(TaskCall *call, ClientOutcome outcome, bool has_framing);
static void retry_or_end(GateTask *task, LsRun run, bool has_answer,
                         bool has_framing);
static void pass_answer(GateTask *task, bool has_framing);

void
Plain_Begin(GateTask *task)
{
    int64_t cost_us = 0;
    FleetWorker *worker;
    bool may_begin;

    if (!Blame_IsAllowed(task) || !Grace_MayBegin(task, 0)) {
        return;
    }
    if (task->counted_calls > 0 && !Task_HasBudget(task, 1)) {
        task->waiting = true;
        task->step_deadline_us = Task_Now(task) + HANDOVER_AGAIN_US;
        Task_SetTimer(task);
        return;
    }
    worker =
        Task_ChooseWorker(task, FLEET_PHASE_NONE, get_cost, NULL, &cost_us);
    if (worker == NULL) {
        g_strlcpy(task->cause, "no usable worker", sizeof(task->cause));
        Task_Refuse(task, ADMISSION_NO_WORKER);
        return;
    }
    StreamUrgency_NoteAsked(task);
    StreamUrgency_UpdateHeld(task);
    may_begin = is_in_time(task, worker);
    StreamUrgency_NoteLook(task, !may_begin);
    if (!task->is_retry) {
        Precedence_NoteTimely(Task_GetPrecedence(task), !may_begin,
                              Task_Now(task));
    }
    if (!may_begin) {
        g_strlcpy(task->cause, "no worker answers in time",
                  sizeof(task->cause));
        Task_Refuse(task, ADMISSION_FULL);
        return;
    }
    if (!Grace_MayBegin(task, cost_us)) {
        return;
    }
    StreamUrgency_NoteAdmitted(task);
    task->current->expected_us = cost_us;
    begin_call(task, worker);
}

void
Plain_OnStepTimeout(GateTask *task)
{
    TaskCall *current = task->current;
    FleetWorker *next;
    int64_t cost_us;

    task->step_deadline_us = 0;
    if (task->waiting) {
        task->waiting = false;
        Plain_Begin(task);
        return;
    }
    if (!current->is_quiet) {
        current->is_quiet = true;
        Task_NoteUnresponsive(current);
        Blame_NoteSilent(task);
    }
    if (Successor_Decide(task, false, false) != HANDOVER_PREPARE) {
        Task_SetTimer(task);
        return;
    }
    next = Task_ChooseWorker(task, FLEET_PHASE_NONE, get_cost, NULL, &cost_us);
    if (next == NULL || next == current->worker || !is_in_time(task, next) ||
        !Task_HasBudget(task, 1)) {
        task->step_deadline_us = Task_Now(task) + HANDOVER_AGAIN_US;
        Task_SetTimer(task);
        return;
    }
    Successor_Begin(task);
    task->current->expected_us = cost_us;
    begin_call(task, next);
}

static int64_t
get_cost(const GateTask *task, const FleetWorker *worker,
         const RankWorker *rank, const void *context)
{
    (void)worker;
    (void)context;
    return Rank_GetCallCost(&task->gate->options.weights, rank);
}

static int64_t
get_wait(const GateTask *task, const FleetWorker *worker,
         const RankWorker *rank, const void *context)
{
    (void)worker;
    (void)context;
    return Rank_GetCallWait(&task->gate->options.weights, rank);
}

static int64_t
get_call_time(const GateTask *task, const FleetWorker *worker,
              const RankWorker *rank, const void *context)
{
    (void)worker;
    (void)context;
    return Rank_GetCallTime(&task->gate->options.weights, rank);
}

/* Whether the worker's queue is short enough for the latency objective. */
static bool
is_in_time(const GateTask *task, const FleetWorker *worker)
{
    const GateOptions *options = &task->gate->options;
    RankDistance distance =
        Task_GetDistance(task->gate, options->zone, worker->entry.zone);
    int64_t slo_us = (int64_t)task->route->slo_ms * CLK_US_PER_MS;
    int64_t late_queue_us =
        task->is_retry ? Precedence_GetLateQueue(Task_GetPrecedence(task),
                                                 slo_us, Task_Now(task))
                       : ADMISSION_TIMELY;

    return Admission_IsInTime(Task_GetCost(task, worker, get_wait, NULL),
                              Task_GetCost(task, worker, get_call_time, NULL),
                              options->weights.rtt_us[distance],
                              StreamUrgency_GetQueueTime(task, slo_us),
                              late_queue_us);
}

static void
begin_call(GateTask *task, FleetWorker *worker)
{
    bool once = task->route->kind == RTE_NON_IDEMPOTENT;
    GateCallOptions options = {
        .worker = worker->entry.id,
        .last_event = GATE_NO_EVENT,
    };
    HandoverCall call = {
        .stage = HANDOVER_PLAIN,
        .slo_us = (int64_t)task->route->slo_ms * CLK_US_PER_MS,
    };

    task->current->wait_us = Task_GetCost(task, worker, get_wait, NULL);
    Task_BeginCall(task, worker, &options,
                   once ? PLAIN_ONCE_IDLE_MAX_MS : UINT32_MAX, Task_AppendBody,
                   on_end);
    task->step_deadline_us =
        task->current->began_us + Handover_GetLimits(&call).prepare_us +
        (task->current->worker->is_vm ? DETOUR_SILENCE_EXTRA_US : 0);
    Task_SetTimer(task);
}

static void
on_end(void *context, ClientOutcome outcome)
{
    TaskCall *call = context;

    call->call = NULL;
    if (EndCheck_IsNeeded(call, outcome)) {
        EndCheck_Begin(call, on_end_checked);
        return;
    }
    end_run(call, outcome, true);
}

static void
on_end_checked(TaskCall *call, AnswerEndStep step)
{
    /* Another VM would have to believe the end of the connection. */
    bool is_passed =
        step == ANSWER_END_COMPLETE ||
        (step == ANSWER_END_AS_RECEIVED && !call->task->is_relayed);

    end_run(call, is_passed ? CLIENT_COMPLETE : CLIENT_INTERRUPTED,
            step == ANSWER_END_COMPLETE);
}

/* Ends the run. `has_framing`: the answer is known to be complete, if the
   outcome says so. */
static void
end_run(TaskCall *call, ClientOutcome outcome, bool has_framing)
{
    GateTask *task = call->task;
    bool is_silent = call == task->silent;
    LsRun run = Task_GetRun(call, outcome);
    bool has_answer = Task_HasAnswer(call, outcome);
    const char *cause = Task_GetCause(call, outcome, run);

    if (has_answer && call->reply.status < 500 && run != LS_RUN_NOT_RUN) {
        Health_NoteSuccess(&call->worker->health, Task_Now(task));
        Blame_NoteSound(task);
        Grace_NoteCall(task, Task_Now(task) - call->began_us);
        if (is_silent) {
            Successor_Cancel(task);
        }
        pass_answer(task, has_framing);
        return;
    }
    if (is_silent) {
        Successor_TakeOver(task, outcome, run, cause);
        return;
    }
    Task_NoteFailure(task, outcome, run, cause);
    Blame_NoteBreak(task, outcome, run);
    retry_or_end(task, run, has_answer, has_framing);
}

/* Continues after a failed call: calls another worker, or ends the task. */
static void
retry_or_end(GateTask *task, LsRun run, bool has_answer, bool has_framing)
{
    FleetWorker *next;
    int64_t cost_us = 0;
    RetryInput input;

    Task_ExcludeFailed(task);
    next = Task_ChooseWorker(task, FLEET_PHASE_NONE, get_cost, NULL, &cost_us);
    task->runs += run != LS_RUN_NOT_RUN;
    input = Task_GetRetryInput(task, run);
    input.repeatable = task->route->kind == RTE_IDEMPOTENT;
    input.has_answer = has_answer && task->silent == NULL;
    input.has_budget = task->counted_calls == 0 || Task_HasBudget(task, 1);
    input.has_candidate = next != NULL && is_in_time(task, next) &&
                          Grace_IsEnough(task, cost_us);
    switch (Task_DecideRetry(task, &input)) {
    case RETRY_ELSEWHERE:
        Task_EndCall(task);
        if (!Blame_IsAllowed(task)) {
            return;
        }
        task->current->expected_us = cost_us;
        begin_call(task, next);
        return;
    case RETRY_PASS:
        pass_answer(task, has_framing);
        return;
    case RETRY_REFUSE:
        Task_EndCall(task);
        Task_Refuse(task, next == NULL          ? ADMISSION_NO_WORKER
                          : input.has_candidate ? ADMISSION_FAULT
                                                : ADMISSION_FULL);
        return;
    case RETRY_FAIL:
        break;
    }
    if (task->silent != NULL) {
        Successor_Cancel(task);
        task->step_deadline_us = Task_Now(task) + HANDOVER_AGAIN_US;
        Task_SetTimer(task);
        return;
    }
    Task_EndCall(task);
    Task_Fail(task, LS_ERR_UPSTREAM_FAILED);
}

static void
pass_answer(GateTask *task, bool has_framing)
{
    if (has_framing) {
        Task_PassAnswer(task);
    }
    else {
        Task_PassUntilClose(task);
    }
}
