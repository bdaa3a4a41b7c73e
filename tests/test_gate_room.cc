/* Tests that a stream that was begun finds room at the workers of its version
   before new ones do. */
#include "fleet_rig.h"

namespace {

const Route resumable = {RTE_STREAM, 3, true, 15000, 900};

std::string
Prompt(const std::string &id, int left_ms, const std::string &more = "")
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Token-Usage: 1000,100\r\n"
           "X-Prompt-Prefix: aa:200,b1:800\r\nX-Deadline-Ms: " +
           std::to_string(left_ms) + "\r\n" + more +
           "Content-Length: 1\r\n\r\nb";
}

/* The request with which a caller resumes `id` after event 2, with the time
   that remains to it. */
std::string
Resumption(const std::string &id)
{
    return Prompt(id + "-again", 9000,
                  "Last-Event-Id: 2\r\nResumes: " + id + "\r\n");
}

/* A resumed stream waits as long as its caller does: the workers that it needs
   may be full for some seconds after a loss of VMs. */
TEST(Room, ResumedStreamWaitsForARoomOfItsVersion)
{
    FleetRig rig(resumable, 1, 0);
    rig.versions = {"v1"};
    rig.AddWorker({Stream(0, 9)});
    rig.workers[0]->kept_parts = {"b1"};
    rig.workers[0]->places = 0;
    Caller *again = rig.Call(0, Resumption("id-1"));
    rig.RunFor(2200);
    EXPECT_EQ(again->Status(), 0) << again->text;
    rig.workers[0]->places = 1;
    rig.RunFor(300);
    EXPECT_EQ(again->Status(), 200) << again->text;
    EXPECT_EQ(again->DechunkedBody(), Events(3, 9));
}

} // namespace
