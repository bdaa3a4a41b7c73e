/* Suspects: decides which parts of prompts, and which single requests, crash
   the workers that answer on them.

   Requests with one such part come at any VM, and each of them ends a worker
   as its answer begins. If every VM treats that as a fault of the worker and
   sends the request, its repeats and the next requests to further workers, the
   pool is lost within seconds, and each worker again as soon as it is back.
   The other requests on the worker are lost with it, and share parts with the
   cause; so a crash alone blames nothing, nor do workers that crash together.
   Workers that fail within some milliseconds, most of them without the part,
   fail for another reason: under requests that are sent from one of them to
   the next they count once. A part is blamed if several workers crashed one
   after the other as they began an answer on it, none of them wrote one
   soundly since, and no other part explains the crashes. A request that
   crashes workers by itself comes again from its caller or a VM, while others
   share its parts soundly: what belongs to it alone is judged like a part,
   from two crashes on, or from three if each came as other workers failed too.
   Requests with a blamed part are refused. After a time that grows with the
   crashes, one VM lets one of them through, which clears the part if its
   answer is sound. */
#ifndef LS_SUSPECTS_H
#define LS_SUSPECTS_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

#define SUSPECTS_ROWS_MAX 512     /* Parts with crashes that are kept. */
#define SUSPECTS_CRASHES_MAX 6    /* Crashes that are kept of one part. */
#define SUSPECTS_SOUND_MAX 1024   /* Parts that are remembered as sound. */
#define SUSPECTS_FAILURES_MAX 256 /* Workers that failed, the latest ones. */
/* Depths of what belongs to one request alone, the narrowest last. */
#define SUSPECTS_OWN_DEPTH 1000000
#define SUSPECTS_OWN_DEPTH_MAX (SUSPECTS_OWN_DEPTH + 7)

/* An answer that began less than this before its worker crashed may be the
   cause; one that had gone on for longer is not. */
#define SUSPECTS_BEGIN_US (300 * CLK_US_PER_MS)
/* Time from the last crash in which other failures may still become known that
   clear a part again. */
#define SUSPECTS_SETTLE_US (250 * CLK_US_PER_MS)
/* A VM that starts waits no longer than this for another one to tell which
   requests crash workers. */
#define SUSPECTS_LEARN_US (100 * CLK_US_PER_MS)
/* Requests may still come for this time after one with a part was let through
   whose outcome is unknown. */
#define SUSPECTS_PROBE_TIMEOUT_US (15 * CLK_US_PER_S)

/* What a broken call says of the parts of its prompt. */
typedef enum SuspectsWeight {
    SUSPECTS_NONE, /* Its answer had gone on for some time. */
    SUSPECTS_WEAK, /* It had not begun, or had just begun. */
    SUSPECTS_FULL, /* Its answer had begun, and had no event. */
} SuspectsWeight;

typedef struct SuspectsCrash {
    uint64_t worker;  /* Identifies one start of one worker. */
    int64_t began_us; /* When the answer began, or else the call. */
    int64_t at_us;
    SuspectsWeight weight;
} SuspectsCrash;

/* A part of a prompt under which workers crashed. Times are this VM's. */
typedef struct SuspectsRow {
    uint64_t part;
    /* Lowest number of the part in a prompt, from 0 on, or one of what belongs
       to a request alone. */
    uint32_t depth;
    uint32_t crash_count;
    SuspectsCrash crashes[SUSPECTS_CRASHES_MAX]; /* Since `sound_us`. */
    /* Bits of the crashes in the same moment as those of other workers, and of
       these where most were without the part. */
    uint32_t common;
    uint32_t others;
    int64_t sound_us; /* Last sound answer on it; 0 if none is known. */
    int64_t probe_us; /* When a VM let a request through; 0 for never. */
    int64_t changed_us;
    uint32_t told; /* How often it was collected since it changed. */
    int64_t told_us;
    bool blamed;
    bool reported; /* The value of `blamed` at Suspects_TakeChange(). */
} SuspectsRow;

typedef struct SuspectsSound {
    uint64_t part;
    int64_t at_us;
} SuspectsSound;

