/* Replays the loads of uneven workers: speeds of 0.6, 1.0 and 1.6, a worker
   that is 4 times slower for 7 s, spikes of 2.5 on 15% of the workers every
   600 ms, and step times that grow by 4% with each request. VMs choose prefill
   workers by views that are 30 to 360 ms old. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/pace.h"
#include "decide/rank.h"
}

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <random>
#include <vector>

namespace {

const int64_t ms = 1000;
const int64_t second = 1000 * ms;
const int vm_count = 58;
const int worker_count = 40;
const uint32_t prompt_tokens = 5200;
const int slow_worker = 2;            /* Of the fast ones. */
const int64_t load_age_us = 300 * ms; /* While a told pace counts. */
const int64_t learned_us = 10 * second;
const int64_t end_us = 40 * second;

struct Load {
    const char *name;
    std::vector<double> paces; /* Workers have them in turn. */
    double rate_per_s;
    bool has_spikes;
    bool has_slow;       /* A fast worker is slow from 20 s to 27 s. */
    bool tells;          /* Answers tell the pace at the moment. */
    bool tells_all;      /* What they tell includes the constant pace. */
    double median_share; /* Of the prefill time before, at most. */
    double late_share;   /* The same of the 90th percentile. */
};

struct Read {
    int vm;
    int64_t sent_us;
    int64_t end_us;
};

struct Worker {
    double pace;
    std::deque<Read> reads;
    std::vector<int64_t> told_us;
    std::vector<double> told;
    Pace learned = {};
};

struct Times {
    std::vector<int64_t> all;
    std::vector<int> served; /* By pace. */
    int slow_reads;          /* Of slow_worker while it was slow. */
};

double
GetMoment(const Load &load, int number, int64_t now_us)
{
    if (load.has_slow && number == slow_worker && now_us >= 20 * second &&
        now_us < 27 * second) {
        return 4;
    }
    if (load.has_spikes) {
        std::mt19937 random((unsigned)(now_us / (600 * ms) * 97 + number));
        random.discard(5);
        return random() % 100 < 15 ? 2.5 : 1;
    }
    return 1;
}

/* Returns the prompt tokens at a worker that a VM knows of. */
uint64_t
CountBacklog(const Worker &worker, int vm, int64_t now_us, int64_t lag_us)
{
    uint64_t tokens = 0;
    for (const Read &read : worker.reads) {
        int64_t known_us = read.vm == vm ? now_us : now_us - lag_us;
        if (read.sent_us <= known_us && read.end_us > known_us) {
            tokens += prompt_tokens;
        }
    }
    return tokens;
}

struct End {
    int64_t at_us;
    int worker;
    double low;
    double high;
};

/* One run of a load. */
class Player {
  public:
    Player(const Load &load, bool is_even_assumed, unsigned seed)
        : load_(load), is_even_assumed_(is_even_assumed), random_(seed),
          weights_(Rank_DefaultWeights()), workers_(worker_count)
    {
        times_.served.resize(load.paces.size());
        for (int i = 0; i < worker_count; i++) {
            workers_[i].pace = load.paces[i % load.paces.size()];
            workers_[i].told_us.resize(vm_count, -second);
            workers_[i].told.resize(vm_count, 0);
        }
    }

    Times
    Run()
    {
        std::exponential_distribution<double> gap(load_.rate_per_s / second);
        int64_t now_us = 0;
        while ((now_us += (int64_t)gap(random_)) < end_us) {
            Learn(now_us);
            Send((int)(random_() % vm_count), now_us);
        }
        std::sort(times_.all.begin(), times_.all.end());
        return times_;
    }

  private:
    /* Notes what hubs have merged and sent by now. */
    void
    Learn(int64_t now_us)
    {
        std::sort(ends_.begin(), ends_.end(), [](const End &a, const End &b) {
            return a.at_us < b.at_us;
        });
        while (!ends_.empty() && ends_.front().at_us <= now_us - 150 * ms) {
            Pace *learned = &workers_[ends_.front().worker].learned;
            Pace_Note(
                learned,
                Pace_GetShown(learned, ends_.front().low, ends_.front().high),
                1, now_us);
            ends_.pop_front();
        }
    }

