/* Tests of the exchange between VMs on loopback: load hints by gossip, and the
   snapshot for a VM that can't reach the source. */
#include "gate_rig.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

extern "C" {
#include "gate/peers.h"
}

namespace {

const FleetOptions fleet_options = Fleet_DefaultOptions();

/* A position in the first era. */
Pos
Rev(int revision)
{
    return {0, (uint64_t)revision};
}

/* A VM of the deployment: an edge with its listener for other VMs. */
class Vm {
  public:
    Vm(event_base *base, const Clk *clk, const char *name, const char *seed,
       bool is_reachable)
        : source_reachable(is_reachable)
    {
        LsError err = {};
        EdgeOptions options = Edge_DefaultOptions();
        regions_ = g_hash_table_new(g_str_hash, g_str_equal);
        g_hash_table_insert(regions_, (gpointer) "z", (gpointer) "r");
        options.base = base;
        options.clk = clk;
        options.codec = Pf_GetCodec();
        options.decoder = Pf_GetDecoder();
        options.vm = name;
        options.zone = "z";
        options.regions = regions_;
        options.seeds[0] = seed;
        options.seed_count = seed != nullptr ? 1 : 0;
        options.context = this;
        options.is_source_reachable = [](void *context) {
            return static_cast<Vm *>(context)->source_reachable;
        };
        edge = NewEdge(&options, &err);
        EXPECT_NE(edge, nullptr) << err.message;
        address = "127.0.0.1:" + std::to_string(options.peers.port);
    }

    ~Vm()
    {
        Edge_Free(edge);
        g_hash_table_destroy(regions_);
    }

    FleetWorker *
    Worker(const char *id)
    {
        return Fleet_Find(Edge_GetFleet(edge), id);
    }

    Edge *edge;
    bool source_reachable;
    std::string address;

  private:
    GHashTable *regions_;
};

class Gossip : public testing::Test {
  protected:
    void
    SetUp() override
    {
        base = event_base_new();
        clk = Clk_Default();
    }

    void
    TearDown() override
    {
        event_base_free(base);
    }

    bool
    Until(const std::function<bool()> &condition)
    {
        return RunUntil(base, &clk, condition);
    }

