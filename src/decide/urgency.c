/* Urgency: room that is left to more urgent streams. See urgency.h. */
#include "urgency.h"

#include <math.h>
#include <string.h>

/* Keeps the share of requests that lack room low while few are known. */
#define URGENCY_PRIOR 2.0
/* Most admissions to which a level has a right: one that sent no request for
   which there was room does not take all room later. */
#define URGENCY_RIGHTS_MAX 4.0
/* Share of the usual interval between two looks of the most urgent level, and
   the increase with each further level. */
#define URGENCY_POLL_FIRST 0.6
#define URGENCY_POLL_STEP 0.4
/* Increase of the wait of a refused request with each level. */
#define URGENCY_RETURN_STEP 0.25
#define URGENCY_PRIORITY_MAX 9

static double get_lack(const Urgency *urgency, uint32_t level, int64_t now_us);
static double get_pressure(const Urgency *urgency, uint32_t level,
                           int64_t now_us);
static void note_lack(Urgency *urgency, int64_t now_us);
static void decay_shares(Urgency *urgency, int64_t now_us);
static double get_decay(int64_t since_us, int64_t now_us, double memory_us);

void
Urgency_NoteAsked(Urgency *urgency, uint32_t level, int64_t now_us)
{
    double share;

    decay_shares(urgency, now_us);
    urgency->asked++;
    /* An admission follows the request, so the share is 1 at the start. */
    share = (urgency->admitted + 1) / urgency->asked;
    urgency->rights[level] += URGENCY_SHARE_MIN * (share < 1 ? share : 1);
    if (urgency->rights[level] > URGENCY_RIGHTS_MAX) {
        urgency->rights[level] = URGENCY_RIGHTS_MAX;
    }
}

void
Urgency_NoteAdmitted(Urgency *urgency, uint32_t level, int64_t now_us)
{
    decay_shares(urgency, now_us);
    urgency->admitted++;
    urgency->rights[level] -=
        urgency->rights[level] < 1 ? urgency->rights[level] : 1;
}

void
Urgency_NoteLook(Urgency *urgency, uint32_t level, bool lacks_room,
                 int64_t *lacked_us, int64_t now_us)
{
    double *lacking = &urgency->own.lacking[level];
    /* What an earlier look of the request still counts. */
    double counted =
        *lacked_us != 0 ? get_decay(*lacked_us, now_us, URGENCY_MEMORY_US) : 0;

    urgency->own = Urgency_GetLooks(urgency, now_us);
    urgency->looked_us = now_us;
    urgency->own.all[level] += 1 - counted;
    *lacking += lacks_room ? 1 - counted : -counted;
    *lacking = *lacking > 0 ? *lacking : 0;
    *lacked_us = lacks_room ? now_us : 0;
    note_lack(urgency, now_us);
}

void
Urgency_SetPeers(Urgency *urgency, const UrgencyLooks *peers, int64_t now_us)
{
    urgency->peers = *peers;
    note_lack(urgency, now_us);
}

UrgencyLooks
Urgency_GetLooks(const Urgency *urgency, int64_t now_us)
{
    double decay = get_decay(urgency->looked_us, now_us, URGENCY_MEMORY_US);
    UrgencyLooks looks;

    for (uint32_t i = 0; i < URGENCY_LEVELS_MAX; i++) {
        looks.all[i] = decay * urgency->own.all[i];
        looks.lacking[i] = decay * urgency->own.lacking[i];
    }
    return looks;
}

double
Urgency_GetHeld(const Urgency *urgency, uint32_t level, int64_t now_us)
{
    return urgency->rights[level] >= 1
               ? 0
               : get_pressure(urgency, level, now_us) * URGENCY_HELD_MAX;
}

uint32_t
Urgency_GetHeldAt(double held, uint64_t worker)
{
    /* The upper half of a hash is a random number of 32 bits. */
    double place = (double)(worker >> 32) / 4294967296.0;

    return (uint32_t)(held + place);
}

double
Urgency_GetQueueShare(double held)
{
    return 1 / (1 + held / URGENCY_HELD_MAX);
}

int64_t
Urgency_GetLackTime(const Urgency *urgency, int64_t now_us)
{
    return urgency->lack_since_us == 0 ||
                   get_pressure(urgency, URGENCY_LEVELS_MAX - 1, now_us) == 0
               ? 0
               : now_us - urgency->lack_since_us;
}

int64_t
Urgency_GetReturnTime(int64_t lack_us, uint32_t level)
{
    return (int64_t)((1 + URGENCY_RETURN_STEP * level) * (double)lack_us);
}

int64_t
Urgency_GetPollTime(int64_t poll_us, uint32_t level, uint32_t levels)
{
    return levels < 2
               ? poll_us
               : (int64_t)((URGENCY_POLL_FIRST + URGENCY_POLL_STEP * level) *
                           (double)poll_us);
}

uint32_t
Urgency_GetWorkerPriority(uint32_t level, uint32_t levels)
{
    uint32_t steps = levels - 1;

    return (URGENCY_PRIORITY_MAX * level + steps / 2) / steps;
}

/* Returns the share of a level's recent requests that lack room. */
static double
get_lack(const Urgency *urgency, uint32_t level, int64_t now_us)
{
    double decay = get_decay(urgency->looked_us, now_us, URGENCY_MEMORY_US);
    double all = decay * urgency->own.all[level] + urgency->peers.all[level];
    double lacking =
        decay * urgency->own.lacking[level] + urgency->peers.lacking[level];

    return lacking / (all + URGENCY_PRIOR);
}

/* Returns how much is kept from a level, 0 to the number of those above it. */
static double
get_pressure(const Urgency *urgency, uint32_t level, int64_t now_us)
{
    double most = 0;

    for (uint32_t i = 0; i < level; i++) {
        double pressure = (get_lack(urgency, i, now_us) - URGENCY_LACK_MIN) /
                          (URGENCY_LACK_MAX - URGENCY_LACK_MIN);
        pressure = (pressure < 1 ? pressure : 1) * (level - i);
        most = pressure > most ? pressure : most;
    }
    return most;
}

static void
note_lack(Urgency *urgency, int64_t now_us)
{
    if (get_pressure(urgency, URGENCY_LEVELS_MAX - 1, now_us) == 0) {
        urgency->lack_since_us = 0;
    }
    else if (urgency->lack_since_us == 0) {
        urgency->lack_since_us = now_us;
    }
}

static void
decay_shares(Urgency *urgency, int64_t now_us)
{
    double decay =
        get_decay(urgency->shares_us, now_us, URGENCY_SHARE_MEMORY_US);

    urgency->asked *= decay;
    urgency->admitted *= decay;
    urgency->shares_us = now_us;
}

static double
get_decay(int64_t since_us, int64_t now_us, double memory_us)
{
    return exp((double)(since_us - now_us) / memory_us);
}
