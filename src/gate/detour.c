/* Detour: the way to workers by another VM. See detour.h. */
#include "detour.h"

#include "../decide/reach.h"
#include "../io/loop.h"
#include "../log.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Time between looks at services in doubt. */
#define DETOUR_TICK_MS 20
/* Shortest time between two rounds of connections to a service's workers: in
   general, and while all workers are lost. */
#define DETOUR_ROUND_US (250 * CLK_US_PER_MS)
#define DETOUR_LOST_ROUND_US (600 * CLK_US_PER_MS)
/* Connections of a round while the VM is cut off or all workers are lost. */
#define DETOUR_AGAIN_SAMPLE 2
/* Connect time-out, above round trips between regions. */
#define DETOUR_CONNECT_MS 200
/* Unanswered calls of one task that are a reason to look though workers
   answer: connections that live on hide a cut. */
#define DETOUR_UNREACHED_MAX 2
/* Time for which another VM's question is answered. */
#define DETOUR_ASKED_US (500 * CLK_US_PER_MS)
/* A worker that was heard within this time, and that in which it is tried
   again, is named to the other VMs. */
#define DETOUR_HEARD_US (250 * CLK_US_PER_MS)
/* While other VMs need to know that it lives on, it is tried again once it was
   not heard for this time; and while they look for VMs that serve, for the
   longer one. All VMs of a large fleet may be asked at once, and the service
   has few workers: the times grow with the fleet, by the second value for each
   VM. */
#define DETOUR_URGENT_US (20 * CLK_US_PER_MS)
#define DETOUR_URGENT_VM_US (4 * CLK_US_PER_MS)
#define DETOUR_REFRESH_US (1000 * CLK_US_PER_MS)
#define DETOUR_REFRESH_VM_US (8 * CLK_US_PER_MS)

/* A service whose workers are in doubt, or were. */
typedef struct DetourService {
    LIST_ENTRY(DetourService) links;
    Gate *gate;
    char name[FLEET_NAME_MAX];
    uint64_t hash;
    ReachVerdict verdict; /* REACH_OPEN unless in doubt. */
    bool is_suspicious;   /* Own calls or connections have failed. */
    bool is_due;          /* A round is wanted once it may begin. */
    int64_t changed_us;   /* When it was lost or reached; 0: never. */
    ReachRound round;     /* The last one. */
    uint32_t rounds;
    int64_t next_round_us;
    int64_t asked_until_us;  /* Other VMs need a living worker until then. */
    int64_t sought_until_us; /* They look for VMs that serve until then. */
    uint32_t vms;            /* As in GateReach. */
    uint32_t sample_max;     /* Connections of the round that is due. */
    uint64_t named;          /* The last worker that was named to them. */
} DetourService;

/* A connection that shows whether a worker can be reached. */
typedef struct DetourProbe {
    LIST_ENTRY(DetourProbe) links;
    DetourService *service;
    uint32_t round; /* Number of its round. */
    uint32_t index; /* Of its row in the round. */
    FleetWorker *worker;
    ClientCall *call;
} DetourProbe;

static DetourService *find(const Gate *gate, const char *service);
static DetourService *find_or_add(Gate *gate, const char *service);
static ReachWorker *list_workers(const DetourService *row, uint32_t *count);
static void begin_round(DetourService *row, uint32_t max);
static void begin_probe(DetourService *row, FleetWorker *worker,
                        ReachReason reason);
static void on_probe_end(void *context, ClientOutcome outcome);
static void free_probe(DetourProbe *probe);
static void judge(DetourService *row);
static void begin_checks(DetourService *row, const GatePeer *peers,
                         uint32_t count);
static bool is_any_pending(const DetourService *row);
static ReachOthers count_others(const DetourService *row,
                                const GatePeer *peers, uint32_t count);
static void set_verdict(DetourService *row, ReachVerdict verdict);
static void log_verdict(const DetourService *row, const char *event);
static const char *get_verdict_name(ReachVerdict verdict);
static FleetWorker *choose_named(DetourService *row);
static bool is_wanted(const DetourService *row);
static int64_t get_refresh_us(const DetourService *row);
static bool is_active(const DetourService *row);
static void advance(DetourService *row);
static void refresh_named(DetourService *row);
static void on_timer(evutil_socket_t fd, short what, void *context);

