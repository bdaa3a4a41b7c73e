/* Stream precedence: whether a stream for which nothing has been done yet may
   use capacity, while requests that can meet their objective lack some
   (decide/precedence.h). Streams that were begun or resumed always may. */
#ifndef LS_STREAM_PRECEDENCE_H
#define LS_STREAM_PRECEDENCE_H

#include "task.h"

/* Notes whether a first try finds room when it comes. */
void StreamPrecedence_NoteTimely(GateTask *task);
/* Whether the task may take room that a request in time could use. */
bool StreamPrecedence_MayTakeRoom(const GateTask *task);
/* Whether the task may begin now: its first event is expected after the given
   time, and may be late. */
bool StreamPrecedence_MayBegin(const GateTask *task, int64_t expected_us);

#endif
