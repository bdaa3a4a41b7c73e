/* Blame: requests and parts of prompts that crash workers. See blame.h. */
#include "blame.h"
#include "crash_check.h"

#include "../log.h"

#include <string.h>
#include <xxhash.h>

/* Time between two looks at a crash check, which takes a round trip, at a
   blame that is not settled, or at what other VMs tell. */
#define BLAME_POLL_US (5 * CLK_US_PER_MS)

/* What may belong to a request alone: the last part of its prompt, its
   identity, and this together with the caller's address, since the same bytes
   may do no harm in another caller's requests. */
#define BLAME_OWN_MAX 3
/* Tells a part that belongs to one request from the same part as a shared one.
   The VMs exchange the hashes, so it is part of the protocol. */
#define BLAME_OWN_PART_SEED 0x6f776eu
#define BLAME_CALLER_SEED 0x63616cu

static void wait(GateTask *task);
static void block(GateTask *task, const char *cause);

BlameCauses
Blame_GetCauses(GateTask *task)
{
    const GateRequest *request = &task->request;
    uint32_t count = request->part_count;

    if (task->causes == NULL) {
        task->causes = g_new0(uint64_t, count + BLAME_OWN_MAX);
        if (count > 0) {
            memcpy(task->causes, request->parts,
                   count * sizeof(*task->causes));
        }
        if (request->has_own_part) {
            task->causes[count++] = XXH3_64bits_withSeed(
                &request->own_part, sizeof(request->own_part),
                BLAME_OWN_PART_SEED);
        }
        if (Task_GetIdentity(task) != 0) {
            uint64_t of_caller[] = {Task_GetIdentity(task), task->caller};
            task->causes[count++] = of_caller[0];
            if (task->caller != 0) {
                task->causes[count++] = XXH3_64bits_withSeed(
                    of_caller, sizeof(of_caller), BLAME_CALLER_SEED);
            }
        }
        task->cause_count = count;
    }
    return (BlameCauses){
        .ids = task->causes,
        .count = task->cause_count,
        .own_count = task->cause_count - request->part_count,
    };
}

int64_t
Blame_GetProbeTime(GateTask *task)
{
    BlameCauses causes = Blame_GetCauses(task);
    int64_t until_us;

    Suspects_Judge(&task->gate->suspects, causes.ids, causes.count,
                   Task_Now(task), &until_us);
    return until_us;
}

bool
Blame_IsAllowed(GateTask *task)
{
    Suspects *suspects = &task->gate->suspects;
    BlameCauses causes;
    uint32_t broad_count;
    int64_t until_us;

    if (Suspects_IsLearning(suspects, Task_Now(task))) {
        wait(task);
        return false;
    }
    if (suspects->row_count == 0 && task->crash_weight == SUSPECTS_NONE) {
        return true;
    }
    causes = Blame_GetCauses(task);
    if (task->crash_weight == SUSPECTS_FULL) {
        if (CrashCheck_IsPending(task->gate, task->crash_worker)) {
            wait(task);
            return false;
        }
        broad_count = causes.own_count < causes.count
                          ? causes.count - causes.own_count
                          : causes.count;
        if (Suspects_IsUnderCrash(suspects, causes.ids, broad_count,
                                  task->crash_worker)) {
            block(task, "its worker crashed as the answer began");
            return false;
        }
    }
    switch (Suspects_Judge(suspects, causes.ids, causes.count, Task_Now(task),
                           &until_us)) {
    case SUSPECTS_CLEAR:
        return true;
    case SUSPECTS_PROBE:
        Suspects_BeginProbe(suspects, causes.ids, causes.count,
                            Task_Now(task));
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
    /* Other requests have little time, and are hardly sent twice in it. */
    if (task->route->kind == RTE_STREAM &&
        Suspects_IsUnsettled(suspects, causes.ids, causes.count,
                             Task_Now(task))) {
        wait(task);
        return false;
    }
    Gate_LogSuspects(task->gate);
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
    Suspects_NoteFailure(&task->gate->suspects,
                         CrashCheck_GetCallStart(current), Task_Now(task),
                         Task_Now(task));
    weight = is_whole ? SUSPECTS_FULL
                      : Suspects_Rate(has_head, current->first_event_us,
                                      Task_Now(task));
    if (weight == SUSPECTS_NONE) {
        return;
    }
    /* Any call may be in progress at a worker that crashes by itself, so that
       only one that had just begun its answer is not repeated. */
    task->crash_weight = is_whole ? SUSPECTS_NONE : weight;
    task->crash_worker = CrashCheck_GetCallStart(current);
    CrashCheck_Begin(task, weight);
}

void
Blame_NoteSilent(GateTask *task)
{
    const TaskCall *current = task->current;

    if (current->worker->is_vm) {
        return;
    }
    Suspects_NoteFailure(
        &task->gate->suspects, CrashCheck_GetCallStart(current),
        MAX(current->began_us, current->worker->heard_us) + 1, Task_Now(task));
    if (current->events == 0) {
        CrashCheck_Begin(task, SUSPECTS_WEAK);
    }
}

void
Blame_NoteSound(GateTask *task)
{
    Suspects *suspects = &task->gate->suspects;
    BlameCauses causes;

    if (suspects->row_count == 0) {
        Suspects_NoteSound(suspects, task->request.parts,
                           task->request.part_count, 0, Task_Now(task));
        return;
    }
    causes = Blame_GetCauses(task);
    Suspects_NoteSound(suspects, causes.ids, causes.count, causes.own_count,
                       Task_Now(task));
    Gate_LogSuspects(task->gate);
}

/* Lets the task look again soon. */
static void
wait(GateTask *task)
{
    task->waiting = true;
    task->step_deadline_us = Task_Now(task) + BLAME_POLL_US;
    Task_SetTimer(task);
}

/* Ends a task whose request may crash further workers. */
static void
block(GateTask *task, const char *cause)
{
    g_strlcpy(task->cause, cause, sizeof(task->cause));
    Met_Add(MET_PROMPTS_BLOCKED, 1);
    Task_Abort(task, ADMISSION_BLOCKED, LS_ERR_UPSTREAM_FAILED);
}
