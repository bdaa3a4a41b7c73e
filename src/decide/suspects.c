/* Suspects: parts of prompts that crash workers. See suspects.h. */
#include "suspects_blame.h"

#include <stddef.h>
#include <string.h>

/* Failures that are older show nothing of a new crash. */
#define SUSPECTS_FAILURE_KEEP_US (60 * CLK_US_PER_S)
/* Time from the last crash to the request that is let through, by the number
   of crashes. */
#define SUSPECTS_PROBE_MIN_US (10 * CLK_US_PER_S)
#define SUSPECTS_PROBE_FACTOR 4
#define SUSPECTS_PROBE_MAX_US (3600 * CLK_US_PER_S)
/* The VMs let a request through one after the other, spread over this time, so
   that the others learn of the first one. */
#define SUSPECTS_PROBE_SPREAD_US (2 * CLK_US_PER_S)
/* How long crashes are kept, how long those of a blamed part, and how long a
   change is sent to the other VMs. */
#define SUSPECTS_KEEP_US (600 * CLK_US_PER_S)
#define SUSPECTS_KEEP_BLAMED_US (2 * SUSPECTS_PROBE_MAX_US)
#define SUSPECTS_NEWS_US (3 * CLK_US_PER_S)
/* A single crash is told for this time only, however late it was heard. */
#define SUSPECTS_SINGLE_NEWS_US (2 * SUSPECTS_NEWS_US)
/* Between two searches for expired rows. */
#define SUSPECTS_PRUNE_US CLK_US_PER_S
/* Share of a message for blamed rows that are no news, for VMs that start. */
#define SUSPECTS_BLAMED_SHARE 4

static bool is_news(const SuspectsRow *row, int64_t now_us);
static bool is_told_before(const SuspectsRow *row, const SuspectsRow *other);
static void note_change(SuspectsRow *row, int64_t now_us);
static SuspectsRow *find_row(const Suspects *suspects, uint64_t part);
static SuspectsRow *get_or_add_row(Suspects *suspects, uint64_t part,
                                   uint32_t depth, int64_t now_us);
static bool add_crash(SuspectsRow *row, const SuspectsCrash *crash);
static bool note_row_sound(SuspectsRow *row, int64_t at_us);
static int64_t get_last_us(const SuspectsRow *row);
static bool is_expired(const SuspectsRow *row, int64_t now_us);
static void drop_expired(Suspects *suspects, int64_t now_us);
static bool add_failure(Suspects *suspects, uint64_t worker, int64_t at_us,
                        int64_t now_us);
static bool is_settled(const SuspectsRow *row, int64_t now_us);
static int64_t get_probe_us(const Suspects *suspects, const SuspectsRow *row);
static SuspectsSound *get_sound_slot(const Suspects *suspects, uint64_t part);

void
Suspects_Init(Suspects *suspects, uint64_t vm)
{
    memset(suspects, 0, sizeof(*suspects));
    suspects->vm = vm;
}

void
Suspects_BeginLearning(Suspects *suspects, int64_t now_us)
{
    suspects->learn_until_us = now_us + SUSPECTS_LEARN_US;
}

void
Suspects_EndLearning(Suspects *suspects)
{
    suspects->learn_until_us = 0;
}

bool
Suspects_IsLearning(const Suspects *suspects, int64_t now_us)
{
    return now_us < suspects->learn_until_us;
}

SuspectsWeight
Suspects_Rate(bool has_head, int64_t first_event_us, int64_t now_us)
{
    if (first_event_us == 0) {
        return has_head ? SUSPECTS_FULL : SUSPECTS_WEAK;
    }
    return now_us - first_event_us < SUSPECTS_BEGIN_US ? SUSPECTS_WEAK
                                                       : SUSPECTS_NONE;
}

void
Suspects_NoteCrash(Suspects *suspects, const uint64_t *parts, uint32_t count,
                   uint32_t own_count, const SuspectsCrash *crash,
                   int64_t now_us)
{
    bool may_blame = false;

    if (crash->weight == SUSPECTS_NONE) {
        return;
    }
    drop_expired(suspects, now_us);
    may_blame = add_failure(suspects, crash->worker, crash->at_us, now_us) &&
                suspects->blamed_count > 0;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t depth = i < count - own_count
                             ? i
                             : SUSPECTS_OWN_DEPTH_MAX - (count - 1 - i);
        SuspectsRow *row = get_or_add_row(suspects, parts[i], depth, now_us);
        if (row != NULL && add_crash(row, crash)) {
            note_change(row, now_us);
            may_blame |= row->crash_count > 1;
        }
    }
    if (may_blame) {
        SuspectsBlame_Update(suspects);
    }
}

