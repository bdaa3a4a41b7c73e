/* Tests of a source that returns from a copy some seconds old: revisions go
   back and are given out again in a newer era. */
#include "gate_rig.h"

namespace {

const int64_t ms = CLK_US_PER_MS;

FleetOptions
MakeFleetOptions()
{
    FleetOptions options = Fleet_DefaultOptions();
    options.entry_lapse_us = 5000 * ms;
    return options;
}

/* One change of what a VM knows of the worker "w". */
struct Step {
    enum { SET, DRAIN, REMOVE, BEGIN, END } change;
    int64_t at_ms;
    Pos position;     /* Of BEGIN, only the era counts. */
    int64_t born = 1; /* Of SET and DRAIN. */
};

struct FleetCase {
    const char *name;
    std::vector<Step> steps;
    int64_t at_ms;
    bool listed;
    bool usable;
};

const FleetCase fleet_cases[] = {
    {"a lower revision of a newer era is newer",
     {{Step::SET, 0, {1, 50}}, {Step::DRAIN, 10, {2, 40}}},
     20,
     true,
     false},
    {"a late entry of the older era is ignored",
     {{Step::DRAIN, 0, {2, 40}}, {Step::SET, 10, {1, 60}}},
     20,
     true,
     false},
    {"a late removal of the older era is ignored",
     {{Step::SET, 0, {2, 40}}, {Step::REMOVE, 10, {1, 60}}},
     20,
     true,
     true},
    {"the same revision is another change in a newer era",
     {{Step::SET, 0, {1, 50}}, {Step::DRAIN, 10, {2, 50}}},
     20,
     true,
     false},
    {"missing from the copy: in use for two seconds",
     {{Step::SET, 0, {1, 50}},
      {Step::BEGIN, 1000, {2, 0}},
      {Step::END, 1100, {}}},
     2999,
     true,
     true},
    {"missing from the copy for two seconds: removed",
     {{Step::SET, 0, {1, 50}},
      {Step::BEGIN, 1000, {2, 0}},
      {Step::END, 1100, {}}},
     3000,
     false,
     true},
    {"missing from the copy for long: not usable",
     {{Step::SET, 0, {1, 50}},
      {Step::BEGIN, 1000, {2, 0}},
      {Step::END, 1100, {}}},
     4500,
     false,
     false},
    {"missing from the copy, then written again",
     {{Step::SET, 0, {1, 50}},
      {Step::BEGIN, 1000, {2, 0}},
      {Step::END, 1100, {}},
      {Step::SET, 2500, {2, 45}}},
     60000,
     true,
     true},
    {"missing from the copy, another list of the same era",
     {{Step::SET, 0, {1, 50}},
      {Step::BEGIN, 1000, {2, 0}},
      {Step::END, 1100, {}},
      {Step::BEGIN, 2500, {2, 0}},
      {Step::END, 2600, {}}},
     3000,
     false,
     true},
    {"missing from a list of its own era: removed at once",
     {{Step::SET, 0, {2, 50}},
      {Step::BEGIN, 1000, {2, 0}},
      {Step::END, 1100, {}}},
     1100,
     false,
     true},
    {"draining, but ready in the copy",
     {{Step::SET, 0, {1, 40}},
      {Step::DRAIN, 10, {1, 50}},
      {Step::SET, 1000, {2, 40}}},
     60000,
     true,
     false},
    {"draining, ready in the copy, and listed again",
     {{Step::DRAIN, 0, {1, 50}},
      {Step::SET, 1000, {2, 40}},
      {Step::SET, 2000, {2, 40}}},
     2010,
     true,
     false},
    {"draining, then restarted under its id",
     {{Step::DRAIN, 0, {1, 50}}, {Step::SET, 1000, {2, 45}, 2}},
     1010,
     true,
     true},
    {"left, but listed in the copy",
     {{Step::SET, 0, {1, 40}},
      {Step::REMOVE, 10, {1, 50}},
      {Step::SET, 1000, {2, 40}}},
     5999,
     true,
     false},
    {"left, listed in the copy and still there after a lapse",
     {{Step::SET, 0, {1, 40}},
      {Step::REMOVE, 10, {1, 50}},
      {Step::SET, 1000, {2, 40}}},
     6000,
     true,
     true},
    {"left, listed in the copy, and listed again",
     {{Step::SET, 0, {1, 40}},
      {Step::REMOVE, 10, {1, 50}},
      {Step::SET, 1000, {2, 40}},
      {Step::SET, 2000, {2, 40}}},
     5999,
     true,
     false},
    {"left, listed in the copy, and written again",
     {{Step::SET, 0, {1, 40}},
      {Step::REMOVE, 10, {1, 50}},
      {Step::SET, 1000, {2, 40}},
      {Step::SET, 2000, {2, 45}}},
     2010,
     true,
     true},
    {"left, then restarted under its id",
     {{Step::SET, 0, {1, 40}},
      {Step::REMOVE, 10, {1, 50}},
      {Step::SET, 1000, {2, 45}, 2}},
     1010,
     true,
     true},
    {"left, listed in the copy, then removed there",
     {{Step::SET, 0, {1, 40}},
      {Step::REMOVE, 10, {1, 50}},
      {Step::SET, 1000, {2, 40}},
      {Step::REMOVE, 3000, {2, 47}}},
     60000,
     false,
     false},
};

TEST(Era, EntriesOfAWorker)
{
    for (const FleetCase &row : fleet_cases) {
        SCOPED_TRACE(row.name);
        FleetOptions options = MakeFleetOptions();
        Fleet *fleet = Fleet_New(&options);
        for (const Step &step : row.steps) {
            int64_t now_us = step.at_ms * ms;
            FleetEntry entry = {};
            g_strlcpy(entry.id, "w", sizeof(entry.id));
            entry.draining = step.change == Step::DRAIN;
            entry.born_ms = step.born;
            entry.position = step.position;
            switch (step.change) {
            case Step::SET:
            case Step::DRAIN:
                if (!Fleet_KeepEntry(fleet, "w", step.position)) {
                    Fleet_SetEntry(fleet, &entry, now_us);
                }
                break;
            case Step::REMOVE:
                Fleet_RemoveEntry(fleet, "w", step.position, now_us);
                break;
            case Step::BEGIN:
                Fleet_BeginSweep(fleet, step.position.era, now_us);
                break;
            case Step::END:
                Fleet_EndSweep(fleet, now_us);
                break;
            }
        }
        const FleetWorker *worker = Fleet_Find(fleet, "w");
        EXPECT_EQ(Fleet_IsListed(worker, row.at_ms * ms), row.listed);
        EXPECT_EQ(Fleet_IsUsable(worker, row.at_ms * ms), row.usable);
        EXPECT_EQ(Fleet_IsReady(worker, row.at_ms * ms),
                  row.listed && row.usable);
        Fleet_Free(fleet);
    }
}

/* Snapshots of two VMs, of which the second gets messages from the first. */
class SnapshotEra : public testing::Test {
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

