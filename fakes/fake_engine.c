/* fake_engine: fake of model engines with separate prefill and decode pools.
   One process serves several workers on consecutive ports.

   --port N --workers N [--seconds N] [--slots N] [--blocks N]
   [--block-tokens N] [--prefill-tokens-per-s N] [--interval-us N]
   [--kv-bytes N] [--link-bytes-per-s N] [--kv-life-ms N] [--lag-ms N]
   [--checks 0|1]

   POST /v1/completions   prefill, decode or resume
   POST /v1/requests/ID/cancel, GET /v1/requests, GET /load
   POST /v1/orders        {"fencing": N, "load": TARGET}; with --checks 1 an
                          outdated fencing token is refused
   POST /switch {"stall": BOOL, "silent": BOOL, "refuse": BOOL,
                 "leaving": BOOL, "cut_after": N}
   GET /counts            tokens prefilled, read from the prefix cache and
                          decoded, prefill results expired, requests held

   Token k of a completion depends only on the prompt and k, so that a client
   can check a completion that several engines generated. */
#include "fake.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ENGINE_BYTES_PER_TOKEN 4 /* Prompt bytes that count as one token. */
/* Length of the shortest cached prefix; others are its doubles. */
#define ENGINE_PREFIX_TOKENS 512
#define ENGINE_PREFIXES_MAX 64 /* Prefixes cached per worker. */
#define ENGINE_WORKERS_MAX 64
/* Time for which a silent worker does not respond. */
#define ENGINE_SILENT_US (60 * G_USEC_PER_SEC)
/* Size of the buffer for streamed responses. */
#define ENGINE_STREAM_BLOCK_BYTES 2048

typedef struct Limits {
    long slots;  /* Concurrent requests per worker. */
    long blocks; /* Memory blocks per worker. */
    long block_tokens;
    long prefill_tokens_per_s;
    long token_interval_us;  /* Time between the tokens of a stream. */
    long kv_bytes_per_token; /* KV data per token. */
    double link_bytes_per_s;
    gint64 kv_lifetime_us; /* Time for which a prefill's KV data is kept. */
    gint64 report_lag_us;  /* Age after which the load report is renewed. */
    bool checks_fencing;
} Limits;

/* A request that holds memory of a worker. */
typedef struct HeldRequest {
    char *id;
    long blocks;
    bool cancelled;
    uint64_t seed; /* Determines the tokens; kept for a resume. */
    long max_tokens;
} HeldRequest;

typedef struct Worker {
    int index;
    const Limits *limits;
    struct _u_instance instance;
    pthread_mutex_t lock;
    GHashTable *held_requests; /* Request id to HeldRequest. */
    long blocks_used;
    gint64 prefill_free_us; /* Time at which the prefill queue is empty. */
    gint64 link_free_us;    /* Time at which the last transfer ends. */
    GQueue *prefixes;       /* Hashes (uint64_t *), newest last. */
    GHashTable *kv_results; /* Request id to expiry time of its KV data. */
    atomic_bool stall;      /* Streams generate no tokens. */
    atomic_bool silent;     /* Calls and streams get no data. */
    atomic_bool refuse;     /* New requests are refused as "full". */
    atomic_bool leaving;    /* New requests are refused as "leaving". */
    atomic_long cut_after;  /* Tokens until a stream breaks, 0 for never. */
    json_int_t fencing;     /* Fencing token of the last accepted order. */
    char loaded[64];        /* Target of the last accepted order. */
    gint64 reported_at_us;  /* Time of the load report. */
    long reported_slots;    /* Slots used in the load report. */
    long prefilled;         /* Tokens prefilled. */
    long cached;            /* Prompt tokens read from the prefix cache. */
    long expired;           /* Prefill results that expired. */
    atomic_long decoded;    /* Tokens decoded. */
} Worker;

static Worker workers[ENGINE_WORKERS_MAX];
static long worker_count;

/* A stream that a worker generates. */
typedef struct Stream {
    Worker *worker;
    char *id;
    uint64_t seed;
    long next;        /* Number of the next token. */
    long end;         /* Number after the last token. */
    gint64 next_us;   /* Time at which the next token is due. */
    GString *pending; /* Bytes not yet written. */
    bool done;
} Stream;

