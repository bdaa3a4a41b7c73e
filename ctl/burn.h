/* Burn report (Burn_): merges the service-level counts of several VMs and
   computes how fast each customer's error budget is consumed. */
#ifndef CTL_BURN_H
#define CTL_BURN_H

#include <jansson.h>
#include <stdbool.h>

/* Burn rate at which the error budget lasts exactly for the window. */
#define BURN_RATE_ALERT 1.0

/* Adds one VM's counts, in the form of /v1/burn, to the merged counts. */
void Burn_Merge(json_t *merged, const json_t *counts);
/* Returns the rows of the report, highest burn rate first; json_decref the
   result. Each row has customer, target, window_s, total, bad, burn_rate and
   budget_left (the remaining share of the window's error budget). */
json_t *Burn_ListRows(const json_t *merged);
/* Returns whether any row's burn rate exceeds BURN_RATE_ALERT. `rows` must be
   sorted as by Burn_ListRows. */
bool Burn_IsAlert(const json_t *rows);
/* Prints the rows as a table to standard output. */
void Burn_PrintRows(const json_t *rows);

#endif
