/* Successor: silent calls that are kept open. See successor.h. */
#include "successor.h"
#include "reservation.h"
#include "task_wait.h"

#include <string.h>

static void include_worker(GateTask *task, FleetWorker *worker);

bool
Successor_IsAllowed(const GateTask *task)
{
    bool is_repeatable = task->route->kind == RTE_STREAM
                             ? task->route->can_resume
                             : task->route->kind == RTE_IDEMPOTENT;

    return task->silent == NULL && is_repeatable &&
           task->excluded_count < TASK_EXCLUDED_MAX &&
           task->runs + 1 < task->attempts && task->sends < RETRY_SENDS_MAX &&
           Task_GetLeftMs(task) >= RETRY_LEFT_MIN_MS;
}

void
Successor_Begin(GateTask *task)
{
    Task_ExcludeWorker(task, task->current->worker);
    task->silent = task->current;
    task->current =
        task->silent == &task->calls[0] ? &task->calls[1] : &task->calls[0];
    memset(&task->current->order, 0, sizeof(task->current->order));
    task->runs++;
    /* The silent worker may have fetched the prompt's KV memory. */
    Reservation_ReleaseHandle(task, false);
    task->step_deadline_us = 0;
    task->waiting_since_us = 0;
    Met_Add(MET_SUCCESSORS, 1);
}

void
Successor_Cancel(GateTask *task)
{
    /* The other worker may have read the prompt, though its answer is not
       awaited. */
    task->prefilled |=
        task->current->call != NULL && task->current->stage == TASK_PREFILL;
    Reservation_ReleaseHandle(task, true);
    Reservation_UnassignWorker(task, true);
    TaskWait_EndWait(task, ADMISSION_WAIT_LEFT);
    task->waiting_since_us = 0;
    /* The silent call counts as a run again when it ends. */
    task->runs -= Task_MayBeRunning(task) ? 0 : 1;
    Task_EndCall(task);
    include_worker(task, task->silent->worker);
    task->current = task->silent;
    task->silent = NULL;
    task->waiting = false;
}

void
Successor_TakeOver(GateTask *task, ClientOutcome outcome, LsRun run,
                   const char *cause)
{
    Successor_SwapCalls(task);
    Task_NoteFailure(task, outcome, run, cause);
    Successor_SwapCalls(task);
    task->runs -= run == LS_RUN_NOT_RUN ? 1 : 0;
    task->waiting_since_us = 0;
    Successor_EndSilent(task);
    Met_Add(MET_SUCCESSORS_TOOK_OVER, 1);
}

void
Successor_EndSilent(GateTask *task)
{
    int64_t step_deadline_us = task->step_deadline_us;

    if (task->silent == NULL) {
        return;
    }
    Successor_SwapCalls(task);
    Task_EndCall(task);
    Successor_SwapCalls(task);
    task->silent = NULL;
    task->step_deadline_us = step_deadline_us;
}

void
Successor_SwapCalls(GateTask *task)
{
    TaskCall *current = task->current;

    task->current = task->silent;
    task->silent = current;
}

HandoverStep
Successor_Decide(const GateTask *task, bool has_progress, bool has_ended)
{
    const TaskCall *current = task->current;
    HandoverState state = {
        .may_repeat = Successor_IsAllowed(task),
        .has_progress = has_progress,
        .has_ended = has_ended,
        .is_limit_passed = true,
        .successor = task->silent == NULL ? HANDOVER_NONE : HANDOVER_PREPARING,
    };

    if (task->silent != NULL && Task_MayBeRunning(task)) {
        state.successor = current->has_reply && current->reply.status == 200
                              ? HANDOVER_ACCEPTED
                              : HANDOVER_SENT;
        state.sent_us = Task_Now(task) - current->began_us;
    }
    return Handover_Decide(&state);
}

/* Undoes Task_ExcludeWorker(). */
static void
include_worker(GateTask *task, FleetWorker *worker)
{
    for (guint i = 0; i < task->excluded_count; i++) {
        if (task->excluded[i] == worker) {
            Fleet_Unref(worker);
            task->excluded[i] = task->excluded[--task->excluded_count];
            return;
        }
    }
}