    event_base *base;
    Clk clk;
};

const char config[] =
    "{\"version\":3,\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":"
    "\"r\",\"host\":\"h\",\"prefix\":\"/\",\"kind\":\"idempotent\","
    "\"timeout-ms\":1000,\"attempts\":2,\"service\":\"s\"}],\"limits\":{}}";
const char entry[] =
    "{\"service\":\"s\",\"addr\":\"127.0.0.1:9\",\"zone\":\"z\",\"version\":"
    "\"v1\",\"slots\":4,\"state\":\"ready\",\"sequence\":0}";

TEST_F(Gossip, UseOfWorkersReachesOtherVms)
{
    Vm a(base, &clk, "a", nullptr, true);
    Vm b(base, &clk, "b", a.address.c_str(), true);
    for (Vm *vm : {&a, &b}) {
        Feed_SetEntry(Edge_GetFeed(vm->edge), "w", entry, sizeof(entry) - 1,
                      Rev(5));
    }
    a.Worker("w")->inflight = 3;
    a.Worker("w")->kv = {{7000, 6400, 1280}};
    a.Worker("w")->notice.leaving = true;
    EXPECT_TRUE(Until([&] {
        return b.Worker("w")->peer_inflight == 3 &&
               Fleet_IsLeaving(b.Worker("w")) &&
               b.Worker("w")->peer_kv.tokens[0] == 7000 &&
               b.Worker("w")->peer_kv.tokens[1] == 6400 &&
               b.Worker("w")->peer_kv.tokens[2] == 1280;
    }));
    a.Worker("w")->inflight = 0;
    a.Worker("w")->kv = {};
    a.Worker("w")->notice.leaving = false;
    EXPECT_TRUE(Until([&] {
        return b.Worker("w")->peer_inflight == 0 &&
               !Fleet_IsLeaving(b.Worker("w"));
    }));
}

/* A VM that looks for a living worker in vain asks, and another one names one
   that it hears. Without a question nothing is told. */
TEST_F(Gossip, AVmThatAsksIsToldOfALivingWorker)
{
    const uint64_t service = XXH3_64bits("s", 1);
    Vm a(base, &clk, "a", nullptr, true);
    Vm b(base, &clk, "b", a.address.c_str(), true);
    GateReach reach = {service, 0, 0, true};
    GateReach told[PEERS_REACHES_MAX];
    for (Vm *vm : {&a, &b}) {
        Feed_ApplyConfig(Edge_GetFeed(vm->edge), config, sizeof(config) - 1);
        Feed_SetEntry(Edge_GetFeed(vm->edge), "w", entry, sizeof(entry) - 1,
                      Rev(5));
    }
    EXPECT_EQ(Gate_ListReaches(Edge_GetGate(b.edge), told, 4), 0U);
    b.Worker("w")->heard_us = Clk_Now(&clk);
    Gate_OnReach(Edge_GetGate(b.edge), &reach);
    ASSERT_EQ(Gate_ListReaches(Edge_GetGate(b.edge), told, 4), 1U);
    EXPECT_EQ(told[0].service, service);
    EXPECT_EQ(told[0].worker, b.Worker("w")->hash);
    EXPECT_FALSE(told[0].asks);
    /* The hash of a service that nobody knows adds nothing. */
    reach.service = 4711;
    Gate_OnReach(Edge_GetGate(b.edge), &reach);
    EXPECT_EQ(Gate_ListReaches(Edge_GetGate(b.edge), told, 4), 1U);
}

TEST_F(Gossip, UseReportedByStoppedVmIsDropped)
{
    auto a = std::make_unique<Vm>(base, &clk, "a", nullptr, true);
    Vm b(base, &clk, "b", a->address.c_str(), true);
    for (Vm *vm : {a.get(), &b}) {
        Feed_SetEntry(Edge_GetFeed(vm->edge), "w", entry, sizeof(entry) - 1,
                      Rev(5));
    }
    a->Worker("w")->inflight = 3;
    ASSERT_TRUE(Until([&] { return b.Worker("w")->peer_inflight == 3; }));
    a.reset();
    EXPECT_TRUE(Until([&] { return b.Worker("w")->peer_inflight == 0; }));
}

TEST_F(Gossip, VmWithoutSourceAppliesSnapshotOfPeer)
{
    Vm a(base, &clk, "a", nullptr, true);
    Vm b(base, &clk, "b", a.address.c_str(), false);
    Feed_ApplyConfig(Edge_GetFeed(a.edge), config, sizeof(config) - 1);
    Feed_SetEntry(Edge_GetFeed(a.edge), "w", entry, sizeof(entry) - 1, Rev(5));
    ASSERT_TRUE(Until([&] {
        return Gate_GetTable(Edge_GetGate(b.edge)) != nullptr &&
               b.Worker("w") != nullptr;
    }));
    EXPECT_EQ(Gate_GetTable(Edge_GetGate(b.edge))->version, 3u);
    EXPECT_TRUE(Fleet_IsReady(b.Worker("w"), Clk_Now(&clk)));
    /* The removal of a worker reaches the other VM too. */
    Feed_RemoveEntry(Edge_GetFeed(a.edge), "w", Rev(9));
    EXPECT_TRUE(
        Until([&] { return !Fleet_IsReady(b.Worker("w"), Clk_Now(&clk)); }));
}

/* VM a has seen the source return from a copy, VM b can't reach the source and
   has a higher revision of the older era. */
TEST_F(Gossip, VmWithoutSourceFollowsANewerEra)
{
    Vm a(base, &clk, "a", nullptr, true);
    Vm b(base, &clk, "b", a.address.c_str(), false);
    Feed *to = Edge_GetFeed(b.edge);
    Feed_SetEntry(to, "w", entry, sizeof(entry) - 1, {1, 90});
    Feed_SetEntry(to, "lost", entry, sizeof(entry) - 1, {1, 91});
    std::string draining(entry);
    draining.replace(draining.find("ready"), 5, "draining");
    Feed *from = Edge_GetFeed(a.edge);
    Feed_BeginSweep(from, 2);
    Feed_SetEntry(from, "w", draining.data(), draining.size(), {2, 40});
    Feed_EndSweep(from);
    EXPECT_TRUE(
        Until([&] { return !Fleet_IsReady(b.Worker("w"), Clk_Now(&clk)); }));
    EXPECT_EQ(b.Worker("w")->entry.position.era, 2u);
    EXPECT_EQ(a.Worker("lost"), nullptr);
    EXPECT_TRUE(Fleet_IsReady(b.Worker("lost"), Clk_Now(&clk)));
    EXPECT_TRUE(Until(
        [&] { return !Fleet_IsReady(b.Worker("lost"), Clk_Now(&clk)); }));
    /* Changes of the newer era follow as such. */
    Feed_RemoveEntry(from, "w", {2, 41});
    EXPECT_TRUE(
        Until([&] { return !Fleet_IsListed(b.Worker("w"), Clk_Now(&clk)); }));
}

TEST_F(Gossip, OlderOrMalformedConfigurationIsIgnored)
{
    Vm a(base, &clk, "a", nullptr, true);
    std::string older(config);
    older.replace(older.find(":3"), 2, ":2");
    Feed_ApplyConfig(Edge_GetFeed(a.edge), config, sizeof(config) - 1);
    Feed_ApplyConfig(Edge_GetFeed(a.edge), older.data(), older.size());
    Feed_ApplyConfig(Edge_GetFeed(a.edge), "{", 1);
    EXPECT_EQ(Gate_GetTable(Edge_GetGate(a.edge))->version, 3u);
}

struct EntryCase {
    const char *name;
    const char *text;
    bool ready;
};

const EntryCase entry_cases[] = {
    {"well-formed", entry, true},
    {"no JSON", "\xff\xfe", false},
    {"no object", "[]", false},
    {"state not known",
     "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":4,"
     "\"version\":\"v1\",\"state\":\"odd\"}",
     false},
    {"slots of another type",
     "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":"
     "\"4\",\"version\":\"v1\",\"state\":\"ready\"}",
     false},
    {"no address",
     "{\"service\":\"s\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,"
     "\"state\":\"ready\"}",
     false},
    {"no version",
     "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":4,"
     "\"state\":\"ready\"}",
     false},
    {"version of another type",
     "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":4,"
     "\"version\":1,\"state\":\"ready\"}",
     false},
    {"born of another type",
     "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":4,"
     "\"version\":\"v1\",\"state\":\"ready\",\"born\":\"x\"}",
     false},
};

TEST_F(Gossip, MalformedEntriesAddNoWorker)
{
    Vm a(base, &clk, "a", nullptr, true);
    uint64_t revision = 1;
    for (const EntryCase &row : entry_cases) {
        Feed_SetEntry(Edge_GetFeed(a.edge), row.name, row.text,
                      strlen(row.text), {0, revision++});
        FleetWorker *worker = a.Worker(row.name);
        EXPECT_EQ(worker != nullptr && Fleet_IsReady(worker, Clk_Now(&clk)),
                  row.ready)
            << row.name;
    }
}

/* Snapshots of two VMs, of which the second gets changes from the first. */
class SnapshotTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        from = Snapshot_New();
        to = Snapshot_New();
    }

    void
    TearDown() override
    {
        Snapshot_Free(from);
        Snapshot_Free(to);
    }

    /* Applies what `from` has after revision `since` to `to`. */
    size_t
    Copy(Pos since)
    {
        GByteArray *data = Snapshot_Pack(from, since);
        size_t size = data->len;
        SnapshotHandler handler = MakeSnapshotHandler(to);
        EXPECT_TRUE(Snapshot_Apply(to, data->data, data->len, &handler));
        g_byte_array_free(data, TRUE);
        return size;
    }

    Snapshot *from;
    Snapshot *to;
};

