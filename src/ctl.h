/* Ctl: hands each observation to the controllers it concerns. */
#ifndef LS_CTL_H
#define LS_CTL_H

#include "board.h"

/* A frame came from a VM. */
void Ctl_OnFrame(Board *board, const char *vm, const Wire__Frame *frame);
/* The link to a VM failed or went silent. */
void Ctl_OnLinkDown(Board *board, const char *vm);
/* The caller closed its connection before its answer was whole. */
void Ctl_OnCallerDisconnected(Board *board, uint64_t caller);
/* BOARD_TICK_US or so has passed. */
void Ctl_OnTick(Board *board);
/* Handles the frames that this VM sent to itself. Call it after each of the
   others and after each intent of a caller. */
void Ctl_RunLocal(Board *board);
/* Begins a graceful shutdown: no new work, cells go to other homes. */
void Ctl_Stop(Board *board);
/* Whether nothing that was begun is still in progress here. */
bool Ctl_IsIdle(const Board *board);

#endif
