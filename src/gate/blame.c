/* Blame: requests and parts of prompts that crash workers. See blame.h. */
#include "blame.h"
#include "crash_check.h"

#include "../log.h"

/* Time between two looks at a crash check, which takes a round trip. */
#define BLAME_POLL_US (5 * CLK_US_PER_MS)

static void block(GateTask *task, const char *cause);

const uint64_t *
Blame_GetParts(GateTask *task, uint32_t *count)
{
    if (task->request.part_count > 0) {
        *count = task->request.part_count;
        return task->request.parts;
    }
    *count = Task_GetIdentity(task) != 0 ? 1 : 0;
    return &task->identity;
}

bool
Blame_IsAllowed(GateTask *task)
{
    Suspects *suspects = &task->gate->suspects;
    const uint64_t *parts;
    uint32_t count;
    int64_t until_us;

    if (suspects->row_count == 0 && task->crash_weight == SUSPECTS_NONE) {
        return true;
    }
    parts = Blame_GetParts(task, &count);
    if (task->crash_weight == SUSPECTS_FULL) {
        if (CrashCheck_IsPending(task->gate, task->crash_worker)) {
            task->waiting = true;
            task->step_deadline_us = Task_Now(task) + BLAME_POLL_US;
            Task_SetTimer(task);
            return false;
        }
        if (Suspects_IsUnderCrash(suspects, parts, count,
                                  task->crash_worker)) {
            block(task, "its worker crashed as the answer began");
            return false;
        }
    }
    switch (
        Suspects_Judge(suspects, parts, count, Task_Now(task), &until_us)) {
    case SUSPECTS_CLEAR:
        return true;
    case SUSPECTS_PROBE:
        Suspects_BeginProbe(suspects, parts, count, Task_Now(task));
        task->is_probe = true;
        Log_WriteJson(LOG_LEVEL_INFO, "part_probe",
                      json_pack("{s:s}", "request", task->request.id));
        task->gate->options.on_load_change(task->gate->options.context);
        return true;
    case SUSPECTS_BLAMED:
        break;
    }
    if (task->is_probe && task->runs == 0) {
        return true;
    }
    block(task, "the request or a part of its prompt crashes workers");
    return false;
}

void
Blame_NoteBreak(GateTask *task, ClientOutcome outcome, LsRun run)
{
    const TaskCall *current = task->current;
    bool has_head = current->has_reply && current->reply.status == 200;
    SuspectsWeight weight;
    bool is_whole =
        task->route->kind != RTE_STREAM || current->stage == TASK_PREFILL;

    task->crash_worker = 0;
    task->crash_weight = SUSPECTS_NONE;
    if (current->worker->is_vm || run == LS_RUN_NOT_RUN ||
        outcome == CLIENT_MALFORMED || outcome == CLIENT_COMPLETE ||
        current->is_quiet ||
        (current->has_reply && current->reply.status != 200)) {
        return;
    }
    weight = is_whole ? SUSPECTS_FULL
                      : Suspects_Rate(has_head, current->first_event_us,
                                      Task_Now(task));
    if (weight == SUSPECTS_NONE) {
        return;
    }
    /* Any call may be in progress at a worker that crashes by itself, so that
       only one that had just begun its answer is not repeated. */
    task->crash_weight = is_whole ? SUSPECTS_NONE : weight;
    task->crash_worker = CrashCheck_GetStart(current->worker);
    CrashCheck_Begin(task, weight);
}

void
Blame_NoteSound(GateTask *task)
{
    Suspects *suspects = &task->gate->suspects;
    const uint64_t *parts;
    uint32_t count;

    /* Identities are remembered only while there are crashes, as they would
       displace the parts. */
    if (task->request.part_count == 0 && suspects->row_count == 0) {
        return;
    }
    parts = Blame_GetParts(task, &count);
    Suspects_NoteSound(suspects, parts, count, Task_Now(task));
    Gate_LogSuspects(task->gate);
}

/* Ends a task whose request may crash further workers. */
static void
block(GateTask *task, const char *cause)
{
    g_strlcpy(task->cause, cause, sizeof(task->cause));
    Met_Add(MET_PROMPTS_BLOCKED, 1);
    Task_Abort(task, ADMISSION_BLOCKED, LS_ERR_UPSTREAM_FAILED);
}
