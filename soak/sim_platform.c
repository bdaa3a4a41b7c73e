/* Simulated platform of a soak test: configuration store and workers. */
#include "sim_platform.h"

#include "io/loop.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define WLD_SLOTS 8
#define WLD_STORE_DELAY_MS 900 /* response delay of WLD_STORE_SLOW */
#define WLD_RUN_MEAN_MS 15     /* mean time of a plain run or a prefill */
#define WLD_EVENT_INTERVAL_MS 12
/* Time from the store's acknowledgement of a draining entry to the response
   to the VMs' watches. */
#define WLD_DRAIN_SLACK_MS 500
#define WLD_CONFIG_KEY "op/config"

typedef struct WldItem {
    char *value; /* NULL if deleted */
    uint64_t revision;
} WldItem;

/* Pending request to the store: a watch, or a request whose response is
   delayed. */
typedef struct WldStoreCall {
    LIST_ENTRY(WldStoreCall) links;
    Wld *wld;
    SrvExchange *exchange;
    struct event *timer;
    uint64_t after_revision; /* revision after which events are wanted */
    bool is_range;
    bool is_delayed; /* response delayed until the timer expires */
} WldStoreCall;

typedef struct WldWorker {
    Wld *wld;
    Srv *srv; /* NULL while stopped */
    Prx *prx;
    guint number;
    guint starts;
    char id[32];
    bool draining;
    int64_t draining_since_us; /* time at which it was marked as draining */
    uint32_t running;
} WldWorker;

typedef struct WldJob {
    LIST_ENTRY(WldJob) links;
    WldWorker *worker;
    SrvExchange *exchange;
    struct event *timer;
    char id[64];
    bool is_prefill;
    bool is_stream;
    bool is_begun;
    uint32_t next; /* number of the next event of a stream */
    uint32_t end;  /* number of events of the stream */
} WldJob;

struct Wld {
    struct event_base *base;
    const Clk *clk;
    Led *led;
    GRand *rand;
    Srv *store;
    Prx *store_prx;
    WldStoreState store_state;
    GHashTable *items; /* key to WldItem */
    uint64_t revision;
    uint64_t version; /* configuration version */
    LIST_HEAD(WldStoreCallList, WldStoreCall) store_calls;
    LIST_HEAD(WldJobList, WldJob) jobs;
    WldWorker workers[WLD_WORKER_COUNT];
    GHashTable *kv_handles; /* set of unused KV handles */
    guint next_handle;
    int64_t disrupted_us; /* last time recorded by Wld_RecordDisruption() */
    double lost_ratio;
    double failed_ratio;
};

static void put_item(Wld *wld, const char *key, const char *value);
static void publish_worker(WldWorker *worker);
static void on_store_request(void *context, SrvExchange *exchange);
static void on_store_gone(void *context, SrvExchange *exchange);
static void on_store_timer(evutil_socket_t fd, short what, void *context);
static void answer_store_call(WldStoreCall *call);
static void on_worker_request(void *context, SrvExchange *exchange);
static void on_worker_gone(void *context, SrvExchange *exchange);
static bool is_misdirected(const WldWorker *worker,
                           const SrvExchange *exchange);
static void begin_job(WldWorker *worker, SrvExchange *exchange);
static void on_job_timer(evutil_socket_t fd, short what, void *context);
static void end_job(WldJob *job);
static void send_response(SrvExchange *exchange, int status, const char *id,
                          bool not_run, const char *body);
static const char *get_phase(guint worker);
static Srv *open_server(Wld *wld, void *context,
                        void (*on_request)(void *, SrvExchange *),
                        void (*on_disconnect)(void *, SrvExchange *));

Wld *
Wld_New(struct event_base *base, const Clk *clk, Led *led, GRand *rand)
{
    Wld *wld = g_new0(Wld, 1);

    wld->base = base;
    wld->clk = clk;
    wld->led = led;
    wld->rand = rand;
    wld->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    wld->kv_handles =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    LIST_INIT(&wld->store_calls);
    LIST_INIT(&wld->jobs);
    wld->store = open_server(wld, wld, on_store_request, on_store_gone);
    wld->store_prx = Prx_New(base, Srv_GetPort(wld->store));
    Wld_ChangeConfig(wld);
    for (guint i = 0; i < WLD_WORKER_COUNT; i++) {
        wld->workers[i].wld = wld;
        wld->workers[i].number = i;
        wld->workers[i].prx = Prx_New(base, 1);
        Wld_StartWorker(wld, i);
    }
    return wld;
}

