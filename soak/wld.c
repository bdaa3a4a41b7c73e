#include "wld.h"

#include "io/loop.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define WLD_SLOTS 8
#define WLD_STORE_DELAY_MS 900 /* Of a lagging store. */
#define WLD_RUN_MEAN_MS 15 /* Mean of a plain run, and a prompt's reading. */
#define WLD_EVENT_INTERVAL_MS 12
#define WLD_DRAIN_SLACK_MS 500 /* Between the ack and the VMs' watch. */
#define WLD_CONFIG_KEY "op/config"

typedef struct WldItem {
    char *value; /* NULL: deleted. */
    uint64_t revision;
} WldItem;

/* A call of the store that waits: a watch, or an answer that is late. */
typedef struct WldStoreCall {
    LIST_ENTRY(WldStoreCall) links;
    Wld *wld;
    SrvExchange *exchange;
    struct event *timer;
    uint64_t after;
    bool is_range;
    bool is_delayed; /* Answered when its time is over, not before. */
} WldStoreCall;

typedef struct WldWorker {
    Wld *wld;
    Srv *srv; /* NULL: crashed. */
    Prx *prx;
    guint number;
    guint starts;
    char id[32];
    bool draining;
    int64_t draining_since_us; /* When the store took its leaving. */
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
    uint32_t next; /* Event of a stream. */
    uint32_t end;
} WldJob;

struct Wld {
    struct event_base *base;
    const Clk *clk;
    Led *led;
    GRand *rand;
    Srv *store;
    Prx *store_prx;
    WldStoreState state;
    GHashTable *items; /* Key to WldItem. */
    uint64_t revision;
    uint64_t version; /* Of the configuration. */
    LIST_HEAD(WldStoreCallList, WldStoreCall) store_calls;
    LIST_HEAD(WldJobList, WldJob) jobs;
    WldWorker workers[WLD_WORKER_COUNT];
    GHashTable *kv_handles; /* Memory of prompts that were read. */
    guint next_handle;
    int64_t disrupted_us;
    double lost;
    double failed;
};

static void put_item(Wld *wld, const char *key, const char *value);
static void publish_worker(WldWorker *worker);
static void on_store_request(void *context, SrvExchange *exchange);
static void on_store_gone(void *context, SrvExchange *exchange);
static void on_store_timer(evutil_socket_t fd, short what, void *context);
static void answer_store_call(WldStoreCall *watch);
static void on_worker_request(void *context, SrvExchange *exchange);
static void on_worker_gone(void *context, SrvExchange *exchange);
static bool is_misdirected(const WldWorker *worker,
                           const SrvExchange *exchange);
static void begin_job(WldWorker *worker, SrvExchange *exchange);
static void on_job_timer(evutil_socket_t fd, short what, void *context);
static void end_job(WldJob *job);
static void answer(SrvExchange *exchange, int status, const char *id,
                   bool not_run, const char *body);
