#include "metrics.h"

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
    [MET_CALLERS_DISCONNECTED] = {"callers_gone",
                                  "Callers that closed early."},
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
    [MET_PEER_MESSAGES_TOO_LARGE] = {"peer_messages_too_large",
                                     "Messages to other VMs that were not "
                                     "sent, as they don't fit a datagram."},
    [MET_STREAMS_HELD_BACK] = {"streams_held_back",
                               "Looks of new streams for room that found none "
                               "while begun ones waited for it."},
    [MET_LEVEL_HELD_BACK_0] = {"level_held_back_0",
                               "Looks of streams of priority level 0 for "
                               "room that left it to more urgent ones."},
    [MET_LEVEL_HELD_BACK_1] = {"level_held_back_1",
                               "Looks of streams of priority level 1 for "
                               "room that left it to more urgent ones."},
    [MET_LEVEL_HELD_BACK_2] = {"level_held_back_2",
                               "Looks of streams of priority level 2 for "
                               "room that left it to more urgent ones."},
    [MET_LEVEL_HELD_BACK_3] = {"level_held_back_3",
                               "Looks of streams of priority level 3 for "
                               "room that left it to more urgent ones."},
    [MET_LEVEL_REFUSED_0] = {"level_refused_0",
                             "Requests of priority level 0 refused for "
                             "lack of room, where levels differ."},
    [MET_LEVEL_REFUSED_1] = {"level_refused_1",
                             "Requests of priority level 1 refused for "
                             "lack of room, where levels differ."},
    [MET_LEVEL_REFUSED_2] = {"level_refused_2",
                             "Requests of priority level 2 refused for "
                             "lack of room, where levels differ."},
    [MET_LEVEL_REFUSED_3] = {"level_refused_3",
                             "Requests of priority level 3 refused for "
                             "lack of room, where levels differ."},
    [MET_PROMPTS_FETCHED] = {"prompts_fetched",
                             "Runs of resumed streams that fetch the prompt "
                             "from the worker that has read it."},
    [MET_USES_UNTOLD] = {"uses_untold",
                         "Workers in use that had no room in a message to "
                         "other VMs."},
    [MET_PACE_CHANGES] = {"pace_changes",
                          "Changes of a worker's learned pace by half."},
    [MET_LIMITS_LEARNED] = {"limits_learned",
                            "Changes of a worker's learned limit by half."},
    [MET_RESERVATIONS_REFUSED] = {"reservations_refused",
                                  "Reservations that workers refused for lack "
                                  "of room."},
    [MET_REFUSALS_HEARD] = {"refusals_heard", "Refusals that other VMs told."},
    [MET_PEER_BYTES_RECEIVED] = {"peer_bytes_received",
                                 "Bytes received from peers."},
    [MET_PEER_CONNECTS] = {"peer_connects", "Connections opened to peers."},
    [MET_PEER_FRAMES_BAD] = {"peer_frames_bad", "Malformed frames."},
    [MET_PEER_UNKNOWN_CONTENT] = {"peer_unknown_content",
                                  "Messages of other VMs with content that "
                                  "this build doesn't know."},
    [MET_PEERS_NEWER] = {"peers_newer",
                         "Starts of other VMs that sent such messages."},
    [MET_CONFIG_READS] = {"config_reads", "Reads of the config service."},
    [MET_CONFIG_ACCEPTED] = {"config_accepted", "Configurations in force."},
    [MET_CONFIG_REFUSED] = {"config_refused", "Configurations refused."},
    [MET_GATE_REQUESTS] = {"gate_requests", "Requests with a route."},
    [MET_GATE_OK] = {"gate_ok", "Requests answered with success."},
    [MET_GATE_REFUSED] = {"gate_refused", "Requests answered not run."},
    [MET_GATE_FAILED] = {"gate_failed", "Requests that failed otherwise."},
    [MET_CALLS_FAILED] = {"calls_failed", "Calls at workers that failed."},
    [MET_STREAMS_BROKEN_OFF] = {"streams_broken_off",
                                "Streams that had begun and were ended "
                                "without their last event."},
    [MET_RUNS_OF_OTHER_VERSION] = {"runs_of_other_version",
                                   "Runs given up, as the stream began at "
                                   "another software version."},
    [MET_RESUMPTIONS_REFUSED] = {"resumptions_refused",
                                 "Resumed streams that were refused, as their "
                                 "software version is unknown or gone."},
    [MET_SERVICES_CUT] = {"services_cut",
                          "Times at which this VM found itself cut off from "
                          "the workers of a service."},
    [MET_SERVICES_LOST] =
        {"services_lost",
         "Services of which no VM reaches a worker, as far as "
         "this VM knows"},
    [MET_DETOURS] = {"detours",
                     "Requests passed on to another VM, as this one "
                     "can't reach the workers."},
    [MET_RELAYED_REQUESTS] = {"relayed_requests",
                              "Requests that other VMs passed on to this "
                              "one."},
    [MET_NOTICES_UNTOLD] = {"notices_untold",
                            "Notices of workers that were left out of a "
                            "request for another VM, as it had too many."},
    [MET_SURVEYS] = {"surveys", "Rounds in which this VM's share of a "
                                "service's workers was asked for the prompts "
                                "that they keep."},
    [MET_LOOKUPS] = {"lookups", "Resumed streams whose software version was "
                                "asked for at other VMs."},
    [MET_LOOKUPS_DROPPED] = {"lookups_dropped",
                             "The same, but too many were in progress."},
    [MET_ORIGINS_DROPPED] = {"origins_dropped",
                             "Records of begun streams that were dropped "
                             "before their time, as there were too many."},
    [MET_STARTS_CHECKED] = {"starts_checked", "Workers asked for their start"},
    [MET_STARTS_UNKNOWN] =
        {"starts_unknown", "Workers that told another start than their entry"},
    [MET_EXTRAS_UNBUDGETED] = {"extras_unbudgeted",
                               "Calls beyond the first of a request that the "
                               "retry budget did not allow"},
    [MET_EXTRAS_LENT] = {"extras_lent_thousandths",
                         "Thousandths of calls of retry budgets lent to other "
                         "VMs"},
    [MET_EXTRAS_BORROWED] = {"extras_borrowed_thousandths",
                             "Thousandths of calls of retry budgets that "
                             "other VMs lent"},
    [MET_REQUESTS_CAPPED] = {"requests_capped",
                             "Requests refused by the cap of their account"},
    [MET_REQUESTS_GIVEN_BACK] = {"requests_given_back",
                                 "Requests that did not run, given back to "
                                 "the cap of their account"},
    [MET_STREAMS_OVER_SHARE] = {"streams_over_share",
                                "Streams refused beyond the fair share of "
                                "their account"},
    [MET_SUCCESSORS] = {"successors", "Silent calls for which another worker "
                                      "was looked for."},
    [MET_SUCCESSORS_TOOK_OVER] = {"successors_took_over",
                                  "Silent calls that were given up for one, "
                                  "or broke meanwhile."},
    [MET_WORKERS_LEAVING] = {"workers_leaving",
                             "Workers that said that they leave."},
    [MET_PAUSES] = {"pauses", "Refusals of workers that name a pause."},
    [MET_LIMITS] = {"limits", "Limits that workers named, changed or lifted."},
    [MET_NOTICES_MALFORMED] = {"notices_malformed",
                               "Answers of workers with a notice that can't "
                               "be read."},
    [MET_ANSWERS_UNTIL_CLOSE] = {"answers_until_close",
                                 "Answers that end with their connection."},
    [MET_RESPONSES_HELD_UP] = {"responses_held_up",
                               "Streams whose workers wait for slow readers."},
    [MET_RESPONSES_GIVEN_UP] = {"responses_given_up",
                                "Responses that were left unread."},
    [MET_ANSWERS_UNPROVEN] = {"answers_unproven",
                              "Answers that ended with their connection, "
                              "and maybe with the worker's process."},
    [MET_RESTS_ASKED] = {"rests_asked",
                         "Streams that ended with their connection, whose "
                         "worker was asked for the rest."},
    [MET_STREAMS_ENDED_IN_EVENT] = {"streams_ended_in_event",
                                    "Workers' streams cut inside an event."},
    [MET_EVENTS_MALFORMED] = {"events_malformed",
                              "Runs given up for an event that readers may "
                              "take differently."},
    [MET_EVENTS_OUT_OF_ORDER] = {"events_out_of_order",
                                 "Runs given up for an event that does not "
                                 "follow."},
    [MET_WORKERS_CRASHED] = {"workers_crashed",
                             "Workers that crashed under a request."},
    [MET_CRASHES_UNPROVEN] = {"crashes_unproven",
                              "Broken calls whose worker did not refuse a "
                              "new connection."},
    [MET_CRASHES_UNCHECKED] = {"crashes_unchecked",
                               "Broken calls that were not checked, as too "
                               "many checks were in progress."},
    [MET_SUSPECTS_DISPLACED] = {"suspects_displaced",
                                "Possible causes of crashes that were dropped "
                                "for want of room."},
    [MET_PARTS_BLAMED] = {"parts_blamed",
                          "Parts of prompts blamed for crashes of workers."},
    [MET_PROMPTS_BLOCKED] = {"prompts_blocked",
                             "Requests refused for a part that is blamed."},
    [MET_ANSWERS_FOREIGN] = {"answers_foreign",
                             "Answers without an ID that came on a used "
                             "connection and belong to no request."},
    [MET_GRACE_TAKEN] = {"grace_taken",
                         "Requests that came after the begin of a planned "
                         "stop and were sent to a worker."},
    [MET_GRACE_REFUSED] = {"grace_refused",
                           "Requests that came after the begin of a planned "
                           "stop and were refused."},
    [MET_GRACE_CUT] = {"grace_cut",
                       "Requests that were ended without an answer at the "
                       "end of a planned stop."},
    [MET_STORE_CALLS] = {"store_calls", "Calls at the platform's store."},
    [MET_STORE_ERAS_BAD] = {"store_eras_bad",
                            "Answers whose era is missing or too low."},
    [MET_ENTRIES_UNREADABLE] = {"entries_unreadable",
                                "Entries that name no worker to use."},
    [MET_STORE_LOST] = {"store_lost", "Times the store was lost."},
    [MET_KEYS_MISSING] = {"keys_missing",
                          "Requests rejected as they had no key."},
    [MET_KEYS_UNREADABLE] = {"keys_unreadable",
                             "Requests rejected as their key could not be "
                             "read."},
    [MET_KEYS_UNKNOWN] = {"keys_unknown",
                          "Requests rejected as no account holds their key."},
    [MET_KEYS_UNPROVEN] = {"keys_unproven",
                           "Requests rejected as the VM had no proof that its "
                           "configuration is the newest."},
    [MET_VOUCHES_ASKED] = {"vouches_asked",
                           "Questions for another VM's proof."},
    [MET_VOUCHES_GIVEN] = {"vouches_given", "Answers to such questions."},
};