TEST_F(SnapshotTest, DeltaHoldsChangesAndRemovals)
{
    std::string text(300, 'x');
    for (int i = 0; i < 50; i++) {
        Snapshot_SetEntry(from, ("w" + std::to_string(i)).c_str(), text.data(),
                          text.size(), Rev(i + 1));
    }
    size_t full = Copy({});
    EXPECT_EQ(Snapshot_GetDigest(to), Snapshot_GetDigest(from));
    Snapshot_SetEntry(from, "w3", text.data(), text.size(), Rev(60));
    Snapshot_SetEntry(from, "new", text.data(), text.size(), Rev(61));
    Snapshot_RemoveEntry(from, "w4", Rev(62));
    EXPECT_NE(Snapshot_GetDigest(to), Snapshot_GetDigest(from));
    EXPECT_LT(Copy(Snapshot_GetPosition(to)), full / 10);
    EXPECT_EQ(Snapshot_GetDigest(to), Snapshot_GetDigest(from));
    EXPECT_EQ(Snapshot_GetPosition(to).revision, 62u);
}

TEST_F(SnapshotTest, CompleteCopyOfTheSameRevisionReplacesWhatDiffers)
{
    Snapshot_SetEntry(from, "a", "1", 1, Rev(5));
    Snapshot_SetEntry(from, "b", "1", 1, Rev(9));
    Snapshot_SetEntry(to, "c", "1", 1, Rev(4));
    Snapshot_SetEntry(to, "b", "1", 1, Rev(9));
    EXPECT_NE(Snapshot_GetDigest(to), Snapshot_GetDigest(from));
    Copy(Snapshot_GetPosition(to)); /* A delta has nothing newer. */
    EXPECT_NE(Snapshot_GetDigest(to), Snapshot_GetDigest(from));
    Copy({});
    EXPECT_EQ(Snapshot_GetDigest(to), Snapshot_GetDigest(from));
}