    /* Returns the worker that a VM chooses, and the backlog that it knows. */
    int
    Choose(int vm, int64_t now_us, uint64_t *backlog)
    {
        std::uniform_real_distribution<double> unit(0, 1);
        int64_t lag_us = 30 * ms + (int64_t)(random_() % (330 * ms));
        int offset = (int)(random_() % worker_count);
        int best = -1;
        int64_t best_us = 0;
        for (int k = 0; k < worker_count; k++) {
            int i = (k + offset) % worker_count;
            Worker &worker = workers_[i];
            double usual = Pace_Get(&worker.learned);
            double told = now_us - worker.told_us[vm] < load_age_us
                              ? worker.told[vm]
                              : 0;
            RankWorker rank = {};
            while (!worker.reads.empty() &&
                   worker.reads.front().end_us < now_us - second) {
                worker.reads.pop_front();
            }
            rank.slots = 64;
            rank.prefill_tokens = CountBacklog(worker, vm, now_us, lag_us);
            rank.slowness =
                is_even_assumed_
                    ? 1
                    : usual * Pace_GetMoment(&relation_, usual, told);
            int64_t cost_us =
                Rank_GetPrefillCost(&weights_, &rank, prompt_tokens);
            if (!is_even_assumed_) {
                cost_us = Pace_SpreadCost(
                    cost_us,
                    (int64_t)(0.02 * prompt_tokens / weights_.prefill_per_us),
                    unit(random_));
                if (!Pace_IsSampled(worker_count, unit(random_))) {
                    continue;
                }
            }
            if (best < 0 || cost_us < best_us) {
                best = i;
                best_us = cost_us;
                *backlog = rank.prefill_tokens;
            }
        }
        return best < 0 ? offset : best;
    }

    void
    Send(int vm, int64_t now_us)
    {
        uint64_t backlog = 0;
        int number = Choose(vm, now_us, &backlog);
        Worker &worker = workers_[number];
        int64_t begin_us = worker.reads.empty()
                               ? now_us
                               : std::max(now_us, worker.reads.back().end_us);
        double moment = GetMoment(load_, number, begin_us);
        int64_t read_end_us =
            begin_us + (int64_t)(prompt_tokens / weights_.prefill_per_us *
                                 worker.pace * moment);
        double high = (double)(read_end_us - now_us) *
                      weights_.prefill_per_us / prompt_tokens;
        double low = high * prompt_tokens / (double)(prompt_tokens + backlog);
        worker.reads.push_back({vm, now_us, read_end_us});
        if (load_.tells) {
            double told = moment * (load_.tells_all ? worker.pace : 1);
            Pace_NoteTold(&relation_, Pace_Get(&worker.learned), told);
            worker.told_us[vm] = read_end_us;
            worker.told[vm] = told;
        }
        ends_.push_back({read_end_us, number, low, high});
        if (now_us > learned_us) {
            times_.all.push_back(read_end_us - now_us);
            times_.served[number % load_.paces.size()]++;
        }
        times_.slow_reads += number == slow_worker && now_us >= 21 * second &&
                             now_us < 27 * second;
    }

    const Load &load_;
    bool is_even_assumed_;
    std::mt19937 random_;
    RankWeights weights_;
    std::vector<Worker> workers_;
    std::deque<End> ends_;
    PaceRelation relation_ = {};
    Times times_ = {};
};

int64_t
GetQuantile(const Times &times, double share)
{
    return times.all[(size_t)(share * (double)(times.all.size() - 1))];
}

const std::vector<double> speeds = {1 / 0.6, 1, 1 / 1.6};
const Load loads[] = {
    {"speeds, calm", speeds, 121, false, false, false, false, 0.85, 0.75},
    {"speeds, burst of 1.8", speeds, 218, false, false, false, false, 0.95,
     0.75},
    {"a worker slows by 4", speeds, 121, false, true, false, false, 0.85,
     0.75},
    {"spikes, told relative", speeds, 121, true, false, true, false, 0.95,
     0.8},
    {"spikes, told with speed", speeds, 121, true, false, true, true, 0.95,
     0.8},
    {"spikes, not told", speeds, 121, true, false, false, false, 0.95, 0.8},
    {"equal workers", {1}, 121, false, false, false, false, 1.05, 1.05},
};

