/* Load generator of a soak test: sends requests and checks responses. */
#include "load_generator.h"

#include "event_reader.h"
#include "sim_answer.h"
#include "sim_platform.h"

#include "io/client.h"
#include "io/loop.h"

#include <string.h>
#include <sys/queue.h>

#define LOAD_GEN_TICK_MS 10
/* Connections that were idle for longer are not reused. */
#define LOAD_GEN_IDLE_MAX_MS 10000
/* Longest time from sending a request to disconnecting. */
#define LOAD_GEN_DISCONNECT_MAX_MS 400
#define LOAD_GEN_NO_EVENT (-1)
#define LOAD_GEN_FIRST_PARTS 5 /* First parts of prompts, shared by many. */
/* Requests to each stopping VM beside the others, until its process is gone.
 */
#define LOAD_GEN_STOPPING_PER_S 20
/* Share of the streams beside the others that are long. */
#define LOAD_GEN_STOPPING_LONG_RATIO 0.5
/* Largest share of long streams while the requests served are counted, so that
   workers have room. */
#define LOAD_GEN_COUNTED_LONG_RATIO 0.03
/* Longest time until a caller takes up a stream that broke off, and shortest
   time that it must have left. */
#define LOAD_GEN_TAKE_UP_MAX_MS 600
#define LOAD_GEN_TAKE_UP_LEFT_MS 1500
/* Longest limit of a stream's length, and most by which its hint is wrong, as
   multiples of its length. */
#define LOAD_GEN_LIMIT_RATIO_MAX 2.0
#define LOAD_GEN_HINT_RATIO_MAX 10.0

/* What a caller has of a stream, and needs to take it up. */
typedef struct LoadGenStream {
    char origin[48];    /* Identifier of the request that began it. */
    char parts[64];     /* Parts of its prompt; "" for no stream. */
    int64_t last_event; /* ID of the last event, which is the number of its
                           last token, or LOAD_GEN_NO_EVENT. */
    unsigned version;   /* Of the worker that made it; 0 for no event. */
    int64_t end_us;     /* Until then the caller waits. */
    int64_t due_us;     /* When it is taken up. */
} LoadGenStream;

typedef struct LoadGenCall {
    LIST_ENTRY(LoadGenCall) links;
    LoadGen *load_gen;
    ClientCall *call;
    struct event
        *disconnect_timer; /* NULL if the caller waits for the response */
    char id[48];
    LedgerKind kind;
    guint vm;
    int status;
    ClientFraming framing;
    bool has_stamp;
    bool has_finding; /* A finding was added for this request. */
    unsigned run;     /* That made the last event; 0: none. */
    EventReader reader;
    LoadGenStream stream;
    GByteArray *body;
} LoadGenCall;

struct LoadGen {
    LoadGenOptions options;
    Client *client;
    struct event *timer;
    uint32_t number;     /* Number of the next request. */
    double requests_due; /* Whole requests and a fraction carried over. */
    double stopping_due; /* The same for each stopping VM. */
    LIST_HEAD(LoadGenCallList, LoadGenCall) open;
    guint open_count;
    double crash_ratio;
    guint crash_part; /* Number of the part on which workers crash. */
    GArray *broken;   /* LoadGenStream elements that will be taken up. */
    guint taken_up;
    int64_t ticked_us; /* Last tick, and the longest time between two. */
    int64_t held_up_us;
    guint turn; /* Of VMs and kinds while `counting`. */
    bool counting;
    guint served[LOAD_GEN_VMS_MAX][LEDGER_KIND_COUNT];
};

static void on_tick(evutil_socket_t fd, short what, void *context);
static void take_up_due(LoadGen *load_gen);
static void begin_random_call(LoadGen *load_gen, guint vm, double long_ratio);
static void begin_call(LoadGen *load_gen, guint vm, LedgerKind kind,
                       bool is_long, const LoadGenStream *taken);
