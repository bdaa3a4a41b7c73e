/* Lookup: asks other VMs which software version began a stream, for a caller
   that resumes it at a VM without a record, and answers them. The VMs asked
   are the holders (decide/holders.h). */
#ifndef LS_LOOKUP_H
#define LS_LOOKUP_H

#include "../decide/holders.h"
#include "gate.h"
#include "survey.h"

/* Streams that are looked up at a time; further ones are not. */
#define LOOKUPS_MAX 2048
/* Questions in one message to another VM, some 35 bytes each. */
#define LOOKUP_QUESTIONS_MAX 16
/* Time for which further questions are collected for the same message. */
#define LOOKUP_COLLECT_MS 5
/* A holder that has not answered, or still asks its workers, is asked again
   after this time. */
#define LOOKUP_REPEAT_US (100 * CLK_US_PER_MS)
/* Holders that have not answered by then are not waited for ... */
#define LOOKUP_TIMEOUT_US (400 * CLK_US_PER_MS)
/* ... but for this time while one still asks its workers: its next survey
   begins as it is asked again after the interval, and its answer is that of
   the question after the survey. */
#define LOOKUP_ASKING_TIMEOUT_US                                              \
    (SURVEY_INTERVAL_US + SURVEY_TIMEOUT_US + 2 * LOOKUP_REPEAT_US)

/* A question to another VM. */
typedef struct LookupQuestion {
    uint64_t request; /* As in Origin. */
    uint64_t service; /* Hash of its name. */
    uint64_t part;    /* Own part of the prompt, if has_part. */
    bool has_part;
    /* Workers that were asked before this time are asked again if none of a
       holder's keeps the prompt; 0: none is asked again. */
    int64_t since_us;
} LookupQuestion;

typedef struct LookupAnswer {
    uint64_t request;
    ResumptionSurvey survey; /* RESUMPTION_NOT_ASKED: this VM does not know, as
                                it is no holder. */
    uint32_t version;
    uint64_t worker;
} LookupAnswer;

typedef struct Lookups Lookups;

Lookups *Lookup_New(Gate *gate);
void Lookup_Free(Lookups *lookups);
/* Returns what the holders know of the prompt that ends with the question's
   part, and asks them first. Stores who keeps it in *kept if only one version
   does. A record that one of them has is stored in the gate's origins. To be
   called again while the state is RESUMPTION_ASKING. `since_us` is the arrival
   of the request; only if no holder knows of it, workers are asked anew. */
ResumptionSurvey Lookup_Find(Gate *gate, const char *service,
                             const LookupQuestion *question,
                             HoldersAnswer *kept);
/* Number of holders that answered for good, and of all, for logs. */
uint32_t Lookup_CountAnswers(const Gate *gate, uint64_t request,
                             uint32_t *holders);
/* Answers the question of another VM from what this VM knows, and stores the
   record of the stream in *origin if there is one. */
LookupAnswer Lookup_Answer(Gate *gate, const LookupQuestion *question,
                           const Origin **origin);
/* Notes the answer of another VM. */
void Lookup_NoteAnswer(Gate *gate, uint64_t holder,
                       const LookupAnswer *answer);

#endif
