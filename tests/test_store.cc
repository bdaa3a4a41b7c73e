/* Tests of the store's client against a scripted store: reading, watching, and
   the recovery from lost responses and from a lost history. */
#include "store_rig.h"

namespace {

TEST_F(StoreTest, ReadsPagesThenWatchesFromRevisionOfFirstPage)
{
    Begin({Range(Item("servers/a", WorkerEntry("ready"), 4), 7, true),
           Range(Item("servers/b", WorkerEntry("ready"), 5), 9),
           Events(Item("servers/a", WorkerEntry("draining"), 8), 8)});
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() == 4; }));
    EXPECT_NE(store->targets[1].find("after=servers/a"), std::string::npos);
    EXPECT_NE(store->targets[2].find("after=7&"), std::string::npos);
    EXPECT_NE(store->targets[3].find("after=8&"), std::string::npos);
    EXPECT_FALSE(IsReady("a"));
    EXPECT_TRUE(IsReady("b"));
}

TEST_F(StoreTest, DeletedWorkerIsNotReady)
{
    Begin({Range(Item("servers/a", WorkerEntry("ready"), 4), 4),
           Events("{\"key\":\"servers/a\",\"revision\":5,\"deleted\":true}",
                  5)});
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() == 3; }));
    EXPECT_FALSE(IsReady("a"));
}

TEST_F(StoreTest, LostHistoryRereadsKeysAndRemovesMissingWorkers)
{
    Begin({Range(Item("servers/a", WorkerEntry("ready"), 4) + "," +
                     Item("servers/b", WorkerEntry("ready"), 4),
                 4),
           "410 {}", Range(Item("servers/b", WorkerEntry("ready"), 4), 30)});
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() == 4; }));
    EXPECT_FALSE(IsReady("a"));
    EXPECT_TRUE(IsReady("b"));
    EXPECT_NE(store->targets[3].find("after=30&"), std::string::npos);
}

/* In a large fleet most VMs learn changes from other VMs, and must not call
   the store at all meanwhile: 295 VMs that watch cost it 200 calls a second.
 */
TEST_F(StoreTest, WatchPausesWhileOtherVmsTellChanges)
{
    watch_needed = false;
    Begin({Range(Item("servers/a", WorkerEntry("ready"), 4), 7),
           Events(Item("servers/a", WorkerEntry("draining"), 12), 12)});
    ASSERT_TRUE(rig.Until([&] { return IsReady("a"); }));
    int64_t begin_us = Clk_Now(&rig.clk);
    rig.Until(
        [&] { return Clk_Now(&rig.clk) - begin_us > 600 * CLK_US_PER_MS; });
    EXPECT_EQ(store->targets.size(), 1u);
    EXPECT_TRUE(Pf_IsStoreReachable(client));
    /* A change that another VM told is not asked for again. */
    std::string entry = WorkerEntry("ready");
    Feed_SetEntry(Edge_GetFeed(rig.edge), "b", entry.data(), entry.size(),
                  {0, 10});
    watch_needed = true;
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() >= 2; }));
    EXPECT_NE(store->targets[1].find("after=10&"), std::string::npos);
    EXPECT_TRUE(rig.Until([&] { return !IsReady("a"); }));
}

/* Pages are read one after the other, so what changes between them is known
   only once the first watch has answered. */
TEST_F(StoreTest, WatchDoesNotPauseBeforePagesAreConsistent)
{
    watch_needed = false;
    Begin({Range(Item("servers/a", WorkerEntry("ready"), 4), 7, true),
           Range(Item("servers/b", WorkerEntry("ready"), 9), 9),
           Events(Item("servers/a", WorkerEntry("draining"), 8), 9)});
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() == 3; }));
    EXPECT_NE(store->targets[2].find("after=7&"), std::string::npos);
    EXPECT_TRUE(rig.Until([&] { return IsReady("b") && !IsReady("a"); }));
}

/* The store stops responding as a watch begins, while the connection stays
   open. Without a short time-out of the watch, changes would stay unseen. */
TEST_F(StoreTest, SilentWatchTimesOutAndIsRepeated)
{
    Begin({Range(Item("servers/a", WorkerEntry("ready"), 4), 4), "",
           Events(Item("servers/a", WorkerEntry("draining"), 5), 5)});
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() >= 2; }));
    /* A change must be seen within 5.5 s (3 s + 2.5 s) after the store has
       recovered. The watch and the time-out of its response must fit into
       that time. */
    size_t at = store->targets[1].find("wait-ms=");
    EXPECT_LE(std::stoi(store->targets[1].substr(at + 8)), 3000);
    EXPECT_TRUE(rig.Until([&] { return !IsReady("a"); }));
    EXPECT_TRUE(Pf_IsStoreReachable(client));
}

