/* Orphan reaping (Reap_): cancels requests at engines whose caller no longer
   exists, so that they don't hold engine memory. The home of a cell reads its
   engines' lists of running requests and asks the entry named in each request
   identifier whether it still uses the request. */
#ifndef LS_REAP_H
#define LS_REAP_H

#include "board.h"

/* Interval of the reads of the running lists. */
#define REAP_POLL_INTERVAL_US (2 * CLK_US_PER_S)
/* Shortest interval of these reads, if Reap_RequestPoll() is called. */
#define REAP_POLL_MIN_US (200 * CLK_US_PER_MS)

/* Formats a request identifier: "vm.incarnation.sequence", with the
   incarnation in hexadecimal. */
void Reap_FormatRequest(const Board *board, uint64_t sequence, char *target,
                        size_t size);
/* Parses the VM and the incarnation of a request identifier. Returns false if
   it is malformed or the VM doesn't fit `vm_size`. */
bool Reap_ParseRequest(const char *request, char *vm, size_t vm_size,
                       uint64_t *incarnation);

/* Reads the running lists of the cells that this VM is the home of. */
void Reap_OnTick(Board *board);
/* Makes the next read of the running lists due REAP_POLL_MIN_US after the last
   one. */
void Reap_RequestPoll(Board *board);
/* Drops and cancels the requests that an entry doesn't use. */
void Reap_OnClaimAnswer(Board *board, const Wire__ClaimAnswer *answer);
/* Checks whether the entry of a job of this home, "request/attempt", still
   uses it, and drops the job if the entry's process no longer exists. */
void Reap_CheckJob(Board *board, const char *engine_request);
/* Sends an engine a cancel of the request "request/attempt". A lost cancel is
   not repeated here: the next running list shows the request again. */
void Reap_CancelAtEngine(Board *board, const ConUpstream *upstream,
                         const char *engine_request);

#endif
