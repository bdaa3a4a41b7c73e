/* Begun: begun streams that wait for room. See begun.h. */
#include "begun.h"
#include "stream_urgency.h"

#include "../decide/room.h"

#include <string.h>

/* Time for which a decision holds. */
#define BEGUN_UPDATE_US (10 * CLK_US_PER_MS)

struct BegunRoom {
    Room room;
    int64_t updated_us; /* 0: not yet. */
};

static BegunRoom *get_room(Gate *gate, const char *service);
static void add_workers(const Gate *gate, const char *service,
                        RoomInput *input);
static void add_waiting(const ReportRooms *rooms, RoomInput *input);
static void count_waiting(const Gate *gate, const char *service,
                          ReportRooms *rooms);
static bool is_waiting(const GateTask *task);
static RoomVersion *find_version(RoomInput *input, uint32_t version);

const BegunRoom *
Begun_Update(GateTask *task)
{
    Gate *gate = task->gate;
    const char *service = task->service->name;
    int64_t now_us = Task_Now(task);
    BegunRoom *begun;
    RoomInput input = {.now_us = now_us};
    ReportRooms rooms = {0};

    if (task->last_event != GATE_NO_EVENT) {
        return NULL;
    }
    begun = get_room(gate, service);
    if (begun->updated_us != 0 &&
        now_us - begun->updated_us < BEGUN_UPDATE_US) {
        return begun;
    }
    begun->updated_us = now_us;
    add_workers(gate, service, &input);
    count_waiting(gate, service, &rooms);
    add_waiting(&rooms, &input);
    memset(&rooms, 0, sizeof(rooms));
    gate->options.get_peer_rooms(gate->options.context, service, &rooms);
    add_waiting(&rooms, &input);
    Room_Update(&begun->room, &input);
    return begun;
}

bool
Begun_IsHeld(const BegunRoom *room, const FleetWorker *worker)
{
    return room != NULL &&
           Room_IsHeld(&room->room, worker->version, worker->hash);
}

bool
Begun_IsAnyHeld(const BegunRoom *room)
{
    bool is_any_held = false;

    for (uint32_t i = 0; i < ROOM_VERSIONS_MAX && room != NULL; i++) {
        is_any_held |= room->room.rows[i].held > 0;
    }
    return is_any_held;
}

void
Begun_NoteWait(const GateTask *task)
{
    Gate *gate = task->gate;

    if (task->last_event != GATE_NO_EVENT) {
        get_room(gate, task->service->name);
        gate->options.on_load_change(gate->options.context);
    }
}

void
Begun_Publish(Gate *gate)
{
    GHashTableIter iter;
    gpointer service;

    g_hash_table_iter_init(&iter, gate->rooms);
    while (g_hash_table_iter_next(&iter, &service, NULL)) {
        ReportRooms rooms = {0};
        count_waiting(gate, service, &rooms);
        rooms.looks = StreamUrgency_GetLooks(gate, service);
        gate->options.on_rooms_change(gate->options.context, service, &rooms);
    }
}

static BegunRoom *
get_room(Gate *gate, const char *service)
{
    BegunRoom *begun = g_hash_table_lookup(gate->rooms, service);

    if (begun == NULL) {
        begun = g_new0(BegunRoom, 1);
        g_hash_table_insert(gate->rooms, g_strdup(service), begun);
    }
    return begun;
}

/* Counts the usable workers of each version that run streams. */
static void
add_workers(const Gate *gate, const char *service, RoomInput *input)
{
    const GPtrArray *rows = gate->options.fleet->rows;
    int64_t now_us = Clk_Now(gate->options.clk);

    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        RoomVersion *version;
        if (worker->entry.phase != FLEET_PHASE_DECODE ||
            strcmp(worker->entry.service, service) != 0 ||
            !Fleet_IsUsable(worker, now_us) || Fleet_IsLeaving(worker)) {
            continue;
        }
        version = find_version(input, worker->version);
        if (version == NULL && input->count < ROOM_VERSIONS_MAX) {
            version = &input->versions[input->count++];
            version->version = worker->version;
        }
        if (version != NULL) {
            version->workers++;
        }
    }
}

/* Adds begun streams that wait. Those whose version has no worker can't get
   room. */
static void
add_waiting(const ReportRooms *rooms, RoomInput *input)
{
    for (uint32_t i = 0; i < REPORT_ROOMS_MAX; i++) {
        const ReportRoom *from = &rooms->rows[i];
        RoomVersion *version = find_version(input, from->version);
        if (version != NULL && from->version != 0) {
            version->waiting_streams += from->waiting_streams;
        }
    }
}

static void
count_waiting(const Gate *gate, const char *service, ReportRooms *rooms)
{
    const GateTask *task = NULL;

    LIST_FOREACH(task, &gate->tasks, links)
    {
        if (is_waiting(task) && strcmp(task->service->name, service) == 0) {
            ReportRoom row = {.version = task->version, .waiting_streams = 1};
            Report_AddRoom(rooms, &row);
        }
    }
}

/* Whether the task has begun and waits for room at a known version. */
static bool
is_waiting(const GateTask *task)
{
    return task->route->kind == RTE_STREAM &&
           task->last_event != GATE_NO_EVENT && task->version != 0 &&
           task->lacks_room;
}

static RoomVersion *
find_version(RoomInput *input, uint32_t version)
{
    for (uint32_t i = 0; i < input->count; i++) {
        if (input->versions[i].version == version) {
            return &input->versions[i];
        }
    }
    return NULL;
}
