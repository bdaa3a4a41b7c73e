/* Tests of malformed heads at the daemon: what its upstream client and the
   command-line tool take for a response, and its server for a request. */
#include "head_cases.h"
#include "ports.h"

#include <gtest/gtest.h>

extern "C" {
#include "upstream.h"
#include "web.h"
}

#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

int
OpenSocket(bool listens, uint16_t port)
{
    sockaddr_in local = {};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    local.sin_family = AF_INET;
    local.sin_port = htons(port);
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (listens) {
        EXPECT_EQ(bind(fd, (sockaddr *)&local, sizeof(local)), 0);
        EXPECT_EQ(listen(fd, 8), 0);
    }
    else {
        EXPECT_EQ(connect(fd, (sockaddr *)&local, sizeof(local)), 0);
    }
    return fd;
}

/* Answers the first bytes of each connection, and closes it once the caller
   has; or ends its own half and reads nothing more. */
class Server {
  public:
    explicit Server(const std::string &reply, bool half_closes = false)
        : fd_(OpenSocket(true, 0)), reply_(reply), half_closes_(half_closes),
          thread_([this] { Run(); })
    {
        sockaddr_in local = {};
        socklen_t size = sizeof(local);
        getsockname(fd_, (sockaddr *)&local, &size);
        address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    }

    ~Server()
    {
        shutdown(fd_, SHUT_RDWR);
        thread_.join();
        close(fd_);
    }

    std::string address;

  private:
    void
    Run()
    {
        int fd;
        while ((fd = accept(fd_, nullptr, nullptr)) >= 0) {
            char data[65536];
            timeval wait = {1, 0};
            setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
            if (recv(fd, data, sizeof(data), 0) > 0) {
                send(fd, reply_.data(), reply_.size(), MSG_NOSIGNAL);
                if (half_closes_) {
                    /* Nothing more is read, so that an upload stays
                       unsent. */
                    shutdown(fd, SHUT_WR);
                    usleep(100000);
                }
                else {
                    while (recv(fd, data, sizeof(data), 0) > 0) {
                    }
                }
            }
            close(fd);
        }
    }

    int fd_;
    std::string reply_;
    bool half_closes_;
    std::thread thread_;
};

struct Outcome {
    int ends = 0;
    int failures = 0;
    std::string body;
};

/* Calls an upstream once. */
Outcome
CallUpstream(const std::string &address, const std::string &upload)
{
    Outcome outcome;
    UpOptions options = Up_DefaultOptions();
    BoardCall request = {};
    GArray *fds = g_array_new(FALSE, FALSE, 8);
    options.context = &outcome;
    options.on_event = [](void *context, const BoardCallEvent *event) {
        Outcome *to = static_cast<Outcome *>(context);
        to->ends += event->type == BOARD_CALL_END;
        to->failures += event->type == BOARD_CALL_FAILED;
        to->body.assign(event->data, event->size);
    };
    Up *up = Up_New(&options);
    request.id = 1;
    request.method = "POST";
    request.address = address.c_str();
    request.path = "/";
    request.body = upload.data();
    request.body_size = upload.size();
    request.fresh = true;
    Up_BeginCall(up, &request);
    for (int i = 0; i < 400 && outcome.ends + outcome.failures == 0; i++) {
        Up_Run(up, fds, 10);
    }
    Up_Free(up);
    g_array_unref(fds);
    return outcome;
}

/* libcurl takes any three digits for a status, and passes over fields that it
   can't read. */
TEST(DaemonHeads, UpstreamTakesOnlyValidHeads)
{
    for (const HeadCase &row : head_cases) {
        SCOPED_TRACE(row.name);
        Server server(MakeResponse(row));
        Outcome outcome = CallUpstream(server.address, "b");
        EXPECT_EQ(outcome.ends, row.is_valid);
        EXPECT_EQ(outcome.failures, !row.is_valid);
        if (row.is_valid) {
            EXPECT_EQ(outcome.body, "ok");
        }
    }
}

