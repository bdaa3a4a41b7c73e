#include "met.h"

#include <glib.h>
#include <stdatomic.h>

typedef struct CounterText {
    const char *name;
    const char *help;
} CounterText;

static const CounterText counter_texts[MET_COUNTER_COUNT] = {
    [MET_REQUESTS] = {"requests", "Completions that arrived."},
    [MET_ANSWERS_OK] = {"answers_ok", "Completions answered in full."},
    [MET_ANSWERS_REFUSED] = {"answers_refused", "Answered not_run."},
    [MET_ANSWERS_FAILED] = {"answers_failed", "Failed after work began."},
    [MET_FIRST_TOKEN_MET] = {"first_token_met", "First token in target."},
    [MET_GOODPUT] = {"goodput", "Both latency targets met."},
    [MET_CALLERS_GONE] = {"callers_gone", "Callers that closed early."},
    [MET_CHUNKS_DROPPED] = {"chunks_dropped", "Late or repeated chunks."},
    [MET_RESUBMITS] = {"resubmits", "Completions handed to a home again."},
    [MET_UPSTREAM_RETRIES] = {"upstream_retries", "Calls tried again."},
    [MET_PREFILLS] = {"prefills", "Prefill calls sent."},
    [MET_PREFILL_TOKENS] = {"prefill_tokens", "Prompt tokens prefilled."},
    [MET_PREFILL_TOKENS_WASTED] = {"prefill_tokens_wasted",
                                   "Prefilled tokens never decoded from."},
    [MET_CANCELS_SENT] = {"cancels_sent", "Cancel calls to engines."},
    [MET_ORPHANS_CANCELLED] = {"orphans_cancelled",
                               "Engine requests that no entry claimed."},
    [MET_OPERATIONS_ISSUED] = {"operations_issued", "Keys issued."},
    [MET_OPERATIONS_SENT] = {"operations_sent", "Calls sent upstream."},
    [MET_OPERATIONS_REPEATED] = {"operations_repeated",
                                 "Answered from the table."},
    [MET_OPERATIONS_UNKNOWN] = {"operations_unknown",
                                "Answered outcome unknown."},
    [MET_ORDERS_SENT] = {"orders_sent", "Orders sent to engines."},
    [MET_PEER_BYTES_SENT] = {"peer_bytes_sent", "Bytes sent to peers."},
    [MET_PEER_BYTES_RECEIVED] = {"peer_bytes_received",
                                 "Bytes received from peers."},
    [MET_PEER_CONNECTS] = {"peer_connects", "Connections opened to peers."},
    [MET_PEER_FRAMES_BAD] = {"peer_frames_bad", "Malformed frames."},
    [MET_CONFIG_READS] = {"config_reads", "Reads of the config service."},
    [MET_CONFIG_ACCEPTED] = {"config_accepted", "Configurations in force."},
    [MET_CONFIG_REFUSED] = {"config_refused", "Configurations refused."},
};

static atomic_uint_fast64_t counters[MET_COUNTER_COUNT];

void
Met_Add(MetCounter counter, uint64_t by)
{
    atomic_fetch_add_explicit(&counters[counter], by, memory_order_relaxed);
}

uint64_t
Met_Get(MetCounter counter)
{
    return atomic_load_explicit(&counters[counter], memory_order_relaxed);
}

char *
Met_FormatText(void)
{
    GString *text = g_string_new(NULL);

    for (int i = 0; i < MET_COUNTER_COUNT; i++) {
        const CounterText *row = &counter_texts[i];
        g_string_append_printf(text,
                               "# HELP lavenderspool_%s_total %s\n"
                               "# TYPE lavenderspool_%s_total counter\n"
                               "lavenderspool_%s_total %" G_GUINT64_FORMAT
                               "\n",
                               row->name, row->help, row->name, row->name,
                               (guint64)Met_Get((MetCounter)i));
    }
    return g_string_free(text, FALSE);
}
