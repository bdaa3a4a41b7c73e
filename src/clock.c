#include "clock.h"

#include <glib.h>

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
