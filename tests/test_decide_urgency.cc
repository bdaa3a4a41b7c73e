/* Replays bursts of streams of three priorities at workers whose memory is
   full. All decisions are those of the gate; the workers are a table of the
   memory in use. The most urgent streams must get the memory that becomes
   free, without any of it staying unused, and no level may be left without. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/admission.h"
#include "decide/precedence.h"
#include "decide/urgency.h"
}

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <vector>

namespace {

const int64_t ms = 1000;
const int64_t second = 1000 * ms;

const uint32_t level_count = 3;
struct Level {
    double per_s;
    int64_t slo_us;
    double worth;
    double late_worth;
};
const Level levels[level_count] = {{25.6, 800 * ms, 17, 1.3},
                                   {34.5, 1000 * ms, 8.7, 1.7},
                                   {46.2, 2000 * ms, 4.4, 1.3}};

const int vm_count = 76;
const int worker_count = 91; /* Those that decode. */
const double memory_tokens = 45842;
const double prompt_tokens = 5200;
const double answer_tokens = 980;
const double margin_tokens = 3.5 * answer_tokens;
const double token_us = 3.2 * ms;
const int64_t first_event_us = ADMISSION_FIRST_EVENT_US;
/* Time until a VM knows of the looks at the others. */
const int64_t news_us = 150 * ms;
const int64_t left_us = 15 * second; /* Callers' time. */

struct Burst {
    double from_s;
    double to_s;
    double load[level_count]; /* As multiples of the usual one. */
    double dark;              /* Share of the workers without power. */
};

struct Load {
    const char *name;
    std::vector<Burst> bursts;
    double end_s;
    double left;     /* Share of the refused callers that don't come back. */
    bool is_at_once; /* The others come back at once. */
};

struct Stream {
    uint32_t level;
    int64_t first_us;   /* When its caller came first. */
    int64_t arrived_us; /* When it came to the VM. */
    int64_t waiting_us; /* When its wait began; 0: it doesn't wait. */
    bool is_retry;
    bool is_queued;
    int64_t lacked_us;
    int vm;
    double tokens;
    int64_t run_us;
};

struct Outcome {
    double offered[level_count]; /* Callers that came in a burst. */
    double served[level_count];  /* Those of them that got an answer. */
    double worth[level_count];   /* Share of the worth that was served. */
    double all_worth;
    double served_share[level_count]; /* As a multiple of that of all. */
    double unused; /* Mean share of the memory not in use in bursts while
                      callers wait. */
};

struct Vm {
    Urgency urgency;
    UrgencyLooks told; /* Its looks when it last told them. */
    Precedence precedence;
    AdmissionQueue queue;
};

class Replay {
  public:
    Replay(const Load &load, bool has_levels, unsigned seed)
        : load_(load), has_levels_(has_levels), random_(seed), vms_(vm_count),
          used_(worker_count), hashes_(worker_count)
    {
        for (Vm &vm : vms_) {
            Admission_InitQueue(&vm.queue);
        }
        for (uint64_t &hash : hashes_) {
            hash = (uint64_t)random_() << 32;
        }
    }

    Outcome
    Play()
    {
        AddArrivals();
        int64_t told_us = 0;
        while (!events_.empty()) {
            auto [now, stream] = *events_.begin();
            events_.erase(events_.begin());
            now_ = now;
            if (now_ - told_us >= news_us) {
                told_us = now_;
                Tell();
            }
            if (stream.run_us < 0) {
                used_[(size_t)stream.vm] -= stream.tokens;
                continue;
            }
            Look(stream);
        }
        double all = 0;
        double all_served = 0;
        double offered_worth = 0;
        double worth = 0;
        for (uint32_t i = 0; i < level_count; i++) {
            offered_worth += outcome_.offered[i] * levels[i].worth;
            worth += outcome_.worth[i];
            outcome_.worth[i] /= outcome_.offered[i] * levels[i].worth;
            all += outcome_.offered[i];
            all_served += outcome_.served[i];
        }
        outcome_.all_worth = worth / offered_worth;
        for (uint32_t i = 0; i < level_count; i++) {
            outcome_.served_share[i] =
                outcome_.served[i] / outcome_.offered[i] / (all_served / all);
        }
        outcome_.unused = unused_ / std::max(looks_, 1.0);
        return outcome_;
    }

