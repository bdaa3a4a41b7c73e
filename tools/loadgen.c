/* loadgen: open-loop load generator for daemons on loopback. Requests arrive
   by a Poisson process that does not wait for responses, so that the time
   which requests spend in queues shows in the measured latencies.

   loadgen --targets HOST:PORT[,...] --key KEY --model MODEL --rate R
           --seconds S [--mix zupan|festplass|short] [--seed N]
           [--tokens-low N] [--tokens-high N] [--first-token-ms N]
           [--per-token-ms N] [--output FILE.json] [--quiet 1]

   Prints one line of results and, with --output, writes them as JSON. Exit
   codes: 0 no request failed, 1 some failed. Refused and unfinished requests
   don't count as failed. */
#include "fake.h"

#include <curl/curl.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define LOAD_TARGETS_MAX 64
#define LOAD_DRAIN_S 20        /* Longest wait for responses at the end. */
#define LOAD_BYTES_PER_TOKEN 4 /* Prompt bytes that count as one token. */
/* Festivals of the mix "festplass". Prompts for one festival begin with the
   same rules, so that engines can cache them. */
#define LOAD_FESTIVAL_COUNT 5
#define LOAD_FESTIVAL_RULES_TOKENS 4096 /* Length of one festival's rules. */
#define LOAD_SHORT_SHARE 0.3 /* Share of short prompts in the mix "zupan". */

typedef struct Load {
    CURLM *multi;
    char **targets;
    guint target_count;
    const char *key;
    const char *model;
    bool festplass;    /* Mix "festplass" instead of "zupan". */
    bool only_short;   /* All prompts are short. */
    gint32 tokens_low; /* Range of max_tokens. */
    gint32 tokens_high;
    GRand *rand;
    gint64 first_token_us; /* Objective of the time to the first token. */
    gint64 per_token_us;   /* Objective of the mean time per further token. */
    guint sent;
    guint running;
    guint answered; /* Complete responses. */
    guint good;     /* Complete responses that met both objectives. */
    guint refused;  /* Incomplete responses with status 503 or 429. */
    guint failed;   /* All other incomplete responses. */
    guint64 prompt_tokens;
    GArray *first_latencies_us; /* double: times to the first token */
    GArray *gaps_us;            /* double: mean times per further token */
} Load;

typedef struct LoadRequest {
    Load *load;
    CURL *easy;
    struct curl_slist *headers;
    char *body;
    gint64 begun_us;
    gint64 first_us;  /* Time of the first token, 0 if none. */
    gint64 last_us;   /* Time of the last token. */
    guint tokens;     /* Tokens received. */
    guint max_tokens; /* Tokens requested. */
    bool done;        /* The end marker was received. */
    GString *line;
} LoadRequest;

static void
parse_line(LoadRequest *request, const char *line)
{
    if (!g_str_has_prefix(line, "data:")) {
        return;
    }
    if (strstr(line, "[DONE]") != NULL) {
        request->done = true;
        return;
    }
    if (strstr(line, "\"finish_reason\":null") != NULL) {
        request->last_us = g_get_monotonic_time();
        request->first_us =
            request->first_us == 0 ? request->last_us : request->first_us;
        request->tokens++;
    }
}

static size_t
on_data(char *data, size_t size, size_t count, void *context)
{
    LoadRequest *request = context;
    char *end;

    g_string_append_len(request->line, data, (gssize)(size * count));
    while ((end = strchr(request->line->str, '\n')) != NULL) {
        *end = '\0';
        parse_line(request, request->line->str);
        g_string_erase(request->line, 0, end - request->line->str + 1);
    }
    return size * count;
}

static void
append_filler(GString *text, GRand *rand, long tokens)
{
    while (tokens-- > 0) {
        g_string_append_printf(text, "%03x ", g_rand_int(rand) & 0xfff);
    }
}

/* Returns a random prompt of the mix, and sets the number of tokens to
   request for it. */
