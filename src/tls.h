/* Tls: TLS 1.3 with a pre-shared key on the links between daemons, by GnuTLS.
   Sockets are non-blocking. */
#ifndef LS_TLS_H
#define LS_TLS_H

#include "err.h"

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define TLS_KEY_BYTES_MIN 16 /* Of the pre-shared key. */

typedef struct Tls Tls;               /* The key, for all links. */
typedef struct TlsSession TlsSession; /* One link's. */

typedef enum TlsState {
    TLS_STATE_FAILED,
    TLS_STATE_HANDSHAKING,
    TLS_STATE_READY,
} TlsState;

/* Takes the key in hex digits; NULL with *err when it is too short. */
Tls *Tls_New(const char *key_hex, LsError *err);
void Tls_Free(Tls *tls);
TlsSession *Tls_BeginSession(Tls *tls, int fd, bool is_client);
void Tls_EndSession(TlsSession *session);
/* Moves the handshake on as far as the socket allows. */
TlsState Tls_Handshake(TlsSession *session);
/* As recv and send: -1 with errno EAGAIN when the socket must be awaited. */
ssize_t Tls_Read(TlsSession *session, void *data, size_t size);
ssize_t Tls_Write(TlsSession *session, const void *data, size_t size);

#endif
