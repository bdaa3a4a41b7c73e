/* Pace in gossip: what VMs measured of the workers' pace, and refusals. Each
   VM tells what it measured since its last message. Hubs learn from all of it,
   and tables tell what they learned. See gossip_message.h. */
#include "gossip_message.h"

#include "../metrics.h"

#include <math.h>
#include <string.h>

/* Count of the measurements in Use.read_pace and step_pace, above the code. */
#define GOS_PACE_COUNT_SHIFT 8
#define GOS_PACE_COUNT_MAX 4095
/* Mark in the code of the growth: the worker refused a reservation lately. */
#define GOS_PACE_REFUSED 0x80U
/* How long a refusal is told, and kept to by VMs that hear of it. */
#define GOS_PACE_REFUSED_US (100 * CLK_US_PER_MS)
/* How long a hub tells what it heard: longer than the time between tables. VMs
   of other regions are not told, as it would be out of date there. */
#define GOS_PACE_HEARD_US (150 * CLK_US_PER_MS)
/* A pace is told without a measurement only if it differs this much from the
   usual one. */
#define GOS_PACE_TOLD_RATIO 1.2
/* Workers without load in each table whose pace is told. */
#define GOS_PACE_IDLE_ROWS 2
/* Weight of what another VM tells in the moving mean of a growth. */
#define GOS_PACE_GROWTH_WEIGHT 0.2

static uint32_t encode_sum(const Pace *pace, PaceSum *sum, bool is_mesh);
static uint8_t encode_known(const Pace *pace);
static void merge_sum(Pace *pace, uint32_t code, int64_t now_us);
static bool is_within(int64_t at_us, int64_t for_us, int64_t now_us);
static void merge_growth(FleetWorker *worker, uint32_t code, double weight,
                         int64_t now_us);
static void set_bytes(ProtobufCBinaryData *to, uint8_t *bytes, size_t count);
static bool is_told(const Pace *pace);

bool
Gos_HasPaceNews(const FleetWorker *worker, int64_t now_us)
{
    return worker->pace.read_sum.count > 0 ||
           worker->pace.step_sum.count > 0 ||
           is_within(worker->refused_us, GOS_PACE_REFUSED_US, now_us);
}

void
Gos_FillUsePace(Gossip__Use *row, FleetWorker *worker, bool is_mesh,
                int64_t now_us)
{
    FleetPace *pace = &worker->pace;

    row->read_pace = encode_sum(&pace->read, &pace->read_sum, is_mesh);
    row->step_pace = encode_sum(&pace->step, &pace->step_sum, is_mesh);
    if (row->step_pace != 0 && Pace_HasGrowth(&pace->fit)) {
        row->growth = Pace_EncodeGrowth(pace->growth);
    }
    if (is_within(worker->refused_us, GOS_PACE_REFUSED_US, now_us)) {
        row->growth |= GOS_PACE_REFUSED;
    }
}

void
Gos_MergeUsePace(FleetWorker *worker, const Gossip__Use *from, int64_t now_us)
{
    merge_sum(&worker->pace.read, from->read_pace, now_us);
    merge_sum(&worker->pace.step, from->step_pace, now_us);
    merge_growth(worker, from->growth, GOS_PACE_GROWTH_WEIGHT, now_us);
    if ((from->growth & GOS_PACE_REFUSED) != 0) {
        worker->heard_refusal_us = now_us;
        Met_Add(MET_REFUSALS_HEARD, 1);
    }
}

void
Gos_DropPaceSums(FleetWorker *worker)
{
    memset(&worker->pace.read_sum, 0, sizeof(PaceSum));
    memset(&worker->pace.step_sum, 0, sizeof(PaceSum));
}

void
Gos_FillTablePace(GosTablePart *part, const FleetWorker *worker, size_t row,
                  int64_t now_us)
{
    const FleetPace *pace = &worker->pace;
    bool is_refused =
        is_within(worker->refused_us, GOS_PACE_REFUSED_US, now_us) ||
        is_within(worker->heard_refusal_us, GOS_PACE_HEARD_US, now_us);

    part->read_paces[row] = part->tells_pace ? encode_known(&pace->read) : 0;
    part->step_paces[row] = part->tells_pace ? encode_known(&pace->step) : 0;
    part->growths[row] = (uint8_t)((part->tells_pace && pace->has_growth
                                        ? Pace_EncodeGrowth(pace->growth)
                                        : 0) |
                                   (is_refused ? GOS_PACE_REFUSED : 0));
}

