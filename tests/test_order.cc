// Tests of engine orders: the newest target is loaded and an older one is
// never loaded after it, with engines that check fencing numbers and with
// engines that ignore them.
#include "c_api.h"

#include <gtest/gtest.h>
#include <string>

namespace {

const int64_t kSecond = CLK_US_PER_S;
const unsigned kAllVms = 7; // Bit mask of the VMs that get a configuration.

struct Case {
    const char *name;
    void (*fault)(Rig *rig, int home);
    const char *checked;   // Loads of engine 0 if it checks fencing numbers.
    const char *unchecked; // Loads of engine 0 if it ignores them.
};

const Case kCases[] = {
    {"no fault",
     [](Rig *rig, int) {
         Rig_SetLoad(rig, "v2", kAllVms);
         Rig_Run(rig, 30 * kSecond);
     },
     "v1 v2 ", "v1 v2 "},
    {"the old home is isolated with the old configuration",
     [](Rig *rig, int home) {
         Rig_IsolateVm(rig, home, true);
         Rig_SetLoad(rig, "v2", kAllVms & ~(1U << home));
         Rig_Run(rig, 60 * kSecond);
         Rig_IsolateVm(rig, home, false);
         Rig_Run(rig, 30 * kSecond);
     },
     "v1 v2 ", "v1 v2 "},
    {"the old home is paused and resumes with the old configuration",
     [](Rig *rig, int home) {
         Rig_PauseVm(rig, home);
         Rig_SetLoad(rig, "v2", kAllVms & ~(1U << home));
         Rig_Run(rig, 60 * kSecond);
         Rig_ResumeVm(rig, home);
         Rig_Run(rig, 30 * kSecond);
     },
     "v1 v2 ", "v1 v2 "},
    {"the home is killed between two targets",
     [](Rig *rig, int home) {
         Rig_KillVm(rig, home);
         Rig_SetLoad(rig, "v2", kAllVms);
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

TEST(Order, NewestTargetIsLoadedAndNoOlderOneAfterIt)
{
    for (bool checks : {true, false}) {
        for (const Case &row : kCases) {
            RigOptions options = Rig_DefaultOptions();
            Rig *rig = Rig_New(&options);
            Rig_SetFencingCheck(rig, checks);
            Rig_SetLoad(rig, "v1", kAllVms);
            Rig_Run(rig, 30 * kSecond);
            ASSERT_STREQ(Rig_GetLoadHistory(rig, 0), "v1 ") << row.name;
            row.fault(rig, Rig_FindHome(rig, 0));
            EXPECT_STREQ(Rig_GetLoadHistory(rig, 0),
                         checks ? row.checked : row.unchecked)
                << row.name << (checks ? ", checked" : ", unchecked");
            Rig_Free(rig);
        }
    }
}

} // namespace
