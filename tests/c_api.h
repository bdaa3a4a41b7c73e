/* Includes the project's C headers in C++ tests. */
#ifndef TESTS_C_API_H
#define TESTS_C_API_H

#include <glib.h>
#include <jansson.h>

extern "C" {
#include "ctl.h"
#include "mem.h"
#include "op.h"
#include "own.h"
#include "quo.h"
#include "req.h"
#include "rig.h"
#include "ring.h"
#include "svc.h"
}

#endif
