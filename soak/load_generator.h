/* Load generator (LoadGen_): sends a soak test's requests to all VMs at a
   fixed rate and checks each response while it arrives. Callers reuse their
   connections, also while the process at the other end shuts down. */
#ifndef LS_LOAD_GENERATOR_H
#define LS_LOAD_GENERATOR_H

#include "ledger.h"

#include "clock.h"

#include <event2/event.h>

#define LOAD_GEN_VMS_MAX LEDGER_VMS_MAX

typedef struct LoadGenOptions {
    struct event_base *base;
    const Clk *clk;
    Ledger *ledger;
    GRand *rand;
    const char *addresses[LOAD_GEN_VMS_MAX]; /* "IP:port" of each VM */
    guint vm_count;                          /* Number of VMs. */
    uint32_t requests_per_s;                 /* To all VMs together. */
    /* Share of callers, 0 to 1, that disconnect before their response. */
    double disconnect_ratio;
    /* Callers take up streams that broke off, at any VM. */
    bool takes_up;
    double long_ratio; /* Share of the streams that are long. */
} LoadGenOptions;

typedef struct LoadGen LoadGen;

/* Starts to send requests. The pointers in `options` must outlive the load
   generator. */
LoadGen *LoadGen_New(const LoadGenOptions *options);
/* Aborts all open requests. */
void LoadGen_Free(LoadGen *load_gen);
/* From now on this share of the streams, 0 to 1, has a part in its prompt on
   which workers crash, a new one with each call. */
void LoadGen_SetCrashRatio(LoadGen *load_gen, double ratio);
/* Sends no further requests; open requests continue. */
void LoadGen_Stop(LoadGen *load_gen);
/* Returns the number of streams that were taken up. */
guint LoadGen_CountTakenUp(const LoadGen *load_gen);
/* Returns the longest time for which the soak test itself was held up. */
int64_t LoadGen_GetHeldUp(const LoadGen *load_gen);
/* Returns the number of open requests. */
guint LoadGen_CountOpen(const LoadGen *load_gen);
/* Resets the counts of served requests by VM and kind. */
void LoadGen_ResetServed(LoadGen *load_gen);
/* Returns whether each VM has served at least one request of each kind since
   the counts were reset. */
bool LoadGen_HasServedAll(const LoadGen *load_gen);
/* Returns the VMs and kinds of which none was served since, "" if none, to
   be freed with g_free(). */
char *LoadGen_ListUnserved(const LoadGen *load_gen);

#endif