void
Detour_Init(Gate *gate)
{
    LIST_INIT(&gate->cut_services);
    DetourVm_Init(gate);
    LIST_INIT(&gate->detour_probes);
    gate->detour_timer = evtimer_new(gate->options.base, on_timer, gate);
}

void
Detour_NoteUnanswered(const GateTask *task)
{
    Gate *gate = task->gate;
    DetourService *row = find_or_add(gate, task->service->name);
    uint32_t count;
    ReachWorker *workers;

    if (row->verdict != REACH_OPEN && row->is_suspicious) {
        return;
    }
    workers = list_workers(row, &count);
    if (task->unreached >= DETOUR_UNREACHED_MAX ||
        Reach_IsSuspicious(workers, count)) {
        row->is_suspicious = true;
        row->is_due = row->verdict == REACH_OPEN;
        row->sample_max = REACH_SAMPLE_MAX;
        advance(row);
        if (!evtimer_pending(gate->detour_timer, NULL)) {
            Loop_ArmTimer(gate->detour_timer, DETOUR_TICK_MS);
        }
    }
    g_free(workers);
}

bool
Detour_IsCut(const Gate *gate, const char *service)
{
    const DetourService *row = find(gate, service);

    return row != NULL && row->verdict == REACH_CUT;
}

const char *
Detour_GetStateName(const Gate *gate, const char *service)
{
    const DetourService *row = find(gate, service);

    return get_verdict_name(row != NULL ? row->verdict : REACH_OPEN);
}

bool
Detour_IsLost(const Gate *gate, const char *service)
{
    const DetourService *row = find(gate, service);

    return row != NULL &&
           (row->verdict == REACH_CUT || row->verdict == REACH_LOST);
}

void
Detour_Clear(Gate *gate)
{
    while (!LIST_EMPTY(&gate->detour_probes)) {
        DetourProbe *running = LIST_FIRST(&gate->detour_probes);
        Client_EndCall(running->call);
        free_probe(running);
    }
    while (!LIST_EMPTY(&gate->cut_services)) {
        DetourService *row = LIST_FIRST(&gate->cut_services);
        LIST_REMOVE(row, links);
        g_free(row);
    }
    DetourVm_Clear(gate);
    event_free(gate->detour_timer);
}

uint32_t
Gate_ListCut(const Gate *gate, uint64_t *services, uint32_t max)
{
    const DetourService *row = NULL;
    uint32_t count = 0;

    LIST_FOREACH(row, &gate->cut_services, links)
    {
        if ((row->verdict == REACH_CUT || row->verdict == REACH_LOST) &&
            count < max) {
            services[count++] = row->hash;
        }
    }
    return count;
}

uint32_t
Gate_ListReaches(const Gate *gate, GateReach *reaches, uint32_t max)
{
    DetourService *row = NULL;
    uint32_t count = 0;

    LIST_FOREACH(row, &gate->cut_services, links)
    {
        GateReach reach = {.service = row->hash};
        const FleetWorker *named = choose_named(row);
        bool is_closed = row->is_suspicious && row->verdict != REACH_OPEN;
        reach.asks = is_closed && row->verdict != REACH_CUT;
        reach.seeker = is_closed ? GATE_SEEKER_VM : GATE_SEEKER_NONE;
        reach.is_urgent = reach.asks;
        reach.serving = gate->relayed_count;
        if (!is_closed && named != NULL) {
            reach.worker = named->hash;
            reach.heard_us = named->heard_us;
        }
        if ((is_closed || is_wanted(row)) && count < max) {
            reaches[count++] = reach;
        }
    }
    return count;
}

