/* Successor: keeps a silent call of a task open while another worker is
   prepared to take the request over (see decide/handover.h). Meanwhile
   task->silent is the silent call, and task->current is the reservation,
   prefill or run at the other worker. */
#ifndef LS_SUCCESSOR_H
#define LS_SUCCESSOR_H

#include "../decide/handover.h"
#include "task.h"

/* Whether the task may call another worker while its call may be running: the
   route allows a repeat, and none is being prepared. */
bool Successor_IsAllowed(const GateTask *task);
/* Makes the call silent, and frees task->current for its successor. The silent
   worker is excluded from the task's choices. */
void Successor_Begin(GateTask *task);
/* Gives up the successor: the silent call is the current one again. */
void Successor_Cancel(GateTask *task);
/* Gives up the silent call, as its successor has taken the request over or as
   it has ended. `run`, `cause` as in Task_NoteFailure(). */
void Successor_TakeOver(GateTask *task, ClientOutcome outcome, LsRun run,
                        const char *cause);
/* Ends the silent call, if there is one, as the task ends. */
void Successor_EndSilent(GateTask *task);
/* Exchanges the silent and the current call, for functions that work on the
   current one. */
void Successor_SwapCalls(GateTask *task);
/* Decides what follows for a call that has been silent for its limit. */
HandoverStep Successor_Decide(const GateTask *task, bool has_progress,
                              bool has_ended);

#endif
