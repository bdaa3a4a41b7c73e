/* Upstream client (Up_): makes HTTP calls to upstreams and to the platform. It
   uses libcurl's multi interface directly rather than ulfius's client, which
   wraps libcurl but blocks a thread per call and can't cancel a call at any
   time. All functions but Up_Wake must be called from the thread that owns the
   board. */
#ifndef LS_UPSTREAM_H
#define LS_UPSTREAM_H

#include "board.h"

#include <curl/curl.h>

#define UP_CONNECT_TIMEOUT_MS 1000L
/* Longest duration of a call, streams included. */
#define UP_TOTAL_TIMEOUT_MS 150000L
/* Largest body of an answer, or of a stream's data not yet delivered. */
#define UP_ANSWER_BYTES_MAX (4 * 1024 * 1024)

typedef struct UpOptions {
    void *context;
    void (*on_event)(void *context, const BoardCallEvent *event);
} UpOptions;

typedef struct Up Up;

UpOptions Up_DefaultOptions(void);
Up *Up_New(const UpOptions *options);
void Up_Free(Up *up);
/* Starts a call. The strings of `request` are copied. */
void Up_BeginCall(Up *up, const BoardCall *request);
/* Cancels a call; none of its events is delivered any more. Ignored if the
   call has ended. */
void Up_EndCall(Up *up, uint64_t call);
/* Waits up to timeout_ms for calls, Up_Wake or the descriptors in `fds`, an
   array of struct pollfd whose revents are set. Then handles the calls'
   events. */
void Up_Run(Up *up, GArray *fds, int timeout_ms);
/* Makes Up_Run return. May be called from any thread and from a signal
   handler. */
void Up_Wake(Up *up);

#endif
