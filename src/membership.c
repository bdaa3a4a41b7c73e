/* Membership: heartbeats, suspicion and homes of keys. */
#include "membership.h"

#include "ownership.h"

#include <string.h>

#define MEM_UPDATES_MAX 16 /* Member updates in one heartbeat. */
#define MEM_UPDATE_SENDS 3 /* Times that a VM forwards the same update. */
#define MEM_FINGERS_MAX 16
/* Interval of the probes of dead members. */
#define MEM_PROBE_INTERVAL_US (5 * CLK_US_PER_S)
/* Time without a heartbeat after which a VM off the list is suspected. */
#define MEM_UNLISTED_SUSPECT_AFTER_US (30 * CLK_US_PER_S)
/* Time for which the view counts as stale after a pause. */
#define MEM_STALE_AFTER_PAUSE_US (3 * CLK_US_PER_S)

/* One VM as this VM knows it. */
typedef struct MemVm {
    char id[CON_ID_MAX];
    char address[CON_ADDRESS_MAX];
    char zone[CON_ID_MAX];
    char region[CON_ID_MAX];
    uint64_t position; /* Position on the ring. */
    bool listed;       /* Whether the platform's list names the VM. */
    bool leaving;
    MemState state;
    uint64_t incarnation;       /* Incarnation of `state`; 0 if unknown. */
    uint64_t hello_incarnation; /* Incarnation in the last Hello. */
    uint64_t config_version;
    /* Time of the last heartbeat or the start of the watch; 0 if none. */
    int64_t last_heartbeat_us;
    int64_t suspect_us; /* Time of the last change to MEM_SUSPECT. */
    int64_t link_down_until_us;
    uint32_t updates_left; /* Number of sends of its state still to come. */
} MemVm;

/* A cached result of Mem_IsHome. */
typedef struct MemCachedHome {
    bool is_home;
    int64_t until_us;
} MemCachedHome;

struct Mem {
    MemVm *self;
    GHashTable *home_cache; /* key to MemCachedHome */
    GHashTable *vms;        /* id to MemVm */
    GPtrArray *ring; /* MemVm *, self and listed VMs not dead, by position. */
    int64_t last_tick_us;
    int64_t next_heartbeat_us;
    int64_t next_probe_us;
    int64_t stale_until_us;
};

static MemVm *add_vm(Mem *mem, const char *id);
static void rebuild_ring(Board *board);
static void set_state(Board *board, MemVm *vm, MemState state,
                      uint64_t incarnation);
static void apply_update(Board *board, const Wire__MemberNews *news);
static void send_heartbeat(Board *board, const MemVm *target);
static void send_to_fingers(Board *board);
static void watch_predecessors(Board *board, int64_t now);
static void expire_suspects(Board *board, int64_t now);
static void probe_dead(Board *board, int64_t now);

Mem *
Mem_New(const char *vm, uint64_t incarnation)
{
    Mem *mem = g_new0(Mem, 1);

    mem->vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    mem->home_cache =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    mem->ring = g_ptr_array_new();
    mem->self = add_vm(mem, vm);
    mem->self->incarnation = incarnation;
    mem->self->hello_incarnation = incarnation;
    g_ptr_array_add(mem->ring, mem->self);
    return mem;
}

void
Mem_Free(Mem *mem)
{
    g_ptr_array_unref(mem->ring);
    g_hash_table_unref(mem->vms);
    g_hash_table_unref(mem->home_cache);
    g_free(mem);
}

void
Mem_SetVmList(Board *board, const GArray *rows)
{
    Mem *mem = board->mem;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((MemVm *)value)->listed = false;
    }
    for (guint i = 0; i < rows->len; i++) {
        const MemListRow *row = &g_array_index(rows, MemListRow, i);
        MemVm *vm = g_hash_table_lookup(mem->vms, row->vm);
        if (vm == NULL) {
            vm = add_vm(mem, row->vm);
        }
        vm->listed = true;
        vm->leaving = vm->leaving || row->leaving;
        g_strlcpy(vm->address, row->address, sizeof(vm->address));
        g_strlcpy(vm->zone, row->zone, sizeof(vm->zone));
        g_strlcpy(vm->region, row->region, sizeof(vm->region));
    }
    mem->self->listed = true;
    rebuild_ring(board);
}

void
Mem_OnHello(Board *board, const char *id, uint64_t incarnation)
{
    MemVm *vm = g_hash_table_lookup(board->mem->vms, id);

    if (vm == NULL) {
        vm = add_vm(board->mem, id);
    }
    vm->link_down_until_us = 0;
    if (incarnation > vm->hello_incarnation) {
        vm->hello_incarnation = incarnation;
        vm->leaving = false;
    }
    if (incarnation > vm->incarnation) {
        set_state(board, vm, MEM_ALIVE, incarnation);
    }
}

