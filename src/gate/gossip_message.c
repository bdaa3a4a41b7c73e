/* Messages of gossip: contents and encoding. See gossip_message.h. */
#include "gossip_message.h"

#include "../metrics.h"

static bool has_unknown_fields(const ProtobufCMessage *message);
static uint32_t get_own_serves(const GosOptions *options);
static void add_suspects(const Gos *gos, GosMessage *message);
static void add_limits(Gos *gos, GosMessage *message);
static guint fill_demands(const Report *report, Gossip__Demand *rows,
                          GosRooms *rooms, Gossip__Demand **demands);
static void fill_looks(const UrgencyLooks *from, GosRooms *rooms,
                       Gossip__Demand *to);
static void fill_rooms(const ReportRooms *from, GosRooms *rooms,
                       Gossip__Demand *to);
static void encode_kv(const Forecast *kv, uint32_t *later);

void
Gos_BeginMessage(Gos *gos, GosMessage *message)
{
    const GosOptions *options = &gos->options;
    Gossip__News *news = &message->news;

    if (options->update_load != NULL) {
        options->update_load(options->context);
    }

    gossip__news__init(news);
    news->vm = (char *)options->vm;
    news->incarnation = options->incarnation;
    news->number = ++gos->sequence;
    news->address = gos->address;
    news->region = gos->peers.options.region;
    news->capacity = options->capacity;
    news->vms = Peers_CountLive(&gos->peers) + 1;
    news->most_vms = Gos_GetMostVms(gos);
    if (options->get_versions != NULL) {
        GosVersions own = options->get_versions(options->context);
        news->config_version = own.config_version;
        news->era = own.position.era;
        news->revision = own.position.revision;
        news->digest = own.digest;
        news->watches = own.watches;
    }
    news->uses = message->uses;
    news->peers = message->peers;
    news->origins = message->origins;
    news->hubs = message->hubs;
    news->demands = message->demands;
    news->n_demands = fill_demands(&gos->own, message->demand_rows,
                                   message->rooms, message->demands);
    if (options->suspects != NULL) {
        add_suspects(gos, message);
    }
    add_limits(gos, message);
    if (options->list_cut != NULL) {
        news->cut = message->cut;
        news->n_cut =
            options->list_cut(options->context, message->cut, PEERS_CUT_MAX);
    }
    news->serves = get_own_serves(options);
    if (options->list_reaches != NULL) {
        news->answers_reach = true;
        Gos_AddReaches(gos, message);
    }
    news->stopping =
        options->is_stopping != NULL && options->is_stopping(options->context);
}

void
Gos_BeginWithoutLoad(Gos *gos, GosMessage *message, Gossip__Table *no_load)
{
    Gos_BeginMessage(gos, message);
    gossip__table__init(no_load);
    message->news.table = no_load;
    message->news.n_demands = 0;
    message->news.n_suspects = 0;
    message->news.n_limits = 0;
}

static uint32_t
get_own_serves(const GosOptions *options)
{
    return (options->list_reaches != NULL ? GATE_SERVES_REACH : 0) |
           (options->answer_lookup != NULL ? GATE_SERVES_LOOKUPS : 0) |
           (options->serves_detours ? GATE_SERVES_DETOURS : 0) |
           (options->lend != NULL ? GATE_SERVES_LOANS : 0) |
           (options->vouch.get_need != NULL ? GATE_SERVES_VOUCHES : 0);
}

uint32_t
Gos_DecodeServes(const Gossip__News *news)
{
    if (news->serves == 0 && news->answers_reach) {
        return GATE_SERVES_KNOWN;
    }
    return news->serves;
}

bool
Gos_HasUnknown(const Gossip__News *news)
{
    bool has_unknown = (news->serves & ~(uint32_t)GATE_SERVES_ALL) != 0;

    for (size_t i = 0; i < news->n_found && !has_unknown; i++) {
        has_unknown = news->found[i]->kept > GOS_KEPT_MAX;
    }
    return has_unknown || has_unknown_fields(&news->base);
}

