/* Peer: exchanges frames with the other daemons over TCP links. A frame is a
   4-byte big-endian length followed by a wire.Frame message
   (proto/peer.proto). All functions must be called from the thread that owns
   the board. */
#ifndef LS_PEER_H
#define LS_PEER_H

#include "errors.h"
#include "peer.pb-c.h"

#include <glib.h>
#include <poll.h>
#include <stdint.h>

#define PEER_FRAME_BYTES_MAX (16 * 1024 * 1024) /* Largest frame. */
#define PEER_HELLO_BYTES_MAX 1024 /* Largest first frame of a link. */
/* Most unsent data of a link. */
#define PEER_QUEUE_BYTES_MAX (32 * 1024 * 1024)

typedef struct PeerOptions {
    const char *vm;           /* Identifier of this VM. */
    uint64_t incarnation;     /* Higher at each start of the process. */
    const char *bind_address; /* IPv4 address of the listener. */
    uint16_t port;            /* 0 selects a free port */
    const char *key_hex;      /* Pre-shared key; NULL allows loopback only. */
    void *context;            /* First argument of the callbacks. */
    /* Returns the address "IP:port" of a VM, or NULL if it isn't known. */
    const char *(*find_address)(void *context, const char *vm);
    /* Handles each frame other than a Ping or Pong, Hello included. */
    void (*on_frame)(void *context, const char *vm, const Wire__Frame *frame);
    /* Handles the failure of the link that frames to a VM are sent on. It
       isn't called when an idle link is closed. */
    void (*on_link_down)(void *context, const char *vm);
} PeerOptions;

typedef struct Peer Peer;

PeerOptions Peer_DefaultOptions(void);
/* Opens the listener. Returns NULL with *err filled in when the address or the
   key can't be used. */
Peer *Peer_New(const PeerOptions *options, LsError *err);
void Peer_Free(Peer *peer);
uint16_t Peer_GetPort(const Peer *peer);
/* Queues a frame for a VM and opens a link if there is none. The frame is lost
   if the VM has no address or the link fails. A frame that exceeds
   PEER_FRAME_BYTES_MAX or PEER_QUEUE_BYTES_MAX closes the link. */
void Peer_SendFrame(Peer *peer, const char *vm, const Wire__Frame *frame);
/* Appends the descriptors to poll to an array of struct pollfd. */
void Peer_AddPollFds(Peer *peer, GArray *fds);
/* Reads and writes according to the polled events, and closes links that timed
   out. */
void Peer_Run(Peer *peer, const struct pollfd *fds, guint count,
              int64_t now_us);

#endif
