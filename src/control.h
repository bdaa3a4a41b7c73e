/* Control (Ctl_): dispatches each event (a peer's frame, a lost link, a
   disconnected caller, a clock tick) to the controllers that handle it. A
   caller is the open HTTP request of one client. */
#ifndef LS_CONTROL_H
#define LS_CONTROL_H

#include "board.h"

/* Handles a frame received from a VM. */
void Ctl_OnFrame(Board *board, const char *vm, const Wire__Frame *frame);
/* Handles a link to a VM that failed or timed out. */
void Ctl_OnLinkDown(Board *board, const char *vm);
/* Handles a caller that closed its connection before its response was
   complete. */
void Ctl_OnCallerDisconnected(Board *board, uint64_t caller);
/* Runs the controllers' timers. Call it about every BOARD_TICK_US. */
void Ctl_OnTick(Board *board);
/* Handles the frames that this VM sent to itself. Call it after each of the
   functions above and after each request of a caller. */
void Ctl_RunLocal(Board *board);
/* Begins a graceful shutdown: new work is refused, and this VM stops being the
   home of its cells, which move to other VMs. */
void Ctl_Stop(Board *board);
/* Answers what is still in progress, as the process can't wait for it. */
void Ctl_EndAll(Board *board);
/* Returns whether no completion, service call or operation is in progress and
   no reservation waits on this VM. */
bool Ctl_IsIdle(const Board *board);

#endif
