/* fake_booking: fake of the booking services booking-app and pitchdesk.

   --port N [--seconds N]

   POST /PATH    runs the operation and counts the run for its
                 Idempotency-Key, without deduplication
   GET /PATH     answers a look-up
   GET /counts   returns the number of runs of each key
   POST /switch  {"delay_ms": N, "drop": bool} delays each response, or runs
                 the operation without a response for BOOKING_DROP_MS */
#include "fake.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

#define BOOKING_DROP_MS 60000

typedef struct Booking {
    pthread_mutex_t lock;
    GHashTable *runs; /* Idempotency key to number of runs. */
    long delay_ms;
    bool drop;
} Booking;

static int
handle_run(const struct _u_request *request, struct _u_response *response,
           void *context)
{
    Booking *booking = context;
    const char *key = u_map_get_case(request->map_header, "Idempotency-Key");
    guint count;
    long delay_ms;

    pthread_mutex_lock(&booking->lock);
    count = GPOINTER_TO_UINT(
                g_hash_table_lookup(booking->runs, key != NULL ? key : "")) +
            1;
    g_hash_table_insert(booking->runs, g_strdup(key != NULL ? key : ""),
                        GUINT_TO_POINTER(count));
    delay_ms = booking->drop ? BOOKING_DROP_MS : booking->delay_ms;
    pthread_mutex_unlock(&booking->lock);
    g_usleep((gulong)delay_ms * 1000);
    return Fake_Answer(response, 200,
                       json_pack("{s:s, s:i}", "booking",
                                 key != NULL ? key : "", "run", (int)count));
}

static int
handle_lookup(const struct _u_request *request, struct _u_response *response,
              void *context)
{
    (void)context;
    return Fake_Answer(response, 200,
                       json_pack("{s:s, s:s?, s:b}", "path", request->url_path,
                                 "query", u_map_get(request->map_url, "lens"),
                                 "available", 1));
}

static int
handle_counts(const struct _u_request *request, struct _u_response *response,
              void *context)
{
    Booking *booking = context;
    json_t *counts = json_object();
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    (void)request;
    pthread_mutex_lock(&booking->lock);
    g_hash_table_iter_init(&iter, booking->runs);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        json_object_set_new(counts, key,
                            json_integer(GPOINTER_TO_UINT(value)));
    }
    pthread_mutex_unlock(&booking->lock);
    return Fake_Answer(response, 200, counts);
}

static int
handle_switch(const struct _u_request *request, struct _u_response *response,
              void *context)
{
    Booking *booking = context;
    json_t *body = Fake_LoadBody(request);

    pthread_mutex_lock(&booking->lock);
    booking->delay_ms =
        (long)json_integer_value(json_object_get(body, "delay_ms"));
    booking->drop = json_is_true(json_object_get(body, "drop"));
    pthread_mutex_unlock(&booking->lock);
    json_decref(body);
    return Fake_Answer(response, 200, json_object());
}

int
main(int argc, char **argv)
{
    Booking booking = {0};
    struct _u_instance instance;
    long port = Fake_GetNumber(argc, argv, "port", 0);

    booking.runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    pthread_mutex_init(&booking.lock, NULL);
    ulfius_init_instance(&instance, (unsigned int)port, NULL, NULL);
    ulfius_add_endpoint_by_val(&instance, "POST", "/switch", NULL, 0,
                               handle_switch, &booking);
    ulfius_add_endpoint_by_val(&instance, "GET", "/counts", NULL, 0,
                               handle_counts, &booking);
    ulfius_add_endpoint_by_val(&instance, "POST", "/*", NULL, 1, handle_run,
                               &booking);
    ulfius_add_endpoint_by_val(&instance, "GET", "/*", NULL, 1, handle_lookup,
                               &booking);
    Fake_StartServer(&instance, (uint16_t)port);
    Fake_WaitForStop((int)Fake_GetNumber(argc, argv, "seconds", 600));
    _Exit(0);
}
