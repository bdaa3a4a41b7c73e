/* Access: check of a request's key. See access.h. */
#include "access.h"

#include "../log.h"

/* Accounts that are counted by name; further ones are counted together, so
   that the metrics stay small. */
#define ACCESS_COUNTS_MAX 64
#define ACCESS_OTHERS "(others)"

/* Requests of an account. */
typedef struct AccessCount {
    uint64_t requests;
} AccessCount;

static LsResult find_account(Gate *gate, const RteRoute *route,
                             const GateRequest *request,
                             const Account **account, LsError *err);
static LsResult reject_without_lease(Gate *gate, const RteRoute *route,
                                     const GateRequest *request, LsError *err);
static void count_request(Gate *gate, const char *account);
static void append_label(GString *text, const char *label);
static void remove_fields(const GateCodec *codec, HeaderList *headers);

void
Access_Init(Gate *gate)
{
    KeyLease_Init(&gate->key_lease, gate->options.revoke_us);
    gate->account_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
Access_Clear(Gate *gate)
{
    g_hash_table_destroy(gate->account_counts);
}

int64_t
Access_Now(const Gate *gate)
{
    return Clk_Now(gate->options.clk) + Clk_GetSuspended(gate->options.clk);
}

bool
Access_NeedsLease(const Gate *gate)
{
    return gate->options.revoke_us > 0 && gate->table != NULL &&
           gate->table->accounts != NULL;
}

void
Access_NoteEra(Gate *gate, uint64_t era)
{
    KeyLease_NoteEra(&gate->key_lease, era);
    Access_LogLease(gate, "era");
}

void
Access_NoteProof(Gate *gate, uint64_t era, int64_t at_us, const char *source)
{
    KeyLease_AddProof(&gate->key_lease, era, at_us);
    Access_LogLease(gate, source);
}

void
Access_LogLease(Gate *gate, const char *source)
{
    const KeyLease *lease = &gate->key_lease;
    int64_t now_us = Access_Now(gate);
    bool is_valid = KeyLease_IsValid(lease, now_us);

    if (!Access_NeedsLease(gate) || is_valid == gate->has_key_lease) {
        return;
    }
    gate->has_key_lease = is_valid;
    Log_WriteJson(
        LOG_LEVEL_NOTICE, is_valid ? "key_lease_begun" : "key_lease_ended",
        json_pack("{s:s,s:I,s:I,s:I,s:I}", "source", source, "proof_age_us",
                  (json_int_t)KeyLease_GetAge(lease, now_us), "bound_us",
                  (json_int_t)lease->bound_us, "era", (json_int_t)lease->era,
                  "config", (json_int_t)gate->table->version));
}

char *
Access_FormatMetrics(const Gate *gate)
{
    char *counters = Met_FormatText();
    GString *text = g_string_new(counters);
    const KeyLease *lease = &gate->key_lease;
    int64_t now_us = Access_Now(gate);
    int64_t age_us = KeyLease_GetAge(lease, now_us);
    GHashTableIter iter;
    gpointer name;
    gpointer count;

    g_free(counters);
    if (Access_NeedsLease(gate)) {
        g_string_append_printf(
            text,
            "# HELP lavenderspool_key_lease Whether keys are accepted.\n"
            "# TYPE lavenderspool_key_lease gauge\n"
            "lavenderspool_key_lease %d\n",
            (int)KeyLease_IsValid(lease, now_us));
    }
    if (Access_NeedsLease(gate) && age_us != KEY_LEASE_NO_PROOF) {
        g_string_append_printf(
            text,
            "# HELP lavenderspool_key_proof_age_seconds Time since the "
            "configuration was last known to be the newest.\n"
            "# TYPE lavenderspool_key_proof_age_seconds gauge\n"
            "lavenderspool_key_proof_age_seconds %.3f\n",
            (double)age_us / CLK_US_PER_S);
    }
    if (g_hash_table_size(gate->account_counts) > 0) {
        g_string_append(text,
                        "# HELP lavenderspool_account_requests_total Requests "
                        "with a key of the account.\n"
                        "# TYPE lavenderspool_account_requests_total "
                        "counter\n");
    }
    g_hash_table_iter_init(&iter, gate->account_counts);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        g_string_append(text,
                        "lavenderspool_account_requests_total{account=\"");
        append_label(text, name);
        g_string_append_printf(text, "\"} %" G_GUINT64_FORMAT "\n",
                               ((const AccessCount *)count)->requests);
    }
    return g_string_free(text, FALSE);
}

