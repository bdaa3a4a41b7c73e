/* Handover: decides when a call at a silent worker gets a successor, and when
   the call is given up for it.

   Workers fall silent for a second or more and go on; a VM can't tell them
   from workers that are lost. Several are silent at once, and each of them has
   many calls. If each call is closed after a fixed time and another worker is
   looked for then, all these requests need a reservation, a read prompt and
   the retry budget at the same moment. Those that get none of them end without
   an answer, though their workers would have gone on. So a call is kept until
   another worker has taken the request over. A silent worker gets no new
   requests long before that, and the remaining time of the caller decides when
   a successor is prepared, as each one costs a prompt that is read again. */
#ifndef LS_HANDOVER_H
#define LS_HANDOVER_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Time until a successor is looked for again after none could take over. */
#define HANDOVER_AGAIN_US (200 * CLK_US_PER_MS)
/* A successor to which the request was sent takes it over once its answer
   begins, or after this time. Two workers must not run a stream for longer
   than 400 ms. */
#define HANDOVER_ACCEPT_MAX_US (250 * CLK_US_PER_MS)

/* What the call has brought so far. */
typedef enum HandoverStage {
    HANDOVER_PLAIN,   /* Nothing; its answer comes as a whole. */
    HANDOVER_PREFILL, /* Nothing; it only reads the prompt. */
    HANDOVER_NO_EVENT,
    HANDOVER_EVENTS, /* Some events of a stream. */
} HandoverStage;

typedef struct HandoverCall {
    HandoverStage stage;
    int64_t expected_us; /* Estimated time to the first event or answer. */
    int64_t slo_us;      /* The route's latency objective. */
    int64_t gap_us;      /* Longest time between events within it. */
} HandoverCall;

/* Times without progress, since the call began or since its last event. */
typedef struct HandoverLimits {
    int64_t quiet_us;   /* Then its worker gets no new requests. */
    int64_t prepare_us; /* Then a successor is prepared. */
} HandoverLimits;

/* State of the worker that shall take the request over. */
typedef enum HandoverSuccessor {
    HANDOVER_NONE,      /* None, or it refused or failed. */
    HANDOVER_PREPARING, /* Memory or the prompt is not ready yet. */
    HANDOVER_SENT,      /* The request was sent to it. */
    HANDOVER_ACCEPTED,  /* Its answer has begun. */
} HandoverSuccessor;

typedef struct HandoverState {
    bool may_repeat;      /* The route allows another run. */
    bool has_progress;    /* The silent call goes on. */
    bool has_ended;       /* The silent call was interrupted. */
    bool is_limit_passed; /* The call was silent for `prepare_us`. */
    HandoverSuccessor successor;
    int64_t sent_us; /* Time since the request was sent to the successor. */
} HandoverState;

typedef enum HandoverStep {
    HANDOVER_WAIT,    /* Keep both as they are. */
    HANDOVER_PREPARE, /* Look for a successor. */
    HANDOVER_SWITCH,  /* Give up the silent call. */
    HANDOVER_RETURN,  /* Give up the successor. */
} HandoverStep;

HandoverLimits Handover_GetLimits(const HandoverCall *call);
HandoverStep Handover_Decide(const HandoverState *state);

#endif
