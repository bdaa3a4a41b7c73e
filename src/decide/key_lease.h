/* Lease of keys: whether a VM may still accept keys by the configuration that
   it has in force.

   A VM that no longer gets changes of the configuration would accept a key
   that was removed elsewhere. It therefore needs proof that its configuration
   was the newest at a time which lies less than the bound back. The store's
   answer to a question is such a proof, as of the time of the question: a
   response that was delayed, or that waited while the process was stopped,
   proves nothing about the time since. Another VM may pass its proof on, by
   the age of that proof, and again the time of the question counts.

   When the store returns from a copy, in a newer era, proofs of the older era
   say nothing about what it holds now. */
#ifndef LS_KEY_LEASE_H
#define LS_KEY_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* Part of the bound that stays unused: for the way of a request to this VM,
   and for clocks of different speed. */
#define KEY_LEASE_MARGIN_SHARE 0.1
/* Part of the bound after which a proof is sought in more ways. */
#define KEY_LEASE_OLD_SHARE 0.5
/* Part of the bound that a call to the store may take until it proves
   something. A proof is up to twice as old before the next one comes, and
   another VM has it some 750 ms later: 2.35 s of a bound of 5 s, less than the
   half after which it counts as old. */
#define KEY_LEASE_WATCH_SHARE 0.16
/* The same while the last proof is old. */
#define KEY_LEASE_OLD_WATCH_SHARE 0.04
/* In place of the age of the last proof, if there is none. */
#define KEY_LEASE_NO_PROOF (-1)

/* Times are those of the runtime's clock, with the time for which the machine
   was suspended. */
typedef struct KeyLease {
    int64_t bound_us; /* Longest use of a removed key; 0: no lease is needed.
                       */
    uint64_t era;     /* Newest known era of the store. */
    bool has_proof;
    int64_t proof_us; /* Time as of which the proof holds, if has_proof. */
} KeyLease;

void KeyLease_Init(KeyLease *lease, int64_t bound_us);
/* Notes an era of the store. A newer one ends the lease. */
void KeyLease_NoteEra(KeyLease *lease, uint64_t era);
/* Adds the proof that the configuration in force was the newest one of this
   era at `at_us`. Has no effect if a newer era or a later proof is known. */
void KeyLease_AddProof(KeyLease *lease, uint64_t era, int64_t at_us);
/* Whether keys may be accepted. */
bool KeyLease_IsValid(const KeyLease *lease, int64_t now_us);
/* Whether another proof is urgent, as there is none or an old one. */
bool KeyLease_IsOld(const KeyLease *lease, int64_t now_us);
/* Returns the age of the proof, or KEY_LEASE_NO_PROOF. */
int64_t KeyLease_GetAge(const KeyLease *lease, int64_t now_us);
/* Returns the longest time that the store may hold a question open. */
int64_t KeyLease_GetWatchTime(const KeyLease *lease, int64_t now_us);

#endif
