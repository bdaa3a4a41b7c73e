#include "clock.h"

#include <glib.h>
#include <time.h>

static int64_t read_clock(clockid_t id);

Clk
Clk_Default(void)
{
    Clk clk = {0};
    return clk;
}

void
Clk_Pause(Clk *clk, int64_t now_us)
{
    clk->paused = true;
    clk->paused_us = now_us;
}

void
Clk_Advance(Clk *clk, int64_t by_us)
{
    clk->paused_us += by_us;
}

int64_t
Clk_Now(const Clk *clk)
{
    return clk->paused ? clk->paused_us : g_get_monotonic_time();
}

int64_t
Clk_GetSuspended(const Clk *clk)
{
    return clk->paused
               ? 0
               : read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC);
}

static int64_t
read_clock(clockid_t id)
{
    struct timespec ts = {0};

    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * CLK_US_PER_S + ts.tv_nsec / 1000;
}
