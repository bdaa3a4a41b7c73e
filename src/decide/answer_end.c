/* Answer end: whether an answer without framing is complete. See
   answer_end.h. */
#include "answer_end.h"

int64_t
AnswerEnd_GetPatience(bool is_stream, bool may_go_on, int64_t slo_us,
                      int64_t gap_us)
{
    int64_t caller_us = ANSWER_END_CALLER_US;

    if (!is_stream || may_go_on) {
        return ANSWER_END_MAX_US;
    }
    if (caller_us < ANSWER_END_CALLER_SLOS * slo_us) {
        caller_us = ANSWER_END_CALLER_SLOS * slo_us;
    }
    if (caller_us < ANSWER_END_CALLER_GAPS * gap_us) {
        caller_us = ANSWER_END_CALLER_GAPS * gap_us;
    }
    return caller_us - ANSWER_END_CALLER_MARGIN_US;
}

int64_t
AnswerEnd_GetSettleTime(bool is_stream)
{
    return is_stream ? ANSWER_END_SETTLE_US : 0;
}

AnswerEndStep
AnswerEnd_Decide(const AnswerEndState *state)
{
    AnswerEndStep complete = state->asked_us < state->settle_us
                                 ? ANSWER_END_CONFIRM
                                 : ANSWER_END_COMPLETE;
    bool is_late = state->waited_us >= state->patience_us;
    bool may_ask =
        !state->is_paused || (state->is_pause_long && state->is_stream &&
                              (state->reply == ANSWER_END_NOT_ASKED ||
                               state->reply == ANSWER_END_REFUSED_AGAIN) &&
                              state->waited_us >= state->settle_us);
    bool is_over = is_late || state->failures >= ANSWER_END_FAILURES_MAX ||
                   (state->is_paused && !state->is_stream);

    switch (state->reply) {
    case ANSWER_END_NOT_ASKED:
    case ANSWER_END_NO_REPLY:
    case ANSWER_END_FAILED:
    case ANSWER_END_REFUSED_AGAIN:
        break;
    case ANSWER_END_SAME_START:
    case ANSWER_END_REFUSED_ANEW:
        return complete;
    case ANSWER_END_OTHER_WORKER:
        return ANSWER_END_BROKEN;
    case ANSWER_END_OTHER_START:
        /* The entry may be behind the worker. */
        if (state->is_older_connection) {
            return complete;
        }
        is_over = true;
        break;
    case ANSWER_END_TELLS_NO_START:
        if (state->is_older_connection && !state->knows_start) {
            return complete;
        }
        is_over |= !state->is_older_connection;
        break;
    case ANSWER_END_TURNED_AWAY:
        /* A refusal may be a late one of another call. */
        is_over |= !state->is_stream && !state->is_older_connection;
        break;
    }
    if (state->has_older_connection && !state->is_older_useless && may_ask &&
        !is_late) {
        return ANSWER_END_ASK_OLDER;
    }
    if (is_over && state->has_busy_older && !state->is_older_useless &&
        !is_late && state->is_stream &&
        (state->reply == ANSWER_END_OTHER_START ||
         state->reply == ANSWER_END_TELLS_NO_START)) {
        return ANSWER_END_WAIT;
    }
    if (state->is_paused && !state->is_stream && !state->is_older_broken &&
        state->reply == ANSWER_END_NOT_ASKED &&
        state->waited_us < ANSWER_END_PAUSE_US &&
        (state->has_older_connection || state->has_busy_older)) {
        /* If the process ended, they end within a moment. */
        return ANSWER_END_WAIT;
    }
    if (!is_over) {
        bool is_first =
            state->reply == ANSWER_END_NOT_ASKED || state->is_older_connection;
        return is_first && !state->is_paused ? ANSWER_END_ASK
                                             : ANSWER_END_ASK_AGAIN;
    }
    return !state->is_stream && !state->is_older_broken &&
                   (state->has_responded || state->is_paused)
               ? ANSWER_END_AS_RECEIVED
               : ANSWER_END_BROKEN;
}

AnswerEndReply
AnswerEnd_JudgeRefusal(uint32_t since, uint32_t before)
{
    if (since > before) {
        return ANSWER_END_REFUSED_ANEW;
    }
    return before <= ANSWER_END_COPIES_MAX ? ANSWER_END_REFUSED_AGAIN
                                           : ANSWER_END_TURNED_AWAY;
}

bool
AnswerEnd_MayAskRest(const AnswerEndRestState *state)
{
    return state->is_resumable && state->has_events && state->is_ready &&
           state->has_connection && state->budget > ANSWER_END_REST_RESERVE &&
           state->sends_left > 0 && state->left_us >= ANSWER_END_REST_MIN_US;
}

AnswerEndStep
AnswerEnd_JudgeRest(AnswerEndRest rest)
{
    return rest == ANSWER_END_REST_LOST || rest == ANSWER_END_REST_OTHER
               ? ANSWER_END_BROKEN
               : ANSWER_END_COMPLETE;
}
