/* Tests that VMs which are cut off from all workers find the VMs that reach
   them in fleets of any size, also if all hubs of their region are cut off. */
#include "fleet_rig.h"

#include <set>

extern "C" {
#include "decide/hubs.h"
}

namespace {

const Route once = {RTE_NON_IDEMPOTENT, 2, false, 5000, 400};
const Route repeatable = {RTE_IDEMPOTENT, 2, false, 5000, 400};
const Route stream = {RTE_STREAM, 2, true, 10000};

const char *const zones[] = {"zone-a", "zone-b", "zone-c"};

std::string
CallText(int number)
{
    return "POST /r/x?q=1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-" +
           std::to_string(number) +
           "\r\nX-Token-Usage: 1000,100\r\nX-Deadline-Ms: 9000\r\n"
           "Content-Length: 1\r\n\r\nb";
}

/* VMs of several regions, `vms` each, the first region first. */
class RegionsFleet : public FleetRig {
  public:
    RegionsFleet(const Route &route, int regions, int vms)
        : FleetRig(route, 0, 0), vms_(vms)
    {
        for (int i = 0; i < 6; i++) {
            AddWorker(std::vector<ScriptedReply>(
                2000, route.kind == RTE_STREAM ? Stream(0, 9) : Ok()));
        }
        for (int i = 0; i < regions * vms; i++) {
            AddVm(0, zones[i / vms]);
        }
        RunFor(3000);
    }

    /* The VMs of a region that are its hubs. */
    std::set<size_t>
    GetHubs(int region) const
    {
        HubsChoice choice = {};
        std::set<size_t> hubs;
        size_t first = (size_t)(region * vms_);
        for (size_t i = first; i < first + (size_t)vms_; i++) {
            HubsCandidate candidate = {GetAddress(i), 1000};
            Hubs_Offer(&choice, &candidate);
        }
        for (size_t i = first; i < first + (size_t)vms_; i++) {
            if (Hubs_Contains(&choice, GetAddress(i))) {
                hubs.insert(i);
            }
        }
        return hubs;
    }

  private:
    uint64_t
    GetAddress(size_t vm) const
    {
        return (uint64_t)INADDR_LOOPBACK << 16 | peer_ports[vm];
    }

    int vms_;
};

struct RegionCase {
    const char *name;
    Route route;
    FleetRig::Cut cut;
    int regions;
    int vms;            /* Of each region. */
    bool are_hubs_cut;  /* Those of all regions. */
    int reaching_first; /* VMs of the first region that reach the workers. */
    int reaching_last;  /* Those of the last region. */
};

const RegionCase region_cases[] = {
    {"9 VMs, one reaches", repeatable, FleetRig::REFUSE, 1, 9, false, 1, 1},
    {"one VM reaches that is no hub, connections hang", repeatable,
     FleetRig::HANG, 1, 20, true, 1, 1},
    {"one VM reaches that is no hub, connections refused", repeatable,
     FleetRig::REFUSE, 1, 20, true, 1, 1},
    {"the same, requests that run once", once, FleetRig::REFUSE, 1, 20, true,
     1, 1},
    {"the same, streams", stream, FleetRig::REFUSE, 1, 20, true, 1, 1},
    {"some VMs reach, the hubs don't", repeatable, FleetRig::HANG, 1, 24, true,
     8, 8},
    {"a whole region is cut, one VM of another region reaches", repeatable,
     FleetRig::REFUSE, 2, 12, true, 0, 1},
    {"the same, the hubs of the other region reach", repeatable,
     FleetRig::HANG, 2, 12, false, 0, 2},
    {"three regions of 23 VMs, few reach", repeatable, FleetRig::REFUSE, 3, 23,
     true, 2, 3},
    {"two regions are cut, VMs of the third one reach", once, FleetRig::HANG,
     3, 9, true, 0, 3},
};

/* VMs of a region whose hubs were cut off, too, took the service for lost. */
TEST(CutRegion, ServesByWayOfAnyVmThatReachesTheWorkers)
{
    for (const RegionCase &row : region_cases) {
        SCOPED_TRACE(row.name);
        RegionsFleet rig(row.route, row.regions, row.vms);
        std::set<size_t> reaching;
        std::vector<size_t> cut;
        for (int region : {0, row.regions - 1}) {
            std::set<size_t> hubs = rig.GetHubs(region);
            size_t wanted =
                (size_t)(region == 0 ? row.reaching_first : row.reaching_last);
            std::set<size_t> chosen;
            for (int i = 0; i < row.vms && chosen.size() < wanted; i++) {
                size_t vm = (size_t)(region * row.vms + i);
                if (row.vms * row.regions <= HUBS_MESH_VMS_MAX ||
                    (hubs.count(vm) > 0) != row.are_hubs_cut) {
                    chosen.insert(vm);
                }
            }
            reaching.insert(chosen.begin(), chosen.end());
        }
        rig.RunFor(1500);
        for (size_t vm = 0; vm < rig.edges.size(); vm++) {
            if (reaching.count(vm) == 0) {
                rig.CutOff(vm, row.cut);
                cut.push_back(vm);
            }
        }
        int number = 10000;
        for (int i = 0; i < 4; i++) {
            for (size_t vm = 0; vm < rig.edges.size(); vm++) {
                rig.Call(vm, CallText(number++));
                rig.RunFor(20);
            }
        }
        rig.RunFor(3000);
        std::vector<Caller *> callers;
        number = 0;
        for (int i = 0; i < 4; i++) {
            for (size_t vm : cut) {
                callers.push_back(rig.Call(vm, CallText(number++)));
                rig.RunFor(20);
            }
        }
        rig.RunFor(2000);
        int served = 0;
        for (size_t i = 0; i < callers.size(); i++) {
            served += callers[i]->Status() == 200 && callers[i]->IsComplete();
            EXPECT_LE(rig.CountRuns("id-" + std::to_string(i)), 1);
        }
        EXPECT_GE(served, 0.95 * (double)callers.size())
            << served << " of " << callers.size();
    }
}

} // namespace
