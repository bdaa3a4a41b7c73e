/* Prx: a loopback proxy that harms the connections through it. */
#ifndef LS_PRX_H
#define LS_PRX_H

#include <event2/event.h>
#include <stdint.h>

#define PRX_SLOW_MS 150 /* Delay of each part of a slow connection. */

typedef enum PrxMode {
    PRX_PASS,
    PRX_SLOW,   /* All bytes come late. */
    PRX_SILENT, /* Nothing passes either way; connections stay open. */
    PRX_MUTE,   /* Answers don't pass, requests do. */
    PRX_MODE_COUNT,
} PrxMode;

typedef struct Prx Prx;

/* Listens on a free port of 127.0.0.1, for a server on another. */
Prx *Prx_New(struct event_base *base, uint16_t target_port);
void Prx_Free(Prx *prx);
uint16_t Prx_GetPort(const Prx *prx);
void Prx_SetTarget(Prx *prx, uint16_t target_port); /* For new connections. */
void Prx_SetMode(Prx *prx, PrxMode mode); /* Held bytes pass when it may. */
void Prx_ResetAll(Prx *prx);

#endif
