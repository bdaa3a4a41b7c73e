/* Rly: relays the picture between VMs over HTTP, for those that the source
   turns away. A VM asks the one that it heard knows more. */
#ifndef LS_RLY_H
#define LS_RLY_H

#include "../io/cli.h"
#include "../io/srv.h"
#include "feed.h"

typedef struct RlyOptions {
    struct event_base *base;
    const Clk *clk;
    Cli *cli;
    Feed *feed;
    const char *ip; /* Where other VMs ask. */
    uint16_t port;  /* TCP. */
} RlyOptions;

typedef struct Rly Rly;

RlyOptions Rly_DefaultOptions(void);
Rly *Rly_New(const RlyOptions *options, LsError *err);
void Rly_Free(Rly *rly);
/* Asks the VM at this address for its picture, unless a VM was just asked. */
void Rly_FetchPicture(Rly *rly, const char *address);

#endif
