/* Pol: keeps the pools of model workers in proportion to the load, by orders
   to single workers. One VM at a time gives the orders for a service: its
   home among the VMs that hear each other, after it has been home for long
   enough that no other VM can still think that it is. */
#ifndef LS_POL_H
#define LS_POL_H

#include "gate.h"
#include "gos.h"

typedef struct PolOptions {
    struct event_base *base;
    const Clk *clk;
    Cli *cli;
    Flt *fleet;
    Gate *gate;
    Gos *gossip;
    const GateCodec *codec;
    const char *vm;
    uint32_t lease_ms; /* Two VMs must not give orders within it. */
    void *context;
    /* Whether the source of the workers' entries answers this VM. */
    bool (*is_source_reachable)(void *context);
} PolOptions;

typedef struct Pol Pol;

PolOptions Pol_DefaultOptions(void);
Pol *Pol_New(const PolOptions *options);
void Pol_Free(Pol *pol);

#endif
