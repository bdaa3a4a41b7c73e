/* Stream events: passes the events of a run on to the caller, complete ones
   only, and finds runs whose bytes bring none. */
#ifndef LS_STREAM_EVENTS_H
#define LS_STREAM_EVENTS_H

#include "task.h"

/* Whether a complete event is there that the caller does not have. */
bool StreamEvents_HasNext(const GateTask *task, Sse *sse);
/* Sends the caller the complete events. Returns false if the worker skipped an
   event, or sends bytes without end. */
bool StreamEvents_Forward(GateTask *task);
/* Whether the stream's bytes bring no new event. */
bool StreamEvents_IsEndless(const TaskCall *call);
/* Updates the mean interval between events at the end of a stream. */
void StreamEvents_UpdateInterval(GateTask *task);

#endif
