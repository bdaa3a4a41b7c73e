/* Test rig of the store's client: a scripted store, and a gate that follows
   it. */
#ifndef STORE_RIG_H
#define STORE_RIG_H

#include "gate_rig.h"

/* Responds to each call with the next row of its script, "STATUS BODY" or
   "ERA;STATUS BODY". It does not respond to a call whose row is "". */
class ScriptedStore {
  public:
    ScriptedStore(event_base *base, std::vector<std::string> script)
        : script_(script.begin(), script.end())
    {
        LsError err = {};
        ServerOptions options = Server_DefaultOptions();
        clk_ = Clk_Default();
        options.base = base;
        options.clk = &clk_;
        options.context = this;
        options.on_request = OnRequest;
        options.on_disconnect = [](void *, ServerExchange *) {};
        server_ = Server_New(&options, &err);
        address = "127.0.0.1:" + std::to_string(Server_GetPort(server_));
    }

    ~ScriptedStore()
    {
        Server_Free(server_);
    }

    void
    Push(const std::string &response)
    {
        script_.push_back(response);
    }

    std::string address;
    std::vector<std::string> targets;

  private:
    static void
    OnRequest(void *context, ServerExchange *exchange)
    {
        ScriptedStore *self = static_cast<ScriptedStore *>(context);
        self->targets.push_back(exchange->target);
        if (self->script_.empty()) {
            return; /* A watch without changes stays open. */
        }
        std::string response = self->script_.front();
        self->script_.pop_front();
        if (response.empty()) {
            return;
        }
        HeaderList *headers = Header_New();
        size_t era = response.find(';');
        if (era < response.find(' ')) {
            Header_Add(headers, "Store-Era", response.substr(0, era).c_str());
            response = response.substr(era + 1);
        }
        int status = std::stoi(response);
        std::string body = response.substr(4);
        Server_SendResponse(exchange, status, headers, body.data(),
                            body.size());
        Header_Free(headers);
    }

    std::deque<std::string> script_;
    Server *server_;
    Clk clk_;
};

/* A key with its value, as the store returns it. */
inline std::string
Item(const std::string &key, const std::string &value, int revision)
{
    gchar *text = g_base64_encode((const guchar *)value.data(), value.size());
    std::string item = "{\"key\":\"" + key + "\",\"value\":\"" + text +
                       "\",\"revision\":" + std::to_string(revision) +
                       ",\"created\":1,\"lease\":0}";
    g_free(text);
    return item;
}

inline std::string
WorkerEntry(const char *state)
{
    return std::string("{\"service\":\"svc\",\"addr\":\"127.0.0.1:9\","
                       "\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":4,"
                       "\"state\":\"") +
           state + "\"}";
}

inline std::string
Range(const std::string &items, int as_of, bool truncated = false)
{
    return "200 {\"items\":[" + items +
           "],\"truncated\":" + (truncated ? "true" : "false") +
           ",\"as-of\":" + std::to_string(as_of) + "}";
}

inline std::string
Events(const std::string &events, int as_of)
{
    return "200 {\"events\":[" + events +
           "],\"as-of\":" + std::to_string(as_of) + "}";
}

class StoreTest : public testing::Test {
  protected:
    void
    Begin(std::vector<std::string> script)
    {
        PfStoreOptions options = {};
        store = std::make_unique<ScriptedStore>(rig.base, script);
        options.base = rig.base;
        options.client = Edge_GetClient(rig.edge);
        options.feed = Edge_GetFeed(rig.edge);
        options.address = store->address.c_str();
        options.seed = 3;
        options.context = this;
        options.is_watch_needed = [](void *context) {
            return static_cast<StoreTest *>(context)->watch_needed;
        };
        client = Pf_NewStore(&options);
    }

    void
    TearDown() override
    {
        Pf_FreeStore(client);
        store.reset();
    }

    bool
    IsReady(const char *id)
    {
        FleetWorker *worker = Fleet_Find(Edge_GetFleet(rig.edge), id);
        return worker != nullptr && Fleet_IsReady(worker, Clk_Now(&rig.clk));
    }

    GateRig rig;
    std::unique_ptr<ScriptedStore> store;
    PfStore *client = nullptr;
    bool watch_needed = true;
};

#endif
