/* Load report: load that other VMs cause. See load_report.h. */
#include "load_report.h"

typedef struct DemandRow {
    uint64_t service; /* Hash of the service's name. */
    ReportDemand demand;
} DemandRow;

static void add_to_worker(const ReportUse *use);
static void subtract_from_worker(const ReportUse *use);
static void add_looks(UrgencyLooks *sum, const UrgencyLooks *from);
static ReportRoom *find_room(ReportRooms *rooms, uint32_t version);
static DemandRow *find_demand(const Report *report, uint64_t service);

void
Report_Init(Report *report)
{
    report->uses = g_array_new(FALSE, FALSE, sizeof(ReportUse));
    report->demands = g_array_new(FALSE, FALSE, sizeof(DemandRow));
    report->accounts = g_array_new(FALSE, FALSE, sizeof(ReportAccount));
    report->streams = (ReportStreams){0};
    report->streams_us = 0;
    report->is_full = false;
    report->is_applied = false;
}

void
Report_Clear(Report *report)
{
    Report_DropUses(report);
    g_array_free(report->uses, TRUE);
    g_array_free(report->demands, TRUE);
    g_array_free(report->accounts, TRUE);
}

void
Report_DropUses(Report *report)
{
    for (guint i = 0; i < report->uses->len; i++) {
        ReportUse *use = &g_array_index(report->uses, ReportUse, i);
        if (report->is_applied) {
            subtract_from_worker(use);
        }
        Fleet_Unref(use->worker);
    }
    g_array_set_size(report->uses, 0);
}

void
Report_AddUse(Report *report, const ReportUse *use)
{
    Fleet_Ref(use->worker);
    if (report->is_applied) {
        add_to_worker(use);
    }
    g_array_append_val(report->uses, *use);
}

void
Report_SetApplied(Report *report, bool applied)
{
    if (report->is_applied == applied) {
        return;
    }
    for (guint i = 0; i < report->uses->len; i++) {
        const ReportUse *use = &g_array_index(report->uses, ReportUse, i);
        if (applied) {
            add_to_worker(use);
        }
        else {
            subtract_from_worker(use);
        }
    }
    report->is_applied = applied;
}

void
Report_DropDemands(Report *report)
{
    g_array_set_size(report->demands, 0);
}

void
Report_SetDemand(Report *report, uint64_t service, const ReportDemand *demand)
{
    DemandRow row = {service, *demand};
    DemandRow *known = find_demand(report, service);

    if (known != NULL) {
        *known = row;
    }
    else {
        g_array_append_val(report->demands, row);
    }
}

void
Report_SumDemand(const Report *report, uint64_t service, ReportDemand *sum)
{
    const DemandRow *row = find_demand(report, service);

    if (row != NULL) {
        sum->prompt_per_us += row->demand.prompt_per_us;
        sum->kv_tokens += row->demand.kv_tokens;
        sum->requests += row->demand.requests;
        sum->extras += row->demand.extras;
        for (uint32_t i = 0; i < REPORT_ROOMS_MAX; i++) {
            Report_AddRoom(&sum->rooms, &row->demand.rooms.rows[i]);
        }
        add_looks(&sum->rooms.looks, &row->demand.rooms.looks);
    }
}

void
Report_AddRoom(ReportRooms *rooms, const ReportRoom *from)
{
    ReportRoom *to = find_room(rooms, from->version);

    if (to == NULL) {
        to = find_room(rooms, 0);
    }
    if (from->version != 0 && to != NULL) {
        to->version = from->version;
        to->waiting_streams += from->waiting_streams;
    }
}

void
Report_SubtractRooms(ReportRooms *rooms, const ReportRooms *from)
{
    for (uint32_t i = 0; i < REPORT_ROOMS_MAX; i++) {
        const ReportRoom *row = &from->rows[i];
        ReportRoom *to = find_room(rooms, row->version);
        if (to != NULL) {
            to->waiting_streams =
                MAX(0, to->waiting_streams - row->waiting_streams);
        }
    }
    for (uint32_t i = 0; i < URGENCY_LEVELS_MAX; i++) {
        rooms->looks.all[i] = MAX(0, rooms->looks.all[i] - from->looks.all[i]);
        rooms->looks.lacking[i] =
            MAX(0, rooms->looks.lacking[i] - from->looks.lacking[i]);
    }
}

bool
Report_GetDemand(const Report *report, guint i, uint64_t *service,
                 ReportDemand *demand)
{
    const DemandRow *row;

    if (i >= report->demands->len) {
        return false;
    }
    row = &g_array_index(report->demands, DemandRow, i);
    *service = row->service;
    *demand = row->demand;
    return true;
}

void
Report_Merge(Report *report, const Report *from)
{
    for (guint i = 0; i < from->uses->len; i++) {
        const ReportUse *use = &g_array_index(from->uses, ReportUse, i);
        ReportUse *sum = NULL;
        for (guint k = 0; k < report->uses->len && sum == NULL; k++) {
            ReportUse *row = &g_array_index(report->uses, ReportUse, k);
            sum = row->worker == use->worker ? row : NULL;
        }
        if (sum == NULL) {
            Report_AddUse(report, use);
            continue;
        }
        sum->inflight += use->inflight;
        sum->prefill_tokens += use->prefill_tokens;
        Forecast_Add(&sum->kv, &use->kv);
        sum->unreachable += use->unreachable;
        sum->phase_changes += use->phase_changes;
        sum->leaving += use->leaving;
    }
    for (guint i = 0; i < from->demands->len; i++) {
        const DemandRow *row = &g_array_index(from->demands, DemandRow, i);
        ReportDemand sum = row->demand;
        Report_SumDemand(report, row->service, &sum);
        Report_SetDemand(report, row->service, &sum);
    }
}

static void
add_to_worker(const ReportUse *use)
{
    use->worker->peer_inflight += use->inflight;
    use->worker->peer_prefill_tokens += use->prefill_tokens;
    Forecast_Add(&use->worker->peer_kv, &use->kv);
    use->worker->peer_unreachable += use->unreachable;
    use->worker->peer_phase_changes += use->phase_changes;
    use->worker->peer_leaving += use->leaving;
}

static void
subtract_from_worker(const ReportUse *use)
{
    use->worker->peer_inflight -= use->inflight;
    use->worker->peer_prefill_tokens -= use->prefill_tokens;
    Forecast_Subtract(&use->worker->peer_kv, &use->kv);
    use->worker->peer_unreachable -= use->unreachable;
    use->worker->peer_phase_changes -= use->phase_changes;
    use->worker->peer_leaving -= use->leaving;
}

static void
add_looks(UrgencyLooks *sum, const UrgencyLooks *from)
{
    for (uint32_t i = 0; i < URGENCY_LEVELS_MAX; i++) {
        sum->all[i] += from->all[i];
        sum->lacking[i] += from->lacking[i];
    }
}

/* Returns the version's row, or NULL. */
static ReportRoom *
find_room(ReportRooms *rooms, uint32_t version)
{
    for (uint32_t i = 0; i < REPORT_ROOMS_MAX; i++) {
        if (rooms->rows[i].version == version) {
            return &rooms->rows[i];
        }
    }
    return NULL;
}

static DemandRow *
find_demand(const Report *report, uint64_t service)
{
    for (guint i = 0; i < report->demands->len; i++) {
        DemandRow *row = &g_array_index(report->demands, DemandRow, i);
        if (row->service == service) {
            return row;
        }
    }
    return NULL;
}
