/* Simulated platform of a soak test: configuration store and workers. */
#include "sim_platform.h"
#include "sim_answer.h"

#include "io/loop.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* Requests that a worker runs beyond its slots before it refuses. */
#define SIM_EXTRA_SLOTS 2
#define SIM_SLOT_TOKENS 7500   /* KV memory of a worker for each slot. */
#define SIM_STORE_DELAY_MS 900 /* Response delay of SIM_STORE_SLOW. */
/* Mean time of a plain run, of a prefill, and until the first event of a
   stream. */
#define SIM_RUN_MEAN_MS 15
/* Time between the events of a worker's streams, drawn with each start. */
#define SIM_INTERVAL_MIN_MS 30
#define SIM_INTERVAL_MAX_MS 60
/* Number of events of a short and of a long stream. */
#define SIM_EVENTS_MIN 3
#define SIM_EVENTS_MAX 13
#define SIM_LONG_EVENTS_MIN 10
#define SIM_LONG_EVENTS_MAX 200
/* Added to SIM_DRAIN_MS before a request counts as too late: allows for the
   time from the store's acknowledgement of a draining entry until the response
   to the VMs' watches. */
#define SIM_DRAIN_SLACK_MS 500
/* Time after which the entry of a worker that writes no more lapses: three of
   its heartbeats. */
#define SIM_LAPSE_MS 3600
/* A drain that begins within this time of a restore may become known late. */
#define SIM_RESTORE_SLACK_MS 3000
/* A worker that named a pause gets at most this many requests of one VM, from
   this time on. */
#define SIM_PAUSE_REQUESTS_MAX 2
#define SIM_PAUSE_SLACK_MS 500
/* Time from the header of an answer to the crash, and until the restart. */
#define SIM_CRASH_DELAY_MS 20
/* Share of the processes whose end resets their connections. */
#define SIM_RESET_RATIO 0.3
/* Share of the processes of the model service that end bit by bit. */
#define SIM_LINGER_RATIO 0.3
/* Time from a part of an answer until its connection ends. */
#define SIM_BREAK_DELAY_MS 5
#define SIM_RESTART_MIN_MS 1000
#define SIM_RESTART_MAX_MS 3000
/* Time within which all VMs must know what a worker says or that a part
   crashes workers: setting stable-ms. */
#define SIM_STABLE_US (3 * CLK_US_PER_S)
/* Requests with a part that reach workers after this many crashes. */
#define SIM_PART_CRASHES_MAX 5
#define SIM_PART_REQUESTS_MAX 3
/* A limit of requests a second holds in any window, with these allowances, for
   VMs that were told this long before. */
#define SIM_LIMIT_WINDOW_US (4 * CLK_US_PER_S)
#define SIM_LIMIT_FACTOR 1.5
#define SIM_LIMIT_EXTRA 5
#define SIM_LIMIT_TOLD_US (500 * CLK_US_PER_MS)
/* What a silence holds back was sent at most this long before it, and reaches
   the worker within this time of its end. */
#define SIM_RELEASE_MS 300
#define SIM_CONFIG_KEY "op/config"
_Static_assert(SIM_WORKER_COUNT <= 32, "LedgerRow.workers has 32 bits");

typedef struct SimItem {
    char *value; /* NULL if deleted */
    uint64_t revision;
} SimItem;

/* One write to the store. */
typedef struct SimWrite {
    int64_t at_us;
    char *key;
    char *value; /* NULL if it deleted the key. */
    uint64_t revision;
} SimWrite;

/* What a worker told one VM of itself. */
typedef struct SimTold {
    int64_t leaving_us; /* First answer that said that it leaves, or 0. */
    int64_t paused_us;  /* First answer that named this pause, or 0. */
    guint requests;     /* Requests of the VM in the pause, after the slack. */
    int64_t limit_us;   /* First answer that named a limit, or 0. */
} SimTold;

/* A part of prompts on which workers crash. */
typedef struct SimPart {
    guint crashes;
    int64_t last_crash_us; /* The one that reached SIM_PART_CRASHES_MAX. */
    guint requests;        /* Those that reached workers too late. */
} SimPart;

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
    guint starts;  /* Number of starts; part of the identifier. */
    guint version; /* The release at its start. */
    char id[32];
    uint32_t interval_ms;      /* Time between the events of its streams. */
    int64_t born_ms;           /* Unix time of its start. */
    struct event *entry_timer; /* Pending until its entry is written. */
    GPtrArray *kept; /* Last parts of the prompts that it has read lately. */
    bool draining;
    int64_t draining_since_us; /* Time of the mark as draining. */
    bool leaving;
    int64_t pause_until_us;
    double limit;            /* Requests a second that it names; 0: none. */
    int64_t limit_us;        /* When it named the limit first. */
    int64_t impaired_us;     /* Last time of Sim_ImpairWorker(). */
    GArray *limit_times_us;  /* Of requests of VMs that know the limit. */
    struct event *end_timer; /* Pending while its process ends bit by bit. */
    struct event *restart_timer;
    struct event *silence_timer; /* Pending while the worker is silent. */
    int64_t silenced_us; /* SIM_RELEASE_MS before the last silence, or 0. */
    int64_t released_us; /* End of the last silence, or 0. */
    bool is_cut;         /* The mode of its connections breaks responses. */
    bool is_endless;     /* Its connections add bytes to responses. */
    SimTold told[SIM_VMS_MAX];
    uint32_t running; /* Number of jobs. */
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
    char part[32]; /* Part on which the worker crashes; "" for none. */
    uint32_t next; /* Number of the next token of a stream. */
    uint32_t end;  /* Number of tokens of the stream. */
    SimAnswer answer;
} SimJob;

