/* Client request: the bytes of a call. Its time left is written as it is
   sent. */
#ifndef LS_CLIENT_REQUEST_H
#define LS_CLIENT_REQUEST_H

#include "client.h"

#include <event2/buffer.h>

typedef struct ClientRequest {
    struct evbuffer *head; /* Without the time left. */
    struct evbuffer *rest; /* What follows the time left. */
} ClientRequest;

ClientRequest ClientRequest_New(const ClientCallOptions *options);
void ClientRequest_Clear(ClientRequest *request);
/* Moves all to `head`, with the time left at now_us. Uses only `left_name` and
   `left_until_us` of the options. Returns the size in bytes. */
size_t ClientRequest_Complete(ClientRequest *request,
                              const ClientCallOptions *options,
                              int64_t now_us);

#endif
