/* lavenderspool-replay: runs recorded traces through the controllers under a
   simulated clock and checks the outcomes that the traces expect.

   Exit codes: 0 all traces passed, 1 a trace failed, 64 wrong usage or a file
   can't be opened. */
#include "trace.h"

#define REPLAY_EXIT_DIFFERS 1
#define REPLAY_EXIT_USAGE 64

int
main(int argc, char **argv)
{
    int code = 0;

    if (argc < 2) {
        fprintf(stderr, "usage: lavenderspool-replay TRACE...\n");
        return REPLAY_EXIT_USAGE;
    }
    for (int i = 1; i < argc; i++) {
        LsError err;
        FILE *file = fopen(argv[i], "r");
        if (file == NULL) {
            fprintf(stderr, "%s: can't open the file\n", argv[i]);
            return REPLAY_EXIT_USAGE;
        }
        if (Trace_Run(file, &err) == LS_OK) {
            printf("%s: passed\n", argv[i]);
        }
        else {
            printf("%s: error %d: %s\n", argv[i], err.code, err.message);
            code = REPLAY_EXIT_DIFFERS;
        }
        fclose(file);
    }
    return code;
}
