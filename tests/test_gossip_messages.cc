/* Tests that messages between VMs stay what builds in service write and read:
   numbers, types and meanings of fields, and hashes that VMs compare. What may
   change is told in docs/design/013-messages-between-builds.md. */
#include "gate_rig.h"

#include <fstream>
#include <set>

#include <xxhash.h>

extern "C" {
#include "decide/holders.h"
#include "gate/gossip.h"
#include "gossip.pb-c.h"
}

namespace {

const ProtobufCMessageDescriptor *const messages[] = {
    &gossip__use__descriptor,           &gossip__demand__descriptor,
    &gossip__hub__descriptor,           &gossip__table__descriptor,
    &gossip__crash__descriptor,         &gossip__suspect__descriptor,
    &gossip__limit__descriptor,         &gossip__origin__descriptor,
    &gossip__lookup__descriptor,        &gossip__found__descriptor,
    &gossip__reach__descriptor,         &gossip__proxy__descriptor,
    &gossip__news__descriptor,          &gossip__entry__descriptor,
    &gossip__picture__descriptor,       &gossip__loan__descriptor,
    &gossip__account_loads__descriptor,
};

std::vector<std::string>
ReadLines(const std::string &name)
{
    std::ifstream file(FIXTURES "/gossip/" + name);
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(file, line)) {
        if (!line.empty() && line[0] != '#') {
            lines.push_back(line);
        }
    }
    EXPECT_FALSE(lines.empty()) << name;
    return lines;
}

std::vector<uint8_t>
FromHex(const std::string &digits)
{
    std::vector<uint8_t> bytes;
    for (size_t i = 0; i + 1 < digits.size(); i += 2) {
        bytes.push_back((uint8_t)std::stoi(digits.substr(i, 2), nullptr, 16));
    }
    return bytes;
}

const char *
TypeName(const ProtobufCFieldDescriptor &field)
{
    switch (field.type) {
    case PROTOBUF_C_TYPE_FIXED64:
        return "fixed64";
    case PROTOBUF_C_TYPE_FIXED32:
        return "fixed32";
    case PROTOBUF_C_TYPE_UINT32:
        return "uint32";
    case PROTOBUF_C_TYPE_SINT32:
        return "sint32";
    case PROTOBUF_C_TYPE_UINT64:
        return "uint64";
    case PROTOBUF_C_TYPE_FLOAT:
        return "float";
    case PROTOBUF_C_TYPE_BOOL:
        return "bool";
    case PROTOBUF_C_TYPE_STRING:
        return "string";
    case PROTOBUF_C_TYPE_BYTES:
        return "bytes";
    case PROTOBUF_C_TYPE_MESSAGE:
        return ((const ProtobufCMessageDescriptor *)field.descriptor)
            ->short_name;
    default:
        return "?";
    }
}

/* A field is never removed, and its number, type and name never change. New
   ones are added to the table with the change that brings them. */
TEST(GossipMessages, FieldsAreThoseOfTheTable)
{
    std::set<std::string> table;
    std::set<std::string> fields;
    for (const std::string &line : ReadLines("fields.txt")) {
        table.insert(line);
    }
    for (const ProtobufCMessageDescriptor *message : messages) {
        for (unsigned i = 0; i < message->n_fields; i++) {
            const ProtobufCFieldDescriptor &field = message->fields[i];
            fields.insert(
                std::string(message->short_name) + " " +
                std::to_string(field.id) + " " +
                (field.label == PROTOBUF_C_LABEL_REPEATED ? "repeated " : "") +
                TypeName(field) + " " + field.name);
        }
    }
    for (const std::string &field : fields) {
        EXPECT_EQ(table.count(field), 1U) << "not in fields.txt: " << field;
    }
    for (const std::string &line : table) {
        EXPECT_EQ(fields.count(line), 1U) << "only in fields.txt: " << line;
    }
}

const char *const builds[] = {"3128c16", "1b0228d", "617b83a"};

/* A message is read without a rest, and written as it was. */
TEST(GossipMessages, MessagesOfEarlierBuildsAreReadAndWrittenAsTheyWere)
{
    for (const char *build : builds) {
        for (const char *kind : {".news", ".picture"}) {
            const ProtobufCMessageDescriptor *type =
                std::string(kind) == ".news" ? &gossip__news__descriptor
                                             : &gossip__picture__descriptor;
            for (const std::string &line :
                 ReadLines(std::string(build) + kind)) {
                SCOPED_TRACE(build + (": " + line.substr(0, 60)));
                std::vector<uint8_t> bytes = FromHex(line);
                ProtobufCMessage *message = protobuf_c_message_unpack(
                    type, nullptr, bytes.size(), bytes.data());
                ASSERT_NE(message, nullptr);
                EXPECT_EQ(message->n_unknown_fields, 0U);
                std::vector<uint8_t> again(
                    protobuf_c_message_get_packed_size(message));
                protobuf_c_message_pack(message, again.data());
                EXPECT_EQ(again, bytes);
                protobuf_c_message_free_unpacked(message, nullptr);
            }
        }
    }
}

