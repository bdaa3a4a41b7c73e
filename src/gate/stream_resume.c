/* Stream resume: the version of a resumed stream. See stream_resume.h. */
#include "stream_resume.h"
#include "detour.h"
#include "grace.h"
#include "lookup.h"
#include "stream.h"

#include "../log.h"

#include <string.h>
#include <xxhash.h>

/* Time between looks at a lookup in progress. */
#define RESUME_POLL_US (20 * CLK_US_PER_MS)
/* A stream may begin for this long after the entry of its worker is gone: its
   run was sent before, and waited for its turn. */
#define RESUME_BEGIN_MARGIN_US (5 * CLK_US_PER_S)

static int64_t get_caller_us(const GateTask *task);
static uint64_t get_origin(const GateTask *task);
static ResumptionSurvey look_up(const GateTask *task, HoldersAnswer *kept);
static void bind_version(GateTask *task, uint32_t version, const char *source);
static void refuse(GateTask *task, const char *cause);
static const char *get_survey_name(ResumptionSurvey survey);

void
StreamResume_Advance(GateTask *task)
{
    Gate *gate = task->gate;
    int64_t now_us = Task_Now(task);
    int64_t since_us = now_us - get_caller_us(task) - RESUME_BEGIN_MARGIN_US;
    const Origin *found =
        Origins_Find(&gate->origins, get_origin(task), now_us);
    Origin recorded = found != NULL ? *found : (Origin){.version = 0};
    uint32_t only = 0;
    HoldersAnswer kept = {0};
    uint32_t holders = 0;
    uint32_t answered = 0;
    ResumptionState state = {
        .has_record = found != NULL,
    };
    ResumptionStep step;

    if (!Grace_MayBegin(task, 0)) {
        return;
    }
    /* Workers of another version may have joined without this VM's notice. */
    if (gate->options.get_step_time(gate->options.context) <= since_us) {
        state.versions = Fleet_CountVersions(
            gate->options.fleet, task->service->name, since_us, now_us, &only);
    }
    step = Resumption_Decide(&state);

    if (step != RESUMPTION_FOLLOW_RECORD && !task->is_relayed &&
        Detour_IsCut(gate, task->service->name)) {
        /* The VM that serves the request finds out. */
        task->resuming = false;
        Stream_Advance(task);
        return;
    }
    if (step == RESUMPTION_ASK) {
        state.survey = look_up(task, &kept);
        answered = Lookup_CountAnswers(gate, get_origin(task), &holders);
        state.have_all_answered = holders > 0 && answered == holders;
        step = Resumption_Decide(&state);
    }
    switch (step) {
    case RESUMPTION_FOLLOW_RECORD:
        task->reader = recorded.worker;
        bind_version(task, recorded.version, "record");
        return;
    case RESUMPTION_FOLLOW_ONLY:
        bind_version(task, only, "only version");
        return;
    case RESUMPTION_FOLLOW_SURVEY:
        task->reader = kept.worker;
        bind_version(task, kept.version, "workers");
        return;
    case RESUMPTION_ASK:
    case RESUMPTION_WAIT:
        task->resuming = true;
        task->step_deadline_us = now_us + RESUME_POLL_US;
        Task_SetTimer(task);
        return;
    case RESUMPTION_REFUSE:
        break;
    }
    Log_WriteJson(
        LOG_LEVEL_INFO, "stream_version_unknown",
        json_pack("{s:s,s:s,s:i,s:s,s:i,s:i}", "request", task->request.id,
                  "resumes",
                  task->request.resumes != NULL ? task->request.resumes : "",
                  "versions", (int)state.versions, "workers",
                  get_survey_name(state.survey), "holders", (int)holders,
                  "answered", (int)answered));
    refuse(task, state.survey == RESUMPTION_KEPT_BY_SEVERAL
                     ? "several software versions may have begun the stream"
                     : "software version of the stream is unknown");
}

/* Returns the longest time that callers of the route spend on a request over
   all their tries, as far as this VM knows. */
