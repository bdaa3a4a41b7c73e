/* Ownership (Own_): assigns keys to members by rendezvous hashing. Processes
   that see the same members find the same owner of a key. If a member is lost,
   only its own keys move. */
#ifndef LS_OWNERSHIP_H
#define LS_OWNERSHIP_H

#include <stddef.h>
#include <stdint.h>

/* Returns the weight of a member for a key. The member with the highest weight
   owns the key. */
uint64_t Own_GetWeight(const char *key, const char *member);
/* Returns the index of the owner, or -1 if there are no members. Equal weights
   are decided by name. */
int Own_FindOwner(const char *key, const char *const *members, size_t count);

#endif
