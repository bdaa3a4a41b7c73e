/* Operations (Op_): runs non-idempotent operations at most once. A caller
   first requests a key. The key names the process that issued it, and only
   that process may run the operation. If the process no longer exists, calls
   with its keys are answered "outcome unknown" and never run. */
#ifndef LS_OPERATION_H
#define LS_OPERATION_H

#include "board.h"

#define OP_KEY_MAX 128 /* Bytes of a key, with the final NUL. */
#define OP_DEADLINE_US (20 * CLK_US_PER_S) /* Time from call to answer. */
/* Time after its issue for which a key stays in the table. */
#define OP_KEY_LIFETIME_US (3600 * CLK_US_PER_S)
#define OP_KEYS_MAX 100000               /* Keys in the table. */
#define OP_ANSWER_MAX_BYTES (256 * 1024) /* Longer answers are dropped. */

/* Parameters of an operation. Strings are copied. */
typedef struct OpParams {
    uint64_t caller;
    const ConCustomer *customer;
    const char *key;
    const char *service;
    const char *path;
    const char *body;
    size_t body_size;
} OpParams;

typedef struct Op Op;

Op *Op_New(void);
void Op_Free(Op *op);

/* Issues a key to a customer and copies it to `key`. Returns LS_OK,
   LS_ERR_SHUTTING_DOWN, LS_ERR_OPERATION_TABLE_FULL or a quota error. */
LsResult Op_IssueKey(Board *board, const ConCustomer *customer, char *key,
                     size_t key_size, LsError *err);
/* Runs the operation, repeats its stored answer, or forwards the call to the
   VM that issued the key. The caller gets exactly one answer. */
void Op_Begin(Board *board, const OpParams *params);
/* Cancels the answer to a caller that disconnected. The operation itself
   continues. */
void Op_Cancel(Board *board, uint64_t caller);
/* Handles a call that the VM `vm` forwarded. */
void Op_OnCall(Board *board, const char *vm, const Wire__OperationCall *call);
/* Handles the answer to a call that this VM forwarded. */
void Op_OnAnswer(Board *board, const Wire__OperationAnswer *answer);
/* Answers the calls forwarded to a VM whose link failed: outcome unknown. */
void Op_OnLinkDown(Board *board, const char *vm);
/* Answers calls past their deadlines and removes expired keys. */
void Op_OnTick(Board *board);
/* Answers all calls in progress, as the process ends. */
void Op_EndAll(Board *board);
/* Number of operations sent to a service and not yet answered. */
guint Op_CountRunning(const Op *op);

#endif