    static void
    Set(Snapshot *snapshot, const char *id, Pos position)
    {
        Snapshot_SetEntry(snapshot, id, "x", 1, position);
    }

    /* Reads a complete list of entries. */
    static void
    Read(Snapshot *snapshot, uint64_t era,
         const std::vector<std::pair<const char *, uint64_t>> &entries)
    {
        Snapshot_BeginSweep(snapshot, era);
        for (const auto &row : entries) {
            Set(snapshot, row.first, {era, row.second});
        }
        Snapshot_EndSweep(snapshot);
    }

    /* Sends what `from` has after `since` to `to`; returns the size. */
    size_t
    Send(Pos since)
    {
        GByteArray *data = Snapshot_Pack(from, since);
        if (data == nullptr) {
            return 0;
        }
        size_t size = data->len;
        SnapshotHandler handler = MakeSnapshotHandler(to);
        EXPECT_TRUE(Snapshot_Apply(to, data->data, data->len, &handler));
        g_byte_array_free(data, TRUE);
        return size;
    }

    bool
    AreEqual()
    {
        return Pos_IsEqual(Snapshot_GetPosition(from),
                           Snapshot_GetPosition(to)) &&
               Snapshot_GetDigest(from) == Snapshot_GetDigest(to);
    }

    Snapshot *from;
    Snapshot *to;
};

TEST_F(SnapshotEra, ListOfANewerEraReplacesAHigherRevision)
{
    Read(to, 1, {{"a", 10}, {"b", 90}});
    Read(from, 2, {{"a", 10}, {"c", 40}});
    Send(Snapshot_GetPosition(to));
    EXPECT_TRUE(AreEqual());
    EXPECT_EQ(Snapshot_GetPosition(to).revision, 40u);
}

TEST_F(SnapshotEra, ChangesAreSentWithinOneEraOnly)
{
    Read(from, 2, {{"a", 10}, {"b", 40}});
    Read(to, 1, {{"a", 10}, {"b", 39}});
    /* By revision alone, only "b" would be sent. */
    size_t all = Send({0, 0});
    EXPECT_EQ(Send({1, 39}), all);
    EXPECT_TRUE(AreEqual());
    Set(from, "b", {2, 41});
    Send(Snapshot_GetPosition(to));
    EXPECT_TRUE(AreEqual());
}

TEST_F(SnapshotEra, MessagesOfAnOlderEraChangeNothing)
{
    Read(from, 1, {{"a", 90}});
    Read(to, 2, {{"b", 40}});
    uint64_t digest = Snapshot_GetDigest(to);
    Send({0, 0});
    EXPECT_EQ(Snapshot_GetDigest(to), digest);
    Set(from, "c", {1, 95});
    Send({1, 90}); /* A delta of the older era. */
    EXPECT_EQ(Snapshot_GetDigest(to), digest);
    EXPECT_EQ(Snapshot_GetPosition(to).era, 2u);
}

/* A VM that is reading pages has some entries of the list only. Others would
   take the rest as removed. */
TEST_F(SnapshotEra, NothingIsSentWhileAListIsRead)
{
    Read(from, 1, {{"a", 10}, {"b", 20}});
    Snapshot_BeginSweep(from, 2);
    Set(from, "a", {2, 10});
    EXPECT_EQ(Send({0, 0}), 0u);
    EXPECT_EQ(Send({1, 10}), 0u);
    EXPECT_TRUE(Pos_IsEqual(Snapshot_GetPosition(from), {1, 20}));
    Set(from, "b", {2, 12});
    Snapshot_EndSweep(from);
    EXPECT_TRUE(Pos_IsEqual(Snapshot_GetPosition(from), {2, 12}));
    Send({0, 0});
    EXPECT_TRUE(AreEqual());
}

TEST_F(SnapshotEra, ConfigurationNeverGoesBack)
{
    Read(from, 2, {{"a", 10}});
    Read(to, 1, {{"a", 90}});
    Snapshot_SetConfig(from, "old", 3, 5);
    Snapshot_SetConfig(to, "new", 3, 6);
    Send(Snapshot_GetPosition(to));
    EXPECT_EQ(Snapshot_GetVersion(to), 6u);
    /* The newer one reaches the VM that is ahead in everything else. */
    std::swap(from, to);
    Send(Snapshot_GetPosition(to));
    EXPECT_EQ(Snapshot_GetVersion(to), 6u);
    EXPECT_EQ(Snapshot_GetPosition(to).era, 2u);
}

} // namespace
