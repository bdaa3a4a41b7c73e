/* Throttle: keeps the limit of requests a second that a worker in need names,
   of which each VM takes a share.

   The limit holds for all VMs together, and may be less than one request of
   each. If each VM kept it on its own, or saved up a request while it has none
   to send, the worker would get as many times too much as there are VMs, all
   at once. So a VM may send what its share of the demand is of the limit, in
   fractions of a request: each request that would go to the worker adds what
   has become free since the one before, and is sent when that completes a
   whole one, from a random beginning. What becomes free while no request comes
   is kept for a short time only, so that all VMs together never hold more than
   a few requests. The rest of the load goes to other workers or is refused. */
#ifndef LS_THROTTLE_H
#define LS_THROTTLE_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Lowest limit that is kept, requests a second: a worker that names 0 must be
   asked now and then whether it still does. */
#define THROTTLE_LIMIT_MIN 0.25
#define THROTTLE_NONE (-1.0) /* In place of a limit. */
/* Part of the limit that is used, as the VMs' shares differ and the requests
   of many VMs come at random. */
#define THROTTLE_USE 0.8
/* An answer without a limit lifts it if none has named it for this long:
   answers overtake each other. */
#define THROTTLE_HOLD_US (500 * CLK_US_PER_MS)

/* All zero for a worker that has named no limit. */
typedef struct Throttle {
    double limit;    /* Requests a second of all VMs; 0: none. */
    int64_t told_us; /* When an answer named the limit, or lifted it; 0: never.
                      */
    double credit;   /* Requests that may be sent; negative after those that
                        had to be. */
    int64_t refilled_us;
    int64_t open_us; /* Since when a whole request may be sent; 0: not. */
} Throttle;

/* Notes that an answer of `told_us` named this limit, or that it named none
   (THROTTLE_NONE). A limit below THROTTLE_LIMIT_MIN counts as that. `fraction`
   is random, at least 0 and below 1. Returns whether the limit changed. */
bool Throttle_NoteLimit(Throttle *throttle, double limit, int64_t told_us,
                        double fraction, int64_t now_us);
bool Throttle_IsLimited(const Throttle *throttle);
/* Whether a request may be sent to the worker. To be asked when one would be;
   Throttle_Charge() must follow if it is. `share` is this VM's part of the
   requests for the worker's service, 0 to 1. */
bool Throttle_IsOpen(Throttle *throttle, double share, int64_t now_us);
/* Counts a request that is sent to the worker, whatever it is for. */
void Throttle_Charge(Throttle *throttle);
/* Returns when the next request may be sent; now_us if one may now. */
int64_t Throttle_GetOpenTime(const Throttle *throttle, double share,
                             int64_t now_us);

#endif
