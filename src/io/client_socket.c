/* HTTP client, sockets. See client_socket.h. */
#include "client_socket.h"
#include "client.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* TCP keep-alive: the first probe after the idle time, then one per interval,
   and a reset when this many probes got no reply. */
#define CLIENT_KEEPALIVE_IDLE_S 2
#define CLIENT_KEEPALIVE_INTERVAL_S 1
#define CLIENT_KEEPALIVE_PROBES 2
#define CLIENT_IP_MAX 64

struct sockaddr_in
ClientSocket_ReadAddress(const char *address)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    char ip[CLIENT_IP_MAX];
    char *port;

    g_strlcpy(ip, address, sizeof(ip));
    port = strchr(ip, ':');
    if (port != NULL) {
        *port++ = '\0';
        to.sin_port = htons((uint16_t)strtoul(port, NULL, 10));
    }
    inet_pton(AF_INET, ip, &to.sin_addr);
    return to;
}

int
ClientSocket_Open(void)
{
    int on = 1;
    int idle_s = CLIENT_KEEPALIVE_IDLE_S;
    int interval_s = CLIENT_KEEPALIVE_INTERVAL_S;
    int count = CLIENT_KEEPALIVE_PROBES;
    unsigned unacked_ms = CLIENT_UNACKED_MAX_MS;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
               sizeof(interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
               sizeof(unacked_ms));
    return fd;
}
