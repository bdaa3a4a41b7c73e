/* Quo: limits of a contract as one VM applies them, and retry budgets. A
   VM's share of a limit is fixed, so that the shares of all VMs never add up
   to more than the contract. */
#ifndef LS_QUO_H
#define LS_QUO_H

#include "board.h"

/* A token bucket; `level` may grow to `burst`. */
typedef struct QuoBucket {
    double rate_per_s;
    double burst;
    double level;
    int64_t filled_us;
} QuoBucket;

typedef struct Quo Quo;

Quo *Quo_New(void);
void Quo_Free(Quo *quo);

void Quo_FillBucket(QuoBucket *bucket, double rate_per_s, double burst,
                    int64_t now_us);
/* Takes from the bucket, or returns the microseconds until it could. */
int64_t Quo_TakeFromBucket(QuoBucket *bucket, double amount);

/* Admits one request of this many tokens, or fills in *err with the time to
   come back after. Each admitted request is later given back once. */
LsResult Quo_Admit(Board *board, const ConCustomer *customer, uint32_t tokens,
                   LsError *err);
void Quo_Release(Board *board, const char *customer);
/* Takes from the customer's volume across regions. */
bool Quo_TakeCrossRegionTokens(Board *board, const ConCustomer *customer,
                               uint32_t tokens);
/* Takes one retry from the budget, a tenth of the requests admitted. */
bool Quo_TakeRetry(Board *board, const char *customer);
/* This VM's share of a limit counted in whole pieces. */
uint32_t Quo_GetShare(uint32_t limit, uint32_t vm_count);

#endif