static bool
has_unknown_fields(const ProtobufCMessage *message)
{
    const ProtobufCMessageDescriptor *type = message->descriptor;
    const uint8_t *bytes = (const uint8_t *)message;

    if (message->n_unknown_fields > 0) {
        return true;
    }
    for (unsigned i = 0; i < type->n_fields; i++) {
        const ProtobufCFieldDescriptor *field = &type->fields[i];
        const void *at = bytes + field->offset;
        if (field->type != PROTOBUF_C_TYPE_MESSAGE) {
            continue;
        }
        if (field->label != PROTOBUF_C_LABEL_REPEATED) {
            const ProtobufCMessage *inner = *(ProtobufCMessage *const *)at;
            if (inner != NULL && has_unknown_fields(inner)) {
                return true;
            }
            continue;
        }
        for (size_t k = 0;
             k < *(const size_t *)(bytes + field->quantifier_offset); k++) {
            if (has_unknown_fields((*(ProtobufCMessage * *const *)at)[k])) {
                return true;
            }
        }
    }
    return false;
}

/* Adds parts of prompts under which workers crashed. */
static void
add_suspects(const Gos *gos, GosMessage *message)
{
    Gossip__News *news = &message->news;
    int64_t now_us = Clk_Now(gos->options.clk);
    SuspectsRow rows[GOS_SUSPECTS_MAX];
    uint32_t count = Suspects_Collect(gos->options.suspects, rows,
                                      GOS_SUSPECTS_MAX, now_us);

    for (uint32_t i = 0; i < count; i++) {
        const SuspectsRow *from = &rows[i];
        Gossip__Suspect *to = &message->suspect_rows[i];
        gossip__suspect__init(to);
        to->part = from->part;
        to->depth = from->depth;
        to->sound_age_ms = Gos_EncodeAge(from->sound_us, now_us);
        to->probe_age_ms = Gos_EncodeAge(from->probe_us, now_us);
        to->crashes = message->crashes + (size_t)i * SUSPECTS_CRASHES_MAX;
        to->n_crashes = from->crash_count;
        for (uint32_t k = 0; k < from->crash_count; k++) {
            Gossip__Crash *crash =
                &message->crash_rows[i * SUSPECTS_CRASHES_MAX + k];
            gossip__crash__init(crash);
            crash->worker = from->crashes[k].worker;
            crash->age_ms = Gos_EncodeAge(from->crashes[k].at_us, now_us);
            crash->weight = from->crashes[k].weight;
            crash->lead_ms = (uint32_t)((from->crashes[k].at_us -
                                         from->crashes[k].began_us) /
                                        CLK_US_PER_MS);
            to->crashes[k] = crash;
        }
        message->suspects[i] = to;
    }
    news->suspects = message->suspects;
    news->n_suspects = count;
}

bool
Gos_MergeSuspects(const Gos *gos, const Gossip__News *news)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    bool changed = false;

    for (size_t i = 0; i < news->n_suspects && gos->options.suspects != NULL;
         i++) {
        const Gossip__Suspect *from = news->suspects[i];
        SuspectsRow row = {
            .part = from->part,
            .depth = from->depth,
            .sound_us = Gos_DecodeAge(from->sound_age_ms, now_us),
            .probe_us = Gos_DecodeAge(from->probe_age_ms, now_us),
        };
        for (size_t k = 0;
             k < from->n_crashes && row.crash_count < SUSPECTS_CRASHES_MAX;
             k++) {
            const Gossip__Crash *crash = from->crashes[k];
            SuspectsCrash *to = &row.crashes[row.crash_count++];
            to->worker = crash->worker;
            to->at_us = Gos_DecodeAge(crash->age_ms, now_us);
            to->began_us = to->at_us - (int64_t)crash->lead_ms * CLK_US_PER_MS;
            to->weight =
                crash->weight >= SUSPECTS_FULL ? SUSPECTS_FULL : SUSPECTS_WEAK;
        }
        changed |= Suspects_Merge(gos->options.suspects, &row, now_us);
    }
    return changed;
}

