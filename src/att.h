/* Att: one attempt of a completion at engines: prefill, decode, resume, and
   giving up. */
#ifndef LS_ATT_H
#define LS_ATT_H

#include "board.h"

#include <sys/queue.h>

/* Where a completion stands. */
typedef enum AttStage {
    ATT_WAIT_GRANT, /* For the home. */
    ATT_PREFILL,
    ATT_DECODE,
    ATT_BACKOFF, /* Before the next attempt. */
} AttStage;

/* A completion at its entry, with its present attempt. */
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
    GArray *prefixes; /* guint64 */
    GString *text;    /* Delivered to the caller. */
    uint32_t tokens;  /* Delivered to the caller. */
    AttStage stage;
    uint32_t attempt;
    uint32_t failures;
    bool sent;    /* Some work left for an upstream. */
    bool resumed; /* The present engine was asked to continue once. */
    bool kv_used; /* The present prefill's result was decoded from. */
    char finish_reason[CON_ID_MAX];
    char cell[CON_ID_MAX * 2];
    char cell_region[CON_ID_MAX];
    char home[CON_ID_MAX];
    char prefill[CON_ID_MAX];
    char decode[CON_ID_MAX];
    GPtrArray *cells_refused; /* char * */
    GPtrArray *avoid;         /* char * */
    uint64_t call;
    int64_t arrived_us;
    int64_t budget_us;   /* From when the first-token target counts. */
    int64_t progress_us; /* When the upstream last moved on. */
    int64_t first_token_us;
    int64_t backoff_until_us;
    int64_t home_check_us;
} AttCompletion;

/* Whether engines may hold something for the attempt. */
bool Att_HasGrant(const AttCompletion *item);
void Att_SetStage(Board *board, AttCompletion *item, AttStage stage);
/* Longest time without progress that the present stage allows. */
int64_t Att_GetTimeout(const Board *board, const AttCompletion *item);
void Att_BeginPrefill(Board *board, AttCompletion *item);
/* Asks the present decode engine to go on from the last token received. */
void Att_BeginResume(Board *board, AttCompletion *item);
/* Gives up what the attempt holds at engines. */
void Att_Cancel(Board *board, AttCompletion *item);

#endif
