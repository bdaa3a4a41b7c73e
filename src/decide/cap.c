/* Cap: estimate of an account's token bucket. See cap.h. */
#include "cap.h"

#include <math.h>
#include <string.h>

/* Rates below this share of the cap's rate count as none. */
#define CAP_IDLE_SHARE 0.002

static void advance(Cap *cap, int64_t now_us);
static double get_decay(int64_t from_us, int64_t to_us, int64_t memory_us);
static double get_top(const Cap *cap);
static double get_free_level(const Cap *cap);
static double get_share(Cap *cap, double probability, uint32_t priority);
static void note_mix(Cap *cap, double amount, uint32_t priority,
                     int64_t now_us);

double
Cap_GetReserve(double rate_per_s, double burst, double excess,
               int64_t window_us)
{
    double allowed = rate_per_s * (double)window_us / CLK_US_PER_S + burst;

    return allowed * excess * CAP_RESERVE_SHARE;
}

void
Cap_Init(Cap *cap, const CapOptions *options, bool is_empty, int64_t now_us)
{
    memset(cap, 0, sizeof(*cap));
    cap->options = *options;
    cap->others.share = 1.0;
    cap->level = is_empty ? 0.0 : options->burst;
    cap->level_us = now_us;
    cap->told_us = now_us;
    cap->mix_us = now_us;
}

void
Cap_SetOptions(Cap *cap, const CapOptions *options, int64_t now_us)
{
    advance(cap, now_us);
    cap->options = *options;
    cap->level = fmin(cap->level, get_top(cap));
}

void
Cap_SetOthers(Cap *cap, const CapOthers *others, int64_t now_us)
{
    advance(cap, now_us);
    cap->others = *others;
    cap->level = fmin(cap->level, get_top(cap));
}

double
Cap_GetLevel(const Cap *cap, int64_t now_us)
{
    double passed_s = (double)(now_us - cap->level_us) / CLK_US_PER_S;
    double growth = cap->options.rate_per_s * cap->others.share -
                    cap->others.admitted_per_s;

    return passed_s <= 0 ? cap->level
                         : fmin(cap->level + growth * passed_s, get_top(cap));
}

double
Cap_GetAsked(const Cap *cap, int64_t now_us)
{
    double decay = get_decay(cap->told_us, now_us, CAP_MEMORY_US);

    return cap->told.asked_per_s * decay +
           cap->new_asked * CLK_US_PER_S / CAP_MEMORY_US +
           fmax(0, cap->others.asked_per_s);
}

double
Cap_GetProbability(const Cap *cap, double amount, int64_t now_us)
{
    double rate = cap->options.rate_per_s * cap->others.share;
    double reserve = cap->options.reserve * cap->others.share;
    double free_level = get_free_level(cap);
    double level = Cap_GetLevel(cap, now_us) + reserve;
    /* Where a request is more than the rate allows in the time to give back,
       as at a VM that hears no other, requests come too rarely for a rate. */
    double asked = fmax(Cap_GetAsked(cap, now_us),
                        amount * CLK_US_PER_S / CAP_GIVE_BACK_US);
    double part = 1.0;
    double base;

    if (level >= free_level) {
        return 1.0;
    }
    if (level < 0) {
        part = 1.0 + level * CLK_US_PER_S / (rate * CAP_GIVE_BACK_US);
        part = fmax(part, CAP_GIVE_BACK_MIN);
    }
    base = asked > rate * part ? rate * part / asked : 1.0;
    return level <= 0 ? base : base + (1.0 - base) * level / free_level;
}

bool
Cap_Admit(Cap *cap, double amount, uint32_t priority, double draw,
          int64_t now_us, double *probability)
{
    double p;

    advance(cap, now_us);
    /* The request itself is left out: at small rates it would be a large part
       of what is requested. */
    p = Cap_GetProbability(cap, amount, now_us);
    note_mix(cap, amount, priority, now_us);
    p = get_share(cap, p, priority);
    if (probability != NULL) {
        *probability = p;
    }
    cap->new_asked += amount;
    if (draw >= p) {
        return false;
    }
    cap->new_admitted += amount;
    cap->level -= amount;
    return true;
}

void
Cap_NoteSent(Cap *cap, double amount, int64_t now_us)
{
    advance(cap, now_us);
    cap->new_asked += amount;
    cap->new_admitted += amount;
    cap->level -= amount;
}

void
Cap_GiveBack(Cap *cap, double amount, int64_t now_us)
{
    advance(cap, now_us);
    cap->new_admitted -= amount;
    cap->level = fmin(cap->level + amount, get_top(cap));
}

