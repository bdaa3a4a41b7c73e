/* Throttle: a worker's limit of requests a second. See throttle.h. */
#include "throttle.h"

/* What all VMs together keep while no request comes: a number of requests, and
   those of this time. */
#define THROTTLE_KEEP 2.0
#define THROTTLE_KEEP_US (500 * CLK_US_PER_MS)
/* A request that may be sent and isn't is forgone after this time. */
#define THROTTLE_OPEN_MAX_US (2 * CLK_US_PER_S)
/* Most requests that had to be sent and are made up for. */
#define THROTTLE_DEBT_MAX 8.0

static double get_rate(const Throttle *throttle, double share);
static double get_fresh(const Throttle *throttle, double share,
                        int64_t now_us);

bool
Throttle_NoteLimit(Throttle *throttle, double limit, int64_t told_us,
                   double fraction, int64_t now_us)
{
    bool was_limited = Throttle_IsLimited(throttle);
    double kept = limit == THROTTLE_NONE       ? 0.0
                  : limit < THROTTLE_LIMIT_MIN ? THROTTLE_LIMIT_MIN
                                               : limit;
    bool changed = kept != throttle->limit;

    if (told_us < throttle->told_us || (kept == 0.0 && !was_limited) ||
        (kept == 0.0 && told_us - throttle->told_us < THROTTLE_HOLD_US)) {
        return false;
    }
    throttle->told_us = told_us;
    throttle->limit = kept;
    if (!was_limited) {
        throttle->credit = fraction;
        throttle->refilled_us = now_us;
        throttle->open_us = 0;
    }
    return changed;
}

bool
Throttle_IsLimited(const Throttle *throttle)
{
    return throttle->limit > 0.0;
}

bool
Throttle_IsOpen(Throttle *throttle, double share, int64_t now_us)
{
    if (!Throttle_IsLimited(throttle)) {
        return true;
    }
    throttle->credit += get_fresh(throttle, share, now_us);
    throttle->refilled_us = now_us;
    if (throttle->credit < 1.0) {
        throttle->open_us = 0;
        return false;
    }
    if (throttle->open_us != 0 &&
        now_us - throttle->open_us > THROTTLE_OPEN_MAX_US) {
        throttle->credit = 0.0;
        throttle->open_us = 0;
        return false;
    }
    if (throttle->open_us == 0) {
        throttle->open_us = now_us;
    }
    if (throttle->credit > 1.0) {
        throttle->credit = 1.0;
    }
    return true;
}

void
Throttle_Charge(Throttle *throttle)
{
    if (!Throttle_IsLimited(throttle)) {
        return;
    }
    throttle->credit -= 1.0;
    throttle->open_us = 0;
    if (throttle->credit < -THROTTLE_DEBT_MAX) {
        throttle->credit = -THROTTLE_DEBT_MAX;
    }
}

int64_t
Throttle_GetOpenTime(const Throttle *throttle, double share, int64_t now_us)
{
    double missing =
        1.0 - throttle->credit - get_fresh(throttle, share, now_us);

    return !Throttle_IsLimited(throttle) || missing <= 0.0
               ? now_us
               : now_us + (int64_t)(missing / get_rate(throttle, share));
}

/* Returns what this VM may send, requests a microsecond. */
static double
get_rate(const Throttle *throttle, double share)
{
    return THROTTLE_USE * throttle->limit * share / CLK_US_PER_S;
}

static double
get_fresh(const Throttle *throttle, double share, int64_t now_us)
{
    double fresh =
        get_rate(throttle, share) * (double)(now_us - throttle->refilled_us);
    double fresh_max =
        THROTTLE_KEEP * share + get_rate(throttle, share) * THROTTLE_KEEP_US;

    return fresh < fresh_max ? fresh : fresh_max;
}
