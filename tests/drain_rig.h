/* Drain rig: a gate process on the machine's clock, with a worker, a store and
   callers that keep their connections until the process is gone. */
#ifndef LS_DRAIN_RIG_H
#define LS_DRAIN_RIG_H

#include "gate_rig.h"
#include "store_rig.h"

#include <fcntl.h>
#include <gtest/gtest-spi.h>
#include <map>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

/* Worker that takes X-Work-Ms for each request; -1: it never answers. With
   X-Events it sends one event each 50 ms in that time. */
class SlowWorker {
  public:
    explicit SlowWorker(event_base *base) : base_(base)
    {
        LsError err = {};
        ServerOptions options = Server_DefaultOptions();
        clk_ = Clk_Default();
        options.base = base;
        options.clk = &clk_;
        options.context = this;
        options.on_request = OnRequest;
        options.on_disconnect = [](void *, ServerExchange *exchange) {
            Drop(static_cast<Job *>(exchange->owner));
        };
        server_ = Server_New(&options, &err);
        address = "127.0.0.1:" + std::to_string(Server_GetPort(server_));
    }

    ~SlowWorker()
    {
        Server_Free(server_);
    }

    std::string address;
    std::map<std::string, int> runs; /* By the request's ID. */

  private:
    struct Job {
        SlowWorker *worker;
        ServerExchange *exchange;
        event *timer;
        int64_t left_ms;
        int next;
        bool is_stream;
    };

    static void
    Drop(Job *job)
    {
        if (job != nullptr) {
            event_free(job->timer);
            delete job;
        }
    }

    static void
    OnRequest(void *context, ServerExchange *exchange)
    {
        SlowWorker *self = static_cast<SlowWorker *>(context);
        const char *id = Header_Find(exchange->headers, "X-Request-Id");
        const char *work = Header_Find(exchange->headers, "X-Work-Ms");
        if (id == nullptr) {
            Server_SendResponse(exchange, 404, nullptr, "", 0);
            return;
        }
        self->runs[id]++;
        Job *job = new Job();
        job->worker = self;
        job->exchange = exchange;
        job->left_ms = work != nullptr ? atoi(work) : 0;
        job->is_stream = Header_Find(exchange->headers, "X-Events") != nullptr;
        job->timer = evtimer_new(self->base_, OnTimer, job);
        exchange->owner = job;
        if (job->is_stream) {
            HeaderList *headers = self->MakeHeaders(exchange);
            Server_BeginStream(exchange, 200, headers);
            Header_Free(headers);
        }
        if (job->left_ms >= 0) {
            Arm(job);
        }
    }

    static void
    Arm(Job *job)
    {
        int64_t ms = job->is_stream ? MIN(job->left_ms, 50) : job->left_ms;
        timeval time = {ms / 1000, ms % 1000 * 1000};
        job->left_ms -= ms;
        evtimer_add(job->timer, &time);
    }

    static void
    OnTimer(evutil_socket_t, short, void *context)
    {
        Job *job = static_cast<Job *>(context);
        ServerExchange *exchange = job->exchange;
        if (job->is_stream) {
            std::string event = ::Events(job->next, job->next);
            job->next++;
            Server_SendData(exchange, event.data(), event.size());
            if (job->left_ms > 0) {
                Arm(job);
                return;
            }
            Drop(job);
            exchange->owner = nullptr;
            Server_EndStream(exchange);
            return;
        }
        HeaderList *headers = job->worker->MakeHeaders(exchange);
        Drop(job);
        exchange->owner = nullptr;
        Server_SendResponse(exchange, 200, headers, "done", 4);
        Header_Free(headers);
    }

    HeaderList *
    MakeHeaders(const ServerExchange *exchange)
    {
        HeaderList *headers = Header_New();
        Header_Add(headers, "X-Request-Id",
                   Header_Find(exchange->headers, "X-Request-Id"));
        Header_Add(headers, "X-Response-Stamp", "s");
        return headers;
    }

    event_base *base_;
    Server *server_;
    Clk clk_;
};

