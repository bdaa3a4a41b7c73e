/* Reach: decides whether this VM is cut off from the workers of a service.

   A VM loses its paths to all workers for seconds, while callers and other VMs
   still reach it. Its connections hang, are reset, or live on while new ones
   are refused. A third and more of 140 workers also crash in one moment, and
   all of a small service: then several calls fail one after the other before
   any worker answers. So calls without an answer are only a reason to look:
   new connections to a bounded sample of the workers follow, and one that
   succeeds ends the suspicion. If all fail, a worker must be shown to live: it
   goes on to answer on an old connection, or another VM hears it, while a new
   connection of this VM to it fails. Otherwise the workers are lost for the
   other VMs, too, and there is no way round. */
#ifndef LS_REACH_H
#define LS_REACH_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Workers that are tried at once. The one heard last comes first, as it is the
   most likely to live, and half of them are drawn at random. */
#define REACH_SAMPLE_MAX 8
#define REACH_SAMPLE_HEARD_MAX 4
/* Workers that are tried since they seem to live: to other VMs, and to this
   one by old connections. */
#define REACH_TOLD_CHECKS_MAX 4
#define REACH_OWN_CHECKS_MAX 4
#define REACH_PROBES_MAX                                                      \
    (REACH_SAMPLE_MAX + REACH_TOLD_CHECKS_MAX + REACH_OWN_CHECKS_MAX)
/* Workers that must go on to answer on old connections, if no other VM hears
   them: one that leaves by itself may close its listener first. */
#define REACH_LIVE_MIN 2
/* Workers that other VMs must go on to hear, while further ones are tried. */
#define REACH_TOLD_MIN 2
/* What a worker sent before its crash arrives, and is told by other VMs, up to
   this much later. */
#define REACH_DELAY_US (30 * CLK_US_PER_MS)
/* A worker seems to live for this long after its last bytes. */
#define REACH_ALIVE_US (250 * CLK_US_PER_MS)
/* Time within which other VMs answer the question for a living worker. */
#define REACH_ANSWER_US (300 * CLK_US_PER_MS)

typedef struct ReachWorker {
    uint64_t hash;    /* Of its identifier. */
    int64_t heard_us; /* Last bytes from it, or connection to it; 0: none. */
    int64_t unanswered_us; /* Since when its last unanswered call has brought
                              nothing; 0: none. */
    uint32_t random;
} ReachWorker;

typedef enum ReachOutcome {
    REACH_PENDING,
    REACH_FAILED,
    REACH_CONNECTED,
} ReachOutcome;

/* Why a worker is tried. */
typedef enum ReachReason {
    REACH_SAMPLE,
    REACH_TOLD,  /* Another VM hears it. */
    REACH_HEARD, /* It answers this VM. */
} ReachReason;

/* A new connection to a worker. */
typedef struct ReachProbe {
    uint64_t worker; /* As in ReachWorker. */
    ReachReason reason;
    ReachOutcome outcome;
    int64_t began_us;
    int64_t heard_us; /* Last bytes from it on other connections; 0: none. */
    int64_t told_us;  /* When another VM heard it last; 0: never. */
} ReachProbe;

/* One look at the workers of a service. All zero: none. */
typedef struct ReachRound {
    int64_t began_us;
    int64_t failed_us; /* When the last probe failed. */
    ReachProbe probes[REACH_PROBES_MAX];
    uint32_t count;
} ReachRound;

/* The other VMs that may serve for this one. */
typedef struct ReachOthers {
    uint32_t silent; /* They have not said yet whether they hear a worker. */
    uint32_t mute;   /* Of these, those of an earlier version, which never say
                        so, that sent messages meanwhile. */
} ReachOthers;

typedef enum ReachVerdict {
    REACH_UNDECIDED,
    REACH_OPEN, /* A worker can be reached. */
    REACH_LOST, /* This VM reaches none, and neither does any other VM. */
    REACH_CUT,  /* Other VMs reach workers that this one doesn't. */
} ReachVerdict;

/* Whether calls without an answer are a reason to look: no worker was heard
   after one of them fell silent. */
bool Reach_IsSuspicious(const ReachWorker *workers, uint32_t count);
/* Moves the workers to try to the front, and returns their number. */
uint32_t Reach_ChooseSample(ReachWorker *workers, uint32_t count);
/* Whether the round needs a check of a worker that another VM heard last at
   this time, or, once the sample has failed, this VM itself. */
bool Reach_NeedsCheck(const ReachRound *round, uint64_t worker,
                      int64_t told_us);
bool Reach_NeedsOwnCheck(const ReachRound *round, uint64_t worker,
                         int64_t heard_us);
ReachVerdict Reach_Judge(const ReachRound *round, const ReachOthers *others,
                         int64_t now_us);

#endif
