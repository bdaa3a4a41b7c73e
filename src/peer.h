/* Peer (Peer_): TCP links between the daemons. A frame is a 4-byte big-endian
   length followed by a wire.Frame message (proto/peer.proto). All functions
   must be called from the thread that owns the board. */
#ifndef LS_PEER_H
#define LS_PEER_H

#include "errors.h"
#include "peer.pb-c.h"

#include <glib.h>
#include <poll.h>
#include <stdint.h>

#define PEER_FRAME_BYTES_MAX (16 * 1024 * 1024) /* one frame */
#define PEER_HELLO_BYTES_MAX 1024               /* first frame of a link */
#define PEER_QUEUE_BYTES_MAX (32 * 1024 * 1024) /* unsent data of a link */

typedef struct PeerOptions {
    const char *vm;
    uint64_t incarnation;
    const char *bind_address; /* IPv4 address */
    uint16_t port;            /* 0 selects a free port */
    const char *key_hex;      /* pre-shared key; NULL: loopback only */
    void *context;            /* first argument of the callbacks */
    /* Returns the address "IP:port" of a VM, or NULL if it isn't known. */
    const char *(*find_address)(void *context, const char *vm);
    void (*on_frame)(void *context, const char *vm, const Wire__Frame *frame);
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
   if the VM has no address or the link fails. */
void Peer_SendFrame(Peer *peer, const char *vm, const Wire__Frame *frame);
/* Appends the descriptors to poll to an array of struct pollfd. */
void Peer_AddPollFds(Peer *peer, GArray *fds);
/* Reads and writes according to the polled events, and closes links that timed
   out. */
void Peer_Run(Peer *peer, const struct pollfd *fds, guint count,
              int64_t now_us);

#endif
