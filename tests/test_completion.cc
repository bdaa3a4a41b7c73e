// Tests of completions under a simulated clock, from arrival to the last
// chunk, and with faults of engines, homes, links and callers.
#include "c_api.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace {

const int64_t kSecond = CLK_US_PER_S;
const int64_t kMs = CLK_US_PER_MS;

std::string
Prompt(int number, int bytes = 8000)
{
    std::string text = "log " + std::to_string(number) + ": ";
    while (static_cast<int>(text.size()) < bytes) {
        text += "front element, two coating marks; ";
    }
    return text;
}

struct Fault {
    const char *name;
    void (*apply)(Rig *rig, RigCaller *caller, int entry, int home);
};

// Faults that may begin at any time during a request. Each leaves the entry
// alive, so the caller must get its complete answer.
const Fault kFaults[] = {
    {"none", [](Rig *, RigCaller *, int, int) {}},
    {"home killed",
     [](Rig *rig, RigCaller *, int, int home) { Rig_KillVm(rig, home); }},
    {"home paused",
     [](Rig *rig, RigCaller *, int, int home) { Rig_PauseVm(rig, home); }},
    {"home isolated", [](Rig *rig, RigCaller *, int,
                         int home) { Rig_IsolateVm(rig, home, true); }},
    {"home stops gracefully",
     [](Rig *rig, RigCaller *, int, int home) { Rig_StopVm(rig, home); }},
    {"one prefill engine down",
     [](Rig *rig, RigCaller *, int, int) {
         Rig_SetEngineFault(rig, 0, RIG_FAULT_DOWN);
     }},
    {"one prefill engine silent",
     [](Rig *rig, RigCaller *, int, int) {
         Rig_SetEngineFault(rig, 0, RIG_FAULT_SILENT);
     }},
    {"one decode engine down",
     [](Rig *rig, RigCaller *, int, int) {
         Rig_SetEngineFault(rig, 2, RIG_FAULT_DOWN);
     }},
    {"one decode engine silent",
     [](Rig *rig, RigCaller *, int, int) {
         Rig_SetEngineFault(rig, 2, RIG_FAULT_SILENT);
     }},
    {"decode engines cut streams",
     [](Rig *rig, RigCaller *, int, int) {
         for (int i = 2; i < 5; i++) {
             Rig_SetEngineFault(rig, i, RIG_FAULT_CUT);
         }
     }},
    {"a prefill result lost",
     [](Rig *rig, RigCaller *, int, int) {
         for (int i = 2; i < 5; i++) {
             Rig_SetEngineFault(rig, i, RIG_FAULT_FORGET);
         }
     }},
    {"decode engines repeat tokens",
     [](Rig *rig, RigCaller *, int, int) {
         for (int i = 2; i < 5; i++) {
             Rig_SetEngineFault(rig, i, RIG_FAULT_REPEAT);
         }
     }},
    {"a decode engine leaves a token out",
     [](Rig *rig, RigCaller *, int, int) {
         Rig_SetEngineFault(rig, 2, RIG_FAULT_SKIP);
     }},
    {"an engine refuses",
     [](Rig *rig, RigCaller *, int, int) {
         Rig_SetEngineFault(rig, 2, RIG_FAULT_REFUSE);
     }},
    {"an engine reports that it is leaving",
     [](Rig *rig, RigCaller *, int, int) {
         Rig_SetEngineFault(rig, 2, RIG_FAULT_LEAVING);
     }},
};

class CompletionTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        RigOptions options = Rig_DefaultOptions();
        rig_ = Rig_New(&options);
        home_ = Rig_FindHome(rig_, 0);
        entry_ = (home_ + 1) % 3;
    }
    void
    TearDown() override
    {
        Rig_Free(rig_);
    }

    Rig *rig_;
    int home_;
    int entry_;
};

TEST_F(CompletionTest, GoesFromArrivalToLastChunk)
{
    RigCaller *caller =
        Rig_SendCompletion(rig_, entry_, Prompt(1).c_str(), 10);
    Rig_Run(rig_, 2 * kSecond);
    EXPECT_EQ(caller->final_answers, 1);
    EXPECT_EQ(caller->type, BOARD_ANSWER_END);
    EXPECT_STREQ(Rig_FindViolation(rig_, true), nullptr);
    EXPECT_EQ(Plc_CountJobs(Rig_GetBoard(rig_, home_)->plc), 0u);
}

