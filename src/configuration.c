#include "configuration_part.h"

#include <jansson.h>
#include <string.h>

#define CON_US_PER_S 1e6 /* A double, unlike CLK_US_PER_S. */

static const char *const role_names[] = {"prefill", "decode", "both",
                                         "service"};

static bool resolve_references(const ConConfig *config, LsError *err);
static void free_customer(gpointer data);

ConManifest *
Con_LoadManifest(const char *text, size_t size, LsError *err)
{
    json_error_t json_err;
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &json_err);
    const json_t *parts = json_object_get(root, "parts");
    json_int_t version = json_integer_value(json_object_get(root, "version"));
    ConManifest *manifest;
    size_t i;
    const json_t *item;

    if (root == NULL || version <= 0 || !json_is_array(parts)) {
        Err_Set(err, LS_ERR_CONFIG_PARSE, LS_RUN_NOT_RUN, "manifest: %s",
                root == NULL
                    ? json_err.text
                    : "needs a version above 0 and a \"parts\" array");
        json_decref(root);
        return NULL;
    }
    manifest = g_new0(ConManifest, 1);
    manifest->version = (uint64_t)version;
    manifest->names = g_ptr_array_new_with_free_func(g_free);
    manifest->digests = g_ptr_array_new_with_free_func(g_free);
    json_array_foreach(parts, i, item)
    {
        const char *name = json_string_value(json_object_get(item, "name"));
        const char *digest =
            json_string_value(json_object_get(item, "sha256"));
        if (name == NULL || digest == NULL ||
            strlen(digest) != CON_DIGEST_HEX) {
            Err_Set(err, LS_ERR_CONFIG_FIELD, LS_RUN_NOT_RUN,
                    "manifest: parts[%zu]: needs name and sha256", i);
            Con_UnloadManifest(manifest);
            json_decref(root);
            return NULL;
        }
        g_ptr_array_add(manifest->names, g_strdup(name));
        g_ptr_array_add(manifest->digests, g_strdup(digest));
    }
    json_decref(root);
    return manifest;
}

void
Con_UnloadManifest(ConManifest *manifest)
{
    if (manifest == NULL) {
        return;
    }
    g_ptr_array_unref(manifest->names);
    g_ptr_array_unref(manifest->digests);
    g_free(manifest);
}

/* Compares names, order and digests of the parts with the manifest. */
static bool
check_parts(const ConManifest *manifest, const GPtrArray *parts, LsError *err)
{
    if (parts->len != manifest->names->len) {
        Err_Set(err, LS_ERR_CONFIG_DIGEST, LS_RUN_NOT_RUN,
                "manifest lists %u parts, got %u", manifest->names->len,
                parts->len);
        return false;
    }
    for (guint i = 0; i < parts->len; i++) {
        const ConPart *part = parts->pdata[i];
        char *digest = Con_GetDigest(part->value, part->size);
        bool same =
            strcmp(part->name, manifest->names->pdata[i]) == 0 &&
            g_ascii_strcasecmp(digest, manifest->digests->pdata[i]) == 0;
        g_free(digest);
        if (!same || part->size > CON_PART_BYTES_MAX) {
            Err_Set(err, LS_ERR_CONFIG_DIGEST, LS_RUN_NOT_RUN, "part %s: %s",
                    part->name,
                    same ? "larger than 1 MiB"
                         : "SHA-256 differs from the manifest");
            return false;
        }
    }
    return true;
}

static ConConfig *
new_config(uint64_t version, const char *manifest, size_t size)
{
    ConConfig *config = g_new0(ConConfig, 1);

    config->version = version;
    config->manifest = g_strndup(manifest, size);
    config->parts =
        g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);
    config->customers = g_ptr_array_new_with_free_func(free_customer);
    config->upstreams = g_ptr_array_new_with_free_func(g_free);
    config->models = g_ptr_array_new_with_free_func(g_free);
    config->customer_by_digest = g_hash_table_new(g_str_hash, g_str_equal);
    config->customer_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    config->upstream_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    config->model_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    config->cells = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                          (GDestroyNotify)g_ptr_array_unref);
    return config;
}

ConConfig *
Con_LoadConfig(const char *manifest, size_t size, const GPtrArray *parts,
               LsError *err)
{
    ConManifest *parsed = Con_LoadManifest(manifest, size, err);
    ConConfig *config;
    bool ok;

    if (parsed == NULL) {
        return NULL;
    }
    config = new_config(parsed->version, manifest, size);
    ok = check_parts(parsed, parts, err);
    Con_UnloadManifest(parsed);
    for (guint i = 0; ok && i < parts->len; i++) {
        const ConPart *part = parts->pdata[i];
        g_ptr_array_add(config->parts,
                        Con_NewPart(part->name, part->value, part->size));
        ok = Con_ReadPart(part, config, err);
    }
    if (!ok || !resolve_references(config, err)) {
        Con_UnloadConfig(config);
        return NULL;
    }
    return config;
}

