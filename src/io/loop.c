#include "loop.h"

#include "../clock.h"

void
Loop_ArmTimer(struct event *timer, uint32_t ms)
{
    Loop_ArmTimerUs(timer, ms * CLK_US_PER_MS);
}

void
Loop_ArmTimerUs(struct event *timer, int64_t us)
{
    int64_t delay_us = us > 0 ? us : 0;
    struct timeval after = {.tv_sec = delay_us / CLK_US_PER_S,
                            .tv_usec = delay_us % CLK_US_PER_S};

    evtimer_add(timer, &after);
}
