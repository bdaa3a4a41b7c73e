/* Lookup: which version began a stream, by other VMs. See lookup.h. */
#include "lookup.h"
#include "task.h"

#include "../io/loop.h"

#include <string.h>

typedef struct Lookup {
    TAILQ_ENTRY(Lookup) links;
    LookupQuestion question; /* As it is sent. */
    int64_t asked_us;        /* Arrival of the request. */
    int64_t began_us;
    int64_t sent_us; /* When the holders were last asked. */
    bool is_due;     /* They are to be asked. */
    bool is_over;    /* It was decided. */
    HoldersAnswers answers;
} Lookup;

struct Lookups {
    Gate *gate;
    GHashTable *rows; /* Lookup.question.request to Lookup. */
    TAILQ_HEAD(LookupList, Lookup) list; /* The latest one first. */
    struct event *timer;                 /* Pending while a lookup is due. */
};

static Lookup *find(const Gate *gate, uint64_t request);
static Lookup *add(Lookups *lookups, const LookupQuestion *question,
                   int64_t now_us);
static void drop(Lookups *lookups, Lookup *lookup);
static void set_due(Lookups *lookups, Lookup *lookup);
static void on_timer(evutil_socket_t fd, short what, void *context);
static void send_due(const Lookups *lookups, uint64_t holder);
static void note_own(Gate *gate, const char *service, uint64_t self,
                     Lookup *lookup);
static bool is_over(const Lookup *lookup, int64_t now_us);

Lookups *
Lookup_New(Gate *gate)
{
    Lookups *lookups = g_new0(Lookups, 1);

    lookups->gate = gate;
    lookups->rows = g_hash_table_new(g_int64_hash, g_int64_equal);
    TAILQ_INIT(&lookups->list);
    lookups->timer = evtimer_new(gate->options.base, on_timer, lookups);
    return lookups;
}

void
Lookup_Free(Lookups *lookups)
{
    while (!TAILQ_EMPTY(&lookups->list)) {
        drop(lookups, TAILQ_FIRST(&lookups->list));
    }
    event_free(lookups->timer);
    g_hash_table_destroy(lookups->rows);
    g_free(lookups);
}

ResumptionSurvey
Lookup_Find(Gate *gate, const char *service, const LookupQuestion *question,
            HoldersAnswer *kept)
{
    Lookups *lookups = gate->lookups;
    int64_t now_us = Clk_Now(gate->options.clk);
    Lookup *lookup = find(gate, question->request);
    Holders holders = {0};
    ResumptionSurvey survey;
    GArray *workers;

    if (lookup != NULL && lookup->is_over &&
        lookup->asked_us < question->since_us) {
        drop(lookups, lookup);
        lookup = NULL;
    }
    if (lookup == NULL) {
        lookup = add(lookups, question, now_us);
    }
    if (lookup == NULL) {
        return RESUMPTION_CANNOT_ASK;
    }
    gate->options.list_holders(gate->options.context, &holders);
    if (Holders_Contains(&holders, holders.self)) {
        note_own(gate, service, holders.self, lookup);
    }
    workers = Survey_ListWorkers(gate, service);
    survey = Holders_Judge(&holders, &lookup->answers,
                           (const uint64_t *)workers->data, workers->len,
                           is_over(lookup, now_us), kept);
    g_array_free(workers, TRUE);
    if (survey == RESUMPTION_KEPT_BY_NONE && lookup->question.since_us == 0 &&
        question->has_part) {
        lookup->question.since_us = lookup->asked_us;
        lookup->began_us = now_us;
        lookup->answers.count = 0;
        set_due(lookups, lookup);
        return RESUMPTION_ASKING;
    }
    if (survey != RESUMPTION_ASKING) {
        lookup->is_over = true;
        return question->has_part ? survey : RESUMPTION_CANNOT_ASK;
    }
    if (now_us - lookup->sent_us >= LOOKUP_REPEAT_US) {
        set_due(lookups, lookup);
    }
    return survey;
}

uint32_t
Lookup_CountAnswers(const Gate *gate, uint64_t request, uint32_t *holders)
{
    const Lookup *lookup = find(gate, request);
    Holders known = {0};
    uint32_t count = 0;

    gate->options.list_holders(gate->options.context, &known);
    for (uint32_t i = 0; i < known.count && lookup != NULL; i++) {
        count += Holders_HasAnswered(&lookup->answers, known.addresses[i]);
    }
    *holders = known.count;
    return count;
}

LookupAnswer
Lookup_Answer(Gate *gate, const LookupQuestion *question,
              const Origin **origin)
{
    LookupAnswer answer = {.request = question->request,
                           .survey = RESUMPTION_NOT_ASKED};
    const RteService *service =
        Rte_FindServiceByHash(gate->table, question->service);
    Holders holders = {0};
    SurveyPart kept = {0};

    *origin = Origins_Find(&gate->origins, question->request,
                           Clk_Now(gate->options.clk));
    gate->options.list_holders(gate->options.context, &holders);
    if (*origin != NULL || service == NULL ||
        !Holders_Contains(&holders, holders.self)) {
        return answer;
    }
    answer.survey = question->has_part
                        ? Survey_Find(gate, service->name, question->part,
                                      question->since_us, &kept)
                        : RESUMPTION_KEPT_BY_NONE;
    answer.version = kept.version;
    answer.worker = kept.worker;
    return answer;
}

