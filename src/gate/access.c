/* Access: check of a request's key. See access.h. */
#include "access.h"

static LsResult find_account(const AccTable *accounts,
                             const GateRequest *request,
                             const Account **account, LsError *err);
static void remove_fields(const GateCodec *codec, HeaderList *headers);

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
        result = find_account(accounts, request, account, err);
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
find_account(const AccTable *accounts, const GateRequest *request,
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
    *account = Acc_FindByKey(accounts, request->key);
    if (*account == NULL) {
        Met_Add(MET_KEYS_UNKNOWN, 1);
        return Err_Set(err, LS_ERR_UNKNOWN_CUSTOMER, LS_RUN_NOT_RUN,
                       "no account holds the key");
    }
    return LS_OK;
}

static void
remove_fields(const GateCodec *codec, HeaderList *headers)
{
    Header_Remove(headers, codec->key_name);
    Header_Remove(headers, codec->account_name);
}