void
Mem_OnHeartbeat(Board *board, const char *id, const Wire__Heartbeat *heartbeat)
{
    MemVm *vm = g_hash_table_lookup(board->mem->vms, id);

    if (vm == NULL || vm == board->mem->self) {
        return;
    }
    vm->last_heartbeat_us = Board_Now(board);
    vm->config_version = MAX(vm->config_version, heartbeat->config_version);
    if (heartbeat->leaving && !vm->leaving) {
        vm->leaving = true;
        rebuild_ring(board);
    }
    if (heartbeat->incarnation > vm->incarnation) {
        set_state(board, vm, MEM_ALIVE, heartbeat->incarnation);
    }
    else if (vm->state != MEM_ALIVE &&
             heartbeat->incarnation == vm->incarnation) {
        /* The VM learns of its state here and refutes it with a higher
           incarnation. */
        vm->updates_left = MEM_UPDATE_SENDS;
        send_heartbeat(board, vm);
    }
    for (size_t i = 0; i < heartbeat->n_news; i++) {
        apply_update(board, heartbeat->news[i]);
    }
}

void
Mem_OnLinkDown(Board *board, const char *id)
{
    MemVm *vm = g_hash_table_lookup(board->mem->vms, id);

    if (vm != NULL) {
        vm->link_down_until_us = Board_Now(board) + MEM_LINK_RETRY_US;
    }
}

void
Mem_OnTick(Board *board)
{
    Mem *mem = board->mem;
    int64_t now = Board_Now(board);

    if (mem->last_tick_us != 0 && now - mem->last_tick_us > MEM_PAUSE_MIN_US) {
        GHashTableIter iter;
        gpointer value;
        /* Heartbeats that this process missed during its pause are no sign
           that their senders failed. */
        g_hash_table_iter_init(&iter, mem->vms);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            ((MemVm *)value)->last_heartbeat_us = now;
            ((MemVm *)value)->suspect_us = now;
        }
        mem->stale_until_us = now + MEM_STALE_AFTER_PAUSE_US;
    }
    mem->last_tick_us = now;
    if (now < mem->next_heartbeat_us) {
        return;
    }
    mem->next_heartbeat_us = now + MEM_HEARTBEAT_US;
    for (guint i = 0, sent = 0; i < mem->ring->len && sent < MEM_WATCHERS;
         i++) {
        const MemVm *vm = mem->ring->pdata[i];
        if (vm == mem->self) {
            for (guint k = 1; k <= MEM_WATCHERS && k < mem->ring->len; k++) {
                send_heartbeat(board,
                               mem->ring->pdata[(i + k) % mem->ring->len]);
                sent++;
            }
            break;
        }
    }
    watch_predecessors(board, now);
    expire_suspects(board, now);
    probe_dead(board, now);
}

void
Mem_Announce(Board *board)
{
    send_to_fingers(board);
}

static bool
is_usable(const Board *board, const MemVm *vm, int64_t now)
{
    if (vm == board->mem->self) {
        return !board->stopping;
    }
    return vm->listed && !vm->leaving && vm->state != MEM_DEAD &&
           now >= vm->link_down_until_us;
}

/* Finds the usable VM with the highest weight for the key, in one region or,
   if `region` is NULL, in all. */
static const MemVm *
find_highest_weight(const Board *board, const char *key, const char *region)
{
    const Mem *mem = board->mem;
    const MemVm *best = NULL;
    uint64_t best_weight = 0;
    int64_t now = Board_Now(board);

    for (guint i = 0; i < mem->ring->len; i++) {
        const MemVm *vm = mem->ring->pdata[i];
        const char *vm_region = vm == mem->self ? board->region : vm->region;
        uint64_t weight;
        if (vm == NULL || !is_usable(board, vm, now) ||
            (region != NULL && strcmp(vm_region, region) != 0)) {
            continue;
        }
        weight = Own_GetWeight(key, vm->id);
        if (best == NULL || weight > best_weight) {
            best = vm;
            best_weight = weight;
        }
    }
    return best;
}

const char *
Mem_FindHome(Board *board, const char *key, const char *region)
{
    const MemVm *best = find_highest_weight(board, key, region);

    if (best == NULL) {
        best = find_highest_weight(board, key, NULL);
    }
    return best != NULL ? best->id : board->vm;
}

bool
Mem_IsHome(Board *board, const char *key, const char *region)
{
    MemCachedHome *home = g_hash_table_lookup(board->mem->home_cache, key);
    int64_t now = Board_Now(board);

    if (home == NULL) {
        home = g_new0(MemCachedHome, 1);
        g_hash_table_insert(board->mem->home_cache, g_strdup(key), home);
    }
    if (now >= home->until_us) {
        home->is_home =
            strcmp(Mem_FindHome(board, key, region), board->vm) == 0;
        home->until_us = now + MEM_HOME_CACHE_US;
    }
    return home->is_home;
}

