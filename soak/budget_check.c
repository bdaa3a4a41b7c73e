/* Budget check: retry budget of a soak test. See budget_check.h. */
#include "budget_check.h"

static guint count_until(const GArray *times, int64_t until_us);
static double count_requests(const BudgetCheck *check, guint service,
                             int64_t to_us);

void
BudgetCheck_Init(BudgetCheck *check, const BudgetCheckOptions *options)
{
    check->options = *options;
    for (guint i = 0; i < BUDGET_CHECK_SERVICES; i++) {
        check->requests_us[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
        check->extras_us[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
}

void
BudgetCheck_Clear(BudgetCheck *check)
{
    for (guint i = 0; i < BUDGET_CHECK_SERVICES; i++) {
        g_array_free(check->requests_us[i], TRUE);
        g_array_free(check->extras_us[i], TRUE);
    }
}

void
BudgetCheck_NoteRequest(BudgetCheck *check, guint service, int64_t now_us)
{
    g_array_append_val(check->requests_us[service], now_us);
}

void
BudgetCheck_NoteExtra(BudgetCheck *check, guint service, int64_t now_us)
{
    g_array_append_val(check->extras_us[service], now_us);
}

BudgetCheckWindow
BudgetCheck_FindWorst(const BudgetCheck *check, guint service)
{
    const GArray *extras_us = check->extras_us[service];
    BudgetCheckWindow worst = {.allowed = check->options.slack};

    for (guint i = 0; i < extras_us->len; i++) {
        int64_t to_us = g_array_index(extras_us, int64_t, i);
        guint before =
            count_until(extras_us, to_us - check->options.window_us);
        BudgetCheckWindow window = {
            .extras = i + 1 - before,
            .allowed =
                check->options.ratio * count_requests(check, service, to_us) +
                check->options.slack,
            .to_us = to_us,
        };
        if (window.extras * worst.allowed > worst.extras * window.allowed) {
            worst = window;
        }
    }
    return worst;
}

/* Returns the number of times up to this one, by binary search. */
static guint
count_until(const GArray *times, int64_t until_us)
{
    guint low = 0;
    guint high = times->len;

    while (low < high) {
        guint middle = (low + high) / 2;
        if (g_array_index(times, int64_t, middle) <= until_us) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Returns the requests of the window, of the one before it or of the one half
   a window before it, whichever has most. */
static double
count_requests(const BudgetCheck *check, guint service, int64_t to_us)
{
    const GArray *times = check->requests_us[service];
    int64_t window_us = check->options.window_us;
    guint most = 0;

    for (int halves = 0; halves <= 2; halves++) {
        int64_t end_us = to_us - halves * window_us / 2;
        guint count = count_until(times, end_us) -
                      count_until(times, end_us - window_us);
        most = MAX(most, count);
    }
    return most;
}
