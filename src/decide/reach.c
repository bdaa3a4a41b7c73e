/* Reach: whether a VM is cut off from a service. See reach.h. */
#include "reach.h"

void
Reach_AddWorker(Reach *reach, const ReachWorker *worker)
{
    if (worker->heard_us > reach->heard_us) {
        reach->heard_us = worker->heard_us;
    }
    if (worker->unanswered_us > reach->unanswered_us[0]) {
        reach->unanswered_us[1] = reach->unanswered_us[0];
        reach->unanswered_us[0] = worker->unanswered_us;
    }
    else if (worker->unanswered_us > reach->unanswered_us[1]) {
        reach->unanswered_us[1] = worker->unanswered_us;
    }
}

bool
Reach_IsCut(const Reach *reach)
{
    return reach->unanswered_us[REACH_UNANSWERED_MIN - 1] > reach->heard_us;
}
