/* Fleet: the table of the workers that this VM knows. It joins each worker's
   entry in the source (the store of configuration and workers) with its load
   and health, as this VM's own calls and other VMs' gossip show them. */
#ifndef LS_FLEET_H
#define LS_FLEET_H

#include "../clock.h"
#include "../decide/forecast.h"
#include "../decide/health.h"
#include "../decide/notice.h"
#include "../decide/pace.h"
#include "../decide/throttle.h"
#include "position.h"

#include <glib.h>

/* Sizes of texts in bytes, with the terminating NUL. */
#define FLEET_ID_MAX 64
#define FLEET_ADDRESS_MAX 48
#define FLEET_NAME_MAX 64

/* How long a worker that refused a request as not meant for it gets none: its
   entry changes meanwhile if another one has its address. */
#define FLEET_MISDIRECTED_US (2 * CLK_US_PER_S)
/* How long a worker stays usable after its entry was removed without a drain
   notice. The ranking adds RankWeights.unlisted_us to its cost in that time,
   so that it gets work only if each listed worker would cost that much more
   (200 ms by default) or is unavailable. The value is below every limit on the
   use of draining workers. */
#define FLEET_REMOVED_GRACE_US (1500 * CLK_US_PER_MS)
/* A worker may serve on, without new requests, for this time after its entry
   was removed. */
#define FLEET_SERVE_ON_US (5 * CLK_US_PER_S)
/* When the source returns from a copy, a worker's entry may be missing there
   until the worker writes it again. Entries of the older era stay listed for
   this time, which is the users' bound (about two seconds, PROTOCOL). */
#define FLEET_ERA_GRACE_US (2 * CLK_US_PER_S)
/* Age from which the load that a worker reported is ignored. */
#define FLEET_LOAD_MAX_AGE_US (300 * CLK_US_PER_MS)

typedef enum FleetPhase {
    FLEET_PHASE_NONE, /* Worker of a service without separate pools. */
    FLEET_PHASE_PREFILL,
    FLEET_PHASE_DECODE,
} FleetPhase;

/* A worker's entry in the source, decoded. */
typedef struct FleetEntry {
    char id[FLEET_ID_MAX]; /* Usually differs with each start of the worker. */
    char address[FLEET_ADDRESS_MAX]; /* "IP:port" */
    char service[FLEET_NAME_MAX];
    char zone[FLEET_NAME_MAX];    /* Availability zone. */
    char version[FLEET_NAME_MAX]; /* Of its software. The events of a stream
                                     must all come from workers of one version.
                                   */
    FleetPhase phase;
    uint32_t slots; /* Requests that the worker runs at a time. */
    bool draining;
    int64_t born_ms; /* Unix time of the worker's start; 0 if unknown. */
    Pos position;    /* Of the entry's last change. */
} FleetEntry;

/* What is known of how long work takes at a worker (worker_pace.h). */
typedef struct FleetPace {
    Pace read;     /* Of reading a prompt. */
    Pace step;     /* Of a step of its streams, or of a plain call. */
    PaceFit fit;   /* Times of steps or calls, as this VM measured them. */
    double growth; /* Of these times with each further request. */
    bool has_growth;
    PaceSum read_sum; /* Measurements that other VMs were not told yet. */
    PaceSum step_sum;
    int64_t told_us;   /* When it last told its pace; 0: never. */
    int64_t logged_us; /* When a change of its pace was last logged. */
    uint32_t limit;    /* Limit of requests logged last; 0: none. */
    int64_t limit_us;
} FleetPace;

