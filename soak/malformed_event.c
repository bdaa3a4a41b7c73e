/* Malformed events of a soak test's workers. See malformed_event.h. */
#include "malformed_event.h"

/* A valid form whose ID leaps, and forms that parsers read differently. */
static const char *const texts[] = {
    "id: 900000\ndata: spoilt\n\n",
    "data: spoilt\n\n",
    "spoilt\n\n",
    "id\ndata: spoilt\n\n",
    "id:\ndata: spoilt\n\n",
    "id: x\ndata: spoilt\n\n",
    "id: 900000\nid: 3\ndata: spoilt\n\n",
    "id: 3\nid:\ndata: spoilt\n\n",
    " id: 900000\ndata: spoilt\n\n",
    "xid: 3\ndata: spoilt\n\n",
    "ID: 3\ndata: spoilt\n\n",
    "id: 3\nevent: spoilt\ndata: spoilt\n\n",
    "id: 3\nspoilt: 1\ndata: spoilt\n\n",
    "id: 3\ndata: spoilt\r\rid: 900000\ndata: spoilt\n\n",
    ": spoilt\rid: 3\rdata: spoilt\r\r\n\n",
    "id: 3\n\n",
    "\nid: 3\ndata: spoilt\n\n",
    "id: 3\ndata: \xff\xfe\n\n",
};

const char *
MalformedEvent_Draw(GRand *rand, bool is_first)
{
    gint32 first = is_first ? 1 : 0;

    return texts[g_rand_int_range(rand, first, G_N_ELEMENTS(texts))];
}