void
Gate_OnReach(Gate *gate, const GateReach *reach)
{
    int64_t now_us = Clk_Now(gate->options.clk);
    DetourService *row = NULL;
    GHashTableIter iter;
    gpointer name;

    LIST_FOREACH(row, &gate->cut_services, links)
    {
        if (row->hash == reach->service) {
            break;
        }
    }
    if (row == NULL && (reach->asks || reach->seeker != GATE_SEEKER_NONE) &&
        gate->table != NULL) {
        g_hash_table_iter_init(&iter, gate->table->services);
        while (row == NULL && g_hash_table_iter_next(&iter, &name, NULL)) {
            if (XXH3_64bits(name, strlen(name)) == reach->service) {
                row = find_or_add(gate, name);
            }
        }
    }
    if (row == NULL) {
        return;
    }
    if (reach->asks || reach->is_urgent) {
        row->asked_until_us = now_us + DETOUR_ASKED_US;
    }
    if (reach->asks || reach->seeker != GATE_SEEKER_NONE) {
        bool is_first = !is_wanted(row);
        row->sought_until_us = now_us + DETOUR_ASKED_US;
        row->vms = reach->vms;
        if (reach->asks || is_first) {
            gate->options.on_load_change(gate->options.context);
        }
    }
    /* The timer judges: in large fleets such messages come by the hundred. */
    if (is_active(row) && !evtimer_pending(gate->detour_timer, NULL)) {
        Loop_ArmTimer(gate->detour_timer, 0);
    }
}

static DetourService *
find(const Gate *gate, const char *service)
{
    DetourService *row = NULL;

    LIST_FOREACH(row, &gate->cut_services, links)
    {
        if (strcmp(row->name, service) == 0) {
            return row;
        }
    }
    return NULL;
}

static DetourService *
find_or_add(Gate *gate, const char *service)
{
    DetourService *row = find(gate, service);

    if (row == NULL) {
        row = g_new0(DetourService, 1);
        row->gate = gate;
        g_strlcpy(row->name, service, sizeof(row->name));
        row->hash = XXH3_64bits(service, strlen(service));
        row->verdict = REACH_OPEN;
        LIST_INSERT_HEAD(&gate->cut_services, row, links);
    }
    return row;
}

/* Returns the workers of the service, which the caller frees. A worker that
   leaves is left out, as it may refuse new connections. */
static ReachWorker *
list_workers(const DetourService *row, uint32_t *count)
{
    const GPtrArray *rows = row->gate->options.fleet->rows;
    int64_t now_us = Clk_Now(row->gate->options.clk);
    ReachWorker *workers = g_new(ReachWorker, rows->len);

    *count = 0;
    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        if (strcmp(worker->entry.service, row->name) == 0 &&
            Fleet_IsListed(worker, now_us) && !Fleet_IsLeaving(worker)) {
            workers[(*count)++] = (ReachWorker){
                .hash = worker->hash,
                .heard_us = worker->heard_us,
                .unanswered_us = worker->unanswered_us,
                .random = g_rand_int(row->gate->rand),
            };
        }
    }
    return workers;
}

/* Connects to a sample of at most `max` workers. */
static void
begin_round(DetourService *row, uint32_t max)
{
    uint32_t count;
    ReachWorker *workers = list_workers(row, &count);
    uint32_t chosen = Reach_ChooseSample(workers, count);
    bool is_idle = chosen == 0;

    row->is_due = false;
    row->rounds++;
    row->round = (ReachRound){.began_us = Clk_Now(row->gate->options.clk)};
    row->next_round_us =
        row->round.began_us +
        (row->verdict == REACH_LOST ? DETOUR_LOST_ROUND_US : DETOUR_ROUND_US);
    for (uint32_t i = 0; i < MIN(chosen, max); i++) {
        /* The first ones were heard last, the last ones are drawn. */
        uint32_t k = i % 2 == 0 ? i / 2 : chosen - 1 - i / 2;
        begin_probe(
            row, Fleet_FindByHash(row->gate->options.fleet, workers[k].hash),
            REACH_SAMPLE);
    }
    g_free(workers);
    if (is_idle) {
        set_verdict(row, REACH_OPEN);
    }
}

