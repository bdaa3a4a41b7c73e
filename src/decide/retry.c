/* Retry: decision on what follows a failed call. See retry.h. */
#include "retry.h"

RetryNext
Retry_Decide(const RetryInput *input)
{
    bool may_have_run = input->run != LS_RUN_NOT_RUN || input->ran_before;
    bool allowed =
        !may_have_run || (input->repeatable && input->runs < input->attempts);

    if (allowed && input->has_candidate && input->has_budget &&
        input->sends < RETRY_SENDS_MAX &&
        input->left_ms >= RETRY_LEFT_MIN_MS) {
        return RETRY_ELSEWHERE;
    }
    if (input->has_answer && input->run != LS_RUN_NOT_RUN) {
        return RETRY_PASS;
    }
    return may_have_run ? RETRY_FAIL : RETRY_REFUSE;
}