  private:
    double
    Uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    const Burst *
    FindBurst(int64_t at_us) const
    {
        for (const Burst &burst : load_.bursts) {
            if ((double)at_us >= burst.from_s * (double)second &&
                (double)at_us < burst.to_s * (double)second) {
                return &burst;
            }
        }
        return nullptr;
    }

    void
    AddArrivals()
    {
        for (uint32_t i = 0; i < level_count; i++) {
            for (double t = 0; t < load_.end_s * (double)second;) {
                const Burst *burst = FindBurst((int64_t)t);
                double per_s =
                    levels[i].per_s * (burst != nullptr ? burst->load[i] : 1);
                t += -std::log(1 - Uniform()) / per_s * (double)second;
                Stream stream = {};
                stream.level = i;
                stream.first_us = stream.arrived_us = (int64_t)t;
                stream.vm = (int)(random_() % vm_count);
                double answer = answer_tokens * (0.5 + Uniform());
                stream.tokens =
                    prompt_tokens * (0.7 + 0.6 * Uniform()) + 0.75 * answer;
                stream.run_us = (int64_t)(answer * token_us);
                events_.insert({stream.first_us, stream});
                outcome_.offered[i] += FindBurst(stream.first_us) != nullptr;
            }
        }
    }

    /* Each VM tells its looks to the others. */
    void
    Tell()
    {
        UrgencyLooks sum = {};
        for (Vm &vm : vms_) {
            vm.told = Urgency_GetLooks(&vm.urgency, now_);
            for (uint32_t i = 0; i < URGENCY_LEVELS_MAX; i++) {
                sum.all[i] += vm.told.all[i];
                sum.lacking[i] += vm.told.lacking[i];
            }
        }
        for (Vm &vm : vms_) {
            UrgencyLooks peers = sum;
            for (uint32_t i = 0; i < URGENCY_LEVELS_MAX; i++) {
                peers.all[i] -= vm.told.all[i];
                peers.lacking[i] -= vm.told.lacking[i];
            }
            Urgency_SetPeers(&vm.urgency, &peers, now_);
        }
    }

    uint32_t
    GetLevel(const Stream &stream) const
    {
        return !has_levels_      ? 0
               : stream.is_retry ? level_count - 1
                                 : stream.level;
    }

    /* Returns the worker with the least memory in use that has room, or -1. */
    int
    Choose(const Stream &stream, double held)
    {
        const Burst *burst = FindBurst(now_);
        int lit =
            (int)((1 - (burst != nullptr ? burst->dark : 0)) * worker_count);
        int best = -1;
        double free_tokens = 0;
        for (int i = 0; i < lit; i++) {
            double kept = Urgency_GetHeldAt(held, hashes_[(size_t)i]) *
                          (prompt_tokens + answer_tokens / 2);
            double used = used_[(size_t)i];
            free_tokens += std::max(0.0, memory_tokens - margin_tokens - used);
            if (used + stream.tokens + margin_tokens + kept <= memory_tokens &&
                (best < 0 || used < used_[(size_t)best])) {
                best = i;
            }
        }
        if (burst != nullptr && stream.waiting_us != 0) {
            unused_ += free_tokens / (lit * (memory_tokens - margin_tokens));
            looks_++;
        }
        return best;
    }

