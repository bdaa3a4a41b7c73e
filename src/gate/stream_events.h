/* Stream events: passes the events of a run on to the caller, complete ones
   only, and finds runs whose bytes bring none. */
#ifndef LS_STREAM_EVENTS_H
#define LS_STREAM_EVENTS_H

#include "task.h"

/* Whether a complete event is there that the caller does not have. */
bool StreamEvents_HasNext(const GateTask *task, TaskCall *call);
/* Begins the caller's stream with the header of the current run, if it has not
   begun. Returns false if the run is of another version. */
bool StreamEvents_Begin(GateTask *task);
/* Sends the caller the complete events. Returns false if the run's bytes are
   malformed. */
bool StreamEvents_Forward(GateTask *task);
/* Whether an event was out of order, or the bytes bring no new event. */
bool StreamEvents_IsMalformed(const TaskCall *call);
/* Updates the mean interval between events at the end of a stream. */
void StreamEvents_UpdateInterval(GateTask *task);

#endif
