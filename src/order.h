/* Engine orders (Ord_): orders engines to load a model version and to take a
   role. An order states a target of the configuration in force, and the
   configuration's version is its fencing number: an engine that checks it
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
/* Handles an engine's report of its loaded model version; "" if none. */
void Ord_OnReport(Board *board, const char *upstream, const char *loaded);
/* Sends orders to the engines whose reports differ from their targets. */
void Ord_OnTick(Board *board);

#endif
