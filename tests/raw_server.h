/* Test rig of the client: a server on loopback that sends raw bytes, and a
   client that calls it. */
#ifndef RAW_SERVER_H
#define RAW_SERVER_H

#include "gate_rig.h"

/* A server that answers the first bytes of each connection. */
struct RawServer {
    enum End {
        KEEP,
        CLOSE,
        RESET,
        HALF_CLOSE,
        /* Once the caller has read the reply, nothing else being read. */
        CLOSE_LATER,
        RESET_LATER
    };
    event_base *base;
    evconnlistener *listener;
    std::string address;
    std::string reply;
    End end = KEEP;
    int calls = 0;
    int closed = 0;
    std::vector<bufferevent *> conns;

    explicit RawServer(event_base *event_base) : base(event_base)
    {
        sockaddr_in local = {};
        socklen_t size = sizeof(local);
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(base, OnAccept, this,
                                           LEV_OPT_CLOSE_ON_FREE, 64,
                                           (sockaddr *)&local, sizeof(local));
        getsockname(evconnlistener_get_fd(listener), (sockaddr *)&local,
                    &size);
        address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    }

    ~RawServer()
    {
        for (bufferevent *bev : conns) {
            bufferevent_free(bev);
        }
        evconnlistener_free(listener);
    }

    static void
    OnAccept(evconnlistener *listener, evutil_socket_t fd, sockaddr *, int,
             void *context)
    {
        RawServer *self = static_cast<RawServer *>(context);
        bufferevent *bev = bufferevent_socket_new(
            evconnlistener_get_base(listener), fd, BEV_OPT_CLOSE_ON_FREE);
        SetNoDelay(fd);
        bufferevent_setcb(bev, OnRead, nullptr, OnEvent, self);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
        self->conns.push_back(bev);
    }

    static void
    OnRead(bufferevent *bev, void *context)
    {
        RawServer *self = static_cast<RawServer *>(context);
        int fd = bufferevent_getfd(bev);
        evbuffer_drain(bufferevent_get_input(bev),
                       evbuffer_get_length(bufferevent_get_input(bev)));
        bufferevent_setcb(bev, OnMore, nullptr, OnEvent, self);
        self->calls++;
        EXPECT_EQ(send(fd, self->reply.data(), self->reply.size(), 0),
                  (ssize_t)self->reply.size());
        if (self->end == HALF_CLOSE) {
            shutdown(fd, SHUT_WR);
        }
        else if (self->end == CLOSE_LATER || self->end == RESET_LATER) {
            timeval delay = {0, 20000};
            bufferevent_disable(bev, EV_READ);
            event_base_once(
                self->base, -1, EV_TIMEOUT,
                [](evutil_socket_t, short, void *context) {
                    RawServer *server = static_cast<RawServer *>(context);
                    if (!server->conns.empty()) {
                        server->EndConnection(server->conns.back());
                    }
                },
                self, &delay);
        }
        else if (self->end != KEEP) {
            self->EndConnection(bev);
        }
    }

    void
    EndConnection(bufferevent *bev)
    {
        struct linger reset = {end == RESET || end == RESET_LATER, 0};
        setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
        Close(bev);
    }

    /* Discards what follows. */
    static void
    OnMore(bufferevent *bev, void *)
    {
        evbuffer_drain(bufferevent_get_input(bev),
                       evbuffer_get_length(bufferevent_get_input(bev)));
    }

    static void
    OnEvent(bufferevent *bev, short, void *context)
    {
        RawServer *self = static_cast<RawServer *>(context);
        self->closed++;
        self->Close(bev);
    }

    void
    Close(bufferevent *bev)
    {
        for (size_t i = 0; i < conns.size(); i++) {
            if (conns[i] == bev) {
                conns.erase(conns.begin() + (long)i);
                break;
            }
        }
        bufferevent_free(bev);
    }
};

/* A client that calls the server once. */
struct ClientRig {
    std::unique_ptr<event_base, void (*)(event_base *)> owned_base{
        event_base_new(), event_base_free};
    event_base *base = owned_base.get();
    Clk clk = Clk_Default();
    Client *client = Client_New(base, &clk);
    RawServer server{base};
    int heads = 0;
    int status = 0;
    std::string body;
    bool is_over = false;
    ClientOutcome outcome = CLIENT_NOT_SENT;

    ~ClientRig()
    {
        Client_Free(client);
    }

    void
    Call(const std::string &upload = "b")
    {
        ClientCallOptions options = {};
        options.address = server.address.c_str();
        options.method = "POST";
        options.target = "/";
        options.body = upload.data();
        options.body_size = upload.size();
        options.context = this;
        options.on_head = [](void *context, int status, const HeaderList *) {
            ((ClientRig *)context)->heads++;
            ((ClientRig *)context)->status = status;
        };
        options.on_data = [](void *context, const void *data, size_t size) {
            ((ClientRig *)context)->body.append((const char *)data, size);
        };
        options.on_end = [](void *context, ClientOutcome outcome) {
            ((ClientRig *)context)->outcome = outcome;
            ((ClientRig *)context)->is_over = true;
        };
        Client_BeginCall(client, &options);
        ASSERT_TRUE(RunUntil(base, &clk, [&] { return is_over; }));
    }
};

#endif
