/* Holders: who asks which workers for their prompts. See holders.h. */
#include "holders.h"

#include <string.h>
#include <xxhash.h>

static uint64_t get_weight(uint64_t worker, uint64_t holder);
static bool is_final(ResumptionSurvey survey);
static bool are_covered(const Holders *holders, const HoldersAnswers *answers,
                        const uint64_t *workers, uint32_t worker_count);

void
Holders_Add(Holders *holders, uint64_t address)
{
    uint32_t at = 0;

    while (at < holders->count && holders->addresses[at] < address) {
        at++;
    }
    if (at == HOLDERS_MAX ||
        (at < holders->count && holders->addresses[at] == address)) {
        return;
    }
    holders->count += holders->count < HOLDERS_MAX;
    memmove(&holders->addresses[at + 1], &holders->addresses[at],
            (holders->count - 1 - at) * sizeof(holders->addresses[0]));
    holders->addresses[at] = address;
}

bool
Holders_Contains(const Holders *holders, uint64_t address)
{
    for (uint32_t i = 0; i < holders->count; i++) {
        if (holders->addresses[i] == address) {
            return true;
        }
    }
    return false;
}

bool
Holders_IsEqual(const Holders *a, const Holders *b)
{
    return a->count == b->count &&
           memcmp(a->addresses, b->addresses,
                  a->count * sizeof(a->addresses[0])) == 0;
}

uint32_t
Holders_GetOf(const Holders *holders, uint64_t worker,
              uint64_t of[HOLDERS_PER_WORKER])
{
    uint64_t weights[HOLDERS_PER_WORKER] = {0};
    uint32_t count = 0;

    for (uint32_t i = 0; i < holders->count; i++) {
        uint64_t address = holders->addresses[i];
        uint64_t weight = get_weight(worker, address);
        for (uint32_t k = 0; k < HOLDERS_PER_WORKER; k++) {
            if (k == count) {
                of[k] = address;
                weights[k] = weight;
                count++;
                break;
            }
            if (weight > weights[k]) {
                uint64_t next = of[k];
                uint64_t next_weight = weights[k];
                of[k] = address;
                weights[k] = weight;
                address = next;
                weight = next_weight;
            }
        }
    }
    return count;
}

bool
Holders_IsOwn(const Holders *holders, uint64_t worker)
{
    uint64_t of[HOLDERS_PER_WORKER];
    uint32_t count = Holders_GetOf(holders, worker, of);

    for (uint32_t i = 0; i < count; i++) {
        if (of[i] == holders->self) {
            return true;
        }
    }
    return false;
}

void
Holders_BeginWait(HoldersWait *wait, const Holders *known, int64_t now_us)
{
    *wait = (HoldersWait){
        .began_us = now_us,
        .since_us = now_us,
        .same_us = now_us,
        .known = *known,
    };
}

bool
Holders_HaveSettled(HoldersWait *wait, const Holders *known, int64_t now_us)
{
    int64_t known_us;

    if (!Holders_IsEqual(known, &wait->known)) {
        wait->known = *known;
        wait->same_us = now_us;
    }
    if (known->is_alone) {
        wait->since_us = now_us;
        return now_us - wait->began_us >= HOLDERS_ALONE_MAX_MS * CLK_US_PER_MS;
    }
    known_us = now_us - wait->since_us;
    return (now_us - wait->same_us >= HOLDERS_SETTLE_MS * CLK_US_PER_MS &&
            known_us >= HOLDERS_SETTLE_MS * CLK_US_PER_MS) ||
           known_us >= HOLDERS_SETTLE_MAX_MS * CLK_US_PER_MS;
}

void
Holders_NoteAnswer(HoldersAnswers *answers, const HoldersAnswer *answer)
{
    for (uint32_t i = 0; i < answers->count; i++) {
        if (answers->rows[i].holder == answer->holder) {
            answers->rows[i] = *answer;
            return;
        }
    }
    if (answers->count < HOLDERS_MAX) {
        answers->rows[answers->count++] = *answer;
    }
}

bool
Holders_HasAnswered(const HoldersAnswers *answers, uint64_t holder)
{
    for (uint32_t i = 0; i < answers->count; i++) {
        if (answers->rows[i].holder == holder) {
            return is_final(answers->rows[i].survey);
        }
    }
    return false;
}

ResumptionSurvey
Holders_Judge(const Holders *holders, const HoldersAnswers *answers,
              const uint64_t *workers, uint32_t worker_count, bool is_over,
              HoldersAnswer *kept)
{
    ResumptionSurvey found = RESUMPTION_KEPT_BY_NONE;
    bool have_all = true;

    for (uint32_t i = 0; i < answers->count; i++) {
        const HoldersAnswer *row = &answers->rows[i];
        if (row->survey == RESUMPTION_KEPT_BY_SEVERAL ||
            (row->survey == RESUMPTION_KEPT_BY_ONE_VERSION &&
             found == RESUMPTION_KEPT_BY_ONE_VERSION &&
             row->version != kept->version)) {
            found = RESUMPTION_KEPT_BY_SEVERAL;
        }
        else if (row->survey == RESUMPTION_KEPT_BY_ONE_VERSION &&
                 found == RESUMPTION_KEPT_BY_NONE) {
            found = RESUMPTION_KEPT_BY_ONE_VERSION;
            *kept = *row;
        }
    }
    for (uint32_t i = 0; i < holders->count && have_all; i++) {
        have_all = Holders_HasAnswered(answers, holders->addresses[i]);
    }
    if (found == RESUMPTION_KEPT_BY_ONE_VERSION && !is_over) {
        return are_covered(holders, answers, workers, worker_count)
                   ? found
                   : RESUMPTION_ASKING;
    }
    /* A holder that has not answered may have the record. */
    if (!have_all && !is_over) {
        return RESUMPTION_ASKING;
    }
    return found != RESUMPTION_KEPT_BY_SEVERAL &&
                   !are_covered(holders, answers, workers, worker_count)
               ? RESUMPTION_CANNOT_ASK
               : found;
}

static uint64_t
get_weight(uint64_t worker, uint64_t holder)
{
    const uint64_t pair[] = {worker, holder};

    return XXH3_64bits(pair, sizeof(pair));
}

static bool
is_final(ResumptionSurvey survey)
{
    return survey == RESUMPTION_KEPT_BY_NONE ||
           survey == RESUMPTION_KEPT_BY_ONE_VERSION ||
           survey == RESUMPTION_KEPT_BY_SEVERAL;
}

/* Whether a holder of each worker has answered for good. */
static bool
are_covered(const Holders *holders, const HoldersAnswers *answers,
            const uint64_t *workers, uint32_t worker_count)
{
    for (uint32_t i = 0; i < worker_count; i++) {
        uint64_t of[HOLDERS_PER_WORKER];
        uint32_t count = Holders_GetOf(holders, workers[i], of);
        bool is_covered = false;
        for (uint32_t k = 0; k < count; k++) {
            is_covered |= Holders_HasAnswered(answers, of[k]);
        }
        if (!is_covered) {
            return false;
        }
    }
    return true;
}
