#include "tls.h"

#include <errno.h>
#include <glib.h>
#include <gnutls/gnutls.h>
#include <string.h>

#define TLS_IDENTITY "lavenderspool"
#define TLS_PRIORITY                                                          \
    "NONE:+VERS-TLS1.3:+AEAD:+AES-128-GCM:+AES-256-GCM:"                      \
    "+CHACHA20-POLY1305:+SIGN-ALL:+GROUP-ALL:+ECDHE-PSK:+DHE-PSK"

struct Tls {
    gnutls_datum_t key; /* Decoded pre-shared key. */
    gnutls_psk_client_credentials_t client;
    gnutls_psk_server_credentials_t server;
    gnutls_priority_t priority;
};

struct TlsSession {
    gnutls_session_t session;
    bool is_ready;
};

static int provide_psk(gnutls_session_t session, const char *identity,
                       gnutls_datum_t *key);
static ssize_t set_errno(ssize_t result);

Tls *
Tls_New(const char *key_hex, LsError *err)
{
    gnutls_datum_t hex = {(unsigned char *)key_hex,
                          (unsigned int)strlen(key_hex)};
    gnutls_datum_t key = {NULL, 0};
    Tls *tls;

    if (gnutls_hex_decode2(&hex, &key) != GNUTLS_E_SUCCESS ||
        key.size < TLS_KEY_BYTES_MIN) {
        gnutls_free(key.data);
        Err_Set(err, LS_ERR_SETTING, LS_RUN_NOT_RUN,
                "peer key: must be at least %d hex digits",
                TLS_KEY_BYTES_MIN * 2);
        return NULL;
    }
    tls = g_new0(Tls, 1);
    tls->key = key;
    gnutls_priority_init(&tls->priority, TLS_PRIORITY, NULL);
    gnutls_psk_allocate_client_credentials(&tls->client);
    gnutls_psk_set_client_credentials(tls->client, TLS_IDENTITY, &key,
                                      GNUTLS_PSK_KEY_RAW);
    gnutls_psk_allocate_server_credentials(&tls->server);
    gnutls_psk_set_server_credentials_function(tls->server, provide_psk);
    return tls;
}

void
Tls_Free(Tls *tls)
{
    gnutls_psk_free_client_credentials(tls->client);
    gnutls_psk_free_server_credentials(tls->server);
    gnutls_priority_deinit(tls->priority);
    gnutls_memset(tls->key.data, 0, tls->key.size);
    gnutls_free(tls->key.data);
    g_free(tls);
}

TlsSession *
Tls_BeginSession(Tls *tls, int fd, bool is_client)
{
    TlsSession *session = g_new0(TlsSession, 1);

    gnutls_init(&session->session,
                (is_client ? GNUTLS_CLIENT : GNUTLS_SERVER) | GNUTLS_NONBLOCK |
                    GNUTLS_NO_SIGNAL | GNUTLS_NO_TICKETS);
    gnutls_priority_set(session->session, tls->priority);
    if (is_client) {
        gnutls_credentials_set(session->session, GNUTLS_CRD_PSK, tls->client);
    }
    else {
        gnutls_credentials_set(session->session, GNUTLS_CRD_PSK, tls->server);
    }
    gnutls_session_set_ptr(session->session, tls);
    gnutls_transport_set_int(session->session, fd);
    return session;
}

void
Tls_EndSession(TlsSession *session)
{
    gnutls_deinit(session->session);
    g_free(session);
}

TlsState
Tls_Handshake(TlsSession *session)
{
    int result;

    if (session->is_ready) {
        return TLS_STATE_READY;
    }
    do {
        result = gnutls_handshake(session->session);
    } while (result == GNUTLS_E_INTERRUPTED);
    if (result == GNUTLS_E_SUCCESS) {
        session->is_ready = true;
        return TLS_STATE_READY;
    }
    return gnutls_error_is_fatal(result) ? TLS_STATE_FAILED
                                         : TLS_STATE_HANDSHAKING;
}

ssize_t
Tls_Read(TlsSession *session, void *data, size_t size)
{
    return set_errno(gnutls_record_recv(session->session, data, size));
}

ssize_t
Tls_Write(TlsSession *session, const void *data, size_t size)
{
    return set_errno(gnutls_record_send(session->session, data, size));
}

/* GnuTLS callback of the server: returns the key of an identity. */
static int
provide_psk(gnutls_session_t session, const char *identity,
            gnutls_datum_t *key)
{
    const Tls *tls = gnutls_session_get_ptr(session);

    if (strcmp(identity, TLS_IDENTITY) != 0) {
        return -1;
    }
    key->data = gnutls_malloc(tls->key.size);
    if (key->data == NULL) {
        return -1;
    }
    memcpy(key->data, tls->key.data, tls->key.size);
    key->size = tls->key.size;
    return 0;
}

/* Translates a GnuTLS result to the convention of recv() and send(). */
static ssize_t
set_errno(ssize_t result)
{
    if (result >= 0) {
        return result;
    }
    errno = gnutls_error_is_fatal((int)result) ? EPROTO : EAGAIN;
    return -1;
}
