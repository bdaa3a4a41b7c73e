/* Accounts (Acc_): the client accounts of one configuration version, with
   their keys, caps and priorities. A table belongs to its route table and is
   immutable once that is in force. */
#ifndef LS_ACCOUNT_H
#define LS_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Longest key, bytes. */
#define ACC_KEY_MAX 256
/* Text of a key's digest, bytes, with the terminating 0. */
#define ACC_DIGEST_MAX 65
/* Priority of an account that has none, and of a route that has none. */
#define ACC_PRIORITY_NONE UINT32_MAX

/* In what the cap of an account is counted. */
typedef enum AccUnit {
    ACC_UNIT_REQUESTS,
    ACC_UNIT_TOKENS, /* Prompt and longest answer of a request. */
} AccUnit;

typedef struct Account {
    char *name;
    uint64_t hash;     /* Of the name; identifies it in messages. */
    uint32_t priority; /* 0 is the most urgent, or ACC_PRIORITY_NONE. */
    AccUnit unit;
    double rate_per_s;       /* Cap over all VMs, units; 0: no cap. */
    double burst;            /* Units beyond the rate. */
    uint32_t default_tokens; /* Of a request that tells none. */
} Account;

typedef struct AccTable AccTable;

AccTable *Acc_NewTable(void);
void Acc_FreeTable(AccTable *table); /* NULL is allowed. */
/* Copies the account, which gets its hash. Returns false and adds nothing if
   the table has one of this name, or another one of the same hash. */
bool Acc_AddAccount(AccTable *table, const Account *account);
/* Gives a key to the account of this name. Returns false if there is no such
   account, or if the key is empty, too long, or that of another account. */
bool Acc_AddKey(AccTable *table, const char *key, const char *account);
/* The same by the digest of a key, in which form other VMs get it. */
bool Acc_AddDigest(AccTable *table, const char *digest, const char *account);
/* Stores the digest of a key: SHA-256 of a prefix and the key, hexadecimal. A
   key can't be told from it, unless it is short enough to be guessed. */
void Acc_DigestKey(const char *key, char digest[ACC_DIGEST_MAX]);
/* Returns the account that holds the key, or NULL. Takes the same time for
   each key of a length that no account holds. */
const Account *Acc_FindByKey(const AccTable *table, const char *key);
/* Return NULL if there is no such account. */
const Account *Acc_FindByName(const AccTable *table, const char *name);
const Account *Acc_FindByHash(const AccTable *table, uint64_t hash);
/* Stores the accounts of the table in `rows`, up to `max`, in the order in
   which they were added, and returns how many there are. */
size_t Acc_List(const AccTable *table, const Account **rows, size_t max);
/* Returns what a request counts against the account's cap. `tokens`: those of
   its prompt and longest answer; 0 if it tells none. */
double Acc_GetAmount(const Account *account, uint64_t tokens);

#endif
