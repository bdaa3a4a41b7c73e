/* Grace: applies the decision of decide/drain.h to the requests of a VM that
   stops, and reports for each planned stop what was taken, refused and cut. */
#ifndef LS_GRACE_H
#define LS_GRACE_H

#include "task.h"

/* Begins a planned stop: the remaining requests are ended at `end_us`. */
void Grace_Begin(Gate *gate, int64_t end_us);
/* Whether the rest of the grace is enough for the request. `expected_us` is
   the estimate up to the first byte of the answer at the worker to be called,
   or 0 if none is chosen yet. Always before a stop. */
bool Grace_IsEnough(const GateTask *task, int64_t expected_us);
/* The same; refuses the request if not. */
bool Grace_MayBegin(GateTask *task, int64_t expected_us);
/* Notes the time that a plain call took. */
void Grace_NoteCall(const GateTask *task, int64_t took_us);
/* Notes the times of a stream that has ended. */
void Grace_NoteStream(const GateTask *task);
/* Counts the end of a request. */
void Grace_NoteEnd(GateTask *task);
/* Counts the requests that are about to be ended without an answer. */
void Grace_NoteCut(Gate *gate);
/* Logs each request in progress. */
void Grace_LogRequests(const Gate *gate);
/* Logs the counts of the stop. */
void Grace_LogCount(const Gate *gate);

#endif