/* If the call after a timed-out one falls into the store's outage too, and has
   the full time-out, changes are seen only after a second full time-out. While
   the store is unreachable, calls must therefore be short. */
TEST_F(StoreTest, CallsAreShortWhileStoreIsUnreachable)
{
    Begin({Range(Item("servers/a", WorkerEntry("ready"), 4), 4), "", "",
           Events(Item("servers/a", WorkerEntry("draining"), 5), 5)});
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() >= 5; }));
    for (size_t i : {2u, 3u}) {
        size_t at = store->targets[i].find("wait-ms=");
        EXPECT_LE(std::stoi(store->targets[i].substr(at + 8)), 300);
    }
    size_t at = store->targets[4].find("wait-ms=");
    EXPECT_GT(std::stoi(store->targets[4].substr(at + 8)), 300);
    EXPECT_FALSE(IsReady("a"));
}

/* A page after which the next one can't be asked for, or that doesn't say
   whether there is one, is not the end of the list: the workers of later pages
   would be dropped. */
TEST_F(StoreTest, PageWithoutAKnownEndDropsNoWorkers)
{
    const std::string a = Item("servers/a", WorkerEntry("ready"), 4);
    const std::string b = Item("servers/b", WorkerEntry("ready"), 4);
    const std::string long_key = "servers/" + std::string(300, 'x');
    const std::string pages[] = {
        Range(a + "," + Item(long_key, WorkerEntry("ready"), 4), 30, true),
        Range("", 30, true),
        "200 {\"items\":[" + a + "],\"as-of\":30}",
        "200 {\"items\":[" + a + "],\"truncated\":1,\"as-of\":30}",
        Range(a, 30, true).substr(0, 60),
    };

    for (const std::string &page : pages) {
        SCOPED_TRACE(page);
        Begin({Range(a + "," + b, 4), "410 {}", page});
        ASSERT_TRUE(rig.Until([&] { return store->targets.size() >= 4; }));
        EXPECT_TRUE(IsReady("b"));
        EXPECT_EQ(store->targets[3].find("kv-watch"), std::string::npos);
        Pf_FreeStore(client);
        client = nullptr;
    }
}

/* The store returns from a copy: worker "a" had revision 40 before, and is
   draining with a lower one afterwards. */
struct EraCase {
    const char *name;
    std::vector<std::string> script;
    /* What the calls' targets contain, in order. */
    std::vector<const char *> targets;
    bool draining; /* Whether "a" is draining in the end. */
    int bad_eras;  /* Answers whose era was ignored. */
};

const char first[] = "kv-range?prefix=";
const std::string ready_40 = Item("servers/a", WorkerEntry("ready"), 40);
const std::string draining_30 = Item("servers/a", WorkerEntry("draining"), 30);
const std::string draining_50 = Item("servers/a", WorkerEntry("draining"), 50);

const EraCase era_cases[] = {
    {"the watch's revision is unknown",
     {"1;" + Range(ready_40, 40), "2;410 {}", "2;" + Range(draining_30, 30)},
     {first, "after=40&", first, "after=30&"},
     true,
     0},
    {"the watch's revision was given out again",
     {"1;" + Range(ready_40, 40), "2;" + Events("", 44),
      "2;" + Range(draining_30, 44)},
     {first, "after=40&", first, "after=44&"},
     true,
     0},
    {"the watch's answer holds changes of the newer era only",
     {"1;" + Range(ready_40, 40), "2;" + Events(draining_50, 50),
      "2;" + Range(ready_40, 50)},
     {first, "after=40&", first, "after=50&"},
     false,
     0},
    {"the store is down at first, and names the era in its errors",
     {"1;" + Range(ready_40, 40), "2;503 ", "2;" + Range(draining_30, 30)},
     {first, "after=40&", first, "after=30&"},
     true,
     0},
    {"between two pages",
     {"1;" + Range(ready_40, 40, true),
      "2;" + Range(Item("servers/b", WorkerEntry("ready"), 20), 30),
      "2;" + Range(draining_30, 30)},
     {first, "after=servers/a", first, "after=30&"},
     true,
     0},
    {"before the first page is read",
     {"1;503 ", "2;" + Range(draining_30, 30)},
     {first, first, "after=30&"},
     true,
     0},
    {"twice",
     {"1;" + Range(ready_40, 40), "2;410 {}", "3;" + Range(draining_30, 30)},
     {first, "after=40&", first, "after=30&"},
     true,
     0},
    {"a late answer of the older era",
     {"2;" + Range(draining_30, 30), "1;" + Events(ready_40, 40),
      "2;" + Events("", 31)},
     {first, "after=30&", "after=30&", "after=31&"},
     true,
     1},
    {"a late 410 of the older era",
     {"2;" + Range(draining_30, 30), "1;410 {}", "2;" + Events("", 31)},
     {first, "after=30&", "after=30&", "after=31&"},
     true,
     1},
    {"no era in a later answer",
     {"2;" + Range(ready_40, 40), Events(draining_50, 50)},
     {first, "after=40&", "after=50&"},
     true,
     1},
    {"an era that is no number",
     {"2;" + Range(ready_40, 40), "new;" + Events(draining_50, 50)},
     {first, "after=40&", "after=50&"},
     true,
     1},
    {"a negative era",
     {"2;" + Range(ready_40, 40), "-3;" + Events(draining_50, 50)},
     {first, "after=40&", "after=50&"},
     true,
     1},
    {"an era beyond all numbers",
     {"2;" + Range(ready_40, 40),
      "99999999999999999999;" + Events(draining_50, 50)},
     {first, "after=40&", "after=50&"},
     true,
     1},
    {"a store that names no era",
     {Range(ready_40, 40), Events(draining_50, 50)},
     {first, "after=40&", "after=50&"},
     true,
     0},
    {"a store that begins to name its era",
     {Range(ready_40, 40), "1;" + Events(draining_50, 50),
      "1;" + Range(draining_50, 50)},
     {first, "after=40&", first, "after=50&"},
     true,
     0},
};

