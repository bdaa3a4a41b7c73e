/* Simulated platform of a soak test: configuration store and workers. */
#include "sim_platform.h"

#include "io/loop.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* Concurrent requests that a worker reports as its slots. */
#define SIM_SLOTS 8
/* Requests that a worker runs beyond its slots before it refuses. */
#define SIM_EXTRA_SLOTS 2
#define SIM_STORE_DELAY_MS 900 /* Response delay of SIM_STORE_SLOW. */
/* Mean time of a plain run, of a prefill, and until the first event of a
   stream. */
#define SIM_RUN_MEAN_MS 15
#define SIM_EVENT_INTERVAL_MS 12 /* Time between the events of a stream. */
/* Added to SIM_DRAIN_MS before a request counts as too late: allows for the
   time from the store's acknowledgement of a draining entry until the response
   to the VMs' watches. */
#define SIM_DRAIN_SLACK_MS 500
#define SIM_CONFIG_KEY "op/config"

typedef struct SimItem {
    char *value; /* NULL if deleted */
    uint64_t revision;
} SimItem;

/* Pending request to the store: a watch, or a request whose response is
   delayed. */
typedef struct SimStoreCall {
    LIST_ENTRY(SimStoreCall) links;
    Sim *sim;
    ServerExchange *exchange;
    struct event *timer;
    uint64_t after_revision; /* Revision after which events are wanted. */
    bool is_range;           /* Reads all items; otherwise a watch. */
    bool is_delayed;         /* Response delayed until the timer expires. */
} SimStoreCall;

typedef struct SimWorker {
    Sim *sim;
    Server *server; /* NULL while stopped */
    Proxy *proxy;
    guint number;
    guint starts; /* Number of starts; part of the identifier. */
    char id[32];
    bool draining;
    int64_t draining_since_us; /* Time of the mark as draining. */
    uint32_t running;          /* Number of jobs. */
} SimWorker;

/* A request that a worker runs. */
typedef struct SimJob {
    LIST_ENTRY(SimJob) links;
    SimWorker *worker;
    ServerExchange *exchange;
    struct event *timer;
    char id[64];
    bool is_prefill;
    bool is_stream;
    bool is_begun; /* The head of the stream was sent. */
    uint32_t next; /* Number of the next event of a stream. */
    uint32_t end;  /* Number of events of the stream. */
} SimJob;

struct Sim {
    struct event_base *base;
    const Clk *clk;
    Ledger *ledger;
    GRand *rand;
    Server *store;
    Proxy *store_proxy;
    SimStoreState store_state;
    GHashTable *items; /* Key to SimItem. */
    uint64_t revision;
    uint64_t version; /* Configuration version. */
    LIST_HEAD(SimStoreCallList, SimStoreCall) store_calls;
    LIST_HEAD(SimJobList, SimJob) jobs;
    SimWorker workers[SIM_WORKER_COUNT];
    GHashTable *kv_handles; /* Set of unused KV handles. */
    guint next_handle;
    int64_t disrupted_us; /* Last time recorded by Sim_RecordDisruption(). */
    double lost_ratio;    /* As set with Sim_SetFailures(). */
    double failed_ratio;  /* As set with Sim_SetFailures(). */
};

static void put_item(Sim *sim, const char *key, const char *value);
static void publish_worker(SimWorker *worker);
static void on_store_request(void *context, ServerExchange *exchange);
static void on_store_disconnect(void *context, ServerExchange *exchange);
static void on_store_timer(evutil_socket_t fd, short what, void *context);
static void answer_store_call(SimStoreCall *call);
static void on_worker_request(void *context, ServerExchange *exchange);
static void on_worker_disconnect(void *context, ServerExchange *exchange);
static bool is_misdirected(const SimWorker *worker,
                           const ServerExchange *exchange);
static void begin_job(SimWorker *worker, ServerExchange *exchange);
static void on_job_timer(evutil_socket_t fd, short what, void *context);
static void end_job(SimJob *job);
static void send_response(ServerExchange *exchange, int status, const char *id,
                          bool not_run, const char *body);
static const char *get_phase(guint worker);
static Server *open_server(Sim *sim, void *context,
                           void (*on_request)(void *, ServerExchange *),
                           void (*on_disconnect)(void *, ServerExchange *));

