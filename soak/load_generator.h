/* Load generator of a soak test (Lod_): sends requests to all VMs at a fixed
   rate and checks each response while it arrives. Callers reuse their
   connections until the process at the other end has exited. */
#ifndef LS_LOAD_GENERATOR_H
#define LS_LOAD_GENERATOR_H

#include "ledger.h"

#include "clock.h"

#include <event2/event.h>

#define LOD_VMS_MAX 12

typedef struct LodOptions {
    struct event_base *base;
    const Clk *clk;
    Led *led;
    GRand *rand;
    const char *addresses[LOD_VMS_MAX]; /* "IP:port" of each VM */
    guint vms;                          /* number of VMs */
    uint32_t requests_per_s;            /* to all VMs together */
    /* Share of callers, 0 to 1, that disconnect before their response. */
    double disconnect_ratio;
} LodOptions;

typedef struct Lod Lod;

/* Starts to send requests. The pointers in `options` must outlive the load
   generator. */
Lod *Lod_New(const LodOptions *options);
/* Aborts all open requests. */
void Lod_Free(Lod *lod);
/* Sends no further requests; open requests continue. */
void Lod_Stop(Lod *lod);
/* Returns the number of open requests. */
guint Lod_CountOpen(const Lod *lod);
/* Resets the counts of served requests by VM and kind. */
void Lod_ResetServed(Lod *lod);
/* Returns whether each VM has served at least one request of each kind since
   the counts were reset. */
bool Lod_HasServedAll(const Lod *lod);

#endif
