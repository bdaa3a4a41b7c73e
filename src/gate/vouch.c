/* Vouch. See vouch.h. */
#include "vouch.h"
#include "access.h"

static GosVouchNeed get_need(void *context);
static bool get_proof_age(void *context, int64_t *age_us);
static int64_t get_now(void *context);
static bool on_vouch(void *context, const char *address, int64_t proof_us,
                     const GosVersions *versions);
static void on_era(void *context, uint64_t era);

void
Vouch_SetOptions(Vouch *vouch, GosOptions *gossip)
{
    if (vouch->gate->options.revoke_us == 0) {
        return;
    }
    gossip->vouch.context = vouch;
    gossip->vouch.get_need = get_need;
    gossip->vouch.get_proof_age = get_proof_age;
    gossip->vouch.get_now = get_now;
    gossip->vouch.on_vouch = on_vouch;
    gossip->vouch.on_era = on_era;
}

bool
Vouch_NeedsSource(const Gate *gate)
{
    return Access_NeedsLease(gate) &&
           KeyLease_IsOld(&gate->key_lease, Access_Now(gate));
}

static GosVouchNeed
get_need(void *context)
{
    const Vouch *vouch = context;
    const Gate *gate = vouch->gate;

    Access_LogLease(vouch->gate, "none");
    if (!Access_NeedsLease(gate)) {
        return GOS_VOUCH_NONE;
    }
    if (KeyLease_IsOld(&gate->key_lease, Access_Now(gate))) {
        return GOS_VOUCH_ALL;
    }
    return GOS_VOUCH_NEAR;
}

/* Returns the age of this VM's proof, whatever its source: a proof that was
   passed on twice is as old as the first one. Nothing is told while all
   entries are read anew, as the era in messages is the one before. */
static bool
get_proof_age(void *context, int64_t *age_us)
{
    const Vouch *vouch = context;
    const KeyLease *lease = &vouch->gate->key_lease;
    const Snapshot *snapshot = Feed_GetSnapshot(vouch->feed);
    int64_t now_us = Access_Now(vouch->gate);

    if (!lease->has_proof || !KeyLease_IsValid(lease, now_us) ||
        Snapshot_IsSweeping(snapshot) || Snapshot_GetVersion(snapshot) == 0 ||
        Snapshot_GetPosition(snapshot).era != lease->era) {
        return false;
    }
    *age_us = KeyLease_GetAge(lease, now_us);
    return true;
}

static int64_t
get_now(void *context)
{
    const Vouch *vouch = context;

    return Access_Now(vouch->gate);
}

/* Takes the proof if this VM has that configuration, and else fetches it.
   Returns whether the proof was of use. */
static bool
on_vouch(void *context, const char *address, int64_t proof_us,
         const GosVersions *versions)
{
    const Vouch *vouch = context;
    const Snapshot *snapshot = Feed_GetSnapshot(vouch->feed);
    Pos own = Snapshot_GetPosition(snapshot);

    if (versions->position.era < own.era || Snapshot_IsSweeping(snapshot)) {
        return false;
    }
    if (versions->position.era > own.era ||
        versions->config_version > Snapshot_GetVersion(snapshot)) {
        Access_NoteEra(vouch->gate, versions->position.era);
        if (vouch->relay != NULL) {
            Relay_FetchSnapshot(vouch->relay, address, own);
        }
        return false;
    }
    Access_NoteProof(vouch->gate, own.era, proof_us, address);
    return true;
}

static void
on_era(void *context, uint64_t era)
{
    const Vouch *vouch = context;

    Access_NoteEra(vouch->gate, era);
}