void
Suspects_NoteFailure(Suspects *suspects, uint64_t worker, int64_t at_us,
                     int64_t now_us)
{
    if (add_failure(suspects, worker, at_us, now_us) &&
        suspects->blamed_count > 0) {
        SuspectsBlame_Update(suspects);
    }
}

void
Suspects_NoteSound(Suspects *suspects, const uint64_t *parts, uint32_t count,
                   uint32_t own_count, int64_t now_us)
{
    bool changed = false;

    for (uint32_t i = 0; i < count; i++) {
        SuspectsSound *slot = get_sound_slot(suspects, parts[i]);
        SuspectsRow *row = find_row(suspects, parts[i]);

        if (i < count - own_count) {
            slot->part = parts[i];
            slot->at_us = now_us;
        }
        if (row != NULL && note_row_sound(row, now_us)) {
            note_change(row, now_us);
            changed = true;
        }
    }
    if (changed) {
        SuspectsBlame_Update(suspects);
    }
}

bool
Suspects_IsUnderCrash(const Suspects *suspects, const uint64_t *parts,
                      uint32_t count, uint64_t worker)
{
    for (uint32_t i = 0; i < count; i++) {
        const SuspectsRow *row = find_row(suspects, parts[i]);
        if (row != NULL && row->sound_us == 0 &&
            SuspectsBlame_HasCrash(row, worker)) {
            return true;
        }
    }
    return false;
}

SuspectsVerdict
Suspects_Judge(const Suspects *suspects, const uint64_t *parts, uint32_t count,
               int64_t now_us, int64_t *until_us)
{
    bool is_clear = true;

    *until_us = 0;
    for (uint32_t i = 0; i < count && suspects->row_count > 0; i++) {
        const SuspectsRow *row = find_row(suspects, parts[i]);
        if (row != NULL && row->blamed) {
            int64_t probe_us = get_probe_us(suspects, row);
            is_clear = false;
            *until_us = probe_us > *until_us ? probe_us : *until_us;
        }
    }
    if (is_clear) {
        return SUSPECTS_CLEAR;
    }
    return now_us >= *until_us ? SUSPECTS_PROBE : SUSPECTS_BLAMED;
}

bool
Suspects_IsUnsettled(const Suspects *suspects, const uint64_t *parts,
                     uint32_t count, int64_t now_us)
{
    bool is_unsettled = false;

    for (uint32_t i = 0; i < count; i++) {
        const SuspectsRow *row = find_row(suspects, parts[i]);
        if (row != NULL && row->blamed) {
            if (is_settled(row, now_us)) {
                return false;
            }
            is_unsettled = true;
        }
    }
    return is_unsettled;
}

void
Suspects_BeginProbe(Suspects *suspects, const uint64_t *parts, uint32_t count,
                    int64_t now_us)
{
    for (uint32_t i = 0; i < count; i++) {
        SuspectsRow *row = find_row(suspects, parts[i]);
        if (row != NULL && row->blamed) {
            row->probe_us = now_us;
            note_change(row, now_us);
        }
    }
}

uint32_t
Suspects_Collect(Suspects *suspects, SuspectsRow *rows, uint32_t max,
                 int64_t now_us)
{
    const uint32_t blamed_max =
        (max + SUSPECTS_BLAMED_SHARE - 1) / SUSPECTS_BLAMED_SHARE;
    uint32_t crashes_left = 2 * max;
    uint32_t count = 0;

    drop_expired(suspects, now_us);
    while (count < max) {
        SuspectsRow *next = NULL;
        for (uint32_t i = 0; i < suspects->row_count; i++) {
            SuspectsRow *row = &suspects->rows[i];
            bool is_told = row->told_us == now_us;
            bool is_due = count < blamed_max && row->blamed;
            if (!is_told && (is_due || is_news(row, now_us)) &&
                row->crash_count <= crashes_left &&
                (next == NULL || is_told_before(row, next))) {
                next = row;
            }
        }
        if (next == NULL) {
            break;
        }
        next->told++;
        next->told_us = now_us;
        crashes_left -= next->crash_count;
        rows[count++] = *next;
    }
    return count;
}

