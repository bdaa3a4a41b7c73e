/* Test rig of revocation: VMs that follow a simulated store and exchange
   gossip, and one worker, on one event loop. */
#ifndef REVOCATION_RIG_H
#define REVOCATION_RIG_H

#include "store_rig.h"

#include <algorithm>
#include <set>

/* The store: a configuration and one worker's entry, with watches that stay
   open until a change or the end of their wait. Each VM has a path of its own,
   which can be cut. */
class SimStore {
  public:
    enum Path { OPEN, REJECTS, SILENT };

    explicit SimStore(event_base *base) : base_(base)
    {
        clk_ = Clk_Default();
    }

    ~SimStore()
    {
        for (auto &door : doors_) {
            Server_Free(door->server);
        }
    }

    /* Adds the path of one more VM and returns its address. */
    std::string
    AddPath()
    {
        LsError err = {};
        ServerOptions options = Server_DefaultOptions();
        doors_.push_back(std::make_unique<Door>());
        Door *door = doors_.back().get();
        door->store = this;
        options.base = base_;
        options.clk = &clk_;
        options.context = door;
        options.on_request = OnRequest;
        options.on_disconnect = [](void *context, ServerExchange *exchange) {
            static_cast<Door *>(context)->watches.erase(exchange);
        };
        door->server = Server_New(&options, &err);
        return "127.0.0.1:" + std::to_string(Server_GetPort(door->server));
    }

    void
    SetPath(size_t vm, Path path)
    {
        doors_[vm]->path = path;
    }

    void
    SetConfig(const std::string &text)
    {
        config_ = text;
        config_revision_ = ++revision_;
    }

    void
    SetEntry(const std::string &text)
    {
        entry_ = text;
    }

    /* The store returns from a copy. */
    void
    BeginEra(const std::string &config)
    {
        era_++;
        revision_ -= 2;
        SetConfig(config);
    }

    /* Answers all watches with what was true when they began. */
    void
    AnswerLate()
    {
        for (auto &door : doors_) {
            for (const auto &watch : door->watches) {
                Send(watch.first, "{\"events\":[],\"as-of\":" +
                                      std::to_string(watch.second.after) +
                                      "}");
            }
            door->watches.clear();
        }
    }

    /* Answers the watches that are due. */
    void
    Tick()
    {
        for (auto &door : doors_) {
            auto watches = door->watches;
            for (const auto &watch : watches) {
                bool has_news = config_revision_ > watch.second.after;
                if (door->path == OPEN &&
                    (has_news || Clk_Now(&clk_) >= watch.second.until_us)) {
                    door->watches.erase(watch.first);
                    Send(watch.first,
                         "{\"events\":[" + (has_news ? ConfigItem() : "") +
                             "],\"as-of\":" + std::to_string(revision_) + "}");
                }
            }
        }
    }

    int calls = 0;
    std::vector<int> waits_ms; /* Of the watches. */
    /* Reads are answered by pages of one item. */
    bool has_pages = false;
    bool holds_lists = false; /* It answers watches only. */

  private:
    struct Watch {
        int after;
        int64_t until_us;
    };
    struct Door {
        SimStore *store;
        Server *server;
        Path path = OPEN;
        std::map<ServerExchange *, Watch> watches;
    };

    std::string
    ConfigItem() const
    {
        return Item("op/config", config_, config_revision_);
    }

    void
    Send(ServerExchange *exchange, const std::string &body, int status = 200)
    {
        HeaderList *headers = Header_New();
        Header_Add(headers, "Store-Era", std::to_string(era_).c_str());
        Server_SendResponse(exchange, status, headers, body.data(),
                            body.size());
        Header_Free(headers);
    }

