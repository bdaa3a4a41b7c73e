/* Access: checks the key of a caller's request, and replaces the fields that
   hold the key and the account's name. A key is used for the look-up only: it
   is not kept, logged or forwarded. */
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
/* Returns the priority of the account, or else of the route. */
uint32_t Access_GetPriority(const RteRoute *route, const Account *account);

#endif