/* Guards against prompts that wait at slow workers while fast ones are idle,
   and against all VMs choosing the fastest worker at once. */
TEST(DecidePace, PromptsAreReadSoonerByUnevenWorkers)
{
    for (const Load &load : loads) {
        SCOPED_TRACE(load.name);
        Times before = Player(load, true, 1).Run();
        Times after = Player(load, false, 1).Run();
        for (const Times *times : {&before, &after}) {
            printf("%-24s %s: median %lld, 90%% %lld, 99%% %lld ms; by pace",
                   load.name, times == &before ? "before" : "after ",
                   (long long)(GetQuantile(*times, 0.5) / ms),
                   (long long)(GetQuantile(*times, 0.9) / ms),
                   (long long)(GetQuantile(*times, 0.99) / ms));
            for (int served : times->served) {
                printf(" %.0f%%", 100.0 * served / (double)times->all.size());
            }
            printf("; slow one %d\n", times->slow_reads);
        }
        EXPECT_LE((double)GetQuantile(after, 0.5),
                  load.median_share * (double)GetQuantile(before, 0.5));
        EXPECT_LE((double)GetQuantile(after, 0.9),
                  load.late_share * (double)GetQuantile(before, 0.9));
        EXPECT_LE(load.has_slow ? 2 * after.slow_reads : 0, before.slow_reads);
    }
}

struct GrowthCase {
    const char *name;
    double base_us;
    double growth;
    int running_min;
    int running_max;
    double longest_us;
    uint32_t least;
    uint32_t slots;
    uint32_t limit_min;
    uint32_t limit_max;
};

const GrowthCase growth_cases[] = {
    {"4% each", 40000, 0.04, 2, 40, 0, 0, 64, 20, 33},
    {"4% each, few run", 40000, 0.04, 5, 8, 0, 8, 64, 8, 64},
    {"gentle engine, full memory", 43000, 0.0053, 3, 9, 240000, 8, 64, 8, 64},
    {"events too slow for the route", 90000, 0.3, 1, 8, 200000, 8, 64, 3, 6},
    {"plain, a third each", 20000, 0.333, 1, 10, 0, 0, 32, 3, 6},
    {"plain, no growth", 20000, 0, 1, 30, 0, 0, 32, 32, 32},
};

/* Guards against limits that leave an engine's memory unused, and against none
   where a worker slows down long before it is full. */
TEST(DecidePace, LimitFollowsGrowth)
{
    for (const GrowthCase &row : growth_cases) {
        SCOPED_TRACE(row.name);
        std::mt19937 random(7);
        PaceFit fit = {};
        for (int i = 0; i < 600; i++) {
            int running = row.running_min +
                          (int)(random() % (unsigned)(row.running_max -
                                                      row.running_min + 1));
            double noise = 1 + 0.1 * ((double)(random() % 1000) / 1000 - 0.5);
            Pace_NoteTime(&fit, running,
                          row.base_us * (1 + row.growth * (running - 1)) *
                              noise);
        }
        PaceLine line = Pace_GetLine(&fit, 0);
        uint32_t limit =
            Pace_GetLimit(&line, row.longest_us, row.least, row.slots);
        EXPECT_TRUE(Pace_HasGrowth(&fit));
        EXPECT_NEAR(line.growth, row.growth, 0.02 + 0.15 * row.growth);
        EXPECT_GE(limit, row.limit_min);
        EXPECT_LE(limit, row.limit_max);
        /* Little's law: requests that arrive at the rate of the limit's
           output are as many as the limit on average. */
        double rate = limit / Pace_GetTime(&line, limit);
        EXPECT_NEAR(rate * Pace_GetTime(&line, limit), limit, 1e-6);
        /* A quarter more requests give less than a quarter more output. */
        EXPECT_LE(1.25 * limit / Pace_GetTime(&line, 1.25 * limit),
                  1.25 * rate + 1e-9);
    }
}

