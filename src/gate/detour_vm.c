/* Detour VMs: the other VMs that serve requests for this one, and what a
   request that is passed on carries. See detour.h. */
#include "detour.h"

#include "hearsay.h"

#include <stdlib.h>
#include <string.h>

/* VMs that are remembered; beyond, those without a call are dropped. */
#define DETOUR_VMS_MAX 256
/* A VM of another region counts as having this many requests more. */
#define DETOUR_REMOTE_REQUESTS 3
#define DETOUR_HASH_MAX 17 /* Bytes of a hash as text, with the 0. */

/* Another VM that was called. */
typedef struct DetourVm {
    LIST_ENTRY(DetourVm) links;
    FleetWorker *worker;
} DetourVm;

static FleetWorker *get_vm(Gate *gate, const GatePeer *peer);
static void drop_idle_vms(Gate *gate);
static uint32_t get_load(const FleetWorker *vm, const GatePeer *peer);

void
DetourVm_Init(Gate *gate)
{
    LIST_INIT(&gate->detour_vms);
}

void
DetourVm_Clear(Gate *gate)
{
    while (!LIST_EMPTY(&gate->detour_vms)) {
        DetourVm *vm = LIST_FIRST(&gate->detour_vms);
        LIST_REMOVE(vm, links);
        Fleet_Unref(vm->worker);
        g_free(vm);
    }
}

FleetWorker *
DetourVm_Choose(GateTask *task)
{
    Gate *gate = task->gate;
    GatePeer peers[DETOUR_PEERS_MAX];
    int64_t now_us = Task_Now(task);
    bool is_any_hearing = false;
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
        bool hears_none = peers[i].tells_reach && peers[i].reached == 0;
        if ((peers[i].serves & GATE_SERVES_DETOURS) != 0 && !hears_none &&
            !Health_IsBlocked(&vm->health, now_us) &&
            !Task_IsExcluded(task, vm)) {
            if (peers[i].tells_reach && !is_any_hearing) {
                /* Those that don't say so are the second choice. */
                is_any_hearing = true;
                count = 0;
            }
            if (is_any_hearing && !peers[i].tells_reach) {
                continue;
            }
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
DetourVm_AddMark(const GateTask *task, HeaderList *headers)
{
    GString *text = g_string_new(NULL);

    g_string_printf(text, "%u", MAX(task->route->attempts, 1) - 1);
    Hearsay_WriteFailed(task->excluded, task->excluded_count, text);
    Hearsay_Write(task->gate->options.fleet, task->service->name,
                  Task_Now(task), text);
    Header_Add(headers, DETOUR_HEADER, text->str);
    g_string_free(text, TRUE);
    Met_Add(MET_DETOURS, 1);
}

char *
DetourVm_TakeMark(HeaderList *headers)
{
    char *mark = g_strdup(Header_Find(headers, DETOUR_HEADER));

    Header_Remove(headers, DETOUR_HEADER);
    return mark;
}

void
DetourVm_ReadMark(GateTask *task, const char *mark)
{
    const GateOptions *options = &task->gate->options;
    FleetWorker *failed[TASK_EXCLUDED_MAX];
    uint32_t count = Hearsay_Read(options->fleet, mark, Task_Now(task), failed,
                                  TASK_EXCLUDED_MAX);

    for (uint32_t i = 0; i < count; i++) {
        Task_ExcludeWorker(task, failed[i]);
    }
}

void
DetourVm_AddAnswer(const GateTask *task, HeaderList *headers)
{
    char text[DETOUR_HASH_MAX];

    if (!task->is_relayed || task->last_worker == 0) {
        return;
    }
    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
               task->last_worker);
    Header_Remove(headers, DETOUR_HEADER);
    Header_Add(headers, DETOUR_HEADER, text);
}

uint64_t
DetourVm_TakeAnswer(HeaderList *headers)
{
    const char *text = Header_Find(headers, DETOUR_HEADER);
    guint64 hash = 0;

    if (text != NULL &&
        !g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64, &hash, NULL)) {
        hash = 0;
    }
    Header_Remove(headers, DETOUR_HEADER);
    return hash;
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
    return MAX(vm->inflight, peer->serving) +
           (peer->is_near ? 0 : DETOUR_REMOTE_REQUESTS);
}