static int64_t
get_caller_us(const GateTask *task)
{
    int64_t known_ms = GPOINTER_TO_INT(
        g_hash_table_lookup(task->gate->first_left_ms, task->route->name));

    known_ms = MAX(known_ms, (int64_t)task->route->timeout_ms);
    return MAX(known_ms, task->request.left_ms) * CLK_US_PER_MS;
}

/* Returns the hash of the ID of the request that brought the first event. */
static uint64_t
get_origin(const GateTask *task)
{
    const char *id = task->request.resumes != NULL ? task->request.resumes
                                                   : task->request.id;

    return XXH3_64bits(id, strlen(id));
}

/* Asks the holders for the version of the stream. */
static ResumptionSurvey
look_up(const GateTask *task, HoldersAnswer *kept)
{
    const char *service = task->service->name;
    LookupQuestion question = {
        .request = get_origin(task),
        .service = XXH3_64bits(service, strlen(service)),
        .part = task->request.own_part,
        .has_part = task->request.has_own_part,
        .since_us = task->began_us,
    };

    return Lookup_Find(task->gate, service, &question, kept);
}

static void
bind_version(GateTask *task, uint32_t version, const char *source)
{
    const Fleet *fleet = task->gate->options.fleet;

    task->resuming = false;
    task->version = version;
    Log_WriteJson(
        LOG_LEVEL_INFO, "stream_resumed",
        json_pack("{s:s,s:s,s:I,s:s,s:s}", "request", task->request.id,
                  "resumes",
                  task->request.resumes != NULL ? task->request.resumes : "",
                  "last_event", (json_int_t)task->last_event, "version",
                  Fleet_GetVersionName(fleet, version), "source", source));
    if (!Fleet_HasVersion(fleet, task->service->name, version,
                          Task_Now(task))) {
        refuse(task, "no worker of the stream's software version");
        return;
    }
    Stream_Advance(task);
}

static void
refuse(GateTask *task, const char *cause)
{
    task->resuming = false;
    Met_Add(MET_RESUMPTIONS_REFUSED, 1);
    g_strlcpy(task->cause, cause, sizeof(task->cause));
    Task_Refuse(task, ADMISSION_NO_WORKER);
}

static const char *
get_survey_name(ResumptionSurvey survey)
{
    static const char *const names[] = {
        [RESUMPTION_NOT_ASKED] = "not asked",
        [RESUMPTION_ASKING] = "asking",
        [RESUMPTION_KEPT_BY_NONE] = "none keeps the prompt",
        [RESUMPTION_KEPT_BY_ONE_VERSION] = "one version keeps the prompt",
        [RESUMPTION_KEPT_BY_SEVERAL] = "several versions keep the prompt",
        [RESUMPTION_CANNOT_ASK] = "not all were asked",
    };

    return names[survey];
}

void
StreamResume_Recall(GateTask *task)
{
    const Origin *recorded =
        Origins_Find(&task->gate->origins, get_origin(task), Task_Now(task));

    if (recorded != NULL) {
        task->version = recorded->version;
        task->reader = recorded->worker;
    }
}

void
StreamResume_NoteBegun(GateTask *task)
{
    Gate *gate = task->gate;
    int64_t left_ms = MAX(task->request.left_ms, task->route->timeout_ms);
    Origin origin = {
        .request = get_origin(task),
        .version = task->current->version,
        .worker = task->current->worker->hash,
        .until_us =
            task->began_us + left_ms * CLK_US_PER_MS + RESUME_BEGIN_MARGIN_US,
    };

    task->version = origin.version;
    Origins_Set(&gate->origins, &origin, true, Task_Now(task));
    gate->options.on_load_change(gate->options.context);
    /* A lost VM logs no end of its streams. */
    Log_WriteJson(
        LOG_LEVEL_INFO, "stream_begun",
        json_pack("{s:s,s:s,s:s,s:s,s:I,s:s}", "request", task->request.id,
                  "resumes",
                  task->request.resumes != NULL ? task->request.resumes : "",
                  "service", task->service->name, "worker",
                  task->current->worker->entry.id, "born",
                  (json_int_t)task->current->worker->entry.born_ms, "version",
                  Fleet_GetVersionName(gate->options.fleet, origin.version)));
}
