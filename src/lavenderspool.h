/* lavenderspool: coordination parts for embedding. This header is the cheat
   sheet: one line a function, grouped by module; each module's own header
   has the details. None of them opens a socket, starts a thread or reads the
   system clock but through Clk. Errors are numbered (docs/ERRORS.md). */
#ifndef LAVENDERSPOOL_H
#define LAVENDERSPOOL_H

/* Clk: the clock, which tests pause and advance.
   Clk_Default()                    a running clock
   Clk_Pause(clk, now_us)           stops it at a time
   Clk_Advance(clk, by_us)          moves a paused clock on
   Clk_Now(clk)                     monotonic time in microseconds */
#include "clk.h"

/* Err: numbered results and the error struct that is passed down.
   Err_Set(err, code, run, fmt...)  fills an error in, returns its code
   Err_Clear(err)                   resets it to LS_OK
   Err_GetName(code)                its name, as in docs/ERRORS.md
   Err_GetRunName(run)              "not_run", "unknown" or "ran"
   Err_GetHttpStatus(code)          the HTTP status for a caller */
#include "err.h"

/* Own: ownership by rendezvous hashing.
   Own_GetWeight(key, member)       the highest weight owns the key
   Own_FindOwner(key, members, n)   index of the owner, or -1 */
#include "own.h"

/* Con: configurations: a manifest with digests and the parts it names.
   Con_LoadManifest / Con_UnloadManifest      reads a manifest
   Con_LoadConfig / Con_UnloadConfig          checks and loads a whole one
   Con_NewPart / Con_FreePart                 one part's value
   Con_GetDigest(value, size)                 SHA-256 in hex
   Con_FindCustomer(config, key)              the contract of a key
   Con_FindRoute(customer, service, path)     what the contract allows
   Con_IsModelAllowed / Con_IsRegionAllowed   by contract */
#include "con.h"

/* Board: one process's picture, and its intents through callbacks.
   Board_DefaultOptions()           option struct with defaults
   Board_New / Board_Free           a board and its controllers
   Board_SetConfig(board, c, err)   in force, if its version is higher
   Board_HandleCallEvent(board, e)  an HTTP call's event came */
#include "board.h"

/* Ctl: hands observations to the controllers.
   Ctl_OnFrame(board, vm, frame)    a peer's frame came
   Ctl_OnLinkDown(board, vm)        a peer's link failed
   Ctl_OnCallerDisconnected(board, caller)  a caller left
   Ctl_OnTick(board)                time has passed
   Ctl_RunLocal(board)              handles frames to this VM itself
   Ctl_Stop(board)                  begins a graceful shutdown
   Ctl_IsIdle(board)                nothing is in progress */
#include "ctl.h"

/* Mem: membership by heartbeats and the platform's VM list.
   Mem_SetList(board, rows)         takes a VM list over
   Mem_FindHome(board, key, region) the VM that is home of a key
   Mem_GetState(board, vm)          alive, suspect or dead
   Mem_IsGone(board, vm)            dead and off the list
   Mem_IsPictureStale(board)        the process paused a moment ago */
#include "mem.h"

/* Quo: token buckets, shares of limits, retry budgets.
   Quo_FillBucket(bucket, r, b, t)  fills up for the time that passed
   Quo_TakeFromBucket(bucket, n)    takes, or says how long to wait
   Quo_Admit / Quo_Release          one request of a customer
   Quo_TakeRetry(board, customer)   one retry of the budget
   Quo_GetShare(limit, vms)         a VM's share of a limit */
#include "quo.h"

/* Op: non-idempotent operations at most once.
   Op_IssueKey(board, customer...)  a key that only this process may run
   Op_Begin(board, order)           runs it, or answers from the table
   Op_Cancel(board, caller)         the caller left; the operation goes on */
#include "op.h"

#endif
