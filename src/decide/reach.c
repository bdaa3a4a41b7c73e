/* Reach: whether a VM is cut off from a service. See reach.h. */
#include "reach.h"

void
Reach_AddWorker(Reach *reach, const ReachWorker *worker)
{
    if (worker->heard_us > reach->heard_us) {
        reach->heard_us = worker->heard_us;
    }
    if (worker->vain_us > reach->vain_us[0]) {
        reach->vain_us[1] = reach->vain_us[0];
        reach->vain_us[0] = worker->vain_us;
    }
    else if (worker->vain_us > reach->vain_us[1]) {
        reach->vain_us[1] = worker->vain_us;
    }
}

bool
Reach_IsCut(const Reach *reach)
{
    return reach->vain_us[REACH_VAIN_MIN - 1] > reach->heard_us;
}
