/* Cfg: follows the configuration service (Consul's KV form) with one
   blocking read at a time, and the platform's VM list; relays newer
   configurations between peers, so that one VM that reaches the service is
   enough. Versions only grow. */
#ifndef LS_CFG_H
#define LS_CFG_H

#include "board.h"

#define CFG_WATCH_WAIT_S 30 /* Of one blocking read. */
#define CFG_WATCH_TIMEOUT_US ((CFG_WATCH_WAIT_S + 10) * CLK_US_PER_S)
#define CFG_PART_TIMEOUT_US (3 * CLK_US_PER_S) /* Of one part's read. */
#define CFG_RETRY_DELAY_US CLK_US_PER_S        /* After a failure, jittered. */
#define CFG_PEER_REQUEST_INTERVAL_US                                          \
    (500 * CLK_US_PER_MS) /* Between asks of peers. */
#define CFG_LIST_INTERVAL_US                                                  \
    (5 * CLK_US_PER_S) /* Between reads of VM lists... */
#define CFG_LIST_INTERVAL_PER_VM_US                                           \
    (100 * CLK_US_PER_MS) /* ...and for each row. */

typedef struct CfgOptions {
    const char *service_address; /* "IP:port", or NULL for none. */
    const char *list_address;    /* "IP:port", or NULL for none. */
    const char *prefix;          /* Of the keys, without slashes around. */
} CfgOptions;

typedef struct Cfg Cfg;

CfgOptions Cfg_DefaultOptions(void);
Cfg *Cfg_New(const CfgOptions *options);
void Cfg_Free(Cfg *cfg);
void Cfg_OnTick(Cfg *cfg, Board *board);
/* Takes the frames that carry configurations; others are not touched. */
void Cfg_OnFrame(Cfg *cfg, Board *board, const char *vm,
                 const Wire__Frame *frame);
/* The last refusal of a published configuration, or an empty string. */
const char *Cfg_GetLastError(const Cfg *cfg);

#endif
