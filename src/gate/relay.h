/* Relay: copies the picture (configuration and workers' entries)
   between VMs over HTTP, for VMs that the picture's source refuses or doesn't
   answer. A VM requests it from a VM that has announced a newer version. */
#ifndef LS_RELAY_H
#define LS_RELAY_H

#include "../io/client.h"
#include "../io/server.h"
#include "feed.h"

typedef struct RelayOptions {
    struct event_base *base;
    const Clk *clk;
    Client *client;
    Feed *feed;
    const char *ip; /* Address to listen at for other VMs. */
    uint16_t port;  /* TCP. */
} RelayOptions;

typedef struct Relay Relay;

RelayOptions Relay_DefaultOptions(void);
/* Listens. Returns NULL with *err filled in if it can't. */
Relay *Relay_New(const RelayOptions *options, LsError *err);
void Relay_Free(Relay *relay);
/* Requests the picture of the VM at this address, unless another request is in
   progress or has begun a short while ago. */
void Relay_FetchSnapshot(Relay *relay, const char *address);

#endif
