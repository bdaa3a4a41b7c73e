/* Budget: counts and limits extra calls. See budget.h. */
#include "budget.h"

#include <string.h>

static int64_t get_bucket_number(const Budget *budget, int64_t now_us);
static double count_round_extras(const Budget *budget, int64_t now_us);
static BudgetBucket *get_bucket(Budget *budget, int64_t now_us);

BudgetOptions
Budget_DefaultOptions(void)
{
    BudgetOptions options = {
        .ratio = 0.1, .slack = 10.0, .window_us = 10 * CLK_US_PER_S};
    return options;
}

void
Budget_Init(Budget *budget, const BudgetOptions *options)
{
    memset(budget, 0, sizeof(*budget));
    budget->options = *options;
}

void
Budget_NoteRequest(Budget *budget, int64_t now_us)
{
    get_bucket(budget, now_us)->requests++;
}

void
Budget_NoteExtra(Budget *budget, int64_t now_us)
{
    get_bucket(budget, now_us)->extras++;
    budget->extra_times_us[budget->extra_index++ % BUDGET_ROUND_EXTRAS_MAX] =
        now_us;
}

void
Budget_CancelExtra(Budget *budget, int64_t now_us)
{
    BudgetBucket *bucket = get_bucket(budget, now_us);

    if (bucket->extras > 0) {
        bucket->extras--;
        budget
            ->extra_times_us[--budget->extra_index % BUDGET_ROUND_EXTRAS_MAX] =
            0;
    }
}

uint32_t
Budget_GetRemaining(const Budget *budget, const BudgetPeerUsage *peer_usage,
                    int64_t now_us)
{
    const BudgetOptions *options = &budget->options;
    double vms = peer_usage->vm_count > 0 ? peer_usage->vm_count : 1;
    double group_size = peer_usage->peer_count + 1.0;
    double requests;
    double extras;
    double left;
    double round_extras = count_round_extras(budget, now_us);
    /* Age of the process, windows. */
    double age =
        (double)(now_us - options->started_us) / (double)options->window_us;
    double share;

    Budget_GetUsed(budget, now_us, &requests, &extras);
    group_size = group_size < vms ? group_size : vms;
    left = BUDGET_SAFETY_FACTOR *
               (options->ratio * (requests + peer_usage->requests) +
                options->slack * (age < 1.0 ? age : 1.0) * group_size / vms) -
           extras - peer_usage->extras;
    /* Even share of what the group may spend in this round. */
    share = (left + round_extras) / group_size - round_extras;
    left = share < left ? share : left;
    return left >= 1.0 ? (uint32_t)left : 0;
}

void
Budget_GetUsed(const Budget *budget, int64_t now_us, double *requests,
               double *extras)
{
    int64_t number = get_bucket_number(budget, now_us);

    *requests = 0;
    *extras = 0;
    for (int i = 0; i < 2 * BUDGET_BUCKETS; i++) {
        const BudgetBucket *bucket = &budget->buckets[i];
        if (bucket->number > number - BUDGET_BUCKETS) {
            *requests += bucket->requests;
        }
        /* A window may begin inside a bucket, so one more bucket counts. */
        if (bucket->number >= number - BUDGET_BUCKETS) {
            *extras += bucket->extras;
        }
    }
}

/* Returns this VM's extra calls of the current round. */
static double
count_round_extras(const Budget *budget, int64_t now_us)
{
    double count = 0;

    for (int i = 0; i < BUDGET_ROUND_EXTRAS_MAX; i++) {
        count += budget->extra_times_us[i] != 0 &&
                 now_us - budget->extra_times_us[i] < BUDGET_ROUND_US;
    }
    return count;
}

static int64_t
get_bucket_number(const Budget *budget, int64_t now_us)
{
    return now_us / (budget->options.window_us / BUDGET_BUCKETS) + 1;
}

static BudgetBucket *
get_bucket(Budget *budget, int64_t now_us)
{
    int64_t number = get_bucket_number(budget, now_us);
    BudgetBucket *bucket = &budget->buckets[number % (2 * BUDGET_BUCKETS)];

    if (bucket->number != number) {
        memset(bucket, 0, sizeof(*bucket));
        bucket->number = number;
    }
    return bucket;
}
