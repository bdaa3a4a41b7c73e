/* Holders: decides which VMs ask which workers for the prompts that they keep,
   and what their answers tell together.

   When all VMs were killed at once, hundreds of VMs start in the same moment,
   and callers resume hundreds of streams at any of them within some seconds. A
   worker knows for a short time which prompts it has read, which shows the
   software version that began a stream; but each list delays its worker, and
   300 VMs that ask 300 workers each would stop all of them. So each worker is
   asked by two VMs, its holders: in a small fleet any VM is one, in a large
   one only the hubs, which have the records of begun streams, too. A VM that
   gets a resumption asks the holders. */
#ifndef LS_HOLDERS_H
#define LS_HOLDERS_H

#include "resumption.h"

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Most VMs that share the workers; those with higher addresses are left out.
 */
#define HOLDERS_MAX 32
/* Holders of a worker: while one starts or is lost, the other one answers. */
#define HOLDERS_PER_WORKER 2
/* A VM that starts asks its workers once it has known the same holders for
   this time, as others that start with it appear one by one ... */
#define HOLDERS_SETTLE_MS 300
/* ... but no later than this, as new prompts replace the old ones. */
#define HOLDERS_SETTLE_MAX_MS 1000
/* A VM that has heard no other one may have been started before the VMs by
   which it finds the others. Then it waits for them up to this time. */
#define HOLDERS_ALONE_MAX_MS 3000

/* The VMs that share the workers, as this VM knows them. */
typedef struct Holders {
    uint64_t self;                   /* Address of this VM. */
    uint64_t addresses[HOLDERS_MAX]; /* In ascending order. */
    uint32_t count;
    bool is_alone; /* This VM has heard no other one, though there may be some.
                    */
} Holders;

/* The wait of a VM that starts until it asks its workers. */
typedef struct HoldersWait {
    int64_t began_us; /* When it had learned all workers. */
    int64_t since_us; /* The same, or when it last heard nobody. */
    int64_t same_us;  /* Since when the holders are the same. */
    Holders known;    /* As seen last. */
} HoldersWait;

/* What one holder tells of a prompt. */
typedef struct HoldersAnswer {
    uint64_t holder;         /* Its address. */
    ResumptionSurvey survey; /* Of its own workers. */
    uint32_t version;        /* That keeps the prompt, if only one does. */
    uint64_t worker;         /* Hash of a worker that keeps it. */
} HoldersAnswer;

/* The last answer of each holder. */
typedef struct HoldersAnswers {
    HoldersAnswer rows[HOLDERS_MAX];
    uint32_t count;
} HoldersAnswers;

void Holders_Add(Holders *holders, uint64_t address);
bool Holders_Contains(const Holders *holders, uint64_t address);
/* Whether both are the same VMs. */
bool Holders_IsEqual(const Holders *a, const Holders *b);
/* Stores the holders of a worker, and returns their number. */
uint32_t Holders_GetOf(const Holders *holders, uint64_t worker,
                       uint64_t of[HOLDERS_PER_WORKER]);
/* Whether this VM asks the worker. */
bool Holders_IsOwn(const Holders *holders, uint64_t worker);
void Holders_BeginWait(HoldersWait *wait, const Holders *known,
                       int64_t now_us);
/* Whether a VM that starts may ask its workers for the first time. */
bool Holders_HaveSettled(HoldersWait *wait, const Holders *known,
                         int64_t now_us);

/* Stores an answer in place of an earlier one of the holder. */
void Holders_NoteAnswer(HoldersAnswers *answers, const HoldersAnswer *answer);
/* Whether the holder has answered for good. */
bool Holders_HasAnswered(const HoldersAnswers *answers, uint64_t holder);
/* Returns what the answers tell of a prompt: RESUMPTION_ASKING while further
   ones may change it, unless `is_over`. Only if one version keeps the prompt,
   *kept is its answer. RESUMPTION_CANNOT_ASK: some workers have no holder that
   answered. */
ResumptionSurvey Holders_Judge(const Holders *holders,
                               const HoldersAnswers *answers,
                               const uint64_t *workers, uint32_t worker_count,
                               bool is_over, HoldersAnswer *kept);

#endif