class StoreEraTest : public StoreTest,
                     public testing::WithParamInterface<EraCase> {};

TEST_P(StoreEraTest, StoreReturnsFromACopy)
{
    const EraCase &row = GetParam();
    SCOPED_TRACE(row.name);
    uint64_t bad_eras = Met_Get(MET_STORE_ERAS_BAD);
    Begin(row.script);
    ASSERT_TRUE(rig.Until(
        [&] { return store->targets.size() >= row.targets.size(); }));
    for (size_t i = 0; i < row.targets.size(); i++) {
        EXPECT_NE(store->targets[i].find(row.targets[i]), std::string::npos)
            << store->targets[i];
    }
    FleetWorker *worker = Fleet_Find(Edge_GetFleet(rig.edge), "a");
    ASSERT_NE(worker, nullptr);
    EXPECT_EQ((bool)worker->entry.draining, row.draining);
    EXPECT_EQ(Met_Get(MET_STORE_ERAS_BAD) - bad_eras, (uint64_t)row.bad_eras);
}

INSTANTIATE_TEST_SUITE_P(Drill, StoreEraTest, testing::ValuesIn(era_cases));

/* What other VMs told of a newer era goes on from its own revision. */
TEST_F(StoreTest, PausedWatchGoesOnInTheEraThatOtherVmsTold)
{
    watch_needed = false;
    Begin({"1;" + Range(ready_40, 40), "2;" + Events(draining_50, 50)});
    ASSERT_TRUE(rig.Until([&] { return IsReady("a"); }));
    Feed *feed = Edge_GetFeed(rig.edge);
    std::string entry = WorkerEntry("ready");
    Feed_BeginSweep(feed, 2);
    Feed_SetEntry(feed, "a", entry.data(), entry.size(), {2, 12});
    Feed_EndSweep(feed);
    watch_needed = true;
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() >= 2; }));
    EXPECT_NE(store->targets[1].find("after=12&"), std::string::npos);
    EXPECT_TRUE(rig.Until([&] { return !IsReady("a"); }));
    EXPECT_EQ(store->targets.size(), 2u);
}

/* Another VM learned of the newer era first; this VM's watch still answers
   with its own. */
TEST_F(StoreTest, OpenWatchOfAnOlderEraIsNotUsed)
{
    Begin({"1;" + Range(ready_40, 40)});
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() == 2; }));
    Feed *feed = Edge_GetFeed(rig.edge);
    std::string entry = WorkerEntry("ready");
    Feed_BeginSweep(feed, 2);
    Feed_SetEntry(feed, "a", entry.data(), entry.size(), {2, 12});
    Feed_EndSweep(feed);
    store->Push("1;" + Events(draining_50, 50));
    store->Push("2;410 {}");
    store->Push("2;" + Range(ready_40, 41));
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() >= 6; }));
    EXPECT_TRUE(IsReady("a"));
    EXPECT_NE(store->targets[4].find(first), std::string::npos);
    EXPECT_NE(store->targets[5].find("after=41&"), std::string::npos);
}

TEST_F(StoreTest, ErrorStatusAndMalformedResponseAreRetried)
{
    Begin({"503 ", "429 ", "200 nonsense",
           Range(Item("servers/a", WorkerEntry("ready"), 4), 4)});
    EXPECT_TRUE(rig.Until([&] { return IsReady("a"); }));
    EXPECT_TRUE(Pf_IsStoreReachable(client));
}

} // namespace
