/* HTTP client, refusals: what a connection was refused. See
   client_refusals.h. */
#include "client_refusals.h"

void
ClientRefusals_NoteStatus(ClientRefusals *refusals, int status)
{
    refusals->total += status == 429 || status == 503;
}

bool
ClientRefusals_NoteEnd(ClientRefusals *refusals, int status, uint64_t name)
{
    if (name == 0 || status / 100 == 2) {
        return true;
    }
    if (refusals->count == CLIENT_REFUSALS_MAX) {
        return false;
    }
    refusals->names[refusals->count++] = name;
    return true;
}

bool
ClientRefusals_HasName(const ClientRefusals *refusals, uint64_t name)
{
    for (uint32_t i = 0; i < refusals->count && name != 0; i++) {
        if (refusals->names[i] == name) {
            return true;
        }
    }
    return false;
}
