/* Fault-injecting TCP proxy of a soak test. */
#include "proxy.h"

#include "io/loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

typedef struct ProxyLink {
    LIST_ENTRY(ProxyLink) links;
    Proxy *proxy;
    struct bufferevent *sockets[2]; /* To the client, to the server. */
    bool is_answered;    /* A response has begun in PROXY_ENDLESS mode. */
    bool is_closed[2];   /* Set when the peer of the socket has closed it. */
    struct event *timer; /* Forwards delayed bytes in the modes PROXY_SLOW and
                            PROXY_DRIBBLE. */
} ProxyLink;

struct Proxy {
    struct event_base *base;
    struct evconnlistener *listener;
    uint16_t port;
    struct sockaddr_in target;
    ProxyMode mode;
    bool is_held;
    LIST_HEAD(ProxyLinkList, ProxyLink) open_links;
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                      struct sockaddr *from, int size, void *context);
static void set_no_delay(struct bufferevent *bev);
static void on_read(struct bufferevent *bev, void *context);
static void on_written(struct bufferevent *bev, void *context);
static void on_event(struct bufferevent *bev, short what, void *context);
static void on_timer(evutil_socket_t fd, short what, void *context);
static void forward_all(Proxy *proxy);
static void forward_bytes(ProxyLink *link);
static void forward_byte(ProxyLink *link);
static void forward_endlessly(ProxyLink *link);
static void close_link(ProxyLink *link, bool reset);
static void fill_address(struct sockaddr_in *address, uint16_t port);

Proxy *
Proxy_New(struct event_base *base, uint16_t target_port)
{
    struct sockaddr_in listen;
    struct sockaddr_in target;

    fill_address(&listen, 0);
    fill_address(&target, target_port);
    return Proxy_NewBetween(base, &listen, &target);
}

Proxy *
Proxy_NewBetween(struct event_base *base, const struct sockaddr_in *listen,
                 const struct sockaddr_in *target)
{
    Proxy *proxy = g_new0(Proxy, 1);
    struct sockaddr_in address = *listen;
    socklen_t size = sizeof(address);

    proxy->base = base;
    proxy->target = *target;
    LIST_INIT(&proxy->open_links);
    proxy->listener = evconnlistener_new_bind(
        base, on_accept, proxy, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
        (struct sockaddr *)&address, sizeof(address));
    getsockname(evconnlistener_get_fd(proxy->listener),
                (struct sockaddr *)&address, &size);
    proxy->port = ntohs(address.sin_port);
    return proxy;
}

void
Proxy_Free(Proxy *proxy)
{
    Proxy_ResetAll(proxy);
    evconnlistener_free(proxy->listener);
    g_free(proxy);
}

uint16_t
Proxy_GetPort(const Proxy *proxy)
{
    return proxy->port;
}

void
Proxy_SetTarget(Proxy *proxy, uint16_t target_port)
{
    proxy->target.sin_port = htons(target_port);
}

void
Proxy_SetMode(Proxy *proxy, ProxyMode mode)
{
    if (proxy->mode == PROXY_ENDLESS && mode != PROXY_ENDLESS) {
        Proxy_ResetAll(proxy);
    }
    proxy->mode = mode;
    forward_all(proxy);
}

void
Proxy_SetHeld(Proxy *proxy, bool is_held)
{
    proxy->is_held = is_held;
    forward_all(proxy);
}

void
Proxy_ResetAll(Proxy *proxy)
{
    while (!LIST_EMPTY(&proxy->open_links)) {
        close_link(LIST_FIRST(&proxy->open_links), true);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int size, void *context)
{
    Proxy *proxy = context;
    ProxyLink *link = g_new0(ProxyLink, 1);

    (void)listener;
    (void)from;
    (void)size;
    link->proxy = proxy;
    link->timer = evtimer_new(proxy->base, on_timer, link);
    LIST_INSERT_HEAD(&proxy->open_links, link, links);
    link->sockets[0] =
        bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
    link->sockets[1] =
        bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
    for (int i = 0; i < 2; i++) {
        bufferevent_setcb(link->sockets[i], on_read, on_written, on_event,
                          link);
        bufferevent_enable(link->sockets[i], EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(link->sockets[1],
                               (struct sockaddr *)&proxy->target,
                               sizeof(proxy->target));
    for (int i = 0; i < 2; i++) {
        set_no_delay(link->sockets[i]);
    }
}

/* Lets small writes leave at once, as they came. */
static void
set_no_delay(struct bufferevent *bev)
{
    int on = 1;

    setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
}

static void
on_read(struct bufferevent *bev, void *context)
{
    ProxyLink *link = context;

    (void)bev;
    if (link->proxy->mode == PROXY_SLOW) {
        if (!event_pending(link->timer, EV_TIMEOUT, NULL)) {
            Loop_ArmTimer(link->timer, PROXY_SLOW_MS);
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
    ProxyLink *link = context;

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

static void
forward_all(Proxy *proxy)
{
    ProxyLink *link = LIST_FIRST(&proxy->open_links);

    while (link != NULL) {
        ProxyLink *next = LIST_NEXT(link, links);
        forward_bytes(link);
        link = next;
    }
}

/* Forwards the bytes that the mode permits. Once all bytes of a closed side
   have been written to the other side, frees the connection. */
static void
forward_bytes(ProxyLink *link)
{
    ProxyMode mode = link->proxy->mode;

    if (link->proxy->is_held) {
        return;
    }
    for (int i = 0; i < 2; i++) {
        struct evbuffer *out = bufferevent_get_output(link->sockets[1 - i]);
        if (mode == PROXY_SILENT || (mode == PROXY_MUTE && i == 1)) {
            continue;
        }
        if (mode == PROXY_DRIBBLE && i == 1) {
            forward_byte(link);
            continue;
        }
        if (mode == PROXY_ENDLESS && i == 1) {
            forward_endlessly(link);
            continue;
        }
        evbuffer_add_buffer(out, bufferevent_get_input(link->sockets[i]));
        if (link->is_closed[i] && evbuffer_get_length(out) == 0) {
            close_link(link, false);
            return;
        }
    }
}

/* Forwards one byte of a response, and the next one later. */
static void
forward_byte(ProxyLink *link)
{
    struct evbuffer *in = bufferevent_get_input(link->sockets[1]);
    char byte;

    if (event_pending(link->timer, EV_TIMEOUT, NULL)) {
        return;
    }
    if (evbuffer_remove(in, &byte, 1) == 1) {
        bufferevent_write(link->sockets[0], &byte, 1);
        Loop_ArmTimer(link->timer, PROXY_DRIBBLE_MS);
    }
}

/* Forwards a response and appends bytes to it, as long as they are taken. */
static void
forward_endlessly(ProxyLink *link)
{
    struct evbuffer *in = bufferevent_get_input(link->sockets[1]);
    struct evbuffer *out = bufferevent_get_output(link->sockets[0]);
    char bytes[PROXY_ENDLESS_BYTES];

    if (evbuffer_get_length(in) > 0) {
        link->is_answered = true;
    }
    evbuffer_add_buffer(out, in);
    if (link->is_answered && evbuffer_get_length(out) == 0) {
        memset(bytes, 'x', sizeof(bytes));
        evbuffer_add(out, bytes, sizeof(bytes));
    }
}

static void
close_link(ProxyLink *link, bool reset)
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
fill_address(struct sockaddr_in *address, uint16_t port)
{
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons(port);
    address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
}
