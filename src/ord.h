/* Ord: orders to engines: which model version to load, which role to take.
   Orders are declarative targets of the configuration, and its version is
   their fencing number. */
#ifndef LS_ORD_H
#define LS_ORD_H

#include "board.h"

#define ORD_CHECK_US CLK_US_PER_S /* Between comparisons. */
#define ORD_WAIT_US                                                           \
    (10 * CLK_US_PER_S) /* Before a new home orders engines                   \
                           that ignore fencing numbers. */

typedef struct Ord Ord;

Ord *Ord_New(void);
void Ord_Free(Ord *ord);
/* What an engine reports as loaded; an empty string for nothing. */
void Ord_OnReport(Board *board, const char *upstream, const char *loaded);
void Ord_OnTick(Board *board);

#endif
