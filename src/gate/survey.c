/* Survey: which prompts the workers of a service keep or kept. See survey.h.
 */
#include "survey.h"
#include "task.h"

#include "../decide/holders.h"
#include "../decide/start.h"
#include "../io/loop.h"
#include "../log.h"

#include <string.h>

/* Time between looks at the holders and at calls in progress. */
#define SURVEY_TICK_MS 25
/* Questions for the start of a worker after one answer, as some connections
   break off. */
#define SURVEY_CHECKS_MAX 3
/* Questions to a worker that has started again meanwhile. */
#define SURVEY_TRIES_MAX 2

/* The surveys of one service. */
typedef struct Survey {
    LIST_ENTRY(Survey) links;
    Gate *gate;
    char service[FLEET_NAME_MAX];
    int64_t began_us;  /* When the last one began. */
    int64_t kept_us;   /* When the first one began whose answers are kept. */
    GHashTable *parts; /* SurveyPart.part to SurveyPart. */
    LIST_HEAD(SurveyCallList, SurveyCall) calls; /* In progress. */
    uint32_t call_count;
    GArray *queue;  /* SurveySteps that are still to be made. */
    uint32_t asked; /* Calls that were queued. */
    uint32_t answered;
    uint32_t unknown; /* Answers of a start that no entry told of. */
    uint32_t dropped; /* Parts beyond SURVEY_PARTS_MAX. */
    bool is_first;    /* The last one is the first one. */
    bool has_ended;   /* All answers to one survey at least are known. */
} Survey;

/* A call that is to be made. */
typedef struct SurveyStep {
    uint64_t worker; /* Hash. */
    bool changes;    /* Asks what changed lately, and not what is kept now. */
    uint32_t tries;  /* Calls before this one. */
} SurveyStep;

/* A call for prompts, and then the question for the start of the worker that
   answered it, if that is not known. */
typedef struct SurveyCall {
    LIST_ENTRY(SurveyCall) links;
    Survey *survey;
    ClientCall *call; /* NULL while the entry of the start is awaited. */
    int64_t began_us; /* The call, or the question. */
    SurveyStep step;
    uint32_t version;     /* Of the worker's entry as it was asked. */
    int64_t asked_ms;     /* Start that this entry names; 0: none. */
    bool is_proven;       /* The answer is that of this start. */
    uint32_t checks;      /* Questions for the start, this one included. */
    GByteArray *list;     /* The answer; NULL until the start is asked. */
    uint64_t list_number; /* Of the answer's connection. */
    int64_t told_ms;      /* Start that the worker told. */
    uint64_t number;      /* Of the connection. */
    int status;
    GByteArray *body;
} SurveyCall;

struct Surveys {
    Gate *gate;
    LIST_HEAD(SurveyList, Survey) list;
    struct event *timer;
    bool is_waiting; /* Until it is known which VMs share the workers. */
    HoldersWait wait;
};

static Survey *find_or_add(Gate *gate, const char *service);
static void on_timer(evutil_socket_t fd, short what, void *context);
static bool wait_for_holders(Surveys *surveys);
static void begin_all(Gate *gate);
static void begin(Survey *survey, bool lists);
static bool can_ask(const FleetWorker *worker, const char *service,
                    int64_t now_us);
static bool is_of(const FleetWorker *worker, const char *service,
                  int64_t now_us);
static void ask_next(Survey *survey);
static void ask(Survey *survey, FleetWorker *worker, const SurveyStep *step);
static void begin_call(SurveyCall *call, FleetWorker *worker,
                       ClientCallOptions *client_call);
static void ask_start(SurveyCall *call, FleetWorker *worker);
static uint64_t get_told_label(void *context);
static bool note_answer(SurveyCall *call, ClientOutcome outcome);
static bool note_start(SurveyCall *call, ClientOutcome outcome);
static bool judge(SurveyCall *call);
static void note_list(SurveyCall *call, const GByteArray *list,
                      uint32_t version);
static bool is_running(const Survey *survey);
static void look_at_calls(Survey *survey);
static void on_head(void *context, int status, const HeaderList *headers);
static void on_data(void *context, const void *data, size_t size);
static void on_end(void *context, ClientOutcome outcome);
static void note_part(void *context, uint64_t part);
static void free_call(SurveyCall *call);
static void end(Survey *survey);

Surveys *
Survey_New(Gate *gate)
{
    Surveys *surveys = g_new0(Surveys, 1);

    surveys->gate = gate;
    LIST_INIT(&surveys->list);
    surveys->timer = evtimer_new(gate->options.base, on_timer, surveys);
    return surveys;
}

