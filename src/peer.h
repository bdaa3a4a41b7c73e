/* Peer: TCP links between the daemons. A frame is a 4-byte big-endian length
   and a wire.Frame. All calls come from the thread that owns the board. */
#ifndef LS_PEER_H
#define LS_PEER_H

#include "err.h"
#include "peer.pb-c.h"

#include <glib.h>
#include <poll.h>
#include <stdint.h>

#define PEER_FRAME_BYTES_MAX (16 * 1024 * 1024) /* Bytes of one frame. */
#define PEER_HELLO_BYTES_MAX 1024               /* Bytes of a first frame. */
#define PEER_QUEUE_BYTES_MAX                                                  \
    (32 * 1024 * 1024) /* Bytes waiting on one link. */

typedef struct PeerOptions {
    const char *vm;
    uint64_t incarnation;
    const char *bind_address; /* IP number. */
    uint16_t port;            /* 0 takes any free port. */
    const char *key_hex;      /* Pre-shared key; NULL allows loopback only. */
    void *context;
    /* Address "IP:port" of a VM, or NULL. */
    const char *(*find_address)(void *context, const char *vm);
    void (*on_frame)(void *context, const char *vm, const Wire__Frame *frame);
    void (*on_link_down)(void *context, const char *vm);
} PeerOptions;

typedef struct Peer Peer;

PeerOptions Peer_DefaultOptions(void);
/* Listens; returns NULL with *err filled in when it can't. */
Peer *Peer_New(const PeerOptions *options, LsError *err);
void Peer_Free(Peer *peer);
uint16_t Peer_GetPort(const Peer *peer);
/* Sends a frame, opening a link first when there is none. */
void Peer_SendFrame(Peer *peer, const char *vm, const Wire__Frame *frame);
/* Appends the descriptors to wait for to an array of struct pollfd. */
void Peer_AddPollFds(Peer *peer, GArray *fds);
/* Reads and writes what the descriptors allow, and checks the timeouts. */
void Peer_Run(Peer *peer, const struct pollfd *fds, guint count,
              int64_t now_us);

#endif
