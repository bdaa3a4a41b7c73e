/* Hubs: choice of the VMs that distribute load tables. See hubs.h. */
#include "hubs.h"

#include <xxhash.h>

/* Time that a hub takes between two tables for each of its subscribers. */
#define HUBS_PERIOD_PER_SUBSCRIBER_MS 2

static uint64_t hash_address(uint64_t address);

bool
Hubs_IsPreferred(const HubsCandidate *a, const HubsCandidate *b)
{
    if (a->capacity != b->capacity) {
        return a->capacity > b->capacity;
    }
    return hash_address(a->address) > hash_address(b->address);
}

void
Hubs_Offer(HubsChoice *choice, const HubsCandidate *candidate)
{
    HubsCandidate last = *candidate;

    for (uint32_t i = 0; i < choice->count; i++) {
        if (choice->hubs[i].address == candidate->address) {
            return;
        }
    }
    for (uint32_t i = 0; i < choice->count; i++) {
        if (Hubs_IsPreferred(&last, &choice->hubs[i])) {
            HubsCandidate next = choice->hubs[i];
            choice->hubs[i] = last;
            last = next;
        }
    }
    if (choice->count < HUBS_PER_REGION) {
        choice->hubs[choice->count++] = last;
    }
}

bool
Hubs_Contains(const HubsChoice *choice, uint64_t address)
{
    for (uint32_t i = 0; i < choice->count; i++) {
        if (choice->hubs[i].address == address) {
            return true;
        }
    }
    return false;
}

uint64_t
Hubs_GetPrimary(const HubsChoice *choice, uint64_t address)
{
    if (choice->count == 0) {
        return 0;
    }
    return choice->hubs[hash_address(address) % choice->count].address;
}

uint32_t
Hubs_GetPeriodMs(uint32_t subscribers)
{
    uint32_t period_ms = subscribers * HUBS_PERIOD_PER_SUBSCRIBER_MS;

    if (period_ms < HUBS_PERIOD_MIN_MS) {
        return HUBS_PERIOD_MIN_MS;
    }
    return period_ms < HUBS_PERIOD_MAX_MS ? period_ms : HUBS_PERIOD_MAX_MS;
}

static uint64_t
hash_address(uint64_t address)
{
    return XXH3_64bits(&address, sizeof(address));
}