/* A complete list, as after a restart of the store, must not decode and log
   each worker again: 3,000 of them take most of a second of a small VM. */
TEST_F(Gossip, KnownEntriesOfACompleteListAreKept)
{
    Vm a(base, &clk, "a", nullptr, true);
    Feed *feed = Edge_GetFeed(a.edge);
    Feed_SetEntry(feed, "w", entry, sizeof(entry) - 1, Rev(5));
    Feed_SetEntry(feed, "gone", entry, sizeof(entry) - 1, Rev(6));
    Feed_BeginSweep(feed, 0);
    Feed_SetEntry(feed, "w", "not decoded", 11, Rev(5));
    Feed_EndSweep(feed);
    EXPECT_TRUE(Fleet_IsReady(a.Worker("w"), Clk_Now(&clk)));
    EXPECT_FALSE(Fleet_IsReady(a.Worker("gone"), Clk_Now(&clk)));
    /* A removed worker that comes back with the same revision is decoded. */
    Feed_BeginSweep(feed, 0);
    Feed_SetEntry(feed, "w", entry, sizeof(entry) - 1, Rev(5));
    Feed_SetEntry(feed, "gone", entry, sizeof(entry) - 1, Rev(6));
    Feed_EndSweep(feed);
    EXPECT_TRUE(Fleet_IsReady(a.Worker("gone"), Clk_Now(&clk)));
}

TEST_F(SnapshotTest, OlderChangesOfAWorkerAreIgnored)
{
    Snapshot_SetEntry(from, "a", "new", 3, Rev(9));
    uint64_t digest = Snapshot_GetDigest(from);
    Snapshot_SetEntry(from, "a", "old", 3, Rev(7));
    Snapshot_RemoveEntry(from, "a", Rev(8));
    EXPECT_EQ(Snapshot_GetDigest(from), digest);
    Snapshot_RemoveEntry(from, "a", Rev(10));
    EXPECT_EQ(Snapshot_GetDigest(from), 0u);
}

/* A fleet of VMs in three regions, each with the same workers "w0", "w1", ...
   The first VM of each region has the largest capacity. */
class Fleet3 : public Gossip {
  protected:
    struct Node {
        std::string name, region;
        std::vector<std::string> seeds;
        Fleet *fleet = nullptr;
        Gos *gos = nullptr;
        Suspects suspects;
        int index = 0;
        uint16_t port = 0; /* 0: any. */
        uint32_t capacity = 0;
        uint64_t starts = 0;
    };

    void
    TearDown() override
    {
        for (auto &node : nodes) {
            Stop(*node);
        }
        Gossip::TearDown();
    }