void
Wld_Free(Wld *wld)
{
    GHashTableIter iter;
    gpointer item;

    for (guint i = 0; i < WLD_WORKER_COUNT; i++) {
        Wld_CrashWorker(wld, i);
        Prx_Free(wld->workers[i].prx);
    }
    Prx_Free(wld->store_prx);
    Srv_Free(wld->store);
    g_hash_table_iter_init(&iter, wld->items);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        g_free(((WldItem *)item)->value);
        g_free(item);
    }
    g_hash_table_destroy(wld->items);
    g_hash_table_destroy(wld->kv_handles);
    g_free(wld);
}

Prx *
Wld_GetStoreProxy(const Wld *wld)
{
    return wld->store_prx;
}

Prx *
Wld_GetWorkerProxy(const Wld *wld, guint worker)
{
    return wld->workers[worker].prx;
}

void
Wld_SetStoreState(Wld *wld, WldStoreState state)
{
    wld->store_state = state;
}

void
Wld_RecordDisruption(Wld *wld)
{
    wld->disrupted_us = Clk_Now(wld->clk);
}

void
Wld_ChangeConfig(Wld *wld)
{
    char *text;

    wld->version += (uint64_t)g_rand_int_range(wld->rand, 1, 5);
    text = g_strdup_printf(
        "{\"version\":%llu,\"services\":[{\"name\":\"app\"},{\"name\":\"llm\","
        "\"engine\":{\"kv-tokens\":60000,\"stride\":11,\"hold-ms\":2000,"
        "\"handle-ttl-s\":0.5}}],\"limits\":{},\"routes\":["
        "{\"name\":\"read\",\"host\":\"" WLD_HOST "\",\"prefix\":\"/read/\","
        "\"service\":\"app\",\"kind\":\"idempotent\",\"attempts\":2,"
        "\"timeout-ms\":3000,\"latency-slo-ms\":200},"
        "{\"name\":\"hold\",\"host\":\"" WLD_HOST "\",\"prefix\":\"/hold/\","
        "\"service\":\"app\",\"kind\":\"non_idempotent\",\"attempts\":%u,"
        "\"timeout-ms\":3000,\"latency-slo-ms\":200},"
        "{\"name\":\"stream\",\"host\":\"" WLD_HOST "\",\"prefix\":"
        "\"/stream/\",\"service\":\"llm\",\"kind\":\"stream\",\"attempts\":1,"
        "\"timeout-ms\":14000,\"latency-slo-ms\":900,\"gap-target-ms\":300},"
        "{\"name\":\"resume\",\"host\":\"" WLD_HOST "\",\"prefix\":"
        "\"/resume/\",\"service\":\"llm\",\"kind\":\"stream\",\"attempts\":2,"
        "\"can-resume\":true,\"timeout-ms\":14000,\"latency-slo-ms\":900,"
        "\"gap-target-ms\":300}]}",
        (unsigned long long)wld->version, 1 + g_rand_int(wld->rand) % 2);
    put_item(wld, WLD_CONFIG_KEY, text);
    g_free(text);
}

void
Wld_CrashWorker(Wld *wld, guint number)
{
    WldWorker *worker = &wld->workers[number];
    WldJob *job = LIST_FIRST(&wld->jobs);

    if (worker->srv == NULL) {
        return;
    }
    while (job != NULL) {
        WldJob *next = LIST_NEXT(job, links);
        if (job->worker == worker) {
            job->exchange->owner = NULL;
            end_job(job);
        }
        job = next;
    }
    Srv_Free(worker->srv);
    worker->srv = NULL;
    worker->running = 0;
    Prx_SetTarget(worker->prx, 1); /* No server listens on port 1. */
    Prx_ResetAll(worker->prx);
}

void
Wld_StartWorker(Wld *wld, guint number)
{
    WldWorker *worker = &wld->workers[number];
    char *key;

    if (worker->srv != NULL) {
        return;
    }
    if (worker->id[0] != '\0') {
        key = g_strdup_printf("servers/%s", worker->id);
        put_item(wld, key, NULL);
        g_free(key);
    }
    worker->starts++;
    worker->draining = false;
    g_snprintf(worker->id, sizeof(worker->id), "w%u-%u", number,
               worker->starts);
    worker->srv = open_server(wld, worker, on_worker_request, on_worker_gone);
    Prx_SetTarget(worker->prx, Srv_GetPort(worker->srv));
    publish_worker(worker);
}

