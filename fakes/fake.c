/* Fake: shared helpers of the fake services. */
#include "fake.h"

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FAKE_THREAD_STACK_BYTES (256 * 1024)
#define FAKE_CONNECTION_MEMORY_BYTES (64 * 1024)

void
Fake_StartServer(struct _u_instance *instance, uint16_t port)
{
    struct sockaddr_in *address = g_new0(struct sockaddr_in, 1);
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
        {MHD_OPTION_SOCK_ADDR, 0, address},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, FAKE_CONNECTION_MEMORY_BYTES,
         NULL},
        {MHD_OPTION_THREAD_STACK_SIZE, FAKE_THREAD_STACK_BYTES, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    address->sin_family = AF_INET;
    address->sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address->sin_addr);
    if (ulfius_start_framework_with_mhd_options(
            instance,
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
                MHD_USE_POLL,
            options) != U_OK) {
        fprintf(stderr, "can't listen on port %u\n", port);
        exit(1);
    }
}

void
Fake_WaitForStop(int seconds_max)
{
    sigset_t set;
    struct timespec limit = {seconds_max, 0};

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(SIG_BLOCK, &set, NULL);
    sigtimedwait(&set, NULL, &limit);
}

const char *
Fake_GetFlag(int argc, char **argv, const char *name, const char *fallback)
{
    for (int i = 1; i + 1 < argc; i++) {
        if (strncmp(argv[i], "--", 2) == 0 && strcmp(argv[i] + 2, name) == 0) {
            return argv[i + 1];
        }
    }
    return fallback;
}

long
Fake_GetNumber(int argc, char **argv, const char *name, long fallback)
{
    const char *value = Fake_GetFlag(argc, argv, name, NULL);
    return value != NULL ? strtol(value, NULL, 10) : fallback;
}

json_t *
Fake_LoadBody(const struct _u_request *request)
{
    return request->binary_body != NULL
               ? json_loadb(request->binary_body, request->binary_body_length,
                            0, NULL)
               : NULL;
}

int
Fake_Answer(struct _u_response *response, unsigned int status, json_t *body)
{
    ulfius_set_json_body_response(response, status, body);
    json_decref(body);
    return U_CALLBACK_COMPLETE;
}

int
Fake_Refuse(struct _u_response *response, unsigned int status,
            const char *code)
{
    return Fake_Answer(response, status,
                       json_pack("{s:{s:s}}", "error", "code", code));
}