    void
    Look(Stream stream)
    {
        Vm &vm = vms_[(size_t)stream.vm];
        uint32_t level = GetLevel(stream);
        bool is_first = stream.waiting_us == 0;
        if (is_first && !stream.is_retry) {
            Urgency_NoteAsked(&vm.urgency, level, now_);
        }
        double held =
            has_levels_ ? Urgency_GetHeld(&vm.urgency, level, now_) : 0;
        int worker = Choose(stream, held);
        if (!stream.is_retry) {
            Urgency_NoteLook(&vm.urgency, level, worker < 0, &stream.lacked_us,
                             now_);
            if (is_first) {
                Precedence_NoteTimely(&vm.precedence, worker < 0, now_);
            }
        }
        else if (!Precedence_MayBeLate(&vm.precedence, now_)) {
            Refuse(stream);
            return;
        }
        if (worker >= 0) {
            Serve(stream, worker);
            return;
        }
        if (is_first) {
            stream.waiting_us = now_;
        }
        AdmissionWait wait = {};
        wait.waiting_since_us = stream.waiting_us;
        wait.arrived_us = stream.arrived_us;
        wait.left_us = left_us - (stream.arrived_us - stream.first_us);
        wait.timeout_us = left_us;
        wait.slo_us = levels[stream.level].slo_us;
        wait.deadline_us = stream.first_us + left_us;
        AdmissionWaitPlan plan = Admission_PlanWait(&wait);
        if (now_ >= plan.until_us ||
            (!stream.is_queued && !Admission_BeginWait(&vm.queue))) {
            Refuse(stream);
            return;
        }
        stream.is_queued = true;
        int64_t poll_us = Urgency_GetPollTime(plan.poll_us, level,
                                              has_levels_ ? level_count : 1);
        int64_t next = now_ + poll_us + (int64_t)(Uniform() * (double)poll_us);
        events_.insert({next, stream});
    }

    void
    Serve(const Stream &stream, int worker)
    {
        Vm &vm = vms_[(size_t)stream.vm];
        const Level &level = levels[stream.level];
        if (stream.is_queued) {
            Admission_EndWait(&vm.queue, ADMISSION_WAIT_SERVED);
        }
        if (!stream.is_retry) {
            Urgency_NoteAdmitted(&vm.urgency, GetLevel(stream), now_);
        }
        used_[(size_t)worker] += stream.tokens;
        Stream end = stream;
        end.vm = worker;
        end.run_us = -1;
        events_.insert({now_ + first_event_us + stream.run_us, end});
        if (FindBurst(stream.first_us) != nullptr) {
            bool in_time =
                now_ + first_event_us - stream.first_us <= level.slo_us;
            outcome_.served[stream.level]++;
            outcome_.worth[stream.level] +=
                in_time ? level.worth : level.late_worth;
        }
    }

    void
    Refuse(Stream stream)
    {
        Vm &vm = vms_[(size_t)stream.vm];
        if (stream.is_queued) {
            Admission_EndWait(&vm.queue, ADMISSION_WAIT_OVER);
        }
        if (stream.is_retry || Uniform() < load_.left) {
            return;
        }
        int64_t lack_us = Precedence_GetLackTime(&vm.precedence, now_);
        if (has_levels_) {
            lack_us = Urgency_GetReturnTime(
                std::max(lack_us, Urgency_GetLackTime(&vm.urgency, now_)),
                stream.level);
        }
        uint32_t after_ms = Admission_GetRetryAfter(
            ADMISSION_FULL, (left_us - (now_ - stream.first_us)) / ms,
            lack_us / ms, (uint32_t)random_());
        stream.is_retry = true;
        stream.is_queued = false;
        stream.waiting_us = 0;
        stream.arrived_us =
            now_ + (load_.is_at_once ? 50 : (int64_t)after_ms) * ms;
        stream.vm = (int)(random_() % vm_count);
        events_.insert({stream.arrived_us, stream});
    }

    const Load &load_;
    bool has_levels_;
    std::mt19937 random_;
    std::vector<Vm> vms_;
    std::vector<double> used_;
    std::vector<uint64_t> hashes_;
    std::multimap<int64_t, Stream> events_;
    Outcome outcome_ = {};
    double unused_ = 0;
    double looks_ = 0;
    int64_t now_ = 0;
};

