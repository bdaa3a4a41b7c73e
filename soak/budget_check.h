/* Budget check (BudgetCheck_): counts the requests for each service of a soak
   test and the arrivals at its workers beyond the first of each request, and
   checks that the latter stay within the retry budget in any window. */
#ifndef LS_BUDGET_CHECK_H
#define LS_BUDGET_CHECK_H

#include <glib.h>
#include <stdint.h>

#define BUDGET_CHECK_SERVICES 2

typedef struct BudgetCheckOptions {
    double ratio; /* Extra arrivals for each request. */
    double slack; /* Extra arrivals in any window. */
    int64_t window_us;
} BudgetCheckOptions;

typedef struct BudgetCheck {
    BudgetCheckOptions options;
    GArray *requests_us[BUDGET_CHECK_SERVICES]; /* Times, ascending. */
    GArray *extras_us[BUDGET_CHECK_SERVICES];
} BudgetCheck;

/* The window of a service that comes closest to its budget, or exceeds it by
   the largest factor. */
typedef struct BudgetCheckWindow {
    guint extras;
    double allowed;
    int64_t to_us; /* End of the window. */
} BudgetCheckWindow;

void BudgetCheck_Init(BudgetCheck *check, const BudgetCheckOptions *options);
void BudgetCheck_Clear(BudgetCheck *check);
/* Times must not go back. */
void BudgetCheck_NoteRequest(BudgetCheck *check, guint service,
                             int64_t now_us);
void BudgetCheck_NoteExtra(BudgetCheck *check, guint service, int64_t now_us);
BudgetCheckWindow BudgetCheck_FindWorst(const BudgetCheck *check,
                                        guint service);

#endif
