// Explorer: runs random schedules of requests and faults, drawn from a seed,
// while frames are delayed, reordered, duplicated and lost. The invariants of
// the rig must hold in each schedule.
#include "c_api.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <string>

namespace {

const int64_t kSecond = CLK_US_PER_S;
const int64_t kMs = CLK_US_PER_MS;
const int kSchedules = 10000;
const int kVms = 3;
const int kEngines = 5;
// Faults of an engine are drawn from all values of RigFault, those of the
// booking service from the first six, up to RIG_FAULT_LOSE.
const int kEngineFaults = 10;
const int kBookingFaults = 6;

struct Schedule {
    Rig *rig;
    GRand *rand;
    GPtrArray *keys;        // Idempotency keys that were issued.
    GPtrArray *completions; // RigCaller * of each completion.
    std::string trace;      // Requests and faults so far.
};

int
Pick(Schedule *schedule, int count)
{
    return g_rand_int_range(schedule->rand, 0, count);
}

bool
IsUsable(Schedule *schedule, int vm)
{
    Board *board = Rig_GetBoard(schedule->rig, vm);
    return board != nullptr && board->config != nullptr;
}

void
SendRequest(Schedule *schedule)
{
    int vm = Pick(schedule, kVms);
    if (!IsUsable(schedule, vm)) {
        return;
    }
    if (Pick(schedule, 2) == 0) {
        std::string prompt(static_cast<size_t>(400 + Pick(schedule, 12000)),
                           static_cast<char>('a' + Pick(schedule, 26)));
        g_ptr_array_add(
            schedule->completions,
            Rig_SendCompletion(schedule->rig, vm, prompt.c_str(),
                               static_cast<uint32_t>(1 + Pick(schedule, 40))));
        schedule->trace += " completion@" + std::to_string(vm);
        return;
    }
    if (schedule->keys->len == 0 || Pick(schedule, 2) == 0) {
        char *key = Rig_IssueKey(schedule->rig, vm);
        if (key != nullptr) {
            g_ptr_array_add(schedule->keys, key);
        }
    }
    if (schedule->keys->len > 0) {
        int index = Pick(schedule, static_cast<int>(schedule->keys->len));
        const char *key =
            static_cast<const char *>(schedule->keys->pdata[index]);
        Rig_SendOperation(schedule->rig, vm, key, "{}");
        schedule->trace += " operation@" + std::to_string(vm);
    }
}

void
InjectFault(Schedule *schedule)
{
    Rig *rig = schedule->rig;
    int vm = Pick(schedule, kVms);
    int kind = Pick(schedule, 10);
    schedule->trace +=
        " fault" + std::to_string(kind) + "@" + std::to_string(vm);
    switch (kind) {
    case 0:
        Rig_KillVm(rig, vm);
        break;
    case 1:
        Rig_StartVm(rig, vm);
        break;
    case 2:
        Rig_PauseVm(rig, vm);
        break;
    case 3:
        Rig_ResumeVm(rig, vm);
        break;
    case 4:
        Rig_IsolateVm(rig, vm, true);
        break;
    case 5:
        Rig_IsolateVm(rig, vm, false);
        break;
    case 6:
        Rig_CutLink(rig, vm, Pick(schedule, kVms), true);
        break;
    case 7:
        Rig_SetEngineFault(
            rig, Pick(schedule, kEngines),
            static_cast<RigFault>(Pick(schedule, kEngineFaults)));
        break;
    case 8:
        Rig_SetBookingFault(
            rig, static_cast<RigFault>(Pick(schedule, kBookingFaults)));
        break;
    default:
        if (schedule->completions->len > 0) {
            int index =
                Pick(schedule, static_cast<int>(schedule->completions->len));
            auto *caller =
                static_cast<RigCaller *>(schedule->completions->pdata[index]);
            if (caller->final_answers == 0 && !caller->lost &&
                !caller->is_disconnected) {
                Rig_DisconnectCaller(rig, caller);
            }
        }
        break;
    }
}

// Removes all faults, so that all callers must be answered.
void
RemoveFaults(Schedule *schedule)
{
    for (int vm = 0; vm < kVms; vm++) {
        Rig_StartVm(schedule->rig, vm);
        Rig_ResumeVm(schedule->rig, vm);
        Rig_IsolateVm(schedule->rig, vm, false);
    }
    for (int engine = 0; engine < kEngines; engine++) {
        Rig_SetEngineFault(schedule->rig, engine, RIG_FAULT_NONE);
    }
    Rig_SetBookingFault(schedule->rig, RIG_FAULT_NONE);
}

std::string
RunSchedule(guint32 seed)
{
    RigOptions options = Rig_DefaultOptions();
    options.seed = seed;
    options.jitter_us = 40 * kMs;
    options.drop_rate = 0.02;
    options.duplicate_rate = 0.02;
    Schedule schedule = {Rig_New(&options), g_rand_new_with_seed(seed),
                         g_ptr_array_new_with_free_func(g_free),
                         g_ptr_array_new(), ""};
    std::string violation;
    int steps = 10 + Pick(&schedule, 10);
    for (int i = 0; i < steps && violation.empty(); i++) {
        if (Pick(&schedule, 3) < 2) {
            SendRequest(&schedule);
        }
        else {
            InjectFault(&schedule);
        }
        Rig_Run(schedule.rig, Pick(&schedule, 300) * kMs);
        const char *found = Rig_FindViolation(schedule.rig, false);
        violation = found != nullptr ? found : "";
    }
    RemoveFaults(&schedule);
    Rig_Run(schedule.rig, 25 * kSecond);
    // Each operation is sent again with its key and must not run twice.
    for (guint i = 0; i < schedule.keys->len; i++) {
        Rig_SendOperation(schedule.rig, Pick(&schedule, kVms),
                          static_cast<const char *>(schedule.keys->pdata[i]),
                          "{}");
    }
    Rig_Run(schedule.rig, 25 * kSecond);
    const char *found = Rig_FindViolation(schedule.rig, true);
    if (violation.empty() && found != nullptr) {
        violation = found;
    }
    if (!violation.empty()) {
        violation += " | seed " + std::to_string(seed) + ":" + schedule.trace;
    }
    g_ptr_array_unref(schedule.keys);
    g_ptr_array_unref(schedule.completions);
    g_rand_free(schedule.rand);
    Rig_Free(schedule.rig);
    return violation;
}

// EXPLORER_FIRST and EXPLORER_COUNT set the first seed and the number of
// schedules.
TEST(Explorer, InvariantsHoldInEachSchedule)
{
    const char *first = getenv("EXPLORER_FIRST");
    const char *count = getenv("EXPLORER_COUNT");
    guint32 begin = first != nullptr
                        ? static_cast<guint32>(strtoul(first, nullptr, 10))
                        : 1;
    guint32 schedules = count != nullptr
                            ? static_cast<guint32>(strtoul(count, nullptr, 10))
                            : kSchedules;
    int broken = 0;
    for (guint32 seed = begin; seed < begin + schedules; seed++) {
        std::string violation = RunSchedule(seed);
        if (!violation.empty() && ++broken <= 10) {
            ADD_FAILURE() << violation;
        }
    }
    EXPECT_EQ(broken, 0) << "of " << schedules << " schedules";
}

} // namespace