void
Survey_Free(Surveys *surveys)
{
    while (!LIST_EMPTY(&surveys->list)) {
        Survey *survey = LIST_FIRST(&surveys->list);
        while (!LIST_EMPTY(&survey->calls)) {
            SurveyCall *call = LIST_FIRST(&survey->calls);
            free_call(call);
        }
        LIST_REMOVE(survey, links);
        g_array_free(survey->queue, TRUE);
        g_hash_table_destroy(survey->parts);
        g_free(survey);
    }
    event_free(surveys->timer);
    g_free(surveys);
}

void
Survey_BeginAll(Gate *gate)
{
    Surveys *surveys = gate->surveys;
    Holders holders = {0};

    gate->options.list_holders(gate->options.context, &holders);
    Holders_BeginWait(&surveys->wait, &holders, Clk_Now(gate->options.clk));
    surveys->is_waiting = true;
    Loop_ArmTimer(surveys->timer, SURVEY_TICK_MS);
}

bool
Survey_IsFirst(const Gate *gate, const char *service)
{
    const Survey *survey = NULL;

    if (gate->surveys->is_waiting) {
        return true;
    }
    LIST_FOREACH(survey, &gate->surveys->list, links)
    {
        if (strcmp(survey->service, service) == 0) {
            return survey->is_first && is_running(survey);
        }
    }
    return false;
}

ResumptionSurvey
Survey_Find(Gate *gate, const char *service, uint64_t part, int64_t since_us,
            SurveyPart *kept)
{
    Survey *survey = find_or_add(gate, service);
    const SurveyPart *row;
    int64_t now_us = Clk_Now(gate->options.clk);

    if (gate->surveys->is_waiting ||
        (is_running(survey) && !survey->has_ended)) {
        return RESUMPTION_ASKING;
    }
    /* What an earlier survey told is not held up by a worker that is silent in
       a later one. */
    row = g_hash_table_lookup(survey->parts, &part);
    if (row != NULL) {
        *kept = *row;
        return row->version == SURVEY_SEVERAL ? RESUMPTION_KEPT_BY_SEVERAL
                                              : RESUMPTION_KEPT_BY_ONE_VERSION;
    }
    if (is_running(survey) && since_us != 0) {
        return RESUMPTION_ASKING;
    }
    if (survey->has_ended && survey->began_us >= since_us) {
        return RESUMPTION_KEPT_BY_NONE;
    }
    if (survey->began_us != 0 &&
        now_us - survey->began_us < SURVEY_INTERVAL_US) {
        return RESUMPTION_ASKING;
    }
    begin(survey, false);
    return is_running(survey) ? RESUMPTION_ASKING : RESUMPTION_KEPT_BY_NONE;
}

GArray *
Survey_ListWorkers(const Gate *gate, const char *service)
{
    const GPtrArray *rows = gate->options.fleet->rows;
    int64_t now_us = Clk_Now(gate->options.clk);
    GArray *hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        if (can_ask(worker, service, now_us)) {
            g_array_append_val(hashes, worker->hash);
        }
    }
    return hashes;
}

static Survey *
find_or_add(Gate *gate, const char *service)
{
    Survey *survey = NULL;

    LIST_FOREACH(survey, &gate->surveys->list, links)
    {
        if (strcmp(survey->service, service) == 0) {
            return survey;
        }
    }
    survey = g_new0(Survey, 1);
    survey->gate = gate;
    g_strlcpy(survey->service, service, sizeof(survey->service));
    survey->parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    survey->queue = g_array_new(FALSE, FALSE, sizeof(SurveyStep));
    LIST_INIT(&survey->calls);
    LIST_INSERT_HEAD(&gate->surveys->list, survey, links);
    return survey;
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Surveys *surveys = context;
    Survey *survey = NULL;
    bool is_needed = false;

    (void)fd;
    (void)what;
    if (surveys->is_waiting && !wait_for_holders(surveys)) {
        surveys->is_waiting = false;
        begin_all(surveys->gate);
    }
    LIST_FOREACH(survey, &surveys->list, links)
    {
        look_at_calls(survey);
        is_needed |= is_running(survey);
    }
    if (is_needed || surveys->is_waiting) {
        Loop_ArmTimer(surveys->timer, SURVEY_TICK_MS);
    }
}

