/* lavenderspoold: the daemon. All VMs of a deployment run the same program. */
#include "log.h"
#include "node.h"

#include <signal.h>
#include <stdio.h>

#ifndef LS_VERSION
#define LS_VERSION "0.0.0"
#endif

static Node *running_node;

static void
handle_signal(int number)
{
    (void)number;
    Node_RequestStop(running_node);
}

static int
run_daemon(const SetSettings *settings)
{
    struct sigaction action = {0};
    LsError err;
    int exit_code;

    Log_Begin(settings->vm, settings->log_level);
    running_node = Node_New(settings, &err);
    if (running_node == NULL) {
        fprintf(stderr, "lavenderspoold: error %d: %s\n", err.code,
                err.message);
        return ERR_EXIT_START;
    }
    action.sa_handler = handle_signal;
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
    exit_code = Node_Run(running_node);
    if (exit_code == ERR_EXIT_OK) {
        Node_Free(running_node);
    }
    return exit_code;
}

int
main(int argc, char **argv)
{
    SetSettings settings;
    LsError err;

    switch (Set_Load(argc, argv, &settings, &err)) {
    case SET_ACTION_HELP:
        Set_PrintHelp("lavenderspoold");
        return ERR_EXIT_OK;
    case SET_ACTION_VERSION:
        printf("lavenderspoold %s\n", LS_VERSION);
        return ERR_EXIT_OK;
    case SET_ACTION_CHECK:
        printf("settings are valid\n");
        return ERR_EXIT_OK;
    case SET_ACTION_ERROR:
        fprintf(stderr, "lavenderspoold: error %d: %s\n", err.code,
                err.message);
        return ERR_EXIT_USAGE;
    case SET_ACTION_RUN:
        break;
    }
    return run_daemon(&settings);
}
