/* Shutdown: the planned stop of one VM's gate. The VM takes no further
   connections once the load balancer has taken it out, finishes what it can
   within the grace, and ends the rest shortly before the kill. */
#ifndef LS_SHUTDOWN_H
#define LS_SHUTDOWN_H

#include "../io/server.h"
#include "gate.h"
#include "relay.h"

typedef struct ShutdownOptions {
    struct event_base *base;
    const Clk *clk;
    const GateCodec *codec;
    Gate *gate;
    Server *callers;
    Relay *relay; /* NULL without other VMs. */
    /* As in EdgeOptions. */
    uint32_t notice_ms;
    uint32_t grace_ms;
} ShutdownOptions;

typedef struct Shutdown Shutdown;

Shutdown *Shutdown_New(const ShutdownOptions *options);
void Shutdown_Free(Shutdown *shutdown); /* NULL is allowed. */
/* Begins the stop; the event loop ends when it is complete. The grace counts
   from `signal_us`, before which the stop signal was not sent. Further calls
   do nothing. */
void Shutdown_Begin(Shutdown *shutdown, int64_t signal_us);
bool Shutdown_HasBegun(const Shutdown *shutdown); /* NULL is allowed. */

#endif