void
Gos_EndTablePace(GosTablePart *part, size_t count)
{
    set_bytes(&part->table.read_paces, part->read_paces, count);
    set_bytes(&part->table.step_paces, part->step_paces, count);
    set_bytes(&part->table.growths, part->growths, count);
}

void
Gos_MergeTablePace(FleetWorker *worker, const Gossip__Table *table, size_t row,
                   int64_t now_us)
{
    if (row < table->read_paces.len) {
        Pace_Merge(&worker->pace.read,
                   Pace_Decode(table->read_paces.data[row]), now_us);
    }
    if (row < table->step_paces.len) {
        Pace_Merge(&worker->pace.step,
                   Pace_Decode(table->step_paces.data[row]), now_us);
    }
    if (row < table->growths.len) {
        merge_growth(worker, table->growths.data[row], 1, now_us);
    }
}

void
Gos_AddIdlePaces(Gos *gos, Report *sum)
{
    const GPtrArray *rows = gos->options.fleet->rows;
    uint32_t added = 0;
    guint i;

    for (i = 0; i < rows->len && added < GOS_PACE_IDLE_ROWS; i++) {
        FleetWorker *worker =
            g_ptr_array_index(rows, (gos->next_pace + i) % rows->len);
        ReportUse use = {.worker = worker};
        bool has_row = false;
        if (!is_told(&worker->pace.read) && !is_told(&worker->pace.step)) {
            continue;
        }
        for (guint k = 0; k < sum->uses->len && !has_row; k++) {
            has_row = g_array_index(sum->uses, ReportUse, k).worker == worker;
        }
        if (!has_row) {
            Report_AddUse(sum, &use);
            added++;
        }
    }
    gos->next_pace = rows->len > 0 ? (gos->next_pace + i) % rows->len : 0;
}

/* Encodes the measurements since the last message, and drops them. Without any
   it is the estimate in a mesh, which has no tables. Hubs that learned from
   estimates of their members would hear their own ones. */
static uint32_t
encode_sum(const Pace *pace, PaceSum *sum, bool is_mesh)
{
    uint32_t code = sum->count > 0 ? Pace_Encode(Pace_GetLowest(sum))
                    : is_mesh && is_told(pace) ? Pace_Encode(Pace_Get(pace))
                                               : 0;

    code |= MIN(sum->count, GOS_PACE_COUNT_MAX) << GOS_PACE_COUNT_SHIFT;
    memset(sum, 0, sizeof(*sum));
    return code;
}

static uint8_t
encode_known(const Pace *pace)
{
    return pace->weight > 0 ? (uint8_t)Pace_Encode(Pace_Get(pace)) : 0;
}

static void
merge_sum(Pace *pace, uint32_t code, int64_t now_us)
{
    uint32_t count =
        MIN(code >> GOS_PACE_COUNT_SHIFT, (uint32_t)GOS_PACE_COUNT_MAX);
    double multiple = Pace_Decode(code & PACE_CODE_MAX);

    if (count > 0) {
        Pace_Note(pace, multiple, count, now_us);
    }
    else {
        Pace_Merge(pace, multiple, now_us);
    }
}

static bool
is_within(int64_t at_us, int64_t for_us, int64_t now_us)
{
    return at_us != 0 && now_us - at_us < for_us;
}

/* Merges the growth, unless this VM has measured it, and notes a refusal. */
static void
merge_growth(FleetWorker *worker, uint32_t code, double weight, int64_t now_us)
{
    FleetPace *pace = &worker->pace;
    double growth = Pace_DecodeGrowth(code & ~GOS_PACE_REFUSED);

    if (growth >= 0 && (weight < 1 || !Pace_HasGrowth(&pace->fit))) {
        pace->growth = pace->has_growth
                           ? pace->growth + weight * (growth - pace->growth)
                           : growth;
        pace->has_growth = true;
    }
    if ((code & GOS_PACE_REFUSED) != 0) {
        worker->told_full_until_us = now_us + GOS_PACE_REFUSED_US;
    }
}

/* Tells nothing if all bytes are 0. */
static void
set_bytes(ProtobufCBinaryData *to, uint8_t *bytes, size_t count)
{
    size_t known = 0;

    for (size_t i = 0; i < count; i++) {
        known = bytes[i] != 0 ? i + 1 : known;
    }
    to->data = bytes;
    to->len = known;
}

static bool
is_told(const Pace *pace)
{
    return pace->weight > 0 && fabs(pace->log) > log(GOS_PACE_TOLD_RATIO);
}
