/* Op: non-idempotent operations, run at most once. A caller first has a key
   issued; the key names the process that issued it, and only that process,
   while it lives, may run the operation. A key whose process is gone is
   answered "outcome unknown" and never run again. */
#ifndef LS_OP_H
#define LS_OP_H

#include "board.h"

#define OP_KEY_MAX 128
#define OP_DEADLINE_US (20 * CLK_US_PER_S)
#define OP_KEEP_US (3600 * CLK_US_PER_S) /* A key's life in the table. */
#define OP_KEYS_MAX 100000               /* Keys in the table. */
#define OP_BODY_MAX (256 * 1024)         /* Bytes of a kept answer. */

/* A call of an operation by a caller of this VM. */
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

/* Issues a key to a customer. */
LsResult Op_IssueKey(Board *board, const ConCustomer *customer, char *key,
                     size_t key_size, LsError *err);
/* Runs the operation, or answers from the table, or asks the VM that issued
   the key. The caller's one answer follows. */
void Op_Begin(Board *board, const OpParams *order);
/* The caller is gone; the operation itself goes on. */
void Op_Cancel(Board *board, uint64_t caller);
void Op_OnCall(Board *board, const char *vm, const Wire__OperationCall *call);
void Op_OnAnswer(Board *board, const Wire__OperationAnswer *answer);
void Op_OnLinkDown(Board *board, const char *vm);
void Op_OnTick(Board *board);
guint Op_CountRunning(const Op *op); /* Sent and not yet answered. */

#endif
