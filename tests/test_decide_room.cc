/* Tests where new streams are held back for begun ones. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/room.h"
}

#include <vector>

namespace {

const int64_t second_us = 1000000;

/* A version's state from a time on. */
struct Change {
    int64_t at_ms;
    uint32_t version;
    uint32_t workers;
    double waiting_streams;
};

struct RoomCase {
    const char *name;
    std::vector<Change> changes; /* In the order of their times. */
    int64_t at_ms;
    /* Share of the workers of versions 1 to 3 at which new streams are held
       back, in percent. */
    int held[3];
};

const RoomCase room_cases[] = {
    {"calm day", {{0, 1, 96, 0}}, 1000, {0, 0, 0}},
    {"one stream of a large version waits",
     {{0, 1, 96, 0}, {1000, 1, 96, 1}},
     1000,
     {8, 0, 0}},
    {"a third of its workers for as many streams",
     {{0, 1, 96, 0}, {1000, 1, 96, 32}},
     1000,
     {33, 0, 0}},
    {"all VMs restarted: all workers until the waits end",
     {{0, 1, 96, 0}, {1000, 1, 96, 400}},
     5900,
     {100, 0, 0}},
    {"streams that wait in vain leave half to new ones",
     {{0, 1, 96, 0}, {1000, 1, 96, 400}},
     6100,
     {50, 0, 0}},
    {"a short pause between waits does not begin anew",
     {{0, 1, 96, 0}, {1000, 1, 96, 400}, {5500, 1, 96, 0}, {6500, 1, 96, 400}},
     6600,
     {50, 0, 0}},
    {"a later loss of VMs does",
     {{0, 1, 96, 0}, {1000, 1, 96, 400}, {5500, 1, 96, 0}, {8500, 1, 96, 400}},
     8600,
     {100, 0, 0}},
    {"no begun stream waits any more: given back at once",
     {{0, 1, 96, 0}, {1000, 1, 96, 400}, {2000, 1, 96, 0}},
     2000,
     {0, 0, 0}},
    {"crash of 30% of the workers: no version leaves",
     {{0, 1, 4, 0}, {0, 2, 4, 0}, {5000, 1, 2, 0}, {5000, 2, 3, 0}},
     5100,
     {0, 0, 0}},
    {"crash of 30% of the workers, broken streams wait",
     {{0, 1, 96, 0}, {5000, 1, 67, 130}},
     5100,
     {100, 0, 0}},
    {"rolling release, the old version has many workers",
     {{0, 1, 10, 0}, {3000, 1, 7, 0}, {3000, 2, 3, 0}},
     3100,
     {0, 0, 0}},
    {"rolling release, its last two workers",
     {{0, 1, 10, 0}, {3000, 1, 2, 0}, {3000, 2, 8, 0}},
     3100,
     {100, 0, 0}},
    {"release that stopped long ago",
     {{0, 1, 10, 0}, {3000, 1, 2, 0}, {3000, 2, 8, 0}},
     24000,
     {0, 0, 0}},
    {"few workers: the newer version can't stay for all",
     {{0, 1, 4, 0}, {3000, 1, 2, 0}, {3000, 2, 2, 0}},
     3100,
     {0, 0, 0}},
    {"canary of one worker takes new streams",
     {{0, 1, 10, 0}, {3000, 1, 9, 0}, {3000, 2, 1, 0}},
     3100,
     {0, 0, 0}},
    {"a stream of the canary waits",
     {{0, 1, 10, 0}, {3000, 1, 9, 0}, {3000, 2, 1, 1}},
     3100,
     {0, 100, 0}},
    {"rollback halfway: the newer version leaves",
     {{0, 1, 10, 0},
      {3000, 1, 5, 0},
      {3000, 2, 5, 0},
      {6000, 1, 8, 0},
      {6000, 2, 2, 0}},
     6100,
     {0, 100, 0}},
    {"three versions at once",
     {{0, 1, 10, 0},
      {3000, 1, 2, 0},
      {3000, 2, 8, 0},
      {6000, 2, 6, 40},
      {6000, 3, 3, 0}},
     6100,
     {100, 100, 0}},
    {"its workers are missing for a moment: the limit goes on",
     {{0, 1, 3, 0}, {1000, 1, 3, 9}, {5500, 1, 0, 9}, {5600, 1, 3, 9}},
     6200,
     {50, 0, 0}},
    {"the version has no worker",
     {{0, 1, 0, 40}, {0, 2, 5, 0}},
     100,
     {0, 0, 0}},
};

