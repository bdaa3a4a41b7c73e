/* Tests of accounts' caps at gates: requests beyond the cap are refused, and
   those within it are not, whichever VMs they come to. */
#include "fleet_rig.h"

#include <set>

namespace {

const Route plain = {RTE_IDEMPOTENT, 2, false, 3000, 1000};
const Route streams = {RTE_STREAM, 2, false, 15000, 1000};
const double rate = 20;

struct Options {
    double rate_per_s;
    AccUnit unit = ACC_UNIT_REQUESTS;
};

/* A fleet whose configuration has the accounts "one", with a cap, and "free",
   without. Their keys are k1 and k2. */
class CapRig : public FleetRig {
  public:
    CapRig(int vms, bool has_worker = true, const Route &route = plain)
        : FleetRig(route, 0, 0), route_used(route)
    {
        const char *const zones[] = {"zone-a", "zone-b", "zone-c"};
        if (has_worker) {
            AddWorker(std::vector<ScriptedReply>(
                5000, route.kind == RTE_STREAM ? Stream(0, 9) : Ok()));
        }
        for (int i = 0; i < vms; i++) {
            AddVm(0, zones[i % 3]);
        }
        SetCap({rate}, 2);
        RunFor(3000); /* The VMs hear of each other. */
    }

    void
    SetCap(const Options &options, uint64_t version)
    {
        for (Edge *edge : edges) {
            RteTable *table = MakeTable(
                route_used, route_used.kind == RTE_STREAM, 2000, version);
            Account one = {};
            one.name = (char *)"one";
            one.priority = ACC_PRIORITY_NONE;
            one.unit = options.unit;
            one.rate_per_s = options.rate_per_s;
            one.burst = options.rate_per_s;
            one.default_tokens = 100;
            table->accounts = Acc_NewTable();
            ASSERT_TRUE(Acc_AddAccount(table->accounts, &one));
            one.name = (char *)"free";
            one.rate_per_s = 0;
            ASSERT_TRUE(Acc_AddAccount(table->accounts, &one));
            ASSERT_TRUE(Acc_AddKey(table->accounts, "k1", "one"));
            ASSERT_TRUE(Acc_AddKey(table->accounts, "k2", "free"));
            for (const char *name : {"c0", "c1", "c2", "c3"}) {
                one.name = (char *)name;
                ASSERT_TRUE(Acc_AddAccount(table->accounts, &one));
                ASSERT_TRUE(Acc_AddKey(table->accounts, name, name));
            }
            ASSERT_TRUE(Gate_SetTable(Edge_GetGate(edge), table));
        }
    }

    /* Sends requests at a constant rate to the first VMs by turns, and counts
       those that ran. */
    int
    Load(double per_s, int64_t for_ms, size_t vms, const char *key = "k1",
         const std::string &more = "")
    {
        size_t before = callers.size();
        int count = 0;
        int interval_ms = (int)(1000 / per_s);
        for (int64_t at_ms = 0; at_ms < for_ms; at_ms += interval_ms) {
            Call(callers.size() % vms,
                 Request("GET",
                         std::string("Authorization: Token ") + key +
                             "\r\nX-Deadline-Ms: 3000\r\n" + more,
                         ""));
            RunFor(interval_ms);
        }
        RunFor(100);
        refused = 0;
        after_ms.clear();
        for (size_t i = before; i < callers.size(); i++) {
            const std::string &text = callers[i]->text;
            size_t at = text.find("Retry-After");
            count += callers[i]->Status() == 200;
            refused += callers[i]->Status() == 429;
            if (at != std::string::npos) {
                after_ms.insert(text.substr(at, text.find("\r\n", at) - at));
            }
        }
        EXPECT_EQ((size_t)(count + refused), callers.size() - before);
        return count;
    }

