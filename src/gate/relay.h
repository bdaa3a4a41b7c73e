/* Relay: answers the requests of other VMs over HTTP. It copies snapshots of
   the configuration and the workers' entries between VMs over HTTP, for VMs
   that don't watch the source (the store of configuration and workers), or
   that it refuses or doesn't answer. A VM requests the snapshot from a VM that
   has announced a newer version. */
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
    Gate *gate; /* Gets the requests that other VMs pass on (detour.h). */
    UnreadSum *unread; /* Of all responses; NULL: no bound. */
    const char *ip;    /* Address to listen at for other VMs. */
    uint16_t port;     /* TCP. */
} RelayOptions;

typedef struct Relay Relay;

RelayOptions Relay_DefaultOptions(void);
/* Listens for the requests of other VMs. Returns NULL with *err filled in if
   the address can't be bound. */
Relay *Relay_New(const RelayOptions *options, LsError *err);
void Relay_Free(Relay *relay); /* NULL is allowed. */
/* Requests the snapshot of the VM at this address, "IP:port", and applies it
   to the feed: only the changes after `since`, or all if that is 0 or of an
   older era.
   Does nothing if another request is in progress or began less than 500 ms
   ago; a request that has run for 2 s is cancelled first. */
void Relay_FetchSnapshot(Relay *relay, const char *address, Pos since);

/* Sets the limits of the requests that other VMs pass on. */
void Relay_SetLimits(Relay *relay, const ServerLimits *limits);
/* Returns the number of requests of other VMs in progress. */
guint Relay_CountPending(const Relay *relay);

#endif