static void
begin_probe(DetourService *row, FleetWorker *worker, ReachReason reason)
{
    Gate *gate = row->gate;
    DetourProbe *running = g_new0(DetourProbe, 1);
    ClientCallOptions call = {
        .address = worker->entry.address,
        .method = "GET",
        .target = "/",
        .connect_only = true,
        .connect_ms = DETOUR_CONNECT_MS,
        .context = running,
        .on_end = on_probe_end,
    };

    running->service = row;
    running->round = row->rounds;
    running->index = row->round.count++;
    running->worker = Fleet_Ref(worker);
    row->round.probes[running->index] = (ReachProbe){
        .worker = worker->hash,
        .reason = reason,
        .began_us = Clk_Now(gate->options.clk),
    };
    LIST_INSERT_HEAD(&gate->detour_probes, running, links);
    running->call = Client_BeginCall(gate->options.client, &call);
}

static void
on_probe_end(void *context, ClientOutcome outcome)
{
    DetourProbe *running = context;
    DetourService *row = running->service;
    FleetWorker *worker = running->worker;
    int64_t now_us = Clk_Now(row->gate->options.clk);

    if (outcome == CLIENT_COMPLETE) {
        worker->heard_us = now_us;
        Health_NoteSuccess(&worker->health, now_us);
    }
    if (running->round == row->rounds) {
        ReachProbe *probe = &row->round.probes[running->index];
        probe->outcome =
            outcome == CLIENT_COMPLETE ? REACH_CONNECTED : REACH_FAILED;
        row->round.failed_us = now_us;
    }
    free_probe(running);
    if (is_wanted(row)) {
        row->gate->options.on_load_change(row->gate->options.context);
    }
    judge(row);
}

static void
free_probe(DetourProbe *probe)
{
    LIST_REMOVE(probe, links);
    Fleet_Unref(probe->worker);
    g_free(probe);
}

static void
judge(DetourService *row)
{
    Gate *gate = row->gate;
    GatePeer peers[DETOUR_PEERS_MAX];
    uint32_t count = gate->options.list_peers(gate->options.context, row->name,
                                              peers, DETOUR_PEERS_MAX);
    ReachOthers others = count_others(row, peers, count);
    ReachVerdict verdict;

    if (row->verdict == REACH_OPEN) {
        return;
    }
    for (uint32_t i = 0; i < row->round.count; i++) {
        ReachProbe *probe = &row->round.probes[i];
        const FleetWorker *worker =
            Fleet_FindByHash(gate->options.fleet, probe->worker);
        probe->heard_us = worker != NULL ? worker->heard_us : 0;
        for (uint32_t k = 0; k < count; k++) {
            if (peers[k].reached == probe->worker) {
                probe->told_us = MAX(probe->told_us, peers[k].reached_us);
            }
        }
    }
    verdict = Reach_Judge(&row->round, &others, Clk_Now(gate->options.clk));
    /* What is cut off stays so until a worker is reached. */
    if (verdict != REACH_UNDECIDED &&
        (row->verdict != REACH_CUT || verdict == REACH_OPEN)) {
        set_verdict(row, verdict);
    }
    if (row->verdict == REACH_UNDECIDED || row->verdict == REACH_LOST) {
        begin_checks(row, peers, count);
    }
}

/* Connects to workers that other VMs hear and, once all other connections have
   failed, to those that answer this VM. */
static void
begin_checks(DetourService *row, const GatePeer *peers, uint32_t count)
{
    const Fleet *fleet = row->gate->options.fleet;

    for (uint32_t i = 0; i < count; i++) {
        FleetWorker *worker = peers[i].reached != 0
                                  ? Fleet_FindByHash(fleet, peers[i].reached)
                                  : NULL;
        if (worker != NULL &&
            Reach_NeedsCheck(&row->round, worker->hash, peers[i].reached_us)) {
            begin_probe(row, worker, REACH_TOLD);
        }
    }
    if (is_any_pending(row)) {
        return;
    }
    row->is_suspicious = true;
    for (guint i = 0; i < fleet->rows->len; i++) {
        FleetWorker *worker = g_ptr_array_index(fleet->rows, i);
        if (strcmp(worker->entry.service, row->name) == 0 &&
            Fleet_IsListed(worker, Clk_Now(row->gate->options.clk)) &&
            !Fleet_IsLeaving(worker) &&
            Reach_NeedsOwnCheck(&row->round, worker->hash, worker->heard_us)) {
            begin_probe(row, worker, REACH_HEARD);
        }
    }
}

