/* Peers: what this VM knows of the other VMs and of their load, from the
   messages of gossip.c. It holds no socket.

   In a small fleet ("mesh") each VM sends its load to every other one. In a
   larger one each VM sends it to the hubs of its region, which answer with
   tables of the whole region's load (decide/hubs.h). A hub thus has a direct
   view of its region, and the other VMs have the view of its tables. */
#ifndef LS_PEERS_H
#define LS_PEERS_H

#include "../clock.h"
#include "../decide/holders.h"
#include "../decide/hubs.h"
#include "gate.h"
#include "load_report.h"

#include <sys/queue.h>

/* Most parts of a region's table; further workers are left out. */
#define PEERS_PARTS_MAX 64
#define PEERS_REGIONS_MAX 16
#define PEERS_CUT_MAX                                                         \
    8 /* Services that a VM tells to be out of its reach.                     \
       */
#define PEERS_REACHES_MAX 4 /* Services of which it names workers. */
/* In a mesh, messages go to all peers of this region and to this many others
   on average. */
#define PEERS_REMOTE_FANOUT 8
/* Most other VMs that are remembered; messages about further ones are
   ignored. */
#define PEERS_MAX 4096

/* Another VM. */
typedef struct Peer {
    LIST_ENTRY(Peer) links;
    uint64_t address; /* IPv4 address << 16 | port. */
    uint64_t incarnation;
    uint64_t previous_incarnation; /* Late messages of it are ignored. */
    uint32_t sequence;             /* Number of the last message. */
    uint32_t region;               /* Hash of the region's name. */
    uint32_t capacity;             /* Processor share, permille. */
    char vm[FLEET_NAME_MAX];
    int64_t received_us;   /* Time of the last message from it; 0: none yet. */
    int64_t reported_us;   /* Time of the last message with its load. */
    int64_t table_us;      /* Time of the last table from it. */
    int64_t subscribed_us; /* Time at which it last asked for all tables. */
    int64_t mentioned_us;  /* Last time that any message named it. */
    int64_t heard_us;      /* Last time that any VM had a message from it. */
    int64_t chosen_us; /* Since when it is a hub of this VM; 0: it isn't. */
    bool watches;      /* It watches the source, which answers. */
    bool is_stopping;  /* It takes no requests of other VMs. */
    uint64_t cut[PEERS_CUT_MAX]; /* Hashes of the services that it can't
                                    reach. */
    uint32_t cut_count;
    GateReach reaches[PEERS_REACHES_MAX]; /* The workers that it hears. */
    uint32_t reach_count;
    uint32_t serves;   /* A set of GATE_SERVES_..., as it said. */
    int64_t serves_us; /* When it said so, to any VM; 0: not known. */
    bool is_newer;     /* It has sent content that this build doesn't know. */
    int64_t suspect_until_us; /* It was silent as a hub; until then it counts
                                 as a hub only if it sends a message. */
    Report report;            /* Its load. */
} Peer;

/* Load of a region, as its hubs told it. */
typedef struct PeersRegion {
    uint32_t region; /* Hash of the region's name. */
    uint64_t source; /* Address of the VM that sent the last table. */
    int64_t received_us;
    uint32_t members; /* VMs whose load the table includes. */
    uint32_t part_count;
    int64_t accounts_told_us; /* When this VM last told all accounts. */
    /* The accounts of the whole region are in the first part. */
    Report parts[PEERS_PARTS_MAX];
} PeersRegion;

/* The VMs of a region that are its hubs, as far as this VM knows. */
typedef struct PeersHubs {
    uint32_t region;
    HubsChoice choice;
} PeersHubs;

typedef struct PeersOptions {
    const Clk *clk;
    Fleet *fleet;
    uint64_t address; /* Of this VM. */
    uint32_t region;  /* Of this VM. */
    uint32_t capacity;
    const char *vm; /* Not copied. */
} PeersOptions;