    static void
    OnRequest(void *context, ServerExchange *exchange)
    {
        Door *door = static_cast<Door *>(context);
        SimStore *self = door->store;
        std::string target = exchange->target;
        self->calls++;
        if (door->path == REJECTS) {
            self->Send(exchange, "", 503);
            return;
        }
        size_t wait = target.find("wait-ms=");
        if (wait != std::string::npos) {
            int wait_ms = std::stoi(target.substr(wait + 8));
            self->waits_ms.push_back(wait_ms);
            door->watches[exchange] = {
                std::stoi(target.substr(target.find("after=") + 6)),
                Clk_Now(&self->clk_) + wait_ms * CLK_US_PER_MS};
            return;
        }
        if (door->path == SILENT || self->holds_lists) {
            return;
        }
        std::string entry = Item("servers/w-1", self->entry_, 1);
        bool is_second = target.find("after=op/config") != std::string::npos;
        std::string items = is_second ? entry
                            : self->has_pages
                                ? self->ConfigItem()
                                : self->ConfigItem() + "," + entry;
        self->Send(exchange,
                   Range(items, self->revision_, self->has_pages && !is_second)
                       .substr(4));
    }

    event_base *base_;
    Clk clk_;
    std::vector<std::unique_ptr<Door>> doors_;
    std::string config_;
    std::string entry_;
    int revision_ = 10;
    int config_revision_ = 0;
    int era_ = 1;
};

/* A configuration with the route "/r/" at host "h", the public route "/p/",
   and one account for each pair of name and key; `has_accounts`: false for
   none at all. */
inline std::string
AccountsConfig(int version,
               const std::vector<std::pair<std::string, std::string>> &keys,
               bool has_accounts = true)
{
    std::string route =
        "\"host\":\"h\",\"kind\":\"idempotent\",\"attempts\":2,"
        "\"timeout-ms\":4000,\"latency-slo-ms\":3000,"
        "\"service\":\"svc\",\"priority\":7";
    std::string text = "{\"version\":" + std::to_string(version) +
                       ",\"services\":[{\"name\":\"svc\"}],\"routes\":["
                       "{\"name\":\"r\",\"prefix\":\"/r/\"," +
                       route + "},{\"name\":\"p\",\"prefix\":\"/p/\"," +
                       "\"public\":true," + route + "}]";
    if (has_accounts) {
        text += ",\"tenants\":[";
        for (size_t i = 0; i < keys.size(); i++) {
            text += std::string(i > 0 ? "," : "") + "{\"name\":\"" +
                    keys[i].first + "\",\"priority\":1,\"keys\":[\"" +
                    keys[i].second + "\"]}";
        }
        text += "]";
    }
    return text + ",\"limits\":{}}";
}

class RevocationRig {
  public:
    explicit RevocationRig(uint32_t revoke_ms) : revoke_ms_(revoke_ms)
    {
        base = event_base_new();
        clk = Clk_Default();
        regions_ = g_hash_table_new(g_str_hash, g_str_equal);
        g_hash_table_insert(regions_, (gpointer) "zone-a", (gpointer) "reg-a");
        g_hash_table_insert(regions_, (gpointer) "zone-b", (gpointer) "reg-b");
        store = std::make_unique<SimStore>(base);
        worker = std::make_unique<Worker>(
            base, std::make_shared<std::deque<ScriptedReply>>(4000, Ok()));
        store->SetEntry("{\"service\":\"svc\",\"addr\":\"" + worker->address +
                        "\",\"zone\":\"zone-a\",\"version\":\"v1\","
                        "\"slots\":8,\"state\":\"ready\"}");
    }

    ~RevocationRig()
    {
        callers.clear();
        vms.clear();
        worker.reset();
        store.reset();
        event_base_free(base);
        g_hash_table_destroy(regions_);
    }

