/* Log: writes JSON lines to standard output, through GLib's structured
   logging. Logging never blocks: a line is dropped if standard output can't
   take it at once or if LOG_LINES_PER_S is exceeded, which counts warnings and
   errors apart and notices not at all. Dropped lines are counted. The next
   line has the count in lines_dropped_before; if it is dropped as well, that
   count is lost. Fields must not contain prompts, answers or keys. Texts over
   512 bytes are cut; a line that is still longer than a pipe takes at once
   (PIPE_BUF) loses its texts and is marked as "shortened". */
#ifndef LS_LOG_H
#define LS_LOG_H

#include <jansson.h>
#include <stdint.h>

typedef enum LogLevel {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARNING,
    LOG_LEVEL_NOTICE, /* Start and stop of the process; written as "info". */
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG,
} LogLevel;

/* Starts logging for the named VM. Lines less severe than `level` are not
   written. */
void Log_Begin(const char *vm, LogLevel level);
/* Writes one line: the event's name, then pairs of key and value strings,
   ended by a NULL key. A pair with a NULL value is left out. */
void Log_Write(LogLevel level, const char *event, ...)
    __attribute__((sentinel));
/* Writes one line with the members of `fields`, a JSON object. Frees
   `fields`. */
void Log_WriteJson(LogLevel level, const char *event, json_t *fields);

#endif