bool
Suspects_Merge(Suspects *suspects, const SuspectsRow *from, int64_t now_us)
{
    bool changed = false;
    bool has_failed = false;
    uint32_t before;
    SuspectsRow *row;

    drop_expired(suspects, now_us);
    for (uint32_t i = 0; i < from->crash_count; i++) {
        const SuspectsCrash *crash = &from->crashes[i];
        has_failed |=
            add_failure(suspects, crash->worker, crash->at_us, now_us);
    }
    if (from->crash_count == 0 && find_row(suspects, from->part) == NULL) {
        return false;
    }
    row = get_or_add_row(suspects, from->part, from->depth, now_us);
    if (row == NULL) {
        return false;
    }
    before = row->crash_count;
    for (uint32_t i = 0; i < from->crash_count; i++) {
        changed |= add_crash(row, &from->crashes[i]);
    }
    if (from->sound_us > row->sound_us) {
        changed |= note_row_sound(row, from->sound_us);
    }
    if (from->probe_us > row->probe_us) {
        row->probe_us = from->probe_us;
        changed = true;
    }
    if (changed) {
        note_change(row, now_us);
    }
    /* Rows with one crash each blame nothing. */
    if ((changed && (row->crash_count > 1 || before > 1)) ||
        (has_failed && suspects->blamed_count > 0)) {
        SuspectsBlame_Update(suspects);
    }
    return changed;
}

const SuspectsRow *
Suspects_TakeChange(Suspects *suspects, int64_t now_us)
{
    for (uint32_t i = 0; i < suspects->row_count; i++) {
        SuspectsRow *row = &suspects->rows[i];
        if (row->reported != row->blamed &&
            (!row->blamed || is_settled(row, now_us))) {
            row->reported = row->blamed;
            return row;
        }
    }
    return NULL;
}

static bool
is_news(const SuspectsRow *row, int64_t now_us)
{
    return now_us - row->changed_us < SUSPECTS_NEWS_US &&
           (row->crash_count != 1 ||
            now_us - get_last_us(row) < SUSPECTS_SINGLE_NEWS_US);
}

/* Whether a row goes to the other VMs before another one: the less told, then
   the one with more crashes, then the later one. */
static bool
is_told_before(const SuspectsRow *row, const SuspectsRow *other)
{
    if (row->told != other->told) {
        return row->told < other->told;
    }
    if (row->crash_count != other->crash_count) {
        return row->crash_count > other->crash_count;
    }
    return row->changed_us > other->changed_us;
}

static void
note_change(SuspectsRow *row, int64_t now_us)
{
    row->changed_us = now_us;
    row->told = 0;
}

static SuspectsRow *
find_row(const Suspects *suspects, uint64_t part)
{
    for (uint32_t i = 0; i < suspects->row_count; i++) {
        if (suspects->parts[i] == part) {
            return (SuspectsRow *)&suspects->rows[i];
        }
    }
    return NULL;
}

/* If there is no room, a part that is not blamed makes room: one with the
   fewest crashes, of these the one whose last crash is the oldest. NULL if all
   are blamed. */
static SuspectsRow *
get_or_add_row(Suspects *suspects, uint64_t part, uint32_t depth,
               int64_t now_us)
{
    SuspectsRow *row = find_row(suspects, part);
    const SuspectsSound *slot = get_sound_slot(suspects, part);

    if (row != NULL) {
        row->depth = SuspectsBlame_IsOwn(row) || depth >= SUSPECTS_OWN_DEPTH
                         ? (depth > row->depth ? depth : row->depth)
                         : (depth < row->depth ? depth : row->depth);
        return row;
    }
    if (suspects->row_count < SUSPECTS_ROWS_MAX) {
        row = &suspects->rows[suspects->row_count++];
    }
    else {
        suspects->displaced++;
        for (uint32_t i = 0; i < SUSPECTS_ROWS_MAX; i++) {
            SuspectsRow *other = &suspects->rows[i];
            if (!other->blamed &&
                (row == NULL || other->crash_count < row->crash_count ||
                 (other->crash_count == row->crash_count &&
                  get_last_us(other) < get_last_us(row)))) {
                row = other;
            }
        }
    }
    if (row == NULL) {
        return NULL;
    }
    memset(row, 0, sizeof(*row));
    row->part = part;
    row->depth = depth;
    row->changed_us = now_us;
    row->sound_us = slot->part == part ? slot->at_us : 0;
    suspects->parts[row - suspects->rows] = part;
    return row;
}

/* Returns whether the crash is news. Beyond the limit the first crashes and
   the latest are kept. */
static bool
add_crash(SuspectsRow *row, const SuspectsCrash *crash)
{
    SuspectsCrash *last;

    if (crash->at_us <= row->sound_us) {
        return false;
    }
    for (uint32_t i = 0; i < row->crash_count; i++) {
        SuspectsCrash *known = &row->crashes[i];
        if (known->worker == crash->worker) {
            bool is_heavier = crash->weight > known->weight;
            known->weight = is_heavier ? crash->weight : known->weight;
            return is_heavier;
        }
    }
    if (row->crash_count < SUSPECTS_CRASHES_MAX) {
        row->crashes[row->crash_count++] = *crash;
        return true;
    }
    last = &row->crashes[SUSPECTS_CRASHES_MAX - 1];
    if (crash->at_us <= last->at_us) {
        return false;
    }
    *last = *crash;
    return true;
}