    void
    Start(Node &node)
    {
        LsError err = {};
        GosOptions options = Gos_DefaultOptions();
        node.fleet = Fleet_New(&fleet_options);
        for (int i = 0; i < kWorkers; i++) {
            FleetEntry worker = {};
            g_snprintf(worker.id, sizeof(worker.id), "w%d", i);
            Fleet_SetEntry(node.fleet, &worker, 0);
        }
        options.base = base;
        options.clk = &clk;
        options.port = node.port;
        options.vm = node.name.c_str();
        options.region = node.region.c_str();
        options.capacity = node.capacity;
        options.incarnation = ++node.starts * 1000 + node.index;
        options.fleet = node.fleet;
        Suspects_Init(&node.suspects, (uint64_t)node.index);
        options.suspects = &node.suspects;
        options.on_suspects_change = [](void *) {};
        options.seed = node.index;
        for (const std::string &seed : node.seeds) {
            options.seeds[options.seed_count++] = seed.c_str();
        }
        node.gos = Gos_New(&options, &err);
        ASSERT_NE(node.gos, nullptr) << err.message;
    }

    void
    Stop(Node &node)
    {
        Gos_Free(node.gos);
        Fleet_Free(node.fleet);
        node.gos = nullptr;
        node.fleet = nullptr;
    }

    void
    StartFleet(int count)
    {
        for (int i = 0; i < count; i++) {
            auto node = std::make_unique<Node>();
            node->name = "vm" + std::to_string(i);
            node->region = "region" + std::to_string(i % 3);
            node->capacity = i < 6 ? 500 : 120;
            node->index = i;
            node->port = i == 0 ? FreePort() : 0;
            if (i > 0) {
                node->seeds.push_back("127.0.0.1:" +
                                      std::to_string(nodes[0]->port));
            }
            nodes.push_back(std::move(node));
        }
        for (auto &node : nodes) {
            Start(*node);
        }
    }

    FleetWorker *
    Worker(Node &node, int i)
    {
        return Fleet_Find(node.fleet, ("w" + std::to_string(i)).c_str());
    }

    /* Whether each running VM counts `inflight` calls of others at worker i,
       without its own. */
    bool
    AllCount(int i, uint32_t inflight)
    {
        for (auto &node : nodes) {
            if (node->gos != nullptr &&
                Worker(*node, i)->peer_inflight + Worker(*node, i)->inflight !=
                    inflight) {
                return false;
            }
        }
        return true;
    }

    bool
    AllKnow(uint32_t vms)
    {
        for (auto &node : nodes) {
            if (node->gos != nullptr &&
                Gos_CountLivePeers(node->gos) + 1 != vms) {
                return false;
            }
        }
        return true;
    }

    /* Bytes that a VM sends in a second on average, with `changes` of its load
       in each second. */
    double
    MeasureBytes(int changes)
    {
        const int64_t length_us = 2 * CLK_US_PER_S;
        uint64_t before = Met_Get(MET_PEER_BYTES_SENT);
        int64_t begin_us = Clk_Now(&clk);
        int64_t next_us = begin_us;
        Until([&] {
            int64_t now_us = Clk_Now(&clk);
            if (now_us >= next_us) {
                next_us += CLK_US_PER_S / changes;
                for (auto &node : nodes) {
                    FleetWorker *worker =
                        Worker(*node, node->index % kWorkers);
                    worker->inflight = 1 - worker->inflight;
                    Gos_ScheduleUpdate(node->gos);
                }
            }
            return now_us - begin_us >= length_us;
        });
        return (double)(Met_Get(MET_PEER_BYTES_SENT) - before) /
               (double)nodes.size() / 2;
    }

    static const int kWorkers = 100;
    std::vector<std::unique_ptr<Node>> nodes;
};

TEST_F(Fleet3, LoadOfAllVmsReachesEachVm)
{
    StartFleet(45);
    ASSERT_TRUE(Until([&] { return AllKnow(45); }));
    for (auto &node : nodes) {
        Worker(*node, 7)->inflight = 2;
        Gos_ScheduleUpdate(node->gos);
    }
    EXPECT_TRUE(Until([&] { return AllCount(7, 90); }));
    for (auto &node : nodes) {
        Worker(*node, 7)->inflight = 0;
        Gos_ScheduleUpdate(node->gos);
    }
    EXPECT_TRUE(Until([&] { return AllCount(7, 0); }));
}

/* What single VMs measure is known to all of them: each one measures too few
   prefills of a worker to learn its pace. A VM that starts learns it with the
   first tables, also that of a worker without load. A refusal is told in its
   region, and its mark ends. */