/* Guards against decode workers that get more than they handle well, and
   against a price where workers are alike. */
TEST(DecidePace, SlowAndFullDecodeWorkersCostMore)
{
    RankWeights weights = Rank_DefaultWeights();
    RankWorker worker = {};
    worker.slots = 64;
    worker.running = 5;
    worker.event_interval_us = 40 * ms;
    auto cost = [&](double step_pace, uint32_t limit) {
        worker.step_pace = step_pace;
        worker.limit = limit;
        return Rank_GetDecodeCost(&weights, &worker, RANK_SAME_ZONE);
    };
    int64_t alike_us = cost(0, 0);
    EXPECT_EQ(cost(1, 6), alike_us);
    EXPECT_EQ(cost(1.5, 0), alike_us + 40 * ms);
    EXPECT_LT(cost(0.6, 0), alike_us);
    EXPECT_GT(cost(1, 5), alike_us + second);
    EXPECT_GT(cost(1, 3), cost(1, 5));
}

/* Guards against waits that count as slowness, and against a fast worker that
   stays unknown. */
TEST(DecidePace, LowMeasurementsCountMost)
{
    Pace pace = {};
    std::mt19937 random(3);
    for (int i = 0; i < 200; i++) {
        /* A third waits behind prompts that the VM does not know of. */
        Pace_Note(&pace,
                  random() % 3 == 0 ? 1.6 + (double)(random() % 20) / 10 : 0.8,
                  1, i * 100 * ms);
    }
    EXPECT_GT(Pace_Get(&pace), 0.78);
    EXPECT_LT(Pace_Get(&pace), 1.15);
}

/* Two hubs get measurements of their own regions' VMs and tell each other what
   they learned. Guards against estimates that stay low as each one follows the
   other, and against a VM without measurements that knows nothing. */
TEST(DecidePace, HubsAgreeOnAWorkerThatSlows)
{
    Pace hubs[2] = {};
    Pace vm = {};
    for (int64_t now_us = 0; now_us < 40 * second; now_us += 100 * ms) {
        double multiple = now_us < 20 * second ? 0.8 : 3.2;
        for (int i = 0; i < 2; i++) {
            if (now_us / (100 * ms) % 8 == 4 * i) {
                Pace_Note(&hubs[i], multiple, 1, now_us);
            }
        }
        for (int i = 0; i < 2; i++) {
            Pace_Merge(&hubs[i], Pace_Get(&hubs[1 - i]), now_us);
        }
        Pace_Merge(&vm, Pace_Get(&hubs[0]), now_us);
        if (now_us >= 3 * second && now_us < 20 * second) {
            EXPECT_NEAR(Pace_Get(&vm), 0.8, 0.05) << now_us;
        }
    }
    for (const Pace &pace : {hubs[0], hubs[1], vm}) {
        EXPECT_NEAR(Pace_Get(&pace), 3.2, 0.2);
    }
}

TEST(DecidePace, CodesAreLogarithmicAndBounded)
{
    EXPECT_EQ(Pace_Encode(0), 0U);
    EXPECT_EQ(Pace_Encode(NAN), 0U);
    EXPECT_EQ(Pace_Decode(0), 0);
    EXPECT_EQ(Pace_Decode(256), 0);
    EXPECT_LT(Pace_DecodeGrowth(0), 0);
    EXPECT_LT(Pace_DecodeGrowth(128), 0);
    EXPECT_EQ(Pace_Encode(1e9), (uint32_t)PACE_CODE_MAX);
    for (double value : {0.25, 0.6, 1.0, 1.67, 4.0, 16.0}) {
        EXPECT_NEAR(Pace_Decode(Pace_Encode(value)) / value, 1, 0.01);
    }
    for (double value : {0.001, 0.04, 0.3, 4.0}) {
        EXPECT_NEAR(Pace_DecodeGrowth(Pace_EncodeGrowth(value)) / value, 1,
                    0.04);
    }
}

} /* namespace */
