/* Resumption: where a stream may go on. See resumption.h. */
#include "resumption.h"

ResumptionStep
Resumption_Decide(const ResumptionState *state)
{
    if (state->has_record) {
        return RESUMPTION_FOLLOW_RECORD;
    }
    switch (state->survey) {
    case RESUMPTION_NOT_ASKED:
        return RESUMPTION_ASK;
    case RESUMPTION_ASKING:
        return RESUMPTION_WAIT;
    case RESUMPTION_KEPT_BY_ONE_VERSION:
        return RESUMPTION_FOLLOW_SURVEY;
    case RESUMPTION_KEPT_BY_NONE:
    case RESUMPTION_CANNOT_ASK:
        return state->versions == 1 && state->have_all_answered
                   ? RESUMPTION_FOLLOW_ONLY
                   : RESUMPTION_REFUSE;
    case RESUMPTION_KEPT_BY_SEVERAL:
        break;
    }
    return RESUMPTION_REFUSE;
}
