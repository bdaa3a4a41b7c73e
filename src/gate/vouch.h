/* Vouch: proofs of other VMs that this VM's configuration is the newest
   (decide/key_lease.h), and this VM's proof for others. gossip_vouch.c carries
   the questions and answers. */
#ifndef LS_VOUCH_H
#define LS_VOUCH_H

#include "feed.h"
#include "gossip.h"
#include "relay.h"

/* The pointers must outlive the Vouch. */
typedef struct Vouch {
    Gate *gate;
    const Feed *feed;
    Relay *relay; /* NULL until there is one. */
} Vouch;

/* Lets gossip ask and answer, if the settings bound the use of removed keys.
 */
void Vouch_SetOptions(Vouch *vouch, GosOptions *gossip);
/* Whether this VM should call the source itself, as its proof is old. */
bool Vouch_NeedsSource(const Gate *gate);

#endif
