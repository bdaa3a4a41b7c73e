/* Metrics (Met_): keeps the process's counters and latency histograms, and
   formats them in Prometheus's text exposition format. All functions may be
   called from any thread. */
#ifndef LS_METRICS_H
#define LS_METRICS_H

#include <stdint.h>

typedef enum MetCounter {
    MET_REQUESTS,
    MET_ANSWERS_OK,
    MET_ANSWERS_REFUSED,
    MET_ANSWERS_FAILED,
    MET_FIRST_TOKEN_MET,
    MET_GOODPUT,
    MET_CALLERS_DISCONNECTED,
    MET_CHUNKS_DROPPED,
    MET_RESUBMITS,
    MET_UPSTREAM_RETRIES,
    MET_PREFILLS,
    MET_PREFILL_TOKENS,
    MET_PREFILL_TOKENS_WASTED,
    MET_CANCELS_SENT,
    MET_ORPHANS_CANCELLED,
    MET_OPERATIONS_ISSUED,
    MET_OPERATIONS_SENT,
    MET_OPERATIONS_REPEATED,
    MET_OPERATIONS_UNKNOWN,
    MET_ORDERS_SENT,
    MET_PEER_BYTES_SENT,
    MET_PEER_MESSAGES_TOO_LARGE,
    MET_STREAMS_HELD_BACK,
    MET_PROMPTS_FETCHED,
    MET_USES_UNTOLD,
    MET_PEER_BYTES_RECEIVED,
    MET_PEER_CONNECTS,
    MET_PEER_FRAMES_BAD,
    MET_PEER_UNKNOWN_CONTENT,
    MET_PEERS_NEWER,
    MET_CONFIG_READS,
    MET_CONFIG_ACCEPTED,
    MET_CONFIG_REFUSED,
    MET_GATE_REQUESTS,
    MET_GATE_OK,
    MET_GATE_REFUSED,
    MET_GATE_FAILED,
    MET_CALLS_FAILED,
    MET_STREAMS_BROKEN_OFF,
    MET_STREAMS_JOINED,
    MET_RESUMPTIONS_REFUSED,
    MET_SURVEYS,
    MET_LOOKUPS,
    MET_LOOKUPS_DROPPED,
    MET_ORIGINS_DROPPED,
    MET_SERVICES_CUT,
    MET_SERVICES_LOST,
    MET_DETOURS,
    MET_RELAYED_REQUESTS,
    MET_NOTICES_UNTOLD,
    MET_SUCCESSORS,
    MET_SUCCESSORS_TOOK_OVER,
    MET_WORKERS_LEAVING,
    MET_PAUSES,
    MET_LIMITS,
    MET_NOTICES_MALFORMED,
    MET_ANSWERS_UNTIL_CLOSE,
    MET_STREAMS_ENDED_IN_EVENT,
    MET_WORKERS_CRASHED,
    MET_CRASHES_UNPROVEN,
    MET_CRASHES_UNCHECKED,
    MET_SUSPECTS_DISPLACED,
    MET_PARTS_BLAMED,
    MET_PROMPTS_BLOCKED,
    MET_STORE_CALLS,
    MET_STORE_LOST,
    MET_STORE_ERAS_BAD,
    MET_ENTRIES_UNREADABLE,
    MET_COUNTER_COUNT,
} MetCounter;

/* Latencies of the gate's requests, measured from a request's first byte. */
typedef enum MetHistogram {
    MET_PLAIN_US,
    MET_STREAM_US,
    MET_FIRST_EVENT_US,
    MET_HISTOGRAM_COUNT,
} MetHistogram;

void Met_Add(MetCounter counter, uint64_t by);
uint64_t Met_Get(MetCounter counter);
/* Adds a latency in microseconds to a histogram. */
void Met_Observe(MetHistogram histogram, int64_t us);
char *Met_FormatText(void); /* Free the result with g_free(). */

#endif
