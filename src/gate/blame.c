/* Blame: prompts with parts that crash workers. See blame.h. */
#include "blame.h"
#include "crash_check.h"

#include "../log.h"

/* Time between two looks at a crash check, which takes a round trip. */
#define BLAME_POLL_US (5 * CLK_US_PER_MS)

static void block(GateTask *task, const char *cause);

bool
Blame_IsAllowed(GateTask *task)
{
    const GateRequest *request = &task->request;
    Suspects *suspects = &task->gate->suspects;
    int64_t until_us;

    if (task->crash_weight == SUSPECTS_FULL &&
        CrashCheck_IsPending(task->gate, task->crash_worker)) {
        task->waiting = true;
        task->step_deadline_us = Task_Now(task) + BLAME_POLL_US;
        Task_SetTimer(task);
        return false;
    }
    if (task->crash_weight == SUSPECTS_FULL &&
        Suspects_IsUnderCrash(suspects, request->parts, request->part_count,
                              task->crash_worker)) {
        block(task, "its worker crashed as the answer began");
        return false;
    }
    switch (Suspects_Judge(suspects, request->parts, request->part_count,
                           Task_Now(task), &until_us)) {
    case SUSPECTS_CLEAR:
        return true;
    case SUSPECTS_PROBE:
        Suspects_BeginProbe(suspects, request->parts, request->part_count,
                            Task_Now(task));
        task->is_probe = true;
        Log_WriteJson(LOG_LEVEL_INFO, "part_probe",
                      json_pack("{s:s}", "request", request->id));
        task->gate->options.on_load_change(task->gate->options.context);
        return true;
    case SUSPECTS_BLAMED:
        break;
    }
    if (task->is_probe && task->runs == 0) {
        return true;
    }
    block(task, "a part of the prompt crashes workers");
    return false;
}

void
Blame_NoteBreak(GateTask *task, ClientOutcome outcome, LsRun run)
{
    const TaskCall *current = task->current;
    bool has_head = current->has_reply && current->reply.status == 200;

    task->crash_worker = 0;
    task->crash_weight = SUSPECTS_NONE;
    if (task->request.part_count == 0 || run == LS_RUN_NOT_RUN ||
        outcome == CLIENT_MALFORMED ||
        (current->has_reply && current->reply.status != 200)) {
        return;
    }
    task->crash_weight =
        Suspects_Rate(has_head, current->first_event_us, Task_Now(task));
    if (task->crash_weight != SUSPECTS_NONE) {
        task->crash_worker = CrashCheck_GetStart(current->worker);
        CrashCheck_Begin(task, task->crash_weight);
    }
}

void
Blame_NoteSound(GateTask *task)
{
    Suspects_NoteSound(&task->gate->suspects, task->request.parts,
                       task->request.part_count, Task_Now(task));
    Gate_LogSuspects(task->gate);
}

/* Ends a task whose prompt may crash further workers. */
static void
block(GateTask *task, const char *cause)
{
    g_strlcpy(task->cause, cause, sizeof(task->cause));
    Met_Add(MET_PROMPTS_BLOCKED, 1);
    Task_Abort(task, ADMISSION_BLOCKED, LS_ERR_UPSTREAM_FAILED);
}
