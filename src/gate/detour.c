/* Detour: the way to workers by another VM. See detour.h. */
#include "detour.h"

#include "../decide/reach.h"
#include "../io/loop.h"
#include "../log.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Time between two probes of a service that can't be reached. */
#define DETOUR_PROBE_MS 250
#define DETOUR_PEERS_MAX 64
/* VMs that are remembered; beyond, those without a call are dropped. */
#define DETOUR_VMS_MAX 256
/* A VM of another region counts as having this many requests more. */
#define DETOUR_REMOTE_REQUESTS 3

/* A service of whose workers some did not answer. */
typedef struct DetourService {
    LIST_ENTRY(DetourService) links;
    char name[FLEET_NAME_MAX];
    bool is_cut; /* This VM is cut off from its workers. */
    int64_t changed_us;
    uint32_t next_probe; /* Row of the worker to probe next. */
} DetourService;

/* What a judgement rests on, for logs. */
typedef struct DetourFacts {
    uint32_t workers;    /* Listed workers of the service. */
    uint32_t unanswered; /* Those that left a call unanswered since. */
    int64_t heard_us;    /* Last bytes from any of them; 0: none. */
} DetourFacts;

/* Another VM that was called. */
typedef struct DetourVm {
    LIST_ENTRY(DetourVm) links;
    FleetWorker *worker;
} DetourVm;

/* A connection that shows whether a worker can be reached. */
typedef struct DetourProbe {
    LIST_ENTRY(DetourProbe) links;
    Gate *gate;
    FleetWorker *worker;
    ClientCall *call;
} DetourProbe;

static DetourService *find(const Gate *gate, const char *service);
static bool judge(const Gate *gate, const char *service, DetourFacts *facts);
static void set_cut(Gate *gate, DetourService *row, bool is_cut,
                    const DetourFacts *facts);
static FleetWorker *get_vm(Gate *gate, const GatePeer *peer);
static void drop_idle_vms(Gate *gate);
static uint32_t get_load(const FleetWorker *vm, const GatePeer *peer);
static void on_timer(evutil_socket_t fd, short what, void *context);
static void probe(Gate *gate, DetourService *row);
static void on_probe_end(void *context, ClientOutcome outcome);
static void free_probe(DetourProbe *probe);

void
Detour_Init(Gate *gate)
{
    LIST_INIT(&gate->cut_services);
    LIST_INIT(&gate->detour_vms);
    LIST_INIT(&gate->detour_probes);
    gate->detour_timer = evtimer_new(gate->options.base, on_timer, gate);
}

bool
Detour_IsCut(Gate *gate, const char *service)
{
    DetourService *row = find(gate, service);
    DetourFacts facts;
    bool is_cut = judge(gate, service, &facts);

    if (row == NULL && !is_cut) {
        return false;
    }
    if (row == NULL) {
        row = g_new0(DetourService, 1);
        g_strlcpy(row->name, service, sizeof(row->name));
        LIST_INSERT_HEAD(&gate->cut_services, row, links);
    }
    if (row->is_cut != is_cut) {
        set_cut(gate, row, is_cut, &facts);
    }
    return is_cut;
}

bool
Detour_IsAnyCut(const Gate *gate)
{
    const DetourService *row = NULL;

    LIST_FOREACH(row, &gate->cut_services, links)
    {
        if (row->is_cut) {
            return true;
        }
    }
    return false;
}

void
Detour_Clear(Gate *gate)
{
    while (!LIST_EMPTY(&gate->cut_services)) {
        DetourService *row = LIST_FIRST(&gate->cut_services);
        LIST_REMOVE(row, links);
        g_free(row);
    }
    while (!LIST_EMPTY(&gate->detour_probes)) {
        DetourProbe *running = LIST_FIRST(&gate->detour_probes);
        Client_EndCall(running->call);
        free_probe(running);
    }
    while (!LIST_EMPTY(&gate->detour_vms)) {
        DetourVm *vm = LIST_FIRST(&gate->detour_vms);
        LIST_REMOVE(vm, links);
        Fleet_Unref(vm->worker);
        g_free(vm);
    }
    event_free(gate->detour_timer);
}