/* An end of the connection during an upload proves nothing. */
TEST(DaemonHeads, EndDuringAnUploadCompletesNoResponse)
{
    const struct {
        const char *head;
        size_t upload;
        int ends;
    } rows[] = {
        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 16 << 20, 0},
        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 100, 1},
    };
    for (const auto &row : rows) {
        SCOPED_TRACE(row.upload);
        Server server(std::string(row.head) + "eighteen bytes 123", true);
        Outcome outcome =
            CallUpstream(server.address, std::string(row.upload, 'u'));
        EXPECT_EQ(outcome.ends, row.ends);
        EXPECT_EQ(outcome.failures, !row.ends);
    }
}

/* The command-line tool prints only what came in a valid response. */
TEST(DaemonHeads, ToolTakesOnlyValidHeads)
{
    for (const HeadCase &row : head_cases) {
        if (std::string(row.body) != "ok") {
            continue;
        }
        SCOPED_TRACE(row.name);
        HeadCase json = row;
        json.body = "{}"; /* Of the same length. */
        Server server(MakeResponse(json));
        std::string command =
            CTL_PROGRAM " status --vm " + server.address + " >/dev/null 2>&1";
        int result = system(command.c_str());
        EXPECT_EQ(WEXITSTATUS(result), row.is_valid ? 0 : 2);
    }
}

/* libmicrohttpd joins continued lines, cuts a value at a NUL and drops a field
   without a name before the daemon sees them. The daemon passes on no fields,
   so that none of these reaches an upstream. */
bool
IsHidden(const HeadCase &row)
{
    std::string name = row.name;
    return name.find("continued line") == 0 || name == "NUL in a value" ||
           name == "empty name";
}

/* A malformed request is not used, and its connection closes. */
TEST(DaemonHeads, ServerTakesOnlyValidRequests)
{
    PortBlocks ports;
    WebOptions options = Web_DefaultOptions();
    LsError err = {};
    Web *web = nullptr;
    options.bind_address = "127.0.0.1";
    options.wake = [](void *) {};
    for (int i = 0; i < 20 && web == nullptr; i++) {
        options.port = ports.Next();
        options.operator_port = ports.Next();
        web = Web_New(&options, &err);
    }
    ASSERT_NE(web, nullptr) << err.message;
    for (const HeadCase &row : head_cases) {
        if (!IsForRequests(row)) {
            continue;
        }
        SCOPED_TRACE(row.name);
        std::string text =
            WithNul("POST /v1/services/s/x HTTP/1.1\r\nHost: h\r\n"
                    "Authorization: Bearer k\r\n" +
                    std::string(row.fields) + row.framing + "\r\n" + row.body);
        int fd = OpenSocket(false, options.port);
        std::string answer;
        int intents = 0;
        bool is_closed = false;
        EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
                  (ssize_t)text.size());
        for (int i = 0; i < 500 && intents == 0 && !is_closed; i++) {
            char data[4096];
            ssize_t size = recv(fd, data, sizeof(data), MSG_DONTWAIT);
            WebIntent *intent = Web_TakeIntent(web);
            is_closed = size == 0 || (size < 0 && errno != EAGAIN);
            answer.append(data, size > 0 ? (size_t)size : 0);
            if (intent != nullptr && intent->type == WEB_INTENT_SERVICE) {
                intents++;
            }
            if (intent != nullptr) {
                Web_FreeIntent(intent);
            }
            usleep(2000);
        }
        bool is_taken = row.is_valid || IsHidden(row);
        EXPECT_EQ(intents, is_taken);
        EXPECT_EQ(is_closed, !is_taken);
        if (!answer.empty()) {
            EXPECT_EQ(answer.substr(9, 3), "400");
        }
        close(fd);
    }
    Web_Free(web);
}

} // namespace