static void
free_held(gpointer data)
{
    HeldRequest *held = data;
    g_free(held->id);
    g_free(held);
}

/* Allocates a slot and memory to a request. Returns NULL if there is not
   enough of either. */
static HeldRequest *
allocate_memory(Worker *worker, const char *id, long tokens)
{
    long blocks = (tokens + worker->limits->block_tokens - 1) /
                  worker->limits->block_tokens;
    HeldRequest *held;

    if ((long)g_hash_table_size(worker->held_requests) >=
            worker->limits->slots ||
        worker->blocks_used + blocks > worker->limits->blocks) {
        return NULL;
    }
    held = g_new0(HeldRequest, 1);
    held->id = g_strdup(id);
    held->blocks = blocks;
    worker->blocks_used += blocks;
    g_hash_table_replace(worker->held_requests, held->id, held);
    return held;
}

static void
free_memory(Worker *worker, const char *id)
{
    const HeldRequest *held = g_hash_table_lookup(worker->held_requests, id);

    if (held != NULL) {
        worker->blocks_used -= held->blocks;
        g_hash_table_remove(worker->held_requests, id);
    }
}

static bool
is_cancelled(Worker *worker, const char *id)
{
    const HeldRequest *held;
    bool cancelled;

    pthread_mutex_lock(&worker->lock);
    held = g_hash_table_lookup(worker->held_requests, id);
    cancelled = held == NULL || held->cancelled;
    pthread_mutex_unlock(&worker->lock);
    return cancelled;
}

/* Sleeps until a time. Returns false as soon as the request is cancelled. */
static bool
sleep_until(Worker *worker, const char *id, gint64 until_us)
{
    gint64 now;

    while ((now = g_get_monotonic_time()) < until_us) {
        g_usleep((gulong)MIN(until_us - now, 20000));
        if (is_cancelled(worker, id)) {
            return false;
        }
    }
    return true;
}

/* Returns the length in tokens of the longest cached prefix of a prompt, and
   adds the prompt's other prefixes to the cache. */
static long
update_prefix_cache(Worker *worker, const char *prompt)
{
    size_t block = (size_t)ENGINE_PREFIX_TOKENS * ENGINE_BYTES_PER_TOKEN;
    size_t size = strlen(prompt);
    long cached = 0;

    for (; block <= size; block *= 2) {
        uint64_t hash = XXH64(prompt, block, 0);
        bool found = false;
        for (GList *item = worker->prefixes->head; item != NULL && !found;
             item = item->next) {
            found = *(uint64_t *)item->data == hash;
        }
        if (found) {
            cached = (long)(block / ENGINE_BYTES_PER_TOKEN);
        }
        else {
            uint64_t *key = g_new(uint64_t, 1);
            *key = hash;
            g_queue_push_tail(worker->prefixes, key);
        }
    }
    while (g_queue_get_length(worker->prefixes) > ENGINE_PREFIXES_MAX) {
        g_free(g_queue_pop_head(worker->prefixes));
    }
    return cached;
}

