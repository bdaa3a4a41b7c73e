/* Suspects' blame: which parts explain the crashes. See suspects_blame.h. */
#include "suspects_blame.h"

#include <stddef.h>

/* Sum of weights from which a part is blamed: two crashes as an answer began,
   or four that may have other causes. If sound answers on it are known: five,
   in a time in which another sound answer would have come. */
#define SUSPECTS_BLAME_WEIGHT 4
#define SUSPECTS_PROVEN_WEIGHT 10
/* What belongs to a request alone is blamed from this many crashes on,
   whatever their weight: if it is wrong, only that request is refused. */
#define SUSPECTS_OWN_CRASHES 2
/* Crashes that are less than this apart are of one moment. If at least this
   many other workers failed in it, as many as under the part, they failed for
   another reason, and the crashes of the moment count once. */
#define SUSPECTS_MOMENT_US (100 * CLK_US_PER_MS)
#define SUSPECTS_COMMON_OTHERS 2
/* From this many others on, twice as many as under the part, a crash under a
   part that requests share weighs as one that may have other causes. */
#define SUSPECTS_MOST_OTHERS 4
#define SUSPECTS_PROVEN_SPAN_US (2 * CLK_US_PER_S)
/* Of parts with nearly the same crashes, those later in the prompt are blamed
   first, as fewer requests share them. */
#define SUSPECTS_LIKENESS 0.6
/* The same for what belongs to a request alone: a part that many requests
   share explains more crashes than each of them. */
#define SUSPECTS_OWN_LIKENESS 0.9

/* Crashes of a part that count, one after the other. */
typedef struct SuspectsSpan {
    uint32_t crashes;
    uint32_t common; /* Those that came as other workers failed too. */
    int64_t first_us;
    int64_t last_us;
} SuspectsSpan;

static void note_common(const Suspects *suspects, SuspectsRow *row,
                        uint32_t index);
static uint32_t weigh(const Suspects *suspects, const SuspectsRow *row);
static uint32_t sum_weights(const Suspects *suspects, const SuspectsRow *row,
                            bool unexplained_only, SuspectsSpan *span);
static bool is_explained(const Suspects *suspects, uint64_t worker);
static bool is_ambiguous(const Suspects *suspects, const SuspectsRow *row);

bool
SuspectsBlame_IsOwn(const SuspectsRow *row)
{
    return row->depth >= SUSPECTS_OWN_DEPTH;
}

bool
SuspectsBlame_HasCrash(const SuspectsRow *row, uint64_t worker)
{
    for (uint32_t i = 0; i < row->crash_count; i++) {
        if (row->crashes[i].worker == worker) {
            return true;
        }
    }
    return false;
}

void
SuspectsBlame_Update(Suspects *suspects)
{
    SuspectsRow *best;

    for (uint32_t i = 0; i < suspects->row_count; i++) {
        SuspectsRow *row = &suspects->rows[i];
        row->blamed = false;
        row->common = 0;
        row->others = 0;
        for (uint32_t k = 0; k < row->crash_count && row->crash_count > 1;
             k++) {
            note_common(suspects, row, k);
        }
    }
    suspects->blamed_count = 0;
    do {
        uint32_t heaviest = 0;

        best = NULL;
        for (uint32_t i = 0; i < suspects->row_count; i++) {
            uint32_t weight = weigh(suspects, &suspects->rows[i]);
            heaviest = weight > heaviest ? weight : heaviest;
        }
        for (uint32_t i = 0; i < suspects->row_count && heaviest > 0; i++) {
            SuspectsRow *row = &suspects->rows[i];
            uint32_t weight = weigh(suspects, row);
            double likeness = SuspectsBlame_IsOwn(row) ? SUSPECTS_OWN_LIKENESS
                                                       : SUSPECTS_LIKENESS;
            if (weight > 0 && weight >= likeness * heaviest &&
                !is_ambiguous(suspects, row) &&
                (best == NULL || row->depth > best->depth ||
                 (row->depth == best->depth &&
                  weight > weigh(suspects, best)))) {
                best = row;
            }
        }
        if (best != NULL) {
            best->blamed = true;
            suspects->blamed_count++;
        }
    } while (best != NULL);
}

/* Notes whether other workers, without the part, failed at about the same time
   as this one, as many as with it, or most. */
