/* Configuration part: reads the sections of a part. See
   configuration_part.h. */
#include "configuration_part.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

#define CON_FIRST_TOKEN_MS_MAX 600000
#define CON_PER_TOKEN_MS_MAX 60000
#define CON_SLOTS_MAX 4096

/* Position of the item being parsed, for error messages. */
typedef struct ItemContext {
    const char *part;
    const char *section;
    size_t index;
    LsError *err;
} ItemContext;

typedef bool (*ReadItemFn)(const ItemContext *context, const json_t *item,
                           ConConfig *config);

static bool read_section(ItemContext *context, const json_t *root,
                         const char *name, ReadItemFn read_item,
                         ConConfig *config);
static bool read_model(const ItemContext *context, const json_t *item,
                       ConConfig *config);
static bool read_upstream(const ItemContext *context, const json_t *item,
                          ConConfig *config);
static bool read_customer(const ItemContext *context, const json_t *item,
                          ConConfig *config);
static bool refuse_field(const ItemContext *context, const char *field,
                         const char *reason);

bool
Con_ReadPart(const ConPart *part, ConConfig *config, LsError *err)
{
    json_error_t json_err;
    json_t *root =
        json_loadb(part->value, part->size, JSON_REJECT_DUPLICATES, &json_err);
    ItemContext context = {part->name, "", 0, err};
    bool ok;

    if (!json_is_object(root)) {
        Err_Set(err, LS_ERR_CONFIG_PARSE, LS_RUN_NOT_RUN, "%s: line %d: %s",
                part->name, root == NULL ? json_err.line : 1,
                root == NULL ? json_err.text : "needs an object");
        json_decref(root);
        return false;
    }
    ok = read_section(&context, root, "models", read_model, config) &&
         read_section(&context, root, "upstreams", read_upstream, config) &&
         read_section(&context, root, "customers", read_customer, config);
    json_decref(root);
    return ok;
}

/* Reports an error in a field of the current item. Always returns false. */
static bool
refuse_field(const ItemContext *context, const char *field, const char *reason)
{
    Err_Set(context->err, LS_ERR_CONFIG_FIELD, LS_RUN_NOT_RUN,
            "%s: %s[%zu].%s: %s", context->part, context->section,
            context->index, field, reason);
    return false;
}

/* Copies an identifier of letters, digits, '.', '-' and '_' to `target`, which
   holds CON_ID_MAX bytes. */
static bool
read_id(const ItemContext *context, const json_t *item, const char *field,
        char *target)
{
    const char *value = json_string_value(json_object_get(item, field));

    if (value == NULL || value[0] == '\0' || strlen(value) >= CON_ID_MAX) {
        return refuse_field(context, field, "needs a string of 1 to 47 bytes");
    }
    for (const char *c = value; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr(".-_", *c) == NULL) {
            return refuse_field(context, field,
                                "letters, digits, '.', '-', '_' only");
        }
    }
    g_strlcpy(target, value, CON_ID_MAX);
    return true;
}

/* Reads a number in [low, high]. */
static bool
read_number(const ItemContext *context, const json_t *item, const char *field,
            double low, double high, double *target)
{
    const json_t *value = json_object_get(item, field);
    char reason[ERR_MESSAGE_MAX];

    if (!json_is_number(value) || json_number_value(value) < low ||
        json_number_value(value) > high) {
        g_snprintf(reason, sizeof(reason), "needs a number from %g to %g", low,
                   high);
        return refuse_field(context, field, reason);
    }
    *target = json_number_value(value);
    return true;
}

static bool
read_u32(const ItemContext *context, const json_t *item, const char *field,
         uint32_t low, uint32_t high, uint32_t *target)
{
    double value;

    if (!read_number(context, item, field, low, high, &value)) {
        return false;
    }
    *target = (uint32_t)value;
    return true;
}

static bool
read_strings(const ItemContext *context, const json_t *item, const char *field,
             GPtrArray *target)
{
    const json_t *array = json_object_get(item, field);
    size_t i;
    const json_t *value;

    if (!json_is_array(array)) {
        return refuse_field(context, field, "needs an array of strings");
    }
    json_array_foreach(array, i, value)
    {
        if (!json_is_string(value)) {
            return refuse_field(context, field, "needs an array of strings");
        }
        g_ptr_array_add(target, g_strdup(json_string_value(value)));
    }
    return true;
}

static bool
read_section(ItemContext *context, const json_t *root, const char *name,
             ReadItemFn read_item, ConConfig *config)
{
    const json_t *array = json_object_get(root, name);
    const json_t *item;

    context->section = name;
    context->index = 0;
    if (array == NULL) {
        return true;
    }
    if (!json_is_array(array)) {
        return refuse_field(context, "", "section needs an array");
    }
    json_array_foreach(array, context->index, item)
    {
        if (!json_is_object(item)) {
            return refuse_field(context, "", "needs an object");
        }
        if (!read_item(context, item, config)) {
            return false;
        }
    }
    return true;
}

