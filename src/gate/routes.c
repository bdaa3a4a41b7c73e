#include "routes.h"

#include <string.h>
#include <xxhash.h>

static void add_route_levels(const RteTable *table, const RteRoute *route);
static void add_level(RteService *service, uint32_t priority);
static void free_route(gpointer data);
static void free_service(gpointer data);
static void clear_backend(gpointer data);
static void free_routes(gpointer data);

RteTable *
Rte_New(uint64_t version)
{
    RteTable *table = g_new0(RteTable, 1);

    table->version = version;
    table->refs = 1;
    table->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_routes);
    table->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    return table;
}

RteTable *
Rte_Ref(RteTable *table)
{
    table->refs++;
    return table;
}

void
Rte_Unref(RteTable *table)
{
    if (table == NULL || --table->refs > 0) {
        return;
    }
    g_hash_table_destroy(table->hosts);
    g_hash_table_destroy(table->services);
    Acc_FreeTable(table->accounts);
    g_free(table);
}

void
Rte_AddRoute(RteTable *table, const RteRoute *route)
{
    RteRoute *copy = g_memdup2(route, sizeof(*route));
    char *host = g_ascii_strdown(route->host, -1);
    GPtrArray *routes = g_hash_table_lookup(table->hosts, host);
    guint at = 0;

    copy->name = g_strdup(route->name);
    copy->host = g_strdup(route->host);
    copy->prefix = g_strdup(route->prefix);
    copy->backends = g_array_new(FALSE, FALSE, sizeof(RteBackend));
    g_array_set_clear_func(copy->backends, clear_backend);
    for (guint i = 0; i < route->backends->len; i++) {
        RteBackend backend = g_array_index(route->backends, RteBackend, i);
        backend.service = g_strdup(backend.service);
        g_array_append_val(copy->backends, backend);
    }
    if (routes == NULL) {
        routes = g_ptr_array_new_with_free_func(free_route);
        g_hash_table_insert(table->hosts, g_strdup(host), routes);
    }
    g_free(host);
    /* Longest prefix first, so that the first match is the longest. */
    while (at < routes->len) {
        const RteRoute *other = g_ptr_array_index(routes, at);
        if (strlen(other->prefix) < strlen(copy->prefix)) {
            break;
        }
        at++;
    }
    g_ptr_array_insert(routes, (gint)at, copy);
    table->route_count++;
}

void
Rte_AddService(RteTable *table, const RteService *service)
{
    RteService *copy = g_memdup2(service, sizeof(*service));

    copy->name = g_strdup(service->name);
    g_hash_table_replace(table->services, copy->name, copy);
}

void
Rte_SetLevels(RteTable *table)
{
    GHashTableIter iter;
    gpointer row;

    g_hash_table_iter_init(&iter, table->services);
    while (g_hash_table_iter_next(&iter, NULL, &row)) {
        RteService *service = row;
        service->level_count = 0;
        service->least_slo_ms = 0;
    }
    g_hash_table_iter_init(&iter, table->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &row)) {
        const GPtrArray *routes = row;
        for (guint i = 0; i < routes->len; i++) {
            add_route_levels(table, g_ptr_array_index(routes, i));
        }
    }
}

uint32_t
Rte_GetLevel(const RteService *service, uint32_t priority)
{
    uint32_t level = 0;

    while (level + 1 < service->level_count &&
           priority > service->levels[level]) {
        level++;
    }
    return level;
}

/* Adds the priorities that requests on the route may have to the levels of its
   services. */
