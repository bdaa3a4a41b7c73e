/* Access: checks the key of a caller's request, and replaces the fields that
   hold the key and the account's name. A key is used for the look-up only: it
   is not kept, logged or forwarded.

   Where the settings bound the use of removed keys, a key counts only while
   the VM has a lease (decide/key_lease.h). Proofs for it come from the store
   and from other VMs (vouch.h). One check, as the request begins, covers all
   its calls: it was sent before. */
#ifndef LS_ACCESS_H
#define LS_ACCESS_H

#include "../errors.h"
#include "task.h"

/* Checks a request on a route of the gate's configuration. `is_relayed`:
   another VM has checked it and passes it on, with the account's name. Stores
   the account, or NULL if the request has none, in *account. From then on,
   request->account is the name that calls carry, or NULL, and the request has
   no key. Returns an error if the request is rejected. */
LsResult Access_Check(Gate *gate, const RteRoute *route, bool is_relayed,
                      ServerExchange *exchange, GateRequest *request,
                      const Account **account, LsError *err);

void Access_Init(Gate *gate);
void Access_Clear(Gate *gate);
/* Returns the time that counts for proofs: that of the gate's clock with the
   time for which the machine was suspended. */
int64_t Access_Now(const Gate *gate);
/* Whether keys are accepted with a lease only. */
bool Access_NeedsLease(const Gate *gate);
/* As KeyLease_NoteEra() and KeyLease_AddProof(). `source` names where the
   proof comes from, for the log. */
void Access_NoteEra(Gate *gate, uint64_t era);
void Access_NoteProof(Gate *gate, uint64_t era, int64_t at_us,
                      const char *source);
/* Logs whether the VM has a lease, if that has changed. `source` as above. */
void Access_LogLease(Gate *gate, const char *source);
/* Returns the metrics of the process, with the lease and the accounts, for
   g_free(). */
char *Access_FormatMetrics(const Gate *gate);

/* Returns the priority of the account, or else of the route. */
uint32_t Access_GetPriority(const RteRoute *route, const Account *account);

#endif