const char *
Mem_FindAddress(const Board *board, const char *id)
{
    const MemVm *vm = g_hash_table_lookup(board->mem->vms, id);
    return vm != NULL && vm->address[0] != '\0' ? vm->address : NULL;
}

MemState
Mem_GetState(const Board *board, const char *id)
{
    const MemVm *vm = g_hash_table_lookup(board->mem->vms, id);
    return vm != NULL ? vm->state : MEM_DEAD;
}

bool
Mem_IsRemoved(const Board *board, const char *id)
{
    const MemVm *vm = g_hash_table_lookup(board->mem->vms, id);
    return vm != NULL && !vm->listed && vm->state == MEM_DEAD;
}

uint64_t
Mem_GetIncarnation(const Board *board, const char *id)
{
    const MemVm *vm = g_hash_table_lookup(board->mem->vms, id);
    return vm != NULL ? vm->hello_incarnation : 0;
}

const char *
Mem_FindNewerConfig(const Board *board, uint64_t version)
{
    const MemVm *best = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, board->mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const MemVm *vm = value;
        if (vm != board->mem->self && vm->config_version > version &&
            (best == NULL || vm->config_version > best->config_version)) {
            best = vm;
        }
    }
    return best != NULL ? best->id : NULL;
}

bool
Mem_IsViewStale(const Board *board)
{
    const Mem *mem = board->mem;
    int64_t now = Board_Now(board);

    return now < mem->stale_until_us ||
           (mem->last_tick_us != 0 &&
            now - mem->last_tick_us > MEM_PAUSE_MIN_US);
}

void
Mem_SetViewFresh(Board *board)
{
    board->mem->stale_until_us = 0;
}

json_t *
Mem_Describe(const Board *board)
{
    static const char *const names[] = {"alive", "suspect", "dead"};
    json_t *array = json_array();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, board->mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const MemVm *vm = value;
        json_array_append_new(
            array,
            json_pack("{s:s, s:s, s:s, s:s, s:b, s:I}", "vm", vm->id,
                      "address", vm->address, "zone", vm->zone, "state",
                      names[vm->state], "leaving", (int)vm->leaving,
                      "config_version", (json_int_t)vm->config_version));
    }
    return array;
}

static MemVm *
add_vm(Mem *mem, const char *id)
{
    MemVm *vm = g_new0(MemVm, 1);

    g_strlcpy(vm->id, id, sizeof(vm->id));
    vm->position = Own_GetWeight("ring", vm->id);
    g_hash_table_insert(mem->vms, vm->id, vm);
    return vm;
}

static gint
compare_positions(gconstpointer a, gconstpointer b)
{
    const MemVm *left = *(const MemVm *const *)a;
    const MemVm *right = *(const MemVm *const *)b;

    if (left->position != right->position) {
        return left->position < right->position ? -1 : 1;
    }
    return strcmp(left->id, right->id);
}

static void
rebuild_ring(Board *board)
{
    Mem *mem = board->mem;
    GHashTableIter iter;
    gpointer value;

    g_ptr_array_set_size(mem->ring, 0);
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        MemVm *vm = value;
        if (vm == mem->self || (vm->listed && vm->state != MEM_DEAD)) {
            g_ptr_array_add(mem->ring, vm);
        }
    }
    g_ptr_array_sort(mem->ring, compare_positions);
}

static void
set_state(Board *board, MemVm *vm, MemState state, uint64_t incarnation)
{
    vm->state = state;
    vm->incarnation = incarnation;
    vm->updates_left = MEM_UPDATE_SENDS;
    if (state == MEM_ALIVE) {
        vm->last_heartbeat_us = Board_Now(board);
    }
    else if (state == MEM_SUSPECT) {
        vm->suspect_us = Board_Now(board);
    }
    rebuild_ring(board);
    send_to_fingers(board);
}

static void
apply_update(Board *board, const Wire__MemberNews *news)
{
    Mem *mem = board->mem;
    MemVm *vm = g_hash_table_lookup(mem->vms, news->vm);

    if (vm == NULL || news->state > MEM_DEAD) {
        return;
    }
    if (vm == mem->self) {
        if (news->state != MEM_ALIVE && news->incarnation >= vm->incarnation) {
            set_state(board, vm, MEM_ALIVE, news->incarnation + 1);
        }
        return;
    }
    if (news->incarnation > vm->incarnation ||
        (news->incarnation == vm->incarnation && news->state > vm->state)) {
        set_state(board, vm, (MemState)news->state, news->incarnation);
    }
}

