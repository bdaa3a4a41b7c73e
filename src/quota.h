/* Quotas (Quo_): applies the limits of customers' contracts on one VM, and
   retry budgets. Each VM applies a fixed share of a limit, so that all VMs
   together never exceed the contract. */
#ifndef LS_QUOTA_H
#define LS_QUOTA_H

#include "board.h"

/* A token bucket. `level` grows up to `burst`. */
typedef struct QuoBucket {
    double rate_per_s;
    double burst;
    double level;
    int64_t filled_us; /* Time of the last fill; 0 before the first. */
} QuoBucket;

typedef struct Quo Quo;

Quo *Quo_New(void);
void Quo_Free(Quo *quo);

/* Sets the rate and the burst, and adds what has accrued since the last call.
   A new bucket is full. */
void Quo_FillBucket(QuoBucket *bucket, double rate_per_s, double burst,
                    int64_t now_us);
/* Takes the amount and returns 0, or takes nothing and returns the
   microseconds until a retry can succeed, or INT64_MAX if none can. */
int64_t Quo_TakeFromBucket(QuoBucket *bucket, double amount);

/* Admits a request of this number of tokens, or fills in *err with the reason
   and the retry delay. Each admitted request needs one Quo_Release(). */
LsResult Quo_Admit(Board *board, const ConCustomer *customer, uint32_t tokens,
                   LsError *err);
void Quo_Release(Board *board, const char *customer);
/* Takes tokens from the customer's limit for calls to other regions. Returns
   false if it doesn't allow them. */
bool Quo_TakeCrossRegionTokens(Board *board, const ConCustomer *customer,
                               uint32_t tokens);
/* Takes one retry from the customer's budget, a tenth of the admitted requests
   plus a burst. Returns false if none is left. */
bool Quo_TakeRetry(Board *board, const char *customer);
/* Returns this VM's share of a limit, rounded down. */
uint32_t Quo_GetShare(uint32_t limit, uint32_t vm_count);

#endif
