/* HTTP client, refusals (ClientRefusals_): what a connection was refused. A
   faulty server may write a refusal once more, where the answer to a later
   call is expected. */
#ifndef LS_CLIENT_REFUSALS_H
#define LS_CLIENT_REFUSALS_H

#include <stdbool.h>
#include <stdint.h>

/* Names of calls that were not answered with success, which a connection
   keeps; with more of them it is closed. */
#define CLIENT_REFUSALS_MAX 8

/* All zero for a new connection. */
typedef struct ClientRefusals {
    uint64_t names[CLIENT_REFUSALS_MAX];
    uint32_t count;
    uint32_t total; /* Responses with the status 429 or 503. */
} ClientRefusals;

/* Notes the status of a response, to whichever call. */
void ClientRefusals_NoteStatus(ClientRefusals *refusals, int status);
/* Notes the end of the call of this name; 0: it has none. Returns false if
   there is no room. */
bool ClientRefusals_NoteEnd(ClientRefusals *refusals, int status,
                            uint64_t name);
/* Whether the call of this name was not answered with success. */
bool ClientRefusals_HasName(const ClientRefusals *refusals, uint64_t name);

#endif
