/* Quotas: token buckets and retry budgets of the customers. */
#include "quota.h"

#include <math.h>
#include <string.h>

#define QUO_BURST_S 1.0     /* Capacity of a bucket, in seconds of its rate. */
#define QUO_RETRY_RATIO 0.1 /* Retries allowed for each request. */
#define QUO_RETRY_BURST 10.0 /* Most retries that a budget holds. */
/* Retry delay given when the concurrency limit is reached. */
#define QUO_CONCURRENCY_RETRY_MS 200

typedef struct QuoCustomer {
    QuoBucket requests;
    QuoBucket tokens;
    QuoBucket cross_region;
    uint32_t active; /* Requests admitted and not yet released. */
    double retries;  /* Retries left in the budget. */
} QuoCustomer;

struct Quo {
    GHashTable *customers; /* id to QuoCustomer */
};

static QuoCustomer *get_customer(Board *board, const char *id);

Quo *
Quo_New(void)
{
    Quo *quo = g_new0(Quo, 1);
    quo->customers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return quo;
}

void
Quo_Free(Quo *quo)
{
    g_hash_table_unref(quo->customers);
    g_free(quo);
}

void
Quo_FillBucket(QuoBucket *bucket, double rate_per_s, double burst,
               int64_t now_us)
{
    if (bucket->filled_us == 0) {
        bucket->level = burst;
    }
    else {
        double passed_s = (double)(now_us - bucket->filled_us) / CLK_US_PER_S;
        bucket->level += MAX(passed_s, 0) * rate_per_s;
    }
    bucket->rate_per_s = rate_per_s;
    bucket->burst = burst;
    bucket->level = MIN(bucket->level, burst);
    bucket->filled_us = MAX(now_us, 1);
}

int64_t
Quo_TakeFromBucket(QuoBucket *bucket, double amount)
{
    /* An amount above the burst is taken from a full bucket. Its level becomes
       negative until the rate has filled it again. */
    double needed = MIN(amount, bucket->burst);

    if (bucket->level >= needed && bucket->burst > 0) {
        bucket->level -= amount;
        return 0;
    }
    if (bucket->rate_per_s <= 0) {
        return INT64_MAX;
    }
    return (int64_t)ceil((needed - bucket->level) / bucket->rate_per_s *
                         (double)CLK_US_PER_S);
}

uint32_t
Quo_GetShare(uint32_t limit, uint32_t vm_count)
{
    return limit / vm_count;
}

static LsResult
set_limit_error(LsError *err, LsResult code, const char *limit,
                int64_t wait_us)
{
    Err_Set(err, code, LS_RUN_NOT_RUN, "the contract's %s is used up", limit);
    if (wait_us < INT64_MAX) {
        err->retry_after_ms = (uint32_t)(wait_us / CLK_US_PER_MS) + 1;
    }
    return code;
}

LsResult
Quo_Admit(Board *board, const ConCustomer *customer, uint32_t tokens,
          LsError *err)
{
    QuoCustomer *state = get_customer(board, customer->id);
    double count = board->vm_count_max;
    int64_t now = Board_Now(board);
    uint32_t concurrency =
        Quo_GetShare(customer->concurrency, board->vm_count_max);
    double request_rate = customer->requests_per_s / count;
    double token_rate = customer->tokens_per_s / count;
    int64_t wait_us;

    if (state->active >= concurrency) {
        return set_limit_error(err, LS_ERR_CONCURRENCY_LIMIT, "concurrency",
                               QUO_CONCURRENCY_RETRY_MS * CLK_US_PER_MS);
    }
    Quo_FillBucket(&state->requests, request_rate, request_rate * QUO_BURST_S,
                   now);
    Quo_FillBucket(&state->tokens, token_rate, token_rate * QUO_BURST_S, now);
    wait_us = Quo_TakeFromBucket(&state->requests, 1);
    if (wait_us > 0) {
        return set_limit_error(err, LS_ERR_RATE_LIMIT, "request rate",
                               wait_us);
    }
    wait_us = Quo_TakeFromBucket(&state->tokens, tokens);
    if (wait_us > 0) {
        state->requests.level += 1;
        return set_limit_error(err, LS_ERR_TOKEN_LIMIT, "token rate", wait_us);
    }
    state->active++;
    state->retries = MIN(state->retries + QUO_RETRY_RATIO, QUO_RETRY_BURST);
    return LS_OK;
}

void
Quo_Release(Board *board, const char *customer)
{
    QuoCustomer *state = get_customer(board, customer);
    state->active -= state->active > 0 ? 1 : 0;
}

bool
Quo_TakeCrossRegionTokens(Board *board, const ConCustomer *customer,
                          uint32_t tokens)
{
    QuoCustomer *state = get_customer(board, customer->id);
    double rate = customer->cross_region_tokens_per_s / board->vm_count_max;

    Quo_FillBucket(&state->cross_region, rate, rate * QUO_BURST_S,
                   Board_Now(board));
    return Quo_TakeFromBucket(&state->cross_region, tokens) == 0;
}

bool
Quo_TakeRetry(Board *board, const char *customer)
{
    QuoCustomer *state = get_customer(board, customer);

    if (state->retries < 1) {
        return false;
    }
    state->retries -= 1;
    return true;
}

static QuoCustomer *
get_customer(Board *board, const char *id)
{
    QuoCustomer *state = g_hash_table_lookup(board->quo->customers, id);

    if (state == NULL) {
        state = g_new0(QuoCustomer, 1);
        state->retries = QUO_RETRY_BURST;
        g_hash_table_insert(board->quo->customers, g_strdup(id), state);
    }
    return state;
}
