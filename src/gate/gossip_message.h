/* Messages of gossip (Gos_): what a message between VMs carries. Internal to
   gossip.c and gossip_*.c. */
#ifndef LS_GOSSIP_MESSAGE_H
#define LS_GOSSIP_MESSAGE_H

#include "gossip.h"
#include "gossip.pb-c.h"
#include "peers.h"
#include "proxies.h"

#define GOS_USES_MAX 48 /* Workers in one message. */
#define GOS_PEERS_MAX 6 /* Addresses of other VMs in one message. */
/* Tables of which one tells the pace of workers, which changes within seconds:
   three bytes for each worker. Those for other regions are among them. */
#define GOS_PACE_PERIODS HUBS_REMOTE_PERIODS
#define GOS_DEMANDS_MAX 8     /* Services in one message. */
#define GOS_TABLE_ROWS_MAX 62 /* Workers in one part of a table. */
/* Later points of time in a forecast of KV memory, and its unit. */
#define GOS_LATER_POINTS (FORECAST_POINTS - 1)
#define GOS_LATER_UNIT_TOKENS 64
#define GOS_HUBS_MAX 8 /* Hubs of all regions in one message. */
/* Parts of prompts in one message, some 35 to 120 bytes each while workers
   crash. */
#define GOS_SUSPECTS_MAX 12
/* Limits of workers in one message, some 20 bytes each. */
#define GOS_LIMITS_MAX 8
/* Streams that began in one message, some 30 bytes each. */
#define GOS_ORIGINS_MAX 16
/* VMs that reach workers in one message, some 40 bytes each. */
#define GOS_PROXIES_MAX 20
/* How long the end of a limit is told. */
#define GOS_LIMIT_NEWS_US (3 * CLK_US_PER_S)
/* Questions for proofs that may be open. */
#define GOS_VOUCH_ASKS_MAX 16
/* Fewest requests of a level that are told, and most that are believed. */
#define GOS_LOOKS_MIN 0.01
#define GOS_LOOKS_MAX 1e6
#define GOS_KEPT_MAX 4 /* Highest known value of Found.kept. */
/* Largest message; a datagram of this size fits the usual networks without
   fragmentation. */
#define GOS_MESSAGE_MAX_BYTES 1400

/* Most bytes of a table's part: the sender's versions and the hubs of all
   regions have room beside it. */
#define GOS_TABLE_MAX_BYTES 1080

/* Accounts in one message, and in one table; some 14 bytes each. */
#define GOS_ACCOUNTS_MAX 24
#define GOS_TABLE_ACCOUNTS_MAX 64

/* The arrays of accounts' loads. */
typedef struct GosAccounts {
    Gossip__AccountLoads loads;
    uint64_t accounts[GOS_TABLE_ACCOUNTS_MAX];
    uint32_t asked[GOS_TABLE_ACCOUNTS_MAX];
    int32_t refused[GOS_TABLE_ACCOUNTS_MAX];
    int32_t besides[GOS_TABLE_ACCOUNTS_MAX];
} GosAccounts;

/* The arrays of a demand. */
typedef struct GosRooms {
    uint32_t versions[REPORT_ROOMS_MAX];
    float streams[REPORT_ROOMS_MAX];
    float lacking[URGENCY_LEVELS_MAX];
    float asked[URGENCY_LEVELS_MAX];
} GosRooms;

