/* Rig: checks the invariants that must always hold. */
#include "rig_state.h"

#include <string.h>

static bool
set_violation(Rig *rig, const RigCaller *caller, const char *what)
{
    g_snprintf(rig->violation, sizeof(rig->violation),
               "caller %lu at vm-%d (%s): %s", (unsigned long)caller->number,
               caller->vm, caller->key != NULL ? caller->key : caller->request,
               what);
    return false;
}

/* Checks that the received text is a prefix of the expected completion, and
   all of it if the completion has ended. */
static bool
check_text(Rig *rig, const RigCaller *caller)
{
    GString *expected = g_string_new(NULL);
    bool ended = caller->final_answers > 0 && caller->type == BOARD_ANSWER_END;
    bool ok;

    for (uint32_t i = 0; i < caller->max_tokens; i++) {
        RigUp_AppendToken(expected, RigUp_GetSeed(caller->prompt), i);
    }
    ok = ended ? strcmp(expected->str, caller->text->str) == 0
               : g_str_has_prefix(expected->str, caller->text->str);
    g_string_free(expected, TRUE);
    return ok || set_violation(rig, caller,
                               "the completion text is not the expected one");
}

static guint
count_callers_of_key(const Rig *rig, const char *key)
{
    guint count = 0;

    for (guint i = 0; i < rig->callers->len; i++) {
        const RigCaller *caller = rig->callers->pdata[i];
        count += g_strcmp0(caller->key, key) == 0 ? 1 : 0;
    }
    return count;
}

/* Checks that a request reported as "not run" did not run. An operation is
   checked only if no other caller used its key, because the runs of a key
   can't be assigned to one of several callers. */
static bool
check_not_run(Rig *rig, const RigCaller *caller)
{
    bool refused = caller->final_answers > 0 &&
                   caller->type == BOARD_ANSWER_ERROR &&
                   caller->err.run == LS_RUN_NOT_RUN;

    if (!refused) {
        return true;
    }
    if (caller->key != NULL && count_callers_of_key(rig, caller->key) == 1 &&
        Rig_CountRuns(rig, caller->key) > 0) {
        return set_violation(rig, caller,
                             "reported as \"not run\", but the operation ran");
    }
    if (caller->request[0] != '\0' &&
        g_hash_table_contains(rig->accepted_requests, caller->request)) {
        return set_violation(
            rig, caller, "reported as \"not run\", but an engine accepted it");
    }
    return true;
}

static bool
check_caller(Rig *rig, const RigCaller *caller, bool settled)
{
    if (caller->final_answers > 1) {
        return set_violation(rig, caller,
                             "received more than one final answer");
    }
    if (settled && caller->final_answers == 0 && !caller->is_disconnected &&
        !caller->lost) {
        return set_violation(rig, caller, "received no final answer");
    }
    if (caller->prompt != NULL && !check_text(rig, caller)) {
        return false;
    }
    return check_not_run(rig, caller);
}

const char *
Rig_FindViolation(Rig *rig, bool settled)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    for (guint i = 0; i < rig->callers->len; i++) {
        if (!check_caller(rig, rig->callers->pdata[i], settled)) {
            return rig->violation;
        }
    }
    g_hash_table_iter_init(&iter, rig->runs);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (GPOINTER_TO_UINT(value) > 1) {
            g_snprintf(rig->violation, sizeof(rig->violation),
                       "operation %s ran %u times", (const char *)key,
                       GPOINTER_TO_UINT(value));
            return rig->violation;
        }
    }
    if (settled && Rig_CountHeld(rig) > 0) {
        g_snprintf(rig->violation, sizeof(rig->violation),
                   "engines still hold %u requests in memory",
                   Rig_CountHeld(rig));
        return rig->violation;
    }
    return NULL;
}
