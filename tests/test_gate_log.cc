/* Tests of the log while its reader is behind: lines are dropped, or shortened
   to what a pipe takes at once, and the process never waits for the reader. */
#include <gtest/gtest.h>

extern "C" {
#include "log.h"
}

#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

struct ReaderCase {
    const char *name;
    size_t id_bytes;   /* Of the request's identifier in each line. */
    size_t free_bytes; /* Of the pipe or socket as the lines come. */
    bool is_socket;
    char fill; /* Of the identifier; some are escaped. */
};

const ReaderCase reader_cases[] = {
    {"short lines", 16, 8192, false, 'a'},
    {"lines of a page", 4000, 8192, false, 'a'},
    {"long lines, a page is free", 12000, 4096, false, 'a'},
    {"long lines, some pages are free", 12000, 12288, false, 'a'},
    {"escaped characters", 2000, 8192, false, '\x01'},
    {"long lines to a socket", 12000, 8192, true, 'a'},
    {"a line longer than the pipe", 200000, 65536, false, 'a'},
};

/* Fills the descriptor but for some bytes. */
void
Fill(int fd, int reader, size_t free_bytes)
{
    std::string page(4096, 'x');
    int flags = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    while (write(fd, page.data(), page.size()) > 0) {
    }
    fcntl(fd, F_SETFL, flags);
    std::string taken(free_bytes, 0);
    EXPECT_EQ(read(reader, &taken[0], free_bytes), (ssize_t)free_bytes);
}

/* Reads all that comes until the writers have closed. */
std::string
ReadAll(int reader)
{
    std::string text;
    char data[65536];
    ssize_t size;
    while ((size = read(reader, data, sizeof(data))) > 0) {
        text.append(data, (size_t)size);
    }
    return text;
}

/* review/3: a line longer than what is free held the process up. */
TEST(GateLog, NoLineWaitsForTheReader)
{
    for (const ReaderCase &row : reader_cases) {
        SCOPED_TRACE(row.name);
        int ends[2]; /* Reader, writer. */
        if (row.is_socket) {
            ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
        }
        else {
            ASSERT_EQ(pipe(ends), 0);
        }
        Fill(ends[1], ends[0], row.free_bytes);
        pid_t pid = fork();
        if (pid == 0) {
            dup2(ends[1], STDOUT_FILENO);
            Log_Begin("vm-1", LOG_LEVEL_INFO);
            std::string id(row.id_bytes, row.fill);
            for (int i = 0; i < 20; i++) {
                Log_WriteJson(LOG_LEVEL_INFO, "request_end",
                              json_pack("{s:s,s:i}", "request", id.c_str(),
                                        "number", i));
            }
            _exit(0);
        }
        int status = -1;
        pid_t ended = 0;
        for (int i = 0; i < 500 && ended == 0; i++) {
            usleep(10000);
            ended = waitpid(pid, &status, WNOHANG);
        }
        EXPECT_EQ(ended, pid) << "the process waits for the reader";
        if (ended != pid) {
            kill(pid, SIGKILL);
            waitpid(pid, &status, 0);
        }
        close(ends[1]);
        std::string text = ReadAll(ends[0]);
        close(ends[0]);
        /* What was written is whole lines. */
        size_t at = text.find_first_not_of('x');
        int lines = 0;
        while (at != std::string::npos && at < text.size()) {
            size_t end = text.find('\n', at);
            ASSERT_NE(end, std::string::npos);
            json_t *line = json_loadb(text.data() + at, end - at, 0, nullptr);
            ASSERT_NE(line, nullptr) << text.substr(at, 200);
            EXPECT_LE(end + 1 - at, (size_t)PIPE_BUF);
            EXPECT_STREQ(json_string_value(json_object_get(line, "event")),
                         "request_end");
            json_decref(line);
            lines++;
            at = end + 1;
        }
        if (!row.is_socket) {
            EXPECT_GT(lines, 0);
        }
    }
}

/* Issue 56: the warning of a cut was among hundreds of lines of a second. */
TEST(GateLog, WarningsAreWrittenBesideABurstOfLines)
{
    int ends[2]; /* Reader, writer. */
    ASSERT_EQ(pipe(ends), 0);
    fcntl(ends[1], F_SETPIPE_SZ, 1 << 20);
    pid_t pid = fork();
    if (pid == 0) {
        dup2(ends[1], STDOUT_FILENO);
        Log_Begin("vm-1", LOG_LEVEL_INFO);
        for (int i = 0; i < 5000; i++) {
            Log_WriteJson(LOG_LEVEL_INFO, "request_end", json_object());
        }
        Log_WriteJson(LOG_LEVEL_WARNING, "shutdown_cut", json_object());
        _exit(0);
    }
    int status = -1;
    EXPECT_EQ(waitpid(pid, &status, 0), pid);
    close(ends[1]);
    std::string text = ReadAll(ends[0]);
    close(ends[0]);
    EXPECT_NE(text.find("\"shutdown_cut\""), std::string::npos);
    EXPECT_NE(text.find("\"lines_dropped_before\""), std::string::npos);
}

/* With hundreds of requests to cut, the log did not say that the process had
   stopped. */
TEST(GateLog, NoticesAreWrittenBesideABurstOfWarnings)
{
    int ends[2]; /* Reader, writer. */
    ASSERT_EQ(pipe(ends), 0);
    fcntl(ends[1], F_SETPIPE_SZ, 1 << 20);
    pid_t pid = fork();
    if (pid == 0) {
        dup2(ends[1], STDOUT_FILENO);
        Log_Begin("vm-1", LOG_LEVEL_INFO);
        for (int i = 0; i < 2000; i++) {
            Log_WriteJson(LOG_LEVEL_INFO, "request_end", json_object());
            Log_WriteJson(LOG_LEVEL_WARNING, "request_cut", json_object());
        }
        Log_WriteJson(LOG_LEVEL_NOTICE, "stopped", json_object());
        _exit(0);
    }
    int status = -1;
    EXPECT_EQ(waitpid(pid, &status, 0), pid);
    close(ends[1]);
    std::string text = ReadAll(ends[0]);
    close(ends[0]);
    size_t at = text.find("\"stopped\"");
    ASSERT_NE(at, std::string::npos);
    EXPECT_NE(text.find("\"level\":\"info\"", at), std::string::npos);
    EXPECT_NE(text.find("\"lines_dropped_before\"", at), std::string::npos);
}

} // namespace
