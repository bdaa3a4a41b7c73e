/* Mem: membership. The platform's VM list says who may exist; heartbeats say
   who is alive. Each VM sends heartbeats to a few ring successors, which
   watch it; a silent VM is suspected, then declared dead unless it objects
   with a higher incarnation. News floods along ring fingers, whose number
   grows with the logarithm of the fleet. */
#ifndef LS_MEM_H
#define LS_MEM_H

#include "board.h"

#define MEM_HEARTBEAT_US CLK_US_PER_S
#define MEM_SUSPECT_US (3 * CLK_US_PER_S)
#define MEM_DEAD_US (3 * CLK_US_PER_S)
#define MEM_PAUSE_US (2 * CLK_US_PER_S)      /* A longer gap is a pause. */
#define MEM_LINK_RETRY_US (2 * CLK_US_PER_S) /* Before a home is retried. */
#define MEM_HOME_US (100 * CLK_US_PER_MS)    /* An answer's life. */
#define MEM_WATCHERS 2                       /* Successors that watch a VM. */

typedef enum MemState {
    MEM_ALIVE,
    MEM_SUSPECT,
    MEM_DEAD,
} MemState;

/* One row of the platform's VM list. */
typedef struct MemListRow {
    char vm[CON_ID_MAX];
    char address[CON_ADDRESS_MAX]; /* Of its peer link. */
    char zone[CON_ID_MAX];
    char region[CON_ID_MAX];
    bool leaving;
} MemListRow;

typedef struct Mem Mem;

Mem *Mem_New(const char *vm, uint64_t incarnation);
void Mem_Free(Mem *mem);

/* Takes over a VM list; rows is an array of MemListRow. */
void Mem_SetVmList(Board *board, const GArray *rows);
/* A peer's process introduced itself on a connection. */
void Mem_OnHello(Board *board, const char *vm, uint64_t incarnation);
void Mem_OnHeartbeat(Board *board, const char *vm,
                     const Wire__Heartbeat *heartbeat);
/* The link to a peer failed: choose others for a while. */
void Mem_OnLinkDown(Board *board, const char *vm);
void Mem_OnTick(Board *board);
/* Tells the fingers now of a change of this VM's state or configuration. */
void Mem_Announce(Board *board);

/* The VM that is home of a key: in the region if one is usable there, else
   anywhere. This VM itself is always usable, unless it is leaving. */
const char *Mem_FindHome(Board *board, const char *key, const char *region);
/* Whether this VM is home of a key. The answer for a key is kept for
   MEM_HOME_US, for loops over the members of cells. */
bool Mem_IsHome(Board *board, const char *key, const char *region);
const char *Mem_FindAddress(const Board *board, const char *vm);
MemState Mem_GetState(const Board *board, const char *vm);
/* Whether the VM is dead and no longer on the platform's list. */
bool Mem_IsRemoved(const Board *board, const char *vm);
/* The last start of the VM's process that was heard of; 0 if none was. */
uint64_t Mem_GetIncarnation(const Board *board, const char *vm);
/* A VM that announced a configuration above this version, or NULL. */
const char *Mem_FindNewerConfig(const Board *board, uint64_t version);
/* Whether the process paused so recently that its picture may be stale. */
bool Mem_IsViewStale(const Board *board);
/* The picture was read afresh after the pause. */
void Mem_SetViewFresh(Board *board);
json_t *Mem_Describe(const Board *board); /* Array of members, for status. */

#endif
