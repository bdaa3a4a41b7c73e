/* End check: finds out whether an answer that ended with its connection is
   complete. It asks the worker for its state, as decide/answer_end says. The
   call's fields stay valid meanwhile. */
#ifndef LS_END_CHECK_H
#define LS_END_CHECK_H

#include "../decide/answer_end.h"
#include "task.h"

/* Whether the ended call has an answer that only the end of its connection
   ended, and whose end must be checked. */
bool EndCheck_IsNeeded(const TaskCall *call, ClientOutcome outcome);
/* Begins the check. `on_checked` gets ANSWER_END_COMPLETE,
   ANSWER_END_AS_RECEIVED or ANSWER_END_BROKEN; the check is freed before. No
   callback runs before the return. */
void EndCheck_Begin(TaskCall *call,
                    void (*on_checked)(TaskCall *call, AnswerEndStep step));
/* Asks the worker of an answer that has begun without framing for its start,
   if a connection is there that is older than the call. The worker's entry may
   be behind, and that connection may be closed when the answer ends. */
void EndCheck_LearnStart(TaskCall *call);
/* Cancels the call's check, if there is one; no callback follows. */
void EndCheck_Cancel(TaskCall *call);

#endif
