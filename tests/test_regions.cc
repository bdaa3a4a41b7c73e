// Tests of placement across regions within the limits of contracts, of retries
// when engines fail under load, and of slow engines.
#include "c_api.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace {

const int64_t kSecond = CLK_US_PER_S;
const int64_t kMs = CLK_US_PER_MS;

std::string
Prompt(int number, size_t bytes = 8000)
{
    std::string text = "application " + std::to_string(number) + ": ";
    text.resize(bytes, 'x');
    return text;
}

RigOptions
ThreeRegions()
{
    RigOptions options = Rig_DefaultOptions();
    options.regions = 3;
    options.vm_count = 9;
    options.prefill_count = 6;
    options.decode_count = 6;
    options.latency_us = 10 * kMs;
    return options;
}

// Requests stay in their region while it can serve them in time.
TEST(Regions, RequestsStayInTheirRegion)
{
    RigOptions options = ThreeRegions();
    options.cross_region_tokens_per_s = 1e6;
    Rig *rig = Rig_New(&options);
    for (int i = 0; i < 50; i++) {
        Rig_SendCompletion(rig, 1 + 3 * (i % 3), Prompt(i).c_str(), 5);
        Rig_Run(rig, 100 * kMs);
    }
    Rig_Run(rig, 5 * kSecond);
    EXPECT_STREQ(Rig_FindViolation(rig, true), nullptr);
    EXPECT_EQ(Rig_GetRegionPrefilledTokens(rig, 0), 0u);
    EXPECT_GT(Rig_GetRegionPrefilledTokens(rig, 1), 50u * 1900);
    EXPECT_EQ(Rig_GetRegionPrefilledTokens(rig, 2), 0u);
    Rig_Free(rig);
}

// The tokens sent to other regions never exceed the contract's volume. With a
// volume of 0 none are sent, and requests are refused instead.
TEST(Regions, CrossRegionTokensStayWithinTheVolume)
{
    for (double volume : {0.0, 9000.0, 1e6}) {
        RigOptions options = ThreeRegions();
        options.cross_region_tokens_per_s = volume;
        Rig *rig = Rig_New(&options);
        std::vector<RigCaller *> callers;
        for (int i = 0; i < 400; i++) {
            callers.push_back(
                Rig_SendCompletion(rig, 3 * (i % 3), Prompt(i).c_str(), 5));
            Rig_Run(rig, 20 * kMs);
        }
        Rig_Run(rig, 10 * kSecond);
        int answered = 0;
        for (const RigCaller *caller : callers) {
            answered += caller->type == BOARD_ANSWER_END ? 1 : 0;
        }
        uint64_t cross_region_tokens = Rig_GetRegionPrefilledTokens(rig, 1) +
                                       Rig_GetRegionPrefilledTokens(rig, 2);
        EXPECT_STREQ(Rig_FindViolation(rig, true), nullptr);
        // 8 s of sending, a burst of 1 s, and at each of the three VMs one
        // prompt that exceeds the balance of its bucket.
        EXPECT_LE(static_cast<double>(cross_region_tokens),
                  volume * 9 + 3 * 2001)
            << volume;
        if (volume == 0.0) {
            EXPECT_EQ(cross_region_tokens, 0u);
            EXPECT_LT(answered, 400);
        }
        if (volume > 1e5) {
            EXPECT_EQ(answered, 400);
        }
        Rig_Free(rig);
    }
}

// A partition between one region and the others leaves both sides serving.
TEST(Regions, BothSidesOfAPartitionServe)
{
    RigOptions options = ThreeRegions();
    options.cross_region_tokens_per_s = 1e6;
    Rig *rig = Rig_New(&options);
    for (int inside : {2, 5, 8}) {
        for (int outside : {0, 1, 3, 4, 6, 7}) {
            Rig_CutLink(rig, inside, outside, true);
            Rig_CutLink(rig, outside, inside, true);
        }
    }
    Rig_Run(rig, 10 * kSecond);
    std::vector<RigCaller *> callers;
    for (int i = 0; i < 18; i++) {
        callers.push_back(
            Rig_SendCompletion(rig, i % 9, Prompt(i).c_str(), 5));
        Rig_Run(rig, 50 * kMs);
    }
    Rig_Run(rig, 10 * kSecond);
    for (const RigCaller *caller : callers) {
        EXPECT_EQ(caller->type, BOARD_ANSWER_END) << caller->err.message;
        EXPECT_LE(caller->first_us - caller->begun_us, 1300 * kMs);
    }
    EXPECT_STREQ(Rig_FindViolation(rig, true), nullptr);
    Rig_Free(rig);
}

// When half of the engines fail at once, retries don't amplify the load: the
// tokens prefilled stay within 1.1 times the tokens requested.
TEST(Retries, NoStormWhenAZoneFails)
{
    RigOptions options = Rig_DefaultOptions();
    options.vm_count = 9;
    options.prefill_count = 6;
    options.decode_count = 6;
    Rig *rig = Rig_New(&options);
    uint64_t requested_tokens = 0;
    for (int i = 0; i < 600; i++) {
        if (i == 200) {
            for (int engine : {0, 1, 2, 6, 7, 8}) {
                Rig_SetEngineFault(rig, engine, RIG_FAULT_DOWN);
            }
        }
        Rig_SendCompletion(rig, i % 9, Prompt(i).c_str(), 10);
        requested_tokens += 2001;
        Rig_Run(rig, 25 * kMs);
    }
    Rig_Run(rig, 20 * kSecond);
    double amplification = static_cast<double>(Rig_GetPrefilledTokens(rig)) /
                           static_cast<double>(requested_tokens);
    RecordProperty("amplification", std::to_string(amplification));
    EXPECT_LE(amplification, 1.1);
    EXPECT_STREQ(Rig_FindViolation(rig, false), nullptr);
    Rig_Free(rig);
}

// An engine with long gaps between tokens is slow, not failed: its stream does
// not time out.
TEST(Timeouts, SlowEngineKeepsItsStream)
{
    RigOptions options = Rig_DefaultOptions();
    options.token_interval_us = 1900 * kMs;
    Rig *rig = Rig_New(&options);
    RigCaller *caller = Rig_SendCompletion(rig, 0, Prompt(1).c_str(), 10);
    Rig_Run(rig, 30 * kSecond);
    EXPECT_EQ(caller->type, BOARD_ANSWER_END) << caller->err.message;
    EXPECT_EQ(Rig_GetPrefilledTokens(rig), 2001u);
    Rig_Free(rig);
}

} // namespace
