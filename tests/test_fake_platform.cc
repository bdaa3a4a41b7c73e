/* Tests of the stand-in for the configuration service: a reader that waits for
   the index of its last answer misses no change. */
#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

/* Returns a port that nothing listens at. */
int
GetFreePort()
{
    sockaddr_in local = {};
    socklen_t size = sizeof(local);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(fd, (sockaddr *)&local, size), 0);
    EXPECT_EQ(getsockname(fd, (sockaddr *)&local, &size), 0);
    close(fd);
    return ntohs(local.sin_port);
}

struct Answer {
    int version = 0; /* 0: none was read. */
    int64_t index = 0;
};

size_t
AppendText(char *data, size_t size, size_t count, void *context)
{
    static_cast<std::string *>(context)->append(data, size * count);
    return size * count;
}

Answer
ParseAnswer(const std::string &text)
{
    Answer answer;
    json_t *root = json_loadb(text.data(), text.size(), 0, nullptr);
    const json_t *row = json_array_get(root, 0);
    const char *encoded = json_string_value(json_object_get(row, "Value"));
    if (encoded != nullptr) {
        gsize size;
        guchar *value = g_base64_decode(encoded, &size);
        answer.version = atoi(std::string((char *)value, size).c_str());
        answer.index = json_integer_value(json_object_get(row, "ModifyIndex"));
        g_free(value);
    }
    json_decref(root);
    return answer;
}

class FakePlatform : public testing::Test {
  protected:
    static void
    SetUpTestSuite()
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    }

    void
    SetUp() override
    {
        gchar *name = g_dir_make_tmp("fake-platform-XXXXXX", nullptr);
        directory = name;
        g_free(name);
        manifest = directory + "/lavenderspool/manifest";
        ASSERT_EQ(g_mkdir((directory + "/lavenderspool").c_str(), 0700), 0);
        std::string port = std::to_string(GetFreePort());
        url = "http://127.0.0.1:" + port + "/v1/kv/lavenderspool/manifest";
        const char *argv[] = {
            FAKE_PLATFORM,     "--port",        port.c_str(), "--directory",
            directory.c_str(), "--reads-per-s", "1000000",    nullptr};
        ASSERT_EQ(posix_spawn(&pid, argv[0], nullptr, nullptr, (char **)argv,
                              environ),
                  0);
    }

    void
    TearDown() override
    {
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        g_unlink(manifest.c_str());
        g_rmdir((directory + "/lavenderspool").c_str());
        g_rmdir(directory.c_str());
    }

    /* Publishes a version. Returns its index. */
    int64_t
    Publish(int version)
    {
        std::string text = std::to_string(version);
        struct stat info = {};
        EXPECT_TRUE(g_file_set_contents(manifest.c_str(), text.data(),
                                        (gssize)text.size(), nullptr));
        EXPECT_EQ(stat(manifest.c_str(), &info), 0);
        return (int64_t)info.st_mtim.tv_sec * 1000 +
               info.st_mtim.tv_nsec / 1000000;
    }

    Answer
    Read(CURL *curl)
    {
        std::string text;
        curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
        curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, AppendText);
        curl_easy_setopt(curl, CURLOPT_WRITEDATA, &text);
        return curl_easy_perform(curl) == CURLE_OK ? ParseAnswer(text)
                                                   : Answer();
    }

    std::string directory;
    std::string manifest;
    std::string url;
    pid_t pid = 0;
};

/* An answer with an older value than its index says would make its reader wait
   for the change after the one that it has missed. */
TEST_F(FakePlatform, NoIndexIsNewerThanItsValue)
{
    const int versions = 200;
    const int readers = 4;
    std::map<int64_t, int> version_of_index;
    std::vector<std::vector<Answer>> answers(readers);
    std::vector<std::thread> threads;
    std::atomic<bool> is_done{false};

    version_of_index[Publish(1)] = 1;
    for (int i = 0; i < readers; i++) {
        threads.emplace_back([&, i] {
            CURL *curl = curl_easy_init();
            while (!is_done) {
                answers[(size_t)i].push_back(Read(curl));
            }
            curl_easy_cleanup(curl);
        });
    }
    for (int version = 2; version <= versions; version++) {
        /* Longer than the step of the file system's clock. */
        g_usleep(15000);
        version_of_index[Publish(version)] = version;
    }
    is_done = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    ASSERT_EQ((int)version_of_index.size(), versions);
    int reads = 0;
    for (const auto &list : answers) {
        for (const Answer &answer : list) {
            if (answer.version > 0) {
                ASSERT_EQ(version_of_index.count(answer.index), 1U);
                EXPECT_LE(version_of_index[answer.index], answer.version);
                reads++;
            }
        }
    }
    EXPECT_GT(reads, versions);
}

} // namespace
