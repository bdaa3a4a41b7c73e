/* Start: for which start of a worker an answer counts. See start.h. */
#include "start.h"

StartStep
Start_Decide(const StartState *state)
{
    if (state->told_ms == 0) {
        return START_UNKNOWN;
    }
    if (state->told_ms == state->asked_ms) {
        return START_AS_ASKED;
    }
    if (state->told_ms == state->entry_ms) {
        return state->is_same_connection ? START_AS_ENTRY : START_ASK_AGAIN;
    }
    return state->told_ms < state->entry_ms ? START_UNKNOWN : START_WAIT;
}