/* Drops the crashes before the sound answer. Returns whether there were any.
 */
static bool
note_row_sound(SuspectsRow *row, int64_t at_us)
{
    uint32_t kept = 0;
    uint32_t before = row->crash_count;

    row->sound_us = at_us > row->sound_us ? at_us : row->sound_us;
    for (uint32_t i = 0; i < before; i++) {
        if (row->crashes[i].at_us > row->sound_us) {
            row->crashes[kept++] = row->crashes[i];
        }
    }
    row->crash_count = kept;
    return kept < before;
}

static int64_t
get_last_us(const SuspectsRow *row)
{
    int64_t last_us = 0;

    for (uint32_t i = 0; i < row->crash_count; i++) {
        if (row->crashes[i].at_us > last_us) {
            last_us = row->crashes[i].at_us;
        }
    }
    return last_us;
}

static bool
is_expired(const SuspectsRow *row, int64_t now_us)
{
    if (row->crash_count == 0) {
        return row->reported == row->blamed &&
               now_us - row->changed_us > SUSPECTS_NEWS_US;
    }
    return now_us - get_last_us(row) >
           (row->blamed ? SUSPECTS_KEEP_BLAMED_US : SUSPECTS_KEEP_US);
}

static void
drop_expired(Suspects *suspects, int64_t now_us)
{
    uint32_t kept = 0;

    if (now_us - suspects->pruned_us < SUSPECTS_PRUNE_US) {
        return;
    }
    suspects->pruned_us = now_us;
    for (uint32_t i = 0; i < suspects->row_count; i++) {
        if (!is_expired(&suspects->rows[i], now_us)) {
            suspects->parts[kept] = suspects->parts[i];
            suspects->rows[kept++] = suspects->rows[i];
        }
    }
    if (kept < suspects->row_count) {
        suspects->row_count = kept;
        SuspectsBlame_Update(suspects);
    }
}

/* Notes that a worker failed, in place of the oldest failure if there is no
   room. Returns whether that is news. */
static bool
add_failure(Suspects *suspects, uint64_t worker, int64_t at_us, int64_t now_us)
{
    SuspectsFailure *oldest = &suspects->failures[0];

    if (now_us - at_us > SUSPECTS_FAILURE_KEEP_US) {
        return false;
    }
    for (uint32_t i = 0; i < suspects->failure_count; i++) {
        SuspectsFailure *failure = &suspects->failures[i];
        if (failure->worker == worker) {
            return false;
        }
        oldest = failure->at_us < oldest->at_us ? failure : oldest;
    }
    if (suspects->failure_count < SUSPECTS_FAILURES_MAX) {
        oldest = &suspects->failures[suspects->failure_count++];
    }
    *oldest = (SuspectsFailure){worker, at_us};
    return true;
}

static bool
is_settled(const SuspectsRow *row, int64_t now_us)
{
    return now_us - get_last_us(row) >= SUSPECTS_SETTLE_US;
}

/* Returns when this VM may let a request with the blamed part through. */
static int64_t
get_probe_us(const Suspects *suspects, const SuspectsRow *row)
{
    int64_t delay_us = SUSPECTS_PROBE_MIN_US;
    int64_t from_us;

    for (uint32_t i = 2; i < row->crash_count; i++) {
        delay_us *= SUSPECTS_PROBE_FACTOR;
    }
    if (delay_us > SUSPECTS_PROBE_MAX_US) {
        delay_us = SUSPECTS_PROBE_MAX_US;
    }
    from_us = get_last_us(row) + delay_us;
    if (row->probe_us != 0 &&
        from_us < row->probe_us + SUSPECTS_PROBE_TIMEOUT_US) {
        from_us = row->probe_us + SUSPECTS_PROBE_TIMEOUT_US;
    }
    return from_us + (int64_t)((suspects->vm ^ row->part) %
                               (uint64_t)SUSPECTS_PROBE_SPREAD_US);
}

/* Returns the slot in which a sound answer on this part is remembered; a slot
   has the last one of its parts. */
static SuspectsSound *
get_sound_slot(const Suspects *suspects, uint64_t part)
{
    return (SuspectsSound *)&suspects->sound[part % SUSPECTS_SOUND_MAX];
}
