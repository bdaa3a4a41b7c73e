#include "peer.h"

#include "clock.h"
#include "metrics.h"
#include "tls.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#define PEER_HEADER_BYTES 4
#define PEER_VM_MAX 48 /* Bytes of a VM's identifier, including the NUL. */
#define PEER_BACKLOG 64
#define PEER_LOOPBACK "127."
#define PEER_LINKS_MAX 4096
#define PEER_READ_BYTES 65536
#define PEER_CONNECT_TIMEOUT_US CLK_US_PER_S
/* Time for the Hello to arrive after the link was opened. */
#define PEER_HELLO_TIMEOUT_US (2 * CLK_US_PER_S)
/* A link is pinged when nothing was received for this time. */
#define PEER_PING_DELAY_US (500 * CLK_US_PER_MS)
#define PEER_PONG_TIMEOUT_US (2 * CLK_US_PER_S)
/* Pings are sent for this time after a frame other than a heartbeat. */
#define PEER_PING_WINDOW_US (30 * CLK_US_PER_S)
/* A link is closed after this time without frames other than pings. */
#define PEER_IDLE_TIMEOUT_US (60 * CLK_US_PER_S)

typedef struct PeerLink {
    TAILQ_ENTRY(PeerLink) link;
    int fd;
    TlsSession *tls;      /* NULL without a pre-shared key */
    char vm[PEER_VM_MAX]; /* Empty on an incoming link until its Hello. */
    bool outgoing;
    bool connecting;
    bool hello_received;
    bool must_close;
    GByteArray *in;  /* Received bytes that are not yet a whole frame. */
    GByteArray *out; /* Frames not yet sent. */
    int64_t opened_us;
    int64_t last_received_us;
    int64_t ping_sent_us; /* 0 if no ping is unanswered */
    /* Time of the last frame other than pings and heartbeats. */
    int64_t last_work_frame_us;
    int64_t last_frame_us; /* Time of the last frame other than pings. */
} PeerLink;

typedef TAILQ_HEAD(PeerLinkList, PeerLink) PeerLinkList;

struct Peer {
    PeerOptions options;
    char vm[PEER_VM_MAX];
    int listener;
    uint16_t port;
    Tls *tls; /* NULL without a pre-shared key */
    PeerLinkList links;
    guint link_count;
    GHashTable *link_by_vm; /* VM to the PeerLink that frames are sent on. */
    int64_t now_us;
};

static PeerLink *add_link(Peer *peer, int fd, bool outgoing);
static void close_link(Peer *peer, PeerLink *link);
static PeerLink *open_link(Peer *peer, const char *vm);
static void queue_frame(Peer *peer, PeerLink *link, const Wire__Frame *frame);
static void queue_hello(Peer *peer, PeerLink *link);
static void accept_links(Peer *peer);
static void read_link(Peer *peer, PeerLink *link);
static void write_link(Peer *peer, PeerLink *link);
static void check_timeouts(Peer *peer, PeerLink *link);

PeerOptions
Peer_DefaultOptions(void)
{
    PeerOptions options = {0};

    options.vm = "vm";
    options.bind_address = "127.0.0.1";
    return options;
}

static int
open_listener(const PeerOptions *options, uint16_t *port, LsError *err)
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    address.sin_family = AF_INET;
    address.sin_port = htons(options->port);
    if (inet_pton(AF_INET, options->bind_address, &address.sin_addr) != 1) {
        Err_Set(err, LS_ERR_SETTING, LS_RUN_NOT_RUN,
                "peer address %s: not an IPv4 address", options->bind_address);
        close(fd);
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, PEER_BACKLOG) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        Err_Set(err, LS_ERR_NETWORK, LS_RUN_NOT_RUN, "peer address %s:%u: %s",
                options->bind_address, options->port, g_strerror(errno));
        close(fd);
        return -1;
    }
    *port = ntohs(address.sin_port);
    return fd;
}

/* Without a key, links are neither authenticated nor encrypted, so only
   loopback addresses are allowed. */
static bool
check_key(const PeerOptions *options, LsError *err)
{
    if (options->key_hex == NULL &&
        !g_str_has_prefix(options->bind_address, PEER_LOOPBACK)) {
        Err_Set(err, LS_ERR_SETTING, LS_RUN_NOT_RUN,
                "peer address %s: a peer key is required outside loopback",
                options->bind_address);
        return false;
    }
    return true;
}