static void add_parts(LoadGen *load_gen, LoadGenCall *call);
static void note_broken(const LoadGenCall *call, ClientOutcome outcome);
static void add_lengths(LoadGen *load_gen, const char *id,
                        HeaderList *headers);
static void on_disconnect(evutil_socket_t fd, short what, void *context);
static void on_head(void *context, int status, const HeaderList *headers);
static void on_data(void *context, const void *data, size_t size);
static void on_end(void *context, ClientOutcome outcome);
static void check_piece(void *context, const EventReaderPiece *piece);
static void check_run(LoadGenCall *call, const SimEvent *event);
static void check_version(LoadGenCall *call, int64_t event, unsigned version);
static void check_response(LoadGenCall *call);
static void check_body(LoadGenCall *call);
static void free_call(LoadGenCall *call);

LoadGen *
LoadGen_New(const LoadGenOptions *options)
{
    LoadGen *load_gen = g_new0(LoadGen, 1);

    load_gen->options = *options;
    load_gen->client = Client_New(options->base, options->clk);
    LIST_INIT(&load_gen->open);
    load_gen->broken = g_array_new(FALSE, FALSE, sizeof(LoadGenStream));
    load_gen->timer = evtimer_new(options->base, on_tick, load_gen);
    Loop_ArmTimer(load_gen->timer, LOAD_GEN_TICK_MS);
    return load_gen;
}

void
LoadGen_Free(LoadGen *load_gen)
{
    while (!LIST_EMPTY(&load_gen->open)) {
        LoadGenCall *call = LIST_FIRST(&load_gen->open);
        Client_EndCall(call->call);
        free_call(call);
    }
    g_array_free(load_gen->broken, TRUE);
    event_free(load_gen->timer);
    Client_Free(load_gen->client);
    g_free(load_gen);
}

void
LoadGen_SetCrashRatio(LoadGen *load_gen, double ratio)
{
    load_gen->crash_ratio = ratio;
    load_gen->crash_part++;
}

void
LoadGen_Stop(LoadGen *load_gen)
{
    g_array_set_size(load_gen->broken, 0);
    event_del(load_gen->timer);
    load_gen->options.ledger->ticked_us = 0;
}

guint
LoadGen_CountTakenUp(const LoadGen *load_gen)
{
    return load_gen->taken_up;
}

int64_t
LoadGen_GetHeldUp(const LoadGen *load_gen)
{
    return load_gen->held_up_us;
}

guint
LoadGen_CountOpen(const LoadGen *load_gen)
{
    return load_gen->open_count;
}

void
LoadGen_ResetServed(LoadGen *load_gen)
{
    load_gen->counting = true;
    load_gen->options.long_ratio =
        MIN(load_gen->options.long_ratio, LOAD_GEN_COUNTED_LONG_RATIO);
    memset(load_gen->served, 0, sizeof(load_gen->served));
}

bool
LoadGen_HasServedAll(const LoadGen *load_gen)
{
    char *unserved = LoadGen_ListUnserved(load_gen);
    bool has_served_all = unserved[0] == '\0';

    g_free(unserved);
    return has_served_all;
}

char *
LoadGen_ListUnserved(const LoadGen *load_gen)
{
    GString *list = g_string_new(NULL);

    for (guint vm = 0; vm < load_gen->options.vm_count; vm++) {
        for (guint kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
            if (load_gen->served[vm][kind] == 0) {
                g_string_append_printf(list, "%sVM %u %s",
                                       list->len > 0 ? ", " : "", vm,
                                       Ledger_GetKindName((LedgerKind)kind));
            }
        }
    }
    return g_string_free(list, FALSE);
}

