/* Step of gossip: since when this VM has known what the other VMs knew. A VM
   that was cut off or stood still has missed workers that joined, and records
   of streams that began meanwhile. */
#include "gossip_message.h"

#include "../log.h"

/* A VM that was stopped for so long, or heard no message for it, is out of
   step. Messages and tables come each 250 ms or more often. */
#define GOS_STEP_US (700 * CLK_US_PER_MS)
/* The same for VMs of other regions of a small fleet, which may send each
   message to a random part of the others. */
#define GOS_REMOTE_STEP_US (5 * CLK_US_PER_S)
/* VMs that were heard within this time are missed once they are silent. */
#define GOS_MISSED_US (60 * CLK_US_PER_S)

static bool hears_others(const Gos *gos);
static bool is_expected(const Gos *gos, const Peer *peer);
static void note_stop(Gos *gos);

int64_t
Gos_GetStepTime(Gos *gos)
{
    Gos_NoteStep(gos);
    return gos->in_step_us;
}

void
Gos_NoteStep(Gos *gos)
{
    int64_t now_us = Clk_Now(gos->options.clk);

    note_stop(gos);
    if (now_us < gos->stopped_until_us || !hears_others(gos)) {
        if (gos->in_step_us != INT64_MAX) {
            Log_WriteJson(LOG_LEVEL_INFO, "vm_out_of_step",
                          json_pack("{s:I}", "in_step_for_us",
                                    (json_int_t)(now_us - gos->in_step_us)));
        }
        gos->in_step_us = INT64_MAX;
    }
    else if (gos->in_step_us == INT64_MAX) {
        gos->in_step_us = now_us;
        Log_WriteJson(LOG_LEVEL_INFO, "vm_in_step", json_object());
    }
}

/* Whether messages come from all VMs from which they are expected. A VM that
   stops says so. */
static bool
hears_others(const Gos *gos)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    const Peer *peer = NULL;
    uint32_t heard = 0;

    LIST_FOREACH(peer, &gos->peers.list, links)
    {
        int64_t silent_us = now_us - peer->received_us;
        int64_t most_us =
            gos->peers.is_mesh && peer->region != gos->peers.options.region
                ? GOS_REMOTE_STEP_US
                : GOS_STEP_US;
        if (peer->received_us == 0 || !is_expected(gos, peer)) {
            continue;
        }
        if (silent_us < most_us) {
            heard++;
        }
        else if (silent_us < GOS_MISSED_US && !peer->is_stopping) {
            return false;
        }
    }
    return heard > 0 || (!gos->has_heard_others && !Gos_HasOtherSeed(gos));
}

/* Whether the peer sends messages each 250 ms. */
static bool
is_expected(const Gos *gos, const Peer *peer)
{
    HubsChoice hubs = Peers_GetHubs(&gos->peers);

    if (gos->peers.is_mesh) {
        return true;
    }
    return Hubs_Contains(&hubs, peer->address) ||
           (Hubs_Contains(&hubs, gos->address) &&
            peer->region == gos->peers.options.region);
}

/* Notes that the process did not run for a while. */
static void
note_stop(Gos *gos)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    int64_t suspended_us = Clk_GetSuspended(gos->options.clk);
    int64_t stopped_us =
        now_us - gos->ran_us + suspended_us - gos->suspended_us;

    if (stopped_us >= GOS_STEP_US) {
        gos->stopped_until_us = now_us + GOS_STEP_US;
        Log_WriteJson(LOG_LEVEL_WARNING, "vm_was_stopped",
                      json_pack("{s:I}", "for_us", (json_int_t)stopped_us));
    }
    gos->ran_us = now_us;
    gos->suspended_us = suspended_us;
}