LsResult
Access_Check(Gate *gate, const RteRoute *route, bool is_relayed,
             ServerExchange *exchange, GateRequest *request,
             const Account **account, LsError *err)
{
    const AccTable *accounts = gate->table->accounts;
    LsResult result = LS_OK;

    *account = NULL;
    if (accounts == NULL) {
        /* Both fields are forwarded like any other. */
        g_clear_pointer(&request->account, g_free);
        g_clear_pointer(&request->key, g_free);
        return LS_OK;
    }
    if (route->is_public) {
        g_clear_pointer(&request->account, g_free);
    }
    else if (is_relayed) {
        /* The name is forwarded even if this VM's configuration does not have
           the account yet, or any more. */
        if (request->account != NULL) {
            *account = Acc_FindByName(accounts, request->account);
        }
    }
    else {
        result = find_account(gate, route, request, account, err);
        g_free(request->account);
        request->account =
            *account != NULL ? g_strdup((*account)->name) : NULL;
    }
    g_clear_pointer(&request->key, g_free);
    remove_fields(gate->options.codec, request->forward);
    remove_fields(gate->options.codec, exchange->headers);
    return result;
}

uint32_t
Access_GetPriority(const RteRoute *route, const Account *account)
{
    return account != NULL && account->priority != ACC_PRIORITY_NONE
               ? account->priority
               : route->priority;
}

static LsResult
find_account(Gate *gate, const RteRoute *route, const GateRequest *request,
             const Account **account, LsError *err)
{
    if (request->is_key_bad) {
        Met_Add(MET_KEYS_UNREADABLE, 1);
        return Err_Set(err, LS_ERR_NO_KEY, LS_RUN_NOT_RUN,
                       "the key can't be read");
    }
    if (request->key == NULL) {
        Met_Add(MET_KEYS_MISSING, 1);
        return Err_Set(err, LS_ERR_NO_KEY, LS_RUN_NOT_RUN,
                       "the request has no key");
    }
    if (Access_NeedsLease(gate) &&
        !KeyLease_IsValid(&gate->key_lease, Access_Now(gate))) {
        return reject_without_lease(gate, route, request, err);
    }
    *account = Acc_FindByKey(gate->table->accounts, request->key);
    if (*account == NULL) {
        Met_Add(MET_KEYS_UNKNOWN, 1);
        return Err_Set(err, LS_ERR_UNKNOWN_CUSTOMER, LS_RUN_NOT_RUN,
                       "no account holds the key");
    }
    count_request(gate, (*account)->name);
    return LS_OK;
}

/* Without a lease no key is valid, nor is one known to be invalid. */
static LsResult
reject_without_lease(Gate *gate, const RteRoute *route,
                     const GateRequest *request, LsError *err)
{
    const KeyLease *lease = &gate->key_lease;
    int64_t left_ms =
        request->left_ms > 0 ? request->left_ms : (int64_t)route->timeout_ms;

    Met_Add(MET_KEYS_UNPROVEN, 1);
    Access_LogLease(gate, "none");
    Log_WriteJson(
        LOG_LEVEL_INFO, "key_unproven",
        json_pack("{s:s,s:s,s:I,s:I,s:I,s:I}", "request", request->id, "route",
                  route->name, "proof_age_us",
                  (json_int_t)KeyLease_GetAge(lease, Access_Now(gate)),
                  "bound_us", (json_int_t)lease->bound_us, "era",
                  (json_int_t)lease->era, "config",
                  (json_int_t)gate->table->version));
    Err_Set(err, LS_ERR_NO_LEASE, LS_RUN_NOT_RUN,
            "this VM has no recent proof of which keys are valid");
    err->retry_after_ms = Admission_GetRetryAfter(ADMISSION_NO_LEASE, left_ms,
                                                  0, g_rand_int(gate->rand));
    return err->code;
}

static void
count_request(Gate *gate, const char *account)
{
    AccessCount *count = g_hash_table_lookup(gate->account_counts, account);

    if (count == NULL &&
        g_hash_table_size(gate->account_counts) >= ACCESS_COUNTS_MAX) {
        account = ACCESS_OTHERS;
        count = g_hash_table_lookup(gate->account_counts, account);
    }
    if (count == NULL) {
        count = g_new0(AccessCount, 1);
        g_hash_table_insert(gate->account_counts, g_strdup(account), count);
    }
    count->requests++;
}

/* Appends the value of a label, in which quotes and backslashes are escaped.
 */
static void
append_label(GString *text, const char *label)
{
    for (const char *at = label; *at != '\0'; at++) {
        if (*at == '"' || *at == '\\') {
            g_string_append_c(text, '\\');
        }
        g_string_append_c(text, *at);
    }
}

static void
remove_fields(const GateCodec *codec, HeaderList *headers)
{
    Header_Remove(headers, codec->key_name);
    Header_Remove(headers, codec->account_name);
}