/* Upper bounds of the histograms' buckets in microseconds, three or four per
   decade, from a round trip between regions to the longest timeout. */
static const int64_t bounds_us[] = {10000,   20000,   50000,    100000,
                                    200000,  300000,  500000,   1000000,
                                    2000000, 5000000, 10000000, 20000000};

#define BOUND_COUNT (sizeof(bounds_us) / sizeof(bounds_us[0]))

static const CounterText histogram_texts[MET_HISTOGRAM_COUNT] = {
    [MET_PLAIN_US] = {"plain_seconds", "Plain calls, to their answer."},
    [MET_STREAM_US] = {"stream_seconds", "Streams, to their end."},
    [MET_FIRST_EVENT_US] = {"first_event_seconds", "To the first event."},
};

static atomic_uint_fast64_t buckets[MET_HISTOGRAM_COUNT][BOUND_COUNT + 1];
static atomic_uint_fast64_t sums_us[MET_HISTOGRAM_COUNT];

static void format_histogram(GString *text, MetHistogram histogram);

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

void
Met_Observe(MetHistogram histogram, int64_t us)
{
    size_t bucket = 0;

    while (bucket < BOUND_COUNT && us > bounds_us[bucket]) {
        bucket++;
    }
    atomic_fetch_add_explicit(&buckets[histogram][bucket], 1,
                              memory_order_relaxed);
    atomic_fetch_add_explicit(&sums_us[histogram], (uint64_t)us,
                              memory_order_relaxed);
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
    for (int i = 0; i < MET_HISTOGRAM_COUNT; i++) {
        format_histogram(text, (MetHistogram)i);
    }
    return g_string_free(text, FALSE);
}

static void
format_histogram(GString *text, MetHistogram histogram)
{
    const CounterText *row = &histogram_texts[histogram];
    uint64_t count = 0;

    g_string_append_printf(text,
                           "# HELP lavenderspool_%s %s\n"
                           "# TYPE lavenderspool_%s histogram\n",
                           row->name, row->help, row->name);
    for (size_t i = 0; i <= BOUND_COUNT; i++) {
        count +=
            atomic_load_explicit(&buckets[histogram][i], memory_order_relaxed);
        g_string_append_printf(text, "lavenderspool_%s_bucket{le=\"",
                               row->name);
        if (i < BOUND_COUNT) {
            g_string_append_printf(text, "%g", (double)bounds_us[i] / 1e6);
        }
        else {
            g_string_append(text, "+Inf");
        }
        g_string_append_printf(text, "\"} %" G_GUINT64_FORMAT "\n",
                               (guint64)count);
    }
    g_string_append_printf(
        text,
        "lavenderspool_%s_sum %g\nlavenderspool_%s_count %" G_GUINT64_FORMAT
        "\n",
        row->name,
        (double)atomic_load_explicit(&sums_us[histogram],
                                     memory_order_relaxed) /
            1e6,
        row->name, (guint64)count);
}
