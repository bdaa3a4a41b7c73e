/* Con: the published configuration: contracts of customers, upstreams and
   models. A configuration is a manifest (version and digests) and the parts
   it names; it is checked as a whole and never changed once loaded. */
#ifndef LS_CON_H
#define LS_CON_H

#include "err.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CON_ID_MAX 48      /* Bytes of an identifier, with its NUL. */
#define CON_PATH_MAX 96    /* Bytes of a service path, with its NUL. */
#define CON_ADDRESS_MAX 64 /* Bytes of "IP:port", with its NUL. */
#define CON_DIGEST_HEX 64  /* Hex digits of a SHA-256 digest. */
#define CON_PART_BYTES_MAX (1024 * 1024) /* Largest value of the service. */
#define CON_PRIORITY_MAX 9               /* 0 is served first. */

typedef enum ConRole {
    CON_ROLE_PREFILL,
    CON_ROLE_DECODE,
    CON_ROLE_BOTH,
    CON_ROLE_SERVICE,
} ConRole;

typedef struct ConModel {
    char name[CON_ID_MAX];
    uint32_t kv_bytes_per_token; /* KV cache moved for each prompt token. */
} ConModel;

/* One model engine or plain service. */
typedef struct ConUpstream {
    char id[CON_ID_MAX];
    char address[CON_ADDRESS_MAX];
    char serves[CON_ID_MAX]; /* Model of an engine, name of a service. */
    char zone[CON_ID_MAX];
    char region[CON_ID_MAX];
    char cell[CON_ID_MAX * 2]; /* "model@region"; empty for a service. */
    ConRole role;
    bool leaving;
    char load[CON_ID_MAX];  /* Model version to load; empty for no orders. */
    bool checks_fencing;    /* Refuses orders with an old number. */
    uint32_t slots;         /* Requests held at once. */
    uint32_t memory_blocks; /* Pieces of engine memory. */
    uint32_t block_tokens;  /* Tokens in one piece. */
    uint32_t prefill_tokens_per_s;
    uint32_t token_interval_us;  /* Between output tokens of one request. */
    uint64_t link_bytes_per_s;   /* Rate of the transfer link. */
    uint32_t kv_bytes_per_token; /* Of its model. */
} ConUpstream;

/* A service path that a contract allows. */
typedef struct ConRoute {
    char service[CON_ID_MAX];
    char path[CON_PATH_MAX];
    bool idempotent;
} ConRoute;

/* Everything that limits one customer's work. */
typedef struct ConCustomer {
    char id[CON_ID_MAX];
    GPtrArray *key_digests; /* char *, SHA-256 in hex. */
    uint32_t priority;
    double requests_per_s;
    double tokens_per_s;
    uint32_t concurrency;
    double cross_region_tokens_per_s;
    GPtrArray *regions; /* char * */
    GPtrArray *models;  /* char * */
    GArray *routes;     /* ConRoute */
    int64_t first_token_us;
    int64_t per_token_us;
    double wasted_prefill_weight;
} ConCustomer;

typedef struct ConPart {
    char *name;
    char *value;
    size_t size;
} ConPart;

typedef struct ConConfig {
    uint64_t version;
    char *manifest;
    GPtrArray *parts;     /* ConPart *, in the manifest's order. */
    GPtrArray *customers; /* ConCustomer * */
    GPtrArray *upstreams; /* ConUpstream * */
    GPtrArray *models;    /* ConModel * */
    GHashTable *customer_by_digest;
    GHashTable *customer_by_id;
    GHashTable *upstream_by_id;
    GHashTable *model_by_name;
    GHashTable *cells; /* cell name to GPtrArray of ConUpstream *. */
} ConConfig;

/* What a manifest names: its version and, for each part, name and digest. */
typedef struct ConManifest {
    uint64_t version;
    GPtrArray *names;   /* char * */
    GPtrArray *digests; /* char *, SHA-256 in hex. */
} ConManifest;

/* Reads a manifest. The result is unloaded by Con_UnloadManifest. */
ConManifest *Con_LoadManifest(const char *text, size_t size, LsError *err);
void Con_UnloadManifest(ConManifest *manifest);

/* Checks and loads a whole configuration, or returns NULL with *err naming
   part, field and reason. `parts` holds ConPart *, in manifest order. */
ConConfig *Con_LoadConfig(const char *manifest, size_t size,
                          const GPtrArray *parts, LsError *err);
void Con_UnloadConfig(ConConfig *config);

ConPart *Con_NewPart(const char *name, const char *value, size_t size);
void Con_FreePart(ConPart *part);
char *Con_GetDigest(const char *value, size_t size); /* g_free it. */

/* The customer whose contract holds the key's digest, or NULL. */
const ConCustomer *Con_FindCustomer(const ConConfig *config, const char *key);
const ConCustomer *Con_FindCustomerById(const ConConfig *config,
                                        const char *id);
const ConModel *Con_FindModel(const ConConfig *config, const char *name);
const ConUpstream *Con_FindUpstream(const ConConfig *config, const char *id);
/* The longest route of the contract that covers the path, which may have a
   query, or NULL. */
const ConRoute *Con_FindRoute(const ConCustomer *customer, const char *service,
                              const char *path);
/* Time to move a prompt's KV cache over the upstream's link, microseconds. */
int64_t Con_GetTransferTime(const ConUpstream *upstream, uint32_t tokens);
const char *Con_GetRoleName(ConRole role);
bool Con_IsModelAllowed(const ConCustomer *customer, const char *model);
bool Con_IsRegionAllowed(const ConCustomer *customer, const char *region);

#endif
