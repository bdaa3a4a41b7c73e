/* Tests of the gate's process: signals and changes of the settings file that
   come while it starts. The settings file is a pipe at first, so that the
   process waits for its content at a known point. */
#include "gate_rig.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

class GateProcess : public testing::Test {
  protected:
    void
    SetUp() override
    {
        gchar *name = g_dir_make_tmp("gate-process-XXXXXX", nullptr);
        ASSERT_NE(name, nullptr);
        directory = name;
        g_free(name);
        path = directory + "/settings.json";
        ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
        std::string front = "127.0.0.1:" + std::to_string(FreePort());
        std::string ready = "127.0.0.1:" + std::to_string(FreePort());
        std::string control = "127.0.0.1:" + std::to_string(FreePort());
        std::string store = "127.0.0.1:" + std::to_string(FreePort());
        settings = "{\"node\":\"vm\",\"zone\":\"z\",\"ip\":\"127.0.0.1\","
                   "\"listen\":{\"front\":\"" +
                   front + "\",\"ready\":\"" + ready + "\",\"control\":\"" +
                   control +
                   "\"},\"zones\":{\"z\":\"r\"},\"seed-addrs\":[],"
                   "\"platform\":{\"addr\":\"" +
                   store + "\"},\"bounds\":{\"grace-s\":1}}";
    }

    void
    TearDown() override
    {
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        if (output >= 0) {
            close(output);
        }
        unlink(path.c_str());
        rmdir(directory.c_str());
    }

    /* Starts the gate; returns the pipe from which it reads its settings. The
       signal (0: none) comes before main() runs. */
    int
    Start(int signal_at_once = 0)
    {
        int ends[2];
        EXPECT_EQ(pipe(ends), 0);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_adddup2(&files, ends[1], STDOUT_FILENO);
        char *argv[] = {(char *)GATE_PROGRAM, (char *)"--settings",
                        (char *)path.c_str(), nullptr};
        char *envp[] = {nullptr};
        EXPECT_EQ(posix_spawn(&pid, argv[0], &files, nullptr, argv, envp), 0);
        if (signal_at_once != 0) {
            kill(pid, signal_at_once);
        }
        posix_spawn_file_actions_destroy(&files);
        close(ends[1]);
        output = ends[0];
        fcntl(output, F_SETFL, O_NONBLOCK);
        return OpenPipe();
    }

    /* Waits until the process reads the pipe. Returns -1 if it has ended. */
    int
    OpenPipe()
    {
        int to;
        while ((to = open(path.c_str(), O_WRONLY | O_NONBLOCK)) < 0) {
            if (waitpid(pid, nullptr, WNOHANG) == pid) {
                pid = 0;
                return -1;
            }
            usleep(1000);
        }
        fcntl(to, F_SETFL, 0);
        return to;
    }

    /* Puts a file in the place of the pipe. */
    void
    ReplaceSettings()
    {
        std::string next = directory + "/next.json";
        ASSERT_TRUE(g_file_set_contents(next.c_str(), settings.data(),
                                        (gssize)settings.size(), nullptr));
        ASSERT_EQ(rename(next.c_str(), path.c_str()), 0);
    }

    /* Waits until the process has logged the event. */
    bool
    WaitForEvent(const std::string &event)
    {
        for (int i = 0; i < 2000; i++) {
            char data[4096];
            ssize_t size;
            while ((size = read(output, data, sizeof(data))) > 0) {
                log.append(data, (size_t)size);
            }
            if (log.find("\"event\":\"" + event + "\"") != std::string::npos) {
                return true;
            }
            if (size == 0) {
                return false; /* The process has ended. */
            }
            usleep(5000);
        }
        return false;
    }

    std::string directory;
    std::string path;
    std::string settings;
    std::string log;
    pid_t pid = 0;
    int output = -1;
};

/* A settings file that changes as a VM starts brings a signal before the
   process handles any. */
TEST_F(GateProcess, ReloadSignalDoesNotEndAStartingProcess)
{
    int to = Start();
    kill(pid, SIGHUP);
    ASSERT_EQ(write(to, settings.data(), settings.size()),
              (ssize_t)settings.size());
    close(to);
    EXPECT_TRUE(WaitForEvent("started"));
}

/* Until main() runs, a signal does what the starter has set: one that may send
   it at any time starts the gate with the signal ignored. */
TEST_F(GateProcess, ReloadSignalBeforeMainDoesNotEndItIfIgnoredByTheStarter)
{
    auto handler = signal(SIGHUP, SIG_IGN);
    int to = Start(SIGHUP);
    signal(SIGHUP, handler);
    ASSERT_EQ(write(to, settings.data(), settings.size()),
              (ssize_t)settings.size());
    close(to);
    EXPECT_TRUE(WaitForEvent("started"));
    /* It handles the signal itself now. */
    ReplaceSettings();
    kill(pid, SIGHUP);
    EXPECT_TRUE(WaitForEvent("reload"));
}

/* The file is replaced after it was read and before the process serves. */
TEST_F(GateProcess, ChangeOfTheSettingsWhileStartingIsReloaded)
{
    int to = Start();
    ASSERT_EQ(write(to, settings.data(), settings.size()),
              (ssize_t)settings.size());
    ReplaceSettings();
    close(to); /* Only now has the process read all. */
    EXPECT_TRUE(WaitForEvent("started"));
    EXPECT_TRUE(WaitForEvent("reload"));
}

} // namespace
