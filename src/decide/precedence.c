/* Precedence: timely requests before late ones. See precedence.h. */
#include "precedence.h"

#include <math.h>

/* A single request that lacks capacity doesn't show a lack. */
#define PRECEDENCE_LACKING_MIN 1.0
/* Keeps the share low while few requests are known. */
#define PRECEDENCE_PRIOR 1.0

static double get_lack(const Precedence *precedence, int64_t now_us);
static double get_share(const Precedence *precedence, int64_t now_us);
static double get_decay(const Precedence *precedence, int64_t now_us);

void
Precedence_NoteTimely(Precedence *precedence, bool lacks_capacity,
                      int64_t now_us)
{
    double decay = get_decay(precedence, now_us);

    if (get_share(precedence, now_us) < PRECEDENCE_LACK_MAX) {
        precedence->lack_since_us = 0;
    }
    precedence->timely = decay * precedence->timely + 1;
    precedence->lacking = decay * precedence->lacking + lacks_capacity;
    precedence->noted_us = now_us;
    if (precedence->lack_since_us == 0 &&
        !Precedence_MayBeLate(precedence, now_us)) {
        precedence->lack_since_us = now_us;
    }
}

int64_t
Precedence_GetLateQueue(const Precedence *precedence, int64_t slo_us,
                        int64_t now_us)
{
    double share = 1 - get_lack(precedence, now_us) / PRECEDENCE_LACK_MAX;

    return share > 0 ? (int64_t)(share * PRECEDENCE_LATE_QUEUE_SHARE *
                                 (double)slo_us)
                     : 0;
}

bool
Precedence_MayBeLate(const Precedence *precedence, int64_t now_us)
{
    return get_lack(precedence, now_us) < PRECEDENCE_LACK_MAX;
}

int64_t
Precedence_GetLackTime(const Precedence *precedence, int64_t now_us)
{
    return precedence->lack_since_us == 0 ||
                   Precedence_MayBeLate(precedence, now_us)
               ? 0
               : now_us - precedence->lack_since_us;
}

/* Returns the share of the recent timely requests that lack capacity; 0 until
   more than one did. */
static double
get_lack(const Precedence *precedence, int64_t now_us)
{
    bool is_lack = precedence->lack_since_us != 0 ||
                   get_decay(precedence, now_us) * precedence->lacking >
                       PRECEDENCE_LACKING_MIN;

    return is_lack ? get_share(precedence, now_us) : 0;
}

static double
get_share(const Precedence *precedence, int64_t now_us)
{
    double decay = get_decay(precedence, now_us);

    return decay * precedence->lacking /
           (decay * precedence->timely + PRECEDENCE_PRIOR);
}

static double
get_decay(const Precedence *precedence, int64_t now_us)
{
    return exp((double)(precedence->noted_us - now_us) / PRECEDENCE_MEMORY_US);
}
