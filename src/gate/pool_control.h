/* Pool control (Pol_): keeps the sizes of the prefill and decode pools in
   proportion to the load by ordering single workers to change their phase.
   Only one VM at a time sends the orders for a service: the service's home
   among the VMs that are in contact, and only after it has been home for so
   long that no other VM can still believe to be home. */
#ifndef LS_POOL_CONTROL_H
#define LS_POOL_CONTROL_H

#include "gate.h"
#include "gossip.h"

typedef struct PolOptions {
    struct event_base *base;
    const Clk *clk;
    Cli *cli;
    Flt *fleet;
    Gate *gate;
    Gos *gossip;
    const GateCodec *codec;
    const char *vm;
    uint32_t lease_ms; /* Orders within this time must come from one VM. */
    void *context;
    /* Whether the source, the store of configuration and workers, answers
       this VM. Without it no orders are sent. */
    bool (*is_source_reachable)(void *context);
} PolOptions;

typedef struct Pol Pol;

PolOptions Pol_DefaultOptions(void);
/* Starts the control loop. The strings in *options are not copied. */
Pol *Pol_New(const PolOptions *options);
void Pol_Free(Pol *pol); /* NULL is allowed. */

#endif
