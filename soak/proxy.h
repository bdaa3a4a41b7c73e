/* Proxy: forwards TCP connections on loopback for a soak test, and can delay,
   block or reset them to inject faults. */
#ifndef LS_PROXY_H
#define LS_PROXY_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define PROXY_SLOW_MS 150   /* Delay of each chunk in PROXY_SLOW mode. */
#define PROXY_DRIBBLE_MS 40 /* Time between bytes in PROXY_DRIBBLE mode. */
/* Bytes of each piece in PROXY_ENDLESS mode; the next one follows when it was
   written. */
#define PROXY_ENDLESS_BYTES (16 * 1024)

typedef enum ProxyMode {
    PROXY_PASS,    /* Forwards at once. */
    PROXY_SLOW,    /* Delays both directions by PROXY_SLOW_MS. */
    PROXY_SILENT,  /* Blocks both directions; connections stay open. */
    PROXY_MUTE,    /* Blocks responses and forwards requests. */
    PROXY_DRIBBLE, /* Forwards responses byte by byte. */
    PROXY_ENDLESS, /* Appends bytes to responses until the client closes. */
    PROXY_MODE_COUNT,
} ProxyMode;

typedef struct Proxy Proxy;

/* Listens on a free port of 127.0.0.1 and forwards to `target_port` of the
   same address. */
Proxy *Proxy_New(struct event_base *base, uint16_t target_port);
/* Resets all connections and closes the listener. */
/* The same between any two addresses. */
Proxy *Proxy_NewBetween(struct event_base *base,
                        const struct sockaddr_in *listen,
                        const struct sockaddr_in *target);
void Proxy_Free(Proxy *proxy);
/* Returns the port on which the proxy listens. */
uint16_t Proxy_GetPort(const Proxy *proxy);
/* Sets the port to which new connections are forwarded. */
void Proxy_SetTarget(Proxy *proxy, uint16_t target_port);
/* Sets the mode of all connections, and forwards blocked bytes that the new
   mode permits. At the end of PROXY_ENDLESS all connections are reset. */
void Proxy_SetMode(Proxy *proxy, ProxyMode mode);
/* While held, the proxy passes no bytes in any mode; connections stay open,
   and what was held back follows afterwards. */
void Proxy_SetHeld(Proxy *proxy, bool is_held);
/* Closes all connections with a TCP reset. */
void Proxy_ResetAll(Proxy *proxy);

#endif
