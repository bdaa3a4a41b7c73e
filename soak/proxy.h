/* Fault-injecting TCP proxy of a soak test (Prx_): forwards connections on
   loopback and can delay, block or reset them. */
#ifndef LS_PROXY_H
#define LS_PROXY_H

#include <event2/event.h>
#include <stdint.h>

#define PRX_SLOW_MS 150 /* delay of each chunk in PRX_SLOW mode */

typedef enum PrxMode {
    PRX_PASS,   /* forwards at once */
    PRX_SLOW,   /* delays both directions by PRX_SLOW_MS */
    PRX_SILENT, /* blocks both directions; connections stay open */
    PRX_MUTE,   /* blocks responses and forwards requests */
    PRX_MODE_COUNT,
} PrxMode;

typedef struct Prx Prx;

/* Listens on a free port of 127.0.0.1 and forwards to `target_port` of the
   same address. */
Prx *Prx_New(struct event_base *base, uint16_t target_port);
/* Resets all connections and closes the listener. */
void Prx_Free(Prx *prx);
/* Returns the port on which the proxy listens. */
uint16_t Prx_GetPort(const Prx *prx);
/* Sets the port to which new connections are forwarded. */
void Prx_SetTarget(Prx *prx, uint16_t target_port);
/* Sets the mode of all connections, and forwards blocked bytes that the new
   mode permits. */
void Prx_SetMode(Prx *prx, PrxMode mode);
/* Closes all connections with a TCP reset. */
void Prx_ResetAll(Prx *prx);

#endif
