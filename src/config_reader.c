#include "config_reader.h"

#include "log.h"
#include "membership.h"

#include <stdio.h>
#include <string.h>

#define CFG_PATH_MAX 256
#define CFG_OPTION_MAX 64 /* Bytes of an option, including the NUL. */

typedef enum CfgStage {
    CFG_STAGE_IDLE,
    CFG_STAGE_WATCHING,      /* A blocking read of the manifest is open. */
    CFG_STAGE_READING_PARTS, /* The parts are being read one by one. */
} CfgStage;

struct Cfg {
    char service_address[CFG_OPTION_MAX];
    char list_address[CFG_OPTION_MAX];
    char prefix[CFG_OPTION_MAX];
    CfgStage stage;
    Board *board;
    uint64_t call;
    int64_t call_deadline_us;
    int64_t next_watch_us;
    uint64_t index; /* ModifyIndex of the last read; 0: don't block. */
    /* A version that was found invalid. Its parts are not read again. */
    uint64_t refused_version;
    char *manifest_text;  /* Manifest whose parts are being read. */
    ConManifest *pending; /* The same manifest, parsed. */
    GPtrArray *parts;     /* ConPart *: parts read so far */
    uint64_t list_call;
    int64_t next_list_us;
    int64_t list_vm_count; /* VMs in the last list. */
    int64_t next_peer_request_us;
    char last_error[ERR_MESSAGE_MAX];
};

static void begin_watch(Cfg *cfg, Board *board);
static void handle_watch(Board *board, void *owner,
                         const BoardCallEvent *event);
static void read_next_part(Cfg *cfg, Board *board);
static void handle_part(Board *board, void *owner,
                        const BoardCallEvent *event);
static void apply_config(Cfg *cfg, Board *board, const char *manifest,
                         size_t size, const GPtrArray *parts,
                         const char *source);
static void end_watch(Cfg *cfg, Board *board, int64_t delay_us);
static void read_list(Cfg *cfg, Board *board);
static void handle_list(Board *board, void *owner,
                        const BoardCallEvent *event);
static void request_from_peer(Cfg *cfg, Board *board);
static void send_snapshot(Board *board, const char *vm,
                          const Wire__ConfigRequest *request);

CfgOptions
Cfg_DefaultOptions(void)
{
    CfgOptions options = {0};
    options.prefix = "lavenderspool";
    return options;
}

static void
copy_optional(char *target, size_t size, const char *value)
{
    g_strlcpy(target, value != NULL ? value : "", size);
}

Cfg *
Cfg_New(const CfgOptions *options)
{
    Cfg *cfg = g_new0(Cfg, 1);

    copy_optional(cfg->service_address, sizeof(cfg->service_address),
                  options->service_address);
    copy_optional(cfg->list_address, sizeof(cfg->list_address),
                  options->list_address);
    copy_optional(cfg->prefix, sizeof(cfg->prefix), options->prefix);
    return cfg;
}

void
Cfg_Free(Cfg *cfg)
{
    Con_UnloadManifest(cfg->pending);
    g_free(cfg->manifest_text);
    if (cfg->parts != NULL) {
        g_ptr_array_unref(cfg->parts);
    }
    g_free(cfg);
}

void
Cfg_OnTick(Cfg *cfg, Board *board)
{
    int64_t now = Board_Now(board);

    if (cfg->stage != CFG_STAGE_IDLE && now > cfg->call_deadline_us) {
        Board_EndCall(board, cfg->call);
        end_watch(cfg, board, CFG_RETRY_DELAY_US);
    }
    if (cfg->stage == CFG_STAGE_IDLE && now >= cfg->next_watch_us &&
        cfg->service_address[0] != '\0') {
        begin_watch(cfg, board);
    }
    if (now >= cfg->next_list_us && cfg->list_address[0] != '\0') {
        read_list(cfg, board);
    }
    if (now >= cfg->next_peer_request_us) {
        cfg->next_peer_request_us = now + CFG_PEER_REQUEST_INTERVAL_US;
        request_from_peer(cfg, board);
    }
}

