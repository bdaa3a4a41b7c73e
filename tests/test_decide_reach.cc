/* Tests of the decision whether a VM is cut off from a service. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/reach.h"
}

#include <vector>

namespace {

struct ReachCase {
    const char *name;
    std::vector<ReachWorker> workers; /* heard_us, unanswered_us. */
    bool is_cut;
};

const ReachCase reach_cases[] = {
    {"no workers", {}, false},
    {"nothing is known", {{0, 0}, {0, 0}}, false},
    {"all answer", {{100, 0}, {110, 0}}, false},
    {"one is silent", {{100, 120}, {90, 0}, {80, 0}}, false},
    {"one is silent, the others are not called", {{0, 120}, {0, 0}}, false},
    {"two are silent, a third answered later",
     {{50, 120}, {60, 130}, {140, 0}},
     false},
    {"two are silent, one of them answered later",
     {{50, 120}, {140, 130}},
     false},
    {"two are silent, one call began before the last answer",
     {{50, 90}, {60, 130}, {100, 0}},
     false},
    {"two are silent since the last answer",
     {{50, 120}, {60, 130}, {100, 0}},
     true},
    {"all are silent", {{100, 120}, {100, 130}, {100, 140}}, true},
    {"the order of the workers does not matter",
     {{100, 140}, {0, 120}, {100, 130}},
     true},
    {"cut off since the start", {{0, 10}, {0, 20}}, true},
    {"a probe reaches one", {{150, 120}, {100, 130}}, false},
    {"the only worker is silent", {{100, 120}}, false},
};

TEST(Reach, DecidesBySeveralWorkers)
{
    for (const ReachCase &row : reach_cases) {
        SCOPED_TRACE(row.name);
        Reach reach = {};
        for (const ReachWorker &worker : row.workers) {
            Reach_AddWorker(&reach, &worker);
        }
        EXPECT_EQ(Reach_IsCut(&reach), row.is_cut);
    }
}

} // namespace
