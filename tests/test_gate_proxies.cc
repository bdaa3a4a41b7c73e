/* Tests of what a VM knows of the others that reach the workers. */
#include <gtest/gtest.h>

extern "C" {
#include "gate/proxies.h"
}

#include <set>

namespace {

const int64_t ms = CLK_US_PER_MS;
const int64_t now = 100 * CLK_US_PER_S;

Proxy
Row(uint64_t service, uint64_t address, uint32_t region, int64_t told_us,
    uint64_t worker = 7)
{
    return {service, address, region, worker, told_us - 5 * ms, told_us, 0};
}

struct ListCase {
    const char *name;
    std::vector<Proxy> told; /* In this order. */
    uint32_t max;
    std::vector<uint64_t> listed; /* Addresses, for service 1, region 1. */
};

const ListCase list_cases[] = {
    {"nothing", {}, 9, {}},
    {"one", {Row(1, 10, 1, now)}, 9, {10}},
    {"of another service", {Row(2, 10, 1, now)}, 9, {}},
    {"its word is old", {Row(1, 10, 1, now - PROXIES_MAX_AGE_US)}, 9, {}},
    {"its word is almost old",
     {Row(1, 10, 1, now - PROXIES_MAX_AGE_US + 1)},
     9,
     {10}},
    {"those of the region come first",
     {Row(1, 20, 2, now), Row(1, 10, 1, now), Row(1, 21, 2, now)},
     2,
     {10, 20}},
    {"it hears no worker any more",
     {Row(1, 10, 1, now - 9), Row(1, 10, 1, now, 0)},
     9,
     {}},
    {"an older word comes late",
     {Row(1, 10, 1, now, 0), Row(1, 10, 1, now), Row(1, 10, 1, now - 9, 0)},
     9,
     {10}},
};

TEST(Proxies, ListThoseThatReachTheWorkers)
{
    for (const ListCase &row : list_cases) {
        SCOPED_TRACE(row.name);
        static Proxies proxies;
        Proxy listed[9];
        proxies = {};
        for (const Proxy &told : row.told) {
            Proxies_Note(&proxies, &told);
        }
        uint32_t count = Proxies_List(&proxies, 1, 1, 0, now, listed, row.max);
        ASSERT_EQ(count, row.listed.size());
        for (uint32_t i = 0; i < count; i++) {
            EXPECT_EQ(listed[i].address, row.listed[i]);
        }
    }
}

/* A few in each message, and all of them in some messages. */
TEST(Proxies, TurnsReachAll)
{
    for (uint32_t vms : {1U, 7U, 20U, 64U, 100U, 256U}) {
        for (uint32_t max : {4U, 10U, 20U}) {
            SCOPED_TRACE(std::to_string(vms) + " by " + std::to_string(max));
            static Proxies proxies;
            std::set<uint64_t> listed;
            uint32_t turn = 0;
            proxies = {};
            for (uint32_t i = 0; i < vms; i++) {
                Proxy told = Row(1, 10 + i, 1, now);
                Proxies_Note(&proxies, &told);
            }
            for (uint32_t i = 0; i <= vms / max; i++) {
                Proxy rows[20];
                uint32_t count =
                    Proxies_List(&proxies, 1, 1, turn, now, rows, max);
                EXPECT_EQ(count, std::min(vms, max));
                for (uint32_t k = 0; k < count; k++) {
                    listed.insert(rows[k].address);
                }
                turn += max;
            }
            EXPECT_EQ(listed.size(), vms);
        }
    }
}

/* What was told first makes room. */
TEST(Proxies, KeepTheNewest)
{
    static Proxies proxies;
    static Proxy rows[PROXIES_MAX];
    for (uint32_t i = 0; i < PROXIES_MAX + 50; i++) {
        Proxy told = Row(1, 10 + i, 1, now + i);
        Proxies_Note(&proxies, &told);
    }
    EXPECT_EQ(proxies.count, (uint32_t)PROXIES_MAX);
    uint32_t count =
        Proxies_List(&proxies, 1, 1, 0, now + 999, rows, PROXIES_MAX);
    ASSERT_EQ(count, (uint32_t)PROXIES_MAX);
    for (uint32_t i = 0; i < count; i++) {
        EXPECT_GE(rows[i].address, 60U);
    }
}

} // namespace