// The caller gets a complete answer under each fault, whichever stage of the
// request it begins in.
TEST(CompletionFaults, AnswerIsWhole)
{
    for (const Fault &fault : kFaults) {
        for (int64_t at :
             {0 * kMs, 1 * kMs, 50 * kMs, 104 * kMs, 150 * kMs, 250 * kMs}) {
            RigOptions options = Rig_DefaultOptions();
            Rig *rig = Rig_New(&options);
            int home = Rig_FindHome(rig, 0);
            int entry = (home + 1) % 3;
            RigCaller *caller =
                Rig_SendCompletion(rig, entry, Prompt(1).c_str(), 10);
            Rig_Run(rig, at);
            fault.apply(rig, caller, entry, home);
            Rig_Run(rig, 30 * kSecond);
            EXPECT_EQ(caller->type, BOARD_ANSWER_END)
                << fault.name << " at " << at << ": " << caller->err.message;
            EXPECT_EQ(caller->final_answers, 1) << fault.name << " at " << at;
            EXPECT_STREQ(Rig_FindViolation(rig, false), nullptr)
                << fault.name << " at " << at;
            Rig_Free(rig);
        }
    }
}

// The loss of a home wastes no prefill, because the entry itself runs prefill
// and decode.
TEST_F(CompletionTest, HomeLossWastesNoPrefill)
{
    Rig_SendCompletion(rig_, entry_, Prompt(1).c_str(), 10);
    Rig_Run(rig_, 50 * kMs);
    uint64_t before = Rig_GetPrefilledTokens(rig_);
    Rig_KillVm(rig_, home_);
    Rig_Run(rig_, 10 * kSecond);
    EXPECT_EQ(Rig_GetPrefilledTokens(rig_), before);
    EXPECT_STREQ(Rig_FindViolation(rig_, true), nullptr);
}

// The next home collects the grants in use before it grants, so that it
// overfills no engine and no prefill is wasted on refusals.
TEST(HomeKilled, NextHomeOverfillsNoEngine)
{
    RigOptions options = Rig_DefaultOptions();
    options.vm_count = 5;
    options.prefill_count = 4;
    options.decode_count = 2;
    options.slots = 10;
    options.token_interval_us = 30000;
    Rig *rig = Rig_New(&options);
    int home = Rig_FindHome(rig, 0);
    std::vector<RigCaller *> callers;
    uint64_t requested_tokens = 0;
    for (int i = 0; i < 200; i++) {
        int entry = (home + 1 + i % 4) % 5;
        if (i == 60) {
            Rig_KillVm(rig, home);
        }
        callers.push_back(
            Rig_SendCompletion(rig, entry, Prompt(i, 2000).c_str(), 40));
        Rig_Run(rig, 40 * kMs);
    }
    Rig_Run(rig, 20 * kSecond);
    for (const RigCaller *caller : callers) {
        requested_tokens += caller->type == BOARD_ANSWER_END
                                ? strlen(caller->prompt) / 4 + 1
                                : 0;
    }
    EXPECT_EQ(Rig_GetPrefilledTokens(rig), requested_tokens);
    EXPECT_STREQ(Rig_FindViolation(rig, true), nullptr);
    Rig_Free(rig);
}

// A killed home that was also an entry leaves requests in engines' memory
// until the platform removes it from the VM list. The next home sees them in
// the running lists and counts their slots as used: less than 3% of the
// prefill tokens are wasted.
TEST(HomeKilled, NextHomeCountsOrphans)
{
    RigOptions options = Rig_DefaultOptions();
    options.vm_count = 5;
    options.prefill_count = 4;
    options.decode_count = 2;
    options.slots = 10;
    options.token_interval_us = 30000;
    options.list_lag_us = 600 * kSecond;
    Rig *rig = Rig_New(&options);
    int home = Rig_FindHome(rig, 0);
    std::vector<RigCaller *> callers;
    uint64_t requested_tokens = 0;
    for (int i = 0; i < 400; i++) {
        int entry = (home + (i < 60 ? 0 : 1) + i % 3) % 5;
        if (i == 60) {
            Rig_KillVm(rig, home);
        }
        callers.push_back(
            Rig_SendCompletion(rig, entry, Prompt(i, 2000).c_str(), 40));
        Rig_Run(rig, 55 * kMs);
    }
    Rig_Run(rig, 20 * kSecond);
    for (const RigCaller *caller : callers) {
        requested_tokens += caller->type == BOARD_ANSWER_END || caller->lost
                                ? strlen(caller->prompt) / 4 + 1
                                : 0;
    }
    EXPECT_LE(static_cast<double>(Rig_GetPrefilledTokens(rig)),
              1.03 * static_cast<double>(requested_tokens));
    EXPECT_STREQ(Rig_FindViolation(rig, false), nullptr);
    Rig_Free(rig);
}

