#include "sock.h"
#include "io/head_check.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>

struct Sock {
    pthread_mutex_t lock;
    GHashTable *clients; /* Of SockClient, by their key. */
};

typedef struct SockClient {
    gint64 key; /* Result of get_key(). */
    struct MHD_Connection *connection;
    int fd;
} SockClient;

static gint64 get_key(const struct sockaddr *client);
static SockClient *find_client(Sock *sock, const struct sockaddr *client);
static enum MHD_Result check_field(void *context, enum MHD_ValueKind kind,
                                   const char *name, size_t name_size,
                                   const char *value, size_t value_size);
static void add_connection(Sock *sock, struct MHD_Connection *connection,
                           void **socket_context);

Sock *
Sock_New(void)
{
    Sock *sock = g_new0(Sock, 1);

    pthread_mutex_init(&sock->lock, NULL);
    sock->clients = g_hash_table_new(g_int64_hash, g_int64_equal);
    return sock;
}

void
Sock_Free(Sock *sock)
{
    g_hash_table_unref(sock->clients);
    pthread_mutex_destroy(&sock->lock);
    g_free(sock);
}

void
Sock_Notify(void *context, struct MHD_Connection *connection,
            void **socket_context, enum MHD_ConnectionNotificationCode code)
{
    Sock *sock = context;
    SockClient *found = *socket_context;

    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        add_connection(sock, connection, socket_context);
        return;
    }
    if (found != NULL) {
        pthread_mutex_lock(&sock->lock);
        g_hash_table_remove(sock->clients, &found->key);
        pthread_mutex_unlock(&sock->lock);
        g_free(found);
    }
}

int
Sock_Find(Sock *sock, const struct sockaddr *client)
{
    const SockClient *found = find_client(sock, client);

    return found != NULL ? found->fd : -1;
}

bool
Sock_HasValidFields(Sock *sock, const struct sockaddr *client)
{
    const SockClient *found = find_client(sock, client);
    bool is_valid = true;

    if (found != NULL) {
        MHD_get_connection_values_n(found->connection,
                                    MHD_HEADER_KIND | MHD_FOOTER_KIND,
                                    check_field, &is_valid);
    }
    return is_valid;
}

bool
Sock_IsClosed(int fd)
{
    struct pollfd row = {fd, POLLRDHUP, 0};

    return fd >= 0 && poll(&row, 1, 0) > 0 &&
           (row.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Returns a client's IPv4 address and port as one number. */
static gint64
get_key(const struct sockaddr *client)
{
    const struct sockaddr_in *address =
        (const struct sockaddr_in *)(const void *)client;

    return ((gint64)ntohl(address->sin_addr.s_addr) << 16) |
           ntohs(address->sin_port);
}

/* Returns the client of an address, or NULL. It stays valid within the thread
   of its connection. */
static SockClient *
find_client(Sock *sock, const struct sockaddr *client)
{
    SockClient *found;
    gint64 key;

    if (client == NULL) {
        return NULL;
    }
    key = get_key(client);
    pthread_mutex_lock(&sock->lock);
    found = g_hash_table_lookup(sock->clients, &key);
    pthread_mutex_unlock(&sock->lock);
    return found;
}

/* libmicrohttpd callback, called with each field. */
static enum MHD_Result
check_field(void *context, enum MHD_ValueKind kind, const char *name,
            size_t name_size, const char *value, size_t value_size)
{
    bool *is_valid = context;

    (void)kind;
    *is_valid =
        *is_valid && HeadCheck_IsField(name, name_size, value, value_size);
    return MHD_YES;
}

static void
add_connection(Sock *sock, struct MHD_Connection *connection,
               void **socket_context)
{
    const union MHD_ConnectionInfo *socket_info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const union MHD_ConnectionInfo *client_info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    SockClient *added;

    if (socket_info == NULL || client_info == NULL) {
        return;
    }
    added = g_new(SockClient, 1);
    added->key = get_key(client_info->client_addr);
    added->connection = connection;
    added->fd = socket_info->connect_fd;
    pthread_mutex_lock(&sock->lock);
    g_hash_table_replace(sock->clients, &added->key, added);
    pthread_mutex_unlock(&sock->lock);
    *socket_context = added;
}