/* Sends one heartbeat with this VM's state and the updates to forward. */
static void
send_heartbeat(Board *board, const MemVm *target)
{
    Mem *mem = board->mem;
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Heartbeat heartbeat = WIRE__HEARTBEAT__INIT;
    Wire__MemberNews news[MEM_UPDATES_MAX];
    Wire__MemberNews *pointers[MEM_UPDATES_MAX];
    GHashTableIter iter;
    gpointer value;
    size_t count = 0;

    g_hash_table_iter_init(&iter, mem->vms);
    while (count < MEM_UPDATES_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        MemVm *vm = value;
        if (vm->updates_left == 0) {
            continue;
        }
        wire__member_news__init(&news[count]);
        news[count].vm = vm->id;
        news[count].incarnation = vm->incarnation;
        news[count].state = vm->state;
        pointers[count] = &news[count];
        count++;
    }
    heartbeat.incarnation = mem->self->incarnation;
    heartbeat.config_version =
        board->config != NULL ? board->config->version : 0;
    heartbeat.leaving = board->stopping;
    heartbeat.n_news = count;
    heartbeat.news = pointers;
    frame.body_case = WIRE__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &heartbeat;
    Board_SendFrame(board, target->id, &frame);
}

/* Counts one round in which the updates were forwarded. */
static void
count_update_send(Mem *mem)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        MemVm *vm = value;
        vm->updates_left -= vm->updates_left > 0 ? 1 : 0;
    }
}

/* Sends a heartbeat to the fingers: the ring members at distances 1, 2, 4, ...
   from this VM. */
static void
send_to_fingers(Board *board)
{
    Mem *mem = board->mem;
    guint self = 0;
    guint sent = 0;

    while (self < mem->ring->len && mem->ring->pdata[self] != mem->self) {
        self++;
    }
    for (guint step = 1; step < mem->ring->len && sent < MEM_FINGERS_MAX;
         step *= 2) {
        send_heartbeat(board,
                       mem->ring->pdata[(self + step) % mem->ring->len]);
        sent++;
    }
    count_update_send(mem);
}

/* Suspects the ring predecessors that sent no heartbeat in time. */
static void
watch_predecessors(Board *board, int64_t now)
{
    Mem *mem = board->mem;
    guint self = 0;
    guint length = mem->ring->len;
    GPtrArray *silent = g_ptr_array_new();

    while (self < length && mem->ring->pdata[self] != mem->self) {
        self++;
    }
    for (guint k = 1; k <= MEM_WATCHERS && k < length; k++) {
        MemVm *vm = mem->ring->pdata[(self + length - k) % length];
        if (vm->last_heartbeat_us == 0) {
            vm->last_heartbeat_us = now;
        }
        if (vm->state == MEM_ALIVE &&
            now - vm->last_heartbeat_us > MEM_SUSPECT_AFTER_US) {
            g_ptr_array_add(silent, vm);
        }
    }
    for (guint i = 0; i < silent->len; i++) {
        MemVm *vm = silent->pdata[i];
        set_state(board, vm, MEM_SUSPECT, vm->incarnation);
    }
    g_ptr_array_unref(silent);
}

/* Declares VMs dead that were suspected for MEM_DEAD_AFTER_US, and suspects
   VMs off the list without a heartbeat for MEM_UNLISTED_SUSPECT_AFTER_US. */
static void
expire_suspects(Board *board, int64_t now)
{
    GPtrArray *expired = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, board->mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        MemVm *vm = value;
        if (!vm->listed && vm != board->mem->self && vm->state == MEM_ALIVE &&
            now - vm->last_heartbeat_us > MEM_UNLISTED_SUSPECT_AFTER_US) {
            vm->state = MEM_SUSPECT;
            vm->suspect_us = now;
        }
        if (vm->state == MEM_SUSPECT &&
            now - vm->suspect_us > MEM_DEAD_AFTER_US) {
            g_ptr_array_add(expired, vm);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        MemVm *vm = expired->pdata[i];
        set_state(board, vm, MEM_DEAD, vm->incarnation);
    }
    g_ptr_array_unref(expired);
}

/* Sends heartbeats to dead VMs on the list. After a partition heals, the VMs
   of the other side learn that they were declared dead and refute it. */
static void
probe_dead(Board *board, int64_t now)
{
    Mem *mem = board->mem;
    GHashTableIter iter;
    gpointer value;

    if (now < mem->next_probe_us) {
        return;
    }
    mem->next_probe_us = now + MEM_PROBE_INTERVAL_US;
    g_hash_table_iter_init(&iter, mem->vms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        MemVm *vm = value;
        if (vm->state == MEM_DEAD && vm->listed) {
            vm->updates_left = MAX(vm->updates_left, 1);
            send_heartbeat(board, vm);
        }
    }
}
