/* Ownership: rendezvous hashing of keys. */
#include "ownership.h"

#include <string.h>
#include <xxhash.h>

uint64_t
Own_GetWeight(const char *key, const char *member)
{
    XXH64_hash_t seed = XXH64(member, strlen(member), 0);
    return XXH64(key, strlen(key), seed);
}

int
Own_FindOwner(const char *key, const char *const *members, size_t count)
{
    int owner = -1;
    uint64_t best = 0;

    for (size_t i = 0; i < count; i++) {
        uint64_t weight = Own_GetWeight(key, members[i]);
        if (owner < 0 || weight > best ||
            (weight == best && strcmp(members[i], members[owner]) < 0)) {
            owner = (int)i;
            best = weight;
        }
    }
    return owner;
}