static void
apply_snapshot(Cfg *cfg, Board *board, const char *vm,
               const Wire__ConfigSnapshot *snapshot)
{
    GPtrArray *parts =
        g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);

    for (size_t i = 0; i < snapshot->n_part; i++) {
        const Wire__ConfigPart *part = snapshot->part[i];
        g_ptr_array_add(parts,
                        Con_NewPart(part->name, (const char *)part->value.data,
                                    part->value.len));
    }
    apply_config(cfg, board, (const char *)snapshot->manifest.data,
                 snapshot->manifest.len, parts, vm);
    g_ptr_array_unref(parts);
}

void
Cfg_OnFrame(Cfg *cfg, Board *board, const char *vm, const Wire__Frame *frame)
{
    if (frame->body_case == WIRE__FRAME__BODY_CONFIG_REQUEST) {
        send_snapshot(board, vm, frame->config_request);
    }
    else if (frame->body_case == WIRE__FRAME__BODY_CONFIG_SNAPSHOT) {
        apply_snapshot(cfg, board, vm, frame->config_snapshot);
    }
    else if (frame->body_case == WIRE__FRAME__BODY_HEARTBEAT) {
        request_from_peer(cfg, board);
    }
}

const char *
Cfg_GetLastError(const Cfg *cfg)
{
    return cfg->last_error;
}

static uint64_t
get_active_version(const Board *board)
{
    return board->config != NULL ? board->config->version : 0;
}

static uint64_t
begin_read(Cfg *cfg, Board *board, const char *address, const char *path,
           BoardCallHandler handler)
{
    BoardCall call = {0};

    call.method = "GET";
    call.address = address;
    call.path = path;
    Met_Add(MET_CONFIG_READS, 1);
    return Board_BeginCall(board, &call, handler, cfg);
}

static void
begin_watch(Cfg *cfg, Board *board)
{
    char path[CFG_PATH_MAX];

    g_snprintf(path, sizeof(path),
               "/v1/kv/%s/manifest?index=%" G_GUINT64_FORMAT "&wait=%ds",
               cfg->prefix, cfg->index, CFG_WATCH_WAIT_S);
    cfg->stage = CFG_STAGE_WATCHING;
    cfg->call_deadline_us = Board_Now(board) + CFG_WATCH_TIMEOUT_US;
    cfg->call =
        begin_read(cfg, board, cfg->service_address, path, handle_watch);
}

/* Ends the current read and schedules the next watch after 0.5 to 1.5 times
   the delay, so that the VMs do not read the service at the same moment. */
static void
end_watch(Cfg *cfg, Board *board, int64_t delay_us)
{
    cfg->stage = CFG_STAGE_IDLE;
    cfg->next_watch_us =
        Board_Now(board) +
        (int64_t)((0.5 + g_rand_double(board->rand)) * (double)delay_us);
    Con_UnloadManifest(cfg->pending);
    cfg->pending = NULL;
    g_clear_pointer(&cfg->manifest_text, g_free);
    g_clear_pointer(&cfg->parts, g_ptr_array_unref);
}

/* Extracts the value and the ModifyIndex of a KV answer. Returns NULL when the
   call failed; otherwise g_free the result. */
static char *
parse_value(const BoardCallEvent *event, uint64_t *index, gsize *size)
{
    json_t *root = event->type == BOARD_CALL_END && event->status == 200
                       ? json_loadb(event->data, event->size, 0, NULL)
                       : NULL;
    const json_t *row = json_array_get(root, 0);
    const char *encoded = json_string_value(json_object_get(row, "Value"));
    char *value = NULL;

    *index = (uint64_t)json_integer_value(json_object_get(row, "ModifyIndex"));
    if (encoded != NULL) {
        value = (char *)g_base64_decode(encoded, size);
    }
    json_decref(root);
    return value;
}

static void
set_error(Cfg *cfg, const LsError *err, const char *source)
{
    char code[16];

    g_strlcpy(cfg->last_error, err->message, sizeof(cfg->last_error));
    g_snprintf(code, sizeof(code), "%d", err->code);
    Met_Add(MET_CONFIG_REFUSED, 1);
    Log_Write(LOG_LEVEL_ERROR, "config_refused", "source", source, "code",
              code, "reason", err->message, NULL);
}