Sim *
Sim_New(struct event_base *base, const Clk *clk, Ledger *ledger, GRand *rand)
{
    Sim *sim = g_new0(Sim, 1);

    sim->base = base;
    sim->clk = clk;
    sim->ledger = ledger;
    sim->rand = rand;
    sim->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->kv_handles =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    LIST_INIT(&sim->store_calls);
    LIST_INIT(&sim->jobs);
    sim->store = open_server(sim, sim, on_store_request, on_store_disconnect);
    sim->store_proxy = Proxy_New(base, Server_GetPort(sim->store));
    Sim_ChangeConfig(sim);
    for (guint i = 0; i < SIM_WORKER_COUNT; i++) {
        sim->workers[i].sim = sim;
        sim->workers[i].number = i;
        sim->workers[i].proxy = Proxy_New(base, 1);
        Sim_StartWorker(sim, i);
    }
    return sim;
}

void
Sim_Free(Sim *sim)
{
    GHashTableIter iter;
    gpointer item;

    for (guint i = 0; i < SIM_WORKER_COUNT; i++) {
        Sim_CrashWorker(sim, i);
        Proxy_Free(sim->workers[i].proxy);
    }
    Proxy_Free(sim->store_proxy);
    Server_Free(sim->store);
    g_hash_table_iter_init(&iter, sim->items);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        g_free(((SimItem *)item)->value);
        g_free(item);
    }
    g_hash_table_destroy(sim->items);
    g_hash_table_destroy(sim->kv_handles);
    g_free(sim);
}

Proxy *
Sim_GetStoreProxy(const Sim *sim)
{
    return sim->store_proxy;
}

Proxy *
Sim_GetWorkerProxy(const Sim *sim, guint worker)
{
    return sim->workers[worker].proxy;
}

void
Sim_SetStoreState(Sim *sim, SimStoreState state)
{
    sim->store_state = state;
}

void
Sim_RecordDisruption(Sim *sim)
{
    sim->disrupted_us = Clk_Now(sim->clk);
}

void
Sim_ChangeConfig(Sim *sim)
{
    char *text;

    sim->version += (uint64_t)g_rand_int_range(sim->rand, 1, 5);
    text = g_strdup_printf(
        "{\"version\":%llu,\"services\":[{\"name\":\"app\"},{\"name\":\"llm\","
        "\"engine\":{\"kv-tokens\":60000,\"stride\":11,\"hold-ms\":2000,"
        "\"handle-ttl-s\":0.5}}],\"limits\":{},\"routes\":["
        "{\"name\":\"read\",\"host\":\"" SIM_HOST "\",\"prefix\":\"/read/\","
        "\"service\":\"app\",\"kind\":\"idempotent\",\"attempts\":2,"
        "\"timeout-ms\":3000,\"latency-slo-ms\":200},"
        "{\"name\":\"hold\",\"host\":\"" SIM_HOST "\",\"prefix\":\"/hold/\","
        "\"service\":\"app\",\"kind\":\"non_idempotent\",\"attempts\":%u,"
        "\"timeout-ms\":3000,\"latency-slo-ms\":200},"
        "{\"name\":\"stream\",\"host\":\"" SIM_HOST "\",\"prefix\":"
        "\"/stream/\",\"service\":\"llm\",\"kind\":\"stream\",\"attempts\":1,"
        "\"timeout-ms\":14000,\"latency-slo-ms\":900,\"gap-target-ms\":300},"
        "{\"name\":\"resume\",\"host\":\"" SIM_HOST "\",\"prefix\":"
        "\"/resume/\",\"service\":\"llm\",\"kind\":\"stream\",\"attempts\":2,"
        "\"can-resume\":true,\"timeout-ms\":14000,\"latency-slo-ms\":900,"
        "\"gap-target-ms\":300}]}",
        (unsigned long long)sim->version, 1 + g_rand_int(sim->rand) % 2);
    put_item(sim, SIM_CONFIG_KEY, text);
    g_free(text);
}