TEST_F(Fleet3, PaceIsLearnedByAllVmsTogether)
{
    StartFleet(45);
    ASSERT_TRUE(Until([&] { return AllKnow(45); }));
    for (int round = 0; round < 30; round++) {
        /* Every third measurement of the slow worker has waited. */
        int64_t now_us = Clk_Now(&clk);
        for (auto &node : nodes) {
            if (node->index % 15 == round % 15) {
                FleetPace *slow = &Worker(*node, 3)->pace;
                FleetPace *fast = &Worker(*node, 4)->pace;
                double multiple =
                    (node->index / 3 + round) % 3 == 0 ? 5 : 1.67;
                Pace_AddToSum(&slow->read_sum, multiple);
                Pace_Note(&slow->read, multiple, 1, now_us);
                Pace_AddToSum(&fast->step_sum, 0.6);
                Pace_Note(&fast->step, 0.6, 1, now_us);
                Gos_ScheduleUpdate(node->gos);
            }
        }
        int64_t end_us = now_us + 100 * CLK_US_PER_MS;
        Until([&] { return Clk_Now(&clk) >= end_us; });
    }
    auto knows = [&](Node &node) {
        return std::abs(Pace_Get(&Worker(node, 3)->pace.read) - 1.67) < 0.1 &&
               std::abs(Pace_Get(&Worker(node, 4)->pace.step) - 0.6) < 0.05;
    };
    EXPECT_TRUE(Until([&] {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](auto &node) { return knows(*node); });
    }));
    Node &started = *nodes[40];
    Stop(started);
    Start(started);
    EXPECT_TRUE(Until([&] { return knows(started); }));
    /* Messages may be lost: the worker refuses every 100 ms. */
    FleetWorker *refusing = Worker(*nodes[20], 5);
    EXPECT_TRUE(Until([&] {
        if (Clk_Now(&clk) - refusing->refused_us > 100 * CLK_US_PER_MS) {
            refusing->refused_us = Clk_Now(&clk);
            Gos_ScheduleUpdate(nodes[20]->gos);
        }
        return std::all_of(nodes.begin(), nodes.end(), [&](auto &node) {
            return node->region != nodes[20]->region || node->index == 20 ||
                   Worker(*node, 5)->told_full_until_us > 0;
        });
    }));
    EXPECT_TRUE(Until([&] {
        return std::all_of(nodes.begin(), nodes.end(), [&](auto &node) {
            return Worker(*node, 5)->told_full_until_us + 500 * CLK_US_PER_MS <
                   Clk_Now(&clk);
        });
    }));
}

/* Nearly as many workers as one message holds, each with calls and memory in
   use, a third of them silent, and each with a pace: the tables' messages are
   full. */
TEST_F(Fleet3, LoadStaysKnownWhileManyWorkersAreBusyAndSilent)
{
    const int kBusy = 61;
    const int kCalls = 10;
    uint32_t expected[kBusy] = {};
    StartFleet(45);
    ASSERT_TRUE(Until([&] { return AllKnow(45); }));
    for (auto &node : nodes) {
        for (int k = 0; k < kCalls; k++) {
            int i = (node->index / 3 * kCalls + k) % kBusy;
            Worker(*node, i)->inflight = 2;
            Worker(*node, i)->prefill_tokens = 20000;
            Worker(*node, i)->kv = {{30000, 31000, 32000}};
            expected[i] += 2;
        }
        for (int i = 0; i < kWorkers; i++) {
            FleetPace *pace = &Worker(*node, i)->pace;
            Pace_Note(&pace->read, 1.67, 1, Clk_Now(&clk));
            Pace_Note(&pace->step, 0.6, 1, Clk_Now(&clk));
            pace->growth = 0.04;
            pace->has_growth = true;
        }
        Gos_ScheduleUpdate(node->gos);
    }
    EXPECT_TRUE(Until([&] {
        for (auto &node : nodes) {
            for (int i = 0; i < kBusy / 3; i++) {
                Health_NoteUnresponsive(&Worker(*node, i)->health,
                                        Clk_Now(&clk));
            }
        }
        for (int i = 0; i < kBusy; i++) {
            if (!AllCount(i, expected[i])) {
                return false;
            }
        }
        return true;
    }));
}

