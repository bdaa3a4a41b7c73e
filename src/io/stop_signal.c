/* Stop signal: times of the signal that stops a process. See stop_signal.h. */
#include "stop_signal.h"

#include "../clock.h"

#include <signal.h>
#include <stdatomic.h>
#include <time.h>

/* A longer wait for the signal is taken for an idle one. */
#define STOP_SIGNAL_LATE_MAX_US (3 * CLK_US_PER_S)

static atomic_int_fast64_t awake_us; /* When the loop last began to wait. */
static atomic_int_fast64_t sent_min_us;
static atomic_int_fast64_t handled_us;
static struct sigaction event_action; /* The event loop's own handler. */

static int64_t read_clock(void);
static void on_signal(int number);

void
StopSignal_Watch(const struct event *signal_event)
{
    int number = event_get_signal(signal_event);
    struct sigaction action;

    sigaction(number, NULL, &event_action);
    action = event_action;
    action.sa_handler = on_signal;
    atomic_store(&awake_us, read_clock());
    sigaction(number, &action, NULL);
}

void
StopSignal_RunLoop(struct event_base *base)
{
    int status = 0;

    while (status == 0 && !event_base_got_exit(base)) {
        atomic_store(&awake_us, read_clock());
        status = event_base_loop(base, EVLOOP_ONCE);
    }
}

StopSignalTimes
StopSignal_GetTimes(void)
{
    StopSignalTimes times = {
        .sent_min_us = atomic_load(&sent_min_us),
        .handled_us = atomic_load(&handled_us),
    };

    return times;
}

/* Like Clk_Now(), but may be called by a signal handler. */
static int64_t
read_clock(void)
{
    struct timespec now = {0};

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * CLK_US_PER_S + now.tv_nsec / 1000;
}

static void
on_signal(int number)
{
    if (atomic_load(&handled_us) == 0) {
        int64_t now_us = read_clock();
        int64_t earliest_us = now_us - STOP_SIGNAL_LATE_MAX_US;
        int64_t last_us = atomic_load(&awake_us);

        atomic_store(&sent_min_us,
                     last_us > earliest_us ? last_us : earliest_us);
        atomic_store(&handled_us, now_us);
    }
    event_action.sa_handler(number);
}