uint32_t
Gate_ListCut(const Gate *gate, uint64_t *services, uint32_t max)
{
    const DetourService *row = NULL;
    uint32_t count = 0;

    LIST_FOREACH(row, &gate->cut_services, links)
    {
        if (row->is_cut && count < max) {
            services[count++] = XXH3_64bits(row->name, strlen(row->name));
        }
    }
    return count;
}

FleetWorker *
Detour_ChooseVm(GateTask *task)
{
    Gate *gate = task->gate;
    GatePeer peers[DETOUR_PEERS_MAX];
    int64_t now_us = Task_Now(task);
    FleetWorker *candidates[DETOUR_PEERS_MAX];
    uint32_t loads[DETOUR_PEERS_MAX];
    uint32_t count = 0;
    uint32_t peer_count = gate->options.list_peers(
        gate->options.context, task->service->name, peers, DETOUR_PEERS_MAX);
    uint32_t first;
    uint32_t second;

    drop_idle_vms(gate);
    for (uint32_t i = 0; i < peer_count; i++) {
        FleetWorker *vm = get_vm(gate, &peers[i]);
        if (!Health_IsBlocked(&vm->health, now_us) &&
            !Task_IsExcluded(task, vm)) {
            loads[count] = get_load(vm, &peers[i]);
            candidates[count++] = vm;
        }
    }
    if (count == 0) {
        return NULL;
    }
    first = g_rand_int(gate->rand) % count;
    second = g_rand_int(gate->rand) % count;
    return candidates[loads[second] < loads[first] ? second : first];
}

void
Detour_AddHeader(HeaderList *headers, uint32_t runs)
{
    char text[16];

    g_snprintf(text, sizeof(text), "%u", runs);
    Header_Add(headers, DETOUR_HEADER, text);
    Met_Add(MET_DETOURS, 1);
}

bool
Detour_TakeHeader(HeaderList *headers, uint32_t *runs)
{
    const char *text = Header_Find(headers, DETOUR_HEADER);

    if (text == NULL) {
        return false;
    }
    *runs = (uint32_t)strtoul(text, NULL, 10);
    Header_Remove(headers, DETOUR_HEADER);
    return true;
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

static bool
judge(const Gate *gate, const char *service, DetourFacts *facts)
{
    const GPtrArray *rows = gate->options.fleet->rows;
    int64_t now_us = Clk_Now(gate->options.clk);
    Reach reach = {0};

    *facts = (DetourFacts){0};
    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        ReachWorker row = {worker->heard_us, worker->unanswered_us};
        if (strcmp(worker->entry.service, service) == 0 &&
            Fleet_IsListed(worker, now_us)) {
            Reach_AddWorker(&reach, &row);
            facts->workers++;
        }
    }
    facts->heard_us = reach.heard_us;
    for (guint i = 0; i < rows->len && Reach_IsCut(&reach); i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        facts->unanswered += strcmp(worker->entry.service, service) == 0 &&
                             Fleet_IsListed(worker, now_us) &&
                             worker->unanswered_us > reach.heard_us;
    }
    return Reach_IsCut(&reach);
}

static void
set_cut(Gate *gate, DetourService *row, bool is_cut, const DetourFacts *facts)
{
    int64_t now_us = Clk_Now(gate->options.clk);

    Met_Add(MET_SERVICES_CUT, is_cut);
    Log_WriteJson(
        LOG_LEVEL_WARNING, is_cut ? "service_cut" : "service_reached",
        json_pack(
            "{s:s,s:I,s:i,s:i,s:I}", "service", row->name, "after_us",
            (json_int_t)(row->changed_us != 0 ? now_us - row->changed_us : 0),
            "workers", (int)facts->workers, "unanswered",
            (int)facts->unanswered, "heard_ago_us",
            (json_int_t)(facts->heard_us != 0 ? now_us - facts->heard_us
                                              : -1)));
    row->is_cut = is_cut;
    row->changed_us = now_us;
    gate->options.on_load_change(gate->options.context);
    if (is_cut) {
        Loop_ArmTimer(gate->detour_timer, 0);
    }
}

