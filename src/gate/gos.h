/* Gos: gossip between the VMs of a deployment, by datagram. Each tells its
   neighbours what it has under way at which worker, so that choices count
   the calls of all VMs, and which configuration it knows. What is heard is a
   hint: nothing is wrong without it. VMs find each other through seeds. */
#ifndef LS_GOS_H
#define LS_GOS_H

#include "../clk.h"
#include "../err.h"
#include "flt.h"

#include <event2/event.h>

#define GOS_SEEDS_MAX 8

typedef struct GosOptions {
    struct event_base *base;
    const Clk *clk;
    const char *ip;
    uint16_t port; /* UDP; 0 takes any free port. */
    const char *vm;
    const char *region;
    uint64_t incarnation;             /* Random; differs with each start. */
    const char *seeds[GOS_SEEDS_MAX]; /* "IP:port"; copied. */
    guint seed_count;
    Flt *fleet; /* Takes the other VMs' use of workers. */
    guint32 seed;
    void *context;
    uint64_t (*get_config_version)(void *context);
    uint64_t (*get_revision)(void *context);
    /* A VM at this address knows of newer things. */
    void (*on_newer_peer)(void *context, const char *address,
                          uint64_t config_version, uint64_t revision);
} GosOptions;

/* What a VM, or several, have to do with a service. */
typedef struct GosDemand {
    double prompt_per_us; /* Prompt tokens a microsecond. */
    double held;          /* Memory for decoding, tokens at a time. */
    double requests;      /* Within the last window of the retry budget. */
    double extras;        /* Calls beyond the first of each request in it. */
} GosDemand;

typedef struct Gos Gos;

GosOptions Gos_DefaultOptions(void);
Gos *Gos_New(const GosOptions *options, LsError *err);
void Gos_Free(Gos *gos);
void Gos_SetSeeds(Gos *gos, const char *const *seeds, guint count);
/* This VM's use of workers changed: tells the others soon. */
void Gos_ScheduleUpdate(Gos *gos);
/* VMs that may be at work, this one too: the most of the last minute, since
   those that are not heard may only be cut off. */
uint32_t Gos_CountVms(const Gos *gos);
/* Of this VM for a service, told to the others; and of all others heard. */
void Gos_SetDemand(Gos *gos, const char *service, const GosDemand *demand);
GosDemand Gos_GetDemand(const Gos *gos, const char *service);
GosDemand Gos_SumPeerDemand(const Gos *gos, const char *service);
/* Of those others that each message reaches, and whose messages reach this
   VM: all of a small deployment, those of its region in a large one. */
GosDemand Gos_SumNearDemand(const Gos *gos, const char *service,
                            uint32_t *count);
bool Gos_HasMajority(const Gos *gos); /* Of the VMs that it counts. */
/* Whether this VM is home of the key among the VMs heard. */
bool Gos_IsHome(const Gos *gos, const char *key);
guint Gos_CountLivePeers(const Gos *gos); /* VMs that are heard now. */

#endif