/* Adds limits that workers name or that were lifted lately, other ones each
   time. */
static void
add_limits(Gos *gos, GosMessage *message)
{
    const GPtrArray *rows = gos->options.fleet->rows;
    int64_t now_us = Clk_Now(gos->options.clk);
    Gossip__News *news = &message->news;
    guint i;

    news->limits = message->limits;
    for (i = 0; i < rows->len && news->n_limits < GOS_LIMITS_MAX; i++) {
        const FleetWorker *worker =
            g_ptr_array_index(rows, (gos->next_limit + i) % rows->len);
        const Throttle *throttle = &worker->throttle;
        Gossip__Limit *row = &message->limit_rows[news->n_limits];
        if (throttle->told_us == 0 ||
            (!Throttle_IsLimited(throttle) &&
             now_us - throttle->told_us > GOS_LIMIT_NEWS_US)) {
            continue;
        }
        gossip__limit__init(row);
        row->worker = worker->hash;
        row->requests_per_s = (float)throttle->limit;
        row->age_ms = Gos_EncodeAge(throttle->told_us, now_us);
        message->limits[news->n_limits++] = row;
    }
    gos->next_limit = rows->len > 0 ? (gos->next_limit + i) % rows->len : 0;
}

void
Gos_MergeLimits(const Gos *gos, const Gossip__News *news)
{
    int64_t now_us = Clk_Now(gos->options.clk);

    for (size_t i = 0; i < news->n_limits; i++) {
        const Gossip__Limit *from = news->limits[i];
        FleetWorker *worker =
            Fleet_FindByHash(gos->options.fleet, from->worker);
        double limit =
            from->requests_per_s > 0 ? from->requests_per_s : THROTTLE_NONE;
        if (worker != NULL &&
            Throttle_NoteLimit(&worker->throttle, limit,
                               Gos_DecodeAge(from->age_ms, now_us),
                               g_rand_double(gos->rand), now_us) &&
            gos->options.on_limit_change != NULL) {
            gos->options.on_limit_change(gos->options.context, worker);
        }
    }
}

void
Gos_AddOrigins(const Gos *gos, GosMessage *message)
{
    Origins *origins = gos->options.origins;
    int64_t now_us = Clk_Now(gos->options.clk);
    Gossip__News *news = &message->news;
    Origin *origin = NULL;

    while (origins != NULL && news->n_origins < GOS_ORIGINS_MAX &&
           (origin = Origins_NextToTell(origins, origin, now_us)) != NULL) {
        Gos_AddOrigin(gos, message, origin);
        Origins_NoteTold(origins, origin);
    }
}

void
Gos_AddOrigin(const Gos *gos, GosMessage *message, const Origin *origin)
{
    Gossip__News *news = &message->news;
    Gossip__Origin *row = &message->origin_rows[news->n_origins];
    int64_t left_us = origin->until_us - Clk_Now(gos->options.clk);

    gossip__origin__init(row);
    row->request = origin->request;
    row->version = origin->version;
    row->worker = origin->worker;
    row->left_ms = (uint32_t)(left_us / CLK_US_PER_MS);
    message->origins[news->n_origins++] = row;
}

void
Gos_MergeOrigins(const Gos *gos, const Gossip__News *news)
{
    int64_t now_us = Clk_Now(gos->options.clk);

    for (size_t i = 0; i < news->n_origins && gos->options.origins != NULL;
         i++) {
        const Gossip__Origin *from = news->origins[i];
        Origin origin = {
            .request = from->request,
            .version = from->version,
            .worker = from->worker,
            .until_us = now_us + (int64_t)from->left_ms * CLK_US_PER_MS,
        };
        if (from->version != 0) {
            Origins_Set(gos->options.origins, &origin, false, now_us);
        }
    }
}