/* Returns the other VM in the form of a worker. */
static FleetWorker *
get_vm(Gate *gate, const GatePeer *peer)
{
    DetourVm *row = NULL;

    LIST_FOREACH(row, &gate->detour_vms, links)
    {
        if (strcmp(row->worker->entry.address, peer->address) == 0) {
            return row->worker;
        }
    }
    row = g_new0(DetourVm, 1);
    row->worker = g_new0(FleetWorker, 1);
    row->worker->refs = 1;
    row->worker->is_vm = true;
    row->worker->lacks_reservations = true;
    row->worker->slowness = 1.0;
    row->worker->entry.slots = UINT16_MAX;
    g_strlcpy(row->worker->entry.id, peer->vm, sizeof(row->worker->entry.id));
    g_strlcpy(row->worker->entry.address, peer->address,
              sizeof(row->worker->entry.address));
    g_strlcpy(row->worker->entry.zone, gate->options.zone,
              sizeof(row->worker->entry.zone));
    LIST_INSERT_HEAD(&gate->detour_vms, row, links);
    return row->worker;
}

/* Drops the VMs that nothing refers to once there are too many. */
static void
drop_idle_vms(Gate *gate)
{
    DetourVm *row = NULL;
    uint32_t count = 0;

    LIST_FOREACH(row, &gate->detour_vms, links)
    {
        count++;
    }
    row = LIST_FIRST(&gate->detour_vms);
    while (count >= DETOUR_VMS_MAX && row != NULL) {
        DetourVm *next = LIST_NEXT(row, links);
        if (row->worker->refs == 1) {
            LIST_REMOVE(row, links);
            Fleet_Unref(row->worker);
            g_free(row);
        }
        row = next;
    }
}

static uint32_t
get_load(const FleetWorker *vm, const GatePeer *peer)
{
    return vm->inflight + (peer->is_near ? 0 : DETOUR_REMOTE_REQUESTS);
}

/* Probes the services that can't be reached, until all can. */
static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Gate *gate = context;
    DetourService *row = NULL;
    bool is_any_cut = false;

    (void)fd;
    (void)what;
    LIST_FOREACH(row, &gate->cut_services, links)
    {
        if (row->is_cut && Detour_IsCut(gate, row->name)) {
            is_any_cut = true;
            probe(gate, row);
        }
    }
    if (is_any_cut) {
        Loop_ArmTimer(gate->detour_timer, DETOUR_PROBE_MS);
    }
}

/* Opens a connection to the next worker of the service. */
static void
probe(Gate *gate, DetourService *row)
{
    const GPtrArray *rows = gate->options.fleet->rows;
    int64_t now_us = Clk_Now(gate->options.clk);

    for (guint i = 0; i < rows->len; i++) {
        FleetWorker *worker =
            g_ptr_array_index(rows, row->next_probe++ % rows->len);
        ClientCallOptions call = {
            .address = worker->entry.address,
            .method = "GET",
            .target = "/",
            .connect_only = true,
            .on_end = on_probe_end,
        };
        DetourProbe *running;
        if (strcmp(worker->entry.service, row->name) != 0 ||
            !Fleet_IsUsable(worker, now_us)) {
            continue;
        }
        running = g_new0(DetourProbe, 1);
        running->gate = gate;
        running->worker = Fleet_Ref(worker);
        LIST_INSERT_HEAD(&gate->detour_probes, running, links);
        call.context = running;
        running->call = Client_BeginCall(gate->options.client, &call);
        return;
    }
}

static void
on_probe_end(void *context, ClientOutcome outcome)
{
    DetourProbe *running = context;
    Gate *gate = running->gate;
    FleetWorker *worker = running->worker;

    if (outcome == CLIENT_COMPLETE) {
        worker->heard_us = Clk_Now(gate->options.clk);
        Health_NoteSuccess(&worker->health, worker->heard_us);
        Detour_IsCut(gate, worker->entry.service);
    }
    free_probe(running);
}

static void
free_probe(DetourProbe *probe)
{
    LIST_REMOVE(probe, links);
    Fleet_Unref(probe->worker);
    g_free(probe);
}
