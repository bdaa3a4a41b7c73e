/* Lod: the callers of a soak. They keep connections and use them until the
   process behind them is gone, and check each answer as it comes. */
#ifndef LS_LOD_H
#define LS_LOD_H

#include "led.h"

#include "clk.h"

#include <event2/event.h>

#define LOD_VMS_MAX 12

typedef struct LodOptions {
    struct event_base *base;
    const Clk *clk;
    Led *led;
    GRand *rand;
    const char *addresses[LOD_VMS_MAX]; /* "IP:port" for callers, a VM. */
    guint vms;
    uint32_t requests_per_s; /* Requests a second, all VMs together. */
    double leaving; /* Share of callers who leave before their answer. */
} LodOptions;

typedef struct Lod Lod;

Lod *Lod_New(const LodOptions *options);
void Lod_Free(Lod *lod);
void Lod_Stop(Lod *lod); /* Starts no more requests. */
guint Lod_CountOpen(const Lod *lod);
/* From now on counts what is served, by VM and kind. */
void Lod_ResetServed(Lod *lod);
/* Whether each VM has served each kind since then. */
bool Lod_HasServedAll(const Lod *lod);

#endif
