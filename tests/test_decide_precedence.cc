/* Replays bursts of 1 to 10 times the capacity of workers with plain calls,
   open loop. Each refused caller comes back once, when its objective has
   passed, and must not take the place of one that can be in time. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/admission.h"
#include "decide/precedence.h"
#include "decide/rank.h"
}

#include <algorithm>
#include <cmath>
#include <map>

#include <random>
#include <vector>

namespace {

const int64_t ms = 1000;
const int64_t second = 1000 * ms;

/* Workers of six slots, 60 ms a call; their queue is endless. */
const int worker_count = 3;
const uint32_t slots = 6;
const int64_t call_us = 60 * ms;
const int64_t slo_us = 300 * ms;
const double capacity_per_s = worker_count * slots / 0.06;
const int vm_count = 9;
/* Time until a VM knows of another VM's calls. */
const int64_t news_us = 40 * ms;
/* Time for which a load counts that a worker told with an answer. */
const int64_t load_age_us = 300 * ms;

const int64_t calm_us = 4 * second;  /* Before the burst. */
const int64_t burst_us = 8 * second; /* Its duration. */
const int64_t end_us = 16 * second;

struct Call {
    int64_t first_us; /* When its caller came first. */
    bool is_retry;
};

struct Running {
    int vm;
    int64_t sent_us;
    int64_t end_us;
};

/* Returns the calls at a worker that a VM knows of: its own, those that the
   others told, and the worker's load as of its last answer to this VM. */
uint32_t
CountKnown(const std::vector<Running> &calls, int vm, int64_t now)
{
    int64_t told_us = -1;
    uint32_t known = 0;
    uint32_t told = 0;
    for (const Running &call : calls) {
        int64_t known_us = call.vm == vm ? now : now - news_us;
        known += call.sent_us <= known_us && call.end_us > known_us;
        if (call.vm == vm && call.end_us <= now) {
            told_us = std::max(told_us, call.end_us);
        }
    }
    for (const Running &call : calls) {
        told += call.sent_us <= told_us && call.end_us > told_us;
    }
    return now - told_us < load_age_us ? std::max(known, told) : known;
}

struct Outcome {
    double late_per_s; /* Callers that came back and were served in the
                          last half of the burst. */
    int refused_calm;  /* Of the callers that came after it. */
    int late_calm;     /* Served callers that came first in the burst, and
                          again after it. */
};

/* Plays a burst of `load` times the capacity, after and before a third of
   it. */
Outcome
Play(double load, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::multimap<int64_t, Call> arrivals;
    for (double t = 0; t < (double)end_us;) {
        bool in_burst = t >= calm_us && t < calm_us + burst_us;
        double per_us =
            (in_burst ? load : 0.33) * capacity_per_s / (double)second;
        t += -std::log(1 - uniform(random)) / per_us;
        arrivals.insert({(int64_t)t, {(int64_t)t, false}});
    }
    RankWeights weights = Rank_DefaultWeights();
    std::vector<Precedence> precedences(vm_count);
    /* When each slot is free, and the calls of each worker. */
    std::vector<std::vector<int64_t>> free_us(worker_count,
                                              std::vector<int64_t>(slots, 0));
    std::vector<std::vector<Running>> running(worker_count);
    Outcome outcome = {};
    while (!arrivals.empty()) {
        auto [now, call] = *arrivals.begin();
        arrivals.erase(arrivals.begin());
        bool in_burst =
            call.first_us >= calm_us && call.first_us < calm_us + burst_us;
        /* The shortest queue. */
        RankWorker rank = {};
        int chosen = 0;
        rank.slots = slots;
        rank.running = UINT32_MAX;
        rank.service_us = (double)call_us;
        int vm = (int)(random() % vm_count);
        for (int i = 0; i < worker_count; i++) {
            auto is_old = [now = now](const Running &row) {
                return row.end_us <= now - load_age_us;
            };
            running[i].erase(
                std::remove_if(running[i].begin(), running[i].end(), is_old),
                running[i].end());
            uint32_t known = CountKnown(running[i], vm, now);
            if (known < rank.running) {
                rank.running = known;
                chosen = i;
            }
        }
        Precedence *precedence = &precedences[vm];
        int64_t late_queue_us =
            call.is_retry ? Precedence_GetLateQueue(precedence, slo_us, now)
                          : ADMISSION_TIMELY;
        bool is_taken = Admission_IsInTime(
            Rank_GetCallWait(&weights, &rank), call_us,
            weights.rtt_us[RANK_OTHER_REGION], slo_us, late_queue_us);
        if (!call.is_retry) {
            Precedence_NoteTimely(precedence, !is_taken, now);
        }
        if (!is_taken) {
            if (!call.is_retry) {
                uint32_t after_ms = Admission_GetRetryAfter(
                    ADMISSION_FULL, 3000, 0, (uint32_t)random());
                arrivals.insert({now + after_ms * ms, {call.first_us, true}});
            }
            outcome.refused_calm +=
                call.first_us >= calm_us + burst_us + second;
            continue;
        }
        auto slot =
            std::min_element(free_us[chosen].begin(), free_us[chosen].end());
        *slot = std::max(*slot, now) +
                (int64_t)((double)call_us * (0.5 + uniform(random)));
        running[chosen].push_back({vm, now, *slot});
        outcome.late_per_s += call.is_retry && now >= calm_us + burst_us / 2 &&
                              now < calm_us + burst_us;
        outcome.late_calm +=
            in_burst && call.is_retry && now >= calm_us + burst_us;
    }
    outcome.late_per_s /= (double)burst_us / 2 / (double)second;
    return outcome;
}

