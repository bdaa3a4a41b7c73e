/* fake_platform: fake of the configuration service (read-only, with the
   format of Consul's KV store, backed by a directory of files) and of the VM
   list.

   --port N --directory DIR [--reads-per-s N] [--seconds N]

   DIR holds the value of each key as a file: lavenderspool/manifest,
   lavenderspool/parts/NAME, and vms.json. POST /switch {"outage": bool,
   "stale": bool, "list_outage": bool} makes the configuration service fail,
   makes all reads return the values read before, or makes the VM list
   fail. */
#include "fake.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#define PLATFORM_READS_PER_S 2000 /* Default of --reads-per-s. */
#define PLATFORM_POLL_US 50000    /* Interval of checks in a blocking read. */
#define PLATFORM_WAIT_S_MAX 60    /* Longest blocking read. */

typedef struct Platform {
    const char *directory;
    long reads_per_s;
    pthread_mutex_t lock;
    atomic_bool outage;
    atomic_bool list_outage;
    atomic_bool stale;
    gint64 second;             /* Second to which `reads` belongs. */
    long reads;                /* Calls in that second. */
    long reads_max;            /* Highest number of calls in any second. */
    GHashTable *cached_values; /* Key to last value, returned while stale. */
} Platform;

/* Counts a call. Returns false if it exceeds the calls allowed per second. */
static bool
count_read(Platform *platform)
{
    gint64 second = g_get_monotonic_time() / G_USEC_PER_SEC;
    bool ok;

    pthread_mutex_lock(&platform->lock);
    if (second != platform->second) {
        platform->second = second;
        platform->reads = 0;
    }
    platform->reads++;
    platform->reads_max = MAX(platform->reads_max, platform->reads);
    ok = platform->reads <= platform->reads_per_s;
    pthread_mutex_unlock(&platform->lock);
    return ok;
}

/* Returns the modification index of a key: the time in milliseconds at which
   its file was last modified, or 0 if there is none. */
static guint64
get_index(const Platform *platform, const char *key)
{
    char *path = g_build_filename(platform->directory, key, NULL);
    struct stat info;
    guint64 index = 0;

    if (stat(path, &info) == 0) {
        index = (guint64)info.st_mtim.tv_sec * 1000 +
                (guint64)info.st_mtim.tv_nsec / 1000000;
    }
    g_free(path);
    return index;
}

static char *
read_value(Platform *platform, const char *key, gsize *size)
{
    char *path = g_build_filename(platform->directory, key, NULL);
    char *value = NULL;
    bool stale = platform->stale;

    pthread_mutex_lock(&platform->lock);
    if (stale && g_hash_table_contains(platform->cached_values, key)) {
        value = g_strdup(g_hash_table_lookup(platform->cached_values, key));
        *size = strlen(value);
    }
    else if (g_file_get_contents(path, &value, size, NULL)) {
        g_hash_table_insert(platform->cached_values, g_strdup(key),
                            g_strdup(value));
    }
    pthread_mutex_unlock(&platform->lock);
    g_free(path);
    return value;
}

/* Waits at most `wait_s` seconds until the index of a key differs from the
   client's. */
static void
wait_for_change(Platform *platform, const char *key, guint64 index,
                guint64 wait_s)
{
    gint64 until_us =
        g_get_monotonic_time() +
        (gint64)MIN(wait_s, PLATFORM_WAIT_S_MAX) * G_USEC_PER_SEC;

    while (g_get_monotonic_time() < until_us &&
           (platform->stale || get_index(platform, key) == index)) {
        g_usleep(PLATFORM_POLL_US);
    }
}

static int
handle_key(const struct _u_request *request, struct _u_response *response,
           void *context)
{
    Platform *platform = context;
    const char *key = request->url_path + strlen("/v1/kv/");
    const char *index = u_map_get(request->map_url, "index");
    const char *wait = u_map_get(request->map_url, "wait");
    gsize size = 0;
    guint64 read_index;
    char *value;
    char *encoded;

    if (!count_read(platform) || platform->outage ||
        strstr(key, "..") != NULL) {
        return Fake_Refuse(response, 503, "unavailable");
    }
    if (index != NULL && wait != NULL &&
        g_ascii_strtoull(index, NULL, 10) > 0) {
        wait_for_change(platform, key, g_ascii_strtoull(index, NULL, 10),
                        g_ascii_strtoull(wait, NULL, 10));
    }
    /* The index is read first: if the value changes meanwhile, the client
       reads it once more instead of missing the change. */
    read_index = get_index(platform, key);
    value = read_value(platform, key, &size);
    if (value == NULL) {
        return Fake_Refuse(response, 404, "no_such_key");
    }
    encoded = g_base64_encode((const guchar *)value, size);
    Fake_Answer(response, 200,
                json_pack("[{s:s, s:s, s:I}]", "Key", key, "Value", encoded,
                          "ModifyIndex", (json_int_t)read_index));
    g_free(encoded);
    g_free(value);
    return U_CALLBACK_COMPLETE;
}

static int
handle_vms(const struct _u_request *request, struct _u_response *response,
           void *context)
{
    Platform *platform = context;
    gsize size = 0;
    char *value;

    (void)request;
    if (!count_read(platform) || platform->list_outage) {
        return Fake_Refuse(response, 503, "unavailable");
    }
    value = read_value(platform, "vms.json", &size);
    ulfius_set_string_body_response(response, 200,
                                    value != NULL ? value : "[]");
    g_free(value);
    return U_CALLBACK_COMPLETE;
}

static int
handle_switch(const struct _u_request *request, struct _u_response *response,
              void *context)
{
    Platform *platform = context;
    json_t *body = Fake_LoadBody(request);
    long reads_max;

    pthread_mutex_lock(&platform->lock);
    platform->outage = json_is_true(json_object_get(body, "outage"));
    platform->list_outage = json_is_true(json_object_get(body, "list_outage"));
    platform->stale = json_is_true(json_object_get(body, "stale"));
    reads_max = platform->reads_max;
    pthread_mutex_unlock(&platform->lock);
    json_decref(body);
    return Fake_Answer(
        response, 200,
        json_pack("{s:I}", "reads_per_s_max", (json_int_t)reads_max));
}

int
main(int argc, char **argv)
{
    Platform platform = {0};
    struct _u_instance instance;
    long port = Fake_GetNumber(argc, argv, "port", 0);

    platform.directory = Fake_GetFlag(argc, argv, "directory", ".");
    platform.reads_per_s =
        Fake_GetNumber(argc, argv, "reads-per-s", PLATFORM_READS_PER_S);
    platform.cached_values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pthread_mutex_init(&platform.lock, NULL);
    ulfius_init_instance(&instance, (unsigned int)port, NULL, NULL);
    ulfius_add_endpoint_by_val(&instance, "GET", "/v1/kv/*", NULL, 0,
                               handle_key, &platform);
    ulfius_add_endpoint_by_val(&instance, "GET", "/v1/vms", NULL, 0,
                               handle_vms, &platform);
    ulfius_add_endpoint_by_val(&instance, "POST", "/switch", NULL, 0,
                               handle_switch, &platform);
    Fake_StartServer(&instance, (uint16_t)port);
    Fake_WaitForStop((int)Fake_GetNumber(argc, argv, "seconds", 600));
    _Exit(0);
}
