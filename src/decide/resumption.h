/* Resumption: decides where a stream that its caller resumes may go on.

   In a rolling release workers of two or three software versions serve side by
   side, or those of the old version have just left. When a VM is killed then,
   the callers of all its streams resume them within a second at other VMs;
   when all VMs are killed, they do so at VMs that know nothing of before. The
   texts of two versions don't fit together, and no worker checks it. So a
   stream goes on only at the version that began it. The sources of that
   knowledge are the VMs' records of streams that began, the workers, which
   keep the prompts that they have read, and the versions that this VM has
   seen. That it has seen no other one is no proof by itself: a VM that was cut
   off from the others, or stood still, has missed workers that joined and the
   records of their streams. So the others are asked first, each of them must
   answer, and the VM must have been in step with them throughout the callers'
   time. A stream whose version stays unknown is refused at once. */
#ifndef LS_RESUMPTION_H
#define LS_RESUMPTION_H

#include <stdbool.h>
#include <stdint.h>

/* What the workers' lists of prompts tell of the stream. */
typedef enum ResumptionSurvey {
    RESUMPTION_NOT_ASKED,
    RESUMPTION_ASKING,
    RESUMPTION_KEPT_BY_NONE,
    RESUMPTION_KEPT_BY_ONE_VERSION,
    RESUMPTION_KEPT_BY_SEVERAL,
    RESUMPTION_CANNOT_ASK, /* Some workers were not asked, or the prompt has no
                              parts. */
} ResumptionSurvey;

typedef struct ResumptionState {
    bool has_record; /* The VMs know which version began the stream. */
    /* Versions that were in service within the callers' time; 0 if this VM
       has not watched for so long, or was out of step with the others. */
    uint32_t versions;
    bool have_all_answered; /* The VMs that share the workers. */
    ResumptionSurvey survey;
} ResumptionState;

typedef enum ResumptionStep {
    RESUMPTION_FOLLOW_RECORD, /* Go on at the version of the record. */
    RESUMPTION_FOLLOW_ONLY,   /* Go on at the only version. */
    RESUMPTION_FOLLOW_SURVEY, /* Go on at the version that keeps the prompt. */
    RESUMPTION_ASK,           /* Ask the holders. */
    RESUMPTION_WAIT,          /* Wait for their answers. */
    RESUMPTION_REFUSE,
} ResumptionStep;

ResumptionStep Resumption_Decide(const ResumptionState *state);

#endif