uint32_t
Gos_EncodeAge(int64_t at_us, int64_t now_us)
{
    return at_us == 0 ? 0
                      : (uint32_t)(MAX(now_us - at_us, 0) / CLK_US_PER_MS) + 1;
}

int64_t
Gos_DecodeAge(uint32_t age_ms, int64_t now_us)
{
    return age_ms == 0 ? 0 : now_us - (int64_t)(age_ms - 1) * CLK_US_PER_MS;
}

void
Gos_AddUses(Gos *gos, GosMessage *message)
{
    const GPtrArray *rows = gos->options.fleet->rows;
    int64_t now_us = Clk_Now(gos->options.clk);

    for (guint i = 0; i < rows->len; i++) {
        Gossip__Use *row = NULL;
        ReportUse use;
        if (!Gos_GetOwnUse(g_ptr_array_index(rows, i), now_us, &use)) {
            continue;
        }
        if (message->news.n_uses == GOS_USES_MAX) {
            Met_Add(MET_USES_UNTOLD, 1);
            continue;
        }
        row = &message->use_rows[message->news.n_uses];
        gossip__use__init(row);
        row->worker = use.worker->hash;
        row->inflight = use.inflight;
        row->reading = (uint32_t)use.prefill_tokens;
        row->held = (uint32_t)use.kv.tokens[0];
        row->later = message->later + message->news.n_uses * GOS_LATER_POINTS;
        row->n_later = GOS_LATER_POINTS;
        encode_kv(&use.kv, row->later);
        row->silent = use.unreachable > 0;
        row->changing = use.phase_changes > 0;
        row->leaving = use.leaving > 0;
        Gos_FillUsePace(row, use.worker, gos->peers.is_mesh, now_us);
        message->uses[message->news.n_uses++] = row;
    }
}

void
Gos_AddPeers(Gos *gos, GosMessage *message)
{
    Gossip__News *news = &message->news;
    const Peer *peer = NULL;

    LIST_FOREACH(peer, &gos->peers.list, links)
    {
        /* The message holds a random few: once it is full, a later peer may
           replace an earlier one. */
        guint at =
            news->n_peers < GOS_PEERS_MAX
                ? (guint)news->n_peers
                : (guint)g_rand_int_range(gos->rand, 0, 2 * GOS_PEERS_MAX);
        if (Peers_IsLive(&gos->peers, peer) && at < GOS_PEERS_MAX) {
            message->peers[at] = peer->address;
            news->n_peers = MAX(news->n_peers, at + 1);
        }
    }
}

void
Gos_AddHubs(Gos *gos, GosMessage *message)
{
    const Peers *peers = &gos->peers;
    int64_t now_us = Clk_Now(gos->options.clk);
    Gossip__News *news = &message->news;
    const Peer *peer = NULL;

    LIST_FOREACH(peer, &peers->list, links)
    {
        bool is_hub = false;
        Gossip__Hub *row = &message->hub_rows[news->n_hubs];
        for (guint i = 0; i < peers->hubs_count && !is_hub; i++) {
            is_hub = peers->hubs[i].region == peer->region &&
                     Hubs_Contains(&peers->hubs[i].choice, peer->address);
        }
        if (!is_hub) {
            continue;
        }
        gossip__hub__init(row);
        row->address = peer->address;
        row->region = peer->region;
        row->capacity = peer->capacity;
        row->age_ms = (uint32_t)((now_us - peer->heard_us) / CLK_US_PER_MS);
        /* Only what the hub said to this VM is passed on. */
        row->serves_told =
            peer->received_us != 0 && peer->serves_us == peer->received_us
                ? peer->serves + 1
                : 0;
        message->hubs[news->n_hubs++] = row;
        if (news->n_hubs == GOS_HUBS_MAX) {
            return;
        }
    }
}

