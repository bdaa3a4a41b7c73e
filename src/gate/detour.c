/* Detour: services that this VM can't reach. See detour.h. */
#include "detour.h"
#include "task.h"

#include "../decide/reach.h"
#include "../log.h"

#include <string.h>

static DetourService *find(const Gate *gate, const char *service);
static bool judge(const Gate *gate, const char *service);
static void set_cut(DetourService *row, bool is_cut, int64_t now_us);

bool
Detour_IsCut(Gate *gate, const char *service)
{
    DetourService *row = find(gate, service);
    bool is_cut = judge(gate, service);

    if (row == NULL && !is_cut) {
        return false;
    }
    if (row == NULL) {
        row = g_new0(DetourService, 1);
        g_strlcpy(row->name, service, sizeof(row->name));
        LIST_INSERT_HEAD(&gate->cut_services, row, links);
    }
    if (row->is_cut != is_cut) {
        set_cut(row, is_cut, Clk_Now(gate->options.clk));
    }
    return is_cut;
}

void
Detour_Clear(Gate *gate)
{
    while (!LIST_EMPTY(&gate->cut_services)) {
        DetourService *row = LIST_FIRST(&gate->cut_services);
        LIST_REMOVE(row, links);
        g_free(row);
    }
}

static DetourService *
find(const Gate *gate, const char *service)
{
    DetourService *row = NULL;

    LIST_FOREACH(row, &gate->cut_services, links)
    {
        if (strcmp(row->name, service) == 0) {
            return row;
        }
    }
    return NULL;
}

static bool
judge(const Gate *gate, const char *service)
{
    const GPtrArray *rows = gate->options.fleet->rows;
    int64_t now_us = Clk_Now(gate->options.clk);
    Reach reach = {0};

    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        ReachWorker row = {worker->heard_us, worker->vain_us};
        if (strcmp(worker->entry.service, service) == 0 &&
            Fleet_IsListed(worker, now_us)) {
            Reach_AddWorker(&reach, &row);
        }
    }
    return Reach_IsCut(&reach);
}

static void
set_cut(DetourService *row, bool is_cut, int64_t now_us)
{
    Met_Add(MET_SERVICES_CUT, is_cut);
    Log_WriteJson(
        LOG_LEVEL_WARNING, is_cut ? "service_cut" : "service_reached",
        json_pack("{s:s,s:I}", "service", row->name, "after_us",
                  (json_int_t)(row->changed_us != 0 ? now_us - row->changed_us
                                                    : 0)));
    row->is_cut = is_cut;
    row->changed_us = now_us;
}
