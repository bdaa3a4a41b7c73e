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

NoticeUse
Notice_GetUse(const NoticeState *state, int64_t now_us)
{
    if (!state->leaving) {
        return NOTICE_OPEN;
    }
    return now_us < state->leave_deadline_us ? NOTICE_LAST_RESORT
                                             : NOTICE_CLOSED;
}
