/* Reach in gossip: which VMs reach the workers of a service in doubt. See
   gossip_message.h. */
#include "gossip_message.h"

#include <arpa/inet.h>
#include <string.h>
#include <xxhash.h>

/* Age of a VM's last message up to which requests are passed on to it. */
#define GOS_SERVING_MAX_AGE_US (1200 * CLK_US_PER_MS)

static void set_reach(GatePeer *row, const Peer *peer, uint64_t service);

uint32_t
Gos_ListServing(const Gos *gos, const char *service, GatePeer *to,
                uint32_t max)
{
    uint64_t hash = XXH3_64bits(service, strlen(service));
    int64_t now_us = Clk_Now(gos->options.clk);
    const Peer *peer = NULL;
    uint32_t count = 0;

    LIST_FOREACH(peer, &gos->peers.list, links)
    {
        bool is_serving = peer->received_us != 0 && !peer->is_stopping &&
                          now_us - peer->received_us < GOS_SERVING_MAX_AGE_US;
        for (uint32_t i = 0; i < peer->cut_count && is_serving; i++) {
            is_serving = peer->cut[i] != hash;
        }
        if (is_serving && count < max) {
            GatePeer *row = &to[count++];
            g_strlcpy(row->vm, peer->vm, sizeof(row->vm));
            Gos_FormatAddress(peer->address, row->address);
            row->is_near = peer->region == gos->peers.options.region;
            set_reach(row, peer, hash);
        }
    }
    return count;
}

static void
set_reach(GatePeer *row, const Peer *peer, uint64_t service)
{
    row->received_us = peer->received_us;
    row->serves = peer->serves;
    row->tells_reach = false;
    row->reached = 0;
    row->reached_us = 0;
    for (uint32_t i = 0; i < peer->reach_count; i++) {
        const GateReach *reach = &peer->reaches[i];
        if (reach->service == service) {
            row->tells_reach = true;
            row->reached = reach->worker;
            row->reached_us = reach->heard_us;
        }
    }
}

void
Gos_StoreReaches(Gos *gos, Peer *peer, const Gossip__News *news)
{
    const GosOptions *options = &gos->options;
    int64_t now_us = Clk_Now(options->clk);

    peer->reach_count = (uint32_t)MIN(news->n_reaches, PEERS_REACHES_MAX);
    for (uint32_t i = 0; i < peer->reach_count; i++) {
        peer->reaches[i] = Gos_DecodeReach(news, i, now_us);
    }
    for (uint32_t i = 0; i < peer->reach_count && options->on_reach != NULL;
         i++) {
        options->on_reach(options->context, &peer->reaches[i]);
    }
}

void
Gos_AddReaches(const Gos *gos, GosMessage *message)
{
    GateReach reaches[PEERS_REACHES_MAX];
    int64_t now_us = Clk_Now(gos->options.clk);
    Gossip__News *news = &message->news;
    uint32_t count = gos->options.list_reaches(gos->options.context, reaches,
                                               PEERS_REACHES_MAX);

    news->reaches = message->reaches;
    for (uint32_t i = 0; i < count; i++) {
        Gossip__Reach *row = &message->reach_rows[i];
        gossip__reach__init(row);
        row->service = reaches[i].service;
        row->worker = reaches[i].worker;
        row->age_ms = Gos_EncodeAge(reaches[i].heard_us, now_us);
        row->asks = reaches[i].asks;
        message->reaches[news->n_reaches++] = row;
    }
}

GateReach
Gos_DecodeReach(const Gossip__News *news, size_t i, int64_t now_us)
{
    const Gossip__Reach *row = news->reaches[i];
    GateReach reach = {
        .service = row->service,
        .worker = row->age_ms != 0 ? row->worker : 0,
        .heard_us = Gos_DecodeAge(row->age_ms, now_us),
        .asks = row->asks,
    };

    return reach;
}

void
Gos_FormatAddress(uint64_t address, char text[FLEET_ADDRESS_MAX])
{
    struct in_addr ip = {.s_addr = htonl((uint32_t)(address >> 16))};
    char ip_text[INET_ADDRSTRLEN];

    inet_ntop(AF_INET, &ip, ip_text, sizeof(ip_text));
    g_snprintf(text, FLEET_ADDRESS_MAX, "%s:%u", ip_text,
               (unsigned)(address & UINT16_MAX));
}
