/* Engine orders (Ord_): tells engines which model version to load and which
   role to take. An order states a target of the configuration in force, and
   the configuration's version is its fencing number: an engine that checks it
   refuses orders of older configurations. */
#ifndef LS_ORDER_H
#define LS_ORDER_H

#include "board.h"

/* Interval of the comparisons of targets with what engines have loaded. */
#define ORD_CHECK_US CLK_US_PER_S
/* Time that a new home waits before it orders engines that ignore fencing
   numbers. */
#define ORD_NEW_HOME_WAIT_US (10 * CLK_US_PER_S)

typedef struct Ord Ord;

Ord *Ord_New(void);
void Ord_Free(Ord *ord);
/* Handles an engine's report of what it has loaded; "" if nothing. */
void Ord_OnReport(Board *board, const char *upstream, const char *loaded);
void Ord_OnTick(Board *board);

#endif
