/* Edge, gossip (EdgeGossip_): what other VMs ask of the gate, and tell it. */
#ifndef LS_EDGE_GOSSIP_H
#define LS_EDGE_GOSSIP_H

#include "gossip.h"

/* Sets the callbacks that go on to the gate. Their context is the edge. */
void EdgeGossip_SetCallbacks(GosOptions *options);

#endif
