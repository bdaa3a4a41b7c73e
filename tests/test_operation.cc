// Tests that non-idempotent operations run at most once under faults of the
// service, the VMs and the links.
#include "c_api.h"

#include <gtest/gtest.h>
#include <string>

namespace {

const int64_t kSecond = CLK_US_PER_S;
const int64_t kMs = CLK_US_PER_MS;

enum Outcome { kRan, kNotRun, kUnknown };

// One operation. Its key is issued at vm-0. The operation is called at vm-1
// during the fault, and again with the same key at vm-2 after the fault.
struct Case {
    const char *name;
    void (*before)(Rig *rig); // Runs between the issue and the first call.
    int64_t after_ms;         // Time from the first call to `then`.
    void (*then)(Rig *rig);
    Outcome first;  // Outcome of the first call.
    Outcome second; // Outcome of the second call.
    guint runs;     // Runs that the booking service counts in the end.
};

const Case kCases[] = {
    {"no fault", [](Rig *) {}, 100, [](Rig *) {}, kRan, kRan, 1},
    {"the answer is lost",
     [](Rig *rig) { Rig_SetBookingFault(rig, RIG_FAULT_LOSE); }, 100,
     [](Rig *rig) { Rig_SetBookingFault(rig, RIG_FAULT_NONE); }, kUnknown,
     kUnknown, 1},
    {"the answer is too long to be passed on",
     [](Rig *rig) { Rig_SetBookingFault(rig, RIG_FAULT_LONG); }, 100,
     [](Rig *rig) { Rig_SetBookingFault(rig, RIG_FAULT_NONE); }, kUnknown,
     kUnknown, 1},
    {"the service does not answer",
     [](Rig *rig) { Rig_SetBookingFault(rig, RIG_FAULT_SILENT); }, 25000,
     [](Rig *rig) { Rig_SetBookingFault(rig, RIG_FAULT_NONE); }, kUnknown,
     kUnknown, 1},
    {"the service is down, then up again",
     [](Rig *rig) { Rig_SetBookingFault(rig, RIG_FAULT_DOWN); }, 100,
     [](Rig *rig) { Rig_SetBookingFault(rig, RIG_FAULT_NONE); }, kNotRun, kRan,
     1},
    {"the issuer is killed before the call",
     [](Rig *rig) { Rig_KillVm(rig, 0); }, 100, [](Rig *) {}, kUnknown,
     kUnknown, 0},
    {"the issuer is killed before the send", [](Rig *) {}, 5,
     [](Rig *rig) { Rig_KillVm(rig, 0); }, kUnknown, kUnknown, 0},
    {"the issuer is killed after the send", [](Rig *) {}, 25,
     [](Rig *rig) { Rig_KillVm(rig, 0); }, kUnknown, kUnknown, 1},
    {"the issuer is restarted without its table of keys",
     [](Rig *rig) {
         Rig_KillVm(rig, 0);
         Rig_Run(rig, kSecond);
         Rig_StartVm(rig, 0);
         Rig_Run(rig, kSecond);
     },
     100, [](Rig *) {}, kUnknown, kUnknown, 0},
    {"the issuer is restarted while the call runs", [](Rig *) {}, 25,
     [](Rig *rig) {
         Rig_KillVm(rig, 0);
         Rig_StartVm(rig, 0);
         Rig_Run(rig, kSecond);
     },
     kUnknown, kUnknown, 1},
    {"the issuer is isolated", [](Rig *rig) { Rig_IsolateVm(rig, 0, true); },
     5000,
     [](Rig *rig) {
         Rig_IsolateVm(rig, 0, false);
         Rig_Run(rig, 30 * kSecond);
     },
     kUnknown, kRan, 1},
    {"the issuer is paused, resumes and sends",
     [](Rig *rig) { Rig_PauseVm(rig, 0); }, 5000,
     [](Rig *rig) {
         Rig_ResumeVm(rig, 0);
         Rig_Run(rig, 5 * kSecond);
     },
     kUnknown, kRan, 1},
};

Outcome
GetOutcome(const RigCaller *caller)
{
    EXPECT_EQ(caller->final_answers, 1);
    if (caller->type == BOARD_ANSWER_BODY) {
        return kRan;
    }
    return caller->err.run == LS_RUN_NOT_RUN ? kNotRun : kUnknown;
}

TEST(Operation, RunsAtMostOnceUnderEachFault)
{
    for (const Case &row : kCases) {
        RigOptions options = Rig_DefaultOptions();
        options.latency_us = 10 * kMs;
        Rig *rig = Rig_New(&options);
        char *key = Rig_IssueKey(rig, 0);
        row.before(rig);
        RigCaller *first = Rig_SendOperation(rig, 1, key, "{\"lens\":1}");
        Rig_Run(rig, row.after_ms * kMs);
        row.then(rig);
        Rig_Run(rig, 30 * kSecond);
        RigCaller *second = Rig_SendOperation(rig, 2, key, "{\"lens\":1}");
        Rig_Run(rig, 30 * kSecond);
        EXPECT_EQ(GetOutcome(first), row.first) << row.name;
        EXPECT_EQ(GetOutcome(second), row.second) << row.name;
        EXPECT_EQ(Rig_CountRuns(rig, key), row.runs) << row.name;
        EXPECT_STREQ(Rig_FindViolation(rig, true), nullptr) << row.name;
        g_free(key);
        Rig_Free(rig);
    }
}

// A call of this VM, and one that waits for another VM, get an answer when the
// shutdown can't wait for them; neither runs again.
TEST(Operation, ShutdownAnswersWhatItEnds)
{
    for (int issuer : {0, 1}) {
        SCOPED_TRACE(issuer);
        RigOptions options = Rig_DefaultOptions();
        Rig *rig = Rig_New(&options);
        char *key = Rig_IssueKey(rig, issuer);
        Rig_SetBookingFault(rig, RIG_FAULT_SILENT);
        RigCaller *caller = Rig_SendOperation(rig, 1, key, "{\"lens\":1}");
        Rig_Run(rig, 200 * kMs);
        Rig_StopVm(rig, 1);
        EXPECT_EQ(caller->final_answers, 0);
        Ctl_EndAll(Rig_GetBoard(rig, 1));
        EXPECT_EQ(GetOutcome(caller), kUnknown);
        EXPECT_EQ(caller->err.code, LS_ERR_OPERATION_UNKNOWN);
        EXPECT_TRUE(Ctl_IsIdle(Rig_GetBoard(rig, 1)));
        Rig_Run(rig, 60 * kSecond);
        EXPECT_EQ(caller->final_answers, 1);
        EXPECT_LE(Rig_CountRuns(rig, key), 1U);
        EXPECT_STREQ(Rig_FindViolation(rig, true), nullptr);
        g_free(key);
        Rig_Free(rig);
    }
}

TEST(Operation, ConcurrentCallsWithOneKeyRunOnce)
{
    RigOptions options = Rig_DefaultOptions();
    Rig *rig = Rig_New(&options);
    char *key = Rig_IssueKey(rig, 0);
    RigCaller *callers[6];
    for (int i = 0; i < 6; i++) {
        callers[i] = Rig_SendOperation(rig, i % 3, key, "{}");
    }
    Rig_Run(rig, kSecond);
    for (const RigCaller *caller : callers) {
        EXPECT_EQ(GetOutcome(caller), kRan);
    }
    EXPECT_EQ(Rig_CountRuns(rig, key), 1u);
    g_free(key);
    Rig_Free(rig);
}

TEST(Operation, ReusedAndForgedKeysDoNotRun)
{
    RigOptions options = Rig_DefaultOptions();
    Rig *rig = Rig_New(&options);
    char *key = Rig_IssueKey(rig, 0);
    Rig_SendOperation(rig, 1, key, "{\"lens\":1}");
    Rig_Run(rig, kSecond);
    RigCaller *different_body = Rig_SendOperation(rig, 1, key, "{\"lens\":2}");
    RigCaller *unissued = Rig_SendOperation(rig, 1, "my-own-key", "{}");
    RigCaller *forged =
        Rig_SendOperation(rig, 1, "op.vm-0.3b9aca00.0000000000000000", "{}");
    Rig_Run(rig, kSecond);
    EXPECT_EQ(different_body->err.code, LS_ERR_OPERATION_MISMATCH);
    EXPECT_EQ(unissued->err.code, LS_ERR_OPERATION_KEY_BAD);
    EXPECT_EQ(unissued->err.run, LS_RUN_NOT_RUN);
    EXPECT_EQ(forged->err.run, LS_RUN_UNKNOWN);
    EXPECT_EQ(Rig_CountRuns(rig, key), 1u);
    g_free(key);
    Rig_Free(rig);
}

// An operation continues after its caller disconnected, and a later call with
// the key gets its answer.
TEST(Operation, AnswerIsKeptForDisconnectedCaller)
{
    RigOptions options = Rig_DefaultOptions();
    Rig *rig = Rig_New(&options);
    char *key = Rig_IssueKey(rig, 0);
    RigCaller *first = Rig_SendOperation(rig, 1, key, "{}");
    Rig_DisconnectCaller(rig, first);
    Rig_Run(rig, kSecond);
    RigCaller *second = Rig_SendOperation(rig, 2, key, "{}");
    Rig_Run(rig, kSecond);
    EXPECT_EQ(first->final_answers, 0);
    EXPECT_EQ(GetOutcome(second), kRan);
    EXPECT_EQ(Rig_CountRuns(rig, key), 1u);
    g_free(key);
    Rig_Free(rig);
}

} // namespace