void
Gos_PackMessage(GosMessage *message)
{
    Gossip__News *news = &message->news;

    while (gossip__news__get_packed_size(news) > GOS_MESSAGE_MAX_BYTES &&
           news->n_uses > 0) {
        news->n_uses--;
        Met_Add(MET_USES_UNTOLD, 1);
    }
    while (gossip__news__get_packed_size(news) > GOS_MESSAGE_MAX_BYTES &&
           news->n_suspects + news->n_limits + news->n_origins +
                   news->n_reaches + news->n_proxies >
               0) {
        if (news->n_proxies > 0) {
            news->n_proxies--;
        }
        else if (news->n_suspects > 0) {
            news->n_suspects--;
        }
        else if (news->n_origins > 0) {
            news->n_origins--;
        }
        else if (news->n_limits > 0) {
            news->n_limits--;
        }
        else {
            news->n_reaches--;
        }
    }
    message->size =
        gossip__news__get_packed_size(news) <= GOS_MESSAGE_MAX_BYTES
            ? gossip__news__pack(news, message->data)
            : 0;
    Met_Add(MET_PEER_MESSAGES_TOO_LARGE, message->size == 0);
}

bool
Gos_FillTablePart(GosTablePart *part, const Report *report, uint32_t number,
                  uint32_t count, int64_t now_us)
{
    Gossip__Table *table = &part->table;
    size_t n = 0;
    bool is_whole = true;

    table->part = number;
    table->parts = count;
    table->workers = part->workers;
    table->inflight = part->inflight;
    table->reading = part->reading;
    table->held = part->held;
    table->silent = part->silent;
    table->changing = part->changing;
    table->leaving = part->leaving;
    table->demands = part->demands;
    for (guint i = 0; i < report->uses->len; i++) {
        const ReportUse *use = &g_array_index(report->uses, ReportUse, i);
        if (use->worker->hash % count != number) {
            continue;
        }
        if (n == GOS_TABLE_ROWS_MAX) {
            is_whole = false;
            break;
        }
        part->workers[n] = use->worker->hash;
        part->inflight[n] = use->inflight;
        part->reading[n] = (uint32_t)use->prefill_tokens;
        part->held[n] = (uint32_t)use->kv.tokens[0];
        encode_kv(&use->kv, part->later + n * GOS_LATER_POINTS);
        Gos_FillTablePace(part, use->worker, n, now_us);
        n++;
        if (use->unreachable > 0) {
            part->silent[table->n_silent++] = use->worker->hash;
        }
        if (use->phase_changes > 0) {
            part->changing[table->n_changing++] = use->worker->hash;
        }
        if (use->leaving > 0) {
            part->leaving[table->n_leaving++] = use->worker->hash;
        }
    }
    table->n_workers = n;
    table->n_inflight = n;
    table->n_reading = n;
    table->n_held = n;
    table->later = part->later;
    table->n_later = n * GOS_LATER_POINTS;
    Gos_FillTableAccounts(part, report, number, count);
    Gos_EndTablePace(part, n);
    if (number == 0) {
        table->n_demands = fill_demands(report, part->demand_rows, part->rooms,
                                        part->demands);
    }
    return is_whole &&
           gossip__table__get_packed_size(table) <= GOS_TABLE_MAX_BYTES;
}

/* Fills in the demands of a report, and returns their number. */
static guint
fill_demands(const Report *report, Gossip__Demand *rows, GosRooms *rooms,
             Gossip__Demand **demands)
{
    guint count = 0;
    uint64_t service;
    ReportDemand demand;

    while (count < GOS_DEMANDS_MAX &&
           Report_GetDemand(report, count, &service, &demand)) {
        gossip__demand__init(&rows[count]);
        rows[count].service = service;
        rows[count].prompt_per_us = (float)demand.prompt_per_us;
        rows[count].held = (float)demand.kv_tokens;
        rows[count].requests = (float)demand.requests;
        rows[count].extras = (float)demand.extras;
        fill_rooms(&demand.rooms, &rooms[count], &rows[count]);
        demands[count] = &rows[count];
        count++;
    }
    return count;
}