const Load loads[] = {
    {"calm", {{4, 10, {1, 1, 1}, 0}}, 14, 0, false},
    {"level 2 at 2.2, a tenth dark",
     {{4, 10, {1, 1, 2.2}, 0.1}},
     18,
     0,
     false},
    {"level 2 at 4, a quarter dark", {{4, 10, {1, 1, 4}, 0.25}}, 18, 0, false},
    {"three bursts",
     {{4, 8, {1.6, 1.6, 1.6}, 0.1},
      {12, 17, {2.3, 2.3, 2.3}, 0.1},
      {22, 26, {2, 2, 2}, 0.1}},
     32,
     0,
     false},
    {"callers leave", {{4, 10, {1, 1, 4}, 0.25}}, 18, 0.7, false},
    {"callers come back at once", {{4, 10, {1, 1, 4}, 0.25}}, 18, 0, true},
    {"the most urgent alone exceed the memory",
     {{4, 10, {10, 2, 2}, 0.25}},
     18,
     0,
     false},
};

void
Print(const Load &load, const char *name, const Outcome &outcome)
{
    printf("%-40s %-6s worth %.2f (%.2f %.2f %.2f) served %.2f %.2f %.2f "
           "unused %.2f\n",
           load.name, name, outcome.all_worth, outcome.worth[0],
           outcome.worth[1], outcome.worth[2], outcome.served_share[0],
           outcome.served_share[1], outcome.served_share[2], outcome.unused);
}

TEST(Urgency, MoreUrgentStreamsGetTheMemory)
{
    for (const Load &load : loads) {
        for (unsigned seed = 1; seed <= 3; seed++) {
            SCOPED_TRACE(load.name);
            Outcome before = Replay(load, false, seed).Play();
            Outcome after = Replay(load, true, seed).Play();
            Print(load, "before", before);
            Print(load, "after", after);
            EXPECT_GE(after.all_worth, before.all_worth - 0.005);
            EXPECT_LE(after.unused, before.unused + 0.03);
            for (uint32_t i = 0; i < level_count; i++) {
                EXPECT_GE(after.served_share[i], 0.25);
            }
            if (load.bursts[0].load[0] < 2) {
                EXPECT_GE(after.worth[0], 0.93);
                EXPECT_GE(after.worth[1], 0.9);
            }
            if (load.bursts[0].load[2] == 4) {
                EXPECT_GE(after.all_worth, before.all_worth + 0.08);
            }
        }
    }
}

/* Returns what a request of level 2 leaves free. */
double
GetHeld(const Urgency &urgency, int64_t now)
{
    return Urgency_GetHeld(&urgency, 2, now);
}

/* A reserve that came late would miss a burst, and one that stayed would keep
   memory unused. */
TEST(Urgency, ReserveComesAndGoesWithTheLack)
{
    const struct {
        const char *name;
        bool are_served; /* In the end, or else they leave. */
        int64_t gone_ms; /* After the end of the lack. */
    } cases[] = {{"all find room", true, 10}, {"all leave", false, 500}};
    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        Urgency urgency = {};
        int64_t now = second;
        int64_t lacked_us[20] = {};
        EXPECT_EQ(GetHeld(urgency, now), 0);
        for (int i = 0; i < 20; i++, now += 10 * ms) {
            for (int k = 0; k <= i; k++) {
                Urgency_NoteLook(&urgency, 0, true, &lacked_us[k], now);
            }
        }
        EXPECT_GE(GetHeld(urgency, now), 1);
        EXPECT_EQ(Urgency_GetHeld(&urgency, 0, now), 0);
        EXPECT_LT(Urgency_GetHeld(&urgency, 1, now), GetHeld(urgency, now));
        EXPECT_GE(Urgency_GetLackTime(&urgency, now), 100 * ms);
        for (int k = 0; k < 20 && row.are_served; k++) {
            Urgency_NoteLook(&urgency, 0, false, &lacked_us[k], now);
        }
        now += row.gone_ms * ms;
        EXPECT_EQ(GetHeld(urgency, now), 0);
        EXPECT_EQ(Urgency_GetLackTime(&urgency, now), 0);
    }
}

