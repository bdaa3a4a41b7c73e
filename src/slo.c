/* Service levels: counts of each customer in rings of time buckets. */
#include "slo.h"

#define SLO_WINDOW_COUNT 3
#define SLO_LONG_BUCKETS_PER_HOUR 12 /* Long buckets in an hour. */

static const char *const target_names[SLO_TARGET_COUNT] = {
    "answered", "first_token", "per_token"};

/* Counts of one bucket; `number` is its start time divided by its length. */
typedef struct SloBucket {
    int64_t number;
    uint32_t total[SLO_TARGET_COUNT];
    uint32_t missed[SLO_TARGET_COUNT];
} SloBucket;

typedef struct SloCustomer {
    SloBucket short_buckets[SLO_SHORT_BUCKETS];
    SloBucket long_buckets[SLO_LONG_BUCKETS];
} SloCustomer;

struct Slo {
    GHashTable *customers; /* id to SloCustomer */
};

static void count_in_bucket(SloBucket *buckets, int bucket_count,
                            int64_t number, SloTarget target, bool met);
static json_t *sum_buckets(const SloBucket *buckets, int bucket_count,
                           int64_t newest, int window, SloTarget target);

Slo *
Slo_New(void)
{
    Slo *slo = g_new0(Slo, 1);
    slo->customers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return slo;
}

void
Slo_Free(Slo *slo)
{
    g_hash_table_unref(slo->customers);
    g_free(slo);
}

void
Slo_Count(Board *board, const char *customer, SloTarget target, bool met)
{
    SloCustomer *counts = g_hash_table_lookup(board->slo->customers, customer);
    int64_t now = Board_Now(board);

    if (counts == NULL) {
        counts = g_new0(SloCustomer, 1);
        g_hash_table_insert(board->slo->customers, g_strdup(customer), counts);
    }
    count_in_bucket(counts->short_buckets, SLO_SHORT_BUCKETS,
                    now / SLO_SHORT_BUCKET_US, target, met);
    count_in_bucket(counts->long_buckets, SLO_LONG_BUCKETS,
                    now / SLO_LONG_BUCKET_US, target, met);
}

json_t *
Slo_Describe(const Board *board)
{
    json_t *all = json_object();
    int64_t now = Board_Now(board);
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, board->slo->customers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const SloCustomer *counts = value;
        json_t *customer = json_object();
        for (int t = 0; t < SLO_TARGET_COUNT; t++) {
            SloTarget target = (SloTarget)t;
            json_object_set_new(
                customer, target_names[t],
                json_pack("{s:o, s:o, s:o}", "300",
                          sum_buckets(counts->short_buckets, SLO_SHORT_BUCKETS,
                                      now / SLO_SHORT_BUCKET_US,
                                      SLO_SHORT_BUCKETS, target),
                          "3600",
                          sum_buckets(counts->long_buckets, SLO_LONG_BUCKETS,
                                      now / SLO_LONG_BUCKET_US,
                                      SLO_LONG_BUCKETS_PER_HOUR, target),
                          "21600",
                          sum_buckets(counts->long_buckets, SLO_LONG_BUCKETS,
                                      now / SLO_LONG_BUCKET_US,
                                      SLO_LONG_BUCKETS, target)));
        }
        json_object_set_new(all, key, customer);
    }
    return all;
}

static void
count_in_bucket(SloBucket *buckets, int bucket_count, int64_t number,
                SloTarget target, bool met)
{
    SloBucket *bucket = &buckets[number % bucket_count];

    if (bucket->number != number) {
        SloBucket empty = {0};
        *bucket = empty;
        bucket->number = number;
    }
    bucket->total[target]++;
    bucket->missed[target] += met ? 0 : 1;
}

/* Returns [total, missed] of the `window` newest buckets. `newest` is the
   number of the current bucket. */
static json_t *
sum_buckets(const SloBucket *buckets, int bucket_count, int64_t newest,
            int window, SloTarget target)
{
    json_int_t total = 0;
    json_int_t missed = 0;

    for (int i = 0; i < bucket_count; i++) {
        if (buckets[i].number > newest - window &&
            buckets[i].number <= newest) {
            total += buckets[i].total[target];
            missed += buckets[i].missed[target];
        }
    }
    return json_pack("[I, I]", total, missed);
}