/* Plays the changes in steps, and returns the share of held workers of each
   version in percent. */
std::vector<int>
Play(const RoomCase &row)
{
    Room room = {};
    RoomInput input = {};
    size_t next = 0;
    for (int64_t now_ms = 0; now_ms <= row.at_ms; now_ms += 20) {
        for (; next < row.changes.size() && row.changes[next].at_ms <= now_ms;
             next++) {
            const Change &change = row.changes[next];
            uint32_t at = 0;
            while (at < input.count &&
                   input.versions[at].version != change.version) {
                at++;
            }
            input.count = at == input.count ? at + 1 : input.count;
            input.versions[at] = {change.version, change.workers,
                                  change.waiting_streams};
        }
        /* As the gate does, versions without a worker are left out. */
        RoomInput listed = {};
        listed.now_us = second_us + now_ms * 1000;
        for (uint32_t i = 0; i < input.count; i++) {
            if (input.versions[i].workers > 0) {
                listed.versions[listed.count++] = input.versions[i];
            }
        }
        Room_Update(&room, &listed);
    }
    std::vector<int> held;
    for (uint32_t version = 1; version <= 3; version++) {
        int count = 0;
        for (uint64_t i = 0; i < 100; i++) {
            uint64_t hash = (i << 32) / 100 << 32;
            count += Room_IsHeld(&room, version, hash);
        }
        held.push_back(count);
    }
    return held;
}

TEST(Room, HeldBackCases)
{
    for (const RoomCase &row : room_cases) {
        SCOPED_TRACE(row.name);
        std::vector<int> held = Play(row);
        for (int i = 0; i < 3; i++) {
            EXPECT_NEAR(held[(size_t)i], row.held[i], 1)
                << "version " << i + 1;
        }
    }
}

/* Streams that always wait leave each worker to new ones for nearly half of
   the time, also where the version has one worker only. */
TEST(Room, NewStreamsAreNotStarved)
{
    for (uint32_t workers : {1u, 2u, 96u}) {
        SCOPED_TRACE(workers);
        Room room = {};
        RoomInput input = {};
        int held[100] = {};
        int steps = 0;
        input.count = 1;
        input.versions[0] = {1, workers, 400};
        for (int64_t now_ms = 0; now_ms <= 60000; now_ms += 20) {
            int count = 0;
            input.now_us = second_us + now_ms * 1000;
            Room_Update(&room, &input);
            steps++;
            for (uint64_t i = 0; i < 100; i++) {
                bool is_held = Room_IsHeld(&room, 1, (i << 32) / 100 << 32);
                held[i] += is_held;
                count += is_held;
            }
            EXPECT_NEAR(count, now_ms < 5000 ? 100 : 50, 1);
        }
        for (int times : held) {
            EXPECT_LE(times, steps * 6 / 10);
        }
    }
}

TEST(Room, MoreVersionsThanRows)
{
    Room room = {};
    RoomInput input = {};
    input.count = ROOM_VERSIONS_MAX;
    input.now_us = second_us;
    for (uint32_t step = 0; step < 100; step++) {
        for (uint32_t i = 0; i < ROOM_VERSIONS_MAX; i++) {
            input.versions[i] = {step + i + 1, 5, 1};
        }
        Room_Update(&room, &input);
        for (uint32_t i = 0; i < ROOM_VERSIONS_MAX; i++) {
            EXPECT_TRUE(Room_IsHeld(&room, step + i + 1, UINT64_MAX));
        }
        EXPECT_FALSE(Room_IsHeld(&room, 0, 0));
        EXPECT_FALSE(Room_IsHeld(&room, step, 0));
    }
}

} // namespace