Peer *
Peer_New(const PeerOptions *options, LsError *err)
{
    Peer *peer;
    Tls *tls = NULL;
    uint16_t port = 0;
    int listener;

    if (!check_key(options, err)) {
        return NULL;
    }
    if (options->key_hex != NULL) {
        tls = Tls_New(options->key_hex, err);
        if (tls == NULL) {
            return NULL;
        }
    }
    listener = open_listener(options, &port, err);
    if (listener < 0) {
        if (tls != NULL) {
            Tls_Free(tls);
        }
        return NULL;
    }
    peer = g_new0(Peer, 1);
    peer->options = *options;
    g_strlcpy(peer->vm, options->vm, sizeof(peer->vm));
    peer->listener = listener;
    peer->tls = tls;
    peer->port = port;
    peer->link_by_vm = g_hash_table_new(g_str_hash, g_str_equal);
    peer->now_us = g_get_monotonic_time();
    TAILQ_INIT(&peer->links);
    return peer;
}

static void
free_link(Peer *peer, PeerLink *link)
{
    TAILQ_REMOVE(&peer->links, link, link);
    peer->link_count--;
    if (link->tls != NULL) {
        Tls_EndSession(link->tls);
    }
    close(link->fd);
    g_byte_array_unref(link->in);
    g_byte_array_unref(link->out);
    g_free(link);
}

void
Peer_Free(Peer *peer)
{
    while (!TAILQ_EMPTY(&peer->links)) {
        free_link(peer, TAILQ_FIRST(&peer->links));
    }
    g_hash_table_unref(peer->link_by_vm);
    if (peer->tls != NULL) {
        Tls_Free(peer->tls);
    }
    close(peer->listener);
    g_free(peer);
}

uint16_t
Peer_GetPort(const Peer *peer)
{
    return peer->port;
}

static void
record_frame_time(const Peer *peer, PeerLink *link, const Wire__Frame *frame)
{
    link->last_frame_us = peer->now_us;
    if (frame->body_case != WIRE__FRAME__BODY_HEARTBEAT) {
        link->last_work_frame_us = peer->now_us;
    }
}

void
Peer_SendFrame(Peer *peer, const char *vm, const Wire__Frame *frame)
{
    PeerLink *link = g_hash_table_lookup(peer->link_by_vm, vm);

    if (link == NULL) {
        link = open_link(peer, vm);
    }
    if (link != NULL) {
        record_frame_time(peer, link, frame);
        queue_frame(peer, link, frame);
    }
}

void
Peer_AddPollFds(Peer *peer, GArray *fds)
{
    struct pollfd row = {peer->listener, POLLIN, 0};
    PeerLink *link;

    g_array_append_val(fds, row);
    TAILQ_FOREACH(link, &peer->links, link)
    {
        row.fd = link->fd;
        row.events = POLLIN;
        if (link->connecting || link->out->len > 0) {
            row.events |= POLLOUT;
        }
        g_array_append_val(fds, row);
    }
}

/* Continues the TLS handshake, if there is a key. Returns whether the link can
   carry frames. */
static bool
handshake_link(PeerLink *link)
{
    TlsState state =
        link->tls != NULL ? Tls_Handshake(link->tls) : TLS_STATE_READY;

    if (state == TLS_STATE_FAILED) {
        Met_Add(MET_PEER_FRAMES_BAD, 1);
        link->must_close = true;
    }
    return state == TLS_STATE_READY;
}

/* Handles the poll events of one link's descriptor. */
static void
run_link(Peer *peer, PeerLink *link, short events)
{
    int error = 0;
    socklen_t size = sizeof(error);

    if (link->connecting && (events & (POLLOUT | POLLERR | POLLHUP)) != 0) {
        getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            link->must_close = true;
            return;
        }
        link->connecting = false;
    }
    if (link->connecting || !handshake_link(link)) {
        return;
    }
    if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) {
        read_link(peer, link);
    }
    if (!link->must_close && link->out->len > 0) {
        write_link(peer, link);
    }
}

static short
find_events(const struct pollfd *fds, guint count, int fd)
{
    for (guint i = 0; i < count; i++) {
        if (fds[i].fd == fd) {
            return fds[i].revents;
        }
    }
    return 0;
}

void
Peer_Run(Peer *peer, const struct pollfd *fds, guint count, int64_t now_us)
{
    PeerLink *link;
    PeerLink *next;
    guint hint = 1;

    peer->now_us = now_us;
    for (link = TAILQ_FIRST(&peer->links); link != NULL; link = next) {
        /* The rows were added in the order of the links, so the next row is
           nearly always this link's. It isn't when links were added or removed
           since the poll; the row is then searched for. */
        short events = hint < count && fds[hint].fd == link->fd
                           ? fds[hint].revents
                           : find_events(fds, count, link->fd);
        next = TAILQ_NEXT(link, link);
        hint++;
        run_link(peer, link, events);
        check_timeouts(peer, link);
    }
    for (link = TAILQ_FIRST(&peer->links); link != NULL; link = next) {
        next = TAILQ_NEXT(link, link);
        if (link->must_close) {
            close_link(peer, link);
        }
    }
    accept_links(peer);
}

