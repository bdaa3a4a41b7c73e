/* Budget for the extra calls of requests. See budget.h. */
#include "budget.h"

#include <string.h>

static int64_t get_bucket_number(const Bud *bud, int64_t now_us);
static double count_recent(const Bud *bud, int64_t now_us);
static BudBucket *get_bucket(Bud *bud, int64_t now_us);

BudOptions
Bud_DefaultOptions(void)
{
    BudOptions options = {
        .ratio = 0.1, .slack = 10.0, .window_us = 10 * CLK_US_PER_S};
    return options;
}

void
Bud_Init(Bud *bud, const BudOptions *options)
{
    memset(bud, 0, sizeof(*bud));
    bud->options = *options;
}

void
Bud_NoteRequest(Bud *bud, int64_t now_us)
{
    get_bucket(bud, now_us)->requests++;
}

void
Bud_NoteExtra(Bud *bud, int64_t now_us)
{
    get_bucket(bud, now_us)->extras++;
    bud->extra_times_us[bud->extra_index++ % BUD_ROUND_EXTRAS_MAX] = now_us;
}

void
Bud_CancelExtra(Bud *bud, int64_t now_us)
{
    BudBucket *bucket = get_bucket(bud, now_us);

    if (bucket->extras > 0) {
        bucket->extras--;
        bud->extra_times_us[--bud->extra_index % BUD_ROUND_EXTRAS_MAX] = 0;
    }
}

uint32_t
Bud_GetRemaining(const Bud *bud, const BudPeerUsage *peer_usage,
                 int64_t now_us)
{
    const BudOptions *options = &bud->options;
    double vms = peer_usage->vm_count > 0 ? peer_usage->vm_count : 1;
    double group = peer_usage->peer_count + 1.0;
    double requests;
    double extras;
    double left;
    double recent = count_recent(bud, now_us);
    double age =
        (double)(now_us - options->started_us) / (double)options->window_us;
    double share;

    Bud_GetUsed(bud, now_us, &requests, &extras);
    group = group < vms ? group : vms;
    left = BUD_SAFETY_FACTOR *
               (options->ratio * (requests + peer_usage->requests) +
                options->slack * (age < 1.0 ? age : 1.0) * group / vms) -
           extras - peer_usage->extras;
    share = (left + recent) / group - recent;
    left = share < left ? share : left;
    return left >= 1.0 ? (uint32_t)left : 0;
}

void
Bud_GetUsed(const Bud *bud, int64_t now_us, double *requests, double *extras)
{
    int64_t number = get_bucket_number(bud, now_us);

    *requests = 0;
    *extras = 0;
    for (int i = 0; i < 2 * BUD_BUCKETS; i++) {
        const BudBucket *bucket = &bud->buckets[i];
        if (bucket->number > number - BUD_BUCKETS) {
            *requests += bucket->requests;
        }
        /* A window may begin inside a bucket, so one more bucket counts. */
        if (bucket->number >= number - BUD_BUCKETS) {
            *extras += bucket->extras;
        }
    }
}

/* Returns this VM's extra calls of the current round. */
static double
count_recent(const Bud *bud, int64_t now_us)
{
    double count = 0;

    for (int i = 0; i < BUD_ROUND_EXTRAS_MAX; i++) {
        count += bud->extra_times_us[i] != 0 &&
                 now_us - bud->extra_times_us[i] < BUD_ROUND_US;
    }
    return count;
}

static int64_t
get_bucket_number(const Bud *bud, int64_t now_us)
{
    return now_us / (bud->options.window_us / BUD_BUCKETS) + 1;
}

static BudBucket *
get_bucket(Bud *bud, int64_t now_us)
{
    int64_t number = get_bucket_number(bud, now_us);
    BudBucket *bucket = &bud->buckets[number % (2 * BUD_BUCKETS)];

    if (bucket->number != number) {
        memset(bucket, 0, sizeof(*bucket));
        bucket->number = number;
    }
    return bucket;
}