static void
fill_rooms(const ReportRooms *from, GosRooms *rooms, Gossip__Demand *to)
{
    size_t n = 0;

    for (uint32_t i = 0; i < REPORT_ROOMS_MAX; i++) {
        if (from->rows[i].version != 0 && from->rows[i].waiting_streams > 0) {
            rooms->versions[n] = from->rows[i].version;
            rooms->streams[n] = (float)from->rows[i].waiting_streams;
            n++;
        }
    }
    to->room_versions = rooms->versions;
    to->n_room_versions = n;
    to->room_streams = rooms->streams;
    to->n_room_streams = n;
    fill_looks(&from->looks, rooms, to);
}

/* Levels without requests after the last one that has some are left out. */
static void
fill_looks(const UrgencyLooks *from, GosRooms *rooms, Gossip__Demand *to)
{
    size_t n = 0;

    for (size_t i = 0; i < URGENCY_LEVELS_MAX; i++) {
        rooms->lacking[i] = (float)from->lacking[i];
        rooms->asked[i] = (float)from->all[i];
        n = from->all[i] >= GOS_LOOKS_MIN ? i + 1 : n;
    }
    to->level_lacking = rooms->lacking;
    to->n_level_lacking = n;
    to->level_asked = rooms->asked;
    to->n_level_asked = n;
}

ReportDemand
Gos_DecodeDemand(const Gossip__Demand *from)
{
    ReportDemand demand = {
        .prompt_per_us = from->prompt_per_us,
        .kv_tokens = from->held,
        .requests = from->requests,
        .extras = from->extras,
    };

    for (size_t i = 0; i < MIN(from->n_room_versions, from->n_room_streams);
         i++) {
        ReportRoom room = {from->room_versions[i], from->room_streams[i]};
        /* False for a value that is no number, too. */
        if (room.waiting_streams > 0) {
            Report_AddRoom(&demand.rooms, &room);
        }
    }
    for (size_t i = 0; i < MIN(MIN(from->n_level_lacking, from->n_level_asked),
                               URGENCY_LEVELS_MAX);
         i++) {
        double asked = from->level_asked[i];
        double lacking = from->level_lacking[i];
        /* The same. More than ask can't lack room. */
        if (asked > 0 && asked < GOS_LOOKS_MAX && lacking > 0) {
            demand.rooms.looks.all[i] = asked;
            demand.rooms.looks.lacking[i] = MIN(lacking, asked);
        }
        else if (asked > 0 && asked < GOS_LOOKS_MAX) {
            demand.rooms.looks.all[i] = asked;
        }
    }
    return demand;
}

Forecast
Gos_DecodeKv(uint32_t now_tokens, const uint32_t *later, size_t count,
             size_t row)
{
    Forecast kv = {.tokens = {now_tokens}};

    for (size_t i = 0; i < GOS_LATER_POINTS; i++) {
        size_t at = row * GOS_LATER_POINTS + i;
        kv.tokens[i + 1] = at < count
                               ? (uint64_t)later[at] * GOS_LATER_UNIT_TOKENS
                               : now_tokens;
    }
    return kv;
}

static void
encode_kv(const Forecast *kv, uint32_t *later)
{
    for (size_t i = 0; i < GOS_LATER_POINTS; i++) {
        later[i] = (uint32_t)(kv->tokens[i + 1] / GOS_LATER_UNIT_TOKENS);
    }
}

bool
Gos_GetOwnUse(const FleetWorker *worker, int64_t now_us, ReportUse *use)
{
    use->worker = (FleetWorker *)worker;
    use->inflight = worker->inflight;
    use->prefill_tokens = worker->prefill_tokens;
    use->kv = worker->kv;
    use->unreachable = Health_IsBlocked(&worker->health, now_us);
    use->phase_changes = now_us < worker->phase_change_until_us;
    use->leaving = worker->notice.leaving;
    return use->inflight > 0 || Forecast_GetPeak(&use->kv) > 0 ||
           use->unreachable > 0 || use->phase_changes > 0 ||
           use->leaving > 0 || Gos_HasPaceNews(worker, now_us);
}