static void
on_tick(evutil_socket_t fd, short what, void *context)
{
    LoadGen *load_gen = context;
    const LoadGenOptions *options = &load_gen->options;
    int64_t now_us = Clk_Now(options->clk);

    (void)fd;
    (void)what;
    if (load_gen->ticked_us != 0) {
        load_gen->held_up_us =
            MAX(load_gen->held_up_us, now_us - load_gen->ticked_us);
    }
    load_gen->ticked_us = now_us;
    Ledger_NoteTick(options->ledger, now_us, LOAD_GEN_TICK_MS * CLK_US_PER_MS);
    load_gen->requests_due +=
        options->requests_per_s * LOAD_GEN_TICK_MS / 1000.0;
    for (; load_gen->requests_due >= 1; load_gen->requests_due -= 1) {
        begin_random_call(load_gen,
                          g_rand_int(options->rand) % options->vm_count,
                          options->long_ratio);
    }
    load_gen->stopping_due +=
        LOAD_GEN_STOPPING_PER_S * LOAD_GEN_TICK_MS / 1000.0;
    for (; load_gen->stopping_due >= 1; load_gen->stopping_due -= 1) {
        for (guint vm = 0; vm < options->vm_count; vm++) {
            if (options->ledger->stop_us[vm] != 0) {
                begin_random_call(load_gen, vm, LOAD_GEN_STOPPING_LONG_RATIO);
            }
        }
    }
    take_up_due(load_gen);
    Loop_ArmTimer(load_gen->timer, LOAD_GEN_TICK_MS);
}

/* Takes up the streams whose time has come, each at any VM. */
static void
take_up_due(LoadGen *load_gen)
{
    const LoadGenOptions *options = &load_gen->options;

    for (guint i = load_gen->broken->len; i-- > 0;) {
        LoadGenStream stream =
            g_array_index(load_gen->broken, LoadGenStream, i);
        if (Clk_Now(options->clk) >= stream.due_us) {
            g_array_remove_index_fast(load_gen->broken, i);
            if (Clk_Now(options->clk) >= stream.end_us) {
                continue; /* This process was held up. */
            }
            load_gen->taken_up++;
            guint vm = (guint)g_rand_int_range(options->rand, 0,
                                               (gint32)options->vm_count);
            begin_call(load_gen, vm, LEDGER_RESUME, false, &stream);
        }
    }
}

/* Sends a request of a random kind. While the requests served are counted,
   each VM gets each kind in turn. */
static void
begin_random_call(LoadGen *load_gen, guint vm, double long_ratio)
{
    GRand *rand = load_gen->options.rand;
    LedgerKind kind = (LedgerKind)(g_rand_int(rand) % LEDGER_KIND_COUNT);
    guint turn = load_gen->turn++;

    if (load_gen->counting) {
        vm = turn / LEDGER_KIND_COUNT % load_gen->options.vm_count;
        kind = (LedgerKind)(turn % LEDGER_KIND_COUNT);
    }
    begin_call(load_gen, vm, kind,
               kind >= LEDGER_STREAM && g_rand_double(rand) < long_ratio,
               NULL);
}