// No engine memory stays allocated to a request whose caller disconnected.
TEST(CallerDisconnected, MemoryIsFreed)
{
    struct Case {
        int64_t at;
        RigFault fault; // Fault of all decode engines at the disconnect.
    };
    for (const Case &row :
         {Case{0, RIG_FAULT_NONE}, Case{50 * kMs, RIG_FAULT_NONE},
          Case{104 * kMs, RIG_FAULT_NONE}, Case{200 * kMs, RIG_FAULT_NONE},
          Case{200 * kMs, RIG_FAULT_SILENT}}) {
        RigOptions options = Rig_DefaultOptions();
        Rig *rig = Rig_New(&options);
        RigCaller *caller = Rig_SendCompletion(rig, 0, Prompt(1).c_str(), 50);
        Rig_Run(rig, row.at);
        for (int i = 2; i < 5; i++) {
            Rig_SetEngineFault(rig, i, row.fault);
        }
        Rig_Run(rig, 100 * kMs);
        Rig_DisconnectCaller(rig, caller);
        for (int i = 2; i < 5; i++) {
            Rig_SetEngineFault(rig, i, RIG_FAULT_NONE);
        }
        Rig_Run(rig, 1 * kSecond);
        EXPECT_EQ(Rig_CountHeld(rig), 0u) << row.at << " " << row.fault;
        EXPECT_EQ(Req_Count(Rig_GetBoard(rig, 0)->req), 0u);
        EXPECT_EQ(caller->final_answers, 0);
        Rig_Free(rig);
    }
}

// A killed entry leaves orphaned requests at engines. The home cancels them
// once the VM is restarted or off the platform's list, but never those of a VM
// that is only unreachable.
TEST(Orphans, OfKilledEntryAreCancelled)
{
    RigOptions options = Rig_DefaultOptions();
    Rig *rig = Rig_New(&options);
    int home = Rig_FindHome(rig, 0);
    int entry = (home + 1) % 3;
    Rig_SendCompletion(rig, entry, Prompt(1).c_str(), 500);
    Rig_Run(rig, 300 * kMs);
    EXPECT_EQ(Rig_CountHeld(rig), 1u);
    Rig_KillVm(rig, entry);
    Rig_Run(rig, 40 * kSecond);
    EXPECT_EQ(Rig_CountHeld(rig), 0u);
    Rig_Free(rig);
}

TEST(Orphans, OfRestartedEntryAreCancelled)
{
    RigOptions options = Rig_DefaultOptions();
    Rig *rig = Rig_New(&options);
    int home = Rig_FindHome(rig, 0);
    int entry = (home + 1) % 3;
    Rig_SendCompletion(rig, entry, Prompt(1).c_str(), 500);
    Rig_Run(rig, 300 * kMs);
    Rig_KillVm(rig, entry);
    Rig_Run(rig, 1 * kSecond);
    Rig_StartVm(rig, entry);
    Rig_Run(rig, 10 * kSecond);
    EXPECT_EQ(Rig_CountHeld(rig), 0u);
    Rig_Free(rig);
}

TEST(Orphans, OfUnreachableEntryContinue)
{
    RigOptions options = Rig_DefaultOptions();
    Rig *rig = Rig_New(&options);
    int home = Rig_FindHome(rig, 0);
    int entry = (home + 1) % 3;
    RigCaller *caller =
        Rig_SendCompletion(rig, entry, Prompt(1).c_str(), 1500);
    Rig_Run(rig, 300 * kMs);
    uint64_t before = Rig_GetPrefilledTokens(rig);
    Rig_IsolateVm(rig, entry, true);
    Rig_Run(rig, 40 * kSecond);
    EXPECT_EQ(caller->type, BOARD_ANSWER_END) << caller->err.message;
    EXPECT_STREQ(Rig_FindViolation(rig, false), nullptr);
    EXPECT_EQ(Rig_GetPrefilledTokens(rig), before);
    Rig_Free(rig);
}

// A leaving upstream receives no new request later than 3 s after the notice.
TEST(Leaving, NoNewWorkAfterThreeSeconds)
{
    struct Case {
        const char *name;
        bool isolated;  // The entry is isolated from all other VMs.
        bool by_report; // The engine reports it, not the configuration.
    };
    for (const Case &row : {Case{"config", false, false},
                            Case{"config, entry isolated", true, false},
                            Case{"engine's report", false, true}}) {
        RigOptions options = Rig_DefaultOptions();
        Rig *rig = Rig_New(&options);
        if (row.by_report) {
            Rig_SetEngineFault(rig, 2, RIG_FAULT_LEAVING);
        }
        else {
            Rig_SetEngineLeaving(rig, 2, 500 * kMs);
        }
        Rig_IsolateVm(rig, 0, row.isolated);
        int64_t notice_us = Rig_Now(rig);
        for (int i = 0; i < 100; i++) {
            Rig_SendCompletion(rig, i % 3, Prompt(i).c_str(), 5);
            Rig_Run(rig, 100 * kMs);
        }
        EXPECT_LE(Rig_GetLastWorkTime(rig, 2), notice_us + 3 * kSecond)
            << row.name;
        Rig_Run(rig, 20 * kSecond);
        EXPECT_STREQ(Rig_FindViolation(rig, true), nullptr) << row.name;
        Rig_Free(rig);
    }
}

