/* Reap: frees engine memory that no caller stands behind. The home of a cell
   reads its engines' running lists and asks the entries named in request
   identifiers which of them they still hold. */
#ifndef LS_REAP_H
#define LS_REAP_H

#include "board.h"

#define REAP_POLL_US (2 * CLK_US_PER_S)
#define REAP_HASTE_US (200 * CLK_US_PER_MS)

/* A request identifier is "vm.incarnation.sequence", incarnation in hex. */
void Reap_FormatRequest(const Board *board, uint64_t sequence, char *target,
                        size_t size);
/* Splits it; returns false when it is not of that form. */
bool Reap_ParseRequest(const char *request, char *vm, size_t vm_size,
                       uint64_t *incarnation);

void Reap_OnTick(Board *board);
/* Has the lists read soon, at most every REAP_HASTE_US. */
void Reap_RequestPoll(Board *board);
void Reap_OnClaimAnswer(Board *board, const Wire__ClaimAnswer *answer);
/* Checks that a job of this home, "request/attempt", still has its caller. */
void Reap_CheckJob(Board *board, const char *engine_request);
/* Tells an engine to drop a request, given as "request/attempt". */
void Reap_CancelAtEngine(Board *board, const ConUpstream *upstream,
                         const char *engine_request);

#endif