/* One request of a caller. */
struct DrainRow {
    const char *name;
    int at_ms;    /* After the stop signal. */
    int rest_ms;  /* When its last byte is sent; 0: with the others. */
    int work_ms;  /* -1: the worker never answers. */
    int limit_ms; /* The caller's time limit; 0: none. */
    char kind;    /* Route: 'o'nce, 'i'dempotent, 's'tream, 'r'esumable. */
    int status;   /* Expected; 0: refused with 503, or lost on the way with
                     the connection's close, but not run. */
};

/* Time in which the process gets no processor. */
struct DrainPause {
    int at_ms; /* After the stop signal. */
    int for_ms;
};

/* How a stop is played. */
struct DrainPlay {
    int grace_ms;
    std::vector<int> signals = {SIGTERM};
    std::vector<DrainPause> pauses;
    bool ends_itself = true; /* Before the kill. */
};

struct Sent {
    std::string id;
    std::unique_ptr<Caller> caller;
    std::string rest;
    int rest_ms = 0;
    const DrainRow *row = nullptr;
    int64_t end_ms = -1; /* When its answer was complete. */
};

class GateDrain : public testing::Test {
  protected:
    /* The rig turns each 2 ms while it has a processor. */
    static const int late_turn_ms = 20;
    /* Space of the rows and of the bounds for a rig that is late. */
    static const int rig_margin_ms = 50;
    static const int plays_max = 5;

    void
    SetUp() override
    {
        gchar *name = g_dir_make_tmp("gate-drain-XXXXXX", nullptr);
        directory = name;
        g_free(name);
        base = event_base_new();
        clk = Clk_Default();
        worker = std::make_unique<SlowWorker>(base);
    }

    void
    TearDown() override
    {
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        if (log_fd >= 0) {
            close(log_fd);
        }
        unlink((directory + "/settings.json").c_str());
        rmdir(directory.c_str());
        sent.clear();
        worker.reset();
        store.reset();
        event_base_free(base);
    }

    /* Runs the loop until the condition holds; notes when the rig had no
       processor. */
    bool
    Until(const std::function<bool()> &condition)
    {
        return RunUntil(base, &clk, [&] {
            NoteTurn();
            return condition();
        });
    }

    void
    RunFor(int64_t ms)
    {
        int64_t end_us = Clk_Now(&clk) + ms * CLK_US_PER_MS;
        Until([&] { return Clk_Now(&clk) >= end_us; });
    }

    /* Plays until the expectations hold. The worker and the callers are in the
       rig's process: if that got no processor for longer than the margin
       since the stop signal, a failure doesn't show a fault of the gate, and
       the play is repeated. The last play counts in any case. */
    void
    PlayOnRig(const std::function<void()> &play, int margin_ms = rig_margin_ms)
    {
        for (int count = 1;; count++) {
            testing::TestPartResultArray results;
            BeginTurns();
            {
                testing::ScopedFakeTestPartResultReporter reporter(
                    testing::ScopedFakeTestPartResultReporter::
                        INTERCEPT_ONLY_CURRENT_THREAD,
                    &results);
                play();
                NoteTurn();
            }
            int failures = 0;
            for (int i = 0; i < results.size(); i++) {
                failures += results.GetTestPartResult(i).failed();
            }
            if (failures == 0) {
                return;
            }
            if (held_up_all_ms <= margin_ms || count == plays_max) {
                Report(results);
                return;
            }
            std::cout << "play " << count << ": " << failures
                      << " failures, the rig was held up for "
                      << held_up_all_ms << " ms; played again\n"
                      << results.GetTestPartResult(0).message() << std::endl;
            Reset();
        }
    }

    std::string
    MakeConfig()
    {
        const char *const rows[][2] = {{"o", "non_idempotent"},
                                       {"i", "idempotent"},
                                       {"s", "stream"},
                                       {"r", "stream"}};
        std::string routes;
        for (const auto &row : rows) {
            bool is_stream = std::string(row[1]) == "stream";
            routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"" +
                      row[0] + "\",\"host\":\"h\",\"prefix\":\"/" + row[0] +
                      "/\",\"kind\":\"" + row[1] +
                      "\",\"timeout-ms\":14000,\"latency-slo-ms\":900,"
                      "\"attempts\":2,\"can-resume\":" +
                      (row[0][0] == 'r' ? "true" : "false") +
                      ",\"gap-target-ms\":300,\"service\":\"" +
                      (is_stream ? "model" : "plain") + "\"}";
        }
        return "{\"version\":1,\"routes\":[" + routes +
               "],\"services\":[{\"name\":\"plain\"},{\"name\":\"model\","
               "\"engine\":{\"kv-tokens\":60000,\"stride\":1}}]}";
    }