typedef struct FleetWorker {
    FleetEntry entry;
    uint64_t hash;           /* Hash of the identifier, used in gossip. */
    uint32_t version;        /* Hash of entry.version; never 0. */
    gint refs;               /* References; the fleet holds one. */
    bool listed;             /* The entry is present in the source; see
                                Fleet_IsListed(). */
    int64_t removed_us;      /* Time at which the entry was removed, or 0. */
    int64_t listed_until_us; /* The entry is of an older era and counts as
                                removed from then on; 0: no such end. */
    /* Position and start of an entry that was not taken, as it is of an
       earlier start in a newer era; 0: none. */
    Pos earlier_position;
    int64_t earlier_born_ms;
    int64_t doubted_until_us;     /* The worker had left, but the source's copy
                                     lists it: no work until then; 0: none. */
    int64_t misdirected_until_us; /* It said that a request was not for it:
                                     another worker may answer at its address,
                                     or it may have another phase. No work
                                     until then. */
    bool is_vm;         /* It is another VM that reaches the workers; no
                           fleet holds it (detour.h). */
    bool sweep_pending; /* The running sweep has not set the entry yet. */
    HealthState health;
    NoticeState notice;           /* What it says of itself. */
    Throttle throttle;            /* Limit of requests that it names. */
    uint32_t throttled_choice;    /* The last choice of a worker in which the
                                     limit excluded it. */
    bool malformed_notice_logged; /* Of this start of the worker. */
    uint32_t inflight;            /* Running calls of this VM. */
    uint64_t prefill_tokens;      /* Prompt tokens of this VM's calls that wait
                              for prefill. */
    Forecast kv;                  /* KV memory of this VM's calls. */
    uint32_t peer_inflight;       /* Running calls that other VMs reported. */
    uint64_t peer_prefill_tokens; /* Prompt tokens that other VMs reported. */
    Forecast peer_kv;             /* KV memory that other VMs reported. */
    uint32_t peer_unreachable;    /* Other VMs that can't reach the worker. */
    uint32_t peer_phase_changes;  /* Other VMs that ordered a phase change. */
    uint32_t peer_leaving; /* Other VMs to which it said that it leaves. */
    int64_t phase_change_until_us; /* End of a phase change that this VM
                                      ordered, at the latest; 0: none. */
    uint32_t load_running; /* Running requests that the worker reported. */
    uint32_t load_waiting; /* Queued requests that the worker reported. */
    double load_pace;      /* GateReply.pace of that report; 0: not told. */
    int64_t load_us;       /* Time of the last load report, or 0. */
    int64_t heard_us;      /* Last bytes of an answer to any call, or 0. */
    int64_t unanswered_us; /* Last bytes, or beginning, of the latest call that
                              it did not answer in time; 0: none. */
    int64_t full_until_us; /* The worker refused work, since it was full or
                              changed its phase: until then others are tried
                              first. */
    /* When it last refused a reservation for lack of room to this VM, and to
       another one that said so itself. */
    int64_t refused_us;
    int64_t heard_refusal_us;
    uint32_t refusals; /* To this VM in a row. */
    /* Another VM says that it refused: until then others are tried first. */
    int64_t told_full_until_us;
    bool lacks_reservations; /* The worker does not support reservations. */
    bool closes_answers;     /* One of its answers was ended by the end of its
                                connection. */
    bool tells_no_start;     /* It doesn't say when it started. */
    bool tells_start;        /* It has said so. */
    /* Start that it told last at the entry's address, and when; 0: none. */
    int64_t told_born_ms;
    int64_t told_us;
    uint64_t told_number; /* Last connection that was opened until then. */
    double service_us;    /* Moving average of a call's duration. */
    double slowness;      /* Moving average of measured prefill time over
                             expected prefill time, which includes waits. */
    FleetPace pace;
} FleetWorker;

/* A software version of a service's workers that this VM has seen. */
typedef struct FleetVersion {
    char service[FLEET_NAME_MAX];
    char name[FLEET_NAME_MAX];
    uint32_t hash;
    int64_t left_us; /* When its last worker left, or time of the entry if one
                        is listed. */
} FleetVersion;

typedef struct FleetOptions {
    /* Time after which the entry of a worker that writes no more is removed
       from the source. */
    int64_t entry_lapse_us;
    /* Time for which a worker that says that it leaves serves on. */
    int64_t drain_us;
} FleetOptions;

typedef struct Fleet {
    FleetOptions options;
    uint64_t era;         /* Latest era of an entry or of a sweep. */
    int64_t era_began_us; /* When this VM learned of it. */
    GHashTable *workers;  /* Identifier to FleetWorker. */
    GHashTable *hashes;   /* Hash of the identifier to FleetWorker. */
    GPtrArray *rows;      /* All FleetWorkers, for iteration. */
    GPtrArray *versions;  /* FleetVersions. */
    int64_t complete_us;  /* When all entries were first known; 0: not yet. */
    /* When a worker last told a start that no entry tells of; 0: never. */
    int64_t unknown_start_us;
} Fleet;

FleetOptions Fleet_DefaultOptions(void);
Fleet *Fleet_New(const FleetOptions *options);
void Fleet_Free(Fleet *fleet); /* NULL is allowed. */

/* Return NULL if there is no such worker. The fleet owns the worker: a caller
   that keeps it takes a reference with Fleet_Ref(). */
FleetWorker *Fleet_Find(const Fleet *fleet, const char *id);
FleetWorker *Fleet_FindByHash(const Fleet *fleet, uint64_t hash);
/* Returns the worker that was last listed at this address. */
FleetWorker *Fleet_FindByAddress(const Fleet *fleet, const char *address);
/* Adds the worker, or updates the entry of a known one. Returns NULL, and
   ignores the entry, if its position is before the known one. An entry of a
   newer era may be older than what is known, as the source returned from a
   copy: a worker that was draining stays so, and one that had left gets no
   work until it writes again or its entry has outlived a worker's absence. */