TEST_F(Fleet3, LoadStaysKnownWhenTheHubsOfARegionStop)
{
    StartFleet(45);
    ASSERT_TRUE(Until([&] { return AllKnow(45); }));
    /* VMs 0 and 3 are the largest of region 0, and its hubs; VM 0 is the only
       seed, too. */
    Worker(*nodes[6], 3)->inflight = 1;
    Worker(*nodes[7], 3)->inflight = 1;
    ASSERT_TRUE(Until([&] { return AllCount(3, 2); }));
    Stop(*nodes[0]);
    Stop(*nodes[3]);
    EXPECT_TRUE(Until([&] { return AllKnow(43) && AllCount(3, 2); }));
    /* New load reaches the other VMs of the region by the new hubs. */
    Worker(*nodes[9], 4)->inflight = 5;
    EXPECT_TRUE(Until([&] { return AllCount(4, 5); }));
    Start(*nodes[0]);
    EXPECT_TRUE(Until([&] { return AllKnow(44) && AllCount(4, 5); }));
}

/* VMs of different regions see the crashes. Users' bound: a VM in touch
   refuses requests with the part `stable-ms`, 3 s, after the fifth crash. */
TEST_F(Fleet3, PartThatCrashesWorkersIsBlamedByEachVm)
{
    for (int count : {9, 45}) {
        SCOPED_TRACE(count);
        StartFleet(count);
        ASSERT_TRUE(Until([&] { return AllKnow((uint32_t)count); }));
        const uint64_t parts[] = {1, 9};
        int64_t now_us = Clk_Now(&clk);
        auto all_blame = [&] {
            int64_t until_us;
            for (auto &node : nodes) {
                if (Suspects_Judge(&node->suspects, parts, 2, Clk_Now(&clk),
                                   &until_us) == SUSPECTS_CLEAR) {
                    return false;
                }
            }
            return true;
        };
        for (int i = 0; i < 2; i++) {
            /* Further apart than the messages' delays under load, by which the
               times of the crashes differ at the other VMs. */
            int64_t at_us = now_us - (2 - i) * CLK_US_PER_S;
            SuspectsCrash crash = {(uint64_t)i + 1,
                                   at_us - 100 * CLK_US_PER_MS, at_us,
                                   SUSPECTS_FULL};
            Suspects_NoteCrash(&nodes[7 + i]->suspects, parts, 2, 0, &crash,
                               crash.at_us);
            Gos_ScheduleUpdate(nodes[7 + i]->gos);
        }
        EXPECT_TRUE(Until(all_blame));
        EXPECT_LT(Clk_Now(&clk) - now_us, 3 * CLK_US_PER_S);
        /* A VM that starts again learns it from the others. */
        Stop(*nodes[8]);
        Start(*nodes[8]);
        now_us = Clk_Now(&clk);
        EXPECT_TRUE(Until(all_blame));
        EXPECT_LT(Clk_Now(&clk) - now_us, 3 * CLK_US_PER_S);
        for (auto &node : nodes) {
            Stop(*node);
        }
        nodes.clear();
    }
}

/* Requests come to a VM as soon as it listens. It learns of a blamed part by
   the answer to its first message, not by a regular one (250 ms). */