CapRates
Cap_Report(Cap *cap, int64_t now_us)
{
    double decay = get_decay(cap->told_us, now_us, CAP_MEMORY_US);
    double per_unit = (double)CLK_US_PER_S / CAP_MEMORY_US;
    double least = cap->options.rate_per_s * CAP_IDLE_SHARE;
    CapRates told = {
        .asked_per_s =
            cap->told.asked_per_s * decay + cap->new_asked * per_unit,
        .admitted_per_s =
            cap->told.admitted_per_s * decay + cap->new_admitted * per_unit,
    };

    told.asked_per_s = told.asked_per_s < least ? 0 : told.asked_per_s;
    told.admitted_per_s =
        fabs(told.admitted_per_s) < least ? 0 : told.admitted_per_s;
    cap->new_asked = 0;
    cap->new_admitted = 0;
    cap->told = told;
    cap->told_us = now_us;
    return told;
}

CapRates
Cap_GetTold(const Cap *cap, int64_t now_us)
{
    double decay = get_decay(cap->told_us, now_us, CAP_MEMORY_US);
    CapRates told = {cap->told.asked_per_s * decay,
                     cap->told.admitted_per_s * decay};

    return told;
}

double
Cap_NoteHeard(CapHearing *hearing, uint32_t vms, uint32_t most_vms,
              int64_t now_us)
{
    int64_t slot = now_us / CAP_HEARD_SLOT_US;
    uint32_t known = vms;
    uint32_t *now;

    if (slot - hearing->slot > CAP_HEARD_SLOTS) {
        hearing->slot = slot - CAP_HEARD_SLOTS;
    }
    while (hearing->slot < slot) {
        hearing->slot++;
        hearing->most[hearing->slot % CAP_HEARD_SLOTS] = 0;
    }
    now = &hearing->most[slot % CAP_HEARD_SLOTS];
    *now = vms > *now ? vms : *now;
    for (uint32_t i = 0; i < CAP_HEARD_SLOTS; i++) {
        known = hearing->most[i] > known ? hearing->most[i] : known;
    }
    if (vms >= CAP_HEARD_SHARE * known) {
        return 1.0;
    }
    known = most_vms > 0 && most_vms < known ? most_vms : known;
    return vms < known ? (double)vms / known : 1.0;
}

int64_t
Cap_GetFreeTime(const Cap *cap, int64_t now_us)
{
    double rate = cap->options.rate_per_s * cap->others.share;
    double missing = get_free_level(cap) -
                     cap->options.reserve * cap->others.share -
                     Cap_GetLevel(cap, now_us);

    return missing > 0 ? (int64_t)(missing / rate * CLK_US_PER_S) : 0;
}

bool
Cap_IsIdle(const Cap *cap, int64_t now_us)
{
    double decay = get_decay(cap->told_us, now_us, CAP_MEMORY_US);
    double least = cap->options.rate_per_s * CAP_IDLE_SHARE;

    return cap->new_asked == 0 && cap->new_admitted == 0 &&
           cap->told.asked_per_s * decay < least &&
           fabs(cap->told.admitted_per_s) * decay < least &&
           cap->others.asked_per_s < least &&
           fabs(cap->others.admitted_per_s) < least &&
           Cap_GetLevel(cap, now_us) >= get_top(cap);
}

static void
advance(Cap *cap, int64_t now_us)
{
    cap->level = Cap_GetLevel(cap, now_us);
    cap->level_us = now_us > cap->level_us ? now_us : cap->level_us;
}

static double
get_decay(int64_t from_us, int64_t to_us, int64_t memory_us)
{
    return to_us > from_us ? exp(-(double)(to_us - from_us) / memory_us) : 1.0;
}

/* Returns the highest level. */
static double
get_top(const Cap *cap)
{
    return cap->options.burst * cap->others.share;
}

static double
get_free_level(const Cap *cap)
{
    return get_top(cap) * CAP_FREE_SHARE;
}

/* Returns the probability for a request of this priority, if all priorities
   of the recent mix together are admitted with the given one. */
static double
get_share(Cap *cap, double probability, uint32_t priority)
{
    uint32_t row = priority < CAP_PRIORITIES ? priority : CAP_PRIORITIES - 1;
    double least = probability * CAP_PRIORITY_MIN;
    double total = 0;
    double left;

    for (uint32_t i = 0; i < CAP_PRIORITIES; i++) {
        total += cap->mix[i];
    }
    left = (probability - least) * total;
    for (uint32_t i = 0; i < row; i++) {
        left -= (1.0 - least) * cap->mix[i];
    }
    if (left <= 0 || cap->mix[row] <= 0) {
        return least;
    }
    return fmin(1.0, least + left / cap->mix[row]);
}

static void
note_mix(Cap *cap, double amount, uint32_t priority, int64_t now_us)
{
    uint32_t row = priority < CAP_PRIORITIES ? priority : CAP_PRIORITIES - 1;
    double decay = get_decay(cap->mix_us, now_us, CAP_MIX_US);

    for (uint32_t i = 0; i < CAP_PRIORITIES; i++) {
        cap->mix[i] *= decay;
    }
    cap->mix[row] += amount;
    cap->mix_us = now_us;
}
