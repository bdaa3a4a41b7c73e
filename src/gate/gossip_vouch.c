/* Proofs by gossip: a VM asks others for the age of their proof that the
   configuration is the newest (decide/key_lease.h). The answer counts from the
   time of the question on, so one that was delayed, or that waited while this
   process was stopped, proves no more than it did when it was sent. A lost
   question or answer costs time only. */
#include "gossip_message.h"

#include "../io/loop.h"
#include "../metrics.h"

/* Time between two looks whether a proof is needed; also between questions
   while the last proof is old. */
#define VOUCH_TICK_MS 250
/* Time between questions, less than one tick so that the third tick asks. */
#define VOUCH_INTERVAL_US (700 * CLK_US_PER_MS)
/* Time after which a question counts as unanswered, and another VM is asked.
 */
#define VOUCH_TIMEOUT_US (600 * CLK_US_PER_MS)
/* VMs asked at once in this region, and in others, while the proof is old. */
#define VOUCH_OLD_COUNT 2

static void on_timer(evutil_socket_t fd, short what, void *context);
static void ask(Gos *gos, bool is_near, uint32_t count);
static bool has_asked(const Gos *gos, uint64_t address, int64_t now_us);
static Peer *choose_voucher(const Gos *gos, bool is_near, int64_t now_us);
static void send_ask(Gos *gos, uint64_t address, int64_t now_us);
static void answer_ask(Gos *gos, const Gossip__News *news);
static void note_answer(Gos *gos, const Gossip__News *news);

void
Gos_BeginVouches(Gos *gos)
{
    if (gos->options.vouch.get_need != NULL) {
        gos->vouch_timer = evtimer_new(gos->options.base, on_timer, gos);
        Loop_ArmTimer(gos->vouch_timer, g_rand_int(gos->rand) % VOUCH_TICK_MS);
    }
}

void
Gos_EndVouches(Gos *gos)
{
    if (gos->vouch_timer != NULL) {
        event_free(gos->vouch_timer);
    }
}

bool
Gos_HandleVouches(Gos *gos, const Gossip__News *news)
{
    const GosVouchOptions *options = &gos->options.vouch;

    if (options->get_need != NULL) {
        options->on_era(options->context, news->era);
    }
    if (news->vouch_ask == 0 && news->vouch == NULL) {
        return false;
    }
    if (options->get_need != NULL && news->vouch_ask != 0) {
        answer_ask(gos, news);
    }
    if (options->get_need != NULL && news->vouch != NULL) {
        note_answer(gos, news);
    }
    return true;
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Gos *gos = context;
    const GosVouchOptions *options = &gos->options.vouch;
    int64_t now_us = options->get_now(options->context);
    GosVouchNeed need = options->get_need(options->context);

    (void)fd;
    (void)what;
    if (need == GOS_VOUCH_ALL) {
        ask(gos, true, VOUCH_OLD_COUNT);
        ask(gos, false, VOUCH_OLD_COUNT);
    }
    else if (need == GOS_VOUCH_NEAR &&
             now_us - gos->vouch_asked_us >= VOUCH_INTERVAL_US) {
        ask(gos, true, 1);
    }
    Loop_ArmTimer(gos->vouch_timer, VOUCH_TICK_MS);
}

/* Asks VMs of this region or of others, each one once at a time. */
static void
ask(Gos *gos, bool is_near, uint32_t count)
{
    const GosVouchOptions *options = &gos->options.vouch;
    int64_t now_us = options->get_now(options->context);

    for (uint32_t i = 0; i < count; i++) {
        const Peer *peer = choose_voucher(gos, is_near, now_us);
        if (peer == NULL) {
            return;
        }
        send_ask(gos, peer->address, now_us);
    }
}

/* Whether a question to this VM is open. */
static bool
has_asked(const Gos *gos, uint64_t address, int64_t now_us)
{
    for (size_t i = 0; i < G_N_ELEMENTS(gos->vouch_asks); i++) {
        const GosVouchAsk *row = &gos->vouch_asks[i];
        if (row->number != 0 && row->address == address &&
            now_us - row->asked_us < VOUCH_TIMEOUT_US) {
            return true;
        }
    }
    return false;
}

