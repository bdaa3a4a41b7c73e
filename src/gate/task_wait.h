/* Task wait: lets a stream wait until a worker has capacity for it. */
#ifndef LS_TASK_WAIT_H
#define LS_TASK_WAIT_H

#include "task.h"

/* Schedules the next poll for capacity, or aborts the task with this cause if
   its wait is over or the gate is shutting down. A stream that has begun polls
   until its deadline, and a task with a silent call while that is open. */
void TaskWait_BeginWait(GateTask *task, const char *cause);
/* Takes the task out of its service's queue, if it is in there. */
void TaskWait_EndWait(GateTask *task, AdmissionWaitEnd end);

#endif
