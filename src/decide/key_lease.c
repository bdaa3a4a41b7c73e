/* Lease of keys. See key_lease.h. */
#include "key_lease.h"

static int64_t get_part(const KeyLease *lease, double share);

void
KeyLease_Init(KeyLease *lease, int64_t bound_us)
{
    KeyLease none = {.bound_us = bound_us};

    *lease = none;
}

void
KeyLease_NoteEra(KeyLease *lease, uint64_t era)
{
    if (era > lease->era) {
        lease->era = era;
        lease->has_proof = false;
    }
}

void
KeyLease_AddProof(KeyLease *lease, uint64_t era, int64_t at_us)
{
    KeyLease_NoteEra(lease, era);
    if (era == lease->era && (!lease->has_proof || at_us > lease->proof_us)) {
        lease->has_proof = true;
        lease->proof_us = at_us;
    }
}

bool
KeyLease_IsValid(const KeyLease *lease, int64_t now_us)
{
    return lease->bound_us == 0 ||
           (lease->has_proof &&
            now_us - lease->proof_us <
                get_part(lease, 1 - KEY_LEASE_MARGIN_SHARE));
}

bool
KeyLease_IsOld(const KeyLease *lease, int64_t now_us)
{
    return lease->bound_us != 0 &&
           (!lease->has_proof ||
            now_us - lease->proof_us > get_part(lease, KEY_LEASE_OLD_SHARE));
}

int64_t
KeyLease_GetAge(const KeyLease *lease, int64_t now_us)
{
    return lease->has_proof ? now_us - lease->proof_us : KEY_LEASE_NO_PROOF;
}

int64_t
KeyLease_GetWatchTime(const KeyLease *lease, int64_t now_us)
{
    return get_part(lease, KeyLease_IsOld(lease, now_us)
                               ? KEY_LEASE_OLD_WATCH_SHARE
                               : KEY_LEASE_WATCH_SHARE);
}

static int64_t
get_part(const KeyLease *lease, double share)
{
    return (int64_t)((double)lease->bound_us * share);
}
