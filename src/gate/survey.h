/* Survey: asks decode workers of a service which prompts they keep in memory,
   and which they kept lately. A worker keeps the prompt of a stream for some
   time after the stream's connection is gone, and names it among its changes
   for longer, so that VMs that know nothing of the stream find the software
   version that ran it. Each VM asks the workers whose holder it is
   (decide/holders.h). */
#ifndef LS_SURVEY_H
#define LS_SURVEY_H

#include "../decide/resumption.h"
#include "gate.h"

/* Shortest time between two surveys of a service: a list delays its worker. */
#define SURVEY_INTERVAL_US (500 * CLK_US_PER_MS)
/* A worker that has not answered by then counts as keeping nothing. */
#define SURVEY_TIMEOUT_US (400 * CLK_US_PER_MS)
/* Lists of one service that are awaited at a time; further ones follow. */
#define SURVEY_CALLS_MAX 64
/* Time for which answers are kept, longer than callers resume a stream. Then
   later surveys replace them instead of adding to them. */
#define SURVEY_KEEP_US (30 * CLK_US_PER_S)
/* In place of a version: workers of several versions keep the part. */
#define SURVEY_SEVERAL 0
#define SURVEY_LIST_MAX_BYTES (512 * 1024)
/* Parts of prompts that are remembered for a service; further ones are not. */
#define SURVEY_PARTS_MAX 131072

/* What is known of the prompt that ends with one part. */
typedef struct SurveyPart {
    uint64_t part;
    uint32_t version; /* That keeps or kept it; SURVEY_SEVERAL if there are
                         several. */
    uint64_t worker;  /* Hash of a worker that keeps it. */
} SurveyPart;

typedef struct Surveys Surveys;

Surveys *Survey_New(Gate *gate);
/* Ends and frees all surveys. */
void Survey_Free(Surveys *surveys);
/* Asks the own workers of all services that run streams once it is known which
   VMs share them, as this VM has just started: what they keep from before is
   replaced soon. */
void Survey_BeginAll(Gate *gate);
/* Whether the own workers have not yet answered for the first time since this
   VM started. */
bool Survey_IsFirst(const Gate *gate, const char *service);
/* Returns what the own workers told of the prompt that ends with this part,
   and begins a survey if none was made since `since_us`; 0: any one counts.
   Stores who keeps the prompt in *kept if only one version does. To
   be called again while the state is RESUMPTION_ASKING. */
ResumptionSurvey Survey_Find(Gate *gate, const char *service, uint64_t part,
                             int64_t since_us, SurveyPart *kept);
/* Returns the hashes (uint64_t) of all decode workers of the service that can
   be asked, of all VMs. The caller frees the array. */
GArray *Survey_ListWorkers(const Gate *gate, const char *service);

#endif