static const char *get_phase(guint worker);
static Srv *open_server(Wld *wld, void *context,
                        void (*on_request)(void *, SrvExchange *),
                        void (*on_gone)(void *, SrvExchange *));

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
Wld_SetStoreState(Wld *wld, WldStoreState store)
{
    wld->state = store;
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
    Prx_SetTarget(worker->prx, 1); /* Nobody listens there. */
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
Wld_SetFailures(Wld *wld, double lost, double failed)
{
    wld->lost = lost;
    wld->failed = failed;
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
    WldStoreCall *watch;

    if (item == NULL) {
        item = g_new0(WldItem, 1);
        g_hash_table_insert(wld->items, g_strdup(key), item);
    }
    g_free(item->value);
    item->value = g_strdup(value);
    item->revision = ++wld->revision;
    watch = LIST_FIRST(&wld->store_calls);
    while (watch != NULL) {
        WldStoreCall *next = LIST_NEXT(watch, links);
        if (!watch->is_delayed) {
            answer_store_call(watch);
        }
        watch = next;
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
    WldStoreCall *watch;

    if (wld->state == WLD_STORE_DOWN) {
        Srv_Answer(exchange, 503, NULL, "", 0);
        return;
    }
    watch = g_new0(WldStoreCall, 1);
    watch->wld = wld;
    watch->exchange = exchange;
    watch->is_range = strstr(target, "/v1/kv-range") == target;
    watch->after = after != NULL ? strtoull(after + 6, NULL, 10) : 0;
    watch->timer = evtimer_new(wld->base, on_store_timer, watch);
    exchange->owner = watch;
    LIST_INSERT_HEAD(&wld->store_calls, watch, links);
    if (wld->state == WLD_STORE_SLOW) {
        watch->is_delayed = true;
        Loop_ArmTimer(watch->timer, WLD_STORE_DELAY_MS);
    }
    else if (watch->is_range || watch->after < wld->revision) {
        answer_store_call(watch);
    }
    else {
        Loop_ArmTimer(watch->timer,
                      wait != NULL ? (uint32_t)atoi(wait + 8) : 1000);
    }
}

static void
on_store_gone(void *context, SrvExchange *exchange)
{
    WldStoreCall *watch = exchange->owner;

    (void)context;
    if (watch != NULL) {
        LIST_REMOVE(watch, links);
        event_free(watch->timer);
        g_free(watch);
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
answer_store_call(WldStoreCall *watch)
{
    Wld *wld = watch->wld;
    SrvExchange *exchange = watch->exchange;
    bool is_gone = !watch->is_range && wld->state == WLD_STORE_NO_HISTORY &&
                   watch->after < wld->revision;
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
            (watch->is_range || item->revision > watch->after)) {
            gchar *value = g_base64_encode((const guchar *)item->value,
                                           strlen(item->value));
            json_array_append_new(
                rows,
                json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", key, "value", value,
                          "revision", (json_int_t)item->revision, "created",
                          (json_int_t)item->revision, "lease", 0));
            g_free(value);
        }
        else if (item->value == NULL && !watch->is_range &&
                 item->revision > watch->after) {
            json_array_append_new(
                rows, json_pack("{s:s,s:I,s:b}", "key", key, "revision",
                                (json_int_t)item->revision, "deleted", 1));
        }
    }
    root = json_pack("{s:o,s:b,s:I}", watch->is_range ? "items" : "events",
                     rows, "truncated", 0, "as-of", (json_int_t)wld->revision);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    on_store_gone(wld, exchange); /* The watch ends with its answer. */
    if (is_gone) {
        Srv_Answer(exchange, 410, NULL, "", 0);
    }
    else {
        Srv_Answer(exchange, 200, NULL, text, strlen(text));
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
        answer(exchange, 200, NULL, false, "");
    }
    else if (is_misdirected(worker, exchange)) {
        answer(exchange, 421, id, true, "");
    }
    else if (strcmp(exchange->target, "/v1/hold-take") == 0) {
        bool full = worker->running >= WLD_SLOTS;
        answer(exchange, full ? 503 : 200, NULL, full, "{\"hold\":\"L1\"}");
    }
    else if (strcmp(exchange->target, "/v1/order") == 0) {
        answer(exchange, 409, NULL, false, "");
    }
    else if (worker->running >= WLD_SLOTS + 2 ||
             (source != NULL &&
              !g_hash_table_remove(wld->kv_handles,
                                   strrchr(source, '/') + 1))) {
        answer(exchange, 503, id, true, "");
    }
    else {
        if (worker->draining &&
            worker->draining_since_us > wld->disrupted_us &&
            since_draining_us >
                (int64_t)(WLD_DRAIN_MS + WLD_DRAIN_SLACK_MS) * CLK_US_PER_MS) {
            Led_AddFinding(
                wld->led, "DRAIN: %s reaches %s %lld ms late", id, worker->id,
                (long long)since_draining_us / CLK_US_PER_MS - WLD_DRAIN_MS);
        }
        begin_job(worker, exchange);
    }
}

/* Meant for another worker, or for the other pool. */
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
        answer(exchange, 200, job->id, false, body);
        end_job(job);
    }
    else if (g_rand_double(wld->rand) < wld->lost) {
        Srv_BreakOff(exchange);
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
        Srv_SendPart(exchange, body, strlen(body));
        Loop_ArmTimer(job->timer, WLD_EVENT_INTERVAL_MS);
    }
    else {
        bool failed = g_rand_double(wld->rand) < wld->failed;
        answer(exchange, failed ? 500 : 200, job->id, false, job->id);
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

/* `id` marks an answer to a request; it bears the receipt if it has run. */
static void
answer(SrvExchange *exchange, int status, const char *id, bool not_run,
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
    Srv_Answer(exchange, status, headers, body, strlen(body));
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
            void (*on_gone)(void *, SrvExchange *))
{
    SrvOptions options = Srv_DefaultOptions();
    LsError err = {0};
    Srv *srv;

    options.base = wld->base;
    options.clk = wld->clk;
    options.context = context;
    options.on_request = on_request;
    options.on_gone = on_gone;
    srv = Srv_New(&options, &err);
    if (srv == NULL) {
        g_error("soak: %s", err.message);
    }
    return srv;
}
