/* Survey: which prompts the workers of a service keep. See survey.h. */
#include "survey.h"
#include "task.h"

#include "../log.h"

#include <string.h>

typedef struct SurveyCall {
    LIST_ENTRY(SurveyCall) links;
    Survey *survey;
    ClientCall *call;
    uint32_t version; /* Of the worker. */
    uint64_t worker;  /* Its hash. */
    int status;
    GByteArray *body;
} SurveyCall;

static Survey *find_or_add(Gate *gate, const char *service);
static bool begin(Survey *survey);
static void ask(Survey *survey, FleetWorker *worker);
static bool is_running(Survey *survey);
static void on_head(void *context, int status, const HeaderList *headers);
static void on_data(void *context, const void *data, size_t size);
static void on_end(void *context, ClientOutcome outcome);
static void note_part(void *context, uint64_t part);
static void end_calls(Survey *survey);
static void free_call(SurveyCall *call);
static void log_result(const Survey *survey);

void
Survey_BeginAll(Gate *gate)
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
            begin(find_or_add(gate, row->name));
        }
    }
}

ResumptionSurvey
Survey_Find(Gate *gate, const char *service, uint64_t part, int64_t since_us,
            SurveyPart *kept)
{
    Survey *survey = find_or_add(gate, service);
    const SurveyPart *row;
    int64_t now_us = Clk_Now(gate->options.clk);

    if (is_running(survey)) {
        return RESUMPTION_ASKING;
    }
    row = g_hash_table_lookup(survey->parts, &part);
    if (row != NULL) {
        *kept = *row;
        return row->version == SURVEY_SEVERAL ? RESUMPTION_KEPT_BY_SEVERAL
                                              : RESUMPTION_KEPT_BY_ONE_VERSION;
    }
    if (survey->began_us >= since_us) {
        return RESUMPTION_KEPT_BY_NONE;
    }
    if (survey->began_us != 0 &&
        now_us - survey->began_us < SURVEY_INTERVAL_US) {
        return RESUMPTION_ASKING;
    }
    return begin(survey) ? RESUMPTION_ASKING : RESUMPTION_CANNOT_ASK;
}

void
Survey_EndAll(Gate *gate)
{
    while (!LIST_EMPTY(&gate->surveys)) {
        Survey *survey = LIST_FIRST(&gate->surveys);
        end_calls(survey);
        LIST_REMOVE(survey, links);
        g_hash_table_destroy(survey->parts);
        g_free(survey);
    }
}

static Survey *
find_or_add(Gate *gate, const char *service)
{
    Survey *survey = NULL;

    LIST_FOREACH(survey, &gate->surveys, links)
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
    LIST_INIT(&survey->calls);
    LIST_INSERT_HEAD(&gate->surveys, survey, links);
    return survey;
}

/* Asks all decode workers; returns false if there are too many. */
static bool
begin(Survey *survey)
{
    const GPtrArray *rows = survey->gate->options.fleet->rows;
    int64_t now_us = Clk_Now(survey->gate->options.clk);
    GPtrArray *workers = g_ptr_array_new();
    bool is_possible;

    for (guint i = 0; i < rows->len; i++) {
        FleetWorker *worker = g_ptr_array_index(rows, i);
        if (worker->entry.phase == FLEET_PHASE_DECODE &&
            strcmp(worker->entry.service, survey->service) == 0 &&
            Fleet_IsListed(worker, now_us) &&
            !Notice_IsPaused(&worker->notice, now_us)) {
            g_ptr_array_add(workers, worker);
        }
    }
    is_possible = workers->len <= SURVEY_WORKERS_MAX;
    if (is_possible) {
        if (now_us - survey->kept_us > SURVEY_KEEP_US) {
            g_hash_table_remove_all(survey->parts);
            survey->kept_us = now_us;
        }
        survey->began_us = now_us;
        survey->asked = workers->len;
        survey->answered = 0;
        for (guint i = 0; i < workers->len; i++) {
            ask(survey, g_ptr_array_index(workers, i));
        }
    }
    else {
        Log_WriteJson(LOG_LEVEL_WARNING, "survey_impossible",
                      json_pack("{s:s,s:i,s:i}", "service", survey->service,
                                "workers", (int)workers->len, "most",
                                SURVEY_WORKERS_MAX));
    }
    g_ptr_array_free(workers, TRUE);
    return is_possible;
}

static void
ask(Survey *survey, FleetWorker *worker)
{
    const GateOptions *options = &survey->gate->options;
    GateControlCall control_call = {.headers = Header_New()};
    SurveyCall *call = g_new0(SurveyCall, 1);
    ClientCallOptions client_call = {
        .address = worker->entry.address,
        .target = control_call.target,
        .headers = control_call.headers,
        .idle_max_ms = UINT32_MAX,
        .context = call,
        .on_head = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };

    options->codec->encode_list(options->codec->context, worker->entry.id,
                                &control_call);
    client_call.method = control_call.method;
    call->survey = survey;
    call->version = worker->version;
    call->worker = worker->hash;
    call->body = g_byte_array_new();
    LIST_INSERT_HEAD(&survey->calls, call, links);
    Throttle_Charge(&worker->throttle);
    call->call = Client_BeginCall(options->client, &client_call);
    Header_Free(control_call.headers);
}

/* Whether answers are awaited. Ends the survey when its time is over. */
static bool
is_running(Survey *survey)
{
    int64_t now_us = Clk_Now(survey->gate->options.clk);

    if (LIST_EMPTY(&survey->calls)) {
        return false;
    }
    if (now_us - survey->began_us < SURVEY_TIMEOUT_US) {
        return true;
    }
    end_calls(survey);
    log_result(survey);
    return false;
}

static void
on_head(void *context, int status, const HeaderList *headers)
{
    SurveyCall *call = context;

    (void)headers;
    call->status = status;
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
    const GateCodec *codec = survey->gate->options.codec;

    if (outcome == CLIENT_COMPLETE && call->status == 200 &&
        codec->decode_list(codec->context, (const char *)call->body->data,
                           call->body->len, note_part, call)) {
        survey->answered++;
    }
    free_call(call);
    if (LIST_EMPTY(&survey->calls)) {
        log_result(survey);
    }
}

static void
note_part(void *context, uint64_t part)
{
    const SurveyCall *call = context;
    GHashTable *parts = call->survey->parts;
    SurveyPart *row = g_hash_table_lookup(parts, &part);

    if (row == NULL) {
        row = g_new0(SurveyPart, 1);
        row->part = part;
        row->version = call->version;
        g_hash_table_insert(parts, &row->part, row);
    }
    if (row->version != call->version) {
        row->version = SURVEY_SEVERAL;
    }
    row->worker = call->worker;
}

static void
end_calls(Survey *survey)
{
    while (!LIST_EMPTY(&survey->calls)) {
        SurveyCall *call = LIST_FIRST(&survey->calls);
        Client_EndCall(call->call);
        free_call(call);
    }
}

static void
free_call(SurveyCall *call)
{
    LIST_REMOVE(call, links);
    g_byte_array_free(call->body, TRUE);
    g_free(call);
}

static void
log_result(const Survey *survey)
{
    Met_Add(MET_SURVEYS, 1);
    Log_WriteJson(LOG_LEVEL_INFO, "survey",
                  json_pack("{s:s,s:i,s:i,s:i}", "service", survey->service,
                            "asked", (int)survey->asked, "answered",
                            (int)survey->answered, "parts",
                            (int)g_hash_table_size(survey->parts)));
}