/* Whether the VMs that share the workers may still change. */
static bool
wait_for_holders(Surveys *surveys)
{
    const GateOptions *options = &surveys->gate->options;
    Holders holders = {0};

    options->list_holders(options->context, &holders);
    return !Holders_HaveSettled(&surveys->wait, &holders,
                                Clk_Now(options->clk));
}

static void
begin_all(Gate *gate)
{
    GHashTableIter iter;
    gpointer service;

    if (gate->table == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, gate->table->services);
    while (g_hash_table_iter_next(&iter, NULL, &service)) {
        const RteService *row = service;
        if (row->is_engine) {
            begin(find_or_add(gate, row->name), true);
        }
    }
}

/* Asks the own workers what changed lately, and what they keep if `lists`: a
   list delays its worker, and changes get lost now and then. */
static void
begin(Survey *survey, bool lists)
{
    const GateOptions *options = &survey->gate->options;
    const GPtrArray *rows = options->fleet->rows;
    int64_t now_us = Clk_Now(options->clk);
    Holders holders = {0};

    options->list_holders(options->context, &holders);
    if (now_us - survey->kept_us > SURVEY_KEEP_US) {
        g_hash_table_remove_all(survey->parts);
        survey->kept_us = now_us;
        survey->has_ended = false;
    }
    survey->is_first = survey->began_us == 0;
    survey->began_us = now_us;
    survey->answered = 0;
    survey->unknown = 0;
    survey->dropped = 0;
    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        /* The holders of a removed worker may never have had its entry. */
        bool is_asked = (can_ask(worker, survey->service, now_us) &&
                         Holders_IsOwn(&holders, worker->hash)) ||
                        (lists && is_of(worker, survey->service, now_us) &&
                         Fleet_MayServeOn(worker, now_us) &&
                         Holders_Contains(&holders, holders.self));
        if (is_asked) {
            SurveyStep changes = {worker->hash, .changes = true};
            SurveyStep list = {worker->hash, .changes = false};
            g_array_append_val(survey->queue, changes);
            if (lists) {
                g_array_append_val(survey->queue, list);
            }
        }
    }
    survey->asked = survey->queue->len;
    ask_next(survey);
    survey->has_ended |= !is_running(survey);
    if (is_running(survey) &&
        !event_pending(survey->gate->surveys->timer, EV_TIMEOUT, NULL)) {
        Loop_ArmTimer(survey->gate->surveys->timer, SURVEY_TICK_MS);
    }
}

static bool
can_ask(const FleetWorker *worker, const char *service, int64_t now_us)
{
    return is_of(worker, service, now_us) && Fleet_IsListed(worker, now_us);
}

static bool
is_of(const FleetWorker *worker, const char *service, int64_t now_us)
{
    return worker->entry.phase == FLEET_PHASE_DECODE &&
           strcmp(worker->entry.service, service) == 0 &&
           !Notice_IsPaused(&worker->notice, now_us);
}

/* Asks workers of the queue as far as the number of calls allows. */
static void
ask_next(Survey *survey)
{
    const Fleet *fleet = survey->gate->options.fleet;

    while (survey->queue->len > 0 && survey->call_count < SURVEY_CALLS_MAX) {
        guint last = survey->queue->len - 1;
        SurveyStep step = g_array_index(survey->queue, SurveyStep, last);
        FleetWorker *worker = Fleet_FindByHash(fleet, step.worker);
        g_array_set_size(survey->queue, last);
        if (worker != NULL && (worker->listed || !worker->tells_no_start)) {
            ask(survey, worker, &step);
        }
    }
}

/* Asks the worker, on a connection on which it has told the start of its entry
   if there is one. */
static void
ask(Survey *survey, FleetWorker *worker, const SurveyStep *step)
{
    const GateOptions *options = &survey->gate->options;
    GateControlCall control_call = {.headers = Header_New()};
    SurveyCall *call = g_new0(SurveyCall, 1);
    ClientCallOptions client_call = {
        .address = worker->entry.address,
        .idle_max_ms = UINT32_MAX,
        .label = worker->tells_no_start
                     ? 0
                     : Fleet_GetStartLabel(worker, worker->entry.born_ms),
    };

    call->survey = survey;
    call->step = *step;
    call->step.tries++;
    call->version = worker->version;
    call->asked_ms = worker->entry.born_ms;
    call->began_us = Clk_Now(options->clk);
    call->is_proven = client_call.label == 0 ||
                      Client_HasIdle(options->client, &client_call);
    if (!call->is_proven) {
        client_call.label = 0;
    }
    options->codec->encode_list(options->codec->context, worker->entry.id,
                                step->changes, &control_call);
    client_call.method = control_call.method;
    client_call.target = control_call.target;
    client_call.headers = control_call.headers;
    LIST_INSERT_HEAD(&survey->calls, call, links);
    survey->call_count++;
    begin_call(call, worker, &client_call);
    Header_Free(control_call.headers);
}