/* One start of a worker that failed, whatever it ran. */
typedef struct SuspectsFailure {
    uint64_t worker;
    int64_t at_us;
} SuspectsFailure;

typedef struct Suspects {
    uint64_t vm; /* Hash of this VM's name. */
    SuspectsRow rows[SUSPECTS_ROWS_MAX];
    uint64_t parts[SUSPECTS_ROWS_MAX]; /* Of the rows, for quick search. */
    uint32_t row_count;
    uint32_t blamed_count;
    int64_t pruned_us;  /* When expired rows were dropped last. */
    uint32_t displaced; /* Parts dropped for want of room; for metrics. */
    SuspectsSound sound[SUSPECTS_SOUND_MAX];
    SuspectsFailure failures[SUSPECTS_FAILURES_MAX];
    uint32_t failure_count;
    int64_t learn_until_us; /* 0 once another VM has told its rows. */
} Suspects;

typedef enum SuspectsVerdict {
    SUSPECTS_CLEAR,
    SUSPECTS_PROBE,  /* This VM may let the request through now. */
    SUSPECTS_BLAMED, /* The request must not reach a worker. */
} SuspectsVerdict;

void Suspects_Init(Suspects *suspects, uint64_t vm);
/* This VM has started, and others may know suspects. */
void Suspects_BeginLearning(Suspects *suspects, int64_t now_us);
/* Another VM has told its rows. */
void Suspects_EndLearning(Suspects *suspects);
/* Whether requests must wait until another VM has told its rows. */
bool Suspects_IsLearning(const Suspects *suspects, int64_t now_us);
/* Rates a call that broke. `has_head`: the answer's header had come.
   `first_event_us`: time of the first event, 0 if there was none. */
SuspectsWeight Suspects_Rate(bool has_head, int64_t first_event_us,
                             int64_t now_us);
/* Notes that a worker crashed under a call with these parts. The last
   `own_count` of them, of which the last is the narrowest, belong to the
   request alone. */
void Suspects_NoteCrash(Suspects *suspects, const uint64_t *parts,
                        uint32_t count, uint32_t own_count,
                        const SuspectsCrash *crash, int64_t now_us);
/* Notes that a worker broke off calls or fell silent, which need not be a
   crash, nor have to do with a part. */
void Suspects_NoteFailure(Suspects *suspects, uint64_t worker, int64_t at_us,
                          int64_t now_us);
/* Notes that an answer on these parts was written soundly. Of the last
   `own_count` of them that is remembered only while crashes are known of them,
   as they are too many. */
void Suspects_NoteSound(Suspects *suspects, const uint64_t *parts,
                        uint32_t count, uint32_t own_count, int64_t now_us);
/* Whether this crash is known of one of the parts, and no sound answer on it
   is known. */
bool Suspects_IsUnderCrash(const Suspects *suspects, const uint64_t *parts,
                           uint32_t count, uint64_t worker);
/* Stores when a request may be let through in *until_us unless all parts are
   clear. */
SuspectsVerdict Suspects_Judge(const Suspects *suspects, const uint64_t *parts,
                               uint32_t count, int64_t now_us,
                               int64_t *until_us);
/* Whether other failures may still clear the parts that are blamed. */
bool Suspects_IsUnsettled(const Suspects *suspects, const uint64_t *parts,
                          uint32_t count, int64_t now_us);
/* Notes that this VM lets a request with these parts through. */
void Suspects_BeginProbe(Suspects *suspects, const uint64_t *parts,
                         uint32_t count, int64_t now_us);
/* Copies up to `max` rows, with twice as many crashes in all, for the other
   VMs, and returns their number: those that are news, the least told first,
   and some blamed ones. There are none unless workers crashed lately or a part
   is blamed. */
uint32_t Suspects_Collect(Suspects *suspects, SuspectsRow *rows, uint32_t max,
                          int64_t now_us);
/* Adds what another VM knows of a part. Returns whether that is news. */
bool Suspects_Merge(Suspects *suspects, const SuspectsRow *from,
                    int64_t now_us);
/* Returns a row that was blamed, and is settled, or cleared since it was
   returned last, or NULL. */
const SuspectsRow *Suspects_TakeChange(Suspects *suspects, int64_t now_us);

#endif
