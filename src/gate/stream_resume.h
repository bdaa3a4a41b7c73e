/* Stream resume: finds the software version at which a stream that its caller
   resumes may go on (see decide/resumption.h). */
#ifndef LS_STREAM_RESUME_H
#define LS_STREAM_RESUME_H

#include "task.h"

/* Binds the stream to its version and goes on with Stream_Advance(), waits to
   be called again at the step's timeout, or refuses the request. */
void StreamResume_Advance(GateTask *task);
/* Binds a stream that has begun by way of another VM to the version that the
   other VM told, if it is known by now. */
void StreamResume_Recall(GateTask *task);
/* Binds the stream to the version of the current call's worker, whose first
   event is about to be sent, and tells the other VMs. */
void StreamResume_NoteBegun(GateTask *task);

#endif