/* Sends a request, or one that takes up a stream. */
static void
begin_call(LoadGen *load_gen, guint vm, LedgerKind kind, bool is_long,
           const LoadGenStream *taken)
{
    const LoadGenOptions *options = &load_gen->options;
    LoadGenCall *call = g_new0(LoadGenCall, 1);
    char target[64];
    char limit[16];
    int64_t now_us = Clk_Now(options->clk);
    int64_t limit_ms =
        kind < LEDGER_STREAM ? SIM_PLAIN_TIMEOUT_MS : SIM_STREAM_TIMEOUT_MS;
    HeaderList *headers = Header_New();
    ClientCallOptions call_options = {
        .method = "POST",
        .target = target,
        .headers = headers,
        .body = "{}",
        .body_size = 2,
        .idle_max_ms = LOAD_GEN_IDLE_MAX_MS,
        .context = call,
        .on_head = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };

    call->load_gen = load_gen;
    call->kind = kind;
    call->vm = vm;
    call->stream.last_event = LOAD_GEN_NO_EVENT;
    call->stream.end_us = now_us + limit_ms * CLK_US_PER_MS;
    call->body = g_byte_array_new();
    EventReader_Init(&call->reader, call, check_piece);
    g_snprintf(call->id, sizeof(call->id), "%c%u", is_long ? SIM_LONG : 'r',
               load_gen->number++);
    g_snprintf(target, sizeof(target), "/%s/%s",
               Ledger_GetKindName(call->kind), call->id);
    call_options.address = options->addresses[call->vm];
    Header_Add(headers, "Host", SIM_HOST);
    Header_Add(headers, "X-Request-Id", call->id);
    g_strlcpy(call->stream.origin, call->id, sizeof(call->stream.origin));
    if (taken != NULL) {
        call->stream = *taken;
        limit_ms = (taken->end_us - now_us) / CLK_US_PER_MS;
        g_snprintf(limit, sizeof(limit), "%lld", (long long)taken->last_event);
        Header_Add(headers, "Last-Event-Id", limit);
        Header_Add(headers, "Resumes", taken->origin);
    }
    g_snprintf(limit, sizeof(limit), "%lld", (long long)limit_ms);
    Header_Add(headers, "X-Deadline-Ms", limit);
    if (call->kind >= LEDGER_STREAM) {
        add_parts(load_gen, call);
        Header_Add(headers, "X-Prompt-Prefix", call->stream.parts);
        add_lengths(load_gen, call->stream.origin, headers);
    }
    Ledger_AddRequest(options->ledger, call->id, call->kind, call->vm,
                      limit_ms, now_us);
    LIST_INSERT_HEAD(&load_gen->open, call, links);
    load_gen->open_count++;
    if (g_rand_double(options->rand) < options->disconnect_ratio) {
        call->disconnect_timer =
            evtimer_new(options->base, on_disconnect, call);
        Loop_ArmTimer(call->disconnect_timer,
                      (uint32_t)g_rand_int_range(options->rand, 1,
                                                 LOAD_GEN_DISCONNECT_MAX_MS));
    }
    call->call = Client_BeginCall(load_gen->client, &call_options);
    Header_Free(headers);
}

/* Names the parts of the prompt, unless a stream is taken up. */
static void
add_parts(LoadGen *load_gen, LoadGenCall *call)
{
    bool crashes =
        load_gen->crash_ratio > 0 &&
        g_rand_double(load_gen->options.rand) < load_gen->crash_ratio;
    char part[32] = "";

    if (crashes) {
        g_snprintf(part, sizeof(part), "," SIM_CRASH_PART "%u:300",
                   load_gen->crash_part);
    }
    if (call->stream.parts[0] == '\0') {
        g_snprintf(call->stream.parts, sizeof(call->stream.parts),
                   "f%u:200%s,e%u:4500",
                   load_gen->number % LOAD_GEN_FIRST_PARTS, part,
                   load_gen->number);
    }
}

/* Adds the limit of a stream's length, and a hint that may be wrong. */
static void
add_lengths(LoadGen *load_gen, const char *id, HeaderList *headers)
{
    GRand *rand = load_gen->options.rand;
    double tokens = Sim_CountEvents(id) * SIM_TOKENS_PER_EVENT;
    char text[32];

    g_snprintf(text, sizeof(text), "5000,%u",
               (guint)(tokens * g_rand_double_range(
                                    rand, 1, LOAD_GEN_LIMIT_RATIO_MAX)));
    Header_Add(headers, "X-Token-Usage", text);
    tokens *= g_rand_double_range(rand, 1, LOAD_GEN_HINT_RATIO_MAX) /
              g_rand_double_range(rand, 1, LOAD_GEN_HINT_RATIO_MAX);
    g_snprintf(text, sizeof(text), "%u", (guint)MAX(tokens, 1));
    Header_Add(headers, "X-Length-Hint", text);
}

