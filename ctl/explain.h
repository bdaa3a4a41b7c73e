/* Explain (Explain_): finds the cause of a request's outcome in the logs of
   several VMs. */
#ifndef CTL_EXPLAIN_H
#define CTL_EXPLAIN_H

#include <stdbool.h>

/* Reads the log lines of the files, "-" for standard input, in any order, and
   prints the lines about the request in the order of their times, what its
   workers and its VM went through shortly before, and the cause. Text before
   a line's JSON object is ignored. Returns false, after an error message, if
   a file can't be read or no line names the request. */
bool Explain_PrintLogs(const char *request, const char **paths, int count);

#endif