static void
handle_watch(Board *board, void *owner, const BoardCallEvent *event)
{
    Cfg *cfg = owner;
    uint64_t index = 0;
    gsize size = 0;
    char *value;
    LsError err;

    if (event->type == BOARD_CALL_DATA) {
        return;
    }
    value = parse_value(event, &index, &size);
    if (value == NULL) {
        cfg->index = 0;
        end_watch(cfg, board, CFG_RETRY_DELAY_US);
        return;
    }
    Mem_SetViewFresh(board);
    /* A lower index means that the service was restarted or is stale. */
    cfg->index = index >= cfg->index ? index : 0;
    cfg->pending = Con_LoadManifest(value, size, &err);
    if (cfg->pending == NULL) {
        set_error(cfg, &err, cfg->service_address);
        g_free(value);
        end_watch(cfg, board, CFG_RETRY_DELAY_US);
        return;
    }
    if (cfg->pending->version <= get_active_version(board) ||
        cfg->pending->version == cfg->refused_version) {
        g_free(value);
        end_watch(cfg, board, cfg->index == 0 ? CFG_RETRY_DELAY_US : 0);
        return;
    }
    cfg->manifest_text = g_strndup(value, size);
    g_free(value);
    cfg->parts = g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);
    read_next_part(cfg, board);
}

/* Returns the part of the active configuration with this name and digest, or
   NULL. Such a part need not be read again. */
static const ConPart *
find_active_part(const Board *board, const char *name, const char *digest)
{
    for (guint i = 0; board->config != NULL && i < board->config->parts->len;
         i++) {
        const ConPart *part = board->config->parts->pdata[i];
        char *present;
        bool same;
        if (strcmp(part->name, name) != 0) {
            continue;
        }
        present = Con_GetDigest(part->value, part->size);
        same = g_ascii_strcasecmp(present, digest) == 0;
        g_free(present);
        return same ? part : NULL;
    }
    return NULL;
}

static void
read_next_part(Cfg *cfg, Board *board)
{
    char path[CFG_PATH_MAX];

    while (cfg->parts->len < cfg->pending->names->len) {
        const char *name = cfg->pending->names->pdata[cfg->parts->len];
        const ConPart *part = find_active_part(
            board, name, cfg->pending->digests->pdata[cfg->parts->len]);
        if (part == NULL) {
            g_snprintf(path, sizeof(path), "/v1/kv/%s/parts/%s", cfg->prefix,
                       name);
            cfg->stage = CFG_STAGE_READING_PARTS;
            cfg->call_deadline_us = Board_Now(board) + CFG_PART_TIMEOUT_US;
            cfg->call = begin_read(cfg, board, cfg->service_address, path,
                                   handle_part);
            return;
        }
        g_ptr_array_add(cfg->parts,
                        Con_NewPart(part->name, part->value, part->size));
    }
    apply_config(cfg, board, cfg->manifest_text, strlen(cfg->manifest_text),
                 cfg->parts, cfg->service_address);
    end_watch(cfg, board, 0);
}

static void
handle_part(Board *board, void *owner, const BoardCallEvent *event)
{
    Cfg *cfg = owner;
    uint64_t index;
    gsize size = 0;
    char *value;

    if (event->type == BOARD_CALL_DATA) {
        return;
    }
    value = parse_value(event, &index, &size);
    if (value == NULL) {
        cfg->index = 0;
        end_watch(cfg, board, CFG_RETRY_DELAY_US);
        return;
    }
    g_ptr_array_add(
        cfg->parts,
        Con_NewPart(cfg->pending->names->pdata[cfg->parts->len], value, size));
    g_free(value);
    read_next_part(cfg, board);
}

/* Activates a configuration if it is complete, valid and newer. */
static void
apply_config(Cfg *cfg, Board *board, const char *manifest, size_t size,
             const GPtrArray *parts, const char *source)
{
    LsError err;
    ConConfig *config = Con_LoadConfig(manifest, size, parts, &err);
    char version[24];

    if (config == NULL) {
        /* A digest mismatch can mean that a part was published after its
           manifest was read. The next read then finds both, so the version
           isn't marked as refused and the next read doesn't block. */
        if (err.code != LS_ERR_CONFIG_DIGEST && cfg->pending != NULL) {
            cfg->refused_version = cfg->pending->version;
        }
        else {
            cfg->index = 0;
        }
        set_error(cfg, &err, source);
        return;
    }
    g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
               config->version);
    if (Board_SetConfig(board, config, &err) != LS_OK) {
        Con_UnloadConfig(config);
        return;
    }
    cfg->last_error[0] = '\0';
    Log_Write(LOG_LEVEL_INFO, "config_accepted", "version", version, "source",
              source, NULL);
    Mem_Announce(board);
}