static void
on_disconnect(evutil_socket_t fd, short what, void *context)
{
    LoadGenCall *call = context;

    (void)fd;
    (void)what;
    Ledger_Find(call->load_gen->options.ledger, call->id)->has_left = true;
    Client_EndCall(call->call);
    free_call(call);
}

static void
on_head(void *context, int status, const HeaderList *headers)
{
    LoadGenCall *call = context;
    const char *id = Header_Find(headers, "X-Request-Id");

    call->status = status;
    call->framing = Client_GetFraming(call->call);
    call->has_stamp = Header_Find(headers, "X-Response-Stamp") != NULL;
    if (id != NULL && strcmp(id, call->id) != 0) {
        Ledger_AddFinding(call->load_gen->options.ledger,
                          "MIXED: %s received the response to %s", call->id,
                          id);
        call->has_finding = true;
    }
}

static void
on_data(void *context, const void *data, size_t size)
{
    LoadGenCall *call = context;

    if (call->status == 200 && call->kind >= LEDGER_STREAM) {
        EventReader_Feed(&call->reader, data, size);
    }
    else {
        g_byte_array_append(call->body, data, (guint)size);
    }
}

static void
on_end(void *context, ClientOutcome outcome)
{
    LoadGenCall *call = context;
    LoadGen *load_gen = call->load_gen;

    Ledger_RecordEnd(load_gen->options.ledger, call->id, call->status,
                     outcome == CLIENT_COMPLETE,
                     Clk_Now(load_gen->options.clk));
    if (outcome == CLIENT_MALFORMED) {
        Ledger_AddFinding(
            load_gen->options.ledger,
            "MIXED: %s received bytes that are not an HTTP response",
            call->id);
    }
    else if (outcome == CLIENT_COMPLETE && call->status < 300) {
        check_response(call);
        load_gen->served[call->vm][call->kind] += !call->has_finding;
    }
    note_broken(call, outcome);
    free_call(call);
}

/* Notes a stream that broke off, and that its caller will take up. */
static void
note_broken(const LoadGenCall *call, ClientOutcome outcome)
{
    const LoadGenOptions *options = &call->load_gen->options;
    LoadGenStream stream = call->stream;
    bool is_broken = outcome != CLIENT_COMPLETE && call->status == 200;
    /* A refusal leaves the stream as it was. */
    bool is_refused = outcome == CLIENT_COMPLETE && call->status >= 500;

    stream.due_us =
        Clk_Now(options->clk) +
        g_rand_int_range(options->rand, 1, LOAD_GEN_TAKE_UP_MAX_MS) *
            CLK_US_PER_MS;
    if (options->takes_up && call->kind == LEDGER_RESUME &&
        stream.last_event >= 0 && (is_broken || is_refused) &&
        stream.due_us + LOAD_GEN_TAKE_UP_LEFT_MS * CLK_US_PER_MS <
            stream.end_us) {
        g_array_append_val(call->load_gen->broken, stream);
    }
}

/* Checks that an event is one that a worker makes for this request, whole and
   with nothing else, and that it begins after the last one. */
static void
check_piece(void *context, const EventReaderPiece *piece)
{
    LoadGenCall *call = context;
    Ledger *ledger = call->load_gen->options.ledger;
    LoadGenStream *stream = &call->stream;
    char *text =
        g_strdup_printf("id: %s\ndata: %s\n\n", piece->id, piece->data);
    SimEvent made;

    if (piece->ids != 1 || piece->data_lines != 1 || piece->others > 0 ||
        !SimAnswer_ReadEvent(text, &made) || strcmp(made.id, call->id) != 0) {
        char *data = g_strescape(piece->data, NULL);
        if (!call->has_finding) {
            Ledger_AddFinding(ledger,
                              "MIXED: %s received an event with %u IDs "
                              "(\"%s\"), %u lines of data (\"%s\") and %u "
                              "others",
                              call->id, piece->ids, piece->id,
                              piece->data_lines, data, piece->others);
        }
        g_free(data);
        call->has_finding = true;
        if (g_ascii_isdigit(piece->id[0])) {
            stream->last_event = g_ascii_strtoll(piece->id, NULL, 10);
        }
        g_free(text);
        return;
    }
    if (made.first != stream->last_event + 1 && !call->has_finding) {
        Ledger_AddFinding(ledger,
                          "ORDER: %s received event %lld to %lld after event "
                          "%lld",
                          call->id, made.first, made.last,
                          (long long)stream->last_event);
        call->has_finding = true;
    }
    check_run(call, &made);
    check_version(call, made.last, made.version);
    stream->last_event = made.last;
    g_free(text);
}