void
Wld_DrainWorker(Wld *wld, guint number)
{
    WldWorker *worker = &wld->workers[number];

    if (worker->srv == NULL || worker->draining) {
        return;
    }
    worker->draining = true;
    worker->draining_since_us = Clk_Now(wld->clk);
    publish_worker(worker);
}

void
Wld_SetFailures(Wld *wld, double lost_ratio, double failed_ratio)
{
    wld->lost_ratio = lost_ratio;
    wld->failed_ratio = failed_ratio;
}

uint32_t
Wld_CountEvents(const char *id)
{
    return 3 + g_str_hash(id) % 40;
}

static void
put_item(Wld *wld, const char *key, const char *value)
{
    WldItem *item = g_hash_table_lookup(wld->items, key);
    WldStoreCall *call;

    if (item == NULL) {
        item = g_new0(WldItem, 1);
        g_hash_table_insert(wld->items, g_strdup(key), item);
    }
    g_free(item->value);
    item->value = g_strdup(value);
    item->revision = ++wld->revision;
    call = LIST_FIRST(&wld->store_calls);
    while (call != NULL) {
        WldStoreCall *next = LIST_NEXT(call, links);
        if (!call->is_delayed) {
            answer_store_call(call);
        }
        call = next;
    }
}

static void
publish_worker(WldWorker *worker)
{
    const char *phase = get_phase(worker->number);
    char *key = g_strdup_printf("servers/%s", worker->id);
    char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"zone-%c\","
        "\"version\":\"1\",\"slots\":%d,\"state\":\"%s\",\"phase\":\"%s\","
        "\"sequence\":0}",
        phase[0] != '\0' ? "llm" : "app", Prx_GetPort(worker->prx),
        'a' + (char)(worker->number % 2), WLD_SLOTS,
        worker->draining ? "draining" : "ready", phase);

    put_item(worker->wld, key, text);
    g_free(text);
    g_free(key);
}

static void
on_store_request(void *context, SrvExchange *exchange)
{
    Wld *wld = context;
    const char *target = exchange->target;
    const char *after = strstr(target, "after=");
    const char *wait = strstr(target, "wait-ms=");
    WldStoreCall *call;

    if (wld->store_state == WLD_STORE_DOWN) {
        Srv_SendResponse(exchange, 503, NULL, "", 0);
        return;
    }
    call = g_new0(WldStoreCall, 1);
    call->wld = wld;
    call->exchange = exchange;
    call->is_range = strstr(target, "/v1/kv-range") == target;
    call->after_revision = after != NULL ? strtoull(after + 6, NULL, 10) : 0;
    call->timer = evtimer_new(wld->base, on_store_timer, call);
    exchange->owner = call;
    LIST_INSERT_HEAD(&wld->store_calls, call, links);
    if (wld->store_state == WLD_STORE_SLOW) {
        call->is_delayed = true;
        Loop_ArmTimer(call->timer, WLD_STORE_DELAY_MS);
    }
    else if (call->is_range || call->after_revision < wld->revision) {
        answer_store_call(call);
    }
    else {
        Loop_ArmTimer(call->timer,
                      wait != NULL ? (uint32_t)atoi(wait + 8) : 1000);
    }
}

static void
on_store_gone(void *context, SrvExchange *exchange)
{
    WldStoreCall *call = exchange->owner;

    (void)context;
    if (call != NULL) {
        LIST_REMOVE(call, links);
        event_free(call->timer);
        g_free(call);
    }
}

static void
on_store_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    answer_store_call(context);
}

