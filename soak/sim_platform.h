/* Simulated platform of a soak test (Sim_): a read-only configuration store,
   and the workers of a plain service and of a model service. The store and
   each worker are reached through a fault-injecting proxy. */
#ifndef LS_SIM_PLATFORM_H
#define LS_SIM_PLATFORM_H

#include "ledger.h"
#include "proxy.h"

#include "clock.h"
#include "io/server.h"

#define SIM_REPEATABLE_ATTEMPTS 2 /* Of routes whose requests may repeat. */
#define SIM_HOST "h.example"      /* Host of all routes. */
#define SIM_PLAIN_COUNT 3
#define SIM_PREFILL_COUNT 2
#define SIM_DECODE_COUNT 4
#define SIM_WORKER_COUNT                                                      \
    (SIM_PLAIN_COUNT + SIM_PREFILL_COUNT + SIM_DECODE_COUNT)
/* Setting drain-ms: time within which VMs must stop sending requests to a
   draining worker. */
#define SIM_DRAIN_MS 2500

/* Timeouts of the routes of plain requests and of streams, which are also the
   callers' deadlines, and those of a configuration with shortened ones. */
#define SIM_PLAIN_TIMEOUT_MS 3000
#define SIM_STREAM_TIMEOUT_MS 14000
#define SIM_PLAIN_TIMEOUT_SHORT_MS 2000
#define SIM_STREAM_TIMEOUT_SHORT_MS 6000

typedef enum SimStoreState {
    SIM_STORE_NORMAL,
    SIM_STORE_DOWN,       /* Responds with 503. */
    SIM_STORE_SLOW,       /* Delays all responses. */
    SIM_STORE_NO_HISTORY, /* Has no history: a watch that missed a revision
                             gets 410. */
} SimStoreState;

/* Longest time for which a process responds that has closed its answers. */
#define SIM_LINGER_MAX_MS 300
/* Longest time from a start to its entry, with SimOptions.keeps_ids. */
#define SIM_ENTRY_DELAY_MAX_MS 1200
/* Longest time until what a restored store has lost is written again. */
#define SIM_REWRITE_MAX_MS 1500
#define SIM_VMS_MAX 100

/* Start of the identifiers of parts of prompts on which a decode worker
   crashes as it begins to answer. */
#define SIM_CRASH_PART "bad"

/* Prompts that a worker keeps. */
#define SIM_KEPT_MAX 24
/* Tokens in one event of a stream. */
#define SIM_TOKENS_PER_EVENT 11
/* Start of the identifiers of requests that are answered by long streams. */
#define SIM_LONG 'l'

typedef struct SimOptions {
    /* Workers start again under the identifier that they had, with a later
       `born`, and write their entry up to SIM_ENTRY_DELAY_MAX_MS later. */
    bool keeps_ids;
    guint slots; /* Concurrent requests that a worker reports. */
    /* Draws the forms of answers and of the ends of processes; NULL: answers
       have a length, streams chunks of one event, and a crash resets. */
    GRand *form_rand;
    /* Draws the processes of the model service that close their answers first
       and respond for up to SIM_LINGER_MAX_MS after; NULL: none does. */
    GRand *linger_rand;
    bool has_steps; /* An event of a stream may hold several tokens. */
    /* A worker that goes on may end an answer without framing between two
       events. Nothing shows that its answer is not complete. */
    bool has_cuts;
    /* The version of a worker is that of the release at its start, not one
       that changes with each start. */
    bool has_releases;
    /* Draws the malformed events that the workers write; NULL: none. */
    GRand *malformed_rand;
} SimOptions;

typedef struct Sim Sim;

/* Publishes a first configuration and starts all workers. The pointers passed
   in must outlive the platform. */
Sim *Sim_New(struct event_base *base, const Clk *clk, Ledger *ledger,
             GRand *rand, const SimOptions *options);
void Sim_Free(Sim *sim);
/* Return proxies that the platform owns. Workers are numbered from 0 to
   SIM_WORKER_COUNT - 1: plain, then prefill, then decode workers. */
Proxy *Sim_GetStoreProxy(const Sim *sim);
Proxy *Sim_GetWorkerProxy(const Sim *sim, guint worker);
void Sim_SetStoreState(Sim *sim, SimStoreState state);
/* Records the present time as one at which a fault may keep the VMs from
   learning that a worker drains. Late requests are not findings at workers
   that began to drain before this time. Call it when the fault begins and
   again when it ends, so that drains which begin during the fault are exempt
   too. */
void Sim_RecordDisruption(Sim *sim);
/* Puts the store back to its state of `back_ms` ago, in a new era. What was
   written since is written again within SIM_REWRITE_MAX_MS; the entries of
   workers that have left meanwhile lapse. */
void Sim_RestoreStore(Sim *sim, guint back_ms);
/* Records that a VM was started or resumed now: it may have forgotten or not
   yet seen what it was told before. */
void Sim_RecordVmStart(Sim *sim, guint vm);
/* Publishes a new version of the configuration, with a random number of
   attempts for the "hold" route, and with shortened timeouts on request. */
void Sim_ChangeConfig(Sim *sim, bool is_short);
/* Ends a worker's process without removing its entry from the store. Its
   connections are reset, or closed, as the kernel does for a process that is
   gone; those with answers may be closed before the others. */
void Sim_CrashWorker(Sim *sim, guint worker);
/* Starts a stopped worker, under a new identifier unless it keeps its own, and
   replaces its entry in the store. */
void Sim_StartWorker(Sim *sim, guint worker);
/* Marks a worker as draining in the store; it still serves requests. */
void Sim_DrainWorker(Sim *sim, guint worker);
/* Makes a worker say that it leaves in all its answers, but not in the store.
 */
void Sim_BeginLeaving(Sim *sim, guint worker);
/* Makes a worker turn away all requests, and name the time until the end of
   the pause. */
void Sim_BeginPause(Sim *sim, guint worker, guint pause_ms);
/* Makes a worker name a limit of requests a second in its answers; 0: none. */
void Sim_SetLimit(Sim *sim, guint worker, double limit);
/* Sets the mode of the connections to a worker. Requests that it runs while
   bytes are blocked, cut or added are not held against the VMs. */
void Sim_ImpairWorker(Sim *sim, guint worker, ProxyMode mode);
/* Resets all connections to a worker. */
void Sim_ResetWorker(Sim *sim, guint worker);
/* Passes no bytes to or from a sound worker for a time; nothing is lost.
   Returns false if it is stopped or silent, or names a limit: requests that
   come late in a bunch would hide whether VMs keep it. */
bool Sim_SilenceWorker(Sim *sim, guint worker, guint silence_ms);
void Sim_EndSilences(Sim *sim);
/* Sets probabilities, 0 to 1: `lost_ratio`, that the connection breaks before
   the response of a plain run, and before each event and the end of a stream;
   `failed_ratio`, that a plain run ends with status 500. Prefills do not
   fail. */
void Sim_SetFailures(Sim *sim, double lost_ratio, double failed_ratio);
/* Sets the version of workers that start from now on, with has_releases. */
void Sim_SetRelease(Sim *sim, guint version);
/* From now on workers write no malformed events in new streams. */
void Sim_EndMalformed(Sim *sim);
/* Returns the number of events in the stream that answers a request. One whose
   identifier begins with SIM_LONG lasts up to 12 s. */
uint32_t Sim_CountEvents(const char *id);

#endif
