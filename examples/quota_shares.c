/* Quotas under a paused clock: each VM admits requests up to its share of a
   customer's rate, and the VMs together never admit more than the contract
   allows. */
#include "lavenderspool.h"

#include <stdio.h>

#define VM_COUNT 9
#define CONTRACT_REQUESTS_PER_S 45.0
#define SECONDS 10

int
main(void)
{
    Clk clk = Clk_Default();
    QuoBucket buckets[VM_COUNT] = {0};
    double share = CONTRACT_REQUESTS_PER_S / VM_COUNT;
    int admitted = 0;

    Clk_Pause(&clk, 1);
    for (int ms = 0; ms < SECONDS * 1000; ms++) {
        for (int vm = 0; vm < VM_COUNT; vm++) {
            Quo_FillBucket(&buckets[vm], share, share, Clk_Now(&clk));
            if (Quo_TakeFromBucket(&buckets[vm], 1) == 0) {
                admitted++;
            }
        }
        Clk_Advance(&clk, CLK_US_PER_MS);
    }
    printf("%d requests admitted in %d s; the contract allows %.0f/s and a "
           "burst of one second\n",
           admitted, SECONDS, CONTRACT_REQUESTS_PER_S);
    return admitted <= (SECONDS + 1) * (int)CONTRACT_REQUESTS_PER_S ? 0 : 1;
}
