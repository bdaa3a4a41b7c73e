/* Decision on retries. See retry.h. */
#include "retry.h"

RtyNext
Rty_Decide(const RtyInput *input)
{
    bool may_have_run = input->run != LS_RUN_NOT_RUN || input->ran_before;
    bool allowed =
        !may_have_run || (input->repeatable && input->runs < input->attempts);

    if (allowed && input->candidate && input->budget &&
        input->sends < RTY_SENDS_MAX && input->left_ms >= RTY_LEFT_MIN_MS) {
        return RTY_ELSEWHERE;
    }
    if (input->has_answer && input->run != LS_RUN_NOT_RUN) {
        return RTY_PASS;
    }
    return may_have_run ? RTY_FAIL : RTY_REFUSE;
}