static bool
is_any_pending(const DetourService *row)
{
    for (uint32_t i = 0; i < row->round.count; i++) {
        if (row->round.probes[i].outcome == REACH_PENDING) {
            return true;
        }
    }
    return false;
}

static ReachOthers
count_others(const DetourService *row, const GatePeer *peers, uint32_t count)
{
    ReachOthers others = {0};

    for (uint32_t i = 0; i < count; i++) {
        bool is_silent = (peers[i].serves & GATE_SERVES_DETOURS) != 0 &&
                         !peers[i].tells_reach;
        others.silent += is_silent;
        others.mute +=
            is_silent && (peers[i].serves & GATE_SERVES_REACH) == 0 &&
            peers[i].received_us > row->round.failed_us + REACH_ANSWER_US / 2;
    }
    return others;
}

static void
set_verdict(DetourService *row, ReachVerdict verdict)
{
    Gate *gate = row->gate;
    ReachVerdict before = row->verdict;

    row->verdict = verdict;
    if (verdict == REACH_OPEN) {
        row->is_suspicious = false;
    }
    if (before == verdict) {
        return;
    }
    gate->options.on_load_change(gate->options.context);
    if (verdict == REACH_CUT) {
        Met_Add(MET_SERVICES_CUT, 1);
        log_verdict(row, "service_cut");
    }
    else if (verdict == REACH_LOST) {
        Met_Add(MET_SERVICES_LOST, 1);
        row->next_round_us = Clk_Now(gate->options.clk) + DETOUR_LOST_ROUND_US;
        log_verdict(row, "service_lost");
    }
    else if (verdict == REACH_OPEN && before != REACH_UNDECIDED) {
        log_verdict(row, "service_reached");
    }
    else {
        return;
    }
    row->changed_us = Clk_Now(gate->options.clk);
}

static void
log_verdict(const DetourService *row, const char *event)
{
    int64_t now_us = Clk_Now(row->gate->options.clk);
    uint32_t count;
    ReachWorker *workers = list_workers(row, &count);
    int64_t heard_us = 0;
    GatePeer peers[DETOUR_PEERS_MAX];
    uint32_t peer_count = row->gate->options.list_peers(
        row->gate->options.context, row->name, peers, DETOUR_PEERS_MAX);
    uint32_t unanswered = 0;
    int failed = 0;
    int told = 0;

    for (uint32_t i = 0; i < count; i++) {
        heard_us = MAX(heard_us, workers[i].heard_us);
    }
    for (uint32_t i = 0; i < count; i++) {
        unanswered += workers[i].unanswered_us > heard_us;
    }
    for (uint32_t i = 0; i < row->round.count; i++) {
        failed += row->round.probes[i].outcome == REACH_FAILED;
    }
    for (uint32_t i = 0; i < peer_count; i++) {
        told += peers[i].reached != 0;
    }
    g_free(workers);
    Log_WriteJson(
        LOG_LEVEL_WARNING, event,
        json_pack(
            "{s:s,s:i,s:i,s:I,s:i,s:i,s:i,s:i,s:I,s:I}", "service", row->name,
            "vms", (int)peer_count, "vms_hearing", told, "after_us",
            (json_int_t)(row->changed_us != 0 ? now_us - row->changed_us : 0),
            "workers", (int)count, "unanswered", (int)unanswered, "tried",
            (int)row->round.count, "failed", failed, "round_us",
            (json_int_t)(now_us - row->round.began_us), "heard_ago_us",
            (json_int_t)(heard_us != 0 ? now_us - heard_us : -1)));
}

static const char *
get_verdict_name(ReachVerdict verdict)
{
    static const char *const names[] = {
        [REACH_UNDECIDED] = "in doubt",
        [REACH_OPEN] = "open",
        [REACH_LOST] = "lost",
        [REACH_CUT] = "cut",
    };

    return names[verdict];
}