static GString *
make_prompt(Load *load, guint *max_tokens)
{
    GString *text = g_string_new(NULL);
    bool is_short =
        load->only_short ||
        (!load->festplass && g_rand_double(load->rand) < LOAD_SHORT_SHARE);
    double low = is_short ? 50 : 1000;
    double high = is_short ? 500 : 12000;

    if (load->festplass) {
        GRand *rules = g_rand_new_with_seed(
            (guint32)g_rand_int_range(load->rand, 0, LOAD_FESTIVAL_COUNT));
        append_filler(text, rules, LOAD_FESTIVAL_RULES_TOKENS);
        g_rand_free(rules);
        low = 500;
        high = 4000;
    }
    append_filler(text, load->rand,
                  (long)(low * pow(high / low, g_rand_double(load->rand))));
    *max_tokens = (guint)g_rand_int_range(load->rand, load->tokens_low,
                                          load->tokens_high);
    return text;
}

static void
begin_request(Load *load)
{
    LoadRequest *request = g_new0(LoadRequest, 1);
    GString *prompt = make_prompt(load, &request->max_tokens);
    const char *target = load->targets[load->sent++ % load->target_count];
    char *url = g_strdup_printf("http://%s/v1/completions", target);
    char *auth = g_strdup_printf("Authorization: Bearer %s", load->key);

    load->prompt_tokens += prompt->len / LOAD_BYTES_PER_TOKEN;
    load->running++;
    request->load = load;
    request->line = g_string_new(NULL);
    request->body =
        g_strdup_printf("{\"model\":\"%s\",\"prompt\":\"%s\","
                        "\"max_tokens\":%u,\"stream\":true}",
                        load->model, prompt->str, request->max_tokens);
    request->headers = curl_slist_append(NULL, auth);
    request->headers = curl_slist_append(request->headers, "Expect:");
    request->easy = curl_easy_init();
    request->begun_us = g_get_monotonic_time();
    curl_easy_setopt(request->easy, CURLOPT_URL, url);
    curl_easy_setopt(request->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(request->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(request->easy, CURLOPT_HTTPHEADER, request->headers);
    curl_easy_setopt(request->easy, CURLOPT_POSTFIELDS, request->body);
    curl_easy_setopt(request->easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(request->easy, CURLOPT_WRITEDATA, request);
    curl_easy_setopt(request->easy, CURLOPT_PRIVATE, request);
    curl_multi_add_handle(load->multi, request->easy);
    g_string_free(prompt, TRUE);
    g_free(url);
    g_free(auth);
}

static void
record_result(Load *load, const LoadRequest *request, long status)
{
    double first_us = (double)(request->first_us - request->begun_us);
    double gap_us = request->tokens > 1
                        ? (double)(request->last_us - request->first_us) /
                              (request->tokens - 1)
                        : 0;

    if (!request->done || request->tokens != request->max_tokens) {
        if (status == 503 || status == 429) {
            load->refused++;
        }
        else {
            load->failed++;
        }
        return;
    }
    load->answered++;
    g_array_append_val(load->first_latencies_us, first_us);
    g_array_append_val(load->gaps_us, gap_us);
    if (first_us <= (double)load->first_token_us &&
        gap_us <= (double)load->per_token_us) {
        load->good++;
    }
}

static void
end_requests(Load *load)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(load->multi, &left)) != NULL) {
        LoadRequest *request = NULL;
        long status = 0;
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &request);
        curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
                          &status);
        record_result(load, request, status);
        curl_multi_remove_handle(load->multi, request->easy);
        curl_easy_cleanup(request->easy);
        curl_slist_free_all(request->headers);
        g_string_free(request->line, TRUE);
        g_free(request->body);
        g_free(request);
        load->running--;
    }
}

static void
run_load(Load *load, double rate, double seconds, bool quiet)
{
    gint64 begin_us = g_get_monotonic_time();
    gint64 end_us = begin_us + (gint64)(seconds * 1e6);
    gint64 drain_end_us = end_us + LOAD_DRAIN_S * G_USEC_PER_SEC;
    gint64 next_report_us = begin_us;
    double next_us = (double)begin_us;
    gint64 now = begin_us;

    while (now < end_us || (load->running > 0 && now < drain_end_us)) {
        int running;
        while (next_us <= (double)now && next_us < (double)end_us) {
            begin_request(load);
            next_us -= log(1 - g_rand_double(load->rand)) / rate * 1e6;
        }
        curl_multi_perform(load->multi, &running);
        end_requests(load);
        curl_multi_poll(load->multi, NULL, 0, 2, NULL);
        now = g_get_monotonic_time();
        if (!quiet && now >= next_report_us) {
            fprintf(stderr, "\r%5.1f s: %u sent, %u running, %u good ",
                    (double)(now - begin_us) / 1e6, load->sent, load->running,
                    load->good);
            next_report_us = now + G_USEC_PER_SEC;
        }
    }
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return left < right ? -1 : left > right;
}

