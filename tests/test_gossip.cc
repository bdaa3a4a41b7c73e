/* Tests of the exchange between VMs on loopback: load hints by gossip, and the
   snapshot for a VM that can't reach the source. */
#include "gate_rig.h"

namespace {

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
        options.peers.port = FreePort();
        options.seeds[0] = seed;
        options.seed_count = seed != nullptr ? 1 : 0;
        options.context = this;
        options.is_source_reachable = [](void *context) {
            return static_cast<Vm *>(context)->source_reachable;
        };
        edge = Edge_New(&options, &err);
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
    /* Returns a port for UDP and TCP that was free at the call. */
    static uint16_t
    FreePort()
    {
        LsError err = {};
        event_base *base = event_base_new();
        ServerOptions options = Server_DefaultOptions();
        options.base = base;
        Server *server = Server_New(&options, &err);
        uint16_t port = Server_GetPort(server);
        Server_Free(server);
        event_base_free(base);
        return port;
    }

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
                      5);
    }
    a.Worker("w")->inflight = 3;
    a.Worker("w")->kv_tokens = 7000;
    EXPECT_TRUE(Until([&] {
        return b.Worker("w")->peer_inflight == 3 &&
               b.Worker("w")->peer_kv_tokens == 7000;
    }));
    a.Worker("w")->inflight = 0;
    a.Worker("w")->kv_tokens = 0;
    EXPECT_TRUE(Until([&] { return b.Worker("w")->peer_inflight == 0; }));
}

TEST_F(Gossip, UseReportedByStoppedVmIsDropped)
{
    auto a = std::make_unique<Vm>(base, &clk, "a", nullptr, true);
    Vm b(base, &clk, "b", a->address.c_str(), true);
    for (Vm *vm : {a.get(), &b}) {
        Feed_SetEntry(Edge_GetFeed(vm->edge), "w", entry, sizeof(entry) - 1,
                      5);
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
    Feed_SetEntry(Edge_GetFeed(a.edge), "w", entry, sizeof(entry) - 1, 5);
    ASSERT_TRUE(Until([&] {
        return Gate_GetTable(Edge_GetGate(b.edge)) != nullptr &&
               b.Worker("w") != nullptr;
    }));
    EXPECT_EQ(Gate_GetTable(Edge_GetGate(b.edge))->version, 3u);
    EXPECT_TRUE(Fleet_IsReady(b.Worker("w")));
    /* The removal of a worker reaches the other VM too. */
    Feed_RemoveEntry(Edge_GetFeed(a.edge), "w", 9);
    EXPECT_TRUE(Until([&] { return !Fleet_IsReady(b.Worker("w")); }));
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
     "\"state\":\"odd\"}",
     false},
    {"slots of another type",
     "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":"
     "\"4\",\"state\":\"ready\"}",
     false},
    {"no address",
     "{\"service\":\"s\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}",
     false},
    {"born of another type",
     "{\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"zone\":\"z\",\"slots\":4,"
     "\"state\":\"ready\",\"born\":\"x\"}",
     false},
};

TEST_F(Gossip, MalformedEntriesAddNoWorker)
{
    Vm a(base, &clk, "a", nullptr, true);
    uint64_t revision = 1;
    for (const EntryCase &row : entry_cases) {
        Feed_SetEntry(Edge_GetFeed(a.edge), row.name, row.text,
                      strlen(row.text), revision++);
        FleetWorker *worker = a.Worker(row.name);
        EXPECT_EQ(worker != nullptr && Fleet_IsReady(worker), row.ready)
            << row.name;
    }
}

} // namespace