    std::string
    MakeEntry(const char *service, const char *phase)
    {
        return std::string("{\"service\":\"") + service + "\",\"addr\":\"" +
               worker->address +
               "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":64," + phase +
               "\"state\":\"ready\"}";
    }

    void
    Start(const char *grace_s, int attempts = 4)
    {
        auto address = [] {
            return "127.0.0.1:" + std::to_string(FreePort());
        };
        std::string front = address();
        store = std::make_unique<ScriptedStore>(
            base, std::vector<std::string>{Range(
                      Item("op/config", MakeConfig(), 1) + "," +
                          Item("servers/p", MakeEntry("plain", ""), 2) + "," +
                          Item("servers/d",
                               MakeEntry("model", "\"phase\":\"decode\","), 3),
                      3)});
        std::string settings =
            "{\"node\":\"vm\",\"zone\":\"z\",\"ip\":\"127.0.0.1\","
            "\"listen\":{\"front\":\"" +
            front + "\",\"ready\":\"" + address() + "\",\"control\":\"" +
            address() +
            "\"},\"zones\":{\"z\":\"r\"},\"seed-addrs\":[],"
            "\"platform\":{\"addr\":\"" +
            store->address + "\"},\"bounds\":{\"grace-s\":" + grace_s + "}}";
        std::string path = directory + "/settings.json";
        ASSERT_TRUE(g_file_set_contents(path.c_str(), settings.data(),
                                        (gssize)settings.size(), nullptr));
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        int ends[2];
        ASSERT_EQ(pipe2(ends, O_CLOEXEC | O_NONBLOCK), 0);
        posix_spawn_file_actions_adddup2(&files, ends[1], STDOUT_FILENO);
        char *argv[] = {(char *)GATE_PROGRAM, (char *)"--settings",
                        (char *)path.c_str(), nullptr};
        char *envp[] = {nullptr};
        /* The rig's callers may write to connections that the gate has closed;
           the gate takes care of that itself. */
        sigset_t defaults;
        sigemptyset(&defaults);
        sigaddset(&defaults, SIGPIPE);
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        posix_spawnattr_setsigdefault(&attributes, &defaults);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
        signal(SIGPIPE, SIG_IGN);
        ASSERT_EQ(posix_spawn(&pid, argv[0], &files, &attributes, argv, envp),
                  0);
        posix_spawnattr_destroy(&attributes);
        posix_spawn_file_actions_destroy(&files);
        close(ends[1]);
        if (log_fd >= 0) {
            close(log_fd);
        }
        log_fd = ends[0];
        port = (uint16_t)std::stoi(front.substr(front.find(':') + 1));
        /* The process serves once a request is answered. Another process may
           have taken one of the ports meanwhile. */
        int64_t last_us = Clk_Now(&clk) + 4 * CLK_US_PER_S;
        bool serves = false;
        while (!serves && Clk_Now(&clk) < last_us && !IsGone()) {
            Caller probe(base, port);
            probe.Send(MakeRequest("probe", {"", 0, 0, 0, 0, 'o', 200}));
            int64_t end_us = Clk_Now(&clk) + 100 * CLK_US_PER_MS;
            Until(
                [&] { return probe.IsComplete() || Clk_Now(&clk) > end_us; });
            serves = probe.Status() == 200;
        }
        if (!serves && attempts > 0) {
            if (pid > 0) {
                kill(pid, SIGKILL);
                waitpid(pid, nullptr, 0);
                pid = 0;
            }
            log.clear();
            Start(grace_s, attempts - 1);
            return;
        }
        ASSERT_TRUE(serves);
    }