static void
begin_call(SurveyCall *call, FleetWorker *worker,
           ClientCallOptions *client_call)
{
    const GateOptions *options = &call->survey->gate->options;

    call->status = 0;
    call->number = 0;
    call->body = g_byte_array_new();
    client_call->context = call;
    client_call->on_head = on_head;
    client_call->on_data = on_data;
    client_call->on_end = on_end;
    Throttle_Charge(&worker->throttle);
    call->call = Client_BeginCall(options->client, client_call);
}

/* Asks the worker for its start after its answer, on the same connection if
   that was kept. */
static void
ask_start(SurveyCall *call, FleetWorker *worker)
{
    const GateCodec *codec = call->survey->gate->options.codec;
    GateControlCall control_call = {.headers = Header_New()};
    ClientCallOptions client_call = {
        .address = worker->entry.address,
        .idle_max_ms = UINT32_MAX,
        .get_label = get_told_label,
    };

    codec->encode_state(codec->context, worker->entry.id, &control_call);
    client_call.method = control_call.method;
    client_call.target = control_call.target;
    client_call.headers = control_call.headers;
    call->checks++;
    begin_call(call, worker, &client_call);
    Header_Free(control_call.headers);
}

/* Returns the label of a connection by the start that the worker has told on
   it. */
static uint64_t
get_told_label(void *context)
{
    SurveyCall *call = context;
    const GateOptions *options = &call->survey->gate->options;
    const FleetWorker *worker =
        Fleet_FindByHash(options->fleet, call->step.worker);

    if (worker == NULL || call->status != 200 ||
        !options->codec->decode_state(options->codec->context,
                                      (const char *)call->body->data,
                                      call->body->len, &call->told_ms)) {
        call->told_ms = 0;
        return 0;
    }
    return Fleet_GetStartLabel(worker, call->told_ms);
}

/* Whether answers are awaited. */
static bool
is_running(const Survey *survey)
{
    return survey->call_count > 0 || survey->queue->len > 0;
}

/* Notes what workers keep whose entries have come, and ends the calls whose
   time is over. */
static void
look_at_calls(Survey *survey)
{
    int64_t now_us = Clk_Now(survey->gate->options.clk);
    bool was_running = is_running(survey);
    SurveyCall *call = LIST_FIRST(&survey->calls);

    while (call != NULL) {
        SurveyCall *next = LIST_NEXT(call, links);
        if (call->call == NULL && !judge(call)) {
            free_call(call);
        }
        else if (now_us - call->began_us >= SURVEY_TIMEOUT_US) {
            survey->unknown += call->list != NULL;
            free_call(call);
        }
        call = next;
    }
    ask_next(survey);
    if (was_running && !is_running(survey)) {
        end(survey);
    }
}

static void
on_head(void *context, int status, const HeaderList *headers)
{
    SurveyCall *call = context;

    (void)headers;
    call->status = status;
    call->number = Client_GetNumber(call->call);
}

static void
on_data(void *context, const void *data, size_t size)
{
    SurveyCall *call = context;

    if (call->body->len + size <= SURVEY_LIST_MAX_BYTES) {
        g_byte_array_append(call->body, data, (guint)size);
    }
    else {
        Client_RejectBody(call->call);
    }
}

static void
on_end(void *context, ClientOutcome outcome)
{
    SurveyCall *call = context;
    Survey *survey = call->survey;

    call->call = NULL;
    if (call->list == NULL ? note_answer(call, outcome)
                           : note_start(call, outcome)) {
        return;
    }
    free_call(call);
    ask_next(survey);
    if (!is_running(survey)) {
        end(survey);
    }
}

/* Notes what the worker keeps, asks for its start, or queues the next call
   that it needs. Returns whether the call is still in use. */
static bool
note_answer(SurveyCall *call, ClientOutcome outcome)
{
    Survey *survey = call->survey;
    FleetWorker *worker =
        Fleet_FindByHash(survey->gate->options.fleet, call->step.worker);

    if (outcome != CLIENT_COMPLETE) {
        return false;
    }
    if (call->status == 200 && !call->is_proven) {
        if (worker == NULL) {
            return false;
        }
        call->list = call->body;
        call->list_number = call->number;
        call->began_us = Clk_Now(survey->gate->options.clk);
        ask_start(call, worker);
        return true;
    }
    note_list(call, call->status == 200 ? call->body : NULL, call->version);
    return false;
}