static bool
read_model(const ItemContext *context, const json_t *item, ConConfig *config)
{
    ConModel *model = g_new0(ConModel, 1);

    g_ptr_array_add(config->models, model);
    if (!read_id(context, item, "name", model->name) ||
        !read_u32(context, item, "kv_bytes_per_token", 1, 100000000,
                  &model->kv_bytes_per_token)) {
        return false;
    }
    if (!g_hash_table_insert(config->model_by_name, model->name, model)) {
        return refuse_field(context, "name", "is defined more than once");
    }
    return true;
}

static bool
read_role(const ItemContext *context, const json_t *item,
          ConUpstream *upstream)
{
    const char *role = json_string_value(json_object_get(item, "role"));

    for (int i = 0; i <= CON_ROLE_SERVICE; i++) {
        if (g_strcmp0(role, Con_GetRoleName((ConRole)i)) == 0) {
            upstream->role = (ConRole)i;
            return true;
        }
    }
    return refuse_field(context, "role",
                        "needs prefill, decode, both or service");
}

static bool
read_engine_sizes(const ItemContext *context, const json_t *item,
                  ConUpstream *upstream)
{
    double link;

    if (!read_u32(context, item, "slots", 1, CON_SLOTS_MAX,
                  &upstream->slots) ||
        !read_u32(context, item, "memory_blocks", 1, 1000000,
                  &upstream->memory_blocks) ||
        !read_u32(context, item, "block_tokens", 1, 1000000,
                  &upstream->block_tokens) ||
        !read_u32(context, item, "prefill_tokens_per_s", 1, 100000000,
                  &upstream->prefill_tokens_per_s) ||
        !read_u32(context, item, "token_interval_us", 1, 60000000,
                  &upstream->token_interval_us) ||
        !read_number(context, item, "link_bytes_per_s", 1, 1e15, &link)) {
        return false;
    }
    upstream->link_bytes_per_s = (uint64_t)link;
    return true;
}

static void
add_to_cell(ConConfig *config, ConUpstream *upstream)
{
    GPtrArray *members;

    g_snprintf(upstream->cell, sizeof(upstream->cell), "%s@%s",
               upstream->serves, upstream->region);
    members = g_hash_table_lookup(config->cells, upstream->cell);
    if (members == NULL) {
        members = g_ptr_array_new();
        g_hash_table_insert(config->cells, upstream->cell, members);
    }
    g_ptr_array_add(members, upstream);
}

/* Whether the text is "IP:port" or "[IPv6]:port". */
static bool
is_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    size_t size = colon != NULL ? (size_t)(colon - text) : 0;
    bool is_ipv6 = text[0] == '[' && size > 1 && text[size - 1] == ']';
    struct in6_addr binary;
    guint64 port;
    char *ip;
    bool is_ip;

    if (colon == NULL || !g_ascii_string_to_unsigned(
                             colon + 1, 10, 1, UINT16_MAX, &port, NULL)) {
        return false;
    }
    ip = is_ipv6 ? g_strndup(text + 1, size - 2) : g_strndup(text, size);
    is_ip = inet_pton(is_ipv6 ? AF_INET6 : AF_INET, ip, &binary) == 1;
    g_free(ip);
    return is_ip;
}

static bool
read_upstream(const ItemContext *context, const json_t *item,
              ConConfig *config)
{
    ConUpstream *upstream = g_new0(ConUpstream, 1);
    const char *address = json_string_value(json_object_get(item, "address"));
    const char *state = json_string_value(json_object_get(item, "state"));

    g_ptr_array_add(config->upstreams, upstream);
    if (!read_id(context, item, "id", upstream->id) ||
        !read_id(context, item, "serves", upstream->serves) ||
        !read_id(context, item, "zone", upstream->zone) ||
        !read_id(context, item, "region", upstream->region) ||
        !read_role(context, item, upstream)) {
        return false;
    }
    if (address == NULL || strlen(address) >= CON_ADDRESS_MAX ||
        !is_address(address)) {
        return refuse_field(context, "address",
                            "needs \"IP:port\", or \"[IP]:port\" for IPv6");
    }
    g_strlcpy(upstream->address, address, CON_ADDRESS_MAX);
    if (state != NULL && strcmp(state, "active") != 0 &&
        strcmp(state, "leaving") != 0) {
        return refuse_field(context, "state", "needs active or leaving");
    }
    upstream->leaving = g_strcmp0(state, "leaving") == 0;
    upstream->checks_fencing =
        json_is_true(json_object_get(item, "checks_fencing"));
    if (json_object_get(item, "load") != NULL &&
        !read_id(context, item, "load", upstream->ordered_version)) {
        return false;
    }
    if (!g_hash_table_insert(config->upstream_by_id, upstream->id, upstream)) {
        return refuse_field(context, "id", "is defined more than once");
    }
    if (upstream->role == CON_ROLE_SERVICE) {
        return true;
    }
    add_to_cell(config, upstream);
    return read_engine_sizes(context, item, upstream);
}

