/* Answer end: whether an answer without framing is complete. See
   answer_end.h. */
#include "answer_end.h"

AnswerEndStep
AnswerEnd_Decide(const AnswerEndState *state)
{
    bool is_over = state->is_paused || state->waited_us >= ANSWER_END_MAX_US ||
                   state->failures >= ANSWER_END_FAILURES_MAX;

    switch (state->reply) {
    case ANSWER_END_NOT_ASKED:
    case ANSWER_END_NO_REPLY:
    case ANSWER_END_FAILED:
        break;
    case ANSWER_END_SAME_START:
        return ANSWER_END_COMPLETE;
    case ANSWER_END_OTHER_WORKER:
        return ANSWER_END_BROKEN;
    case ANSWER_END_OTHER_START:
        /* The entry may be behind the worker. */
        if (state->is_older_connection) {
            return ANSWER_END_COMPLETE;
        }
        is_over = true;
        break;
    case ANSWER_END_TELLS_NO_START:
        if (state->is_older_connection && !state->knows_start) {
            return ANSWER_END_COMPLETE;
        }
        is_over |= !state->is_older_connection;
        break;
    case ANSWER_END_TURNED_AWAY:
        /* A refusal may be a late one of another call. */
        is_over |= !state->is_stream && !state->is_older_connection;
        break;
    }
    if (state->has_older_connection && !state->is_paused &&
        state->waited_us < ANSWER_END_MAX_US) {
        return ANSWER_END_ASK_OLDER;
    }
    if (!is_over) {
        return state->reply == ANSWER_END_NOT_ASKED ||
                       state->is_older_connection
                   ? ANSWER_END_ASK
                   : ANSWER_END_ASK_AGAIN;
    }
    return !state->is_stream && !state->is_older_broken &&
                   (state->has_responded || state->is_paused)
               ? ANSWER_END_AS_RECEIVED
               : ANSWER_END_BROKEN;
}