struct Sim {
    struct event_base *base;
    const Clk *clk;
    Ledger *ledger;
    GRand *rand;
    SimOptions options;
    Server *store;
    Proxy *store_proxy;
    SimStoreState store_state;
    GHashTable *items; /* Key to SimItem. */
    uint64_t revision;
    uint64_t era;
    GHashTable *wanted;  /* Key to its latest value, lost or not. */
    GPtrArray *writes;   /* SimWrite pointers. */
    int64_t restored_us; /* Last time that the store was put back, or 0. */
    struct event *rewrite_timer;
    struct event *lapse_timer;
    int64_t vm_started_us[SIM_VMS_MAX];
    uint64_t version; /* Configuration version. */
    guint release;    /* Version of workers that start now. */
    LIST_HEAD(SimStoreCallList, SimStoreCall) store_calls;
    LIST_HEAD(SimJobList, SimJob) jobs;
    SimWorker workers[SIM_WORKER_COUNT];
    GHashTable *parts;      /* Identifier to SimPart. */
    GHashTable *kv_handles; /* Set of unused KV handles. */
    guint next_handle;
    unsigned last_run;    /* Number of the last run of a stream. */
    int64_t disrupted_us; /* Last time recorded by Sim_RecordDisruption(). */
    double lost_ratio;    /* As set with Sim_SetFailures(). */
    double failed_ratio;  /* As set with Sim_SetFailures(). */
};

static void put_item(Sim *sim, const char *key, const char *value);
static void write_item(Sim *sim, const char *key, const char *value);
static void free_item(gpointer data);
static void free_write(gpointer data);
static void on_rewrite(evutil_socket_t fd, short what, void *context);
static void on_lapse(evutil_socket_t fd, short what, void *context);
static void write_differences(Sim *sim, bool deletions);
static void send_store_response(const Sim *sim, ServerExchange *exchange,
                                int status, const char *body);
static void check_leaving(SimWorker *worker, const char *id);
static void check_limit(SimWorker *worker, const char *id);
static void check_part(const SimWorker *worker, const ServerExchange *exchange,
                       const char *id, const char *part);
static bool find_crash_part(const ServerExchange *exchange, char *part,
                            size_t size);
static void end_jobs(const SimWorker *worker, bool closes);
static void end_process(SimWorker *worker);
static void on_process_end(evutil_socket_t fd, short what, void *context);
static void on_restart(evutil_socket_t fd, short what, void *context);
static void on_silence_end(evutil_socket_t fd, short what, void *context);
static bool is_released(const SimWorker *worker);
static bool is_harmed(const SimWorker *worker);
static void add_notices(const SimWorker *worker, HeaderList *headers);
static bool refuse_in_pause(SimWorker *worker, ServerExchange *exchange,
                            const char *id);
static void publish_worker(SimWorker *worker);
static void on_entry(evutil_socket_t fd, short what, void *context);
static void keep_part(SimWorker *worker, const ServerExchange *exchange);
static void send_state(const SimWorker *worker, ServerExchange *exchange);
static void send_kept(const SimWorker *worker, ServerExchange *exchange,
                      bool changes);
static bool handle_worker_request(SimWorker *worker, ServerExchange *exchange);
static void on_store_request(void *context, ServerExchange *exchange);
static void on_store_disconnect(void *context, ServerExchange *exchange);
static void on_store_timer(evutil_socket_t fd, short what, void *context);
static void answer_store_call(SimStoreCall *call);
static void on_worker_request(void *context, ServerExchange *exchange);
static void on_worker_disconnect(void *context, ServerExchange *exchange);
static bool is_misdirected(const SimWorker *worker,
                           const ServerExchange *exchange);
static void begin_job(SimWorker *worker, ServerExchange *exchange);
static void excuse_request(const Sim *sim, const char *id, bool is_broken);
static void end_inexact_answers(const SimWorker *worker);
static GRand *get_form_rand(const SimWorker *worker);
static void on_job_timer(evutil_socket_t fd, short what, void *context);
static void break_off(SimJob *job);
static void begin_answer(SimJob *job);
static void note_answer(const SimJob *job);
static void crash_on_part(SimJob *job);
static void end_job(SimJob *job);
static void send_response(const SimWorker *worker, ServerExchange *exchange,
                          int status, const char *id, bool not_run,
                          const char *body);
static bool is_drain_excused(const SimWorker *worker, const char *id);
static const char *get_phase(guint worker);
static guint get_version(const SimWorker *worker);
static Server *open_server(Sim *sim, void *context,
                           void (*on_request)(void *, ServerExchange *),
                           void (*on_disconnect)(void *, ServerExchange *));

Sim *
Sim_New(struct event_base *base, const Clk *clk, Ledger *ledger, GRand *rand,
        const SimOptions *options)
{
    Sim *sim = g_new0(Sim, 1);

    sim->base = base;
    sim->clk = clk;
    sim->ledger = ledger;
    sim->rand = rand;
    sim->options = *options;
    sim->release = 1;
    sim->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
    sim->wanted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    sim->writes = g_ptr_array_new_with_free_func(free_write);
    sim->era = 1;
    sim->rewrite_timer = evtimer_new(base, on_rewrite, sim);
    sim->lapse_timer = evtimer_new(base, on_lapse, sim);
    sim->kv_handles =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->parts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    LIST_INIT(&sim->store_calls);
    LIST_INIT(&sim->jobs);
    sim->store = open_server(sim, sim, on_store_request, on_store_disconnect);
    sim->store_proxy = Proxy_New(base, Server_GetPort(sim->store));
    Sim_ChangeConfig(sim, false);
    for (guint i = 0; i < SIM_WORKER_COUNT; i++) {
        sim->workers[i].sim = sim;
        sim->workers[i].number = i;
        sim->workers[i].proxy = Proxy_New(base, 1);
        sim->workers[i].limit_times_us =
            g_array_new(FALSE, FALSE, sizeof(int64_t));
        sim->workers[i].entry_timer =
            evtimer_new(base, on_entry, &sim->workers[i]);
        sim->workers[i].kept = g_ptr_array_new_with_free_func(g_free);
        sim->workers[i].end_timer =
            evtimer_new(base, on_process_end, &sim->workers[i]);
        sim->workers[i].restart_timer =
            evtimer_new(base, on_restart, &sim->workers[i]);
        sim->workers[i].silence_timer =
            evtimer_new(base, on_silence_end, &sim->workers[i]);
        Sim_StartWorker(sim, i);
    }
    return sim;
}

