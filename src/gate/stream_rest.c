/* Stream rest: whether an ended stream has more events. See stream_rest.h. */
#include "stream_rest.h"
#include "grace.h"
#include "task_budget.h"

#include "../log.h"

static int64_t get_time_left(const GateTask *task);
static void log_unasked(const GateTask *task, const AnswerEndRestState *state);
static AnswerEndStep judge(const GateTask *task, AnswerEndRest rest);

void
StreamRest_Prepare(const GateTask *task, const TaskCall *call)
{
    if (task->route->can_resume && call->events > 0 && !call->worker->is_vm) {
        TaskBudget_Want(task, ANSWER_END_REST_RESERVE + 1,
                        ANSWER_END_SETTLE_US);
    }
}

bool
StreamRest_Begin(GateTask *task, void (*on_data)(void *, const void *, size_t),
                 void (*on_end)(void *, ClientOutcome))
{
    FleetWorker *worker = task->current->worker;
    int64_t now_us = Task_Now(task);
    AnswerEndRestState state = {
        .is_resumable = task->route->can_resume,
        .has_events = task->current->events > 0,
        .is_ready =
            Fleet_IsReady(worker, now_us) && !Fleet_IsLeaving(worker) &&
            Notice_GetUse(&worker->notice, now_us) == NOTICE_OPEN &&
            !Throttle_IsLimited(&worker->throttle) && Grace_IsEnough(task, 0),
        .has_connection =
            !worker->is_vm && Task_HasConnection(task, worker, UINT32_MAX),
        .budget = TaskBudget_GetLeft(task),
        .sends_left = RETRY_SENDS_MAX - MIN(task->sends, RETRY_SENDS_MAX),
        .left_us = get_time_left(task),
    };
    GateCallOptions options = {.last_event = task->last_event};

    if (!AnswerEnd_MayAskRest(&state)) {
        if (state.is_resumable && state.has_events) {
            log_unasked(task, &state);
        }
        return false;
    }
    Fleet_Ref(worker);
    Task_EndCall(task);
    options.worker = worker->entry.id;
    Sse_Reset(&task->current->sse);
    Met_Add(MET_RESTS_ASKED, 1);
    Task_BeginCall(task, worker, &options, UINT32_MAX, on_data, on_end);
    task->current->asks_rest = true;
    Fleet_Unref(worker);
    task->step_deadline_us = now_us + state.left_us;
    Task_SetTimer(task);
    return true;
}

bool
StreamRest_IsAsked(const GateTask *task)
{
    return task->current->asks_rest && task->current->events == 0;
}

AnswerEndStep
StreamRest_JudgeEnd(const GateTask *task, ClientOutcome outcome)
{
    const TaskCall *current = task->current;
    AnswerEndRest rest = ANSWER_END_REST_REFUSED;

    if (outcome != CLIENT_COMPLETE) {
        rest = ANSWER_END_REST_LOST;
    }
    else if (current->reply.misdirected) {
        rest = ANSWER_END_REST_OTHER;
    }
    else if (Task_HasAnswer(current, outcome) &&
             current->reply.status == 200) {
        rest = ANSWER_END_REST_EMPTY;
    }
    return judge(task, rest);
}

AnswerEndStep
StreamRest_JudgeLate(const GateTask *task)
{
    return judge(task, ANSWER_END_REST_LATE);
}

/* Returns how long the question may take: the caller leaves after a time
   without an event, and at the deadline. */
static int64_t
get_time_left(const GateTask *task)
{
    int64_t patience_us = AnswerEnd_GetPatience(
        true, false, (int64_t)task->route->slo_ms * CLK_US_PER_MS,
        (int64_t)task->route->gap_ms * CLK_US_PER_MS);
    int64_t end_us = MIN(task->last_event_us + patience_us,
                         task->deadline_us - ANSWER_END_CALLER_MARGIN_US);

    return MIN(end_us - Task_Now(task), ANSWER_END_REST_MAX_US);
}

static void
log_unasked(const GateTask *task, const AnswerEndRestState *state)
{
    Log_WriteJson(LOG_LEVEL_INFO, "stream_rest_unasked",
                  json_pack("{s:s,s:s,s:b,s:b,s:i,s:i,s:I,s:I}", "request",
                            task->request.id, "worker", task->worker, "ready",
                            (int)state->is_ready, "connection",
                            (int)state->has_connection, "budget",
                            (int)state->budget, "sends_left",
                            (int)state->sends_left, "left_us",
                            (json_int_t)state->left_us, "last_event",
                            (json_int_t)task->last_event));
}

static AnswerEndStep
judge(const GateTask *task, AnswerEndRest rest)
{
    static const char *const names[] = {"empty", "refused", "late", "lost",
                                        "other worker"};
    AnswerEndStep step = AnswerEnd_JudgeRest(rest);

    Log_WriteJson(
        LOG_LEVEL_INFO, "stream_rest",
        json_pack("{s:s,s:s,s:s,s:b,s:I,s:I}", "request", task->request.id,
                  "worker", task->worker, "rest", names[rest], "complete",
                  (int)(step == ANSWER_END_COMPLETE), "last_event",
                  (json_int_t)task->last_event, "after_us",
                  (json_int_t)(Task_Now(task) - task->last_event_us)));
    return step;
}