/* Removes prefill results that were not fetched before they expired. */
static void
expire_kv(Worker *worker)
{
    gint64 now = g_get_monotonic_time();
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, worker->kv_results);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (*(gint64 *)value < now) {
            worker->expired++;
            free_memory(worker, key);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static int
run_prefill(Worker *worker, const char *id, const char *prompt,
            size_t context_bytes, struct _u_response *response)
{
    const Limits *limits = worker->limits;
    long tokens = (long)(context_bytes / ENGINE_BYTES_PER_TOKEN) + 1;
    gint64 end_us;
    gint64 *expires;
    long cached;

    pthread_mutex_lock(&worker->lock);
    expire_kv(worker);
    if (allocate_memory(worker, id, tokens) == NULL) {
        pthread_mutex_unlock(&worker->lock);
        return Fake_Refuse(response, 503, "full");
    }
    cached = update_prefix_cache(worker, prompt);
    cached = MIN(cached, tokens - 1);
    worker->cached += cached;
    worker->prefilled += tokens - cached;
    worker->prefill_free_us =
        MAX(worker->prefill_free_us, g_get_monotonic_time()) +
        (tokens - cached) * G_USEC_PER_SEC / limits->prefill_tokens_per_s;
    end_us = worker->prefill_free_us;
    pthread_mutex_unlock(&worker->lock);
    if (!sleep_until(worker, id, end_us)) {
        pthread_mutex_lock(&worker->lock);
        free_memory(worker, id);
        pthread_mutex_unlock(&worker->lock);
        return Fake_Refuse(response, 499, "cancelled");
    }
    expires = g_new(gint64, 1);
    pthread_mutex_lock(&worker->lock);
    *expires = g_get_monotonic_time() + limits->kv_lifetime_us;
    g_hash_table_replace(worker->kv_results, g_strdup(id), expires);
    pthread_mutex_unlock(&worker->lock);
    return Fake_Answer(
        response, 200,
        json_pack("{s:s, s:[{s:i, s:s, s:s}], s:{s:b, s:b, s:s, s:i, s:i}}",
                  "object", "text_completion", "choices", "index", 0, "text",
                  "", "finish_reason", "length", "kv_transfer_params",
                  "do_remote_prefill", 1, "do_remote_decode", 0,
                  "remote_request_id", id, "remote_engine_id", worker->index,
                  "remote_tokens", (int)tokens));
}

/* Transfers a prefill's KV data over its worker's link. Returns the time in
   microseconds at which the transfer ends, or -1 if there is no such data: it
   has expired, was fetched before, or its request was cancelled. */
static gint64
fetch_kv(const json_t *params)
{
    const char *id =
        json_string_value(json_object_get(params, "remote_request_id"));
    json_int_t index =
        json_integer_value(json_object_get(params, "remote_engine_id"));
    double bytes =
        (double)json_integer_value(json_object_get(params, "remote_tokens"));
    Worker *source;
    gint64 end_us = -1;

    if (id == NULL || index < 0 || index >= worker_count) {
        return -1;
    }
    source = &workers[index];
    pthread_mutex_lock(&source->lock);
    expire_kv(source);
    if (g_hash_table_remove(source->kv_results, id)) {
        bytes *= (double)source->limits->kv_bytes_per_token;
        source->link_free_us =
            MAX(source->link_free_us, g_get_monotonic_time()) +
            (gint64)(bytes / source->limits->link_bytes_per_s *
                     G_USEC_PER_SEC);
        end_us = source->link_free_us;
        free_memory(source, id);
    }
    pthread_mutex_unlock(&source->lock);
    return end_us;
}

/* Writes the next token when it is due. The last token is followed by the end
   marker. */
static ssize_t
write_stream(void *context, uint64_t offset, char *buffer, size_t max)
{
    Stream *stream = context;
    Worker *worker = stream->worker;
    size_t size;

    (void)offset;
    if (stream->pending->len == 0 && !stream->done) {
        bool last = stream->next + 1 >= stream->end;
        while (worker->stall && !is_cancelled(worker, stream->id)) {
            g_usleep(20000);
        }
        if (!sleep_until(worker, stream->id, stream->next_us)) {
            return U_STREAM_ERROR;
        }
        if (worker->silent) {
            sleep_until(worker, stream->id,
                        g_get_monotonic_time() + ENGINE_SILENT_US);
            return U_STREAM_ERROR;
        }
        if (worker->cut_after > 0 &&
            atomic_fetch_sub(&worker->cut_after, 1) == 1) {
            return U_STREAM_ERROR;
        }
        stream->next_us += worker->limits->token_interval_us;
        worker->decoded++;
        g_string_append_printf(
            stream->pending,
            "data: {\"offset\":%ld,\"tokens\":1,\"choices\":[{\"index\":0,"
            "\"text\":\"%03x \",\"finish_reason\":%s}]}\n\n%s",
            stream->next,
            (unsigned)(XXH64(&stream->next, sizeof(stream->next),
                             stream->seed) &
                       0xfff),
            last ? "\"length\"" : "null", last ? "data: [DONE]\n\n" : "");
        stream->next++;
        stream->done = last;
    }
    if (stream->pending->len == 0) {
        return U_STREAM_END;
    }
    size = MIN(stream->pending->len, max);
    memcpy(buffer, stream->pending->str, size);
    g_string_erase(stream->pending, 0, (gssize)size);
    return (ssize_t)size;
}

/* Frees a stream. The request of a broken stream keeps its memory until it is
   cancelled or until a stream that resumes it ends, so that tests find memory
   which the router failed to release. */
static void
free_stream(void *context)
{
    Stream *stream = context;
    Worker *worker = stream->worker;

    pthread_mutex_lock(&worker->lock);
    if (stream->done) {
        free_memory(worker, stream->id);
    }
    pthread_mutex_unlock(&worker->lock);
    if (is_cancelled(worker, stream->id)) {
        pthread_mutex_lock(&worker->lock);
        free_memory(worker, stream->id);
        pthread_mutex_unlock(&worker->lock);
    }
    g_string_free(stream->pending, TRUE);
    g_free(stream->id);
    g_free(stream);
}

static int
begin_stream(Worker *worker, const char *id, uint64_t seed, long offset,
             long end, gint64 begin_us, struct _u_response *response)
{
    Stream *stream = g_new0(Stream, 1);

    stream->worker = worker;
    stream->id = g_strdup(id);
    stream->seed = seed;
    stream->next = offset;
    stream->end = end;
    stream->next_us = begin_us + worker->limits->token_interval_us;
    stream->pending = g_string_new(NULL);
    u_map_put(response->map_header, "Content-Type", "text/event-stream");
    ulfius_set_stream_response(response, 200, write_stream, free_stream,
                               U_STREAM_SIZE_UNKNOWN,
                               ENGINE_STREAM_BLOCK_BYTES, stream);
    return U_CALLBACK_COMPLETE;
}

static int
run_decode(Worker *worker, const char *id, const json_t *body,
           const char *prompt, size_t context_bytes,
           struct _u_response *response)
{
    long offset =
        (long)json_integer_value(json_object_get(body, "resume_offset"));
    long max_tokens =
        (long)json_integer_value(json_object_get(body, "max_tokens"));
    long tokens =
        (long)(context_bytes / ENGINE_BYTES_PER_TOKEN) + 1 + max_tokens;
    uint64_t seed = XXH64(prompt, strlen(prompt), 7);
    gint64 begin_us;
    HeldRequest *held;

    pthread_mutex_lock(&worker->lock);
    held = allocate_memory(worker, id, tokens);
    if (held != NULL) {
        held->seed = seed;
        held->max_tokens = offset + max_tokens;
    }
    pthread_mutex_unlock(&worker->lock);
    if (held == NULL) {
        return Fake_Refuse(response, 503, "full");
    }
    begin_us = fetch_kv(json_object_get(body, "kv_transfer_params"));
    if (begin_us < 0) {
        pthread_mutex_lock(&worker->lock);
        free_memory(worker, id);
        pthread_mutex_unlock(&worker->lock);
        return Fake_Refuse(response, 409, "kv_missing");
    }
    return begin_stream(worker, id, seed, offset, offset + max_tokens,
                        begin_us, response);
}

static int
run_resume(Worker *worker, const char *id, const json_t *body,
           struct _u_response *response)
{
    long offset =
        (long)json_integer_value(json_object_get(body, "resume_offset"));
    const HeldRequest *held;
    uint64_t seed = 0;
    long end = 0;

    pthread_mutex_lock(&worker->lock);
    held = g_hash_table_lookup(worker->held_requests, id);
    if (held != NULL && !held->cancelled) {
        seed = held->seed;
        end = held->max_tokens;
    }
    pthread_mutex_unlock(&worker->lock);
    if (end == 0) {
        return Fake_Refuse(response, 404, "no_such_request");
    }
    return begin_stream(worker, id, seed, offset, end, g_get_monotonic_time(),
                        response);
}

static int
handle_completion(const struct _u_request *request,
                  struct _u_response *response, void *context)
{
    Worker *worker = context;
    const char *id = u_map_get_case(request->map_header, "X-Request-Id");
    json_t *body = Fake_LoadBody(request);
    const json_t *params = json_object_get(body, "kv_transfer_params");
    const char *prompt = json_string_value(json_object_get(body, "prompt"));
    const char *resumed =
        json_string_value(json_object_get(body, "resume_text"));
    size_t context_bytes = (prompt != NULL ? strlen(prompt) : 0) +
                           (resumed != NULL ? strlen(resumed) : 0);
    bool resume = json_is_true(json_object_get(body, "resume"));
    int result;

    if (worker->silent) {
        g_usleep(ENGINE_SILENT_US);
    }
    if (worker->leaving && !resume) {
        result = Fake_Refuse(response, 503, "leaving");
    }
    else if (worker->refuse && !resume) {
        result = Fake_Refuse(response, 503, "full");
    }
    else if (id == NULL || (prompt == NULL && !resume)) {
        result = Fake_Refuse(response, 400, "bad_request");
    }
    else if (resume) {
        result = run_resume(worker, id, body, response);
    }
    else if (json_is_true(json_object_get(params, "do_remote_decode"))) {
        result = run_prefill(worker, id, prompt, context_bytes, response);
    }
    else {
        result = run_decode(worker, id, body, prompt, context_bytes, response);
    }
    json_decref(body);
    return result;
}

static int
handle_cancel(const struct _u_request *request, struct _u_response *response,
              void *context)
{
    Worker *worker = context;
    const char *encoded = request->url_path + strlen("/v1/requests/");
    char *path = g_uri_unescape_string(encoded, NULL);
    char *end = path != NULL ? g_strrstr(path, "/cancel") : NULL;
    HeldRequest *held = NULL;
    bool found;

    if (end != NULL) {
        *end = '\0';
    }
    pthread_mutex_lock(&worker->lock);
    held =
        path != NULL ? g_hash_table_lookup(worker->held_requests, path) : NULL;
    found = held != NULL;
    if (found) {
        g_hash_table_remove(worker->kv_results, path);
        free_memory(worker, path);
    }
    pthread_mutex_unlock(&worker->lock);
    g_free(path);
    return Fake_Answer(response, found ? 200 : 404, json_object());
}

static int
handle_requests(const struct _u_request *request, struct _u_response *response,
                void *context)
{
    Worker *worker = context;
    json_t *ids = json_array();
    json_t *body;
    GHashTableIter iter;
    gpointer key;

    (void)request;
    pthread_mutex_lock(&worker->lock);
    expire_kv(worker);
    g_hash_table_iter_init(&iter, worker->held_requests);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        json_array_append_new(ids, json_string(key));
    }
    body = json_pack("{s:o, s:s, s:b}", "requests", ids, "loaded",
                     worker->loaded, "leaving", (int)worker->leaving);
    pthread_mutex_unlock(&worker->lock);
    return Fake_Answer(response, 200, body);
}

