/* Test of `lavenderspoolctl accounts` against the text of a gate's metrics. */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cstdio>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

/* Answers one request with the body, and returns what the program prints. */
std::string
RunAccounts(const std::string &body, const std::string &flags)
{
    sockaddr_in local = {};
    socklen_t size = sizeof(local);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(listener, (sockaddr *)&local, sizeof(local)), 0);
    EXPECT_EQ(listen(listener, 1), 0);
    getsockname(listener, (sockaddr *)&local, &size);
    std::thread server([&] {
        char request[4096];
        int fd = accept(listener, nullptr, nullptr);
        std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
        EXPECT_GT(read(fd, request, sizeof(request)), 0);
        EXPECT_EQ(write(fd, answer.data(), answer.size()),
                  (ssize_t)answer.size());
        close(fd);
    });
    std::string command =
        std::string(CTL_PROGRAM) +
        " accounts --vms 127.0.0.1:" + std::to_string(ntohs(local.sin_port)) +
        flags;
    std::string text;
    char data[4096];
    FILE *output = popen(command.c_str(), "r");
    size_t count;
    while ((count = fread(data, 1, sizeof(data), output)) > 0) {
        text.append(data, count);
    }
    EXPECT_EQ(pclose(output), 0);
    server.join();
    close(listener);
    return text;
}

const char metrics[] =
    "# HELP lavenderspool_key_lease Whether keys are accepted.\n"
    "lavenderspool_keys_missing_total 3\n"
    "lavenderspool_keys_unknown_total 4\n"
    "lavenderspool_key_lease 1\n"
    "lavenderspool_key_proof_age_seconds 1.250\n"
    "lavenderspool_account_requests_total{account=\"acme\"} 7\n"
    "lavenderspool_account_requests_total{account=\"a\\\"b\\\\c\"} 8\n"
    "lavenderspool_account_requests_total{account=\"cut";

TEST(CtlAccounts, PrintsAccountsLeaseAndRejections)
{
    std::string text = RunAccounts(metrics, "");
    for (const char *part :
         {"lease yes, proof 1.250 s old", "missing 3", "unknown 4",
          "unproven 0", "account acme: 7 requests",
          "account a\"b\\c: 8 requests"}) {
        EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
    }
    EXPECT_EQ(text.find("cut"), std::string::npos);
    EXPECT_NE(RunAccounts("# no lease\n", "").find("lease not needed"),
              std::string::npos);
    EXPECT_NE(RunAccounts(metrics, " --json").find("\"acme\": 7"),
              std::string::npos);
}

} // namespace