    std::string
    MakeRequest(const std::string &id, const DrainRow &row)
    {
        bool is_stream = row.kind == 's' || row.kind == 'r';
        return std::string("POST /") + row.kind +
               "/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
               "\r\nX-Work-Ms: " + std::to_string(row.work_ms) + "\r\n" +
               (row.limit_ms > 0
                    ? "X-Deadline-Ms: " + std::to_string(row.limit_ms) + "\r\n"
                    : "") +
               (is_stream
                    ? "X-Events: 1\r\nX-Token-Usage: 10," +
                          std::to_string(MAX(row.work_ms / 50, 1)) + "\r\n"
                    : "") +
               "Content-Length: 1\r\n\r\nb";
    }

    /* A connection that has had a request before. */
    std::unique_ptr<Caller>
    Connect()
    {
        std::unique_ptr<Caller> caller = std::make_unique<Caller>(base, port);
        caller->Send(MakeRequest("warm" + std::to_string(++warmed_),
                                 {"", 0, 0, 0, 0, 'i', 200}));
        EXPECT_TRUE(Until([&] { return caller->IsComplete(); }));
        caller->text.clear();
        return caller;
    }

    /* Notes the time of the stop signal. What held up the rig before is no
       reason to repeat the play. */
    void
    BeginStop()
    {
        stop_us = Clk_Now(&clk);
        BeginTurns();
    }

    int64_t
    GetMs()
    {
        return (Clk_Now(&clk) - stop_us) / CLK_US_PER_MS;
    }

    /* Reads the log; notes when the process says that it has stopped. */
    void
    ReadLog()
    {
        char part[4096];
        ssize_t size;
        while ((size = read(log_fd, part, sizeof(part))) > 0) {
            log.append(part, (size_t)size);
        }
        if (stopped_ms == 0 && log.find("\"stopped\"") != std::string::npos) {
            stopped_ms = GetMs();
        }
    }

    bool
    IsGone()
    {
        ReadLog();
        if (pid > 0 && waitpid(pid, &exit_status, WNOHANG) == pid) {
            gone_ms = GetMs();
            pid = 0;
            ReadLog(); /* Its last lines may have come since. */
        }
        return pid == 0;
    }

    /* Takes the processor from the process, and gives it back. */
    void
    PlayPauses(const DrainPlay &play, int64_t now_ms)
    {
        bool is_due = false;
        for (const DrainPause &pause : play.pauses) {
            is_due = is_due || (now_ms >= pause.at_ms &&
                                now_ms < pause.at_ms + pause.for_ms);
        }
        if (is_due != is_paused && pid > 0) {
            kill(pid, is_due ? SIGSTOP : SIGCONT);
            is_paused = is_due;
        }
    }

    void
    Play(const std::vector<DrainRow> &rows, int grace_ms,
         const std::vector<int> &signals = {SIGTERM})
    {
        DrainPlay play = {grace_ms};
        play.signals = signals;
        Play(rows, play);
    }