static void
add_route_levels(const RteTable *table, const RteRoute *route)
{
    size_t count =
        table->accounts != NULL ? Acc_List(table->accounts, NULL, 0) : 0;
    const Account **accounts = g_new0(const Account *, count + 1);
    bool uses_route = count == 0 || route->is_public;

    if (count > 0) {
        Acc_List(table->accounts, accounts, count);
    }
    for (size_t i = 0; i < count; i++) {
        uses_route |= accounts[i]->priority == ACC_PRIORITY_NONE;
    }
    for (guint i = 0; i < route->backends->len; i++) {
        const RteBackend *backend =
            &g_array_index(route->backends, RteBackend, i);
        RteService *service =
            g_hash_table_lookup(table->services, backend->service);
        if (service == NULL) {
            continue;
        }
        if (uses_route) {
            add_level(service, route->priority);
        }
        for (size_t k = 0; k < count && !route->is_public; k++) {
            if (accounts[k]->priority != ACC_PRIORITY_NONE) {
                add_level(service, accounts[k]->priority);
            }
        }
        if (route->slo_ms > 0 && (service->least_slo_ms == 0 ||
                                  route->slo_ms < service->least_slo_ms)) {
            service->least_slo_ms = route->slo_ms;
        }
    }
    g_free(accounts);
}

/* Adds a priority in its order. The least urgent one is dropped if there are
   too many. */
static void
add_level(RteService *service, uint32_t priority)
{
    uint32_t at = 0;

    while (at < service->level_count && service->levels[at] < priority) {
        at++;
    }
    if (at == RTE_LEVELS_MAX ||
        (at < service->level_count && service->levels[at] == priority)) {
        return;
    }
    service->level_count = MIN(service->level_count + 1, RTE_LEVELS_MAX);
    memmove(&service->levels[at + 1], &service->levels[at],
            (service->level_count - at - 1) * sizeof(service->levels[0]));
    service->levels[at] = priority;
}

const RteRoute *
Rte_FindRoute(const RteTable *table, const char *host, const char *path)
{
    char *key = g_ascii_strdown(host, -1);
    char *port = strrchr(key, ':');
    size_t path_size = strcspn(path, "?");
    const GPtrArray *routes;
    const RteRoute *found = NULL;

    if (port != NULL && strchr(port, ']') == NULL) {
        *port = '\0';
    }
    routes = g_hash_table_lookup(table->hosts, key);
    for (guint i = 0; routes != NULL && found == NULL && i < routes->len;
         i++) {
        const RteRoute *route = g_ptr_array_index(routes, i);
        size_t prefix_size = strlen(route->prefix);
        if (prefix_size <= path_size &&
            memcmp(route->prefix, path, prefix_size) == 0) {
            found = route;
        }
    }
    g_free(key);
    return found;
}

const RteService *
Rte_FindService(const RteTable *table, const char *name)
{
    return g_hash_table_lookup(table->services, name);
}

const RteService *
Rte_FindServiceByHash(const RteTable *table, uint64_t hash)
{
    GHashTableIter iter;
    gpointer row;

    if (table == NULL) {
        return NULL;
    }
    g_hash_table_iter_init(&iter, table->services);
    while (g_hash_table_iter_next(&iter, NULL, &row)) {
        const RteService *service = row;
        if (XXH3_64bits(service->name, strlen(service->name)) == hash) {
            return service;
        }
    }
    return NULL;
}

const char *
Rte_ChooseService(const RteRoute *route, uint32_t random_value)
{
    uint64_t total = 0;
    uint64_t at;

    for (guint i = 0; i < route->backends->len; i++) {
        total += g_array_index(route->backends, RteBackend, i).weight;
    }
    at = total > 0 ? random_value % total : 0;
    for (guint i = 0; i < route->backends->len; i++) {
        const RteBackend *backend =
            &g_array_index(route->backends, RteBackend, i);
        if (at < backend->weight || total == 0) {
            return backend->service;
        }
        at -= backend->weight;
    }
    return NULL;
}

static void
free_route(gpointer data)
{
    RteRoute *route = data;

    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    g_array_free(route->backends, TRUE);
    g_free(route);
}

static void
free_service(gpointer data)
{
    RteService *service = data;

    g_free(service->name);
    g_free(service);
}

static void
clear_backend(gpointer data)
{
    RteBackend *backend = data;

    g_free(backend->service);
}

static void
free_routes(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}