TEST(Precedence, LateCallersTakeNoCapacityFromTimelyOnes)
{
    for (double load : {1.05, 1.1, 1.2, 1.3, 1.5, 2.0, 10.0}) {
        SCOPED_TRACE(load);
        EXPECT_LE(Play(load, 1).late_per_s, 0.01 * capacity_per_s);
    }
}

TEST(Precedence, LateCallersAreServedOnceTheBurstIsOver)
{
    Outcome outcome = Play(3, 1);
    EXPECT_EQ(outcome.refused_calm, 0);
    /* Those of its last second, as fast as the workers can. */
    EXPECT_GE(outcome.late_calm, 0.2 * capacity_per_s);
}

TEST(Precedence, FewThatLackCapacityHoldBackNoLateCall)
{
    const struct {
        const char *name;
        int timely;  /* Requests within 100 ms. */
        int lacking; /* The last of these. */
        int64_t after_us;
        int64_t late_queue_us;
        bool may_be_late;
    } cases[] = {
        {"no request", 0, 0, 0, 75 * ms, true},
        {"none lacks capacity", 20, 0, 0, 75 * ms, true},
        {"the only one does", 1, 1, 0, 75 * ms, true},
        {"one of twenty does", 20, 1, 0, 75 * ms, true},
        {"two of four do", 4, 2, 0, 0, false},
        {"a quarter do", 20, 5, 0, 0, false},
        {"all do", 20, 20, 0, 0, false},
        {"all did, and none came for half a second", 20, 20, second / 2, 0,
         false},
        {"all did, and none came for two seconds", 20, 20, 2 * second, 59 * ms,
         true},
    };
    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        Precedence precedence = {};
        for (int i = 0; i < row.timely; i++) {
            Precedence_NoteTimely(&precedence, i >= row.timely - row.lacking,
                                  second + i * 5 * ms);
        }
        int64_t now = second + 100 * ms + row.after_us;
        EXPECT_NEAR((double)Precedence_GetLateQueue(&precedence, slo_us, now),
                    (double)row.late_queue_us, 2.0 * ms);
        EXPECT_EQ(Precedence_MayBeLate(&precedence, now), row.may_be_late);
    }
}

TEST(Precedence, LackLastsUntilRequestsFindCapacity)
{
    Precedence precedence = {};
    int64_t now = second;
    EXPECT_EQ(Precedence_GetLackTime(&precedence, now), 0);
    for (; now < 6 * second; now += 50 * ms) {
        Precedence_NoteTimely(&precedence, true, now);
    }
    EXPECT_NEAR((double)Precedence_GetLackTime(&precedence, now), 5e6, 1e5);
    for (; now < 8 * second; now += 50 * ms) {
        Precedence_NoteTimely(&precedence, false, now);
    }
    EXPECT_EQ(Precedence_GetLackTime(&precedence, now), 0);
    Precedence_NoteTimely(&precedence, true, now);
    for (int i = 0; i < 5; i++) {
        Precedence_NoteTimely(&precedence, true, now);
    }
    EXPECT_LE(Precedence_GetLackTime(&precedence, now + second / 10), second);
}

/* At a VM with few requests nothing tells that an earlier lack is over. */
TEST(Precedence, LackOfAnEarlierHourIsOver)
{
    Precedence precedence = {};
    int64_t hour = 3600 * second;
    for (int64_t now : {second, hour, 2 * hour}) {
        for (int i = 0; i < 5; i++) {
            Precedence_NoteTimely(&precedence, true, now + i * 20 * ms);
        }
        EXPECT_FALSE(Precedence_MayBeLate(&precedence, now + 100 * ms));
        EXPECT_LE(Precedence_GetLackTime(&precedence, now + 100 * ms),
                  100 * ms);
    }
}

} // namespace