/* Notes the start that the worker tells. Returns whether the call is still in
   use. */
static bool
note_start(SurveyCall *call, ClientOutcome outcome)
{
    const GateOptions *options = &call->survey->gate->options;
    FleetWorker *worker = Fleet_FindByHash(options->fleet, call->step.worker);

    if (worker == NULL) {
        return false;
    }
    if (outcome != CLIENT_COMPLETE) {
        if (call->checks >= SURVEY_CHECKS_MAX) {
            call->survey->unknown++;
            return false;
        }
        g_byte_array_free(call->body, TRUE);
        ask_start(call, worker);
        return true;
    }
    if (call->status == 404) {
        worker->tells_no_start = !worker->tells_start;
        note_list(call, worker->listed ? call->list : NULL, call->version);
        return false;
    }
    return judge(call);
}

/* Notes what the worker keeps if its start is known. Returns whether the call
   is still in use, as the entry of the start is awaited. */
static bool
judge(SurveyCall *call)
{
    Survey *survey = call->survey;
    const FleetWorker *worker =
        Fleet_FindByHash(survey->gate->options.fleet, call->step.worker);
    StartState state = {
        .asked_ms = call->asked_ms,
        .entry_ms = worker != NULL ? worker->entry.born_ms : 0,
        .told_ms = call->told_ms,
        .is_same_connection = call->number == call->list_number,
    };
    StartStep step = Start_Decide(&state);

    switch (step) {
    case START_AS_ASKED:
        note_list(call, call->list, call->version);
        return false;
    case START_AS_ENTRY:
        note_list(call, call->list,
                  worker != NULL ? worker->version : call->version);
        return false;
    case START_WAIT:
        return true;
    case START_ASK_AGAIN:
    case START_UNKNOWN:
        break;
    }
    if (step == START_ASK_AGAIN && call->step.tries < SURVEY_TRIES_MAX) {
        g_array_append_val(survey->queue, call->step);
    }
    else {
        survey->unknown++;
    }
    return false;
}

/* Notes the parts in an answer for a version, or queues the question for what
   the worker keeps now if it told no changes. */
static void
note_list(SurveyCall *call, const GByteArray *list, uint32_t version)
{
    Survey *survey = call->survey;
    const GateCodec *codec = survey->gate->options.codec;
    SurveyStep step = {call->step.worker, .changes = false};

    call->version = version;
    if (list != NULL &&
        codec->decode_list(codec->context, (const char *)list->data, list->len,
                           note_part, call)) {
        survey->answered++;
    }
    else if (call->step.changes) {
        g_array_append_val(survey->queue, step);
        survey->asked++;
    }
}

static void
note_part(void *context, uint64_t part)
{
    const SurveyCall *call = context;
    GHashTable *parts = call->survey->parts;
    SurveyPart *row = g_hash_table_lookup(parts, &part);

    if (row == NULL && g_hash_table_size(parts) >= SURVEY_PARTS_MAX) {
        call->survey->dropped++;
        return;
    }
    if (row == NULL) {
        row = g_new0(SurveyPart, 1);
        row->part = part;
        row->version = call->version;
        g_hash_table_insert(parts, &row->part, row);
    }
    if (row->version != call->version) {
        row->version = SURVEY_SEVERAL;
    }
    row->worker = call->step.worker;
}

static void
free_call(SurveyCall *call)
{
    if (call->call != NULL) {
        Client_EndCall(call->call);
    }
    LIST_REMOVE(call, links);
    call->survey->call_count--;
    if (call->list != NULL) {
        g_byte_array_free(call->list, TRUE);
    }
    g_byte_array_free(call->body, TRUE);
    g_free(call);
}

static void
end(Survey *survey)
{
    survey->has_ended = true;
    Met_Add(MET_SURVEYS, 1);
    Log_WriteJson(LOG_LEVEL_INFO, "survey",
                  json_pack("{s:s,s:i,s:i,s:i,s:i,s:i}", "service",
                            survey->service, "asked", (int)survey->asked,
                            "answered", (int)survey->answered, "start_unknown",
                            (int)survey->unknown, "parts",
                            (int)g_hash_table_size(survey->parts),
                            "parts_dropped", (int)survey->dropped));
}