/* Returns a worker of the service that was heard lately, the same one as long
   as it answers, or NULL. */
static FleetWorker *
choose_named(DetourService *row)
{
    const Gate *gate = row->gate;
    const GPtrArray *rows = gate->options.fleet->rows;
    int64_t now_us = Clk_Now(gate->options.clk);
    int64_t since_us = now_us - DETOUR_HEARD_US - get_refresh_us(row);
    FleetWorker *best = row->named != 0
                            ? Fleet_FindByHash(gate->options.fleet, row->named)
                            : NULL;

    if (best != NULL && best->heard_us > since_us &&
        best->unanswered_us < best->heard_us && !Fleet_IsLeaving(best)) {
        return best;
    }
    best = NULL;
    for (guint i = 0; i < rows->len; i++) {
        FleetWorker *worker = g_ptr_array_index(rows, i);
        if (strcmp(worker->entry.service, row->name) == 0 &&
            Fleet_IsListed(worker, now_us) && !Fleet_IsLeaving(worker) &&
            worker->heard_us > since_us &&
            worker->unanswered_us < worker->heard_us &&
            (best == NULL || worker->heard_us > best->heard_us)) {
            best = worker;
        }
    }
    row->named = best != NULL ? best->hash : 0;
    return best;
}

/* Whether other VMs want to know if this VM hears a worker. */
static bool
is_wanted(const DetourService *row)
{
    return Clk_Now(row->gate->options.clk) <
           MAX(row->asked_until_us, row->sought_until_us);
}

/* Returns the time after which the worker that is named is tried again. */
static int64_t
get_refresh_us(const DetourService *row)
{
    bool is_urgent = Clk_Now(row->gate->options.clk) < row->asked_until_us;

    return is_urgent ? MAX(DETOUR_URGENT_US, row->vms * DETOUR_URGENT_VM_US)
                     : MAX(DETOUR_REFRESH_US, row->vms * DETOUR_REFRESH_VM_US);
}

/* Whether this VM or another one is in doubt about the service. */
static bool
is_active(const DetourService *row)
{
    return row->verdict != REACH_OPEN || row->is_due || is_wanted(row);
}

/* Tries the worker again that is named to the other VMs, or looks for one. */
static void
refresh_named(DetourService *row)
{
    FleetWorker *named = choose_named(row);
    int64_t now_us = Clk_Now(row->gate->options.clk);

    if (named == NULL) {
        row->is_due = true;
        row->sample_max = DETOUR_AGAIN_SAMPLE;
    }
    else if (named->heard_us < now_us - get_refresh_us(row) &&
             !is_any_pending(row)) {
        row->rounds++;
        row->round = (ReachRound){.began_us = now_us};
        begin_probe(row, named, REACH_SAMPLE);
    }
}

/* Judges a service in doubt, and begins the next round if it is due. */
static void
advance(DetourService *row)
{
    Gate *gate = row->gate;
    int64_t now_us = Clk_Now(gate->options.clk);

    if (row->verdict != REACH_OPEN) {
        judge(row);
    }
    else if (is_wanted(row)) {
        refresh_named(row);
    }
    if (now_us < row->next_round_us) {
        return;
    }
    if (row->verdict == REACH_OPEN && row->is_due) {
        row->verdict = REACH_UNDECIDED;
        begin_round(row, row->sample_max);
        gate->options.on_load_change(gate->options.context);
    }
    else if (row->verdict == REACH_LOST || row->verdict == REACH_CUT) {
        begin_round(row, DETOUR_AGAIN_SAMPLE);
    }
}

/* Looks at the services in doubt, until there are none. */
static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Gate *gate = context;
    DetourService *row = NULL;
    bool is_any_doubted = false;

    (void)fd;
    (void)what;
    LIST_FOREACH(row, &gate->cut_services, links)
    {
        if (is_active(row)) {
            advance(row);
        }
        is_any_doubted |= is_active(row);
    }
    if (is_any_doubted) {
        Loop_ArmTimer(gate->detour_timer, DETOUR_TICK_MS);
    }
}
