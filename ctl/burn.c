#include "burn.h"

#include "slo.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

static json_t *
get_or_add_object(json_t *parent, const char *key)
{
    json_t *child = json_object_get(parent, key);

    if (child == NULL) {
        child = json_object();
        json_object_set_new(parent, key, child);
    }
    return child;
}

static json_int_t
get_count(const json_t *pair, size_t index)
{
    return json_integer_value(json_array_get(pair, index));
}

/* Adds the counts of each window; a window's value is [total, bad]. */
static void
merge_windows(json_t *merged, const json_t *windows)
{
    const char *window;
    json_t *pair;

    json_object_foreach((json_t *)windows, window, pair)
    {
        const json_t *present = json_object_get(merged, window);
        json_object_set_new(
            merged, window,
            json_pack("[I, I]", get_count(present, 0) + get_count(pair, 0),
                      get_count(present, 1) + get_count(pair, 1)));
    }
}

void
Burn_Merge(json_t *merged, const json_t *counts)
{
    const char *customer;
    const char *target;
    json_t *targets;
    json_t *windows;

    json_object_foreach((json_t *)counts, customer, targets)
    {
        json_object_foreach(targets, target, windows)
        {
            merge_windows(
                get_or_add_object(get_or_add_object(merged, customer), target),
                windows);
        }
    }
}

/* Creates a row of the report; `pair` is [total, bad]. */
static json_t *
make_row(const char *customer, const char *target, const char *window,
         const json_t *pair)
{
    double total = (double)get_count(pair, 0);
    double bad = (double)get_count(pair, 1);
    double budget = total * (1 - SLO_OBJECTIVE);
    double burn = total > 0 ? bad / budget : 0;

    return json_pack("{s:s, s:s, s:i, s:I, s:I, s:f, s:f}", "customer",
                     customer, "target", target, "window_s", atoi(window),
                     "total", get_count(pair, 0), "bad", get_count(pair, 1),
                     "burn_rate", burn, "budget_left", 1 - burn);
}

static double
get_burn_rate(const json_t *row)
{
    return json_real_value(json_object_get(row, "burn_rate"));
}

static int
compare_rows(const void *a, const void *b)
{
    double left = get_burn_rate(*(json_t *const *)a);
    double right = get_burn_rate(*(json_t *const *)b);
    return left > right ? -1 : left < right;
}

json_t *
Burn_ListRows(const json_t *merged)
{
    json_t *rows = json_array();
    json_t *sorted = json_array();
    const char *customer;
    const char *target;
    const char *window;
    json_t *targets;
    json_t *windows;
    json_t *pair;
    GPtrArray *row_pointers;
    json_t *row;
    size_t i;

    json_object_foreach((json_t *)merged, customer, targets)
    {
        json_object_foreach(targets, target, windows)
        {
            json_object_foreach(windows, window, pair)
            {
                json_array_append_new(
                    rows, make_row(customer, target, window, pair));
            }
        }
    }
    row_pointers = g_ptr_array_new();
    json_array_foreach(rows, i, row)
    {
        g_ptr_array_add(row_pointers, row);
    }
    g_ptr_array_sort(row_pointers, compare_rows);
    for (guint k = 0; k < row_pointers->len; k++) {
        json_array_append(sorted, row_pointers->pdata[k]);
    }
    g_ptr_array_unref(row_pointers);
    json_decref(rows);
    return sorted;
}

bool
Burn_IsAlert(const json_t *rows)
{
    return get_burn_rate(json_array_get(rows, 0)) > BURN_RATE_ALERT;
}

void
Burn_PrintRows(const json_t *rows)
{
    size_t i;
    const json_t *row;

    printf("%-24s %-12s %8s %9s %9s %9s %12s\n", "customer", "target",
           "window_s", "total", "bad", "burn", "budget_left");
    json_array_foreach(rows, i, row)
    {
        printf("%-24s %-12s %8d %9d %9d %9.2f %11.0f%%\n",
               json_string_value(json_object_get(row, "customer")),
               json_string_value(json_object_get(row, "target")),
               (int)json_integer_value(json_object_get(row, "window_s")),
               (int)json_integer_value(json_object_get(row, "total")),
               (int)json_integer_value(json_object_get(row, "bad")),
               get_burn_rate(row),
               100 * json_real_value(json_object_get(row, "budget_left")));
    }
}
