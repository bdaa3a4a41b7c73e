/* Flt: the workers that this VM knows, what their entries say, and what its
   own calls have shown of them since. */
#ifndef LS_FLT_H
#define LS_FLT_H

#include "../clk.h"
#include "../decide/hlt.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FLT_ID_MAX 64
#define FLT_ADDRESS_MAX 48
#define FLT_NAME_MAX 64

/* How long a worker whose entry lapsed without notice is still used, while no
   other is at hand: less than any bound on the use of leaving workers. */
#define FLT_REMOVED_GRACE_US (1500 * CLK_US_PER_MS)
/* Age at which a worker's word on its load stops counting. */
#define FLT_LOAD_MAX_AGE_US (300 * CLK_US_PER_MS)

typedef enum FltPhase {
    FLT_PHASE_NONE, /* A plain service's worker. */
    FLT_PHASE_PREFILL,
    FLT_PHASE_DECODE,
} FltPhase;

/* What a worker's entry says. */
typedef struct FltEntry {
    char id[FLT_ID_MAX]; /* Of one start of the worker, as a rule. */
    char address[FLT_ADDRESS_MAX];
    char service[FLT_NAME_MAX];
    char zone[FLT_NAME_MAX];
    FltPhase phase;
    uint32_t slots;
    bool draining;
    int64_t born_ms; /* Unix time of its start; 0 if not told. */
    uint64_t revision;
} FltEntry;

typedef struct FltWorker {
    FltEntry entry;
    uint64_t hash; /* Of its identifier, as VMs name it to each other. */
    gint refs;
    bool listed;       /* Its entry stands. */
    int64_t lapsed_us; /* When its entry went without notice, or 0. */
    bool replaced;     /* Another worker answers at its address. */
    bool swept;        /* Not seen by the re-reading that is under way. */
    HltState health;
    uint32_t inflight;      /* Own calls. */
    uint64_t reading;       /* Prompt tokens of own calls, not yet read. */
    uint64_t held;          /* Memory of own calls, tokens. */
    uint32_t peer_inflight; /* Other VMs' calls, as they last said. */
    uint64_t peer_reading;
    uint64_t peer_held;
    uint32_t peer_unreachable; /* Other VMs that can't reach it. */
    uint32_t
        peer_phase_changes; /* Other VMs that know it to change its phase. */
    int64_t phase_change_until_us; /* This VM ordered it to. */
    uint32_t load_running;         /* Its own word. */
    uint32_t load_waiting;
    int64_t load_us;
    int64_t full_until_us;   /* It had no room: others are asked first. */
    bool lacks_reservations; /* It does not know reservations. */
    double service_us;       /* Mean time of a call, moving. */
    double slowness;         /* Of prompts read, against the expected time. */
} FltWorker;

typedef struct Flt {
    GHashTable *workers; /* Id to FltWorker. */
    GHashTable *hashes;  /* Hash of the id to the same. */
    GPtrArray *rows;     /* The same, for loops. */
} Flt;

Flt *Flt_New(void);
void Flt_Free(Flt *flt);

FltWorker *Flt_Find(const Flt *flt, const char *id);
FltWorker *Flt_FindByHash(const Flt *flt, uint64_t hash);
/* Adds the worker or takes over its entry. An older revision is ignored;
   returns NULL for it. */
FltWorker *Flt_SetEntry(Flt *flt, const FltEntry *entry);
/* The worker's entry is gone, unless a newer one than `revision` stands. */
void Flt_RemoveEntry(Flt *flt, const char *id, uint64_t revision,
                     int64_t now_us);
/* Between these two every entry that stands is set; the others are gone. */
void Flt_BeginSweep(Flt *flt);
void Flt_EndSweep(Flt *flt, int64_t now_us);
/* Frees workers that are gone and idle. */
void Flt_Prune(Flt *flt, int64_t now_us);

FltWorker *Flt_Ref(FltWorker *worker);
void Flt_Unref(FltWorker *worker); /* NULL is allowed. */
/* Whether new work may go to the worker. */
bool Flt_IsUsable(const FltWorker *worker, int64_t now_us);
/* Whether its entry stands and it is not leaving. */
bool Flt_IsReady(const FltWorker *worker);
/* Whether it changes its phase now, and refuses work. */
bool Flt_IsChangingPhase(const FltWorker *worker, int64_t now_us);
void Flt_NoteLoad(FltWorker *worker, uint32_t running, uint32_t waiting,
                  int64_t now_us);

#endif