/* Carries out an order. If fencing is checked, refuses an order with an
   outdated fencing token. */
static int
handle_order(const struct _u_request *request, struct _u_response *response,
             void *context)
{
    Worker *worker = context;
    json_t *body = Fake_LoadBody(request);
    json_int_t fencing = json_integer_value(json_object_get(body, "fencing"));
    const char *load = json_string_value(json_object_get(body, "load"));
    bool accepted;

    pthread_mutex_lock(&worker->lock);
    accepted = load != NULL &&
               (!worker->limits->checks_fencing || fencing >= worker->fencing);
    if (accepted) {
        worker->fencing = fencing;
        g_strlcpy(worker->loaded, load, sizeof(worker->loaded));
    }
    pthread_mutex_unlock(&worker->lock);
    json_decref(body);
    return accepted ? Fake_Answer(response, 200, json_object())
                    : Fake_Refuse(response, 409, "fenced");
}

/* Returns the load report, which is renewed only when it is older than the
   report lag. */
static int
handle_load(const struct _u_request *request, struct _u_response *response,
            void *context)
{
    Worker *worker = context;
    gint64 now = g_get_monotonic_time();
    json_t *body;

    (void)request;
    pthread_mutex_lock(&worker->lock);
    if (now - worker->reported_at_us > worker->limits->report_lag_us) {
        worker->reported_at_us = now;
        worker->reported_slots =
            (long)g_hash_table_size(worker->held_requests);
    }
    body = json_pack("{s:i, s:i}", "slots_used", (int)worker->reported_slots,
                     "slots", (int)worker->limits->slots);
    pthread_mutex_unlock(&worker->lock);
    return Fake_Answer(response, 200, body);
}

