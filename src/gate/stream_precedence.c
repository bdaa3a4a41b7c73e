/* Stream precedence: new streams while capacity is lacking. See
   stream_precedence.h. */
#include "stream_precedence.h"
#include "stream.h"

static bool is_new(const GateTask *task);

void
StreamPrecedence_NoteTimely(GateTask *task)
{
    if (!is_new(task) || task->waiting_since_us != 0 || task->sends != 0) {
        return;
    }
    AccountLoad_NoteRoom(task, task->lacks_room);
    if (!task->is_retry) {
        Precedence_NoteTimely(Task_GetPrecedence(task), task->lacks_room,
                              Task_Now(task));
    }
}

bool
StreamPrecedence_MayTakeRoom(const GateTask *task)
{
    return !task->is_retry || !is_new(task) ||
           Precedence_MayBeLate(Task_GetPrecedence(task), Task_Now(task));
}

bool
StreamPrecedence_MayBegin(const GateTask *task, int64_t expected_us)
{
    int64_t now_us = Task_Now(task);
    int64_t slo_us = (int64_t)task->route->slo_ms * CLK_US_PER_MS;

    return slo_us == 0 || task->is_retry || !is_new(task) ||
           now_us + expected_us - task->began_us <= slo_us ||
           Precedence_MayBeLate(Task_GetPrecedence(task), now_us);
}

/* Whether nothing has been done for the request yet. */
static bool
is_new(const GateTask *task)
{
    return !Stream_HasBegun(task) && task->last_event == GATE_NO_EVENT &&
           task->runs == 0 && !task->prefilled;
}
