/* Reach: whether a VM is cut off from a service. See reach.h. */
#include "reach.h"

static bool may_check(const ReachRound *round, uint64_t worker,
                      ReachReason reason, uint32_t max);
static void swap(ReachWorker *a, ReachWorker *b);

bool
Reach_IsSuspicious(const ReachWorker *workers, uint32_t count)
{
    int64_t heard_us = 0;
    int64_t unanswered_us = 0;

    for (uint32_t i = 0; i < count; i++) {
        if (workers[i].heard_us > heard_us) {
            heard_us = workers[i].heard_us;
        }
        if (workers[i].unanswered_us > unanswered_us) {
            unanswered_us = workers[i].unanswered_us;
        }
    }
    return unanswered_us > heard_us;
}

uint32_t
Reach_ChooseSample(ReachWorker *workers, uint32_t count)
{
    uint32_t chosen = count < REACH_SAMPLE_MAX ? count : REACH_SAMPLE_MAX;

    for (uint32_t i = 0; i < chosen; i++) {
        uint32_t best = i;
        for (uint32_t k = i + 1; k < count; k++) {
            bool is_better = i < REACH_SAMPLE_HEARD_MAX
                                 ? workers[k].heard_us > workers[best].heard_us
                                 : workers[k].random > workers[best].random;
            best = is_better ? k : best;
        }
        swap(&workers[i], &workers[best]);
    }
    return chosen;
}

bool
Reach_NeedsCheck(const ReachRound *round, uint64_t worker, int64_t told_us)
{
    return round->began_us != 0 &&
           told_us > round->began_us - REACH_ALIVE_US &&
           may_check(round, worker, REACH_TOLD, REACH_TOLD_CHECKS_MAX);
}

bool
Reach_NeedsOwnCheck(const ReachRound *round, uint64_t worker, int64_t heard_us)
{
    return round->began_us != 0 && heard_us > round->began_us &&
           may_check(round, worker, REACH_HEARD, REACH_OWN_CHECKS_MAX);
}

ReachVerdict
Reach_Judge(const ReachRound *round, const ReachOthers *others, int64_t now_us)
{
    bool is_sample_pending = false;
    bool is_check_pending = false;
    uint32_t told = 0;
    uint32_t live = 0;

    for (uint32_t i = 0; i < round->count; i++) {
        const ReachProbe *probe = &round->probes[i];
        int64_t after_us = probe->began_us + REACH_DELAY_US;
        if (probe->outcome == REACH_CONNECTED) {
            return REACH_OPEN;
        }
        if (probe->reason == REACH_SAMPLE) {
            is_sample_pending |= probe->outcome == REACH_PENDING;
        }
        else if (probe->outcome == REACH_PENDING) {
            is_check_pending = true;
        }
        else {
            live += probe->heard_us > after_us;
            told += probe->told_us > after_us;
        }
    }
    if (round->count == 0 || is_sample_pending) {
        return REACH_UNDECIDED;
    }
    if (live >= REACH_LIVE_MIN || told >= REACH_TOLD_MIN) {
        return REACH_CUT;
    }
    if (is_check_pending) {
        return REACH_UNDECIDED;
    }
    if (told > 0) {
        return REACH_CUT;
    }
    if (now_us < round->failed_us + REACH_ANSWER_US) {
        return REACH_UNDECIDED;
    }
    /* VMs of an earlier version say nothing of the workers that they hear. */
    return others->silent > 0 && others->mute > 0 ? REACH_CUT : REACH_LOST;
}

/* Whether the worker was not tried for a reason other than the sample yet, and
   few were for this reason. */
static bool
may_check(const ReachRound *round, uint64_t worker, ReachReason reason,
          uint32_t max)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < round->count; i++) {
        const ReachProbe *probe = &round->probes[i];
        if (probe->reason != REACH_SAMPLE && probe->worker == worker) {
            return false;
        }
        count += probe->reason == reason;
    }
    return count < max && round->count < REACH_PROBES_MAX;
}

static void
swap(ReachWorker *a, ReachWorker *b)
{
    ReachWorker c = *a;

    *a = *b;
    *b = c;
}
