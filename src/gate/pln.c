/* Plain calls: one answer, read whole before the caller gets any of it, so
   that a worker that breaks off can be replaced. */
#include "task.h"

#include <string.h>

/* Age of a kept connection that a call which may run only once may use: a
   reset on it would leave the outcome unknown. */
#define PLN_IDLE_ONCE_MS 1500
/* A silent call is repeated when it has used this part of the objective. */
#define PLN_PATIENCE_SHARE 1.1
#define PLN_PATIENCE_MIN_MS 60 /* Twice a call's work. */

static int64_t get_cost(const GateTask *task, const FltWorker *worker,
                        const RankWorker *rank, const void *context);
static void begin_call(GateTask *task, FltWorker *worker);
static void on_end(void *context, CliOutcome outcome);
static void go_on(GateTask *task, LsRun run, bool has_answer, bool arrived);

void
Pln_Begin(GateTask *task)
{
    int64_t cost_us = 0;
    FltWorker *worker =
        Task_ChooseWorker(task, FLT_PHASE_NONE, get_cost, NULL, &cost_us);

    if (worker == NULL) {
        g_strlcpy(task->cause, "no usable worker", sizeof(task->cause));
        Task_Refuse(task, ADM_NO_WORKER);
        return;
    }
    task->now.expected_us = cost_us;
    begin_call(task, worker);
}

void
Pln_OnPatience(GateTask *task)
{
    FltWorker *worker = task->now.worker;
    const FltWorker *next;
    int64_t cost_us;

    task->patience_us = 0;
    Hlt_NoteSilence(&worker->health, Task_Now(task));
    next = Task_ChooseWorker(task, FLT_PHASE_NONE, get_cost, NULL, &cost_us);
    if (task->route->kind != RTE_IDEMPOTENT ||
        task->runs + 1 >= task->route->attempts || !Task_HasExtra(task, 1) ||
        next == NULL || next == worker) {
        Task_SetTimer(task); /* Goes on waiting. */
        return;
    }
    Task_NoteFailure(task, CLI_BROKEN, LS_RUN_UNKNOWN, "silent");
    go_on(task, LS_RUN_UNKNOWN, false, true);
}

static int64_t
get_cost(const GateTask *task, const FltWorker *worker, const RankWorker *rank,
         const void *context)
{
    (void)worker;
    (void)context;
    return Rank_GetCallCost(&task->gate->options.weights, rank);
}

static void
begin_call(GateTask *task, FltWorker *worker)
{
    bool once = task->route->kind == RTE_NON_IDEMPOTENT;
    GateCallOptions options = {
        .worker = worker->entry.id,
        .left_ms = Task_GetLeftMs(task),
        .last_event = GATE_NO_EVENT,
    };
    int64_t patience_ms =
        MAX((int64_t)(task->route->slo_ms * PLN_PATIENCE_SHARE),
            PLN_PATIENCE_MIN_MS);

    Task_BeginCall(task, worker, &options,
                   once ? PLN_IDLE_ONCE_MS : UINT32_MAX, Task_TakeBody,
                   on_end);
    task->patience_us = task->now.began_us + patience_ms * CLK_US_PER_MS;
    Task_SetTimer(task);
}

static void
on_end(void *context, CliOutcome outcome)
{
    GateTask *task = context;
    TaskCall *now = &task->now;
    LsRun run;
    bool has_answer;

    now->call = NULL;
    run = Task_GetRun(task, outcome);
    has_answer = Task_HasAnswer(task, outcome);
    if (has_answer && now->reply.status < 500 && run != LS_RUN_NOT_RUN) {
        Hlt_NoteSuccess(&now->worker->health, Task_Now(task));
        Task_Pass(task);
        return;
    }
    Task_NoteFailure(task, outcome, run, Task_GetCause(task, outcome, run));
    go_on(task, run, has_answer, outcome != CLI_NOT_SENT);
}

/* After a call that did not end well. `arrived`: it reached the worker. */
static void
go_on(GateTask *task, LsRun run, bool has_answer, bool arrived)
{
    FltWorker *next;
    int64_t cost_us = 0;
    RtyInput input;

    Task_AddTried(task, task->now.worker);
    next = Task_ChooseWorker(task, FLT_PHASE_NONE, get_cost, NULL, &cost_us);
    task->runs += run != LS_RUN_NOT_RUN;
    input = Task_GetRetryInput(task, run);
    input.repeatable = task->route->kind == RTE_IDEMPOTENT;
    input.has_answer = has_answer;
    input.budget = !arrived || Task_HasExtra(task, 1);
    input.candidate = next != NULL;
    switch (Task_DecideRetry(task, &input)) {
    case RTY_ELSEWHERE:
        Task_EndCall(task);
        task->now.expected_us = cost_us;
        begin_call(task, next);
        return;
    case RTY_PASS:
        Task_Pass(task);
        return;
    case RTY_REFUSE:
        Task_EndCall(task);
        Task_Refuse(task, next == NULL ? ADM_NO_WORKER : ADM_FAULT);
        return;
    case RTY_FAIL:
        break;
    }
    Task_EndCall(task);
    Task_Fail(task, LS_ERR_UPSTREAM_FAILED);
}
