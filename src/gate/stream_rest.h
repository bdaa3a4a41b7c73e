/* Stream rest: asks the worker of a stream that has ended with its connection
   whether it has more events, as decide/answer_end says. The question is a run
   at that worker, which goes on with the stream if events are left. */
#ifndef LS_STREAM_REST_H
#define LS_STREAM_REST_H

#include "../decide/answer_end.h"
#include "task.h"

/* The check of the call's end begins, after which the question may follow:
   borrows what it needs of the retry budget meanwhile. */
void StreamRest_Prepare(const GateTask *task, const TaskCall *call);
/* Begins the question in place of the ended call task->current, whose worker
   goes on. Returns false if it can't be asked: the call stays as it is. */
bool StreamRest_Begin(GateTask *task,
                      void (*on_data)(void *, const void *, size_t),
                      void (*on_end)(void *, ClientOutcome));
/* Whether the question is in progress: no event has come so far. */
bool StreamRest_IsAsked(const GateTask *task);
/* Judges the end of the question, without an event, and logs it. */
AnswerEndStep StreamRest_JudgeEnd(const GateTask *task, ClientOutcome outcome);
/* The same for a question that brought nothing in time. */
AnswerEndStep StreamRest_JudgeLate(const GateTask *task);

#endif
