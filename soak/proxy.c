/* Fault-injecting TCP proxy of a soak test. */
#include "proxy.h"

#include "io/loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

typedef struct PrxLink {
    LIST_ENTRY(PrxLink) links;
    Prx *prx;
    struct bufferevent *sockets[2]; /* to the client, to the server */
    bool is_closed[2];              /* the peer of this socket has closed it */
    struct event *timer; /* forwards delayed bytes in PRX_SLOW mode */
} PrxLink;

struct Prx {
    struct event_base *base;
    struct evconnlistener *listener;
    uint16_t port;
    uint16_t target_port;
    PrxMode mode;
    LIST_HEAD(PrxLinkList, PrxLink) all;
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                      struct sockaddr *from, int size, void *context);
static void on_read(struct bufferevent *bev, void *context);
static void on_written(struct bufferevent *bev, void *context);
static void on_event(struct bufferevent *bev, short what, void *context);
static void on_timer(evutil_socket_t fd, short what, void *context);
static void forward_bytes(PrxLink *link);
static void close_link(PrxLink *link, bool reset);
static void fill_address(struct sockaddr_in *at, uint16_t port);

Prx *
Prx_New(struct event_base *base, uint16_t target_port)
{
    Prx *prx = g_new0(Prx, 1);
    struct sockaddr_in at;
    socklen_t size = sizeof(at);

    prx->base = base;
    prx->target_port = target_port;
    LIST_INIT(&prx->all);
    fill_address(&at, 0);
    prx->listener = evconnlistener_new_bind(
        base, on_accept, prx, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
        (struct sockaddr *)&at, sizeof(at));
    getsockname(evconnlistener_get_fd(prx->listener), (struct sockaddr *)&at,
                &size);
    prx->port = ntohs(at.sin_port);
    return prx;
}

void
Prx_Free(Prx *prx)
{
    Prx_ResetAll(prx);
    evconnlistener_free(prx->listener);
    g_free(prx);
}

uint16_t
Prx_GetPort(const Prx *prx)
{
    return prx->port;
}

void
Prx_SetTarget(Prx *prx, uint16_t target_port)
{
    prx->target_port = target_port;
}

void
Prx_SetMode(Prx *prx, PrxMode mode)
{
    PrxLink *link = LIST_FIRST(&prx->all);

    prx->mode = mode;
    while (link != NULL) {
        PrxLink *next = LIST_NEXT(link, links);
        forward_bytes(link);
        link = next;
    }
}

void
Prx_ResetAll(Prx *prx)
{
    while (!LIST_EMPTY(&prx->all)) {
        close_link(LIST_FIRST(&prx->all), true);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int size, void *context)
{
    Prx *prx = context;
    PrxLink *link = g_new0(PrxLink, 1);
    struct sockaddr_in to;

    (void)listener;
    (void)from;
    (void)size;
    link->prx = prx;
    link->timer = evtimer_new(prx->base, on_timer, link);
    LIST_INSERT_HEAD(&prx->all, link, links);
    link->sockets[0] =
        bufferevent_socket_new(prx->base, fd, BEV_OPT_CLOSE_ON_FREE);
    link->sockets[1] =
        bufferevent_socket_new(prx->base, -1, BEV_OPT_CLOSE_ON_FREE);
    for (int i = 0; i < 2; i++) {
        bufferevent_setcb(link->sockets[i], on_read, on_written, on_event,
                          link);
        bufferevent_enable(link->sockets[i], EV_READ | EV_WRITE);
    }
    fill_address(&to, prx->target_port);
    bufferevent_socket_connect(link->sockets[1], (struct sockaddr *)&to,
                               sizeof(to));
}

static void
on_read(struct bufferevent *bev, void *context)
{
    PrxLink *link = context;

    (void)bev;
    if (link->prx->mode == PRX_SLOW) {
        if (!event_pending(link->timer, EV_TIMEOUT, NULL)) {
            Loop_ArmTimer(link->timer, PRX_SLOW_MS);
        }
        return;
    }
    forward_bytes(link);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    forward_bytes(context);
}

static void
on_event(struct bufferevent *bev, short what, void *context)
{
    PrxLink *link = context;

    if (what & BEV_EVENT_ERROR) {
        close_link(link, true);
    }
    else if (what & BEV_EVENT_EOF) {
        link->is_closed[bev == link->sockets[1]] = true;
        on_read(bev, link);
    }
}

static void
on_written(struct bufferevent *bev, void *context)
{
    (void)bev;
    forward_bytes(context);
}

/* Forwards the bytes that the mode permits. Once all bytes of a closed side
   have been written to the other side, frees the connection. */
static void
forward_bytes(PrxLink *link)
{
    PrxMode mode = link->prx->mode;

    for (int i = 0; i < 2; i++) {
        struct evbuffer *out = bufferevent_get_output(link->sockets[1 - i]);
        if (mode == PRX_SILENT || (mode == PRX_MUTE && i == 1)) {
            continue;
        }
        evbuffer_add_buffer(out, bufferevent_get_input(link->sockets[i]));
        if (link->is_closed[i] && evbuffer_get_length(out) == 0) {
            close_link(link, false);
            return;
        }
    }
}

static void
close_link(PrxLink *link, bool reset)
{
    struct linger zero_linger = {1, 0};

    for (int i = 0; i < 2; i++) {
        evutil_socket_t fd = bufferevent_getfd(link->sockets[i]);
        if (reset && fd >= 0) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &zero_linger,
                       sizeof(zero_linger));
        }
        bufferevent_free(link->sockets[i]);
    }
    event_free(link->timer);
    LIST_REMOVE(link, links);
    g_free(link);
}

static void
fill_address(struct sockaddr_in *at, uint16_t port)
{
    memset(at, 0, sizeof(*at));
    at->sin_family = AF_INET;
    at->sin_port = htons(port);
    at->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
}
