/* Load generator of a soak test: sends requests and checks responses. */
#include "load_generator.h"

#include "sim_platform.h"

#include "gate/sse.h"
#include "io/client.h"
#include "io/loop.h"

#include <string.h>
#include <sys/queue.h>

#define LOD_TICK_MS 10
#define LOD_IDLE_MAX_MS 10000 /* idle for longer: not reused */
#define LOD_DISCONNECT_MAX_MS 400
#define LOD_NO_EVENT (-1)

typedef struct LodCall {
    LIST_ENTRY(LodCall) links;
    Lod *lod;
    CliCall *call;
    struct event *disconnect_timer; /* NULL: waits for the response */
    char id[48];
    LedKind kind;
    guint vm;
    int status;
    bool has_stamp;
    bool has_finding; /* a finding was added for this request */
    Sse sse;
    int64_t last_event; /* number of the last event, or LOD_NO_EVENT */
    GByteArray *body;
} LodCall;

struct Lod {
    LodOptions options;
    Cli *cli;
    struct event *timer;
    uint32_t number;     /* number of the next request */
    double requests_due; /* whole requests and a fraction carried over */
    LIST_HEAD(LodCallList, LodCall) open;
    guint open_count;
    bool counting;
    guint served[LOD_VMS_MAX][LED_KIND_COUNT];
};

static void on_tick(evutil_socket_t fd, short what, void *context);
static void begin_call(Lod *lod);
static void on_disconnect(evutil_socket_t fd, short what, void *context);
static void on_head(void *context, int status, const HdrList *headers);
static void on_data(void *context, const void *data, size_t size);
static void on_end(void *context, CliOutcome outcome);
static void check_events(LodCall *call);
static void check_response(LodCall *call);
static void free_call(LodCall *call);

Lod *
Lod_New(const LodOptions *options)
{
    Lod *lod = g_new0(Lod, 1);

    lod->options = *options;
    lod->cli = Cli_New(options->base, options->clk);
    LIST_INIT(&lod->open);
    lod->timer = evtimer_new(options->base, on_tick, lod);
    Loop_ArmTimer(lod->timer, LOD_TICK_MS);
    return lod;
}

void
Lod_Free(Lod *lod)
{
    while (!LIST_EMPTY(&lod->open)) {
        LodCall *call = LIST_FIRST(&lod->open);
        Cli_EndCall(call->call);
        free_call(call);
    }
    event_free(lod->timer);
    Cli_Free(lod->cli);
    g_free(lod);
}

void
Lod_Stop(Lod *lod)
{
    event_del(lod->timer);
}

guint
Lod_CountOpen(const Lod *lod)
{
    return lod->open_count;
}

void
Lod_ResetServed(Lod *lod)
{
    lod->counting = true;
    memset(lod->served, 0, sizeof(lod->served));
}

bool
Lod_HasServedAll(const Lod *lod)
{
    for (guint vm = 0; vm < lod->options.vms; vm++) {
        for (guint kind = 0; kind < LED_KIND_COUNT; kind++) {
            if (lod->served[vm][kind] == 0) {
                return false;
            }
        }
    }
    return true;
}

static void
on_tick(evutil_socket_t fd, short what, void *context)
{
    Lod *lod = context;

    (void)fd;
    (void)what;
    lod->requests_due += lod->options.requests_per_s * LOD_TICK_MS / 1000.0;
    for (; lod->requests_due >= 1; lod->requests_due -= 1) {
        begin_call(lod);
    }
    Loop_ArmTimer(lod->timer, LOD_TICK_MS);
}

