/* Test rig of a fleet: several gates that exchange gossip, with the scripted
   workers of gate_rig.h, on one event loop. */
#ifndef FLEET_RIG_H
#define FLEET_RIG_H

#include "gate_rig.h"

#include <map>
#include <set>

/* Address on loopback at which connections hang: the queue of its listener is
   full, so that further ones get no answer. */
class BlackHole {
  public:
    BlackHole()
    {
        sockaddr_in local = {};
        socklen_t size = sizeof(local);
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        fds_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        EXPECT_EQ(bind(fds_[0], (sockaddr *)&local, sizeof(local)), 0);
        EXPECT_EQ(listen(fds_[0], 0), 0);
        getsockname(fds_[0], (sockaddr *)&local, &size);
        address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
        for (int i = 0; i < 4; i++) {
            fds_.push_back(socket(
                AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
            connect(fds_.back(), (sockaddr *)&local, sizeof(local));
        }
    }

    ~BlackHole()
    {
        for (int fd : fds_) {
            close(fd);
        }
    }

    std::string address;

  private:
    std::vector<int> fds_; /* The listener first. */
};

/* VMs that exchange gossip, and workers that start again under another
   identifier at the same address after a crash. The route and the service are
   those of MakeTable(). Workers answer without end. */
class FleetRig {
  public:
    FleetRig(const Route &route, int vm_count, int worker_count)
        : route_(route), is_engine_(route.kind == RTE_STREAM)
    {
        base = event_base_new();
        clk = Clk_Default();
        regions_ = g_hash_table_new(g_str_hash, g_str_equal);
        g_hash_table_insert(regions_, (gpointer) "zone-a", (gpointer) "reg-a");
        g_hash_table_insert(regions_, (gpointer) "zone-b", (gpointer) "reg-b");
        g_hash_table_insert(regions_, (gpointer) "zone-c", (gpointer) "reg-c");
        script_ =
            std::make_shared<std::deque<ScriptedReply>>(4000, Stream(0, 9));
        for (int i = 0; i < vm_count; i++) {
            AddVm();
        }
        for (int i = 0; i < worker_count; i++) {
            AddWorkerWithScript(script_);
        }
    }

    ~FleetRig()
    {
        callers.clear();
        for (Edge *edge : edges) {
            Edge_Free(edge);
        }
        workers.clear();
        refusing_.clear();
        event_base_free(base);
        g_hash_table_destroy(regions_);
    }

    /* Names a port of other VMs at which no VM listens yet as the seed. */
    uint16_t
    ReserveSeed()
    {
        sockaddr_in local = {};
        uint16_t port = FreePort();
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        local.sin_port = htons(port);
        reserved_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        EXPECT_EQ(bind(reserved_, (sockaddr *)&local, sizeof(local)), 0);
        seed_ = "127.0.0.1:" + std::to_string(port);
        return port;
    }

    /* `port` for other VMs; 0: any. */
    void
    AddVm(uint16_t port = 0, const char *zone = "zone-a")
    {
        LsError err = {};
        EdgeOptions options = Edge_DefaultOptions();
        names_.push_back("vm-" + std::to_string(names_.size() + 1));
        options.base = base;
        options.clk = &clk;
        options.codec = Pf_GetCodec();
        options.decoder = Pf_GetDecoder();
        options.vm = names_.back().c_str();
        options.zone = zone;
        options.regions = regions_;
        options.seed = (guint32)names_.size();
        options.budget.ratio = 50; /* The slack is 0 at the start. */
        options.seeds[0] = seed_.c_str();
        options.seed_count = seed_.empty() ? 0 : 1;
        options.is_source_reachable = [](void *) { return true; };
        options.peers.port = port;
        if (port != 0) {
            close(reserved_);
        }
        edges.push_back(port != 0 ? Edge_New(&options, &err)
                                  : NewEdge(&options, &err));
        ASSERT_NE(edges.back(), nullptr) << err.message;
        peer_ports.push_back(options.peers.port);
        if (seed_.empty()) {
            seed_ = "127.0.0.1:" + std::to_string(options.peers.port);
        }
        Gate_SetTable(Edge_GetGate(edges.back()),
                      MakeTable(route_, is_engine_, 2000, 1));
        for (size_t i = 0; i < workers.size(); i++) {
            SetEntry(edges.back(), i);
        }
    }

    /* Starts a worker with a script of its own. */
    void
    AddWorker(std::vector<ScriptedReply> replies)
    {
        AddWorkerWithScript(std::make_shared<std::deque<ScriptedReply>>(
            replies.begin(), replies.end()));
    }

    /* The script may be shared by several workers. */
    void
    AddWorkerWithScript(std::shared_ptr<std::deque<ScriptedReply>> script)
    {
        workers.push_back(std::make_unique<Worker>(base, script));
        workers.back()->born_ms = born_ms;
        ids_.push_back("");
        restart_us_.push_back(0);
        ListWorker(workers.size() - 1);
    }

    /* The worker as a VM knows it. */
    FleetWorker *
    FindWorker(size_t vm, size_t i)
    {
        return Fleet_Find(Edge_GetFleet(edges[vm]), ids_[i].c_str());
    }

    /* The worker left long ago. */
    void
    RemoveWorker(size_t i)
    {
        starts_++;
        for (Edge *edge : edges) {
            if (edge != nullptr) {
                Fleet_RemoveEntry(Edge_GetFleet(edge), ids_[i].c_str(),
                                  {0, (uint64_t)starts_},
                                  Clk_Now(&clk) - 60 * CLK_US_PER_S);
            }
        }
    }

    /* How the paths of a VM to the workers are cut. */
    enum Cut { HANG, REFUSE };

    /* Cuts a VM off from all workers, also from those that start again:
       instead of each one it reaches an address at which connections hang or
       are refused. */
    void
    CutOff(size_t vm, Cut cut)
    {
        cuts_[vm] = cut;
        for (size_t i = 0; i < workers.size(); i++) {
            starts_++;
            SetCutEntry(vm, i);
        }
    }

    /* Ends the cut. */
    void
    Reconnect(size_t vm)
    {
        cuts_.erase(vm);
        for (size_t i = 0; i < workers.size(); i++) {
            starts_++;
            SetEntry(edges[vm], i, workers[i]->address);
        }
    }

    /* The VM learns the entries that it has missed. */
    void
    CatchUp(size_t vm)
    {
        behind.erase(vm);
        for (size_t i = 0; i < workers.size(); i++) {
            if (FindWorker(vm, i) == nullptr) {
                SetEntry(edges[vm], i);
            }
        }
    }

    /* Adds running calls to what all VMs count at the worker. */
    void
    AddLoad(size_t i, uint32_t calls)
    {
        for (Edge *edge : edges) {
            if (edge != nullptr) {
                Fleet_Find(Edge_GetFleet(edge), ids_[i].c_str())->inflight +=
                    calls;
            }
        }
    }

    /* Returns a worker as a VM knows it. */
    FleetWorker *
    Find(size_t vm, size_t i)
    {
        return Fleet_Find(Edge_GetFleet(edges[vm]), ids_[i].c_str());
    }

    /* Ends a VM at once. */
    void
    KillVm(size_t vm)
    {
        Edge_Free(edges[vm]);
        edges[vm] = nullptr;
    }

    /* Starts all VMs again after they have ended together. */
    void
    RestartAllVms()
    {
        size_t count = edges.size();
        for (size_t vm = 0; vm < count; vm++) {
            KillVm(vm);
        }
        edges.clear();
        peer_ports.clear();
        names_.clear();
        seed_.clear();
        for (size_t vm = 0; vm < count; vm++) {
            AddVm();
        }
    }

    /* Lets all workers crash on a part of the prompt; one in four before the
       header of its answer arrives. */
    void
    SetCrashPart(const std::string &part)
    {
        for (size_t i = 0; i < workers.size(); i++) {
            workers[i]->crash_part = part;
            workers[i]->crash_delay_ms = i % 4 == 3 ? 0 : 5;
        }
    }

    /* `host` as in Caller. */
    Caller *
    Call(size_t vm, const std::string &request, uint8_t host = 1)
    {
        callers.push_back(
            std::make_unique<Caller>(base, Edge_GetPort(edges[vm]), host));
        callers.back()->Send(request);
        return callers.back().get();
    }

    /* Sends a request to a VM's listener for other VMs. */
    Caller *
    Relay(size_t vm, const std::string &request)
    {
        callers.push_back(std::make_unique<Caller>(base, peer_ports[vm], 1));
        callers.back()->Send(request);
        return callers.back().get();
    }

    /* Runs the loop for this time. Crashed workers start again after some
       time, and leave the list of workers until then. */
    void
    RunFor(int64_t ms)
    {
        int64_t end_us = Clk_Now(&clk) + ms * CLK_US_PER_MS;
        while (Clk_Now(&clk) < end_us) {
            timeval tick = {0, 1000};
            event_base_loopexit(base, &tick);
            event_base_dispatch(base);
            for (size_t i = 0; i < workers.size(); i++) {
                KeepUp(i);
            }
        }
    }

    /* Runs of a request at all workers. */
    int
    CountRuns(const std::string &id) const
    {
        int count = 0;
        for (const auto &worker : workers) {
            count += CountRunsAt(*worker, id);
        }
        return count;
    }

    /* Workers that a request was sent to. */
    int
    CountWorkers(const std::string &id) const
    {
        int count = 0;
        for (const auto &worker : workers) {
            count += CountRunsAt(*worker, id) > 0;
        }
        return count;
    }

    int
    CountCrashes() const
    {
        int count = 0;
        for (const auto &worker : workers) {
            count += worker->crashes;
        }
        return count;
    }

    /* Requests with the part that reached workers from this time on. */
    int
    CountPartSince(int64_t from_us) const
    {
        int count = 0;
        for (const auto &worker : workers) {
            for (int64_t at_us : worker->part_times_us) {
                count += at_us >= from_us;
            }
        }
        return count;
    }

    event_base *base;
    Clk clk;
    std::vector<Edge *> edges;
    std::vector<uint16_t> peer_ports; /* Of the VMs, for other VMs. */
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Caller>> callers;
    int64_t restart_ms = 300;
    int64_t born_ms = 0; /* Start that workers to be added tell; 0: none. */
    /* Software versions of the workers by their numbers; "" beyond. */
    std::vector<std::string> versions;
    std::set<size_t> behind; /* VMs that learn of no new workers. */

  private:
    static int
    CountRunsAt(const Worker &worker, const std::string &id)
    {
        int count = 0;
        for (const std::string &request : worker.requests) {
            count += request.find("X-Request-Id: " + id + "\r\n") !=
                     std::string::npos;
        }
        return count;
    }

    void
    ListWorker(size_t i)
    {
        ids_[i] = "w-" + std::to_string(++starts_);
        for (size_t vm = 0; vm < edges.size(); vm++) {
            if (cuts_.count(vm) > 0) {
                SetCutEntry(vm, i);
            }
            else if (edges[vm] != nullptr && behind.count(vm) == 0) {
                SetEntry(edges[vm], i);
            }
        }
    }

    void
    SetCutEntry(size_t vm, size_t i)
    {
        if (cuts_[vm] == HANG) {
            holes_.push_back(std::make_unique<BlackHole>());
            SetEntry(edges[vm], i, holes_.back()->address);
            return;
        }
        refusing_.push_back(std::make_unique<Worker>(
            base, std::make_shared<std::deque<ScriptedReply>>()));
        refusing_.back()->Crash();
        SetEntry(edges[vm], i, refusing_.back()->address);
    }

    void
    SetEntry(Edge *edge, size_t i, const std::string &address = "")
    {
        FleetEntry entry = {};
        g_strlcpy(entry.id, ids_[i].c_str(), sizeof(entry.id));
        g_strlcpy(entry.address,
                  address.empty() ? workers[i]->address.c_str()
                                  : address.c_str(),
                  sizeof(entry.address));
        g_strlcpy(entry.service, "svc", sizeof(entry.service));
        g_strlcpy(entry.zone, "zone-a", sizeof(entry.zone));
        g_strlcpy(entry.version,
                  i < versions.size() ? versions[i].c_str() : "",
                  sizeof(entry.version));
        entry.phase = is_engine_ ? FLEET_PHASE_DECODE : FLEET_PHASE_NONE;
        entry.slots = 8;
        entry.born_ms = workers[i]->born_ms;
        entry.position.revision = (uint64_t)starts_;
        Fleet_SetEntry(Edge_GetFleet(edge), &entry, Clk_Now(&clk));
    }

    void
    KeepUp(size_t i)
    {
        int64_t now_us = Clk_Now(&clk);
        if (workers[i]->IsUp()) {
            return;
        }
        if (restart_us_[i] == 0) {
            restart_us_[i] = now_us + restart_ms * CLK_US_PER_MS;
        }
        else if (now_us >= restart_us_[i]) {
            restart_us_[i] = 0;
            for (Edge *edge : edges) {
                Fleet_RemoveEntry(Edge_GetFleet(edge), ids_[i].c_str(),
                                  {0, (uint64_t)starts_ + 1}, now_us);
            }
            starts_++;
            workers[i]->Restart();
            ListWorker(i);
        }
    }

    Route route_;
    bool is_engine_;
    GHashTable *regions_;
    std::shared_ptr<std::deque<ScriptedReply>> script_;
    std::deque<std::string> names_; /* Their texts keep their addresses. */
    std::string seed_;
    int reserved_ = -1;            /* Keeps its port from being taken. */
    std::vector<std::string> ids_; /* Of the workers' current starts. */
    std::map<size_t, Cut> cuts_;   /* Of the VMs that are cut off. */
    std::vector<std::unique_ptr<Worker>> refusing_;
    std::vector<std::unique_ptr<BlackHole>> holes_;
    std::vector<int64_t> restart_us_;
    int starts_ = 0;
};

#endif