/* A VM takes them from the other one's address as from a VM of its own build.
 */
TEST(GossipMessages, AVmHearsVmsOfEarlierBuilds)
{
    for (const char *build : builds) {
        SCOPED_TRACE(build);
        event_base *base = event_base_new();
        Clk clk = Clk_Default();
        const FleetOptions fleet_options = Fleet_DefaultOptions();
        Fleet *fleet = Fleet_New(&fleet_options);
        GosOptions options = Gos_DefaultOptions();
        LsError err = {};
        options.base = base;
        options.clk = &clk;
        options.port = FreePort();
        options.vm = "own";
        options.fleet = fleet;
        Gos *gos = Gos_New(&options, &err);
        ASSERT_NE(gos, nullptr) << err.message;
        uint64_t malformed = Met_Get(MET_PEER_FRAMES_BAD);
        std::set<uint64_t> addresses;
        int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(options.port);
        for (const std::string &line :
             ReadLines(build + std::string(".news"))) {
            std::vector<uint8_t> bytes = FromHex(line);
            Gossip__News *news =
                gossip__news__unpack(nullptr, bytes.size(), bytes.data());
            ASSERT_NE(news, nullptr);
            addresses.insert(news->address);
            gossip__news__free_unpacked(news, nullptr);
            sendto(fd, bytes.data(), bytes.size(), 0, (sockaddr *)&to,
                   sizeof(to));
            event_base_loop(base, EVLOOP_NONBLOCK);
        }
        EXPECT_TRUE(RunUntil(base, &clk, [&] {
            return Gos_CountLivePeers(gos) == addresses.size();
        })) << Gos_CountLivePeers(gos);
        EXPECT_EQ(Met_Get(MET_PEER_FRAMES_BAD), malformed);
        close(fd);
        Gos_Free(gos);
        Fleet_Free(fleet);
        event_base_free(base);
    }
}

/* Workers and services have the hashes that earlier builds tell. */
TEST(GossipMessages, HashesOfNamesAreThoseOfEarlierBuilds)
{
    const FleetOptions fleet_options = Fleet_DefaultOptions();
    Fleet *fleet = Fleet_New(&fleet_options);
    for (int worker = 0; worker < 9; worker++) {
        for (int start = 1; start < 30; start++) {
            FleetEntry entry = {};
            g_snprintf(entry.id, sizeof(entry.id), "w%d-%d", worker, start);
            Fleet_SetEntry(fleet, &entry, 0);
        }
    }
    for (const char *build : builds) {
        SCOPED_TRACE(build);
        size_t uses = 0;
        size_t demands = 0;
        for (const std::string &line :
             ReadLines(build + std::string(".news"))) {
            std::vector<uint8_t> bytes = FromHex(line);
            Gossip__News *news =
                gossip__news__unpack(nullptr, bytes.size(), bytes.data());
            ASSERT_NE(news, nullptr);
            EXPECT_EQ(news->region, (uint32_t)XXH3_64bits("r", 1));
            for (size_t i = 0; i < news->n_uses; i++) {
                EXPECT_NE(Fleet_FindByHash(fleet, news->uses[i]->worker),
                          nullptr);
                uses++;
            }
            for (size_t i = 0; i < news->n_demands; i++) {
                uint64_t service = news->demands[i]->service;
                EXPECT_TRUE(service == XXH3_64bits("app", 3) ||
                            service == XXH3_64bits("llm", 3));
                demands++;
            }
            gossip__news__free_unpacked(news, nullptr);
        }
        EXPECT_GT(uses, 0U);
        EXPECT_GT(demands, 0U);
    }
    Fleet_Free(fleet);
}

/* VMs that ask for a worker's prompts agree on who does. */
TEST(GossipMessages, HoldersAreThoseOfEarlierBuilds)
{
    const uint64_t of_workers[][HOLDERS_PER_WORKER] = {
        {7, 5}, {4, 1}, {8, 5}, {5, 4}, {4, 2}, {5, 2}, {4, 1}, {5, 8}};
    Holders holders = {};
    for (uint64_t i = 1; i <= 8; i++) {
        Holders_Add(&holders, i);
    }
    for (uint64_t i = 0; i < G_N_ELEMENTS(of_workers); i++) {
        uint64_t of[HOLDERS_PER_WORKER];
        ASSERT_EQ(Holders_GetOf(&holders, i + 1, of), 2U);
        EXPECT_EQ(of[0], of_workers[i][0]) << i;
        EXPECT_EQ(of[1], of_workers[i][1]) << i;
    }
}

} // namespace
