/* Accounts: client accounts of a configuration. See account.h. */
#include "account.h"

#include <string.h>
#include <xxhash.h>

/* Keeps digests of keys apart from those of other texts. */
#define ACC_DIGEST_PREFIX "lavenderspool key "

typedef struct AccKey {
    uint8_t digest[sizeof(XXH128_hash_t)]; /* Of the key's digest. */
    const Account *account;
} AccKey;

struct AccTable {
    GPtrArray *rows;     /* Accounts. */
    GHashTable *names;   /* Name to Account. */
    GHashTable *hashes;  /* Hash of the name to Account. */
    GHashTable *keys;    /* Digest of a key to AccKey. */
    XXH64_hash_t secret; /* Seeds the hashes, so that nobody can choose keys
                            that share one. */
};

static void make_hash(const AccTable *table, const char *digest,
                      uint8_t *hash);
static guint hash_digest(gconstpointer digest);
static gboolean is_same_digest(gconstpointer a, gconstpointer b);
static void free_account(gpointer data);

AccTable *
Acc_NewTable(void)
{
    AccTable *table = g_new0(AccTable, 1);

    table->rows = g_ptr_array_new_with_free_func(free_account);
    table->names = g_hash_table_new(g_str_hash, g_str_equal);
    table->hashes = g_hash_table_new(g_int64_hash, g_int64_equal);
    table->keys =
        g_hash_table_new_full(hash_digest, is_same_digest, NULL, g_free);
    table->secret = (XXH64_hash_t)g_random_int() << 32 | g_random_int();
    return table;
}

void
Acc_FreeTable(AccTable *table)
{
    if (table == NULL) {
        return;
    }
    g_hash_table_destroy(table->keys);
    g_hash_table_destroy(table->hashes);
    g_hash_table_destroy(table->names);
    g_ptr_array_free(table->rows, TRUE);
    g_free(table);
}

bool
Acc_AddAccount(AccTable *table, const Account *account)
{
    Account *copy;
    uint64_t hash = XXH3_64bits(account->name, strlen(account->name));

    if (g_hash_table_contains(table->names, account->name) ||
        g_hash_table_contains(table->hashes, &hash)) {
        return false;
    }
    copy = g_memdup2(account, sizeof(*account));
    copy->name = g_strdup(account->name);
    copy->hash = hash;
    g_ptr_array_add(table->rows, copy);
    g_hash_table_insert(table->names, copy->name, copy);
    g_hash_table_insert(table->hashes, &copy->hash, copy);
    return true;
}

bool
Acc_AddKey(AccTable *table, const char *key, const char *account)
{
    char digest[ACC_DIGEST_MAX];

    if (key[0] == '\0' || strlen(key) > ACC_KEY_MAX) {
        return false;
    }
    Acc_DigestKey(key, digest);
    return Acc_AddDigest(table, digest, account);
}

bool
Acc_AddDigest(AccTable *table, const char *digest, const char *account)
{
    const Account *owner = Acc_FindByName(table, account);
    AccKey *row;
    const AccKey *known;

    if (owner == NULL || strlen(digest) != ACC_DIGEST_MAX - 1) {
        return false;
    }
    row = g_new0(AccKey, 1);
    make_hash(table, digest, row->digest);
    row->account = owner;
    known = g_hash_table_lookup(table->keys, row->digest);
    if (known != NULL) {
        g_free(row);
        return known->account == owner;
    }
    g_hash_table_insert(table->keys, row->digest, row);
    return true;
}

void
Acc_DigestKey(const char *key, char digest[ACC_DIGEST_MAX])
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

    g_checksum_update(sum, (const guchar *)ACC_DIGEST_PREFIX,
                      (gssize)strlen(ACC_DIGEST_PREFIX));
    g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
    g_strlcpy(digest, g_checksum_get_string(sum), ACC_DIGEST_MAX);
    g_checksum_free(sum);
}

const Account *
Acc_FindByKey(const AccTable *table, const char *key)
{
    char digest[ACC_DIGEST_MAX];
    uint8_t hash[sizeof(XXH128_hash_t)];
    const AccKey *row;

    if (strlen(key) > ACC_KEY_MAX) {
        return NULL;
    }
    Acc_DigestKey(key, digest);
    make_hash(table, digest, hash);
    row = g_hash_table_lookup(table->keys, hash);
    return row != NULL ? row->account : NULL;
}

const Account *
Acc_FindByName(const AccTable *table, const char *name)
{
    return g_hash_table_lookup(table->names, name);
}

const Account *
Acc_FindByHash(const AccTable *table, uint64_t hash)
{
    return g_hash_table_lookup(table->hashes, &hash);
}

size_t
Acc_List(const AccTable *table, const Account **rows, size_t max)
{
    for (guint i = 0; i < table->rows->len && i < max; i++) {
        rows[i] = g_ptr_array_index(table->rows, i);
    }
    return table->rows->len;
}

double
Acc_GetAmount(const Account *account, uint64_t tokens)
{
    if (account->unit == ACC_UNIT_REQUESTS) {
        return 1;
    }
    return (double)(tokens > 0 ? tokens : account->default_tokens);
}

static void
make_hash(const AccTable *table, const char *digest, uint8_t *hash)
{
    XXH128_hash_t number =
        XXH3_128bits_withSeed(digest, strlen(digest), table->secret);

    memcpy(hash, &number, sizeof(number));
}

static guint
hash_digest(gconstpointer digest)
{
    guint hash;

    memcpy(&hash, digest, sizeof(hash));
    return hash;
}

/* Compares all bytes, so that the time tells nothing of a known key. */
static gboolean
is_same_digest(gconstpointer a, gconstpointer b)
{
    const uint8_t *one = a;
    const uint8_t *two = b;
    uint8_t difference = 0;

    for (size_t i = 0; i < sizeof(XXH128_hash_t); i++) {
        difference |= one[i] ^ two[i];
    }
    return difference == 0;
}

static void
free_account(gpointer data)
{
    Account *account = data;

    g_free(account->name);
    g_free(account);
}