/* Checks that another run than the one before begins with this event, and
   where the stream may be resumed. */
static void
check_run(LoadGenCall *call, const SimEvent *event)
{
    bool is_other = call->run != event->run;
    bool may_follow = event->first == event->from &&
                      (call->run == 0 || call->kind == LEDGER_RESUME);

    if (is_other && !may_follow && !call->has_finding) {
        Ledger_AddFinding(call->load_gen->options.ledger,
                          "ORDER: %s received event %lld of run %u, which "
                          "began with event %lld, after run %u",
                          call->id, event->last, event->run, event->from,
                          call->run);
        call->has_finding = true;
    }
    call->run = event->run;
}

/* Checks that all events come from workers of one software version. */
static void
check_version(LoadGenCall *call, int64_t event, unsigned version)
{
    if (call->stream.version != 0 && call->stream.version != version &&
        !call->has_finding) {
        Ledger_AddFinding(call->load_gen->options.ledger,
                          "ORDER: %s received event %lld of version %u after "
                          "events of version %u",
                          call->id, (long long)event, version,
                          call->stream.version);
        call->has_finding = true;
    }
    call->stream.version = version;
}

/* Checks a complete response with a success status. */
static void
check_response(LoadGenCall *call)
{
    Ledger *ledger = call->load_gen->options.ledger;

    if (!call->has_stamp) {
        Ledger_AddFinding(
            ledger, "MIXED: %s succeeded without a response stamp", call->id);
        call->has_finding = true;
    }
    else if (call->kind < LEDGER_STREAM) {
        check_body(call);
    }
    else if (call->stream.last_event + 1 !=
                 Sim_CountEvents(call->stream.origin) ||
             EventReader_IsInside(&call->reader)) {
        Ledger_AddFinding(
            ledger, "ORDER: %s ended normally after event %lld of %u%s",
            call->id, (long long)call->stream.last_event,
            Sim_CountEvents(call->stream.origin),
            EventReader_IsInside(&call->reader) ? " and a part of another"
                                                : "");
        call->has_finding = true;
    }
}

/* Checks the body of a plain response. */
static void
check_body(LoadGenCall *call)
{
    Ledger *ledger = call->load_gen->options.ledger;
    const LedgerRow *row = Ledger_Find(ledger, call->id);
    size_t size = strlen(call->id);
    bool is_part = call->body->len > 0 && call->body->len < size &&
                   memcmp(call->body->data, call->id, call->body->len) == 0;

    if (call->body->len == size &&
        memcmp(call->body->data, call->id, size) == 0) {
        return;
    }
    call->has_finding = true;
    if (is_part && call->framing == CLIENT_FRAMING_CLOSE &&
        row->has_ended_worker) {
        ledger->unproven++;
    }
    Ledger_AddFinding(ledger, "MIXED: %s received the body \"%.*s\"%s",
                      call->id, (int)MIN(call->body->len, size + size),
                      (const char *)call->body->data,
                      is_part ? ", a part of its own" : "");
}

static void
free_call(LoadGenCall *call)
{
    call->load_gen->open_count--;
    LIST_REMOVE(call, links);
    if (call->disconnect_timer != NULL) {
        event_free(call->disconnect_timer);
    }
    EventReader_Clear(&call->reader);
    g_byte_array_free(call->body, TRUE);
    g_free(call);
}
