/* Burn: merges the service-level counts of several VMs into a report. */
#ifndef CTL_BURN_H
#define CTL_BURN_H

#include <jansson.h>
#include <stdbool.h>

#define BURN_RATE_ALERT 1.0 /* Burn rate at which the budget just lasts. */

/* Adds one VM's counts, as /v1/burn gives them, to the merged counts. */
void Burn_Merge(json_t *merged, const json_t *counts);
/* Rows of the report, fastest burner first. Each row has customer, target,
   window_s, total, bad, burn_rate and budget_left (share of the window's
   error budget). */
json_t *Burn_ListRows(const json_t *merged);
/* Whether a row burns its budget faster than it lasts. */
bool Burn_IsAlert(const json_t *rows);
void Burn_PrintRows(const json_t *rows);

#endif
