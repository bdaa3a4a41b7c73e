/* Malformed event (MalformedEvent_): texts that a faulty worker writes among
   the events of a stream, and that no caller may receive. */
#ifndef LS_MALFORMED_EVENT_H
#define LS_MALFORMED_EVENT_H

#include <glib.h>
#include <stdbool.h>

/* Draws a text. `is_first`: it comes before the stream's first event, whose
   ID may be any number. */
const char *MalformedEvent_Draw(GRand *rand, bool is_first);

#endif