    Route route_used;
    int refused = 0;
    std::set<std::string> after_ms; /* Retry-After fields that came. */
};

struct LoadCase {
    const char *name;
    int vms;
    size_t used; /* VMs to which the callers send. */
    double per_s;
};

const LoadCase load_cases[] = {
    {"one VM", 1, 1, 100},
    {"three VMs", 3, 3, 100},
    {"one of three VMs", 3, 1, 100},
    {"within the cap", 3, 3, 16},
    {"a fleet with hubs", 21, 21, 100},
    {"three of a fleet with hubs", 21, 3, 100},
    {"within the cap, with hubs", 21, 21, 16},
};

/* Guards against VMs that each admit the whole cap, and against requests
   within it that are refused. */
TEST(GateCap, HoldsOverAllVms)
{
    for (const LoadCase &row : load_cases) {
        SCOPED_TRACE(row.name);
        CapRig rig(row.vms);
        int ran = rig.Load(row.per_s, 8000, row.used);
        printf("%s: %d ran, %d refused\n", row.name, ran, rig.refused);
        if (row.per_s <= rate) {
            EXPECT_EQ(rig.refused, 0);
            continue;
        }
        EXPECT_LE(ran, (rate * 8 + rate) * 1.25);
        EXPECT_GE(ran, rate * 8);
        EXPECT_GT(rig.after_ms.size(), 20u); /* They come back by turns. */
        EXPECT_EQ(rig.Load(row.per_s, 500, row.used, "k2"), 50);
    }
}

/* Returns how many of the calm accounts' streams are served, of 10 s, while
   "free" sends 30 streams a second beside four with 2 a second each, and room
   becomes free for 12 a second. */
double
ServeCalm(bool has_accounts, double *busy_served)
{
    CapRig rig(1, true, streams);
    std::vector<Caller *> calm, busy;
    if (!has_accounts) {
        Gate_SetTable(Edge_GetGate(rig.edges[0]),
                      MakeTable(streams, true, 2000, 9));
    }
    auto call = [&](const std::string &key) {
        return rig.Call(0,
                        "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-" +
                            std::to_string(rig.callers.size()) +
                            "\r\nAuthorization: Token " + key +
                            "\r\nX-Token-Usage: 1000,100\r\nX-Deadline-Ms: "
                            "14000\r\nContent-Length: 1\r\n\r\nb");
    };
    auto count = [](const std::vector<Caller *> &list) {
        double served = 0;
        for (Caller *caller : list) {
            served += caller->Status() == 200;
        }
        return served / (double)list.size();
    };
    rig.workers[0]->places = 0;
    for (int i = 0; i < 1200; i++) {
        bool is_kept = i >= 200; /* The first 2 s show the lack. */
        if (i % 25 == 0) {
            rig.workers[0]->places = 3;
        }
        if (i * 3 % 10 < 3) {
            Caller *caller = call("k2");
            if (is_kept) {
                busy.push_back(caller);
            }
        }
        if (i % 12 == 5) {
            Caller *caller = call("c" + std::to_string(i / 12 % 4));
            if (is_kept) {
                calm.push_back(caller);
            }
        }
        rig.RunFor(10);
    }
    rig.RunFor(3000);
    *busy_served = count(busy);
    return count(calm);
}

/* Guards against an account that sends ten times as much as others and takes
   their room. */
TEST(GateFair, SurgeOfOneAccountLeavesRoomToTheOthers)
{
    double busy, busy_without;
    uint64_t before = Met_Get(MET_STREAMS_OVER_SHARE);
    double without = ServeCalm(false, &busy_without);
    EXPECT_EQ(Met_Get(MET_STREAMS_OVER_SHARE), before);
    double with = ServeCalm(true, &busy);
    printf("calm accounts served: %.2f (busy %.2f), without accounts: %.2f "
           "(%.2f)\n",
           with, busy, without, busy_without);
    EXPECT_GT(Met_Get(MET_STREAMS_OVER_SHARE), before);
    EXPECT_GE(with, 0.8);
    EXPECT_LE(without, 0.5); /* Else there is room for all. */
    EXPECT_GE(busy, 0.25 * (8 * with + 30 * busy) / 38);
}

/* Guards against tokens that are counted as requests, and against a request
   without X-Token-Usage that counts as none. */
TEST(GateCap, CountsTokens)
{
    CapRig rig(1);
    rig.SetCap({1000, ACC_UNIT_TOKENS}, 3);
    int ran = rig.Load(100, 2000, 1, "k1", "X-Token-Usage: 40,60\r\n");
    EXPECT_GE(ran, 20);
    EXPECT_LE(ran, 40 + 10 * 1.25);
    CapRig other(1);
    other.SetCap({1000, ACC_UNIT_TOKENS}, 3);
    ran = other.Load(100, 2000, 1);
    EXPECT_GE(ran, 20);
    EXPECT_LE(ran, 40 + 10 * 1.25);
}

/* Guards against a cap that is lowered or lifted only with the next start. */
TEST(GateCap, ChangesWithTheConfiguration)
{
    CapRig rig(3);
    rig.Load(40, 1000, 3);
    rig.SetCap({rate / 10}, 3);
    rig.Load(100, 1000, 3);
    EXPECT_LE(rig.Load(100, 8000, 3), (rate * 8 + rate) * 0.125);
    rig.SetCap({0}, 4);
    EXPECT_EQ(rig.Load(100, 1000, 3), 100);
}

/* Guards against requests that did not run and still use up the cap. */
TEST(GateCap, RefusedRequestsAreGivenBack)
{
    CapRig rig(1, false);
    int refused = 0;
    uint64_t before = Met_Get(MET_REQUESTS_GIVEN_BACK);
    for (int i = 0; i < 100; i++) {
        Caller *caller =
            rig.Call(0, Request("GET", "Authorization: Token k1\r\n", ""));
        rig.RunFor(10);
        EXPECT_EQ(caller->Status(), 503);
        refused += caller->Status() == 429;
    }
    EXPECT_EQ(refused, 0);
    EXPECT_EQ(Met_Get(MET_REQUESTS_GIVEN_BACK) - before, 100u);
}

} // namespace