static double
get_percentile(GArray *values, double share)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    return g_array_index(values, double, (guint)(share * (values->len - 1)));
}

static void
print_report(Load *load, double rate, double seconds, const char *output)
{
    json_t *result = json_pack(
        "{s:f, s:f, s:i, s:i, s:i, s:i, s:i, s:i, s:I, s:f, s:f, s:f, s:f}",
        "rate", rate, "seconds", seconds, "sent", (int)load->sent, "answered",
        (int)load->answered, "good", (int)load->good, "refused",
        (int)load->refused, "failed", (int)load->failed, "unfinished",
        (int)load->running, "prompt_tokens", (json_int_t)load->prompt_tokens,
        "first_ms_p50", get_percentile(load->first_latencies_us, 0.5) / 1000,
        "first_ms_p95", get_percentile(load->first_latencies_us, 0.95) / 1000,
        "gap_ms_p50", get_percentile(load->gaps_us, 0.5) / 1000, "gap_ms_p95",
        get_percentile(load->gaps_us, 0.95) / 1000);

    if (output != NULL) {
        json_dump_file(result, output, JSON_INDENT(1));
    }
    printf("rate %.1f/s sent %u answered %u good %u (%.2f/s) refused %u "
           "failed %u first p50 %.0f p95 %.0f ms gap p95 %.1f ms\n",
           rate, load->sent, load->answered, load->good, load->good / seconds,
           load->refused, load->failed,
           get_percentile(load->first_latencies_us, 0.5) / 1000,
           get_percentile(load->first_latencies_us, 0.95) / 1000,
           get_percentile(load->gaps_us, 0.95) / 1000);
    json_decref(result);
}

int
main(int argc, char **argv)
{
    Load load = {0};
    double rate = g_strtod(Fake_GetFlag(argc, argv, "rate", "1"), NULL);
    double seconds = g_strtod(Fake_GetFlag(argc, argv, "seconds", "5"), NULL);

    load.targets =
        g_strsplit(Fake_GetFlag(argc, argv, "targets", "127.0.0.1:8080"), ",",
                   LOAD_TARGETS_MAX);
    load.target_count = g_strv_length(load.targets);
    load.key = Fake_GetFlag(argc, argv, "key", "");
    load.model = Fake_GetFlag(argc, argv, "model", "lens-assist");
    load.festplass =
        strcmp(Fake_GetFlag(argc, argv, "mix", "zupan"), "festplass") == 0;
    load.rand =
        g_rand_new_with_seed((guint32)Fake_GetNumber(argc, argv, "seed", 1));
    load.tokens_low = (gint32)Fake_GetNumber(argc, argv, "tokens-low", 20);
    load.tokens_high = (gint32)Fake_GetNumber(argc, argv, "tokens-high", 80);
    load.first_token_us =
        Fake_GetNumber(argc, argv, "first-token-ms", 1300) * 1000;
    load.per_token_us = Fake_GetNumber(argc, argv, "per-token-ms", 36) * 1000;
    load.first_latencies_us = g_array_new(FALSE, FALSE, sizeof(double));
    load.gaps_us = g_array_new(FALSE, FALSE, sizeof(double));
    curl_global_init(CURL_GLOBAL_DEFAULT);
    load.multi = curl_multi_init();
    run_load(&load, rate, seconds,
             Fake_GetNumber(argc, argv, "quiet", 0) != 0);
    print_report(&load, rate, seconds,
                 Fake_GetFlag(argc, argv, "output", NULL));
    return load.failed > 0 ? 1 : 0;
}