static int
handle_switch(const struct _u_request *request, struct _u_response *response,
              void *context)
{
    Worker *worker = context;
    json_t *body = Fake_LoadBody(request);

    pthread_mutex_lock(&worker->lock);
    worker->stall = json_is_true(json_object_get(body, "stall"));
    worker->silent = json_is_true(json_object_get(body, "silent"));
    worker->refuse = json_is_true(json_object_get(body, "refuse"));
    worker->leaving = json_is_true(json_object_get(body, "leaving"));
    worker->cut_after =
        (long)json_integer_value(json_object_get(body, "cut_after"));
    pthread_mutex_unlock(&worker->lock);
    json_decref(body);
    return Fake_Answer(response, 200, json_object());
}

static int
handle_counts(const struct _u_request *request, struct _u_response *response,
              void *context)
{
    Worker *worker = context;
    json_t *counts;

    (void)request;
    pthread_mutex_lock(&worker->lock);
    counts = json_pack("{s:I, s:I, s:I, s:I, s:I}", "prefilled",
                       (json_int_t)worker->prefilled, "cached",
                       (json_int_t)worker->cached, "expired",
                       (json_int_t)worker->expired, "decoded",
                       (json_int_t)worker->decoded, "held",
                       (json_int_t)g_hash_table_size(worker->held_requests));
    pthread_mutex_unlock(&worker->lock);
    return Fake_Answer(response, 200, counts);
}