void
Sim_CrashWorker(Sim *sim, guint number)
{
    SimWorker *worker = &sim->workers[number];
    SimJob *job = LIST_FIRST(&sim->jobs);

    if (worker->server == NULL) {
        return;
    }
    while (job != NULL) {
        SimJob *next = LIST_NEXT(job, links);
        if (job->worker == worker) {
            job->exchange->owner = NULL;
            end_job(job);
        }
        job = next;
    }
    Server_Free(worker->server);
    worker->server = NULL;
    worker->running = 0;
    Proxy_SetTarget(worker->proxy, 1); /* No server listens on port 1. */
    Proxy_ResetAll(worker->proxy);
}

void
Sim_StartWorker(Sim *sim, guint number)
{
    SimWorker *worker = &sim->workers[number];
    char *key;

    if (worker->server != NULL) {
        return;
    }
    if (worker->id[0] != '\0') {
        key = g_strdup_printf("servers/%s", worker->id);
        put_item(sim, key, NULL);
        g_free(key);
    }
    worker->starts++;
    worker->draining = false;
    g_snprintf(worker->id, sizeof(worker->id), "w%u-%u", number,
               worker->starts);
    worker->server =
        open_server(sim, worker, on_worker_request, on_worker_disconnect);
    Proxy_SetTarget(worker->proxy, Server_GetPort(worker->server));
    publish_worker(worker);
}

void
Sim_DrainWorker(Sim *sim, guint number)
{
    SimWorker *worker = &sim->workers[number];

    if (worker->server == NULL || worker->draining) {
        return;
    }
    worker->draining = true;
    worker->draining_since_us = Clk_Now(sim->clk);
    publish_worker(worker);
}

void
Sim_SetFailures(Sim *sim, double lost_ratio, double failed_ratio)
{
    sim->lost_ratio = lost_ratio;
    sim->failed_ratio = failed_ratio;
}

uint32_t
Sim_CountEvents(const char *id)
{
    return 3 + g_str_hash(id) % 40;
}

static void
put_item(Sim *sim, const char *key, const char *value)
{
    SimItem *item = g_hash_table_lookup(sim->items, key);
    SimStoreCall *call;

    if (item == NULL) {
        item = g_new0(SimItem, 1);
        g_hash_table_insert(sim->items, g_strdup(key), item);
    }
    g_free(item->value);
    item->value = g_strdup(value);
    item->revision = ++sim->revision;
    call = LIST_FIRST(&sim->store_calls);
    while (call != NULL) {
        SimStoreCall *next = LIST_NEXT(call, links);
        if (!call->is_delayed) {
            answer_store_call(call);
        }
        call = next;
    }
}

static void
publish_worker(SimWorker *worker)
{
    const char *phase = get_phase(worker->number);
    char *key = g_strdup_printf("servers/%s", worker->id);
    char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"zone-%c\","
        "\"version\":\"1\",\"slots\":%d,\"state\":\"%s\",\"phase\":\"%s\","
        "\"sequence\":0}",
        phase[0] != '\0' ? "llm" : "app", Proxy_GetPort(worker->proxy),
        'a' + (char)(worker->number % 2), SIM_SLOTS,
        worker->draining ? "draining" : "ready", phase);

    put_item(worker->sim, key, text);
    g_free(text);
    g_free(key);
}

static void
on_store_request(void *context, ServerExchange *exchange)
{
    Sim *sim = context;
    const char *target = exchange->target;
    const char *after = strstr(target, "after=");
    const char *wait = strstr(target, "wait-ms=");
    SimStoreCall *call;

    if (sim->store_state == SIM_STORE_DOWN) {
        Server_SendResponse(exchange, 503, NULL, "", 0);
        return;
    }
    call = g_new0(SimStoreCall, 1);
    call->sim = sim;
    call->exchange = exchange;
    call->is_range = strstr(target, "/v1/kv-range") == target;
    call->after_revision = after != NULL ? strtoull(after + 6, NULL, 10) : 0;
    call->timer = evtimer_new(sim->base, on_store_timer, call);
    exchange->owner = call;
    LIST_INSERT_HEAD(&sim->store_calls, call, links);
    if (sim->store_state == SIM_STORE_SLOW) {
        call->is_delayed = true;
        Loop_ArmTimer(call->timer, SIM_STORE_DELAY_MS);
    }
    else if (call->is_range || call->after_revision < sim->revision) {
        answer_store_call(call);
    }
    else {
        Loop_ArmTimer(call->timer,
                      wait != NULL ? (uint32_t)atoi(wait + 8) : 1000);
    }
}

