/* lavenderspool: the coordination parts as a library. This header includes the
   public modules and summarises their main functions in a line each; the
   modules' own headers have the details. None of the modules opens a socket or
   starts a thread, and they read the system clock only through Clk. Errors are
   numbered (docs/ERRORS.md). */
#ifndef LAVENDERSPOOL_H
#define LAVENDERSPOOL_H

/* Clock (Clk_): the monotonic clock, which tests can pause and advance.
   Clk_Default()                    returns a running clock
   Clk_Pause(clk, now_us)           stops the clock at a given time
   Clk_Advance(clk, by_us)          advances a paused clock
   Clk_Now(clk)                     returns the time in microseconds */
#include "clock.h"

/* Errors (Err_): numbered result codes and the error struct.
   Err_Set(err, code, run, fmt...)  fills in an error and returns its code
   Err_Clear(err)                   resets an error to LS_OK
   Err_GetName(code)                returns the code's name
   Err_GetRunName(run)              returns "not_run", "unknown" or "ran"
   Err_GetHttpStatus(code)          returns the HTTP status for the caller */
#include "errors.h"

/* Ownership (Own_): assigns keys to members by rendezvous hashing.
   Own_GetWeight(key, member)       returns a weight; the highest owns the key
   Own_FindOwner(key, members, n)   returns the owner's index, or -1 */
#include "ownership.h"

/* Configuration (Con_): a manifest with digests, and the parts that it lists.
   Con_LoadManifest / Con_UnloadManifest     a parsed manifest
   Con_LoadConfig / Con_UnloadConfig         a validated configuration
   Con_NewPart / Con_FreePart                a part's name and value
   Con_GetDigest(value, size)                returns the SHA-256 in hex
   Con_FindCustomer(config, key)             finds the customer of an API key
   Con_FindRoute(customer, service, path)    finds the route that covers a path
   Con_IsModelAllowed / Con_IsRegionAllowed  whether the contract allows it */
#include "configuration.h"

/* Board: the state that the controllers share, and their output callbacks.
   Board_DefaultOptions()               returns default options
   Board_New / Board_Free               a board and its controllers
   Board_SetConfig(board, config, err)  activates a higher version
   Board_HandleCallEvent(board, event)  delivers an event of an HTTP call */
#include "board.h"

/* Control (Ctl_): dispatches events to the controllers.
   Ctl_OnFrame(board, vm, frame)            handles a frame from a VM
   Ctl_OnLinkDown(board, vm)                handles a failed link to a VM
   Ctl_OnCallerDisconnected(board, caller)  handles a closed caller connection
   Ctl_OnTick(board)                        runs the controllers' timers
   Ctl_RunLocal(board)                      handles frames to this VM itself
   Ctl_Stop(board)                          begins a graceful shutdown
   Ctl_IsIdle(board)                        whether nothing is in progress */
#include "control.h"

/* Membership (Mem_): tracks VMs by heartbeats and the platform's VM list.
   Mem_SetVmList(board, rows)        applies a VM list
   Mem_FindHome(board, key, region)  finds the VM that is the home of a key
   Mem_GetState(board, vm)           returns alive, suspect or dead
   Mem_IsRemoved(board, vm)          whether a VM is dead and off the list
   Mem_IsViewStale(board)            whether the process paused recently */
#include "membership.h"

/* Quotas (Quo_): token buckets, shares of limits and retry budgets.
   Quo_FillBucket(bucket, r, b, now)  adds what accrued since the last call
   Quo_TakeFromBucket(bucket, n)      takes n, or returns the time to wait
   Quo_Admit / Quo_Release            begins and ends a customer's request
   Quo_TakeRetry(board, customer)     takes one retry from the budget
   Quo_GetShare(limit, vm_count)      returns one VM's share of a limit */
#include "quota.h"

/* Operations (Op_): runs non-idempotent operations at most once.
   Op_IssueKey(board, customer, ...)  issues a key that only this process runs
   Op_Begin(board, params)            runs the operation or repeats its answer
   Op_Cancel(board, caller)           cancels the answer, not the operation */
#include "operation.h"

#endif
