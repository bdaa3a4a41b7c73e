/* Crash check: finds out whether a worker crashed when a call to it broke or
   fell silent, and notes what the call's request had in common with others as
   suspects if it did. A new connection to the worker is refused if it crashed.
   If it is accepted, the worker has lost connections only, or has started
   again already; which of them is shown by its entry in the source some time
   later. If it is not answered, the worker or the network between has failed:
   that counts for requests which had reached the worker, and only for what
   belongs to them alone, since a failed network breaks many. */
#ifndef LS_CRASH_CHECK_H
#define LS_CRASH_CHECK_H

#include "task.h"

/* Identify one start of a worker: that of its entry, and the one of its entry
   as a call began. */
uint64_t CrashCheck_GetStart(const FleetWorker *worker);
uint64_t CrashCheck_GetCallStart(const TaskCall *call);
/* Begins a check of the worker of the task's call, which broke or, if it is
   still in progress, fell silent. */
void CrashCheck_Begin(GateTask *task, SuspectsWeight weight);
/* Whether it is not yet known whether this start of a worker refuses
   connections. */
bool CrashCheck_IsPending(const Gate *gate, uint64_t start);
void CrashCheck_EndAll(Gate *gate); /* Cancels all checks. */

#endif