static void
note_common(const Suspects *suspects, SuspectsRow *row, uint32_t index)
{
    const SuspectsCrash *crash = &row->crashes[index];
    uint32_t with = 0;
    uint32_t others = 0;

    for (uint32_t i = 0; i < suspects->failure_count; i++) {
        const SuspectsFailure *failure = &suspects->failures[i];
        int64_t gap_us = failure->at_us - crash->at_us;
        if (gap_us > -SUSPECTS_MOMENT_US && gap_us < SUSPECTS_MOMENT_US) {
            bool is_with = SuspectsBlame_HasCrash(row, failure->worker);
            with += is_with;
            others += !is_with;
        }
    }
    if (others >= SUSPECTS_COMMON_OTHERS && others >= with) {
        row->common |= 1u << index;
        row->others |=
            (uint32_t)(others >= SUSPECTS_MOST_OTHERS && others >= 2 * with)
            << index;
    }
}

/* Returns the weight of all crashes of a part that is to be blamed for those
   that no blamed part explains; 0 if these are too few. */
static uint32_t
weigh(const Suspects *suspects, const SuspectsRow *row)
{
    bool is_proven = row->sound_us != 0;
    uint32_t needed =
        is_proven ? SUSPECTS_PROVEN_WEIGHT : SUSPECTS_BLAME_WEIGHT;
    SuspectsSpan span;
    uint32_t weight;

    if (row->blamed || row->crash_count < SUSPECTS_OWN_CRASHES) {
        return 0;
    }
    weight = sum_weights(suspects, row, true, &span);
    if (SuspectsBlame_IsOwn(row) && !is_proven &&
        span.crashes >= SUSPECTS_OWN_CRASHES + (span.common > 0 ? 1 : 0)) {
        needed = 0;
    }
    if (weight < needed || (is_proven && span.last_us - span.first_us <
                                             SUSPECTS_PROVEN_SPAN_US)) {
        return 0;
    }
    return sum_weights(suspects, row, false, &span);
}

/* Returns the weight of the part's crashes, or of those that no blamed part
   explains. Of workers that crashed together one counts: an answer must have
   begun after the crash before, and not end in the same common crash. */
static uint32_t
sum_weights(const Suspects *suspects, const SuspectsRow *row,
            bool unexplained_only, SuspectsSpan *span)
{
    uint32_t weight = 0;
    const SuspectsCrash *next;
    bool is_last_common = false;

    *span = (SuspectsSpan){0};
    do {
        bool is_next_common = false;
        bool is_of_others = false;

        next = NULL;
        for (uint32_t i = 0; i < row->crash_count; i++) {
            const SuspectsCrash *crash = &row->crashes[i];
            bool common = (row->common >> i & 1) != 0;
            bool is_same_moment =
                is_last_common && common &&
                crash->at_us - span->last_us < SUSPECTS_MOMENT_US;
            if (crash->began_us >= span->last_us &&
                crash->at_us > span->last_us && !is_same_moment &&
                (next == NULL || crash->at_us < next->at_us) &&
                !(unexplained_only && is_explained(suspects, crash->worker))) {
                next = crash;
                is_next_common = common;
                is_of_others = common && (SuspectsBlame_IsOwn(row) ||
                                          (row->others >> i & 1) != 0);
            }
        }
        if (next != NULL) {
            is_last_common = is_next_common;
            weight += is_of_others ? (uint32_t)SUSPECTS_WEAK
                                   : (uint32_t)next->weight;
            span->crashes++;
            span->common += is_next_common;
            span->first_us =
                span->first_us == 0 ? next->at_us : span->first_us;
            span->last_us = next->at_us;
        }
    } while (next != NULL);
    return weight;
}

static bool
is_explained(const Suspects *suspects, uint64_t worker)
{
    for (uint32_t i = 0; i < suspects->row_count && suspects->blamed_count > 0;
         i++) {
        const SuspectsRow *row = &suspects->rows[i];
        if (row->blamed && SuspectsBlame_HasCrash(row, worker)) {
            return true;
        }
    }
    return false;
}

/* Whether another row has the same crashes, as that of a request which ran
   beside the cause each time. The next crash tells them apart. */
static bool
is_ambiguous(const Suspects *suspects, const SuspectsRow *row)
{
    for (uint32_t i = 0; i < suspects->row_count; i++) {
        const SuspectsRow *other = &suspects->rows[i];
        bool is_same = other != row && !other->blamed &&
                       other->depth == row->depth &&
                       other->crash_count == row->crash_count;
        for (uint32_t k = 0; k < row->crash_count && is_same; k++) {
            is_same = SuspectsBlame_HasCrash(other, row->crashes[k].worker);
        }
        if (is_same && weigh(suspects, other) > 0) {
            return true;
        }
    }
    return false;
}