static void
read_list(Cfg *cfg, Board *board)
{
    int64_t interval_us =
        MAX(CFG_LIST_INTERVAL_US,
            cfg->list_vm_count * CFG_LIST_INTERVAL_PER_VM_US);

    cfg->next_list_us =
        Board_Now(board) + (int64_t)((0.75 + g_rand_double(board->rand) / 2) *
                                     (double)interval_us);
    if (cfg->list_call != 0) {
        Board_EndCall(board, cfg->list_call);
    }
    cfg->list_call =
        begin_read(cfg, board, cfg->list_address, "/v1/vms", handle_list);
}

static void
copy_field(char *target, size_t size, const json_t *row, const char *name)
{
    copy_optional(target, size, json_string_value(json_object_get(row, name)));
}

static void
handle_list(Board *board, void *owner, const BoardCallEvent *event)
{
    Cfg *cfg = owner;
    json_t *root;
    GArray *rows;
    size_t i;
    const json_t *item;

    if (event->type == BOARD_CALL_DATA) {
        return;
    }
    cfg->list_call = 0;
    if (event->type != BOARD_CALL_END || event->status != 200) {
        return;
    }
    root = json_loadb(event->data, event->size, 0, NULL);
    if (!json_is_array(root)) {
        json_decref(root);
        return;
    }
    rows = g_array_new(FALSE, TRUE, sizeof(MemListRow));
    json_array_foreach(root, i, item)
    {
        MemListRow row = {0};
        copy_field(row.vm, sizeof(row.vm), item, "id");
        copy_field(row.address, sizeof(row.address), item, "address");
        copy_field(row.zone, sizeof(row.zone), item, "zone");
        copy_field(row.region, sizeof(row.region), item, "region");
        row.leaving =
            g_strcmp0(json_string_value(json_object_get(item, "state")),
                      "leaving") == 0;
        if (row.vm[0] != '\0') {
            g_array_append_val(rows, row);
        }
    }
    cfg->list_vm_count = rows->len;
    Mem_SetVmList(board, rows);
    g_array_unref(rows);
    json_decref(root);
}

/* Requests a newer configuration from a peer that announced one. */
static void
request_from_peer(Cfg *cfg, Board *board)
{
    const char *vm = Mem_FindNewerConfig(board, get_active_version(board));
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__ConfigRequest request = WIRE__CONFIG_REQUEST__INIT;

    if (vm == NULL || cfg->stage == CFG_STAGE_READING_PARTS) {
        return;
    }
    cfg->next_peer_request_us =
        Board_Now(board) + CFG_PEER_REQUEST_INTERVAL_US;
    request.have_version = get_active_version(board);
    frame.body_case = WIRE__FRAME__BODY_CONFIG_REQUEST;
    frame.config_request = &request;
    Board_SendFrame(board, vm, &frame);
}

static void
send_snapshot(Board *board, const char *vm, const Wire__ConfigRequest *request)
{
    const ConConfig *config = board->config;
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__ConfigSnapshot snapshot = WIRE__CONFIG_SNAPSHOT__INIT;
    Wire__ConfigPart *parts;
    Wire__ConfigPart **pointers;

    if (config == NULL || config->version <= request->have_version) {
        return;
    }
    parts = g_new(Wire__ConfigPart, config->parts->len + 1);
    pointers = g_new(Wire__ConfigPart *, config->parts->len + 1);
    for (guint i = 0; i < config->parts->len; i++) {
        const ConPart *part = config->parts->pdata[i];
        wire__config_part__init(&parts[i]);
        parts[i].name = part->name;
        parts[i].value.data = (uint8_t *)part->value;
        parts[i].value.len = part->size;
        pointers[i] = &parts[i];
    }
    snapshot.version = config->version;
    snapshot.manifest.data = (uint8_t *)config->manifest;
    snapshot.manifest.len = strlen(config->manifest);
    snapshot.n_part = config->parts->len;
    snapshot.part = pointers;
    frame.body_case = WIRE__FRAME__BODY_CONFIG_SNAPSHOT;
    frame.config_snapshot = &snapshot;
    Board_SendFrame(board, vm, &frame);
    g_free(parts);
    g_free(pointers);
}