void
Sim_Free(Sim *sim)
{
    for (guint i = 0; i < SIM_WORKER_COUNT; i++) {
        if (sim->workers[i].server != NULL) {
            end_process(&sim->workers[i]);
        }
        Proxy_Free(sim->workers[i].proxy);
        g_array_free(sim->workers[i].limit_times_us, TRUE);
        event_free(sim->workers[i].entry_timer);
        g_ptr_array_free(sim->workers[i].kept, TRUE);
        event_free(sim->workers[i].end_timer);
        event_free(sim->workers[i].restart_timer);
        event_free(sim->workers[i].silence_timer);
    }
    Proxy_Free(sim->store_proxy);
    Server_Free(sim->store);
    event_free(sim->rewrite_timer);
    event_free(sim->lapse_timer);
    g_hash_table_destroy(sim->items);
    g_hash_table_destroy(sim->wanted);
    g_ptr_array_free(sim->writes, TRUE);
    g_hash_table_destroy(sim->kv_handles);
    g_hash_table_destroy(sim->parts);
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
Sim_RestoreStore(Sim *sim, guint back_ms)
{
    int64_t now_us = Clk_Now(sim->clk);
    int64_t until_us = now_us - back_ms * CLK_US_PER_MS;

    g_hash_table_remove_all(sim->items);
    sim->revision = 0;
    for (guint i = 0; i < sim->writes->len; i++) {
        const SimWrite *write = g_ptr_array_index(sim->writes, i);
        SimItem *item;
        if (write->at_us > until_us) {
            g_ptr_array_set_size(sim->writes, (gint)i);
            break;
        }
        item = g_new0(SimItem, 1);
        item->value = g_strdup(write->value);
        item->revision = write->revision;
        g_hash_table_replace(sim->items, g_strdup(write->key), item);
        sim->revision = write->revision;
    }
    sim->era++;
    sim->restored_us = now_us;
    Proxy_ResetAll(sim->store_proxy);
    Loop_ArmTimer(sim->rewrite_timer, (uint32_t)g_rand_int_range(
                                          sim->rand, 1, SIM_REWRITE_MAX_MS));
    Loop_ArmTimer(sim->lapse_timer, SIM_LAPSE_MS);
}

/* Writes again what the restored store has lost. */
static void
on_rewrite(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    write_differences(context, false);
}

/* Deletes the entries of workers that have left. */
static void
on_lapse(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    write_differences(context, true);
}

/* Writes the latest values, or deletions, that the items lack. */
static void
write_differences(Sim *sim, bool deletions)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, sim->wanted);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const SimItem *item = g_hash_table_lookup(sim->items, key);
        if ((value == NULL) == deletions &&
            g_strcmp0(item != NULL ? item->value : NULL, value) != 0) {
            write_item(sim, key, value);
        }
    }
}

void
Sim_RecordVmStart(Sim *sim, guint vm)
{
    sim->vm_started_us[vm] = Clk_Now(sim->clk);
    sim->ledger->vm_held_us[vm] = sim->vm_started_us[vm];
}

void
Sim_ChangeConfig(Sim *sim, bool is_short)
{
    int plain_ms =
        is_short ? SIM_PLAIN_TIMEOUT_SHORT_MS : SIM_PLAIN_TIMEOUT_MS;
    int stream_ms =
        is_short ? SIM_STREAM_TIMEOUT_SHORT_MS : SIM_STREAM_TIMEOUT_MS;
    char *text;

    sim->version += (uint64_t)g_rand_int_range(sim->rand, 1, 5);
    text = g_strdup_printf(
        "{\"version\":%llu,\"services\":[{\"name\":\"app\"},{\"name\":\"llm\","
        "\"engine\":{\"kv-tokens\":%u,\"stride\":%d,\"hold-ms\":2000,"
        "\"handle-ttl-s\":0.5}}],\"limits\":{},\"routes\":["
        "{\"name\":\"read\",\"host\":\"" SIM_HOST "\",\"prefix\":\"/read/\","
        "\"service\":\"app\",\"kind\":\"idempotent\",\"attempts\":2,"
        "\"timeout-ms\":%d,\"latency-slo-ms\":200},"
        "{\"name\":\"hold\",\"host\":\"" SIM_HOST "\",\"prefix\":\"/hold/\","
        "\"service\":\"app\",\"kind\":\"non_idempotent\",\"attempts\":%u,"
        "\"timeout-ms\":%d,\"latency-slo-ms\":200},"
        "{\"name\":\"stream\",\"host\":\"" SIM_HOST "\",\"prefix\":"
        "\"/stream/\",\"service\":\"llm\",\"kind\":\"stream\",\"attempts\":1,"
        "\"timeout-ms\":%d,\"latency-slo-ms\":900,\"gap-target-ms\":300},"
        "{\"name\":\"resume\",\"host\":\"" SIM_HOST "\",\"prefix\":"
        "\"/resume/\",\"service\":\"llm\",\"kind\":\"stream\",\"attempts\":2,"
        "\"can-resume\":true,\"timeout-ms\":%d,\"latency-slo-ms\":900,"
        "\"gap-target-ms\":300}]}",
        (unsigned long long)sim->version, sim->options.slots * SIM_SLOT_TOKENS,
        SIM_TOKENS_PER_EVENT, plain_ms, 1 + g_rand_int(sim->rand) % 2,
        plain_ms, stream_ms, stream_ms);
    Ledger_LowerLimits(sim->ledger, (uint32_t)plain_ms, (uint32_t)stream_ms);
    put_item(sim, SIM_CONFIG_KEY, text);
    g_free(text);
}

void
Sim_CrashWorker(Sim *sim, guint number)
{
    SimWorker *worker = &sim->workers[number];
    GRand *rand = sim->options.linger_rand;

    if (worker->server == NULL ||
        event_pending(worker->end_timer, EV_TIMEOUT, NULL)) {
        return;
    }
    if (rand != NULL && number >= SIM_PLAIN_COUNT &&
        g_rand_double(rand) < SIM_LINGER_RATIO) {
        end_jobs(worker, true);
        event_del(worker->entry_timer);
        Loop_ArmTimer(worker->end_timer,
                      (uint32_t)g_rand_int_range(rand, 1, SIM_LINGER_MAX_MS));
        return;
    }
    end_process(worker);
}

/* Ends what the worker runs, as its process ends; `closes`: the connections of
   its answers end now. */
static void
end_jobs(const SimWorker *worker, bool closes)
{
    Sim *sim = worker->sim;
    SimJob *job = LIST_FIRST(&sim->jobs);

    Ledger_ExcuseWorker(sim->ledger, worker->number);
    Ledger_RecordProcessEnd(sim->ledger, worker->number);
    while (job != NULL) {
        SimJob *next = LIST_NEXT(job, links);
        if (job->worker == worker) {
            ServerExchange *exchange = job->exchange;
            exchange->owner = NULL;
            end_job(job);
            if (closes) {
                Server_AbortResponse(exchange);
            }
        }
        job = next;
    }
}