void
Con_UnloadConfig(ConConfig *config)
{
    if (config == NULL) {
        return;
    }
    g_hash_table_unref(config->cells);
    g_hash_table_unref(config->customer_by_digest);
    g_hash_table_unref(config->customer_by_id);
    g_hash_table_unref(config->upstream_by_id);
    g_hash_table_unref(config->model_by_name);
    g_ptr_array_unref(config->customers);
    g_ptr_array_unref(config->upstreams);
    g_ptr_array_unref(config->models);
    g_ptr_array_unref(config->parts);
    g_free(config->manifest);
    g_free(config);
}

ConPart *
Con_NewPart(const char *name, const char *value, size_t size)
{
    ConPart *part = g_new0(ConPart, 1);
    part->name = g_strdup(name);
    part->value = g_strndup(value, size);
    part->size = size;
    return part;
}

void
Con_FreePart(ConPart *part)
{
    g_free(part->name);
    g_free(part->value);
    g_free(part);
}

char *
Con_GetDigest(const char *value, size_t size)
{
    return g_compute_checksum_for_data(G_CHECKSUM_SHA256,
                                       (const guchar *)value, size);
}

const ConCustomer *
Con_FindCustomer(const ConConfig *config, const char *key)
{
    /* The lookup compares digests, so its timing reveals nothing about the
       key. */
    char *digest = Con_GetDigest(key, strlen(key));
    const ConCustomer *customer =
        g_hash_table_lookup(config->customer_by_digest, digest);
    g_free(digest);
    return customer;
}

const ConCustomer *
Con_FindCustomerById(const ConConfig *config, const char *id)
{
    return g_hash_table_lookup(config->customer_by_id, id);
}

const ConModel *
Con_FindModel(const ConConfig *config, const char *name)
{
    return g_hash_table_lookup(config->model_by_name, name);
}

const ConUpstream *
Con_FindUpstream(const ConConfig *config, const char *id)
{
    return g_hash_table_lookup(config->upstream_by_id, id);
}

const ConRoute *
Con_FindRoute(const ConCustomer *customer, const char *service,
              const char *path)
{
    const ConRoute *best = NULL;

    for (guint i = 0; i < customer->routes->len; i++) {
        const ConRoute *route = &g_array_index(customer->routes, ConRoute, i);
        size_t size = strlen(route->path);
        bool covers = strcmp(route->service, service) == 0 &&
                      strncmp(route->path, path, size) == 0 &&
                      strchr("/?", path[size]) != NULL;
        if (covers && (best == NULL || size > strlen(best->path))) {
            best = route;
        }
    }
    return best;
}

const char *
Con_GetRoleName(ConRole role)
{
    return role_names[role];
}

int64_t
Con_GetTransferTime(const ConUpstream *upstream, uint32_t tokens)
{
    double bytes = (double)tokens * upstream->kv_bytes_per_token;
    return (int64_t)(bytes / (double)upstream->link_bytes_per_s *
                     CON_US_PER_S);
}

static bool
has_string(const GPtrArray *strings, const char *wanted)
{
    for (guint i = 0; i < strings->len; i++) {
        if (strcmp(strings->pdata[i], wanted) == 0) {
            return true;
        }
    }
    return false;
}

bool
Con_IsModelAllowed(const ConCustomer *customer, const char *model)
{
    return has_string(customer->models, model);
}

bool
Con_IsRegionAllowed(const ConCustomer *customer, const char *region)
{
    return has_string(customer->regions, region);
}

/* Checks that every model named by a customer or an engine is defined, and
   copies the models' kv_bytes_per_token to their engines. */
static bool
resolve_references(const ConConfig *config, LsError *err)
{
    for (guint i = 0; i < config->customers->len; i++) {
        const ConCustomer *customer = config->customers->pdata[i];
        for (guint j = 0; j < customer->models->len; j++) {
            const char *model = customer->models->pdata[j];
            if (Con_FindModel(config, model) == NULL) {
                Err_Set(err, LS_ERR_CONFIG_FIELD, LS_RUN_NOT_RUN,
                        "customer %s: models: %s is not defined", customer->id,
                        model);
                return false;
            }
        }
    }
    for (guint i = 0; i < config->upstreams->len; i++) {
        ConUpstream *upstream = config->upstreams->pdata[i];
        const ConModel *model = Con_FindModel(config, upstream->serves);
        if (model != NULL) {
            upstream->kv_bytes_per_token = model->kv_bytes_per_token;
        }
        else if (upstream->role != CON_ROLE_SERVICE) {
            Err_Set(err, LS_ERR_CONFIG_FIELD, LS_RUN_NOT_RUN,
                    "upstream %s: serves: model %s is not defined",
                    upstream->id, upstream->serves);
            return false;
        }
    }
    return true;
}

static void
free_customer(gpointer data)
{
    ConCustomer *customer = data;
    g_ptr_array_unref(customer->key_digests);
    g_ptr_array_unref(customer->regions);
    g_ptr_array_unref(customer->models);
    g_array_unref(customer->routes);
    g_free(customer);
}