static PeerLink *
add_link(Peer *peer, int fd, bool outgoing)
{
    PeerLink *link = g_new0(PeerLink, 1);
    int on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    link->fd = fd;
    link->outgoing = outgoing;
    if (peer->tls != NULL) {
        link->tls = Tls_BeginSession(peer->tls, fd, outgoing);
    }
    link->in = g_byte_array_new();
    link->out = g_byte_array_new();
    link->opened_us = peer->now_us;
    link->last_received_us = peer->now_us;
    link->last_work_frame_us = peer->now_us;
    link->last_frame_us = peer->now_us;
    TAILQ_INSERT_TAIL(&peer->links, link, link);
    peer->link_count++;
    return link;
}

static void
close_link(Peer *peer, PeerLink *link)
{
    char vm[PEER_VM_MAX];
    bool current = g_hash_table_lookup(peer->link_by_vm, link->vm) == link;
    /* The VM at the other end of an idle link may well be alive, so the end of
       such a link is not reported as a failure. */
    bool unused =
        link->hello_received && link->ping_sent_us == 0 &&
        peer->now_us - link->last_work_frame_us > PEER_PING_WINDOW_US;

    g_strlcpy(vm, link->vm, sizeof(vm));
    if (current) {
        g_hash_table_remove(peer->link_by_vm, link->vm);
    }
    free_link(peer, link);
    if (current && !unused) {
        peer->options.on_link_down(peer->options.context, vm);
    }
}

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
    char ip[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    g_strlcpy(ip, text, (gsize)(colon - text) + 1);
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
    return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

static PeerLink *
open_link(Peer *peer, const char *vm)
{
    const char *text = peer->options.find_address(peer->options.context, vm);
    struct sockaddr_in address = {0};
    PeerLink *link;
    int fd;

    if (text == NULL || !parse_address(text, &address)) {
        return NULL;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    Met_Add(MET_PEER_CONNECTS, 1);
    link = add_link(peer, fd, true);
    link->connecting = true;
    g_strlcpy(link->vm, vm, sizeof(link->vm));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        link->must_close = true;
    }
    g_hash_table_insert(peer->link_by_vm, link->vm, link);
    queue_hello(peer, link);
    return link;
}

static void
queue_frame(Peer *peer, PeerLink *link, const Wire__Frame *frame)
{
    size_t size = wire__frame__get_packed_size(frame);
    guint32 header = htonl((guint32)size);
    guint begin = link->out->len;

    (void)peer;
    if (link->must_close ||
        begin + size + PEER_HEADER_BYTES > PEER_QUEUE_BYTES_MAX ||
        size > PEER_FRAME_BYTES_MAX) {
        link->must_close = true;
        return;
    }
    g_byte_array_append(link->out, (const guint8 *)&header, PEER_HEADER_BYTES);
    g_byte_array_set_size(link->out, begin + PEER_HEADER_BYTES + (guint)size);
    wire__frame__pack(frame, link->out->data + begin + PEER_HEADER_BYTES);
}

static void
queue_hello(Peer *peer, PeerLink *link)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Hello hello = WIRE__HELLO__INIT;

    hello.vm = peer->vm;
    hello.incarnation = peer->options.incarnation;
    frame.body_case = WIRE__FRAME__BODY_HELLO;
    frame.hello = &hello;
    queue_frame(peer, link, &frame);
}

