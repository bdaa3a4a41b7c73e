// Tests of lavenderspoolctl explain with the logs of several VMs.

#include <glib.h>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace {

// A log line of a VM at a second of one minute.
std::string
Line(int second, const char *vm, const char *event, const std::string &fields)
{
    char time[32];
    snprintf(time, sizeof(time), "2026-12-04T10:00:%02d.5Z", second);
    return "{" + fields + (fields.empty() ? "" : ",") + "\"event\":\"" +
           event + "\",\"time\":\"" + time +
           "\",\"level\":\"info\",\"vm\":\"" + vm + "\"}\n";
}

std::string
End(const char *outcome, int status, const std::string &cause)
{
    return Line(30, "a", "request_end",
                std::string("\"request\":\"r1\",\"outcome\":\"") + outcome +
                    "\",\"status\":" + std::to_string(status) +
                    ",\"took_us\":900000,\"cause\":\"" + cause + "\"");
}

std::string
Failed(const char *worker, const char *cause)
{
    return Line(29, "a", "call_failed",
                std::string("\"request\":\"r1\",\"worker\":\"") + worker +
                    "\",\"cause\":\"" + cause + "\"");
}

std::string
Retry(const char *run, bool repeatable, bool budget, bool candidate)
{
    auto text = [](bool value) { return value ? "true" : "false"; };
    return Line(
        29, "a", "retry",
        std::string("\"request\":\"r1\",\"next\":\"fail\",\"run\":\"") + run +
            "\",\"repeatable\":" + text(repeatable) + ",\"budget\":" +
            text(budget) + ",\"candidate\":" + text(candidate) +
            ",\"runs\":1,\"attempts\":2,\"left_ms\":40");
}

struct ExplainCase {
    const char *name;
    std::string log;
    std::vector<const char *> present;
    std::vector<const char *> absent;
};

const ExplainCase cases[] = {
    {"success", End("streamed", 200, ""), {"cause: none"}, {}},
    {"worker's error",
     Failed("w1", "worker's error") + End("passed", 500, "worker's error"),
     {"cause: the worker's own error was delivered, status 500"},
     {}},
    {"at most once",
     Failed("w1", "connection lost") + Retry("unknown", false, true, true) +
         End("failed", 502, "connection lost"),
     {"cause: failed: connection lost; last call at w1", "may have run"},
     {}},
    {"budget spent",
     Failed("w1", "refused by the worker") +
         Retry("not_run", true, false, true) + End("refused", 503, "x"),
     {"retry budget was spent"},
     {}},
    {"no other worker",
     Failed("w1", "unreachable") + Retry("not_run", true, true, false) +
         End("refused", 503, "x"),
     {"no other worker was usable"},
     {}},
    {"all workers pause",
     Line(25, "a", "worker_pauses", "\"worker\":\"w9\",\"pause_us\":9000000") +
         End("refused", 503, "all workers asked for a pause"),
     {"worker_pauses worker=\"w9\" pause_us=9000000",
      "cause: refused: all workers asked for a pause"},
     {}},
    {"no route",
     Line(30, "a", "request_refused",
          "\"request\":\"r1\",\"cause\":\"no route\""),
     {"cause: refused before any call: no route"},
     {}},
    {"the VM was killed",
     Failed("w1", "silent"),
     {"cause: unknown, the request's end is missing"},
     {}},
    {"events of its workers and its VM only, of the last 10 s",
     Line(10, "a", "worker_gone", "\"worker\":\"w1\"") +
         Line(25, "a", "worker_leaving", "\"worker\":\"w1\"") +
         Line(26, "a", "worker_gone", "\"worker\":\"w2\"") +
         Line(27, "b", "store_lost", "") + Line(28, "a", "store_era", "") +
         Failed("w1", "silent") + End("failed", 504, "timeout"),
     {"worker_leaving", "store_era"},
     {"worker_gone", "store_lost"}},
    {"lines out of order, with other text",
     End("streamed", 200, "") + "  7.5 a " + Failed("w1", "silent") +
         "no log line\n{broken\n",
     {"call_failed worker=\"w1\" cause=\"silent\"\n2026-12-04T10:00:30"},
     {}},
};

// Returns the program's output, or its exit status and errors.
std::string
Explain(const std::string &request, const std::string &path, int *status)
{
    std::string program = CTL_PROGRAM;
    char *argv[] = {&program[0], (char *)"explain", (char *)request.c_str(),
                    (char *)path.c_str(), nullptr};
    gchar *out = nullptr;
    gchar *errors = nullptr;
    EXPECT_TRUE(g_spawn_sync(nullptr, argv, nullptr, G_SPAWN_DEFAULT, nullptr,
                             nullptr, &out, &errors, status, nullptr));
    std::string text = std::string(out) + errors;
    g_free(out);
    g_free(errors);
    return text;
}

TEST(CtlExplain, CauseFromLogs)
{
    gchar *directory = g_dir_make_tmp("explain-XXXXXX", nullptr);
    std::string path = std::string(directory) + "/vms.log";
    for (const ExplainCase &row : cases) {
        SCOPED_TRACE(row.name);
        int status = -1;
        ASSERT_TRUE(g_file_set_contents(path.c_str(), row.log.data(),
                                        (gssize)row.log.size(), nullptr));
        std::string text = Explain("r1", path, &status);
        EXPECT_EQ(status, 0);
        for (const char *part : row.present) {
            EXPECT_NE(text.find(part), std::string::npos) << part << "\n"
                                                          << text;
        }
        for (const char *part : row.absent) {
            EXPECT_EQ(text.find(part), std::string::npos) << part << "\n"
                                                          << text;
        }
    }
    int status = 0;
    EXPECT_NE(Explain("r2", path, &status).find("error 101"),
              std::string::npos);
    EXPECT_NE(status, 0);
    EXPECT_NE(Explain("r1", path + "-missing", &status).find("error 500"),
              std::string::npos);
    EXPECT_NE(status, 0);
    remove(path.c_str());
    remove(directory);
    g_free(directory);
}

} // namespace
