/* Clock (Clk_): reads the monotonic clock of a process, in microseconds. Tests
   pause it and advance it by hand. The coordination parts read the time only
   through it. */
#ifndef LS_CLOCK_H
#define LS_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

#define CLK_US_PER_MS INT64_C(1000)
#define CLK_US_PER_S INT64_C(1000000)

/* `paused_us` is the time of a paused clock. */
typedef struct Clk {
    bool paused;
    int64_t paused_us;
} Clk;

Clk Clk_Default(void);                     /* Returns a running clock. */
void Clk_Pause(Clk *clk, int64_t now_us);  /* Stops it at now_us. */
void Clk_Advance(Clk *clk, int64_t by_us); /* Works on a paused clock only. */
int64_t Clk_Now(const Clk *clk);           /* Returns microseconds. */
/* Returns the time for which the machine was suspended since its start, in
   microseconds: the clock does not count it. 0 for a paused clock. */
int64_t Clk_GetSuspended(const Clk *clk);

#endif