static void
accept_links(Peer *peer)
{
    int fd;

    while ((fd = accept4(peer->listener, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        if (peer->link_count >= PEER_LINKS_MAX) {
            close(fd);
            continue;
        }
        queue_hello(peer, add_link(peer, fd, false));
    }
}

/* Checks the first frame of a link, a Hello, and identifies the VM at its
   other end. Returns false when the link must be rejected. */
static bool
accept_hello(Peer *peer, PeerLink *link, const Wire__Frame *frame)
{
    if (frame->body_case != WIRE__FRAME__BODY_HELLO ||
        frame->hello->vm[0] == '\0' ||
        strlen(frame->hello->vm) >= sizeof(link->vm) ||
        strcmp(frame->hello->vm, peer->vm) == 0) {
        return false;
    }
    if (link->outgoing && strcmp(link->vm, frame->hello->vm) != 0) {
        return false; /* The address now belongs to another VM. */
    }
    link->hello_received = true;
    if (!link->outgoing) {
        g_strlcpy(link->vm, frame->hello->vm, sizeof(link->vm));
        if (g_hash_table_lookup(peer->link_by_vm, link->vm) == NULL) {
            g_hash_table_insert(peer->link_by_vm, link->vm, link);
        }
    }
    return true;
}

static void
answer_ping(Peer *peer, PeerLink *link, const Wire__Ping *ping)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Pong pong = WIRE__PONG__INIT;

    pong.number = ping->number;
    frame.body_case = WIRE__FRAME__BODY_PONG;
    frame.pong = &pong;
    queue_frame(peer, link, &frame);
}

static void
handle_frame(Peer *peer, PeerLink *link, const Wire__Frame *frame)
{
    if (!link->hello_received && !accept_hello(peer, link, frame)) {
        Met_Add(MET_PEER_FRAMES_BAD, 1);
        link->must_close = true;
        return;
    }
    if (frame->body_case == WIRE__FRAME__BODY_PING) {
        answer_ping(peer, link, frame->ping);
        return;
    }
    if (frame->body_case == WIRE__FRAME__BODY_PONG) {
        return;
    }
    record_frame_time(peer, link, frame);
    peer->options.on_frame(peer->options.context, link->vm, frame);
}

/* Handles the complete frames among the received bytes. */
static void
handle_received_frames(Peer *peer, PeerLink *link)
{
    guint begin = 0;

    while (!link->must_close && link->in->len - begin >= PEER_HEADER_BYTES) {
        guint32 header;
        guint32 size;
        Wire__Frame *frame;
        memcpy(&header, link->in->data + begin, PEER_HEADER_BYTES);
        size = ntohl(header);
        if (size > (link->hello_received ? PEER_FRAME_BYTES_MAX
                                         : PEER_HELLO_BYTES_MAX)) {
            Met_Add(MET_PEER_FRAMES_BAD, 1);
            link->must_close = true;
            break;
        }
        if (link->in->len - begin - PEER_HEADER_BYTES < size) {
            break;
        }
        frame = wire__frame__unpack(
            NULL, size, link->in->data + begin + PEER_HEADER_BYTES);
        if (frame == NULL) {
            Met_Add(MET_PEER_FRAMES_BAD, 1);
            link->must_close = true;
            break;
        }
        begin += PEER_HEADER_BYTES + size;
        handle_frame(peer, link, frame);
        wire__frame__free_unpacked(frame, NULL);
    }
    if (begin > 0) {
        g_byte_array_remove_range(link->in, 0, begin);
    }
}

static ssize_t
receive(PeerLink *link, void *data, size_t size)
{
    return link->tls != NULL ? Tls_Read(link->tls, data, size)
                             : recv(link->fd, data, size, 0);
}

static void
read_link(Peer *peer, PeerLink *link)
{
    guint8 buffer[PEER_READ_BYTES];
    ssize_t received;

    while (!link->must_close &&
           (received = receive(link, buffer, sizeof(buffer))) != 0) {
        if (received < 0) {
            link->must_close = errno != EAGAIN && errno != EINTR;
            return;
        }
        Met_Add(MET_PEER_BYTES_RECEIVED, (uint64_t)received);
        link->last_received_us = peer->now_us;
        link->ping_sent_us = 0;
        g_byte_array_append(link->in, buffer, (guint)received);
        handle_received_frames(peer, link);
    }
    link->must_close = true;
}

static void
write_link(Peer *peer, PeerLink *link)
{
    ssize_t sent =
        link->tls != NULL
            ? Tls_Write(link->tls, link->out->data, link->out->len)
            : send(link->fd, link->out->data, link->out->len, MSG_NOSIGNAL);

    (void)peer;
    if (sent < 0) {
        link->must_close =
            link->must_close || (errno != EAGAIN && errno != EINTR);
        return;
    }
    Met_Add(MET_PEER_BYTES_SENT, (uint64_t)sent);
    g_byte_array_remove_range(link->out, 0, (guint)sent);
}

static void
queue_ping(Peer *peer, PeerLink *link)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Ping ping = WIRE__PING__INIT;

    frame.body_case = WIRE__FRAME__BODY_PING;
    frame.ping = &ping;
    link->ping_sent_us = peer->now_us;
    queue_frame(peer, link, &frame);
}

/* Closes the link after a timeout (connect, Hello, Pong or idle) and sends a
   ping when one is due. */
static void
check_timeouts(Peer *peer, PeerLink *link)
{
    int64_t now = peer->now_us;

    if (link->must_close) {
        return;
    }
    if ((link->connecting &&
         now - link->opened_us > PEER_CONNECT_TIMEOUT_US) ||
        (!link->hello_received &&
         now - link->opened_us > PEER_HELLO_TIMEOUT_US) ||
        (link->ping_sent_us != 0 &&
         now - link->ping_sent_us > PEER_PONG_TIMEOUT_US) ||
        now - link->last_frame_us > PEER_IDLE_TIMEOUT_US) {
        link->must_close = true;
        return;
    }
    if (link->hello_received && link->ping_sent_us == 0 &&
        now - link->last_work_frame_us < PEER_PING_WINDOW_US &&
        now - link->last_received_us > PEER_PING_DELAY_US) {
        queue_ping(peer, link);
    }
}
