/* Rig: generates the configuration that a rig publishes to its VMs. */
#include "rig_state.h"

#include <string.h>

static char *
format_upstreams(const Rig *rig)
{
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < rig->engines->len; i++) {
        const RigEngine *engine = rig->engines->pdata[i];
        g_string_append_printf(
            text,
            "{\"id\":\"%s\",\"address\":\"%s\",\"serves\":\"" RIG_MODEL
            "\",\"zone\":\"z\",\"region\":\"region-%d\",\"role\":\"%s\","
            "\"state\":\"%s\",%s%s%s\"checks_fencing\":%s,\"slots\":%u,"
            "\"memory_blocks\":100,"
            "\"block_tokens\":2000,\"prefill_tokens_per_s\":%u,"
            "\"token_interval_us\":%u,\"link_bytes_per_s\":1e10},",
            engine->id, engine->address, engine->region,
            engine->prefill ? "prefill" : "decode",
            engine->leaving ? "leaving" : "active",
            rig->load[0] != '\0' ? "\"load\":\"" : "", rig->load,
            rig->load[0] != '\0' ? "\"," : "",
            rig->checks_fencing ? "true" : "false", rig->options.slots,
            rig->options.prefill_tokens_per_s, rig->options.token_interval_us);
    }
    return g_string_free(text, FALSE);
}

ConConfig *
Rig_LoadConfig(Rig *rig)
{
    char *digest = Con_GetDigest(RIG_KEY, strlen(RIG_KEY));
    char *upstreams = format_upstreams(rig);
    char *text = g_strdup_printf(
        "{\"models\":[{\"name\":\"" RIG_MODEL
        "\",\"kv_bytes_per_token\":100000}],"
        "\"upstreams\":[%s{\"id\":\"booking-1\",\"address\":\"10.0.1.1:1\","
        "\"serves\":\"" RIG_SERVICE
        "\",\"zone\":\"z\",\"region\":\"region-0\",\"role\":\"service\"}],"
        "\"customers\":[{\"id\":\"zupan\",\"key_sha256\":[\"%s\"],"
        "\"priority\":1,\"requests_per_s\":100000,\"tokens_per_s\":1e9,"
        "\"concurrency\":100000,\"cross_region_tokens_per_s\":%g,"
        "\"regions\":[\"region-0\",\"region-1\",\"region-2\"],\"models\":["
        "\"" RIG_MODEL "\"],\"first_token_ms\":1300,\"per_token_ms\":36,"
        "\"wasted_prefill_weight\":1,\"routes\":[{\"service\":\"" RIG_SERVICE
        "\",\"path\":\"" RIG_PATH "\",\"idempotent\":false}]}]}",
        upstreams, digest, rig->options.cross_region_tokens_per_s);
    char *part_digest = Con_GetDigest(text, strlen(text));
    char *manifest = g_strdup_printf(
        "{\"version\":%lu,\"parts\":[{\"name\":\"all\",\"sha256\":\"%s\"}]}",
        (unsigned long)rig->config_version, part_digest);
    GPtrArray *parts =
        g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);
    ConConfig *config;
    LsError err;

    g_ptr_array_add(parts, Con_NewPart("all", text, strlen(text)));
    config = Con_LoadConfig(manifest, strlen(manifest), parts, &err);
    g_assert(config != NULL);
    g_ptr_array_unref(parts);
    g_free(manifest);
    g_free(part_digest);
    g_free(text);
    g_free(upstreams);
    g_free(digest);
    return config;
}