static void
start_worker(Worker *worker, int index, const Limits *limits, uint16_t port)
{
    struct _u_instance *instance = &worker->instance;

    worker->index = index;
    worker->limits = limits;
    pthread_mutex_init(&worker->lock, NULL);
    worker->held_requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_held);
    worker->kv_results =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    worker->prefixes = g_queue_new();
    ulfius_init_instance(instance, port, NULL, NULL);
    ulfius_add_endpoint_by_val(instance, "POST", "/v1/completions", NULL, 0,
                               handle_completion, worker);
    ulfius_add_endpoint_by_val(instance, "GET", "/v1/requests", NULL, 0,
                               handle_requests, worker);
    ulfius_add_endpoint_by_val(instance, "POST", "/v1/requests/*", NULL, 0,
                               handle_cancel, worker);
    ulfius_add_endpoint_by_val(instance, "POST", "/v1/orders", NULL, 0,
                               handle_order, worker);
    ulfius_add_endpoint_by_val(instance, "GET", "/load", NULL, 0, handle_load,
                               worker);
    ulfius_add_endpoint_by_val(instance, "GET", "/counts", NULL, 0,
                               handle_counts, worker);
    ulfius_add_endpoint_by_val(instance, "POST", "/switch", NULL, 0,
                               handle_switch, worker);
    Fake_StartServer(instance, port);
}

int
main(int argc, char **argv)
{
    Limits limits = {0};
    long port = Fake_GetNumber(argc, argv, "port", 0);

    worker_count =
        MIN(Fake_GetNumber(argc, argv, "workers", 1), ENGINE_WORKERS_MAX);
    limits.slots = Fake_GetNumber(argc, argv, "slots", 20);
    limits.blocks = Fake_GetNumber(argc, argv, "blocks", 60);
    limits.block_tokens = Fake_GetNumber(argc, argv, "block-tokens", 2000);
    limits.prefill_tokens_per_s =
        Fake_GetNumber(argc, argv, "prefill-tokens-per-s", 20000);
    limits.token_interval_us =
        Fake_GetNumber(argc, argv, "interval-us", 20000);
    limits.kv_bytes_per_token = Fake_GetNumber(argc, argv, "kv-bytes", 100000);
    limits.link_bytes_per_s =
        (double)Fake_GetNumber(argc, argv, "link-bytes-per-s", 10000000000L);
    limits.kv_lifetime_us =
        Fake_GetNumber(argc, argv, "kv-life-ms", 800) * 1000;
    limits.report_lag_us = Fake_GetNumber(argc, argv, "lag-ms", 500) * 1000;
    limits.checks_fencing = Fake_GetNumber(argc, argv, "checks", 0) != 0;
    for (long i = 0; i < worker_count; i++) {
        start_worker(&workers[i], (int)i, &limits, (uint16_t)(port + i));
    }
    Fake_WaitForStop((int)Fake_GetNumber(argc, argv, "seconds", 600));
    _Exit(0);
}
