/* Engine orders: compares targets with reports and sends orders. */
#include "order.h"

#include "membership.h"

#include <string.h>

/* State of one engine's target at this home. */
typedef struct OrdItem {
    char loaded[CON_ID_MAX];   /* Model version in the last report, or "". */
    char ordered[CON_ID_MAX];  /* Last order of this home, or "". */
    char target[CON_ID_MAX];   /* Target of the configuration in force. */
    char previous[CON_ID_MAX]; /* Target before `target`, or "". */
    bool is_reported;          /* A report arrived since the last order. */
    bool is_fenced;            /* An order was refused: a newer one exists. */
    uint64_t version;          /* Configuration version of `target`. */
    int64_t home_since_us;     /* 0 while another VM is the home. */
    uint64_t call;             /* Order in progress, or 0. */
} OrdItem;

struct Ord {
    GHashTable *items; /* upstream to OrdItem */
    int64_t next_check_us;
};

static void check_engine(Board *board, const ConUpstream *upstream);
static void send_order(Board *board, const ConUpstream *upstream,
                       OrdItem *item);
static void handle_order(Board *board, void *owner,
                         const BoardCallEvent *event);

Ord *
Ord_New(void)
{
    Ord *ord = g_new0(Ord, 1);
    ord->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return ord;
}

void
Ord_Free(Ord *ord)
{
    g_hash_table_unref(ord->items);
    g_free(ord);
}

static OrdItem *
get_item(Ord *ord, const char *upstream)
{
    OrdItem *item = g_hash_table_lookup(ord->items, upstream);

    if (item == NULL) {
        item = g_new0(OrdItem, 1);
        g_hash_table_insert(ord->items, g_strdup(upstream), item);
    }
    return item;
}

void
Ord_OnReport(Board *board, const char *upstream, const char *loaded)
{
    OrdItem *item = get_item(board->ord, upstream);

    g_strlcpy(item->loaded, loaded, sizeof(item->loaded));
    item->is_reported = true;
}

void
Ord_OnTick(Board *board)
{
    int64_t now = Board_Now(board);

    if (board->config == NULL || board->stopping ||
        now < board->ord->next_check_us) {
        return;
    }
    board->ord->next_check_us = now + ORD_CHECK_US;
    for (guint i = 0; i < board->config->upstreams->len; i++) {
        const ConUpstream *upstream = board->config->upstreams->pdata[i];
        if (upstream->ordered_version[0] != '\0') {
            check_engine(board, upstream);
        }
    }
}

/* Updates the target when the configuration changes. */
static void
update_target(OrdItem *item, const ConUpstream *upstream, uint64_t version)
{
    if (item->version == version) {
        return;
    }
    item->version = version;
    item->is_fenced = false;
    if (strcmp(item->target, upstream->ordered_version) != 0) {
        g_strlcpy(item->previous, item->target, sizeof(item->previous));
        g_strlcpy(item->target, upstream->ordered_version,
                  sizeof(item->target));
    }
}

/* Whether another VM ordered an engine that ignores fencing numbers: the
   engine has loaded something that is neither this home's last order nor the
   previous target. A home that has neither can't tell: the result is false,
   and the home orders. */
static bool
is_ordered_by_other(const OrdItem *item)
{
    bool has_history = item->ordered[0] != '\0' || item->previous[0] != '\0';

    return has_history && item->loaded[0] != '\0' &&
           strcmp(item->loaded, item->ordered) != 0 &&
           strcmp(item->loaded, item->previous) != 0;
}

static void
check_engine(Board *board, const ConUpstream *upstream)
{
    OrdItem *item = get_item(board->ord, upstream->id);
    int64_t now = Board_Now(board);

    update_target(item, upstream, board->config->version);
    if (!Mem_IsHome(board, upstream->cell, upstream->region)) {
        item->home_since_us = 0;
        item->is_reported = false;
        return;
    }
    if (item->home_since_us == 0) {
        item->home_since_us = now;
    }
    if (!item->is_reported || item->call != 0 || item->is_fenced ||
        strcmp(item->loaded, item->target) == 0 || Mem_IsViewStale(board)) {
        return;
    }
    if (!upstream->checks_fencing &&
        (now - item->home_since_us < ORD_NEW_HOME_WAIT_US ||
         is_ordered_by_other(item))) {
        return;
    }
    send_order(board, upstream, item);
}

static void
send_order(Board *board, const ConUpstream *upstream, OrdItem *item)
{
    BoardCall call = {0};
    json_t *order = json_pack(
        "{s:I, s:s, s:s}", "fencing", (json_int_t)board->config->version,
        "load", item->target, "role", Con_GetRoleName(upstream->role));
    char *body = json_dumps(order, JSON_COMPACT);

    call.method = "POST";
    call.address = upstream->address;
    call.path = "/v1/orders";
    call.body = body;
    call.body_size = strlen(body);
    call.fresh = true;
    g_strlcpy(item->ordered, item->target, sizeof(item->ordered));
    Met_Add(MET_ORDERS_SENT, 1);
    item->call = Board_BeginCall(board, &call, handle_order, item);
    free(body);
    json_decref(order);
}

static void
handle_order(Board *board, void *owner, const BoardCallEvent *event)
{
    OrdItem *item = owner;

    (void)board;
    if (event->type == BOARD_CALL_DATA) {
        return;
    }
    item->call = 0;
    item->is_reported = false; /* The next report shows the result. */
    item->is_fenced = event->type == BOARD_CALL_END && event->status == 409;
}
