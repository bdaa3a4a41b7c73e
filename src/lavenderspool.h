/* lavenderspool: the coordination parts as a library. This header includes the
   public modules and summarises their functions in a line each; the modules'
   own headers have the details. None of the modules opens a socket or starts a
   thread, and they read the system clock only through Clk. Errors are numbered
   (docs/ERRORS.md). */
#ifndef LAVENDERSPOOL_H
#define LAVENDERSPOOL_H

/* Clock: the monotonic clock, which tests can pause and advance.
   Clk_Default()                    returns a running clock
   Clk_Pause(clk, now_us)           stops it at a given time
   Clk_Advance(clk, by_us)          advances a paused clock
   Clk_Now(clk)                     monotonic time in microseconds */
#include "clock.h"

/* Errors: numbered result codes and the error struct.
   Err_Set(err, code, run, fmt...)  fills in an error and returns its code
   Err_Clear(err)                   resets an error to LS_OK
   Err_GetName(code)                the code's name, as in docs/ERRORS.md
   Err_GetRunName(run)              "not_run", "unknown" or "ran"
   Err_GetHttpStatus(code)          the HTTP status for a caller */
#include "errors.h"

/* Own: ownership by rendezvous hashing.
   Own_GetWeight(key, member)       the highest weight owns the key
   Own_FindOwner(key, members, n)   index of the owner, or -1 */
#include "ownership.h"

/* Configuration: a manifest with digests, and the parts that it lists.
   Con_LoadManifest / Con_UnloadManifest      a parsed manifest
   Con_LoadConfig / Con_UnloadConfig          a validated configuration
   Con_NewPart / Con_FreePart                 a part's name and value
   Con_GetDigest(value, size)                 SHA-256 in hex
   Con_FindCustomer(config, key)              the customer of an API key
   Con_FindRoute(customer, service, path)     the route that covers a path
   Con_IsModelAllowed / Con_IsRegionAllowed   what the contract allows */
#include "configuration.h"

/* Board: one process's picture, and its intents through callbacks.
   Board_DefaultOptions()           option struct with defaults
   Board_New / Board_Free           a board and its controllers
   Board_SetConfig(board, c, err)   in force, if its version is higher
   Board_HandleCallEvent(board, e)  an HTTP call's event came */
#include "board.h"

/* Control: dispatches events to the controllers.
   Ctl_OnFrame(board, vm, frame)            a frame arrived from a peer
   Ctl_OnLinkDown(board, vm)                the link to a peer failed
   Ctl_OnCallerDisconnected(board, caller)  a caller's connection closed
   Ctl_OnTick(board)                        runs the controllers' timers
   Ctl_RunLocal(board)                      handles frames to this VM itself
   Ctl_Stop(board)                          begins a graceful shutdown
   Ctl_IsIdle(board)                        no request is in progress */
#include "control.h"

/* Mem: membership by heartbeats and the platform's VM list.
   Mem_SetVmList(board, rows)         takes a VM list over
   Mem_FindHome(board, key, region) the VM that is home of a key
   Mem_GetState(board, vm)          alive, suspect or dead
   Mem_IsRemoved(board, vm)            dead and off the list
   Mem_IsViewStale(board)        the process paused a moment ago */
#include "membership.h"

/* Quo: token buckets, shares of limits, retry budgets.
   Quo_FillBucket(bucket, r, b, t)  fills up for the time that passed
   Quo_TakeFromBucket(bucket, n)    takes, or says how long to wait
   Quo_Admit / Quo_Release          one request of a customer
   Quo_TakeRetry(board, customer)   one retry of the budget
   Quo_GetShare(limit, vms)         a VM's share of a limit */
#include "quota.h"

/* Op: non-idempotent operations at most once.
   Op_IssueKey(board, customer...)  a key that only this process may run
   Op_Begin(board, order)           runs it, or answers from the table
   Op_Cancel(board, caller)         the caller left; the operation goes on */
#include "operation.h"

#endif
