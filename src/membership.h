/* Membership (Mem_): tracks which VMs are alive and which VM is the home of a
   key. The platform's VM list names the VMs that may exist; heartbeats show
   which of them are alive. Each VM sends heartbeats to a few successors on a
   ring, which watch it. A VM that sends none is suspected, then declared dead
   unless it refutes the suspicion with a higher incarnation. State updates
   are flooded along the fingers of the ring, whose number grows with the
   logarithm of the number of VMs. */
#ifndef LS_MEMBERSHIP_H
#define LS_MEMBERSHIP_H

#include "board.h"

#define MEM_HEARTBEAT_US CLK_US_PER_S /* Interval of heartbeats. */
/* Time without a heartbeat after which a watched VM is suspected. */
#define MEM_SUSPECT_AFTER_US (3 * CLK_US_PER_S)
/* Time under suspicion after which a VM is declared dead. */
#define MEM_DEAD_AFTER_US (3 * CLK_US_PER_S)
/* A longer gap between ticks means that the process was paused. */
#define MEM_PAUSE_MIN_US (2 * CLK_US_PER_S)
/* Time for which a VM is not chosen as a home after its link failed. */
#define MEM_LINK_RETRY_US (2 * CLK_US_PER_S)
/* Lifetime of a cached result of Mem_IsHome. */
#define MEM_HOME_CACHE_US (100 * CLK_US_PER_MS)
#define MEM_WATCHERS 2 /* Ring successors that watch a VM. */

typedef enum MemState {
    MEM_ALIVE,
    MEM_SUSPECT,
    MEM_DEAD,
} MemState;

/* One row of the platform's VM list. */
typedef struct MemListRow {
    char vm[CON_ID_MAX];
    char address[CON_ADDRESS_MAX]; /* Address of the peer port. */
    char zone[CON_ID_MAX];
    char region[CON_ID_MAX];
    bool leaving;
} MemListRow;

typedef struct Mem Mem;

Mem *Mem_New(const char *vm, uint64_t incarnation);
void Mem_Free(Mem *mem);

/* Applies the platform's VM list, an array of MemListRow. */
void Mem_SetVmList(Board *board, const GArray *rows);
/* Handles the Hello frame of a peer's process on a new connection. */
void Mem_OnHello(Board *board, const char *vm, uint64_t incarnation);
/* Records a heartbeat and applies the member updates in it. */
void Mem_OnHeartbeat(Board *board, const char *vm,
                     const Wire__Heartbeat *heartbeat);
/* Handles a failed link to a peer: the peer is not chosen as a home for
   MEM_LINK_RETRY_US. */
void Mem_OnLinkDown(Board *board, const char *vm);
/* Sends heartbeats, and suspects VMs or declares them dead. */
void Mem_OnTick(Board *board);
/* Sends this VM's state and configuration version to the fingers at once. */
void Mem_Announce(Board *board);

/* Finds the home of a key: a usable VM of the region, or of any region if the
   region has none. This VM itself is usable unless it is shutting down. The
   identifier belongs to the board. */
const char *Mem_FindHome(Board *board, const char *key, const char *region);
/* Whether this VM is the home of a key. The result for a key is cached for
   MEM_HOME_CACHE_US, because loops call this for each engine of a cell. */
bool Mem_IsHome(Board *board, const char *key, const char *region);
/* Returns the address of a VM's peer port, or NULL if it is not known. */
const char *Mem_FindAddress(const Board *board, const char *vm);
/* Returns a VM's state; MEM_DEAD if the VM is not known. */
MemState Mem_GetState(const Board *board, const char *vm);
/* Whether the VM is dead and no longer on the platform's list. */
bool Mem_IsRemoved(const Board *board, const char *vm);
/* Returns the incarnation in the last Hello of the VM; 0 if there was none. */
uint64_t Mem_GetIncarnation(const Board *board, const char *vm);
/* Finds the VM that announced the highest configuration version above
   `version`; NULL if there is none. */
const char *Mem_FindNewerConfig(const Board *board, uint64_t version);
/* Whether this process paused so recently that its view of the members may be
   out of date. */
bool Mem_IsViewStale(const Board *board);
/* Ends the time for which the view counts as stale after a pause. The
   configuration reader calls it when it has read the manifest. */
void Mem_SetViewFresh(Board *board);
/* Describes the members for the status page, as a new JSON array that the
   caller frees. */
json_t *Mem_Describe(const Board *board);

#endif
