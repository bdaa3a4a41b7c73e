/* Includes the project's C headers in C++ tests. */
#ifndef TESTS_C_API_H
#define TESTS_C_API_H

#include <glib.h>
#include <jansson.h>

extern "C" {
#include "control.h"
#include "membership.h"
#include "operation.h"
#include "ownership.h"
#include "quota.h"
#include "request.h"
#include "rig.h"
#include "ring.h"
#include "service.h"
}

#endif