void
Lookup_NoteAnswer(Gate *gate, uint64_t holder, const LookupAnswer *answer)
{
    Lookup *lookup = find(gate, answer->request);
    HoldersAnswer row = {
        .holder = holder,
        .survey = answer->survey,
        .version = answer->version,
        .worker = answer->worker,
    };

    if (lookup != NULL) {
        Holders_NoteAnswer(&lookup->answers, &row);
    }
}

static Lookup *
find(const Gate *gate, uint64_t request)
{
    return g_hash_table_lookup(gate->lookups->rows, &request);
}

/* Drops lookups that are over, and adds one; returns NULL if there are
   LOOKUPS_MAX. */
static Lookup *
add(Lookups *lookups, const LookupQuestion *question, int64_t now_us)
{
    Lookup *lookup;

    while ((lookup = TAILQ_LAST(&lookups->list, LookupList)) != NULL &&
           now_us - lookup->began_us > 2 * LOOKUP_ASKING_TIMEOUT_US) {
        drop(lookups, lookup);
    }
    if (g_hash_table_size(lookups->rows) >= LOOKUPS_MAX) {
        Met_Add(MET_LOOKUPS_DROPPED, 1);
        return NULL;
    }
    Met_Add(MET_LOOKUPS, 1);
    lookup = g_new0(Lookup, 1);
    lookup->question = *question;
    lookup->question.since_us = 0;
    lookup->asked_us = question->since_us;
    lookup->began_us = now_us;
    g_hash_table_insert(lookups->rows, &lookup->question.request, lookup);
    TAILQ_INSERT_HEAD(&lookups->list, lookup, links);
    set_due(lookups, lookup);
    return lookup;
}

static void
drop(Lookups *lookups, Lookup *lookup)
{
    g_hash_table_remove(lookups->rows, &lookup->question.request);
    TAILQ_REMOVE(&lookups->list, lookup, links);
    g_free(lookup);
}

/* The time counts as that of sending, as it follows soon. */
static void
set_due(Lookups *lookups, Lookup *lookup)
{
    lookup->is_due = true;
    lookup->sent_us = Clk_Now(lookups->gate->options.clk);
    if (!event_pending(lookups->timer, EV_TIMEOUT, NULL)) {
        Loop_ArmTimer(lookups->timer, LOOKUP_COLLECT_MS);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Lookups *lookups = context;
    const GateOptions *options = &lookups->gate->options;
    Holders holders = {0};
    Lookup *lookup = NULL;

    (void)fd;
    (void)what;
    options->list_holders(options->context, &holders);
    for (uint32_t i = 0; i < holders.count; i++) {
        if (holders.addresses[i] != holders.self) {
            send_due(lookups, holders.addresses[i]);
        }
    }
    TAILQ_FOREACH(lookup, &lookups->list, links)
    {
        lookup->is_due = false;
    }
}

/* Sends what is due to a holder that has not answered it. */
static void
send_due(const Lookups *lookups, uint64_t holder)
{
    const GateOptions *options = &lookups->gate->options;
    LookupQuestion rows[LOOKUP_QUESTIONS_MAX];
    uint32_t count = 0;
    const Lookup *lookup = NULL;

    TAILQ_FOREACH(lookup, &lookups->list, links)
    {
        if (!lookup->is_due || Holders_HasAnswered(&lookup->answers, holder)) {
            continue;
        }
        rows[count++] = lookup->question;
        if (count == LOOKUP_QUESTIONS_MAX) {
            options->send_lookups(options->context, holder, rows, count);
            count = 0;
        }
    }
    if (count > 0) {
        options->send_lookups(options->context, holder, rows, count);
    }
}

/* Notes what this VM's own workers told. */
static void
note_own(Gate *gate, const char *service, uint64_t self, Lookup *lookup)
{
    const LookupQuestion *question = &lookup->question;
    SurveyPart kept = {0};
    LookupAnswer answer = {
        .request = question->request,
        .survey = question->has_part
                      ? Survey_Find(gate, service, question->part,
                                    question->since_us, &kept)
                      : RESUMPTION_KEPT_BY_NONE,
    };

    answer.version = kept.version;
    answer.worker = kept.worker;
    Lookup_NoteAnswer(gate, self, &answer);
}

static bool
is_over(const Lookup *lookup, int64_t now_us)
{
    int64_t timeout_us = LOOKUP_TIMEOUT_US;

    for (uint32_t i = 0; i < lookup->answers.count; i++) {
        if (lookup->answers.rows[i].survey == RESUMPTION_ASKING) {
            timeout_us = LOOKUP_ASKING_TIMEOUT_US;
        }
    }
    return now_us - lookup->began_us >= timeout_us;
}