static void
on_process_end(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    end_process(context);
}

static void
end_process(SimWorker *worker)
{
    const Sim *sim = worker->sim;

    event_del(worker->end_timer);
    end_jobs(worker, false);
    Server_Free(worker->server);
    worker->server = NULL;
    worker->running = 0;
    event_del(worker->entry_timer);
    g_ptr_array_set_size(worker->kept, 0);
    Proxy_SetTarget(worker->proxy, 1); /* No server listens on port 1. */
    if (sim->options.form_rand == NULL ||
        g_rand_double(sim->options.form_rand) < SIM_RESET_RATIO) {
        Proxy_ResetAll(worker->proxy);
    }
}

void
Sim_StartWorker(Sim *sim, guint number)
{
    SimWorker *worker = &sim->workers[number];
    bool keeps_id = sim->options.keeps_ids && worker->id[0] != '\0';
    char *key;

    if (event_pending(worker->end_timer, EV_TIMEOUT, NULL)) {
        end_process(worker);
    }
    if (worker->server != NULL) {
        return;
    }
    if (worker->id[0] != '\0' && !keeps_id) {
        key = g_strdup_printf("servers/%s", worker->id);
        put_item(sim, key, NULL);
        g_free(key);
    }
    worker->starts++;
    worker->version = sim->release;
    worker->interval_ms = (uint32_t)g_rand_int_range(
        sim->rand, SIM_INTERVAL_MIN_MS, SIM_INTERVAL_MAX_MS);
    worker->draining = false;
    worker->leaving = false;
    worker->pause_until_us = 0;
    worker->limit = 0;
    memset(worker->told, 0, sizeof(worker->told));
    worker->born_ms = MAX(g_get_real_time() / 1000, worker->born_ms + 1);
    if (!keeps_id) {
        g_snprintf(worker->id, sizeof(worker->id), "w%u-%u", number,
                   worker->starts);
    }
    worker->server =
        open_server(sim, worker, on_worker_request, on_worker_disconnect);
    Proxy_SetTarget(worker->proxy, Server_GetPort(worker->server));
    if (keeps_id) {
        Loop_ArmTimer(
            worker->entry_timer,
            (uint32_t)g_rand_int_range(sim->rand, 1, SIM_ENTRY_DELAY_MAX_MS));
    }
    else {
        publish_worker(worker);
    }
}

