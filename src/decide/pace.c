/* Pace: speed of workers and its growth with load. See pace.h. */
#include "pace.h"

#include <math.h>

/* Measurements of a group. The estimate is the lowest of the present and the
   last group: a slower worker shows after one to two groups. */
#define PACE_GROUP 5
/* Least time of a group. VMs whose views are old send many prompts to a worker
   at once, of which all but the first wait. */
#define PACE_GROUP_US 1500000
/* A group that is not full by then starts anew. */
#define PACE_GROUP_MAX_US 10000000
/* Share of the way to it that the estimate moves with a measurement. */
#define PACE_DOWN 0.7
#define PACE_UP 0.5
#define PACE_WEIGHT_MAX 64.0
/* Share by which what another VM tells moves the estimate. */
#define PACE_MERGE 0.5
/* How long after a full group other VMs' words are not needed. */
#define PACE_RECENT_US 5000000
#define PACE_LOGGED_STEP 1.5
/* Decay of the older pairs of a relation with each one, and the sum of squares
   that stands for no relation. */
#define PACE_RELATION_DECAY 0.995
#define PACE_RELATION_PRIOR 0.5
/* Decay of the older times of a fit with each one. */
#define PACE_FIT_DECAY 0.99
/* Variance x weight that the prior growth counts. */
#define PACE_FIT_PRIOR 8.0
#define PACE_FIT_WEIGHT_MIN 20.0
#define PACE_FIT_VARIANCE_MIN 0.5
#define PACE_BASE_SHARE_MIN 0.1 /* Of the mean time. */
#define PACE_GROWTH_MIN 0.001
#define PACE_GROWTH_MAX 4.0
/* Growth below which engines run as many requests as their memory holds. A
   measured growth of few requests is uncertain by about as much. */
#define PACE_GROWTH_GENTLE 0.1
/* Random parts of costs are at most this multiple of their scale. */
#define PACE_SPREAD_MAX 4.0

static double get_log(double multiple);
static double clamp(double value, double min, double max);

double
Pace_Get(const Pace *pace)
{
    return pace->weight > 0 ? exp(pace->log) : 1.0;
}

bool
Pace_Note(Pace *pace, double multiple, uint32_t count, int64_t now_us)
{
    double step = log(PACE_LOGGED_STEP);
    double before = floor(pace->log / step + 0.5);
    double low = get_log(multiple);

    if (!(multiple > 0) || count == 0) {
        return false;
    }
    if (now_us - pace->began_us > PACE_GROUP_MAX_US) {
        pace->count = 0;
    }
    if (pace->count == 0) {
        pace->began_us = now_us;
    }
    pace->lows[0] = pace->count > 0 ? fmin(pace->lows[0], low) : low;
    pace->count += count;
    low =
        pace->has_before ? fmin(pace->lows[0], pace->lows[1]) : pace->lows[0];
    pace->log += (pace->weight == 0 ? 1
                  : low < pace->log ? PACE_DOWN
                                    : PACE_UP) *
                 (low - pace->log);
    pace->weight = fmin(pace->weight + count, PACE_WEIGHT_MAX);
    if (pace->count >= PACE_GROUP &&
        now_us - pace->began_us >= PACE_GROUP_US) {
        pace->lows[1] = pace->lows[0];
        pace->has_before = true;
        pace->count = 0;
        pace->full_us = now_us;
    }
    return floor(pace->log / step + 0.5) != before;
}

double
Pace_GetShown(const Pace *pace, double low, double high)
{
    double usual = Pace_Get(pace);

    if (low >= high) {
        return high;
    }
    return usual > high ? high : usual < low ? low : usual;
}

void
Pace_Merge(Pace *pace, double multiple, int64_t now_us)
{
    double told = get_log(multiple);

    if (!(multiple > 0) ||
        (pace->full_us != 0 && now_us - pace->full_us < PACE_RECENT_US)) {
        return;
    }
    pace->log += pace->weight == 0 ? told : PACE_MERGE * (told - pace->log);
    pace->weight = fmax(pace->weight, PACE_GROUP);
    /* Until a group is full, measurements here can only lower the estimate. */
    pace->lows[1] = told;
    pace->has_before = true;
}

void
Pace_AddToSum(PaceSum *sum, double multiple)
{
    double log_multiple = get_log(multiple);

    if (multiple > 0) {
        sum->log =
            sum->count > 0 ? fmin(sum->log, log_multiple) : log_multiple;
        sum->count++;
    }
}

double
Pace_GetLowest(const PaceSum *sum)
{
    return sum->count > 0 ? exp(sum->log) : 0;
}

uint32_t
Pace_Encode(double multiple)
{
    double range = log(PACE_MAX / PACE_MIN);
    double place = (get_log(multiple) - log(PACE_MIN)) / range;

    return multiple > 0 ? 1 + (uint32_t)lround(place * (PACE_CODE_MAX - 1))
                        : 0;
}

double
Pace_Decode(uint32_t code)
{
    double range = log(PACE_MAX / PACE_MIN);

    if (code == 0 || code > PACE_CODE_MAX) {
        return 0;
    }
    return PACE_MIN * exp(range * (code - 1) / (PACE_CODE_MAX - 1));
}

