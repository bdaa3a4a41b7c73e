/* Trace: runs a recorded trace through a rig. A trace is a file of JSON lines
   with input events and expected outcomes; docs/OPERATIONS.md describes
   them. */
#ifndef TRACE_H
#define TRACE_H

#include "errors.h"

#include <stdbool.h>
#include <stdio.h>

/* Runs a trace. Returns LS_OK if each expected outcome was observed and no
   invariant was violated; otherwise *err describes the line and the
   difference. */
LsResult Trace_Run(FILE *file, LsError *err);

#endif