static bool
read_route(const ItemContext *context, const json_t *item, ConRoute *route)
{
    const char *path = json_string_value(json_object_get(item, "path"));
    const json_t *idempotent = json_object_get(item, "idempotent");

    if (!read_id(context, item, "service", route->service)) {
        return false;
    }
    if (path == NULL || path[0] != '/' || strlen(path) >= CON_PATH_MAX) {
        return refuse_field(context, "routes.path", "needs \"/...\"");
    }
    if (!json_is_boolean(idempotent)) {
        return refuse_field(context, "routes.idempotent",
                            "needs true or false");
    }
    g_strlcpy(route->path, path, CON_PATH_MAX);
    route->idempotent = json_is_true(idempotent);
    return true;
}

static bool
read_routes(const ItemContext *context, const json_t *item,
            ConCustomer *customer)
{
    const json_t *array = json_object_get(item, "routes");
    size_t i;
    const json_t *value;

    if (array != NULL && !json_is_array(array)) {
        return refuse_field(context, "routes", "needs an array");
    }
    json_array_foreach(array, i, value)
    {
        ConRoute route = {0};
        if (!read_route(context, value, &route)) {
            return false;
        }
        g_array_append_val(customer->routes, route);
    }
    return true;
}

static bool
read_limits(const ItemContext *context, const json_t *item,
            ConCustomer *customer)
{
    double first_token_ms;
    double per_token_ms;

    if (!read_u32(context, item, "priority", 0, CON_PRIORITY_MAX,
                  &customer->priority) ||
        !read_number(context, item, "requests_per_s", 0, 1e6,
                     &customer->requests_per_s) ||
        !read_number(context, item, "tokens_per_s", 0, 1e9,
                     &customer->tokens_per_s) ||
        !read_u32(context, item, "concurrency", 0, 1000000,
                  &customer->concurrency) ||
        !read_number(context, item, "cross_region_tokens_per_s", 0, 1e9,
                     &customer->cross_region_tokens_per_s) ||
        !read_number(context, item, "first_token_ms", 1,
                     CON_FIRST_TOKEN_MS_MAX, &first_token_ms) ||
        !read_number(context, item, "per_token_ms", 1, CON_PER_TOKEN_MS_MAX,
                     &per_token_ms) ||
        !read_number(context, item, "wasted_prefill_weight", 0, 1000,
                     &customer->wasted_prefill_weight)) {
        return false;
    }
    customer->first_token_us = (int64_t)(first_token_ms * 1000);
    customer->per_token_us = (int64_t)(per_token_ms * 1000);
    return true;
}

static bool
add_key_digests(const ItemContext *context, ConCustomer *customer,
                ConConfig *config)
{
    for (guint i = 0; i < customer->key_digests->len; i++) {
        char *digest = customer->key_digests->pdata[i];
        if (strlen(digest) != CON_DIGEST_HEX) {
            return refuse_field(context, "key_sha256", "needs 64 hex digits");
        }
        for (char *c = digest; *c != '\0'; c++) {
            *c = g_ascii_tolower(*c);
        }
        if (!g_hash_table_insert(config->customer_by_digest, digest,
                                 customer)) {
            return refuse_field(context, "key_sha256",
                                "is defined more than once");
        }
    }
    return true;
}

static bool
add_customer_id(const ItemContext *context, ConCustomer *customer,
                ConConfig *config)
{
    if (!g_hash_table_insert(config->customer_by_id, customer->id, customer)) {
        return refuse_field(context, "id", "is defined more than once");
    }
    return true;
}

static bool
read_customer(const ItemContext *context, const json_t *item,
              ConConfig *config)
{
    ConCustomer *customer = g_new0(ConCustomer, 1);

    customer->key_digests = g_ptr_array_new_with_free_func(g_free);
    customer->regions = g_ptr_array_new_with_free_func(g_free);
    customer->models = g_ptr_array_new_with_free_func(g_free);
    customer->routes = g_array_new(FALSE, TRUE, sizeof(ConRoute));
    g_ptr_array_add(config->customers, customer);
    return read_id(context, item, "id", customer->id) &&
           add_customer_id(context, customer, config) &&
           read_strings(context, item, "key_sha256", customer->key_digests) &&
           read_strings(context, item, "regions", customer->regions) &&
           read_strings(context, item, "models", customer->models) &&
           read_limits(context, item, customer) &&
           read_routes(context, item, customer) &&
           add_key_digests(context, customer, config);
}
