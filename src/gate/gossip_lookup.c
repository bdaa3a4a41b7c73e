/* Lookups of gossip: questions for the software versions of streams, and their
   answers. See lookup.h and gossip_message.h. */
#include "gossip_message.h"

/* Values of Found.kept. */
enum {
    KEPT_ASKING = 1,
    KEPT_BY_NONE = 2,
    KEPT_BY_ONE = 3,
    KEPT_BY_SEVERAL = 4,
};

G_STATIC_ASSERT(KEPT_BY_SEVERAL == GOS_KEPT_MAX);
G_STATIC_ASSERT(LOOKUP_QUESTIONS_MAX <= GOS_ORIGINS_MAX);

static void answer_all(Gos *gos, const Gossip__News *news);
static uint32_t encode_kept(ResumptionSurvey survey);
static ResumptionSurvey decode_kept(uint32_t kept);

void
Gos_SendLookups(Gos *gos, uint64_t holder, const LookupQuestion *rows,
                uint32_t count)
{
    Gossip__Lookup questions[LOOKUP_QUESTIONS_MAX];
    Gossip__Lookup *pointers[LOOKUP_QUESTIONS_MAX];
    int64_t now_us = Clk_Now(gos->options.clk);
    Gossip__Table no_load;
    GosMessage message;

    Gos_BeginWithoutLoad(gos, &message, &no_load);
    message.news.lookups = pointers;
    message.news.n_lookups = MIN(count, LOOKUP_QUESTIONS_MAX);
    for (size_t i = 0; i < message.news.n_lookups; i++) {
        Gossip__Lookup *row = &questions[i];
        gossip__lookup__init(row);
        row->request = rows[i].request;
        row->service = rows[i].service;
        row->part = rows[i].part;
        row->has_part = rows[i].has_part;
        row->anew = rows[i].since_us != 0;
        row->age_ms =
            row->anew
                ? (uint32_t)(MAX(now_us - rows[i].since_us, 0) / CLK_US_PER_MS)
                : 0;
        pointers[i] = row;
    }
    Gos_PackMessage(&message);
    Gos_SendTo(gos, holder, &message);
}

bool
Gos_HandleLookups(Gos *gos, const Gossip__News *news)
{
    if (news->n_lookups == 0 && news->n_found == 0) {
        return false;
    }
    if (gos->options.answer_lookup == NULL) {
        return true;
    }
    for (size_t i = 0; i < news->n_found; i++) {
        const Gossip__Found *from = news->found[i];
        LookupAnswer answer = {
            .request = from->request,
            .survey = decode_kept(from->kept),
            .version = from->version,
            .worker = from->worker,
        };
        gos->options.on_lookup_answer(gos->options.context, news->address,
                                      &answer);
    }
    if (news->n_lookups > 0) {
        answer_all(gos, news);
    }
    return true;
}

static void
answer_all(Gos *gos, const Gossip__News *news)
{
    Gossip__Found rows[LOOKUP_QUESTIONS_MAX];
    Gossip__Found *pointers[LOOKUP_QUESTIONS_MAX];
    int64_t now_us = Clk_Now(gos->options.clk);
    Gossip__Table no_load;
    GosMessage message;

    Gos_BeginWithoutLoad(gos, &message, &no_load);
    message.news.found = pointers;
    for (size_t i = 0; i < MIN(news->n_lookups, LOOKUP_QUESTIONS_MAX); i++) {
        const Gossip__Lookup *from = news->lookups[i];
        LookupQuestion question = {
            .request = from->request,
            .service = from->service,
            .part = from->part,
            .has_part = from->has_part,
            .since_us = from->anew
                            ? now_us - (int64_t)from->age_ms * CLK_US_PER_MS
                            : 0,
        };
        const Origin *origin = NULL;
        LookupAnswer answer = gos->options.answer_lookup(gos->options.context,
                                                         &question, &origin);
        Gossip__Found *row = &rows[message.news.n_found];

        if (origin != NULL) {
            Gos_AddOrigin(gos, &message, origin);
        }
        gossip__found__init(row);
        row->request = answer.request;
        row->kept = encode_kept(answer.survey);
        row->version = answer.version;
        row->worker = answer.worker;
        pointers[message.news.n_found++] = row;
    }
    Gos_PackMessage(&message);
    Gos_SendTo(gos, news->address, &message);
}

static uint32_t
encode_kept(ResumptionSurvey survey)
{
    switch (survey) {
    case RESUMPTION_ASKING:
        return KEPT_ASKING;
    case RESUMPTION_KEPT_BY_NONE:
        return KEPT_BY_NONE;
    case RESUMPTION_KEPT_BY_ONE_VERSION:
        return KEPT_BY_ONE;
    case RESUMPTION_KEPT_BY_SEVERAL:
        return KEPT_BY_SEVERAL;
    case RESUMPTION_NOT_ASKED:
    case RESUMPTION_CANNOT_ASK:
        break;
    }
    return 0;
}

static ResumptionSurvey
decode_kept(uint32_t kept)
{
    switch (kept) {
    case KEPT_ASKING:
        return RESUMPTION_ASKING;
    case KEPT_BY_NONE:
        return RESUMPTION_KEPT_BY_NONE;
    case KEPT_BY_ONE:
        return RESUMPTION_KEPT_BY_ONE_VERSION;
    case KEPT_BY_SEVERAL:
        return RESUMPTION_KEPT_BY_SEVERAL;
    default:
        return RESUMPTION_NOT_ASKED;
    }
}