/* A message with the arrays that it refers to. */
typedef struct GosMessage {
    Gossip__News news;
    Gossip__Use use_rows[GOS_USES_MAX];
    Gossip__Use *uses[GOS_USES_MAX];
    uint32_t later[GOS_USES_MAX * GOS_LATER_POINTS];
    Gossip__Demand demand_rows[GOS_DEMANDS_MAX];
    Gossip__Demand *demands[GOS_DEMANDS_MAX];
    GosRooms rooms[GOS_DEMANDS_MAX];
    GosAccounts accounts;
    Gossip__Hub hub_rows[GOS_HUBS_MAX];
    Gossip__Hub *hubs[GOS_HUBS_MAX];
    Gossip__Suspect suspect_rows[GOS_SUSPECTS_MAX];
    Gossip__Suspect *suspects[GOS_SUSPECTS_MAX];
    Gossip__Crash crash_rows[GOS_SUSPECTS_MAX * SUSPECTS_CRASHES_MAX];
    Gossip__Crash *crashes[GOS_SUSPECTS_MAX * SUSPECTS_CRASHES_MAX];
    Gossip__Limit limit_rows[GOS_LIMITS_MAX];
    Gossip__Limit *limits[GOS_LIMITS_MAX];
    Gossip__Origin origin_rows[GOS_ORIGINS_MAX];
    Gossip__Origin *origins[GOS_ORIGINS_MAX];
    uint64_t cut[PEERS_CUT_MAX];
    Gossip__Reach reach_rows[PEERS_REACHES_MAX];
    Gossip__Reach *reaches[PEERS_REACHES_MAX];
    Gossip__Proxy proxy_rows[GOS_PROXIES_MAX];
    Gossip__Proxy *proxies[GOS_PROXIES_MAX];
    uint64_t peers[GOS_PEERS_MAX];
    uint8_t data[GOS_MESSAGE_MAX_BYTES];
    size_t size; /* Of the packed message in `data`. */
} GosMessage;

/* One part of a region's table with the arrays that it refers to. */
typedef struct GosTablePart {
    Gossip__Table table;
    Gossip__Demand demand_rows[GOS_DEMANDS_MAX];
    Gossip__Demand *demands[GOS_DEMANDS_MAX];
    GosRooms rooms[GOS_DEMANDS_MAX];
    GosAccounts accounts;
    uint64_t workers[GOS_TABLE_ROWS_MAX];
    uint32_t inflight[GOS_TABLE_ROWS_MAX];
    uint32_t reading[GOS_TABLE_ROWS_MAX];
    uint32_t held[GOS_TABLE_ROWS_MAX];
    uint32_t later[GOS_TABLE_ROWS_MAX * GOS_LATER_POINTS];
    uint64_t silent[GOS_TABLE_ROWS_MAX];
    uint64_t changing[GOS_TABLE_ROWS_MAX];
    uint64_t leaving[GOS_TABLE_ROWS_MAX];
    bool tells_pace; /* It tells the pace of workers, not only refusals. */
    uint8_t read_paces[GOS_TABLE_ROWS_MAX];
    uint8_t step_paces[GOS_TABLE_ROWS_MAX];
    uint8_t growths[GOS_TABLE_ROWS_MAX];
} GosTablePart;

/* A service for which other VMs look for VMs that reach its workers. The times
   are those of the last such words; 0: none. */
typedef struct GosSought {
    uint64_t service;       /* Hash of its name; 0: the row is free. */
    int64_t near_us;        /* From VMs of this region. */
    int64_t far_us;         /* From hubs of other regions. */
    int64_t near_urgent_us; /* Urgent ones. */
    int64_t far_urgent_us;
} GosSought;

/* A question for a part of a retry budget. Its times count the time for which
   the machine was suspended. */
typedef struct GosLoanAsk {
    uint64_t service; /* Hash of its name; 0: the row is free. */
    uint64_t lender;  /* Address of the VM that was asked. */
    uint32_t number;
    uint32_t parts;      /* Wanted, as in BudgetAsk. */
    int64_t asked_us;    /* 0: it was answered. */
    uint32_t vain_count; /* Questions in a row by which nothing was lent. */
    int64_t vain_us;     /* Time of the last of these. */
} GosLoanAsk;

/* A question for another VM's proof. */
typedef struct GosVouchAsk {
    uint32_t number; /* 0: the row is free. */
    uint64_t address;
    int64_t asked_us; /* As GosVouchOptions.get_now(). */
} GosVouchAsk;