// A graceful shutdown completes running requests and refuses new ones as "not
// run".
TEST_F(CompletionTest, ShutdownCutsNothingOff)
{
    RigCaller *running =
        Rig_SendCompletion(rig_, entry_, Prompt(1).c_str(), 100);
    Rig_Run(rig_, 200 * kMs);
    Rig_StopVm(rig_, entry_);
    RigCaller *late = Rig_SendCompletion(rig_, entry_, Prompt(2).c_str(), 5);
    EXPECT_EQ(late->err.code, LS_ERR_SHUTTING_DOWN);
    EXPECT_EQ(late->err.run, LS_RUN_NOT_RUN);
    EXPECT_FALSE(Ctl_IsIdle(Rig_GetBoard(rig_, entry_)));
    Rig_Run(rig_, 10 * kSecond);
    EXPECT_EQ(running->type, BOARD_ANSWER_END);
    EXPECT_TRUE(Ctl_IsIdle(Rig_GetBoard(rig_, entry_)));
    EXPECT_STREQ(Rig_FindViolation(rig_, true), nullptr);
}

// What a shutdown can't wait for gets an answer: "not run", or "unknown" if an
// engine may have begun it.
TEST_F(CompletionTest, ShutdownAnswersWhatItEnds)
{
    RigCaller *running =
        Rig_SendCompletion(rig_, entry_, Prompt(1).c_str(), 2000);
    Rig_Run(rig_, 2 * kSecond);
    RigCaller *begun = Rig_SendCompletion(rig_, entry_, Prompt(2).c_str(), 5);
    Rig_StopVm(rig_, entry_);
    Ctl_EndAll(Rig_GetBoard(rig_, entry_));
    EXPECT_EQ(running->final_answers, 1);
    EXPECT_EQ(running->err.code, LS_ERR_SHUTTING_DOWN);
    EXPECT_EQ(running->err.run, LS_RUN_UNKNOWN);
    EXPECT_EQ(begun->final_answers, 1);
    EXPECT_EQ(begun->err.code, LS_ERR_SHUTTING_DOWN);
    EXPECT_EQ(begun->err.run, LS_RUN_NOT_RUN);
    EXPECT_TRUE(Ctl_IsIdle(Rig_GetBoard(rig_, entry_)));
    Rig_Run(rig_, 10 * kSecond);
    EXPECT_EQ(running->final_answers, 1);
    EXPECT_EQ(Rig_CountHeld(rig_), 0U);
    EXPECT_STREQ(Rig_FindViolation(rig_, true), nullptr);
}

// A prompt that is too long for its target even on idle engines is served
// late, because every retry of it would be refused otherwise.
TEST_F(CompletionTest, LongPromptIsServed)
{
    RigCaller *caller =
        Rig_SendCompletion(rig_, entry_, Prompt(1, 160000).c_str(), 10);
    Rig_Run(rig_, 20 * kSecond);
    EXPECT_EQ(caller->type, BOARD_ANSWER_END) << caller->err.message;
    EXPECT_STREQ(Rig_FindViolation(rig_, true), nullptr);
}

// Under overload each request is either refused early or answered in time.
// None is lost, and a refusal gives the time to retry.
TEST(Overload, RefusesEarlyAsNotRun)
{
    RigOptions options = Rig_DefaultOptions();
    Rig *rig = Rig_New(&options);
    RigCaller *callers[400];
    for (int i = 0; i < 400; i++) {
        callers[i] = Rig_SendCompletion(rig, i % 3, Prompt(i).c_str(), 20);
        Rig_Run(rig, 5 * kMs);
    }
    Rig_Run(rig, 20 * kSecond);
    int refused = 0;
    int answered = 0;
    for (RigCaller *caller : callers) {
        ASSERT_EQ(caller->final_answers, 1);
        if (caller->type == BOARD_ANSWER_END) {
            answered++;
            EXPECT_LE(caller->first_us - caller->begun_us, 1500 * kMs);
        }
        else {
            refused++;
            EXPECT_EQ(caller->err.code, LS_ERR_OVERLOAD);
            EXPECT_EQ(caller->err.run, LS_RUN_NOT_RUN);
            EXPECT_GT(caller->err.retry_after_ms, 0u);
            EXPECT_LE(caller->ended_us - caller->begun_us, 1300 * kMs);
        }
    }
    EXPECT_GT(refused, 0);
    EXPECT_GT(answered, 0);
    EXPECT_STREQ(Rig_FindViolation(rig, true), nullptr);
    Rig_Free(rig);
}

} // namespace
