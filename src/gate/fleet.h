/* Fleet (Flt_): the table of the workers that this VM knows. It joins each
   worker's entry in the source (the store of configuration and workers) with
   the load and health that this VM's own calls and other VMs' gossip have
   shown since. */
#ifndef LS_FLEET_H
#define LS_FLEET_H

#include "../clock.h"
#include "../decide/health.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FLT_ID_MAX 64
#define FLT_ADDRESS_MAX 48
#define FLT_NAME_MAX 64

/* How long a worker stays usable after its entry was removed without a drain
   notice. It gets work in that time only if no listed worker is available.
   The value is below every limit on the use of draining workers. */
#define FLT_REMOVED_GRACE_US (1500 * CLK_US_PER_MS)
/* Age from which the load that a worker reported is ignored. */
#define FLT_LOAD_MAX_AGE_US (300 * CLK_US_PER_MS)

typedef enum FltPhase {
    FLT_PHASE_NONE, /* Worker of a service without separate pools. */
    FLT_PHASE_PREFILL,
    FLT_PHASE_DECODE,
} FltPhase;

/* A worker's entry in the source, decoded. */
typedef struct FltEntry {
    char id[FLT_ID_MAX]; /* Usually differs with each start of the worker. */
    char address[FLT_ADDRESS_MAX]; /* "IP:port" */
    char service[FLT_NAME_MAX];
    char zone[FLT_NAME_MAX]; /* Availability zone. */
    FltPhase phase;
    uint32_t slots; /* Requests that the worker runs at a time. */
    bool draining;
    int64_t born_ms; /* Unix time of the worker's start; 0 if unknown. */
    uint64_t revision;
} FltEntry;

typedef struct FltWorker {
    FltEntry entry;
    uint64_t hash; /* Hash of the identifier, used in gossip. */
    gint refs;
    bool listed;        /* The entry is present in the source. */
    int64_t removed_us; /* Time at which the entry was removed, or 0. */
    bool replaced;      /* Another worker answers at its address. */
    bool sweep_pending; /* The running sweep has not set the entry yet. */
    HltState health;
    uint32_t inflight;           /* Running calls of this VM. */
    uint64_t reading;            /* Prompt tokens of this VM's calls that wait
                                    for prefill. */
    uint64_t held;               /* KV memory of this VM's calls, tokens. */
    uint32_t peer_inflight;      /* Running calls that other VMs reported. */
    uint64_t peer_reading;       /* Prompt tokens that other VMs reported. */
    uint64_t peer_held;          /* KV memory that other VMs reported. */
    uint32_t peer_unreachable;   /* Other VMs that can't reach the worker. */
    uint32_t peer_phase_changes; /* Other VMs that ordered a phase change. */
    int64_t phase_change_until_us; /* End of a phase change that this VM
                                      ordered, at the latest; 0: none. */
    uint32_t load_running;   /* Running requests that the worker reported. */
    uint32_t load_waiting;   /* Queued requests that the worker reported. */
    int64_t load_us;         /* Time of the last load report, or 0. */
    int64_t full_until_us;   /* The worker lacked room: until then others are
                                tried first. */
    bool lacks_reservations; /* The worker does not support reservations. */
    double service_us;       /* Moving average of a call's duration. */
    double slowness;         /* Moving average of measured prefill time over
                                expected prefill time. */
} FltWorker;

typedef struct Flt {
    GHashTable *workers; /* Identifier to FltWorker. */
    GHashTable *hashes;  /* Hash of the identifier to FltWorker. */
    GPtrArray *rows;     /* All FltWorkers, for iteration. */
} Flt;

Flt *Flt_New(void);
void Flt_Free(Flt *flt); /* NULL is allowed. */

/* Return NULL if there is no such worker. */
FltWorker *Flt_Find(const Flt *flt, const char *id);
FltWorker *Flt_FindByHash(const Flt *flt, uint64_t hash);
/* Adds the worker, or updates the entry of a known one. Returns NULL, and
   ignores the entry, if its revision is older than the known one. */
FltWorker *Flt_SetEntry(Flt *flt, const FltEntry *entry);
/* Marks the worker's entry as removed, unless the known entry is newer than
   `revision`. The worker itself stays until Flt_Prune(). */
void Flt_RemoveEntry(Flt *flt, const char *id, uint64_t revision,
                     int64_t now_us);
/* Enclose a complete reading of the source: the end removes the entries that
   were not set since the begin. */
void Flt_BeginSweep(Flt *flt);
void Flt_EndSweep(Flt *flt, int64_t now_us);
/* Drops workers that were removed some time ago and have no calls. */
void Flt_Prune(Flt *flt, int64_t now_us);

FltWorker *Flt_Ref(FltWorker *worker);
void Flt_Unref(FltWorker *worker); /* NULL is allowed. */
/* Whether new work may go to the worker. */
bool Flt_IsUsable(const FltWorker *worker, int64_t now_us);
/* Whether the worker is listed, and neither draining nor replaced. */
bool Flt_IsReady(const FltWorker *worker);
/* Whether the worker changes its phase now, and thus refuses work. */
bool Flt_IsChangingPhase(const FltWorker *worker, int64_t now_us);
/* Stores the load that the worker reported: requests running and queued. */
void Flt_NoteLoad(FltWorker *worker, uint32_t running, uint32_t waiting,
                  int64_t now_us);

#endif