static void
begin_call(Lod *lod)
{
    const LodOptions *options = &lod->options;
    LodCall *call = g_new0(LodCall, 1);
    char target[64];
    HdrList *headers = Hdr_New();
    CliCallOptions call_options = {
        .method = "POST",
        .target = target,
        .headers = headers,
        .body = "{}",
        .body_size = 2,
        .idle_max_ms = LOD_IDLE_MAX_MS,
        .context = call,
        .on_head = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };

    call->lod = lod;
    call->kind = (LedKind)(g_rand_int(options->rand) % LED_KIND_COUNT);
    call->vm = g_rand_int(options->rand) % options->vms;
    call->last_event = LOD_NO_EVENT;
    call->body = g_byte_array_new();
    Sse_Init(&call->sse);
    g_snprintf(call->id, sizeof(call->id), "r%u", lod->number++);
    g_snprintf(target, sizeof(target), "/%s/%s", Led_GetKindName(call->kind),
               call->id);
    call_options.address = options->addresses[call->vm];
    Hdr_Add(headers, "Host", WLD_HOST);
    Hdr_Add(headers, "X-Request-Id", call->id);
    Hdr_Add(headers, "X-Deadline-Ms",
            call->kind < LED_STREAM ? "3000" : "14000");
    if (call->kind >= LED_STREAM) {
        Hdr_Add(headers, "X-Token-Usage", "5000,800");
    }
    Led_AddRequest(options->led, call->id, call->kind, call->vm);
    LIST_INSERT_HEAD(&lod->open, call, links);
    lod->open_count++;
    if (g_rand_double(options->rand) < options->disconnect_ratio) {
        call->disconnect_timer =
            evtimer_new(options->base, on_disconnect, call);
        Loop_ArmTimer(call->disconnect_timer,
                      (uint32_t)g_rand_int_range(options->rand, 1,
                                                 LOD_DISCONNECT_MAX_MS));
    }
    call->call = Cli_BeginCall(lod->cli, &call_options);
    Hdr_Free(headers);
}

static void
on_disconnect(evutil_socket_t fd, short what, void *context)
{
    LodCall *call = context;

    (void)fd;
    (void)what;
    Cli_EndCall(call->call);
    free_call(call);
}

static void
on_head(void *context, int status, const HdrList *headers)
{
    LodCall *call = context;
    const char *id = Hdr_Find(headers, "X-Request-Id");

    call->status = status;
    call->has_stamp = Hdr_Find(headers, "X-Response-Stamp") != NULL;
    if (id != NULL && strcmp(id, call->id) != 0) {
        Led_AddFinding(call->lod->options.led,
                       "MIXED: %s received the response to %s", call->id, id);
        call->has_finding = true;
    }
}

static void
on_data(void *context, const void *data, size_t size)
{
    LodCall *call = context;

    if (call->status == 200 && call->kind >= LED_STREAM) {
        Sse_Feed(&call->sse, data, size);
        check_events(call);
    }
    else {
        g_byte_array_append(call->body, data, (guint)size);
    }
}

static void
on_end(void *context, CliOutcome outcome)
{
    LodCall *call = context;
    Lod *lod = call->lod;
    LedRow *row = Led_Find(lod->options.led, call->id);

    row->status = call->status;
    row->is_complete = outcome == CLI_COMPLETE;
    if (outcome == CLI_MALFORMED) {
        Led_AddFinding(
            lod->options.led,
            "MIXED: %s received bytes that are not an HTTP response",
            call->id);
    }
    else if (outcome == CLI_COMPLETE && call->status < 300) {
        check_response(call);
        lod->served[call->vm][call->kind] += !call->has_finding;
    }
    free_call(call);
}

static void
check_events(LodCall *call)
{
    size_t offset = 0;
    SseEvent event;

    while (Sse_Next(&call->sse, &offset, &event)) {
        if (event.has_id && event.id != call->last_event + 1 &&
            !call->has_finding) {
            Led_AddFinding(call->lod->options.led,
                           "ORDER: %s received event %lld after event %lld",
                           call->id, (long long)event.id,
                           (long long)call->last_event);
            call->has_finding = true;
        }
        call->last_event = event.has_id ? event.id : call->last_event;
    }
    Sse_Drop(&call->sse, offset);
}

/* Checks a complete response with a success status. */
static void
check_response(LodCall *call)
{
    Led *led = call->lod->options.led;

    if (!call->has_stamp) {
        Led_AddFinding(led, "MIXED: %s succeeded without a response stamp",
                       call->id);
        call->has_finding = true;
    }
    else if (call->kind >= LED_STREAM) {
        if (call->last_event + 1 != Wld_CountEvents(call->id)) {
            Led_AddFinding(led,
                           "ORDER: %s ended normally after event %lld of %u",
                           call->id, (long long)call->last_event,
                           Wld_CountEvents(call->id));
            call->has_finding = true;
        }
    }
    else if (call->body->len != strlen(call->id) ||
             memcmp(call->body->data, call->id, call->body->len) != 0) {
        Led_AddFinding(led, "MIXED: %s received an unexpected body", call->id);
        call->has_finding = true;
    }
}

static void
free_call(LodCall *call)
{
    call->lod->open_count--;
    LIST_REMOVE(call, links);
    if (call->disconnect_timer != NULL) {
        event_free(call->disconnect_timer);
    }
    Sse_Clear(&call->sse);
    g_byte_array_free(call->body, TRUE);
    g_free(call);
}