uint32_t
Pace_EncodeGrowth(double growth)
{
    double range = log(PACE_GROWTH_MAX / PACE_GROWTH_MIN);
    double place;

    if (!(growth >= 0)) {
        return 0;
    }
    place = log(clamp(growth, PACE_GROWTH_MIN, PACE_GROWTH_MAX) /
                PACE_GROWTH_MIN) /
            range;
    return 1 + (uint32_t)lround(place * (PACE_GROWTH_CODE_MAX - 1));
}

double
Pace_DecodeGrowth(uint32_t code)
{
    double range = log(PACE_GROWTH_MAX / PACE_GROWTH_MIN);

    if (code == 0 || code > PACE_GROWTH_CODE_MAX) {
        return -1;
    }
    return PACE_GROWTH_MIN *
           exp(range * (code - 1) / (PACE_GROWTH_CODE_MAX - 1));
}

void
Pace_NoteTold(PaceRelation *relation, double usual, double told)
{
    double log_usual = get_log(usual);

    if (usual > 0 && told > 0) {
        relation->products = PACE_RELATION_DECAY * relation->products +
                             log_usual * get_log(told);
        relation->squares =
            PACE_RELATION_DECAY * relation->squares + log_usual * log_usual;
    }
}

double
Pace_GetMoment(const PaceRelation *relation, double usual, double told)
{
    double share = clamp(
        relation->products / (relation->squares + PACE_RELATION_PRIOR), 0, 1);

    if (!(told > 0)) {
        return 1;
    }
    return exp(get_log(told) - share * get_log(usual));
}

void
Pace_NoteTime(PaceFit *fit, double running, double time_us)
{
    if (!(time_us > 0) || !(running >= 1)) {
        return;
    }
    fit->weight = PACE_FIT_DECAY * fit->weight + 1;
    fit->running = PACE_FIT_DECAY * fit->running + running;
    fit->time_us = PACE_FIT_DECAY * fit->time_us + time_us;
    fit->running_squared =
        PACE_FIT_DECAY * fit->running_squared + running * running;
    fit->running_time = PACE_FIT_DECAY * fit->running_time + running * time_us;
}

PaceLine
Pace_GetLine(const PaceFit *fit, double prior_growth)
{
    PaceLine line = {0};
    double mean;
    double mean_us;
    double squares;
    double products;
    double prior_us;
    double slope_us;

    if (!(fit->weight > 0)) {
        return line;
    }
    mean = fit->running / fit->weight;
    mean_us = fit->time_us / fit->weight;
    squares = fmax(0, fit->running_squared - mean * fit->running);
    products = fit->running_time - mean * fit->time_us;
    prior_us = mean_us / (1 + prior_growth * (mean - 1)) * prior_growth;
    slope_us =
        (products + PACE_FIT_PRIOR * prior_us) / (squares + PACE_FIT_PRIOR);
    slope_us = fmax(0, slope_us);
    line.base_us =
        fmax(mean_us - slope_us * (mean - 1), PACE_BASE_SHARE_MIN * mean_us);
    line.growth = fmin(slope_us / line.base_us, PACE_GROWTH_MAX);
    return line;
}

bool
Pace_HasGrowth(const PaceFit *fit)
{
    double mean = fit->weight > 0 ? fit->running / fit->weight : 0;

    return fit->weight >= PACE_FIT_WEIGHT_MIN &&
           fit->running_squared - mean * fit->running >=
               PACE_FIT_VARIANCE_MIN * fit->weight;
}

double
Pace_GetTime(const PaceLine *line, double running)
{
    return line->base_us * (1 + line->growth * fmax(0, running - 1));
}

uint32_t
Pace_GetLimit(const PaceLine *line, double longest_us, uint32_t least,
              uint32_t slots)
{
    double limit = slots;

    if (!(line->base_us > 0) || line->growth < PACE_GROWTH_MIN) {
        return slots;
    }
    /* Output is n / time. The time grows by a larger share than the output
       from the number on at which all but the first request have doubled it.
     */
    limit = fmin(limit, 1 / line->growth + 1);
    if (line->growth < PACE_GROWTH_GENTLE) {
        limit = fmax(limit, fmin(least, slots));
    }
    if (longest_us > 0) {
        limit =
            fmin(limit, 1 + (longest_us / line->base_us - 1) / line->growth);
    }
    return (uint32_t)clamp(limit, slots > 0 ? 1 : 0, slots);
}

bool
Pace_IsSampled(uint32_t candidates, double random)
{
    return random * candidates < PACE_SAMPLE;
}

int64_t
Pace_SpreadCost(int64_t cost_us, int64_t scale_us, double random)
{
    return cost_us +
           (int64_t)((double)scale_us *
                     fmin(-log(clamp(1 - random, 1e-9, 1)), PACE_SPREAD_MAX));
}

static double
get_log(double multiple)
{
    return multiple > 0 ? log(clamp(multiple, PACE_MIN, PACE_MAX)) : 0;
}

static double
clamp(double value, double min, double max)
{
    return value < min ? min : value > max ? max : value;
}
