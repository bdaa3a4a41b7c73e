/* Tests that a worker which was not heard is not taken to keep nothing: a
   stream may have begun there. */
#include "fleet_rig.h"

namespace {

const Route resumable = {RTE_STREAM, 3, true, 15000};

std::string
Resumption()
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: again\r\n"
           "X-Token-Usage: 1000,100\r\nX-Prompt-Prefix: aa:200,b1:800\r\n"
           "Last-Event-Id: 2\r\nResumes: id-1\r\nContent-Length: 1\r\n\r\nb";
}

/* The VM learns all workers for the first time, as at its start. */
void
CompleteSweep(Edge *edge)
{
    Fleet *fleet = Edge_GetFleet(edge);
    Feed_BeginSweep(Edge_GetFeed(edge), 0);
    for (guint i = 0; i < fleet->rows->len; i++) {
        auto *worker = (FleetWorker *)g_ptr_array_index(fleet->rows, i);
        Fleet_KeepEntry(fleet, worker->entry.id, worker->entry.position);
    }
    Feed_EndSweep(Edge_GetFeed(edge));
}

enum Hearing { HEARD, SILENT, PAUSED };

struct UnheardCase {
    const char *name;
    Hearing hearing; /* Of the second worker. */
};

const UnheardCase unheard_cases[] = {
    {"both answer", HEARD},
    {"one is silent", SILENT},
    {"one has asked for a pause", PAUSED},
};

/* Workers of two versions have read the prompt, and one is not heard. */
TEST(GateUnheardWorkers, StreamThatMayHaveBegunThereIsRefused)
{
    for (const UnheardCase &row : unheard_cases) {
        SCOPED_TRACE(row.name);
        FleetRig rig(resumable, 1, 0);
        for (const char *version : {"v1", "v2"}) {
            rig.versions.push_back(version);
            rig.AddWorker({Stream(3, 9)});
            rig.workers.back()->kept_parts = {"aa", "b1"};
        }
        rig.workers[1]->is_silent = row.hearing == SILENT;
        if (row.hearing == PAUSED) {
            Notice_NotePause(&rig.FindWorker(0, 1)->notice, 5 * CLK_US_PER_S,
                             Clk_Now(&rig.clk));
        }
        CompleteSweep(rig.edges[0]);
        rig.RunFor(1500);
        Caller *caller = rig.Call(0, Resumption());
        rig.RunFor(1500);
        EXPECT_EQ(caller->Status(), 503);
        EXPECT_TRUE(rig.workers[0]->requests.empty());
    }
}

} // namespace
