/* Blame: keeps requests away from workers when they crash workers. What
   crashes them is a part of the prompt, or the request itself, which comes
   again from its caller or a VM. */
#ifndef LS_BLAME_H
#define LS_BLAME_H

#include "task.h"

/* What may be the cause of crashes under a request, for decide/suspects: the
   shared parts of its prompt, then what belongs to it alone. */
typedef struct BlameCauses {
    const uint64_t *ids; /* The task owns them. */
    uint32_t count;
    uint32_t own_count; /* The last ones, which belong to it alone. */
} BlameCauses;

BlameCauses Blame_GetCauses(GateTask *task);
/* Returns when a blocked request may be let through. */
int64_t Blame_GetProbeTime(GateTask *task);
/* Whether the request doesn't crash workers, as far as is known. Otherwise
   ends the task, or lets it wait for the check of its last worker. */
bool Blame_IsAllowed(GateTask *task);
/* Begins a check of the worker if the call broke as its answer began, or
   before an answer that comes as a whole. */
void Blame_NoteBreak(GateTask *task, ClientOutcome outcome, LsRun run);
/* Begins a check of the worker, which answers no call of this VM any more,
   unless it had begun to write the answer to this one. */
void Blame_NoteSilent(GateTask *task);
/* Notes that the answer goes on, or has ended, without a crash. */
void Blame_NoteSound(GateTask *task);

#endif