    /* `has_peers`: false for a VM without gossip. */
    void
    AddVm(const char *zone = "zone-a", bool has_peers = true,
          SimStore::Path path = SimStore::OPEN)
    {
        LsError err = {};
        EdgeOptions options = Edge_DefaultOptions();
        vms.push_back(std::make_unique<Vm>());
        Vm *vm = vms.back().get();
        vm->name = "vm-" + std::to_string(vms.size());
        vm->store = store->AddPath();
        store->SetPath(vms.size() - 1, path);
        options.base = base;
        options.clk = &clk;
        options.codec = Pf_GetCodec();
        options.decoder = Pf_GetDecoder();
        options.vm = vm->name.c_str();
        options.zone = zone;
        options.regions = regions_;
        options.capacity = 1000;
        options.seed = (guint32)vms.size();
        options.revoke_ms = revoke_ms_;
        options.metrics.port = FreePort();
        options.seeds[0] = seed_.c_str();
        options.seed_count = seed_.empty() ? 0 : 1;
        options.context = vm;
        options.is_source_reachable = [](void *context) {
            return Pf_IsStoreReachable(static_cast<Vm *>(context)->client);
        };
        vm->metrics_port = options.metrics.port;
        vm->edge =
            has_peers ? NewEdge(&options, &err) : Edge_New(&options, &err);
        ASSERT_NE(vm->edge, nullptr) << err.message;
        vm->peer_port = options.peers.port;
        if (seed_.empty()) {
            seed_ = "127.0.0.1:" + std::to_string(options.peers.port);
        }
        PfStoreOptions client = {};
        client.base = base;
        client.client = Edge_GetClient(vm->edge);
        client.feed = Edge_GetFeed(vm->edge);
        client.address = vm->store.c_str();
        client.seed = (guint32)vms.size();
        client.context = vm;
        client.is_watch_needed = [](void *context) {
            Vm *self = static_cast<Vm *>(context);
            return !self->is_paused && Edge_NeedsSource(self->edge);
        };
        vm->client = Pf_NewStore(&client);
    }

    void
    RunFor(int64_t ms)
    {
        int64_t end_us = Clk_Now(&clk) + ms * CLK_US_PER_MS;
        while (Clk_Now(&clk) < end_us) {
            timeval tick = {0, 1000};
            event_base_loopexit(base, &tick);
            event_base_dispatch(base);
            store->Tick();
        }
    }

    Caller *
    Begin(uint16_t port, const std::string &path, const std::string &fields,
          const std::string &id)
    {
        callers.push_back(std::make_unique<Caller>(base, port));
        callers.back()->Send("GET " + path + " HTTP/1.1\r\nHost: h\r\n" +
                             "X-Request-Id: " + id + "\r\n" + fields + "\r\n");
        return callers.back().get();
    }

    /* Calls with a key and returns the status of the answer; 0: none. */
    int
    Call(size_t vm, const std::string &key)
    {
        return CallFields(vm, "/r/x", "Authorization: Token " + key + "\r\n");
    }

    int
    CallFields(size_t vm, const std::string &path, const std::string &fields)
    {
        Caller *caller = Begin(Edge_GetPort(vms[vm]->edge), path, fields,
                               "id-" + std::to_string(++ids_));
        for (int i = 0; i < 100 && !caller->IsComplete() && !caller->closed;
             i++) {
            RunFor(2);
        }
        last = caller->text;
        int status = caller->Status();
        callers.pop_back();
        return status;
    }

    struct Vm {
        std::string name;
        std::string store;
        Edge *edge = nullptr;
        PfStore *client = nullptr;
        bool is_paused = false; /* Its watch of the store. */
        uint16_t metrics_port = 0;
        uint16_t peer_port = 0;

        ~Vm()
        {
            Pf_FreeStore(client);
            Edge_Free(edge);
        }
    };

    event_base *base;
    Clk clk;
    std::unique_ptr<SimStore> store;
    std::unique_ptr<Worker> worker;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<std::unique_ptr<Caller>> callers;
    std::string last; /* Answer to the last call. */

  private:
    uint32_t revoke_ms_;
    GHashTable *regions_;
    std::string seed_;
    int ids_ = 0;
};

#endif
