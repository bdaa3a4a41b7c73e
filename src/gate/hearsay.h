/* Hearsay: what this VM knows of a service's workers, in a request that it
   passes on to another VM. That VM may not have been told: gossip is late, or
   the VM was paused. Without it the request would go to a worker that takes
   none any more. */
#ifndef LS_HEARSAY_H
#define LS_HEARSAY_H

#include "fleet.h"

/* Workers in one request. Those whose notices are left out are counted. */
#define HEARSAY_WORKERS_MAX 24
/* Longest text of all of them. */
#define HEARSAY_MAX_BYTES 700

/* Appends the notices of the workers of the service to the text. */
void Hearsay_Write(const Fleet *fleet, const char *service, int64_t now_us,
                   GString *text);
/* Appends the workers that have failed the request; VMs are left out. */
void Hearsay_WriteFailed(FleetWorker *const *workers, uint32_t count,
                         GString *text);
/* Notes the notices in a text of another VM. What can't be read is skipped.
   Stores up to `max` workers that have failed the request, which the fleet
   owns, and returns their number. */
uint32_t Hearsay_Read(Fleet *fleet, const char *text, int64_t now_us,
                      FleetWorker **failed, uint32_t max);

#endif
