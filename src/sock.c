#include "sock.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>

struct Sock {
    pthread_mutex_t lock;
    GHashTable *descriptors; /* get_key() to descriptor + 1 */
};

static gint64 get_key(const struct sockaddr *client);
static void add_connection(Sock *sock, struct MHD_Connection *connection,
                           void **socket_context);

Sock *
Sock_New(void)
{
    Sock *sock = g_new0(Sock, 1);

    pthread_mutex_init(&sock->lock, NULL);
    sock->descriptors = g_hash_table_new(g_int64_hash, g_int64_equal);
    return sock;
}

void
Sock_Free(Sock *sock)
{
    g_hash_table_unref(sock->descriptors);
    pthread_mutex_destroy(&sock->lock);
    g_free(sock);
}

void
Sock_Notify(void *context, struct MHD_Connection *connection,
            void **socket_context, enum MHD_ConnectionNotificationCode code)
{
    Sock *sock = context;
    gint64 *key = *socket_context;

    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        add_connection(sock, connection, socket_context);
        return;
    }
    if (key != NULL) {
        pthread_mutex_lock(&sock->lock);
        g_hash_table_remove(sock->descriptors, key);
        pthread_mutex_unlock(&sock->lock);
        g_free(key);
    }
}

int
Sock_Find(Sock *sock, const struct sockaddr *client)
{
    gint64 key;
    int fd;

    if (client == NULL) {
        return -1;
    }
    key = get_key(client);
    pthread_mutex_lock(&sock->lock);
    fd = GPOINTER_TO_INT(g_hash_table_lookup(sock->descriptors, &key)) - 1;
    pthread_mutex_unlock(&sock->lock);
    return fd;
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

static void
add_connection(Sock *sock, struct MHD_Connection *connection,
               void **socket_context)
{
    const union MHD_ConnectionInfo *socket_info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const union MHD_ConnectionInfo *client_info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    gint64 *key;

    if (socket_info == NULL || client_info == NULL) {
        return;
    }
    key = g_new(gint64, 1);
    *key = get_key(client_info->client_addr);
    pthread_mutex_lock(&sock->lock);
    g_hash_table_insert(sock->descriptors, key,
                        GINT_TO_POINTER(socket_info->connect_fd + 1));
    pthread_mutex_unlock(&sock->lock);
    *socket_context = key;
}
