/* Pool control (PoolControl_): keeps the sizes of the prefill and decode pools
   in proportion to the load by ordering single workers to change their phase.
   Only one VM at a time sends the orders for a service: the service's home
   among the VMs that are in contact, and only after it has been home for so
   long that no other VM can still act as home. */
#ifndef LS_POOL_CONTROL_H
#define LS_POOL_CONTROL_H

#include "gate.h"
#include "gossip.h"

typedef struct PoolControlOptions {
    struct event_base *base;
    const Clk *clk;
    Client *client;
    Fleet *fleet;
    Gate *gate;
    Gos *gossip;
    const GateCodec *codec;
    const char *vm;
    uint32_t lease_ms; /* Orders within this time must come from one VM. */
    void *context;
    /* Whether the source, the store of configuration and workers, answers
       this VM. Without it no orders are sent. */
    bool (*is_source_reachable)(void *context);
} PoolControlOptions;

typedef struct PoolControl PoolControl;

PoolControlOptions PoolControl_DefaultOptions(void);
/* Starts the control loop. The strings in *options are not copied. */
PoolControl *PoolControl_New(const PoolControlOptions *options);
void PoolControl_Free(PoolControl *control); /* NULL is allowed. */

#endif
