/* Loop: helpers for the timers of libevent's event loop. */
#ifndef LS_LOOP_H
#define LS_LOOP_H

#include <event2/event.h>
#include <stdint.h>

/* Both set the timer to run after the given time from now. A negative time
   counts as 0. */
void Loop_ArmTimer(struct event *timer, uint32_t ms);
void Loop_ArmTimerUs(struct event *timer, int64_t us);

#endif
