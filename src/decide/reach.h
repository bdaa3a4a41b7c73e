/* Reach: decides whether this VM is cut off from the workers of a service.

   A VM loses its paths to all workers for seconds, while callers and other VMs
   still reach it. Its connections hang, are reset, or live on while new ones
   are refused. Worker after worker would have to be found out by a request
   that waits for nothing, and again each time that a worker's block ends. So
   workers that did not answer count together: several of them, and not
   one answer from any worker since. Workers also fall silent one at a time, or
   crash in pairs; then others go on to answer. */
#ifndef LS_REACH_H
#define LS_REACH_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Workers that must have left a call unanswered; one may be silent by itself.
 */
#define REACH_UNANSWERED_MIN 2

/* What this VM knows of one worker of the service. */
typedef struct ReachWorker {
    int64_t heard_us; /* Last bytes from it, or connection to it; 0: none. */
    int64_t unanswered_us; /* Since when its last unanswered call has brought
                              nothing; 0: none. */
} ReachWorker;

/* Collects the workers of a service. All zero at the beginning. */
typedef struct Reach {
    int64_t heard_us; /* Latest of all workers. */
    /* Latest and second latest of different workers. */
    int64_t unanswered_us[2];
} Reach;

void Reach_AddWorker(Reach *reach, const ReachWorker *worker);
bool Reach_IsCut(const Reach *reach);

#endif
