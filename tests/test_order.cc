// Orders to engines: the newest target wins and an older one never returns,
// for engines that check fencing numbers and engines that ignore them.
#include "c_api.h"

#include <gtest/gtest.h>
#include <string>

namespace {

const int64_t kSecond = CLK_US_PER_S;
const unsigned kAll = 7;

struct Case {
    const char *name;
    void (*fault)(Rig *rig, int home);
    const char *checked;   // Loads of engine 0 that checks numbers.
    const char *unchecked; // Of one that ignores them.
};

const Case kCases[] = {
    {"no fault",
     [](Rig *rig, int) {
         Rig_SetLoad(rig, "v2", kAll);
         Rig_Run(rig, 30 * kSecond);
     },
     "v1 v2 ", "v1 v2 "},
    {"the old home is cut off with the old configuration",
     [](Rig *rig, int home) {
         Rig_IsolateVm(rig, home, true);
         Rig_SetLoad(rig, "v2", kAll & ~(1U << home));
         Rig_Run(rig, 60 * kSecond);
         Rig_IsolateVm(rig, home, false);
         Rig_Run(rig, 30 * kSecond);
     },
     "v1 v2 ", "v1 v2 "},
    {"the old home pauses and wakes with the old configuration",
     [](Rig *rig, int home) {
         Rig_PauseVm(rig, home);
         Rig_SetLoad(rig, "v2", kAll & ~(1U << home));
         Rig_Run(rig, 60 * kSecond);
         Rig_ResumeVm(rig, home);
         Rig_Run(rig, 30 * kSecond);
     },
     "v1 v2 ", "v1 v2 "},
    {"the home is killed between two targets",
     [](Rig *rig, int home) {
         Rig_KillVm(rig, home);
         Rig_SetLoad(rig, "v2", kAll);
         Rig_Run(rig, 60 * kSecond);
     },
     "v1 v2 ", "v1 v2 "},
    {"the engine restarts with nothing loaded",
     [](Rig *rig, int) {
         Rig_RestartEngine(rig, 0);
         Rig_Run(rig, 30 * kSecond);
     },
     "v1 v1 ", "v1 v1 "},
};

TEST(Order, NewestTargetWinsAndNoneReturns)
{
    for (bool checks : {true, false}) {
        for (const Case &row : kCases) {
            RigOptions options = Rig_DefaultOptions();
            Rig *rig = Rig_New(&options);
            Rig_SetFencingCheck(rig, checks);
            Rig_SetLoad(rig, "v1", kAll);
            Rig_Run(rig, 30 * kSecond);
            ASSERT_STREQ(Rig_GetLoads(rig, 0), "v1 ") << row.name;
            row.fault(rig, Rig_FindHome(rig, 0));
            EXPECT_STREQ(Rig_GetLoads(rig, 0),
                         checks ? row.checked : row.unchecked)
                << row.name << (checks ? ", checked" : ", unchecked");
            Rig_Free(rig);
        }
    }
}

} // namespace