struct Gos {
    GosOptions options;
    int fd;
    uint64_t address;              /* IPv4 address << 16 | port. */
    uint32_t sequence;             /* Number of the last message sent. */
    uint32_t intervals;            /* Regular messages sent. */
    int64_t regular_us;            /* When the next one is due. */
    uint32_t periods;              /* Tables sent. */
    uint32_t next_limit;           /* First worker whose limit is told. */
    uint32_t next_pace;            /* First idle worker whose pace is told. */
    uint64_t seeds[GOS_SEEDS_MAX]; /* Addresses; 0 for none. */
    GRand *rand;
    GosSought sought[PEERS_REACHES_MAX];
    GosLoanAsk loan_asks[GOS_DEMANDS_MAX];
    uint32_t loan_number;      /* Of the last question. */
    struct event *vouch_timer; /* NULL: no proofs are exchanged. */
    GosVouchAsk vouch_asks[GOS_VOUCH_ASKS_MAX];
    uint32_t next_vouch_ask;
    int64_t vouch_asked_us;   /* When the last question was sent; 0: never. */
    int64_t accounts_told_us; /* When a table last told all accounts. */
    Proxies proxies;
    uint32_t
        proxy_turn; /* First of the proxies that the next message tells. */
    Report own;     /* Demands of this VM; its uses are those of the fleet. */
    Peers peers;
    struct event *readable;
    struct event *timer;
    struct event *table_timer; /* Pending while other VMs want tables. */
    bool update_pending;       /* The timer is set for a change. */
    /* When the process was last known to run, and the machine's suspended time
       then. */
    int64_t ran_us;
    int64_t suspended_us;
    int64_t stopped_until_us; /* Until then it counts as stopped before. */
    bool has_heard_others;    /* Once since its start. */
    int64_t in_step_us;       /* As told by Gos_GetStepTime(). */
};

/* Starts a message with what each one carries: this VM, its versions, its
   demand on the services, parts of prompts under which workers crash, and
   limits that workers name. */
void Gos_BeginMessage(Gos *gos, GosMessage *message);
/* Starts a message that tells no load, so that the rest has room. `no_load` is
   its empty table. */
void Gos_BeginWithoutLoad(Gos *gos, GosMessage *message,
                          Gossip__Table *no_load);
void Gos_AddUses(Gos *gos, GosMessage *message);  /* Use of the workers. */
void Gos_AddPeers(Gos *gos, GosMessage *message); /* Some live peers. */
/* Adds streams of this VM that began lately, and notes that they are told. */
void Gos_AddOrigins(const Gos *gos, GosMessage *message);
/* Adds one stream; there must be room for it. */
void Gos_AddOrigin(const Gos *gos, GosMessage *message, const Origin *origin);
void Gos_AddHubs(Gos *gos, GosMessage *message); /* Hubs of all regions. */
/* Packs the message; uses, then parts of prompts and limits, are dropped until
   it fits. */
void Gos_PackMessage(GosMessage *message);
/* Stores what a message says of parts of prompts. Returns whether any of it is
   news. */
bool Gos_MergeSuspects(const Gos *gos, const Gossip__News *news);
/* Whether the message has fields or values that this build doesn't know. */
bool Gos_HasUnknown(const Gossip__News *news);
/* Returns what the sender serves, a set of GATE_SERVES_... */
uint32_t Gos_DecodeServes(const Gossip__News *news);
/* Adds the workers that this VM hears, for the services that are in doubt. */
void Gos_AddReaches(const Gos *gos, GosMessage *message);
/* Adds VMs that reach workers which others look for, if this VM is a hub.
   Returns whether there are any. */
bool Gos_AddProxies(Gos *gos, GosMessage *message);
/* Stores what the peer says of the workers that it and others hear. */
void Gos_StoreReaches(Gos *gos, Peer *peer, const Gossip__News *news);
/* Returns the i-th row on the workers that the sender hears. */
GateReach Gos_DecodeReach(const Gossip__News *news, size_t i, int64_t now_us);
/* Stores the limits of workers that a message tells. */
void Gos_MergeLimits(const Gos *gos, const Gossip__News *news);
/* Stores which versions began the streams of another VM. */
void Gos_MergeOrigins(const Gos *gos, const Gossip__News *news);
/* Fills in the workers whose hashes belong to this part of the table. Returns
   false if a message has no room for all of them. */
bool Gos_FillTablePart(GosTablePart *part, const Report *report,
                       uint32_t number, uint32_t count, int64_t now_us);
/* Decodes the forecast of row `row`: `later` holds GOS_LATER_POINTS values for
   each row. Those that are missing count as the present use. */
