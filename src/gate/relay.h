/* Relay (Rly_): copies the picture (configuration and workers' entries)
   between VMs over HTTP, for VMs that the picture's source refuses or doesn't
   answer. A VM requests it from a VM that has announced a newer version. */
#ifndef LS_RELAY_H
#define LS_RELAY_H

#include "../io/client.h"
#include "../io/server.h"
#include "feed.h"

typedef struct RlyOptions {
    struct event_base *base;
    const Clk *clk;
    Cli *cli;
    Feed *feed;
    const char *ip; /* Address to listen at for other VMs. */
    uint16_t port;  /* TCP. */
} RlyOptions;

typedef struct Rly Rly;

RlyOptions Rly_DefaultOptions(void);
/* Listens. Returns NULL with *err filled in if it can't. */
Rly *Rly_New(const RlyOptions *options, LsError *err);
void Rly_Free(Rly *rly);
/* Requests the picture of the VM at this address, unless another request is in
   progress or has begun a short while ago. */
void Rly_FetchPicture(Rly *rly, const char *address);

#endif