    /* Stops the process and plays the rows. */
    void
    Play(const std::vector<DrainRow> &rows, const DrainPlay &play)
    {
        int grace_ms = play.grace_ms;
        ASSERT_GT(pid, 0);
        for (const DrainRow &row : rows) {
            sent.emplace_back();
            sent.back().row = &row;
            sent.back().id = "r" + std::to_string(sent.size());
            sent.back().caller = Connect();
        }
        BeginStop();
        PlayPauses(play, 0);
        for (int number : play.signals) {
            kill(pid, number);
        }
        bool is_killed = false;
        std::vector<bool> begun(rows.size());
        Until([&] {
            int64_t now_ms = GetMs();
            PlayPauses(play, now_ms);
            if (now_ms >= grace_ms && !play.pauses.empty() && pid > 0 &&
                !is_killed) {
                is_killed = true;
                kill(pid, SIGKILL);
            }
            for (size_t i = 0; i < rows.size(); i++) {
                Sent &one = sent[i];
                if (!begun[i] && now_ms >= one.row->at_ms) {
                    std::string text = MakeRequest(one.id, *one.row);
                    size_t first =
                        one.row->rest_ms > 0 ? text.size() - 1 : text.size();
                    begun[i] = true;
                    one.caller->Send(text.substr(0, first));
                    one.rest = text.substr(first);
                }
                if (!one.rest.empty() && now_ms >= one.row->rest_ms) {
                    one.caller->Send(one.rest);
                    one.rest.clear();
                }
                if (one.end_ms < 0 && one.caller->IsComplete()) {
                    one.end_ms = now_ms;
                }
            }
            return IsGone() || now_ms > grace_ms + 500;
        });
        /* What was on the way when it ended. */
        RunFor(50);
        /* The worker and the callers are as late as the rig is. */
        SCOPED_TRACE("the rig was held up for " + std::to_string(held_up_ms) +
                     " ms at most, " + std::to_string(held_up_all_ms) +
                     " ms in all");
        EXPECT_EQ(pid, 0) << "still runs after its grace";
        if (play.ends_itself) {
            EXPECT_FALSE(is_killed);
            EXPECT_LE(gone_ms, grace_ms) << "stopped at " << stopped_ms;
            EXPECT_NE(log.find("\"stopped\""), std::string::npos);
        }
        if (play.pauses.empty()) {
            /* After its work it has time to end, however slowly it does. */
            EXPECT_LE(stopped_ms, grace_ms - 75);
        }
        for (const Sent &one : sent) {
            const DrainRow &row = *one.row;
            SCOPED_TRACE(row.name);
            int runs = worker->runs.count(one.id) ? worker->runs[one.id] : 0;
            if (row.status == 0) {
                EXPECT_EQ(runs, 0);
                EXPECT_TRUE(one.caller->text.empty() ||
                            one.caller->Status() == 503)
                    << one.caller->text;
                continue;
            }
            EXPECT_TRUE(one.caller->IsComplete()) << one.caller->text.size();
            EXPECT_EQ(one.caller->Status(), row.status);
            EXPECT_EQ(runs, row.status == 503 ? 0 : 1);
            if (row.status == 503) {
                EXPECT_NE(one.caller->text.find("Retry-After: "),
                          std::string::npos);
                EXPECT_NE(one.caller->text.find("Connection: close"),
                          std::string::npos);
            }
        }
    }

    /* Prepares for another start and play. */
    void
    Reset()
    {
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
            pid = 0;
        }
        sent.clear();
        worker->runs.clear();
        log.clear();
        is_paused = false;
        gone_ms = 0;
        stopped_ms = 0;
    }

    std::string directory;
    event_base *base;
    Clk clk;
    std::unique_ptr<SlowWorker> worker;
    std::unique_ptr<ScriptedStore> store;
    uint16_t port = 0;
    pid_t pid = 0;
    bool is_paused = false;
    int exit_status = 0;
    int64_t stop_us = 0;
    int64_t gone_ms = 0;
    int64_t stopped_ms = 0;
    int64_t held_up_ms = 0;     /* The longest time between two turns. */
    int64_t held_up_all_ms = 0; /* All those longer than late_turn_ms. */
    int log_fd = -1;
    std::string log;
    std::vector<Sent> sent;

  private:
    void
    BeginTurns()
    {
        held_up_ms = 0;
        held_up_all_ms = 0;
        last_turn_us_ = Clk_Now(&clk);
    }

    void
    NoteTurn()
    {
        int64_t now_us = Clk_Now(&clk);
        int64_t turn_ms = (now_us - last_turn_us_) / CLK_US_PER_MS;
        last_turn_us_ = now_us;
        held_up_ms = MAX(held_up_ms, turn_ms);
        held_up_all_ms += turn_ms > late_turn_ms ? turn_ms : 0;
    }

    static void
    Report(const testing::TestPartResultArray &results)
    {
        for (int i = 0; i < results.size(); i++) {
            const testing::TestPartResult &result =
                results.GetTestPartResult(i);
            if (result.failed()) {
                ADD_FAILURE_AT(result.file_name(), result.line_number())
                    << result.message();
            }
        }
    }

    int warmed_ = 0;
    int64_t last_turn_us_ = 0;
};

#endif