/* Returns a random VM, one that watches the source if there is one, or NULL.
   VMs of other regions are asked unheard, if another VM has told that they
   answer. */
static Peer *
choose_voucher(const Gos *gos, bool is_near, int64_t now_us)
{
    Peer *peer = NULL;
    Peer *chosen = NULL;
    bool is_chosen_watching = false;
    uint32_t count = 0;

    LIST_FOREACH(peer, &gos->peers.list, links)
    {
        bool is_live = Peers_IsLive(&gos->peers, peer);
        bool is_watching = peer->watches && is_live;
        bool is_same = peer->region == gos->peers.options.region;
        if ((peer->serves & GATE_SERVES_VOUCHES) == 0 || is_same != is_near ||
            (is_near && !is_live) || (is_live && peer->is_stopping) ||
            has_asked(gos, peer->address, now_us) ||
            (is_chosen_watching && !is_watching)) {
            continue;
        }
        count = is_watching && !is_chosen_watching ? 1 : count + 1;
        if (g_rand_int(gos->rand) % count == 0) {
            chosen = peer;
            is_chosen_watching = is_watching;
        }
    }
    return chosen;
}

static void
send_ask(Gos *gos, uint64_t address, int64_t now_us)
{
    GosVouchAsk *row = &gos->vouch_asks[gos->next_vouch_ask];
    Gossip__Table no_load;
    GosMessage message;

    gos->next_vouch_ask =
        (gos->next_vouch_ask + 1) % G_N_ELEMENTS(gos->vouch_asks);
    /* Random, so that no answer to an earlier process at this address fits. */
    row->number = MAX(g_random_int(), 1);
    row->address = address;
    row->asked_us = now_us;
    gos->vouch_asked_us = now_us;
    Gos_BeginWithoutLoad(gos, &message, &no_load);
    message.news.vouch_ask = row->number;
    Gos_PackMessage(&message);
    Gos_SendTo(gos, address, &message);
    Met_Add(MET_VOUCHES_ASKED, 1);
}

static void
answer_ask(Gos *gos, const Gossip__News *news)
{
    const GosVouchOptions *options = &gos->options.vouch;
    Gossip__Vouch vouch;
    Gossip__Table no_load;
    GosMessage message;
    int64_t age_us;

    if (!options->get_proof_age(options->context, &age_us)) {
        return;
    }
    gossip__vouch__init(&vouch);
    vouch.number = news->vouch_ask;
    vouch.age_ms =
        (uint32_t)MIN(age_us / CLK_US_PER_MS + 1, (int64_t)UINT32_MAX);
    Gos_BeginWithoutLoad(gos, &message, &no_load);
    message.news.vouch = &vouch;
    Gos_PackMessage(&message);
    Gos_SendTo(gos, news->address, &message);
    Met_Add(MET_VOUCHES_GIVEN, 1);
}

static void
note_answer(Gos *gos, const Gossip__News *news)
{
    const GosVouchOptions *options = &gos->options.vouch;
    char address[FLEET_ADDRESS_MAX];
    GosVersions versions = {
        .config_version = news->config_version,
        .position = {news->era, news->revision},
        .digest = news->digest,
        .watches = news->watches,
    };

    for (size_t i = 0; i < G_N_ELEMENTS(gos->vouch_asks); i++) {
        GosVouchAsk *row = &gos->vouch_asks[i];
        if (row->number == news->vouch->number &&
            row->address == news->address) {
            row->number = 0;
            Gos_FormatAddress(news->address, address);
            if (!options->on_vouch(options->context, address,
                                   row->asked_us -
                                       (int64_t)news->vouch->age_ms *
                                           CLK_US_PER_MS,
                                   &versions)) {
                /* Asked again with the next tick, once it is up to date. */
                gos->vouch_asked_us = 0;
            }
            return;
        }
    }
}
