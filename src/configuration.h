/* Configuration (Con_): loads and validates the published contracts of
   customers, the upstreams and the models. A configuration consists of a
   manifest, which holds a version and a SHA-256 digest for each part, and of
   those parts. It is validated as a whole and is immutable once loaded. */
#ifndef LS_CONFIGURATION_H
#define LS_CONFIGURATION_H

#include "errors.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CON_ID_MAX 48      /* Bytes of an identifier, including the NUL. */
#define CON_PATH_MAX 96    /* Bytes of a service path, including the NUL. */
#define CON_ADDRESS_MAX 64 /* Bytes of "IP:port", including the NUL. */
#define CON_DIGEST_HEX 64  /* Hex digits of a SHA-256 digest. */
/* The configuration service stores no larger value. */
#define CON_PART_BYTES_MAX (1024 * 1024)
#define CON_PRIORITY_MAX 9 /* Lowest priority; 0 is served first. */

typedef enum ConRole {
    CON_ROLE_PREFILL,
    CON_ROLE_DECODE,
    CON_ROLE_BOTH,
    CON_ROLE_SERVICE,
} ConRole;

typedef struct ConModel {
    char name[CON_ID_MAX];
    uint32_t kv_bytes_per_token; /* KV cache transferred per prompt token. */
} ConModel;

/* One process that serves requests: an engine, which runs a model, or a plain
   service. The fields from `slots` on are set for engines only. */
typedef struct ConUpstream {
    char id[CON_ID_MAX];
    char address[CON_ADDRESS_MAX];
    char serves[CON_ID_MAX]; /* Model of an engine, or name of a service. */
    char zone[CON_ID_MAX];
    char region[CON_ID_MAX];
    char cell[CON_ID_MAX * 2]; /* "model@region", or "" for a service */
    ConRole role;
    bool leaving; /* The upstream drains: it gets no new requests. */
    char ordered_version[CON_ID_MAX]; /* Model version to load, or "". */
    /* The engine rejects orders with an old fencing number. */
    bool checks_fencing;
    uint32_t slots;         /* Requests that the engine can hold at once. */
    uint32_t memory_blocks; /* Blocks of KV cache memory. */
    uint32_t block_tokens;  /* Tokens per block. */
    uint32_t prefill_tokens_per_s;
    uint32_t token_interval_us;  /* Time between output tokens of a request. */
    uint64_t link_bytes_per_s;   /* Rate of the KV transfer link. */
    uint32_t kv_bytes_per_token; /* Copied from the engine's model. */
} ConUpstream;

/* Service path prefix that a contract allows. */
typedef struct ConRoute {
    char service[CON_ID_MAX];
    char path[CON_PATH_MAX];
    bool idempotent;
} ConRoute;

/* Contract of one customer: its keys, limits and latency targets. */
typedef struct ConCustomer {
    char id[CON_ID_MAX];
    GPtrArray *key_digests; /* char *: SHA-256 of the API keys, in hex */
    uint32_t priority;      /* 0 (served first) to CON_PRIORITY_MAX */
    double requests_per_s;
    double tokens_per_s;
    uint32_t concurrency; /* Most requests in progress at once. */
    double cross_region_tokens_per_s;
    GPtrArray *regions;     /* char * */
    GPtrArray *models;      /* char * */
    GArray *routes;         /* ConRoute */
    int64_t first_token_us; /* Target for the time to the first token. */
    int64_t per_token_us;   /* Target for the time per output token. */
    /* Validated, but not used by any module. */
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
    GPtrArray *parts;     /* ConPart *, in the manifest's order */
    GPtrArray *customers; /* ConCustomer * */
    GPtrArray *upstreams; /* ConUpstream * */
    GPtrArray *models;    /* ConModel * */
    GHashTable *customer_by_digest;
    GHashTable *customer_by_id;
    GHashTable *upstream_by_id;
    GHashTable *model_by_name;
    GHashTable *cells; /* Cell name to GPtrArray of ConUpstream *. */
} ConConfig;

/* Parsed manifest; names[i] and digests[i] describe part i. */
typedef struct ConManifest {
    uint64_t version;
    GPtrArray *names;   /* char * */
    GPtrArray *digests; /* char *: SHA-256 in hex */
} ConManifest;

/* Parses a manifest; free it with Con_UnloadManifest. Returns NULL with *err
   filled in if the text is malformed. */
ConManifest *Con_LoadManifest(const char *text, size_t size, LsError *err);
void Con_UnloadManifest(ConManifest *manifest);

/* Validates and loads a whole configuration. `parts` holds ConPart * in the
   manifest's order; their values are copied. Free the result with
   Con_UnloadConfig. Returns NULL on failure, with the place and the reason in
   *err. */
ConConfig *Con_LoadConfig(const char *manifest, size_t size,
                          const GPtrArray *parts, LsError *err);
void Con_UnloadConfig(ConConfig *config);

/* Copies the name and the value. */
ConPart *Con_NewPart(const char *name, const char *value, size_t size);
void Con_FreePart(ConPart *part);
/* Returns the SHA-256 digest in lower-case hex; free it with g_free(). */
char *Con_GetDigest(const char *value, size_t size);

/* Returns the customer that the API key belongs to. Like the three functions
   below, returns NULL if nothing is found; the result belongs to `config`. */
const ConCustomer *Con_FindCustomer(const ConConfig *config, const char *key);
const ConCustomer *Con_FindCustomerById(const ConConfig *config,
                                        const char *id);
const ConModel *Con_FindModel(const ConConfig *config, const char *name);
const ConUpstream *Con_FindUpstream(const ConConfig *config, const char *id);
/* Returns the longest route of the contract that covers the path, or NULL. A
   route covers its own path and every path below it; a query is ignored. */
const ConRoute *Con_FindRoute(const ConCustomer *customer, const char *service,
                              const char *path);
/* Returns the time in microseconds to transfer the KV cache of a prompt over
   the upstream's link. */
int64_t Con_GetTransferTime(const ConUpstream *upstream, uint32_t tokens);
const char *Con_GetRoleName(ConRole role);
bool Con_IsModelAllowed(const ConCustomer *customer, const char *model);
bool Con_IsRegionAllowed(const ConCustomer *customer, const char *region);

#endif