Forecast Gos_DecodeKv(uint32_t now_tokens, const uint32_t *later, size_t count,
                      size_t row);
ReportDemand Gos_DecodeDemand(const Gossip__Demand *from);
/* Stores this VM's use of the worker; false if there is none. */
bool Gos_GetOwnUse(const FleetWorker *worker, int64_t now_us, ReportUse *use);

/* Pace of workers and refusals (gossip_pace.c). Whether the VM has to tell
   something of the worker: */
bool Gos_HasPaceNews(const FleetWorker *worker, int64_t now_us);
/* Fills in what this VM measured, which counts as told then. */
void Gos_FillUsePace(Gossip__Use *row, FleetWorker *worker, bool is_mesh,
                     int64_t now_us);
void Gos_MergeUsePace(FleetWorker *worker, const Gossip__Use *from,
                      int64_t now_us);
/* Drops what this VM measured: its tables tell what it learned from it. */
void Gos_DropPaceSums(FleetWorker *worker);
/* Fills in a row of a table; after the last one, the end. */
void Gos_FillTablePace(GosTablePart *part, const FleetWorker *worker,
                       size_t row, int64_t now_us);
void Gos_EndTablePace(GosTablePart *part, size_t count);
void Gos_MergeTablePace(FleetWorker *worker, const Gossip__Table *table,
                        size_t row, int64_t now_us);
/* Adds rows of some workers without load, other ones each time. */
void Gos_AddIdlePaces(Gos *gos, Report *sum);

/* Answers the questions of a message, and notes the answers in it. Returns
   false if it has neither, but the sender's load. */
bool Gos_HandleLookups(Gos *gos, const Gossip__News *news);

/* Answers the questions of a message for parts of retry budgets, and notes
   the answers in it. Returns false if it has neither, but the sender's load.
 */
bool Gos_HandleLoans(Gos *gos, const Gossip__News *news);

/* Begin and end the exchange of proofs (GosVouchOptions). */
void Gos_BeginVouches(Gos *gos);
void Gos_EndVouches(Gos *gos);
/* Answers a message's question for this VM's proof, and notes the answer to
   one of this VM. Returns false if it has neither. */
bool Gos_HandleVouches(Gos *gos, const Gossip__News *news);
/* Lets the use of client accounts be told and heard. */
void Gos_StartAccounts(Gos *gos);
/* Adds what is new of this VM's use of accounts to a message that all VMs get
   that hear this one. */
void Gos_AddAccounts(Gos *gos, GosMessage *message);
/* Stores what a VM's message says of accounts, and what a table's part says.
 */
void Gos_StoreAccounts(const Gos *gos, Report *report,
                       const Gossip__AccountLoads *loads);
void Gos_StoreTableAccounts(const Gos *gos, const Gossip__Table *table);
/* Fills in the accounts whose hashes belong to this part of the table. */
void Gos_FillTableAccounts(GosTablePart *part, const Report *report,
                           uint32_t number, uint32_t count);
/* Adds the use of accounts of a region's VMs, this one included, to the sum
   of its table: of all accounts at times, else of those near their caps. */
void Gos_SumAccounts(Gos *gos, uint32_t region, Report *sum);

/* Encodes a point of time as its age plus 1, and none as 0. */
uint32_t Gos_EncodeAge(int64_t at_us, int64_t now_us);
int64_t Gos_DecodeAge(uint32_t age_ms, int64_t now_us);
/* Formats IPv4 address << 16 | port as "IP:port". */
void Gos_FormatAddress(uint64_t address, char text[FLEET_ADDRESS_MAX]);

/* Sends a packed message to a VM's address. */
void Gos_SendTo(Gos *gos, uint64_t address, const GosMessage *message);
/* Notes whether this VM is in step (gossip_step.c). */
void Gos_NoteStep(Gos *gos);
/* Whether this VM knows the address of another one. */
bool Gos_HasOtherSeed(const Gos *gos);
/* Stores the part of a region's table that a message carries. */
void Gos_StoreTable(Gos *gos, const Gossip__News *news);
/* Sends the tables that are due: this region's to all VMs that report to this
   one, and those of other regions. */
void Gos_SendTables(Gos *gos);

#endif
