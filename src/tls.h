/* TLS: encrypts the links between daemons by TLS 1.3 with a pre-shared key.
   Uses GnuTLS; sockets must be non-blocking. */
#ifndef LS_TLS_H
#define LS_TLS_H

#include "errors.h"

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define TLS_KEY_BYTES_MIN 16 /* Shortest pre-shared key. */

typedef struct Tls Tls;               /* Key that all links share. */
typedef struct TlsSession TlsSession; /* State of one link. */

typedef enum TlsState {
    TLS_STATE_FAILED,
    TLS_STATE_HANDSHAKING,
    TLS_STATE_READY,
} TlsState;

/* Decodes the key. Returns NULL with *err filled in if it isn't hex or is too
   short. */
Tls *Tls_New(const char *key_hex, LsError *err);
void Tls_Free(Tls *tls);
/* Begins a session on a connected socket, which the caller closes after
   Tls_EndSession. */
TlsSession *Tls_BeginSession(Tls *tls, int fd, bool is_client);
void Tls_EndSession(TlsSession *session);
/* Continues the handshake as far as possible without blocking. */
TlsState Tls_Handshake(TlsSession *session);
/* Like recv() and send(): return -1 with errno EAGAIN if the call would block,
   and with EPROTO after a TLS error. */
ssize_t Tls_Read(TlsSession *session, void *data, size_t size);
ssize_t Tls_Write(TlsSession *session, const void *data, size_t size);

#endif
