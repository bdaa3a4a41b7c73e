/* Records messages that VMs send each other, as fixtures of a build: joins a
   fleet as one more VM, asks for all that VMs answer, and prints each message
   that has a field which no earlier one had, in hexadecimal digits.

   Usage: record_messages IP:PORT OWN-IP SECONDS [VMS]
   IP:PORT is a VM's address for other VMs. VMS is the size of the fleet that
   this VM claims to know; above 32 the others send tables. */
#include "gossip.pb-c.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SEND_INTERVAL_MS 100
#define MESSAGE_MAX_BYTES 1400
#define SERVES_ALL 7

/* Adds "Message.number" for each field that is set, and returns whether one of
   them is new. */
static bool
add_fields(GHashTable *seen, const ProtobufCMessage *message)
{
    const ProtobufCMessageDescriptor *type = message->descriptor;
    bool is_new = false;

    for (unsigned i = 0; i < type->n_fields; i++) {
        const ProtobufCFieldDescriptor *field = &type->fields[i];
        const uint8_t *at = (const uint8_t *)message + field->offset;
        size_t count = 1;
        if (field->label == PROTOBUF_C_LABEL_REPEATED) {
            count = *(const size_t *)((const uint8_t *)message +
                                      field->quantifier_offset);
        }
        else if (field->type == PROTOBUF_C_TYPE_MESSAGE) {
            count = *(ProtobufCMessage *const *)at != NULL;
        }
        else if (field->type == PROTOBUF_C_TYPE_STRING) {
            count = (*(const char *const *)at)[0] != '\0';
        }
        else {
            static const uint8_t none[8];
            size_t size = field->type == PROTOBUF_C_TYPE_UINT64 ||
                                  field->type == PROTOBUF_C_TYPE_FIXED64
                              ? 8
                              : 4;
            count = memcmp(at, none, size) != 0;
        }
        if (count > 0) {
            is_new |= g_hash_table_add(
                seen, g_strdup_printf("%s.%u", type->short_name, field->id));
        }
        for (size_t k = 0; k < count && field->type == PROTOBUF_C_TYPE_MESSAGE;
             k++) {
            is_new |=
                add_fields(seen, field->label == PROTOBUF_C_LABEL_REPEATED
                                     ? (*(ProtobufCMessage * *const *)at)[k]
                                     : *(ProtobufCMessage *const *)at);
        }
    }
    return is_new;
}

static void
send_news(int fd, const struct sockaddr_in *own, const struct sockaddr_in *to,
          uint32_t vms, uint32_t region, uint32_t number)
{
    Gossip__News news = GOSSIP__NEWS__INIT;
    Gossip__Lookup lookup = GOSSIP__LOOKUP__INIT;
    Gossip__Lookup *lookups[] = {&lookup};
    Gossip__Reach reach = GOSSIP__REACH__INIT;
    Gossip__Reach *reaches[] = {&reach};
    uint8_t data[MESSAGE_MAX_BYTES];

    news.vm = (char *)"recorder";
    news.incarnation = (uint64_t)getpid();
    news.number = number;
    news.address =
        (uint64_t)ntohl(own->sin_addr.s_addr) << 16 | ntohs(own->sin_port);
    news.region = region;
    news.vms = vms;
    news.serves = SERVES_ALL;
    news.answers_reach = true;
    news.seeking = number % 8 == 0;
    news.hub =
        (uint64_t)ntohl(to->sin_addr.s_addr) << 16 | ntohs(to->sin_port);
    if (number % 4 == 0) {
        lookup.request = number;
        news.lookups = lookups;
        news.n_lookups = 1;
    }
    if (number % 4 == 2) {
        reach.service = number;
        reach.asks = true;
        news.reaches = reaches;
        news.n_reaches = 1;
    }
    if (sendto(fd, data, gossip__news__pack(&news, data), 0,
               (const struct sockaddr *)to, sizeof(*to)) < 0) {
        perror("send");
    }
}

int
main(int argc, char **argv)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct sockaddr_in own = {.sin_family = AF_INET};
    struct sockaddr_in to = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    char **parts = argc > 3 ? g_strsplit(argv[1], ":", 2) : NULL;
    socklen_t size = sizeof(own);
    uint32_t region = 0; /* That of the other VMs. */
    uint32_t number = 0;
    int64_t end_us;

    if (parts == NULL || parts[0] == NULL || parts[1] == NULL ||
        inet_pton(AF_INET, parts[0], &to.sin_addr) != 1 ||
        inet_pton(AF_INET, argv[2], &own.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&own, sizeof(own)) != 0) {
        fprintf(stderr, "usage: record_messages IP:PORT OWN-IP SECONDS "
                        "[VMS]\n");
        return 2;
    }
    getsockname(fd, (struct sockaddr *)&own, &size);
    to.sin_port = htons((uint16_t)strtoul(parts[1], NULL, 10));
    end_us = g_get_monotonic_time() + atoll(argv[3]) * G_USEC_PER_SEC;
    while (g_get_monotonic_time() < end_us) {
        int64_t next_us = g_get_monotonic_time() + SEND_INTERVAL_MS * 1000;
        struct pollfd readable = {fd, POLLIN, 0};
        send_news(fd, &own, &to,
                  argc > 4 ? (uint32_t)strtoul(argv[4], NULL, 10) : 1, region,
                  ++number);
        while (g_get_monotonic_time() < next_us) {
            uint8_t data[MESSAGE_MAX_BYTES];
            Gossip__News *news = NULL;
            ssize_t bytes = 0;
            if (poll(&readable, 1, SEND_INTERVAL_MS / 4) > 0) {
                bytes = recv(fd, data, sizeof(data), 0);
                news = bytes > 0
                           ? gossip__news__unpack(NULL, (size_t)bytes, data)
                           : NULL;
            }
            if (news != NULL && add_fields(seen, &news->base)) {
                for (ssize_t i = 0; i < bytes; i++) {
                    printf("%02x", data[i]);
                }
                printf("\n");
            }
            if (news != NULL) {
                region = news->region;
                gossip__news__free_unpacked(news, NULL);
            }
        }
    }
    g_strfreev(parts);
    g_hash_table_destroy(seen);
    close(fd);
    return 0;
}