static void
answer_store_call(WldStoreCall *call)
{
    Wld *wld = call->wld;
    SrvExchange *exchange = call->exchange;
    bool is_gone = !call->is_range &&
                   wld->store_state == WLD_STORE_NO_HISTORY &&
                   call->after_revision < wld->revision;
    json_t *rows = json_array();
    json_t *root;
    GHashTableIter iter;
    gpointer key;
    gpointer row;
    char *text;

    g_hash_table_iter_init(&iter, wld->items);
    while (g_hash_table_iter_next(&iter, &key, &row)) {
        const WldItem *item = row;
        if (item->value != NULL &&
            (call->is_range || item->revision > call->after_revision)) {
            gchar *value = g_base64_encode((const guchar *)item->value,
                                           strlen(item->value));
            json_array_append_new(
                rows,
                json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", key, "value", value,
                          "revision", (json_int_t)item->revision, "created",
                          (json_int_t)item->revision, "lease", 0));
            g_free(value);
        }
        else if (item->value == NULL && !call->is_range &&
                 item->revision > call->after_revision) {
            json_array_append_new(
                rows, json_pack("{s:s,s:I,s:b}", "key", key, "revision",
                                (json_int_t)item->revision, "deleted", 1));
        }
    }
    root = json_pack("{s:o,s:b,s:I}", call->is_range ? "items" : "events",
                     rows, "truncated", 0, "as-of", (json_int_t)wld->revision);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    on_store_gone(wld, exchange); /* Frees the call. */
    if (is_gone) {
        Srv_SendResponse(exchange, 410, NULL, "", 0);
    }
    else {
        Srv_SendResponse(exchange, 200, NULL, text, strlen(text));
    }
    free(text);
}

static void
on_worker_request(void *context, SrvExchange *exchange)
{
    WldWorker *worker = context;
    Wld *wld = worker->wld;
    const char *id = Hdr_Find(exchange->headers, "X-Request-Id");
    const char *source = Hdr_Find(exchange->headers, "X-Kv-Source");
    int64_t since_draining_us = Clk_Now(wld->clk) - worker->draining_since_us;

    if (strncmp(exchange->method, "DELETE", 6) == 0) {
        send_response(exchange, 200, NULL, false, "");
    }
    else if (is_misdirected(worker, exchange)) {
        send_response(exchange, 421, id, true, "");
    }
    else if (strcmp(exchange->target, "/v1/hold-take") == 0) {
        bool full = worker->running >= WLD_SLOTS;
        send_response(exchange, full ? 503 : 200, NULL, full,
                      "{\"hold\":\"L1\"}");
    }
    else if (strcmp(exchange->target, "/v1/order") == 0) {
        send_response(exchange, 409, NULL, false, "");
    }
    else if (worker->running >= WLD_SLOTS + 2 ||
             (source != NULL &&
              !g_hash_table_remove(wld->kv_handles,
                                   strrchr(source, '/') + 1))) {
        send_response(exchange, 503, id, true, "");
    }
    else {
        if (worker->draining &&
            worker->draining_since_us > wld->disrupted_us &&
            since_draining_us >
                (int64_t)(WLD_DRAIN_MS + WLD_DRAIN_SLACK_MS) * CLK_US_PER_MS) {
            Led_AddFinding(
                wld->led,
                "DRAIN: %s reached draining worker %s %lld ms too late", id,
                worker->id,
                (long long)since_draining_us / CLK_US_PER_MS - WLD_DRAIN_MS);
        }
        begin_job(worker, exchange);
    }
}

/* Returns whether the request was meant for another worker or for a worker of
   the other pool (prefill or decode). */
static bool
is_misdirected(const WldWorker *worker, const SrvExchange *exchange)
{
    const char *expected = Hdr_Find(exchange->headers, "X-Expect-Instance");
    bool is_prefill = Hdr_Find(exchange->headers, "X-Stage") != NULL;
    const char *phase = get_phase(worker->number);

    if (expected != NULL && strcmp(expected, worker->id) != 0) {
        return true;
    }
    return phase[0] != '\0' && strncmp(exchange->target, "/v1/", 4) != 0 &&
           is_prefill != (strcmp(phase, "prefill") == 0);
}