FleetWorker *Fleet_SetEntry(Fleet *fleet, const FleetEntry *from,
                            int64_t now_us);
/* Returns whether the worker is listed with this position of its entry, and
   keeps it in the running sweep if so. A complete list holds mostly entries
   that are known. */
bool Fleet_KeepEntry(Fleet *fleet, const char *id, Pos position);
/* Marks the worker's entry as removed, unless the known entry is newer than
   `position`. The worker itself stays until Fleet_Prune(). */
void Fleet_RemoveEntry(Fleet *fleet, const char *id, Pos position,
                       int64_t now_us);
/* The same for an entry that another writer has overwritten: it names no
   worker to use from now on. What runs at the worker goes on. */
void Fleet_RejectEntry(Fleet *fleet, const char *id, Pos position,
                       int64_t now_us);
/* Enclose a complete reading of the source: Fleet_EndSweep() marks the entries
   as removed that were not set since Fleet_BeginSweep(). Those of an older era
   stay listed until FLEET_ERA_GRACE_US after this VM learned of the newer. */
void Fleet_BeginSweep(Fleet *fleet, uint64_t era, int64_t now_us);
void Fleet_EndSweep(Fleet *fleet, int64_t now_us);
/* Returns the number of software versions of a service that were in service
   at any time since `since_us`, and stores the hash of one in *version. 0 if
   this VM does not know all workers since then. */
uint32_t Fleet_CountVersions(const Fleet *fleet, const char *service,
                             int64_t since_us, int64_t now_us,
                             uint32_t *version);
/* Whether workers of a software version are listed that run streams. */
bool Fleet_HasVersion(const Fleet *fleet, const char *service,
                      uint32_t version, int64_t now_us);
/* Returns the name of a software version for logs, or "" if it is unknown. */
const char *Fleet_GetVersionName(const Fleet *fleet, uint32_t version);
/* Drops workers that have no calls and whose entry was removed at least ten
   times FLEET_REMOVED_GRACE_US ago. */
void Fleet_Prune(Fleet *fleet, int64_t now_us);

FleetWorker *Fleet_Ref(FleetWorker *worker);
void Fleet_Unref(FleetWorker *worker); /* NULL is allowed. */
/* Notes that a worker has told a start that no entry tells of: its version is
   not known. */
void Fleet_NoteUnknownStart(Fleet *fleet, int64_t now_us);
/* Notes the start that a worker has told at an address. `number`: of the last
   connection that was opened, to any worker. */
void Fleet_NoteToldStart(FleetWorker *worker, const char *address,
                         int64_t born_ms, uint64_t number, int64_t now_us);
/* Returns what identifies a start of the worker; 0 if the time of the start,
   Unix milliseconds, is not known (0). */
uint64_t Fleet_GetStartLabel(const FleetWorker *worker, int64_t born_ms);
/* The same for a process of the worker that tells no start. */
uint64_t Fleet_GetNoStartLabel(const FleetWorker *worker);
/* Notes that the worker refused a request as not meant for it. It gets none
   for FLEET_MISDIRECTED_US. */
void Fleet_NoteMisdirected(FleetWorker *worker, int64_t now_us);
/* Notes that the worker says that it leaves. */
void Fleet_NoteLeaving(Fleet *fleet, FleetWorker *worker, int64_t now_us);
/* Notes that another VM says so. */
void Fleet_NoteTold(const Fleet *fleet, FleetWorker *worker, int64_t now_us);
/* Whether the worker leaves, so that it gets work only if no other can
   serve. */
bool Fleet_IsLeaving(const FleetWorker *worker);
/* Whether new work may go to the worker. */
bool Fleet_IsUsable(const FleetWorker *worker, int64_t now_us);
/* Whether the source lists the worker. */
bool Fleet_IsListed(const FleetWorker *worker, int64_t now_us);
/* Whether the worker's entry was removed lately, and the worker can be asked
   for its start, which alone shows that it is still the process of the entry.
   */
bool Fleet_MayServeOn(const FleetWorker *worker, int64_t now_us);
/* Whether the worker is listed, and neither draining, leaving, doubted nor
   replaced. */
bool Fleet_IsReady(const FleetWorker *worker, int64_t now_us);
/* Whether the worker changes its phase now, and thus refuses work. */
bool Fleet_IsChangingPhase(const FleetWorker *worker, int64_t now_us);
/* Stores the load that the worker reported: requests running and queued. */
void Fleet_NoteLoad(FleetWorker *worker, uint32_t running, uint32_t waiting,
                    double pace, int64_t now_us);

#endif
