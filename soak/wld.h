/* Wld: stand-ins of the users' platform for a soak: a store that can only be
   read, and workers of a plain and of a model service, each behind a proxy. */
#ifndef LS_WLD_H
#define LS_WLD_H

#include "led.h"
#include "prx.h"

#include "clk.h"
#include "io/srv.h"

#define WLD_HOST "h.example"
#define WLD_PLAIN_COUNT 3
#define WLD_PREFILL_COUNT 2
#define WLD_DECODE_COUNT 4
#define WLD_WORKER_COUNT                                                      \
    (WLD_PLAIN_COUNT + WLD_PREFILL_COUNT + WLD_DECODE_COUNT)
#define WLD_DRAIN_MS 2500 /* The sheets' drain-ms. */

typedef enum WldStoreState {
    WLD_STORE_NORMAL,
    WLD_STORE_DOWN,       /* Answers 503. */
    WLD_STORE_SLOW,       /* Answers late. */
    WLD_STORE_NO_HISTORY, /* Has no history. */
} WldStoreState;

typedef struct Wld Wld;

Wld *Wld_New(struct event_base *base, const Clk *clk, Led *led, GRand *rand);
void Wld_Free(Wld *wld);
Prx *Wld_GetStoreProxy(const Wld *wld);
Prx *Wld_GetWorkerProxy(const Wld *wld, guint worker);
void Wld_SetStoreState(Wld *wld, WldStoreState store);
/* Something keeps the VMs from hearing the store or the workers' leaving:
   no worker's leaving is judged that came before its end. */
void Wld_RecordDisruption(Wld *wld);
void Wld_ChangeConfig(Wld *wld);
void Wld_CrashWorker(Wld *wld, guint worker); /* Its entry stays. */
void Wld_StartWorker(Wld *wld, guint worker); /* Under a new identity. */
void Wld_DrainWorker(Wld *wld, guint worker);
/* Share of runs whose answer is lost, or is the worker's own failure. */
void Wld_SetFailures(Wld *wld, double lost, double failed);
uint32_t Wld_CountEvents(const char *id); /* Of the stream of a request. */

#endif