static void
begin_job(WldWorker *worker, SrvExchange *exchange)
{
    Wld *wld = worker->wld;
    const char *id = Hdr_Find(exchange->headers, "X-Request-Id");
    const char *last = Hdr_Find(exchange->headers, "Last-Event-Id");
    const char *phase = get_phase(worker->number);
    WldJob *job = g_new0(WldJob, 1);

    job->worker = worker;
    job->exchange = exchange;
    job->is_prefill = strcmp(phase, "prefill") == 0;
    job->is_stream = strcmp(phase, "decode") == 0;
    g_strlcpy(job->id, id != NULL ? id : "", sizeof(job->id));
    job->end = Wld_CountEvents(job->id);
    job->next = last != NULL ? (uint32_t)atoi(last) + 1 : 0;
    job->timer = evtimer_new(wld->base, on_job_timer, job);
    exchange->owner = job;
    LIST_INSERT_HEAD(&wld->jobs, job, links);
    worker->running++;
    if (!job->is_prefill) {
        Led_RecordRun(wld->led, id);
    }
    Loop_ArmTimer(job->timer, (uint32_t)g_rand_int_range(wld->rand, 1,
                                                         2 * WLD_RUN_MEAN_MS));
}

static void
on_worker_gone(void *context, SrvExchange *exchange)
{
    (void)context;
    if (exchange->owner != NULL) {
        end_job(exchange->owner);
    }
}

static void
on_job_timer(evutil_socket_t fd, short what, void *context)
{
    WldJob *job = context;
    Wld *wld = job->worker->wld;
    SrvExchange *exchange = job->exchange;
    char body[128];

    (void)fd;
    (void)what;
    if (job->is_prefill) {
        char *handle = g_strdup_printf("k%u", wld->next_handle++);
        g_snprintf(body, sizeof(body),
                   "{\"kv-handle\":\"%s\",\"tokens\":10,\"version\":1}",
                   handle);
        g_hash_table_add(wld->kv_handles, handle);
        send_response(exchange, 200, job->id, false, body);
        end_job(job);
    }
    else if (g_rand_double(wld->rand) < wld->lost_ratio) {
        Srv_AbortResponse(exchange);
        end_job(job);
    }
    else if (job->is_stream) {
        if (!job->is_begun) {
            HdrList *headers = Hdr_New();
            Hdr_Add(headers, "X-Request-Id", job->id);
            Hdr_Add(headers, "X-Response-Stamp", job->worker->id);
            Srv_BeginStream(exchange, 200, headers);
            Hdr_Free(headers);
            job->is_begun = true;
        }
        if (job->next >= job->end) {
            Srv_EndStream(exchange);
            end_job(job);
            return;
        }
        g_snprintf(body, sizeof(body), "id: %u\ndata: %s\n\n", job->next,
                   job->id);
        job->next++;
        Srv_SendData(exchange, body, strlen(body));
        Loop_ArmTimer(job->timer, WLD_EVENT_INTERVAL_MS);
    }
    else {
        bool failed = g_rand_double(wld->rand) < wld->failed_ratio;
        send_response(exchange, failed ? 500 : 200, job->id, false, job->id);
        end_job(job);
    }
}

static void
end_job(WldJob *job)
{
    job->worker->running--;
    event_free(job->timer);
    LIST_REMOVE(job, links);
    g_free(job);
}

/* Sends a response. `id` is the request's identifier, NULL for control calls;
   a response with an identifier carries a stamp unless `not_run` is set. */
static void
send_response(SrvExchange *exchange, int status, const char *id, bool not_run,
              const char *body)
{
    HdrList *headers = Hdr_New();

    if (id != NULL) {
        Hdr_Add(headers, "X-Request-Id", id);
    }
    if (not_run) {
        Hdr_Add(headers, "X-Not-Executed", "1");
    }
    else if (id != NULL) {
        Hdr_Add(headers, "X-Response-Stamp", "s1");
    }
    exchange->owner = NULL;
    Srv_SendResponse(exchange, status, headers, body, strlen(body));
    Hdr_Free(headers);
}

static const char *
get_phase(guint worker)
{
    if (worker < WLD_PLAIN_COUNT) {
        return "";
    }
    return worker < WLD_PLAIN_COUNT + WLD_PREFILL_COUNT ? "prefill" : "decode";
}

static Srv *
open_server(Wld *wld, void *context, void (*on_request)(void *, SrvExchange *),
            void (*on_disconnect)(void *, SrvExchange *))
{
    SrvOptions options = Srv_DefaultOptions();
    LsError err = {0};
    Srv *srv;

    options.base = wld->base;
    options.clk = wld->clk;
    options.context = context;
    options.on_request = on_request;
    options.on_disconnect = on_disconnect;
    srv = Srv_New(&options, &err);
    if (srv == NULL) {
        g_error("soak: %s", err.message);
    }
    return srv;
}
