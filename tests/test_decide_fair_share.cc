/* Tests of the fair share of accounts in a model of workers with so many
   places, at which streams wait for up to a second. The failure: one account's
   surge is served in place of the others. */
#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "decide/fair_share.h"
}

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <random>
#include <vector>

namespace {

const int accounts = 16;
const double usual_per_s = 6; /* Streams of each account. */
const double hold_s = 2;      /* Time of a stream at its place. */
const double step_s = 0.01;

/* Max-min by hand. */
TEST(FairShare, DividesWhatOthersLeave)
{
    struct {
        std::vector<double> asked;
        double capacity;
        double share;
    } cases[] = {
        {{1, 1, 1}, 6, 1},  {{1, 1, 10}, 6, 4},      {{4, 4, 4}, 6, 2},
        {{0, 2, 10}, 6, 4}, {{1, 2, 3, 10}, 8, 2.5}, {{5}, 3, 3},
        {{}, 3, 0},
    };
    for (auto &row : cases) {
        EXPECT_NEAR(FairShare_Divide(row.asked.data(),
                                     (uint32_t)row.asked.size(), row.capacity),
                    row.share, 1e-9);
    }
}

struct Served {
    double surging; /* Share of the streams of account 0 that were served. */
    double others;
    double least; /* Of any other account. */
    double all;
};

/* Runs 20 s, in the last 10 of which account 0 sends `factor` times as much.
   `places` of the usual need. */
Served
ServeOnce(double factor, double places, bool is_fair, unsigned seed)
{
    struct Waiting {
        int account;
        double until;
    };
    std::mt19937 random(seed);
    FairShare share = {};
    std::vector<double> asked(accounts), free_at;
    std::vector<double> came(accounts), served(accounts);
    std::deque<Waiting> waiting;
    double looked = 0, lacking = 0, rate = 0;
    free_at.assign((size_t)(places * accounts * usual_per_s * hold_s), 0);
    for (int step = 0; step < 20 / step_s; step++) {
        double now = step * step_s;
        double decay = std::exp(-step_s / 1.0);
        looked *= decay;
        rate *= decay;
        lacking *= decay;
        auto find = [&] {
            auto at = std::find_if(free_at.begin(), free_at.end(),
                                   [&](double until) { return until <= now; });
            return at != free_at.end() ? &*at : nullptr;
        };
        std::shuffle(waiting.begin(), waiting.end(), random);
        for (size_t i = waiting.size(); i-- > 0;) {
            double *place = find();
            if (place != nullptr) {
                *place = now + hold_s;
                served[waiting[i].account] += now >= 12;
                rate += 1;
            }
            else if (now < waiting[i].until) {
                continue;
            }
            waiting.erase(waiting.begin() + (long)i);
        }
        for (int i = 0; i < accounts; i++) {
            double per_s = usual_per_s * (i == 0 && now >= 10 ? factor : 1);
            asked[i] *= decay;
            std::poisson_distribution<int> arrivals(per_s * step_s);
            for (int n = arrivals(random); n > 0; n--) {
                asked[i] += 1;
                came[i] += now >= 12;
                if (is_fair &&
                    std::uniform_real_distribution<>()(random) >=
                        FairShare_GetProbability(&share, asked[i])) {
                    continue;
                }
                looked += 1;
                double *place = find();
                if (place != nullptr) {
                    *place = now + hold_s;
                    served[i] += now >= 12;
                    rate += 1;
                }
                else {
                    lacking += 1;
                    waiting.push_back({i, now + 1});
                }
            }
        }
        FairShareLoad load = {looked, lacking, rate, 1};
        std::vector<double> copy = asked;
        FairShare_Update(&share, &load, copy.data(), accounts,
                         (int64_t)((now + 1) * CLK_US_PER_S));
    }
    Served result = {served[0] / came[0], 0, 1,
                     std::accumulate(served.begin(), served.end(), 0.0) /
                         std::accumulate(came.begin(), came.end(), 0.0)};
    for (int i = 1; i < accounts; i++) {
        result.others += served[i] / came[i] / (accounts - 1);
        result.least = std::min(result.least, served[i] / came[i]);
    }
    return result;
}

/* Returns the means of some runs. */
Served
Serve(double factor, double places, bool is_fair)
{
    const unsigned runs = 6;
    Served mean = {};
    for (unsigned seed = 1; seed <= runs; seed++) {
        Served one = ServeOnce(factor, places, is_fair, seed);
        mean.surging += one.surging / runs;
        mean.others += one.others / runs;
        mean.least += one.least / runs;
        mean.all += one.all / runs;
    }
    return mean;
}

/* Guards against a surge that takes the others' room, against limits while
   there is room, and against an account that gets nothing. */
TEST(FairShare, SurgeOfOneAccountCostsTheOthersLittle)
{
    for (double factor : {1.0, 3.0, 10.0}) {
        for (double places : {0.9, 1.2, 1.5}) {
            SCOPED_TRACE(testing::Message() << factor << "x, " << places);
            Served with = Serve(factor, places, true);
            Served without = Serve(factor, places, false);
            printf("%4.0fx load, %.1f of the room: others %.3f (least %.3f), "
                   "surging %.3f; without: %.3f, %.3f\n",
                   factor, places, with.others, with.least, with.surging,
                   without.others, without.surging);
            EXPECT_GE(with.others, without.others - 0.03);
            if (factor > 1 && places > 1) {
                EXPECT_GE(with.others, 0.95);
            }
            if (factor == 1 && places > 1) {
                EXPECT_GE(with.others, 0.999);
            }
            EXPECT_GE(with.surging, 0.25 * with.all);
        }
    }
}

} // namespace
