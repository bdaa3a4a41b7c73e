/* Stream, internal part: what stream.c shares with the other modules of a
   stream. The functions for modules beyond are in task.h. */
#ifndef LS_STREAM_H
#define LS_STREAM_H

#include "task.h"

/* Time for which a full worker is not called again: the likely time until one
   of its streams ends. */
#define STREAM_FULL_BACKOFF_US (60 * CLK_US_PER_MS)

/* Whether the caller has a part of its answer, or a worker may be making it.
   Then all workers stay candidates as long as the caller waits. */
bool Stream_HasBegun(const GateTask *task);
/* Begins the next step: the reservation at a decode worker, the prefill at a
   prefill worker, or the run. The reservation comes first, as the KV memory of
   a prompt expires if no decode worker has memory for it. */
void Stream_Advance(GateTask *task);
/* Continues after a failed call: with another worker if the route and the
   budget allow it and there is one, or else ends the task. */
void Stream_RetryOrEnd(GateTask *task, LsRun run, bool has_answer);
/* Sets the step's deadline after progress of the run. */
void Stream_ExpectProgress(GateTask *task);
/* Adds a sample to a moving mean, which is 0 before the first one. */
void Stream_UpdateMean(double *mean, double sample);

#endif
