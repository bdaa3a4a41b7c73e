/* Trace: runs a recorded trace (JSON lines: events in, stated outcomes)
   through a rig. docs/OPERATIONS.md describes the lines. */
#ifndef TRACE_H
#define TRACE_H

#include "err.h"

#include <stdbool.h>
#include <stdio.h>

/* Runs the trace. Returns LS_OK when each stated outcome came about and every
   promise held; else *err names the line and the difference. */
LsResult Trace_Run(FILE *file, LsError *err);

#endif
