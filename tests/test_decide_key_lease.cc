/* Tests of the lease of keys: when a proof counts, and for how long. */
#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "decide/key_lease.h"
}

#include <vector>

namespace {

struct Step {
    enum { PROOF, ERA } kind;
    uint64_t era;
    int64_t at_ms; /* Of a proof. */
};

struct LeaseCase {
    const char *name;
    std::vector<Step> steps;
    int64_t now_ms;
    bool is_valid;
    bool is_old;
    int64_t watch_ms;
};

const LeaseCase lease_cases[] = {
    {"no proof, as after a start", {}, 0, false, true, 200},
    {"a proof", {{Step::PROOF, 1, 1000}}, 1500, true, false, 800},
    {"half of the bound", {{Step::PROOF, 1, 1000}}, 3501, true, true, 200},
    {"before the margin", {{Step::PROOF, 1, 1000}}, 5499, true, true, 200},
    {"the margin", {{Step::PROOF, 1, 1000}}, 5500, false, true, 200},
    {"an earlier proof comes later",
     {{Step::PROOF, 1, 4000}, {Step::PROOF, 1, 1000}},
     8000,
     true,
     true,
     200},
    {"a newer era",
     {{Step::PROOF, 1, 1000}, {Step::ERA, 2, 0}},
     1001,
     false,
     true,
     200},
    {"a proof of the older era",
     {{Step::ERA, 2, 0}, {Step::PROOF, 1, 1000}},
     1001,
     false,
     true,
     200},
    {"a proof of a newer era, of an earlier time",
     {{Step::PROOF, 1, 1000}, {Step::PROOF, 2, 900}},
     1001,
     true,
     false,
     800},
    {"word of an older era",
     {{Step::PROOF, 2, 1000}, {Step::ERA, 1, 0}},
     1001,
     true,
     false,
     800},
    {"no era at all", {{Step::PROOF, 0, 1000}}, 1001, true, false, 800},
};

TEST(KeyLease, CountsFromTheLastProofOfTheNewestEra)
{
    for (const LeaseCase &row : lease_cases) {
        SCOPED_TRACE(row.name);
        KeyLease lease;
        int64_t now_us = row.now_ms * CLK_US_PER_MS;
        KeyLease_Init(&lease, 5000 * CLK_US_PER_MS);
        for (const Step &step : row.steps) {
            if (step.kind == Step::ERA) {
                KeyLease_NoteEra(&lease, step.era);
            }
            else {
                KeyLease_AddProof(&lease, step.era,
                                  step.at_ms * CLK_US_PER_MS);
            }
        }
        EXPECT_EQ(KeyLease_IsValid(&lease, now_us), row.is_valid);
        EXPECT_EQ(KeyLease_IsOld(&lease, now_us), row.is_old);
        EXPECT_EQ(KeyLease_GetWatchTime(&lease, now_us) / CLK_US_PER_MS,
                  row.watch_ms);
    }
}

TEST(KeyLease, IsNotNeededWithoutABound)
{
    KeyLease lease;
    KeyLease_Init(&lease, 0);
    EXPECT_TRUE(KeyLease_IsValid(&lease, CLK_US_PER_S));
    EXPECT_FALSE(KeyLease_IsOld(&lease, CLK_US_PER_S));
}

} // namespace