typedef struct Peers {
    PeersOptions options;
    LIST_HEAD(PeerList, Peer) list;
    GPtrArray *regions; /* PeersRegion pointers. */
    guint count;
    guint remote_count; /* Peers of other regions or of an unknown region. */
    uint32_t most_vms;  /* Highest VM count ever known, also by a peer. */
    uint32_t heard_regions[PEERS_REGIONS_MAX]; /* Of all VMs ever heard. */
    uint32_t heard_region_count;
    bool knows_fleet;  /* A peer that knows VMs of all regions was heard. */
    uint32_t peak_vms; /* Highest recent VM count, this VM included. */
    int64_t peak_us;   /* Time of that count. */
    int64_t large_until_us; /* Until then the fleet counts as large. */
    bool is_mesh;           /* The fleet is small. */
    bool is_direct; /* This VM is a hub and has its region's load itself. */
    PeersHubs hubs[PEERS_REGIONS_MAX]; /* Of all regions. */
    guint hubs_count;
} Peers;

void Peers_Init(Peers *peers, const PeersOptions *options);
void Peers_Clear(Peers *peers);
/* Returns the peer at an address, which is added if it is new; NULL if there
   are PEERS_MAX already. */
Peer *Peers_GetOrAdd(Peers *peers, uint64_t address);
/* Notes that another VM had a message `age_ms` ago from a VM that may be a
   hub. Returns that VM, or NULL if it is not stored. */
Peer *Peers_NoteCandidate(Peers *peers, uint64_t address, uint32_t region,
                          uint32_t capacity, uint32_t age_ms);
/* Notes what the peer said at this time that it serves, unless it said
   something else since. */
void Peers_NoteServes(Peer *peer, uint32_t serves, int64_t at_us);
/* Notes the fleet's size as another VM counts it. */
void Peers_NoteFleetSize(Peers *peers, uint32_t vms);
/* Notes the most VMs that a VM of this region has ever known the fleet to
   have; 0: it doesn't say. */
void Peers_NoteMostVms(Peers *peers, uint32_t region, uint32_t vms);
/* Returns the region's row to store a part of its table from `source`, with
   its uses and demands dropped; NULL if the part is not wanted, as another
   hub's tables are current. */
Report *Peers_BeginTablePart(Peers *peers, uint32_t region, uint64_t source,
                             uint32_t members, uint32_t part,
                             uint32_t part_count);
/* Drops what is too old, and decides anew which VMs are hubs and whose load
   counts. To be called before each message and at least each interval. */
void Peers_Refresh(Peers *peers);

/* Whether the peer gets every message of this VM, and this VM every message
   of the peer. */
bool Peers_IsNear(const Peers *peers, const Peer *peer);
bool Peers_IsLive(const Peers *peers, const Peer *peer);
/* Returns this region's hubs as this VM knows them. */
HubsChoice Peers_GetHubs(const Peers *peers);
/* Whether the peer sent its load to this VM lately, so that it wants tables
   if this VM isn't in a mesh. */
bool Peers_IsMember(const Peers *peers, const Peer *peer);
/* Whether it wants each table, and not only a sign of life. */
bool Peers_IsSubscriber(const Peers *peers, const Peer *peer);
/* Whether the load of other VMs of this region arrives. */
bool Peers_HasView(const Peers *peers);
/* Whether a hub of this region watches the source on behalf of this VM, which
   is no hub. */
bool Peers_HasWatcher(const Peers *peers);
/* Adds the load of this region's VMs to *sum, without this VM's, and returns
   the number of VMs in it. */
uint32_t Peers_SumRegion(const Peers *peers, Report *sum);
/* The row of a region's table if it is current, or NULL. */
const PeersRegion *Peers_FindRegion(const Peers *peers, uint32_t region);

/* As Gos_CountLivePeers(), Gos_CountVms(), Gos_IsHome(). */
guint Peers_CountLive(const Peers *peers);
uint32_t Peers_CountVms(const Peers *peers);
bool Peers_IsHome(const Peers *peers, const char *key);
/* As Gos_ListHolders(). */
void Peers_ListHolders(const Peers *peers, Holders *holders);
/* Sums the demand of all other live VMs on a service, or only of those that
   are near: in a large fleet, those of this region. `own` is this VM's demand,
   which a region's table includes. Stores the number of VMs in the sum in
   *count. */
ReportDemand Peers_SumDemand(const Peers *peers, uint64_t service,
                             bool near_only, const ReportDemand *own,
                             uint32_t *count);

#endif
