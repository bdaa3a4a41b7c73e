/* Notice: what a worker says of itself. See notice.h. */
#include "notice.h"

void
Notice_NoteLeaving(NoticeState *state, int64_t serve_us, int64_t now_us)
{
    if (state->leaving) {
        return;
    }
    state->leaving = true;
    state->leave_deadline_us = now_us + serve_us - NOTICE_SEND_MARGIN_US;
}

void
Notice_NoteTold(NoticeState *state, int64_t serve_us, int64_t now_us)
{
    int64_t deadline_us = now_us + serve_us - NOTICE_SEND_MARGIN_US;

    if (now_us >= state->told_until_us ||
        deadline_us < state->told_deadline_us) {
        state->told_deadline_us = deadline_us;
    }
    state->told_until_us = now_us + NOTICE_TOLD_US;
}

bool
Notice_IsLeaving(const NoticeState *state, int64_t now_us)
{
    return state->leaving || now_us < state->told_until_us;
}

int64_t
Notice_GetLeft(const NoticeState *state, int64_t now_us)
{
    int64_t left_us = INT64_MAX;

    if (state->leaving) {
        left_us = state->leave_deadline_us - now_us;
    }
    if (now_us < state->told_until_us &&
        state->told_deadline_us - now_us < left_us) {
        left_us = state->told_deadline_us - now_us;
    }
    return left_us;
}

void
Notice_NotePause(NoticeState *state, int64_t pause_us, int64_t now_us)
{
    int64_t until_us =
        now_us +
        (pause_us < NOTICE_PAUSE_MAX_US ? pause_us : NOTICE_PAUSE_MAX_US);

    if (until_us > state->paused_until_us) {
        state->paused_until_us = until_us;
    }
    state->trials_max = 1;
}

bool
Notice_IsPaused(const NoticeState *state, int64_t now_us)
{
    return now_us < state->paused_until_us;
}

bool
Notice_BeginTrial(NoticeState *state)
{
    if (state->trials_max == 0) {
        return false;
    }
    state->trials++;
    return true;
}

void
Notice_EndTrial(NoticeState *state, bool accepted)
{
    /* The worker may have been started anew since. */
    if (state->trials == 0) {
        return;
    }
    state->trials--;
    if (accepted && state->trials_max > 0) {
        state->trials_max *= 2;
        if (state->trials_max > NOTICE_TRIALS_MAX) {
            state->trials_max = 0;
        }
    }
}

NoticeUse
Notice_GetUse(const NoticeState *state, int64_t now_us)
{
    if (Notice_IsPaused(state, now_us) ||
        (state->trials_max > 0 && state->trials >= state->trials_max)) {
        return NOTICE_CLOSED;
    }
    if (!Notice_IsLeaving(state, now_us)) {
        return NOTICE_OPEN;
    }
    return Notice_GetLeft(state, now_us) > 0 ? NOTICE_LAST_RESORT
                                             : NOTICE_CLOSED;
}
