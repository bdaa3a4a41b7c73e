/* Simulated platform of a soak test (Wld_): a read-only configuration store,
   and the workers of a plain service and of a model service. The store and
   each worker are reached through a fault-injecting proxy. */
#ifndef LS_SIM_PLATFORM_H
#define LS_SIM_PLATFORM_H

#include "ledger.h"
#include "proxy.h"

#include "clock.h"
#include "io/server.h"

#define WLD_HOST "h.example"
#define WLD_PLAIN_COUNT 3
#define WLD_PREFILL_COUNT 2
#define WLD_DECODE_COUNT 4
#define WLD_WORKER_COUNT                                                      \
    (WLD_PLAIN_COUNT + WLD_PREFILL_COUNT + WLD_DECODE_COUNT)
/* Setting drain-ms: time within which VMs must stop sending requests to a
   draining worker. */
#define WLD_DRAIN_MS 2500

typedef enum WldStoreState {
    WLD_STORE_NORMAL,
    WLD_STORE_DOWN,       /* responds with 503 */
    WLD_STORE_SLOW,       /* delays all responses */
    WLD_STORE_NO_HISTORY, /* has no history: watches fail with 410 */
} WldStoreState;

typedef struct Wld Wld;

/* Publishes a first configuration and starts all workers. The pointers passed
   in must outlive the platform. */
Wld *Wld_New(struct event_base *base, const Clk *clk, Led *led, GRand *rand);
void Wld_Free(Wld *wld);
/* Return proxies that the platform owns. Workers are numbered from 0 to
   WLD_WORKER_COUNT - 1: plain, then prefill, then decode workers. */
Prx *Wld_GetStoreProxy(const Wld *wld);
Prx *Wld_GetWorkerProxy(const Wld *wld, guint worker);
void Wld_SetStoreState(Wld *wld, WldStoreState state);
/* Records the present time as one at which a fault may keep the VMs from
   learning that a worker drains. Late requests are not findings at workers
   that began to drain before this time. */
void Wld_RecordDisruption(Wld *wld);
/* Publishes a new version of the configuration, with a random number of
   attempts for the "hold" route. */
void Wld_ChangeConfig(Wld *wld);
/* Stops a worker without removing its entry from the store. */
void Wld_CrashWorker(Wld *wld, guint worker);
/* Starts a stopped worker under a new identifier and replaces its entry in
   the store. */
void Wld_StartWorker(Wld *wld, guint worker);
/* Marks a worker as draining in the store; it still serves requests. */
void Wld_DrainWorker(Wld *wld, guint worker);
/* Sets the share of runs, 0 to 1, whose connection breaks before the
   response, and of those that end with status 500. */
void Wld_SetFailures(Wld *wld, double lost_ratio, double failed_ratio);
/* Returns the number of events in the stream that answers a request. */
uint32_t Wld_CountEvents(const char *id);

#endif
