/* HTTP client (Client_): HTTP/1.1 calls over persistent connections, on one
   libevent loop. libcurl does not fit here: it repeats a call by itself when
   a reused connection turns out to be closed, but whether a call may be sent
   again must be decided by the owner, since some calls may run only once. */
#ifndef LS_CLIENT_H
#define LS_CLIENT_H

#include "../clock.h"
#include "headers.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/* Default connect time-out: several round trips between regions. */
#define CLIENT_CONNECT_TIMEOUT_MS 400
/* A proxy accepts connections for a server that has ended, and closes them
   soon. */
#define CLIENT_LINGER_MS 100
/* A connection is reset when sent bytes stay unacknowledged for this long. */
#define CLIENT_UNACKED_MAX_MS 2000
/* Longest time that an idle connection is kept, below the idle time-out of
   usual servers. */
#define CLIENT_IDLE_MAX_MS 4000
/* An idle connection is closed this long before the end of the idle time-out
   that its server announced, so that no call is sent while the server closes
   it. */
#define CLIENT_IDLE_MARGIN_MS 600
#define CLIENT_IDLE_CONNS_MAX 8 /* Idle connections per address. */
#define CLIENT_HEADER_MAX_BYTES (64 * 1024)
/* A response may hold this many bytes that are not part of its body, with
   interim responses, responses to other calls and the framing of chunks, and
   in addition a multiple of its body's size, for the framing of short chunks.
   Beyond that the call ends as malformed, since such bytes may never end. */
#define CLIENT_OVERHEAD_MAX_BYTES (1024 * 1024)
#define CLIENT_OVERHEAD_PER_BODY_BYTE 8

typedef enum ClientOutcome {
    CLIENT_COMPLETE,    /* The response was received completely. */
    CLIENT_NOT_SENT,    /* No byte of the call was sent: it can't have run. */
    CLIENT_INTERRUPTED, /* The call was sent, but no complete response came. */
    CLIENT_MALFORMED,   /* The received bytes are no HTTP response. */
} ClientOutcome;

/* What marks the end of a response's body. */
typedef enum ClientFraming {
    CLIENT_FRAMING_NONE,   /* No response so far, or one without a body. */
    CLIENT_FRAMING_LENGTH, /* Content-Length. */
    CLIENT_FRAMING_CHUNKS, /* The last chunk. */
    CLIENT_FRAMING_CLOSE,  /* The end of the connection. */
} ClientFraming;

typedef struct ClientCall ClientCall;

typedef struct ClientCallOptions {
    const char *address; /* "IP:port" */
    const char *method;
    const char *target;
    const HeaderList *headers; /* End-to-end fields. The framing is added, and
                                  Host if it is missing. May be NULL. */
    /* Field with the time, in ms, from the sending of the call to
       `left_until_us`; at least 1. NULL: none. The string must stay valid. */
    const char *left_name;
    int64_t left_until_us;
    const void *body;
    size_t body_size;
    bool with_length; /* Sends Content-Length for an empty body too. */
    /* Opens a new connection, sends nothing and keeps it idle. The call ends
       as complete if the connection is still open CLIENT_LINGER_MS later, as
       not sent if it is refused or closed, and else as interrupted. */
    bool connect_only;
    /* Identifies the request in its responses; 0: nothing does. A connection
       on which a call of this name was refused carries no other one of it, as
       a faulty server may write the refusal once more. */
    uint64_t name;
    /* Uses an idle connection of this label, which must exist
       (Client_HasIdle()); 0: any connection. */
    uint64_t label;
    /* Uses an idle connection with a number up to this one that has carried a
       response, if there is one, best of all with the fewest refusals; 0: any
       connection. */
    uint64_t number_max;
    uint32_t connect_ms;  /* Connect time-out; 0: CLIENT_CONNECT_TIMEOUT_MS. */
    uint32_t idle_max_ms; /* Longest idle time of a connection to reuse; 0:
                             opens a new connection. */
    /* Uses an idle connection only if another one that has carried a response
       stays idle. */
    bool keeps_one;
    void *context;
    /* Whether a response belongs to this call; if NULL, the first one does.
       Other responses are late ones to earlier calls and are dropped. */
    bool (*matches_request)(void *context, const HeaderList *headers);
    /* Returns a label for the connection once the response is complete; 0:
       none. May be NULL. */
    uint64_t (*get_label)(void *context);
    /* The header, then the parts of the body, of the call's response. Each
       may be NULL. */
    void (*on_head)(void *context, int status, const HeaderList *headers);
    void (*on_data)(void *context, const void *data, size_t size);
    /* The last callback of a call, which is already freed. May be NULL. */
    void (*on_end)(void *context, ClientOutcome outcome);
} ClientCallOptions;

typedef struct Client Client;

Client *Client_New(struct event_base *base, const Clk *clk);
/* Sets a callback for the header of each final response from any server,
   before those of its call, and also for late responses to earlier calls.
   `address` is the server's, "IP:port". It may not begin or end calls. */
void Client_SetObserver(Client *client, void *context,
                        void (*on_response)(void *context, const char *address,
                                            int status,
                                            const HeaderList *headers));
/* Cancels all calls; no callback follows. NULL is allowed. */
void Client_Free(Client *client);
/* Starts a call and copies what it sends. No callback runs before the return.
   The call belongs to the client and is freed before on_end(). */
ClientCall *Client_BeginCall(Client *client, const ClientCallOptions *options);
/* Whether an idle connection meets the options of a call. */
bool Client_HasIdle(Client *client, const ClientCallOptions *options);
/* Whether a connection to an address, "IP:port", has a number up to this one
   and has carried a response; it may be in use. */
bool Client_HasOlder(const Client *client, const char *address,
                     uint64_t number_max);
/* Cancels a call: closes its connection, and no callback follows. */
void Client_EndCall(ClientCall *call);
/* Returns the framing of the call's response. To be called from on_head(). */
ClientFraming Client_GetFraming(const ClientCall *call);
/* Returns the number of its connection. They are numbered from 1 on as they
   open; 0: it is not open yet. */
uint64_t Client_GetNumber(const ClientCall *call);
/* Whether its connection has carried other calls, so that a response that
   names no request may belong to one of these. */
bool Client_IsReused(const ClientCall *call);
/* Returns how many refusals its connection has carried before, of which late
   copies may come. To be called from on_head(). */
uint32_t Client_CountRefusals(const ClientCall *call);
/* Whether the server's host has received all of the call. */
bool Client_IsDelivered(const ClientCall *call);
/* Stops or begins to read its response. */
void Client_SetReading(ClientCall *call, bool is_reading);
/* Ends the call as malformed once the current callback returns: its body is
   not acceptable. To be called from on_data() only. */
void Client_RejectBody(ClientCall *call);
/* Returns the number of the last connection that was opened; 0: none was. */
uint64_t Client_GetLastNumber(const Client *client);
/* Returns when a connection to an address, "IP:port", last ended by itself
   while it was idle, or before the response to a later call than the first one
   was complete; INT64_MIN: none did. Old times may be forgotten. */
int64_t Client_GetLostTime(const Client *client, const char *address);
/* Closes the idle connections to an address, "IP:port". */
void Client_CloseIdle(Client *client, const char *address);

#endif