TEST_F(Fleet3, VmThatStartsAgainLearnsBlamedPartsAtOnce)
{
    for (int count : {9, 45}) {
        SCOPED_TRACE(count);
        StartFleet(count);
        ASSERT_TRUE(Until([&] { return AllKnow((uint32_t)count); }));
        const uint64_t part = 9;
        auto blames = [&](const Node &node) {
            int64_t until_us;
            return Suspects_Judge(&node.suspects, &part, 1, Clk_Now(&clk),
                                  &until_us) != SUSPECTS_CLEAR;
        };
        int64_t now_us = Clk_Now(&clk);
        for (int i = 0; i < 2; i++) {
            int64_t at_us = now_us - (2 - i) * CLK_US_PER_S;
            SuspectsCrash crash = {(uint64_t)i + 1,
                                   at_us - 100 * CLK_US_PER_MS, at_us,
                                   SUSPECTS_FULL};
            Suspects_NoteCrash(&nodes[1]->suspects, &part, 1, 1, &crash,
                               crash.at_us);
        }
        Gos_ScheduleUpdate(nodes[1]->gos);
        ASSERT_TRUE(Until([&] {
            return std::all_of(nodes.begin(), nodes.end(),
                               [&](auto &node) { return blames(*node); });
        }));
        /* Best of some starts, as the machine may be busy. */
        int64_t best_us = INT64_MAX;
        for (int i = 0; i < 5; i++) {
            Stop(*nodes[8]);
            Start(*nodes[8]);
            now_us = Clk_Now(&clk);
            EXPECT_TRUE(Until([&] { return blames(*nodes[8]); }));
            best_us = std::min(best_us, Clk_Now(&clk) - now_us);
        }
        /* 30 ms until each of the two messages is sent. */
        EXPECT_LT(best_us, 100 * CLK_US_PER_MS);
        printf("%d VMs: learned after %.0f ms\n", count,
               (double)best_us / CLK_US_PER_MS);
        for (auto &node : nodes) {
            Stop(*node);
        }
        nodes.clear();
    }
}

/* Messages that no VM of the deployment sent must not fill the memory. */
TEST_F(Fleet3, ForgedAddressesAreBounded)
{
    Fleet *fleet = Fleet_New(&fleet_options);
    PeersOptions options = {&clk, fleet, 1, 2, 120, "vm"};
    Peers peers;
    Peers_Init(&peers, &options);
    for (uint32_t i = 0; i < 3 * PEERS_MAX; i++) {
        Peers_NoteCandidate(&peers, 1000 + i, 2, 500, 0);
    }
    EXPECT_EQ(peers.count, (guint)PEERS_MAX);
    EXPECT_EQ(Peers_GetOrAdd(&peers, 7), nullptr);
    Peers_Refresh(&peers);
    Peers_Clear(&peers);
    EXPECT_EQ(peers.count, 0u);
    Fleet_Free(fleet);
}

/* All VMs start at once and the seed last, while load changes more often than
   regular messages are due. */
TEST_F(Fleet3, BusyVmsFindASeedThatStartsAfterThem)
{
    for (int count : {9, 45}) {
        SCOPED_TRACE(count);
        StartFleet(count);
        Stop(*nodes[0]);
        int64_t begin_us = Clk_Now(&clk);
        int64_t next_us = begin_us;
        EXPECT_TRUE(Until([&] {
            int64_t now_us = Clk_Now(&clk);
            if (nodes[0]->gos == nullptr &&
                now_us - begin_us >= CLK_US_PER_S / 2) {
                Start(*nodes[0]);
            }
            if (now_us >= next_us) {
                next_us = now_us + CLK_US_PER_S / 50;
                for (auto &node : nodes) {
                    if (node->gos != nullptr) {
                        Gos_ScheduleUpdate(node->gos);
                    }
                }
            }
            return nodes[0]->gos != nullptr && AllKnow((uint32_t)count);
        }));
        for (auto &node : nodes) {
            Stop(*node);
        }
        nodes.clear();
    }
}

TEST_F(Fleet3, OneHubIsHomeOfAKey)
{
    StartFleet(30);
    ASSERT_TRUE(Until([&] { return AllKnow(30); }));
    EXPECT_TRUE(Until([&] {
        int homes = 0;
        for (auto &node : nodes) {
            homes += Gos_IsHome(node->gos, "service");
        }
        return homes == 1;
    }));
}

TEST_F(Fleet3, BytesOfAVmGrowLessThanTheFleet)
{
    StartFleet(30);
    ASSERT_TRUE(Until([&] { return AllKnow(30); }));
    double small = MeasureBytes(6);
    for (auto &node : nodes) {
        Stop(*node);
    }
    nodes.clear();
    StartFleet(120);
    ASSERT_TRUE(Until([&] { return AllKnow(120); }));
    double large = MeasureBytes(6);
    /* Power 0.3 at four times the size is a factor of 1.52; the bytes of the
       tables themselves grow with the load that they hold, up to one more
       part. */
    EXPECT_LT(large, 2 * 1.52 * small);
    printf("bytes a second and VM: %.0f at 30 VMs, %.0f at 120\n", small,
           large);
}

} // namespace
