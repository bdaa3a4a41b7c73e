/* Attempts (Att_): runs one attempt of a completion at its engines: prefill,
   decode, resume after a broken stream, and cancellation. */
#ifndef LS_ATTEMPT_H
#define LS_ATTEMPT_H

#include "board.h"

#include <sys/queue.h>

/* Stage of the current attempt. */
typedef enum AttStage {
    ATT_WAIT_GRANT, /* The home has not answered the reservation. */
    ATT_PREFILL,
    ATT_DECODE,
    ATT_BACKOFF, /* The attempt failed; the next one is scheduled. */
} AttStage;

/* A completion at its entry, with its current attempt. */
typedef struct AttCompletion {
    TAILQ_ENTRY(AttCompletion) link;
    char id[BOARD_REQUEST_ID_MAX];
    uint64_t caller;
    char customer[CON_ID_MAX];
    char model[CON_ID_MAX];
    char *prompt;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t priority;
    int64_t first_token_target_us;
    int64_t per_token_target_us;
    GArray *prefixes; /* guint64 hashes, shortest prefix first */
    GString *text;    /* Text delivered to the caller. */
    uint32_t tokens;  /* Number of tokens delivered to the caller. */
    AttStage stage;
    uint32_t attempt;               /* Number of the attempt, from 0. */
    uint32_t failures;              /* Number of failed attempts. */
    bool sent;                      /* Some work may have reached an engine. */
    bool resumed;                   /* The attempt's only resume was sent. */
    bool kv_used;                   /* The decode used the prefill's result. */
    char finish_reason[CON_ID_MAX]; /* Empty until the last chunk. */
    char cell[CON_ID_MAX * 2];      /* "model@region" */
    char cell_region[CON_ID_MAX];
    char home[CON_ID_MAX];    /* Home of the reservation or the grant. */
    char prefill[CON_ID_MAX]; /* Upstream of the prefill, or "". */
    char decode[CON_ID_MAX];  /* Upstream of the decode, or "". */
    GPtrArray *cells_refused; /* char *, cells that refused the completion */
    GPtrArray *avoid;         /* char *, upstreams that failed */
    uint64_t call;            /* Board call in progress, or 0. */
    int64_t arrived_us;
    int64_t budget_start_us;  /* Start of the first-token target. */
    int64_t last_progress_us; /* Last change of stage or upstream event. */
    int64_t first_token_us;   /* Time of the first token; 0 before it. */
    int64_t backoff_until_us; /* End of ATT_BACKOFF. */
    int64_t home_check_us;    /* Next check whether the home changed. */
} AttCompletion;

/* Whether engines may hold resources for the attempt. */
bool Att_HasGrant(const AttCompletion *item);
/* Sets the stage and restarts its time-out. */
void Att_SetStage(Board *board, AttCompletion *item, AttStage stage);
/* Returns the longest time without progress that the current stage allows, in
   microseconds. */
int64_t Att_GetTimeout(const Board *board, const AttCompletion *item);
/* Sends the prefill to its engine. The attempt fails if the engine left the
   configuration. */
void Att_BeginPrefill(Board *board, AttCompletion *item);
/* Asks the decode engine to continue after the last token received. */
void Att_BeginResume(Board *board, AttCompletion *item);
/* Cancels the call in progress and the attempt's requests at engines. Cancels
   are sent even after a call failed, because the engine may not have noticed
   the failure. */
void Att_Cancel(Board *board, AttCompletion *item);

#endif