static void
on_entry(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    publish_worker(context);
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
Sim_BeginLeaving(Sim *sim, guint number)
{
    sim->workers[number].leaving = true;
}

void
Sim_BeginPause(Sim *sim, guint number, guint pause_ms)
{
    SimWorker *worker = &sim->workers[number];

    worker->pause_until_us = Clk_Now(sim->clk) + pause_ms * CLK_US_PER_MS;
    for (guint i = 0; i < SIM_VMS_MAX; i++) {
        worker->told[i].paused_us = 0;
        worker->told[i].requests = 0;
    }
}

void
Sim_SetLimit(Sim *sim, guint number, double limit)
{
    SimWorker *worker = &sim->workers[number];

    worker->limit = limit;
    worker->limit_us = Clk_Now(sim->clk);
    g_array_set_size(worker->limit_times_us, 0);
    for (guint i = 0; i < SIM_VMS_MAX; i++) {
        worker->told[i].limit_us = 0;
    }
}

void
Sim_ImpairWorker(Sim *sim, guint number, ProxyMode mode)
{
    SimWorker *worker = &sim->workers[number];

    worker->impaired_us = Clk_Now(sim->clk);
    worker->is_cut = mode != PROXY_PASS && mode != PROXY_SLOW;
    if (worker->is_cut) {
        Ledger_ExcuseWorker(sim->ledger, number);
    }
    worker->is_endless = mode == PROXY_ENDLESS;
    if (worker->is_endless) {
        end_inexact_answers(worker);
    }
    Proxy_SetMode(worker->proxy, mode);
}

/* Breaks off the answers in which bytes that are added before the end would be
   taken for a part of the body. */
static void
end_inexact_answers(const SimWorker *worker)
{
    Sim *sim = worker->sim;
    SimJob *job = LIST_FIRST(&sim->jobs);

    while (job != NULL) {
        SimJob *next = LIST_NEXT(job, links);
        if (job->worker == worker && job->answer.is_begun &&
            job->answer.framing != SIM_FRAMING_CHUNKS) {
            SimAnswer_Abort(&job->answer, job->exchange,
                            get_form_rand(worker));
            end_job(job);
        }
        job = next;
    }
}

/* Returns the random numbers that draw the form of the worker's next answer,
   or NULL if it has the usual form. */
static GRand *
get_form_rand(const SimWorker *worker)
{
    return worker->is_endless ? NULL : worker->sim->options.form_rand;
}

void
Sim_ResetWorker(Sim *sim, guint number)
{
    Ledger_ExcuseWorker(sim->ledger, number);
    Proxy_ResetAll(sim->workers[number].proxy);
}

bool
Sim_SilenceWorker(Sim *sim, guint number, guint silence_ms)
{
    SimWorker *worker = &sim->workers[number];

    if (worker->server == NULL || worker->limit > 0 ||
        event_pending(worker->silence_timer, EV_TIMEOUT, NULL)) {
        return false;
    }
    worker->silenced_us = Clk_Now(sim->clk) - SIM_RELEASE_MS * CLK_US_PER_MS;
    Proxy_SetHeld(worker->proxy, true);
    Ledger_RecordSilence(sim->ledger, number);
    Loop_ArmTimer(worker->silence_timer, silence_ms);
    return true;
}

void
Sim_EndSilences(Sim *sim)
{
    for (guint i = 0; i < SIM_WORKER_COUNT; i++) {
        if (event_pending(sim->workers[i].silence_timer, EV_TIMEOUT, NULL)) {
            event_del(sim->workers[i].silence_timer);
            on_silence_end(-1, EV_TIMEOUT, &sim->workers[i]);
        }
    }
}

void
Sim_SetFailures(Sim *sim, double lost_ratio, double failed_ratio)
{
    sim->lost_ratio = lost_ratio;
    sim->failed_ratio = failed_ratio;
}

void
Sim_SetRelease(Sim *sim, guint version)
{
    sim->release = version;
}

void
Sim_EndMalformed(Sim *sim)
{
    sim->options.malformed_rand = NULL;
}

uint32_t
Sim_CountEvents(const char *id)
{
    guint hash = g_str_hash(id);

    return id[0] == SIM_LONG
               ? SIM_LONG_EVENTS_MIN +
                     hash % (SIM_LONG_EVENTS_MAX - SIM_LONG_EVENTS_MIN)
               : SIM_EVENTS_MIN + hash % (SIM_EVENTS_MAX - SIM_EVENTS_MIN);
}

static void
put_item(Sim *sim, const char *key, const char *value)
{
    g_hash_table_replace(sim->wanted, g_strdup(key), g_strdup(value));
    write_item(sim, key, value);
}

static void
write_item(Sim *sim, const char *key, const char *value)
{
    SimItem *item = g_hash_table_lookup(sim->items, key);
    SimWrite *write = g_new0(SimWrite, 1);
    SimStoreCall *call;

    if (item == NULL) {
        item = g_new0(SimItem, 1);
        g_hash_table_insert(sim->items, g_strdup(key), item);
    }
    g_free(item->value);
    item->value = g_strdup(value);
    item->revision = ++sim->revision;
    write->at_us = Clk_Now(sim->clk);
    write->key = g_strdup(key);
    write->value = g_strdup(value);
    write->revision = item->revision;
    g_ptr_array_add(sim->writes, write);
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
free_item(gpointer data)
{
    SimItem *item = data;

    g_free(item->value);
    g_free(item);
}

static void
free_write(gpointer data)
{
    SimWrite *write = data;

    g_free(write->key);
    g_free(write->value);
    g_free(write);
}

/* Returns the software version of a worker, which changes with each start:
   releases and rollbacks of single workers. */
static guint
get_version(const SimWorker *worker)
{
    return worker->sim->options.has_releases
               ? worker->version
               : 1 + (worker->number + worker->starts) % 2;
}

static void
publish_worker(SimWorker *worker)
{
    const char *phase = get_phase(worker->number);
    char *key = g_strdup_printf("servers/%s", worker->id);
    char *text = g_strdup_printf(
        "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"zone-%c\","
        "\"version\":\"v%u\",\"slots\":%u,\"state\":\"%s\",\"phase\":\"%s\","
        "\"born\":%lld,\"sequence\":0}",
        phase[0] != '\0' ? "llm" : "app", Proxy_GetPort(worker->proxy),
        'a' + (char)(worker->number % 2), get_version(worker),
        worker->sim->options.slots, worker->draining ? "draining" : "ready",
        phase, (long long)worker->born_ms);

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
        send_store_response(sim, exchange, 503, "");
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
    else if (call->is_range || call->after_revision != sim->revision) {
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
    bool is_history_missing =
        !call->is_range && (call->after_revision > sim->revision ||
                            (sim->store_state == SIM_STORE_NO_HISTORY &&
                             call->after_revision < sim->revision));
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
    send_store_response(sim, exchange, is_history_missing ? 410 : 200,
                        is_history_missing ? "" : text);
    free(text);
}

static void
send_store_response(const Sim *sim, ServerExchange *exchange, int status,
                    const char *body)
{
    HeaderList *headers = Header_New();
    char era[24];

    g_snprintf(era, sizeof(era), "%llu", (unsigned long long)sim->era);
    Header_Add(headers, "Store-Era", era);
    Server_SendResponse(exchange, status, headers, body, strlen(body));
    Header_Free(headers);
}

static void
on_worker_request(void *context, ServerExchange *exchange)
{
    SimWorker *worker = context;
    Sim *sim = worker->sim;
    char *id = g_strdup(Header_Find(exchange->headers, "X-Request-Id"));
    const char *limit = Header_Find(exchange->headers, "X-Deadline-Ms");
    bool is_prefill = Header_Find(exchange->headers, "X-Stage") != NULL;
    int64_t limit_ms = limit != NULL ? atoll(limit) : INT32_MAX;
    bool is_control = strncmp(exchange->target, "/v1/", 4) == 0;
    bool is_run = handle_worker_request(worker, exchange);

    if (!is_control) {
        /* A link that was harmed lately may have held the request up. */
        Ledger_RecordArrival(sim->ledger, id, is_run && is_prefill,
                             is_harmed(worker) ? 0 : limit_ms,
                             Clk_Now(sim->clk));
    }
    g_free(id);
}

/* Returns whether the worker runs the request. */
static bool
handle_worker_request(SimWorker *worker, ServerExchange *exchange)
{
    Sim *sim = worker->sim;
    const char *id = Header_Find(exchange->headers, "X-Request-Id");
    const char *source = Header_Find(exchange->headers, "X-Kv-Source");
    int64_t since_draining_us = Clk_Now(sim->clk) - worker->draining_since_us;
    char part[32];

    if (is_misdirected(worker, exchange)) {
        send_response(worker, exchange, 421, id, true, "");
        return false;
    }
    check_leaving(worker, id);
    check_limit(worker, id);
    if (find_crash_part(exchange, part, sizeof(part))) {
        check_part(worker, exchange, id, part);
    }
    if (refuse_in_pause(worker, exchange, id)) {
        return false;
    }
    if (strncmp(exchange->method, "DELETE", 6) == 0) {
        send_response(worker, exchange, 200, NULL, false, "");
    }
    else if (strcmp(exchange->target, "/v1/hold-take") == 0) {
        bool full = worker->running >= sim->options.slots;
        send_response(worker, exchange, full ? 503 : 200, NULL, full,
                      "{\"hold\":\"L1\"}");
    }
    else if (strcmp(exchange->target, "/v1/report") == 0) {
        send_state(worker, exchange);
    }
    else if (strcmp(exchange->target, "/v1/kv-list") == 0) {
        send_kept(worker, exchange, false);
    }
    else if (strcmp(exchange->target, "/v1/kv-events?since=0") == 0) {
        send_kept(worker, exchange, true);
    }
    else if (strcmp(exchange->target, "/v1/order") == 0) {
        send_response(worker, exchange, 409, NULL, false, "");
    }
    else if (worker->running >= sim->options.slots + SIM_EXTRA_SLOTS ||
             (source != NULL &&
              !g_hash_table_remove(sim->kv_handles,
                                   strrchr(source, '/') + 1))) {
        send_response(worker, exchange, 503, id, true, "");
    }
    else {
        if (worker->draining &&
            worker->draining_since_us > sim->disrupted_us &&
            !is_drain_excused(worker, id) && !is_released(worker) &&
            since_draining_us >
                (int64_t)(SIM_DRAIN_MS + SIM_DRAIN_SLACK_MS) * CLK_US_PER_MS) {
            Ledger_AddFinding(
                sim->ledger,
                "DRAIN: %s reached draining worker %s %lld ms too late", id,
                worker->id,
                (long long)since_draining_us / CLK_US_PER_MS - SIM_DRAIN_MS);
        }
        begin_job(worker, exchange);
        return true;
    }
    return false;
}

/* Keeps the last part of the request's prompt, in place of the oldest one. */
static void
keep_part(SimWorker *worker, const ServerExchange *exchange)
{
    const char *parts = Header_Find(exchange->headers, "X-Prompt-Prefix");
    const char *last = parts != NULL ? strrchr(parts, ',') : NULL;

    if (last == NULL) {
        return;
    }
    if (worker->kept->len == SIM_KEPT_MAX) {
        g_ptr_array_remove_index(worker->kept, 0);
    }
    g_ptr_array_add(worker->kept, g_strndup(last + 1, strcspn(last + 1, ":")));
}

static void
send_state(const SimWorker *worker, ServerExchange *exchange)
{
    const char *phase = get_phase(worker->number);
    char body[128];

    if (phase[0] == '\0') {
        send_response(worker, exchange, 400, NULL, true, "");
        return;
    }
    g_snprintf(body, sizeof(body), "{\"phase\":\"%s\",\"born\":%lld}", phase,
               (long long)worker->born_ms);
    send_response(worker, exchange, 200, NULL, false, body);
}

static void
send_kept(const SimWorker *worker, ServerExchange *exchange, bool changes)
{
    GString *rows = g_string_new(NULL);
    char *body;

    for (guint i = 0; i < worker->kept->len; i++) {
        const char *part = g_ptr_array_index(worker->kept, i);
        if (changes) {
            g_string_append_printf(rows, "%s[%u,\"+\",\"\",\"%s\",1,\"m\"]",
                                   i > 0 ? "," : "", i + 1, part);
        }
        else {
            g_string_append_printf(rows, "%s[\"\",\"%s\",1,\"m\"]",
                                   i > 0 ? "," : "", part);
        }
    }
    body =
        g_strdup_printf("{\"epoch\":1,\"next\":1,\"lost\":false,\"%s\":[%s]}",
                        changes ? "events" : "held", rows->str);
    send_response(worker, exchange, 200, NULL, false, body);
    g_free(body);
    g_string_free(rows, TRUE);
}

/* Returns whether the request's VM may not know of the drain, as the store was
   put back close to it, or after it and the VM was started since. */
static bool
is_drain_excused(const SimWorker *worker, const char *id)
{
    const Sim *sim = worker->sim;
    const LedgerRow *row = Ledger_Find(sim->ledger, id);
    int64_t slack_us = SIM_RESTORE_SLACK_MS * CLK_US_PER_MS;

    if (sim->restored_us == 0 ||
        worker->draining_since_us > sim->restored_us + slack_us) {
        return false;
    }
    return row == NULL ||
           worker->draining_since_us > sim->restored_us - slack_us ||
           sim->vm_started_us[row->vm] > worker->draining_since_us;
}

/* Checks that a VM to which the worker has said that it leaves sends it no
   request after the drain time, and notes that it says so now. */
static void
check_leaving(SimWorker *worker, const char *id)
{
    Sim *sim = worker->sim;
    const LedgerRow *row = Ledger_Find(sim->ledger, id);
    int64_t now_us = Clk_Now(sim->clk);
    SimTold *told;

    if (!worker->leaving || row == NULL) {
        return;
    }
    told = &worker->told[row->vm];
    if (told->leaving_us <= sim->vm_started_us[row->vm]) {
        told->leaving_us = now_us;
    }
    else if (now_us - told->leaving_us >
                 (SIM_DRAIN_MS + SIM_DRAIN_SLACK_MS) * CLK_US_PER_MS &&
             !is_released(worker)) {
        Ledger_AddFinding(
            sim->ledger,
            "LEAVING: %s of VM %u reached worker %s %lld ms "
            "after that had said that it leaves",
            id, row->vm, worker->id,
            (long long)((now_us - told->leaving_us) / CLK_US_PER_MS));
    }
}

/* Checks that the VMs to which the worker has named a limit keep it, all
   together. */
static void
check_limit(SimWorker *worker, const char *id)
{
    Sim *sim = worker->sim;
    const LedgerRow *row = Ledger_Find(sim->ledger, id);
    int64_t now_us = Clk_Now(sim->clk);
    GArray *times = worker->limit_times_us;
    guint allowed = (guint)(SIM_LIMIT_FACTOR * worker->limit *
                            SIM_LIMIT_WINDOW_US / CLK_US_PER_S) +
                    SIM_LIMIT_EXTRA;
    SimTold *told;

    if (worker->limit <= 0 || row == NULL) {
        return;
    }
    told = &worker->told[row->vm];
    if (told->limit_us <= sim->vm_started_us[row->vm]) {
        told->limit_us = now_us;
        return;
    }
    if (now_us - told->limit_us < SIM_LIMIT_TOLD_US) {
        return;
    }
    g_array_append_val(times, now_us);
    while (now_us - g_array_index(times, int64_t, 0) >= SIM_LIMIT_WINDOW_US) {
        g_array_remove_index(times, 0);
    }
    if (times->len > allowed &&
        now_us - worker->limit_us > SIM_STABLE_US + SIM_LIMIT_WINDOW_US &&
        now_us - worker->impaired_us > SIM_LIMIT_WINDOW_US) {
        Ledger_AddFinding(sim->ledger,
                          "LIMIT: %s is request %u in 4 s at worker %s, which "
                          "named a limit of %.1f a second",
                          id, times->len, worker->id, worker->limit);
    }
}

/* Checks that few requests with a part reach workers after it has crashed
   some. VMs that were started or resumed lately may not know. */
static void
check_part(const SimWorker *worker, const ServerExchange *exchange,
           const char *id, const char *part)
{
    Sim *sim = worker->sim;
    SimPart *row = g_hash_table_lookup(sim->parts, part);
    const LedgerRow *request = Ledger_Find(sim->ledger, id);
    int64_t now_us = Clk_Now(sim->clk);

    if (row == NULL || request == NULL ||
        row->crashes < SIM_PART_CRASHES_MAX ||
        now_us - row->last_crash_us < SIM_STABLE_US ||
        now_us - sim->vm_started_us[request->vm] < SIM_STABLE_US ||
        now_us - worker->impaired_us < SIM_STABLE_US || is_released(worker)) {
        return;
    }
    if (++row->requests > SIM_PART_REQUESTS_MAX) {
        const char *stage = Header_Find(exchange->headers, "X-Stage");
        Ledger_AddFinding(
            sim->ledger,
            "BUDGET: %s (%s %s, VM %u started %lld ms ago) is request %u with "
            "part %s, under which %u workers crashed, the first %d by %lld ms "
            "ago",
            id, exchange->target, stage != NULL ? stage : "whole", request->vm,
            (long long)((now_us - sim->vm_started_us[request->vm]) /
                        CLK_US_PER_MS),
            row->requests, part, row->crashes, SIM_PART_CRASHES_MAX,
            (long long)((now_us - row->last_crash_us) / CLK_US_PER_MS));
    }
}

/* Stores the part of the request's prompt on which workers crash; false if
   there is none. */
static bool
find_crash_part(const ServerExchange *exchange, char *part, size_t size)
{
    const char *parts = Header_Find(exchange->headers, "X-Prompt-Prefix");
    const char *at = parts != NULL ? strstr(parts, "," SIM_CRASH_PART) : NULL;

    if (at == NULL) {
        return false;
    }
    g_strlcpy(part, at + 1, MIN(size, strcspn(at, ":")));
    return true;
}

static void
on_restart(evutil_socket_t fd, short what, void *context)
{
    const SimWorker *worker = context;

    (void)fd;
    (void)what;
    Sim_StartWorker(worker->sim, worker->number);
}

static void
on_silence_end(evutil_socket_t fd, short what, void *context)
{
    SimWorker *worker = context;

    (void)fd;
    (void)what;
    worker->released_us = Clk_Now(worker->sim->clk);
    for (guint i = 0; i < SIM_VMS_MAX; i++) {
        SimTold *told = &worker->told[i];
        /* What was held back is heard only now. */
        if (told->leaving_us > worker->silenced_us) {
            told->leaving_us = worker->released_us;
        }
        if (told->paused_us > worker->silenced_us) {
            told->paused_us = worker->released_us;
        }
    }
    Proxy_SetHeld(worker->proxy, false);
}

/* Returns whether a request that reaches the worker now was perhaps held back
   by a silence. */
static bool
is_released(const SimWorker *worker)
{
    return Clk_Now(worker->sim->clk) - worker->released_us <
           SIM_RELEASE_MS * CLK_US_PER_MS;
}

/* Returns whether a fault held up bytes to the worker lately. */
static bool
is_harmed(const SimWorker *worker)
{
    int64_t harmed_us = MAX(worker->impaired_us, worker->released_us);

    return worker->is_cut ||
           event_pending(worker->silence_timer, EV_TIMEOUT, NULL) ||
           Clk_Now(worker->sim->clk) - harmed_us < SIM_STABLE_US;
}

/* Adds what the worker says of itself. */
static void
add_notices(const SimWorker *worker, HeaderList *headers)
{
    char text[32];

    if (worker->leaving) {
        Header_Add(headers, "Server-Leaving", "1");
    }
    if (worker->limit > 0) {
        g_snprintf(text, sizeof(text), "%.2f", worker->limit);
        Header_Add(headers, "Server-Limit", text);
    }
}

/* Turns a request away if the worker pauses, and checks that a VM which was
   told so sends no more than it may. Returns whether it was turned away. */
static bool
refuse_in_pause(SimWorker *worker, ServerExchange *exchange, const char *id)
{
    Sim *sim = worker->sim;
    const LedgerRow *row = Ledger_Find(sim->ledger, id);
    int64_t now_us = Clk_Now(sim->clk);
    int64_t left_us = worker->pause_until_us - now_us;
    HeaderList *headers;
    char text[32];

    if (left_us <= 0) {
        return false;
    }
    if (row != NULL) {
        SimTold *told = &worker->told[row->vm];
        if (told->paused_us <= sim->vm_started_us[row->vm]) {
            told->paused_us = now_us;
            told->requests = 0;
        }
        else if (now_us - told->paused_us >
                     SIM_PAUSE_SLACK_MS * CLK_US_PER_MS &&
                 !is_released(worker) &&
                 ++told->requests > SIM_PAUSE_REQUESTS_MAX) {
            Ledger_AddFinding(sim->ledger,
                              "PAUSE: %s is request %u of VM %u at worker %s, "
                              "which pauses",
                              id, told->requests, row->vm, worker->id);
        }
    }
    headers = Header_New();
    if (id != NULL) {
        Header_Add(headers, "X-Request-Id", id);
    }
    g_snprintf(text, sizeof(text), "%.3f",
               (double)left_us / (double)CLK_US_PER_S);
    Header_Add(headers, "X-Not-Executed", "1");
    Header_Add(headers, "Retry-After", text);
    add_notices(worker, headers);
    exchange->owner = NULL;
    Server_SendResponse(exchange, 503, headers, "", 0);
    Header_Free(headers);
    return true;
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
    const char *resumes = Header_Find(exchange->headers, "Resumes");
    const char *phase = get_phase(worker->number);
    SimJob *job = g_new0(SimJob, 1);

    job->worker = worker;
    job->exchange = exchange;
    job->is_prefill = strcmp(phase, "prefill") == 0;
    job->is_stream = strcmp(phase, "decode") == 0;
    g_strlcpy(job->id, id != NULL ? id : "", sizeof(job->id));
    if (job->is_stream) {
        find_crash_part(exchange, job->part, sizeof(job->part));
    }
    if (job->is_stream) {
        keep_part(worker, exchange);
    }
    job->end = Sim_CountEvents(resumes != NULL ? resumes : job->id);
    job->next = last != NULL ? (uint32_t)atoi(last) + 1 : 0;
    job->timer = evtimer_new(sim->base, on_job_timer, job);
    exchange->owner = job;
    LIST_INSERT_HEAD(&sim->jobs, job, links);
    worker->running++;
    if (!job->is_prefill) {
        Ledger_RecordRun(sim->ledger, id, worker->number);
        excuse_request(sim, id, worker->is_cut);
        if (is_released(worker)) {
            Ledger_RecordSilence(sim->ledger, worker->number);
        }
    }
    Loop_ArmTimer(job->timer, (uint32_t)g_rand_int_range(sim->rand, 1,
                                                         2 * SIM_RUN_MEAN_MS));
}

/* Notes whether the worker breaks the request's response. */
static void
excuse_request(const Sim *sim, const char *id, bool is_broken)
{
    LedgerRow *row = Ledger_Find(sim->ledger, id);

    if (row != NULL && !row->is_ended) {
        row->is_excused |= is_broken;
    }
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
    SimAnswer *answer = &job->answer;
    bool may_fail = !job->is_prefill && (job->is_stream || !answer->is_begun);
    uint32_t pause_ms = 0;

    (void)fd;
    (void)what;
    if (answer->is_breaking ||
        (may_fail && g_rand_double(sim->rand) < sim->lost_ratio)) {
        break_off(job);
        return;
    }
    if (!answer->is_begun) {
        begin_answer(job);
        if (job->part[0] != '\0') {
            Loop_ArmTimer(job->timer, SIM_CRASH_DELAY_MS);
            return;
        }
    }
    if (job->part[0] != '\0') {
        crash_on_part(job);
        return;
    }
    /* A stream has an end of its own, after its last event. */
    if (SimAnswer_Write(answer, job->exchange, &pause_ms) &&
        (job->is_stream || pause_ms > 0)) {
        excuse_request(sim, job->id,
                       answer->malformed != 0 &&
                           answer->written >= answer->malformed);
        Loop_ArmTimer(job->timer, pause_ms);
        return;
    }
    if (!job->is_prefill) {
        note_answer(job);
    }
    job->exchange->owner = NULL;
    Server_EndStream(job->exchange);
    end_job(job);
}

/* Breaks off the job's answer, some after a part of what comes next. */
static void
break_off(SimJob *job)
{
    GRand *rand = get_form_rand(job->worker);
    SimAnswer *answer = &job->answer;

    excuse_request(job->worker->sim, job->id, true);
    if (rand != NULL && !answer->is_breaking && g_rand_boolean(rand)) {
        if (!answer->is_begun) {
            begin_answer(job);
        }
        if (SimAnswer_WritePart(answer, job->exchange, rand)) {
            Loop_ArmTimer(job->timer, SIM_BREAK_DELAY_MS);
            return;
        }
    }
    if (job->worker->sim->options.has_cuts && answer->is_begun &&
        answer->framing == SIM_FRAMING_CLOSE) {
        rand = NULL;
    }
    SimAnswer_Abort(answer, job->exchange, rand);
    end_job(job);
}

/* Draws the form of the job's answer and sends its header. */
static void
begin_answer(SimJob *job)
{
    const SimWorker *worker = job->worker;
    Sim *sim = worker->sim;
    GRand *rand = get_form_rand(worker);
    HeaderList *headers = Header_New();
    int status = 200;

    if (job->is_stream) {
        SimStreamOptions stream = {
            .id = job->id,
            .first = job->next,
            .end = job->end,
            .version = get_version(worker),
            .run = ++sim->last_run,
            .interval_ms = worker->interval_ms,
            .has_steps = sim->options.has_steps,
            .malformed_rand = sim->options.malformed_rand,
        };
        SimAnswer_InitStream(&job->answer, &stream, rand);
    }
    else if (job->is_prefill) {
        char *handle = g_strdup_printf("k%u", sim->next_handle++);
        char body[128];
        g_snprintf(body, sizeof(body),
                   "{\"kv-handle\":\"%s\",\"tokens\":10,\"version\":1}",
                   handle);
        g_hash_table_add(sim->kv_handles, handle);
        SimAnswer_InitPlain(&job->answer, body, rand);
    }
    else {
        if (g_rand_double(sim->rand) < sim->failed_ratio) {
            status = 500;
        }
        SimAnswer_InitPlain(&job->answer, job->id, rand);
    }
    Header_Add(headers, "X-Request-Id", job->id);
    Header_Add(headers, "X-Response-Stamp", worker->id);
    add_notices(worker, headers);
    SimAnswer_Begin(&job->answer, job->exchange, status, headers);
    Header_Free(headers);
}

/* Notes that the worker sends its whole answer now, unless a fault holds it
   back. */
static void
note_answer(const SimJob *job)
{
    const SimWorker *worker = job->worker;
    const Sim *sim = worker->sim;

    if (!worker->is_cut && job->answer.malformed == 0 &&
        !event_pending(worker->silence_timer, EV_TIMEOUT, NULL)) {
        Ledger_RecordAnswer(sim->ledger, job->id, Clk_Now(sim->clk));
    }
}

/* Crashes the job's worker, which starts again some time later, and counts
   that for the part. */
static void
crash_on_part(SimJob *job)
{
    SimWorker *worker = job->worker;
    Sim *sim = worker->sim;
    SimPart *row = g_hash_table_lookup(sim->parts, job->part);

    if (row == NULL) {
        row = g_new0(SimPart, 1);
        g_hash_table_insert(sim->parts, g_strdup(job->part), row);
    }
    if (++row->crashes <= SIM_PART_CRASHES_MAX) {
        row->last_crash_us = Clk_Now(sim->clk);
    }
    Loop_ArmTimer(worker->restart_timer,
                  (uint32_t)g_rand_int_range(sim->rand, SIM_RESTART_MIN_MS,
                                             SIM_RESTART_MAX_MS));
    Sim_CrashWorker(sim, worker->number);
}

static void
end_job(SimJob *job)
{
    job->worker->running--;
    event_free(job->timer);
    SimAnswer_Clear(&job->answer);
    LIST_REMOVE(job, links);
    g_free(job);
}

/* Sends a response. `id` is the request's identifier, NULL for control calls;
   a response with an identifier carries a stamp unless `not_run` is set. */
static void
send_response(const SimWorker *worker, ServerExchange *exchange, int status,
              const char *id, bool not_run, const char *body)
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
    add_notices(worker, headers);
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