/* One request that waits for a moment shows no lack. */
TEST(Urgency, FewThatLackRoomKeepLittle)
{
    Urgency urgency = {};
    int64_t lacked_us = 0;
    for (int i = 0; i < 20; i++) {
        int64_t none = 0;
        Urgency_NoteLook(&urgency, 0, false, &none, second + i * 10 * ms);
    }
    Urgency_NoteLook(&urgency, 0, true, &lacked_us, second + 200 * ms);
    EXPECT_EQ(GetHeld(urgency, second + 200 * ms), 0);
}

TEST(Urgency, LackAtOtherVmsCounts)
{
    Urgency urgency = {};
    UrgencyLooks peers = {{10, 0, 0, 0}, {10, 0, 0, 0}};
    Urgency_SetPeers(&urgency, &peers, second);
    EXPECT_GE(GetHeld(urgency, second), 1);
    peers = {};
    Urgency_SetPeers(&urgency, &peers, second);
    EXPECT_EQ(GetHeld(urgency, second), 0);
}

/* The most urgent requests alone exceed what there is, for a minute. The
   others must not starve. */
TEST(Urgency, EachLevelGetsItsShare)
{
    for (double capacity : {0.05, 0.2, 0.5, 0.9}) {
        SCOPED_TRACE(capacity);
        std::mt19937 random(1);
        std::uniform_real_distribution<double> uniform(0, 1);
        Urgency urgency = {};
        UrgencyLooks lack = {{50, 50, 50, 50}, {50, 50, 50, 50}};
        double asked[URGENCY_LEVELS_MAX] = {};
        double served[URGENCY_LEVELS_MAX] = {};
        for (int64_t now = second; now < 61 * second; now += 10 * ms) {
            uint32_t level = uniform(random) < 0.7 ? 0 : random() % 4;
            Urgency_SetPeers(&urgency, &lack, now);
            Urgency_NoteAsked(&urgency, level, now);
            asked[level]++;
            if (Urgency_GetHeld(&urgency, level, now) == 0 &&
                (level > 0 || uniform(random) < capacity)) {
                Urgency_NoteAdmitted(&urgency, level, now);
                served[level]++;
            }
        }
        double all_asked = asked[0] + asked[1] + asked[2] + asked[3];
        double all = served[0] + served[1] + served[2] + served[3];
        for (uint32_t i = 0; i < URGENCY_LEVELS_MAX; i++) {
            EXPECT_GE(served[i] / asked[i], 0.25 * all / all_asked) << i;
        }
    }
}

TEST(Urgency, LessUrgentRequestsWaitLonger)
{
    for (uint32_t i = 0; i + 1 < URGENCY_LEVELS_MAX; i++) {
        EXPECT_LT(Urgency_GetPollTime(ADMISSION_POLL_US, i, 4),
                  Urgency_GetPollTime(ADMISSION_POLL_US, i + 1, 4));
        EXPECT_LT(Urgency_GetReturnTime(second, i),
                  Urgency_GetReturnTime(second, i + 1));
    }
    EXPECT_EQ(Urgency_GetPollTime(ADMISSION_POLL_US, 0, 1), ADMISSION_POLL_US);
    EXPECT_EQ(Urgency_GetReturnTime(second, 0), second);
}

/* Part of a place is kept at part of the workers. */
TEST(Urgency, PartOfThePlacesIsKeptAtPartOfTheWorkers)
{
    std::mt19937_64 random(1);
    double sum = 0;
    for (int i = 0; i < 10000; i++) {
        uint32_t held = Urgency_GetHeldAt(1.3, random());
        EXPECT_TRUE(held == 1 || held == 2);
        sum += held;
    }
    EXPECT_NEAR(sum / 10000, 1.3, 0.03);
    EXPECT_EQ(Urgency_GetHeldAt(0, UINT64_MAX), 0u);
}

} // namespace