static void
on_store_disconnect(void *context, ServerExchange *exchange)
{
    SimStoreCall *call = exchange->owner;

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
answer_store_call(SimStoreCall *call)
{
    Sim *sim = call->sim;
    ServerExchange *exchange = call->exchange;
    bool is_history_missing = !call->is_range &&
                              sim->store_state == SIM_STORE_NO_HISTORY &&
                              call->after_revision < sim->revision;
    json_t *rows = json_array();
    json_t *root;
    GHashTableIter iter;
    gpointer key;
    gpointer row;
    char *text;

    g_hash_table_iter_init(&iter, sim->items);
    while (g_hash_table_iter_next(&iter, &key, &row)) {
        const SimItem *item = row;
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
                     rows, "truncated", 0, "as-of", (json_int_t)sim->revision);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    on_store_disconnect(sim, exchange); /* Frees the call. */
    if (is_history_missing) {
        Server_SendResponse(exchange, 410, NULL, "", 0);
    }
    else {
        Server_SendResponse(exchange, 200, NULL, text, strlen(text));
    }
    free(text);
}

static void
on_worker_request(void *context, ServerExchange *exchange)
{
    SimWorker *worker = context;
    Sim *sim = worker->sim;
    const char *id = Header_Find(exchange->headers, "X-Request-Id");
    const char *source = Header_Find(exchange->headers, "X-Kv-Source");
    int64_t since_draining_us = Clk_Now(sim->clk) - worker->draining_since_us;

    if (strncmp(exchange->method, "DELETE", 6) == 0) {
        send_response(exchange, 200, NULL, false, "");
    }
    else if (is_misdirected(worker, exchange)) {
        send_response(exchange, 421, id, true, "");
    }
    else if (strcmp(exchange->target, "/v1/hold-take") == 0) {
        bool full = worker->running >= SIM_SLOTS;
        send_response(exchange, full ? 503 : 200, NULL, full,
                      "{\"hold\":\"L1\"}");
    }
    else if (strcmp(exchange->target, "/v1/order") == 0) {
        send_response(exchange, 409, NULL, false, "");
    }
    else if (worker->running >= SIM_SLOTS + SIM_EXTRA_SLOTS ||
             (source != NULL &&
              !g_hash_table_remove(sim->kv_handles,
                                   strrchr(source, '/') + 1))) {
        send_response(exchange, 503, id, true, "");
    }
    else {
        if (worker->draining &&
            worker->draining_since_us > sim->disrupted_us &&
            since_draining_us >
                (int64_t)(SIM_DRAIN_MS + SIM_DRAIN_SLACK_MS) * CLK_US_PER_MS) {
            Ledger_AddFinding(
                sim->ledger,
                "DRAIN: %s reached draining worker %s %lld ms too late", id,
                worker->id,
                (long long)since_draining_us / CLK_US_PER_MS - SIM_DRAIN_MS);
        }
        begin_job(worker, exchange);
    }
}

/* Returns whether the request was meant for another worker or for a worker of
   the other pool (prefill or decode). */
static bool
is_misdirected(const SimWorker *worker, const ServerExchange *exchange)
{
    const char *expected = Header_Find(exchange->headers, "X-Expect-Instance");
    bool is_prefill = Header_Find(exchange->headers, "X-Stage") != NULL;
    const char *phase = get_phase(worker->number);

    if (expected != NULL && strcmp(expected, worker->id) != 0) {
        return true;
    }
    return phase[0] != '\0' && strncmp(exchange->target, "/v1/", 4) != 0 &&
           is_prefill != (strcmp(phase, "prefill") == 0);
}

static void
begin_job(SimWorker *worker, ServerExchange *exchange)
{
    Sim *sim = worker->sim;
    const char *id = Header_Find(exchange->headers, "X-Request-Id");
    const char *last = Header_Find(exchange->headers, "Last-Event-Id");
    const char *phase = get_phase(worker->number);
    SimJob *job = g_new0(SimJob, 1);

    job->worker = worker;
    job->exchange = exchange;
    job->is_prefill = strcmp(phase, "prefill") == 0;
    job->is_stream = strcmp(phase, "decode") == 0;
    g_strlcpy(job->id, id != NULL ? id : "", sizeof(job->id));
    job->end = Sim_CountEvents(job->id);
    job->next = last != NULL ? (uint32_t)atoi(last) + 1 : 0;
    job->timer = evtimer_new(sim->base, on_job_timer, job);
    exchange->owner = job;
    LIST_INSERT_HEAD(&sim->jobs, job, links);
    worker->running++;
    if (!job->is_prefill) {
        Ledger_RecordRun(sim->ledger, id);
    }
    Loop_ArmTimer(job->timer, (uint32_t)g_rand_int_range(sim->rand, 1,
                                                         2 * SIM_RUN_MEAN_MS));
}

static void
on_worker_disconnect(void *context, ServerExchange *exchange)
{
    (void)context;
    if (exchange->owner != NULL) {
        end_job(exchange->owner);
    }
}

static void
on_job_timer(evutil_socket_t fd, short what, void *context)
{
    SimJob *job = context;
    Sim *sim = job->worker->sim;
    ServerExchange *exchange = job->exchange;
    char body[128];

    (void)fd;
    (void)what;
    if (job->is_prefill) {
        char *handle = g_strdup_printf("k%u", sim->next_handle++);
        g_snprintf(body, sizeof(body),
                   "{\"kv-handle\":\"%s\",\"tokens\":10,\"version\":1}",
                   handle);
        g_hash_table_add(sim->kv_handles, handle);
        send_response(exchange, 200, job->id, false, body);
        end_job(job);
    }
    else if (g_rand_double(sim->rand) < sim->lost_ratio) {
        Server_AbortResponse(exchange);
        end_job(job);
    }
    else if (job->is_stream) {
        if (!job->is_begun) {
            HeaderList *headers = Header_New();
            Header_Add(headers, "X-Request-Id", job->id);
            Header_Add(headers, "X-Response-Stamp", job->worker->id);
            Server_BeginStream(exchange, 200, headers);
            Header_Free(headers);
            job->is_begun = true;
        }
        if (job->next >= job->end) {
            Server_EndStream(exchange);
            end_job(job);
            return;
        }
        g_snprintf(body, sizeof(body), "id: %u\ndata: %s\n\n", job->next,
                   job->id);
        job->next++;
        Server_SendData(exchange, body, strlen(body));
        Loop_ArmTimer(job->timer, SIM_EVENT_INTERVAL_MS);
    }
    else {
        bool failed = g_rand_double(sim->rand) < sim->failed_ratio;
        send_response(exchange, failed ? 500 : 200, job->id, false, job->id);
        end_job(job);
    }
}

static void
end_job(SimJob *job)
{
    job->worker->running--;
    event_free(job->timer);
    LIST_REMOVE(job, links);
    g_free(job);
}

/* Sends a response. `id` is the request's identifier, NULL for control calls;
   a response with an identifier carries a stamp unless `not_run` is set. */
static void
send_response(ServerExchange *exchange, int status, const char *id,
              bool not_run, const char *body)
{
    HeaderList *headers = Header_New();

    if (id != NULL) {
        Header_Add(headers, "X-Request-Id", id);
    }
    if (not_run) {
        Header_Add(headers, "X-Not-Executed", "1");
    }
    else if (id != NULL) {
        Header_Add(headers, "X-Response-Stamp", "s1");
    }
    exchange->owner = NULL;
    Server_SendResponse(exchange, status, headers, body, strlen(body));
    Header_Free(headers);
}

/* Returns the pool of a worker of the model service, or "" for a worker of
   the plain service. */
static const char *
get_phase(guint worker)
{
    if (worker < SIM_PLAIN_COUNT) {
        return "";
    }
    return worker < SIM_PLAIN_COUNT + SIM_PREFILL_COUNT ? "prefill" : "decode";
}

static Server *
open_server(Sim *sim, void *context,
            void (*on_request)(void *, ServerExchange *),
            void (*on_disconnect)(void *, ServerExchange *))
{
    ServerOptions options = Server_DefaultOptions();
    LsError err = {0};
    Server *server;

    options.base = sim->base;
    options.clk = sim->clk;
    options.context = context;
    options.on_request = on_request;
    options.on_disconnect = on_disconnect;
    server = Server_New(&options, &err);
    if (server == NULL) {
        g_error("soak: %s", err.message);
    }
    return server;
}
