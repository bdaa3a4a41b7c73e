/* Configuration reader (Cfg_): reads the published configuration and the
   platform's VM list. It watches the configuration service, which has Consul's
   KV interface, with one blocking read at a time, and requests newer versions
   from peers, so that a single VM that reaches the service supplies all
   others. A version is accepted only if it is higher than the active one. */
#ifndef LS_CONFIG_READER_H
#define LS_CONFIG_READER_H

#include "board.h"

/* Time that the service may hold a blocking read open, and the timeout of such
   a read. */
#define CFG_WATCH_WAIT_S 30
#define CFG_WATCH_TIMEOUT_US ((CFG_WATCH_WAIT_S + 10) * CLK_US_PER_S)
/* Timeout of reading one part. */
#define CFG_PART_TIMEOUT_US (3 * CLK_US_PER_S)
/* Mean delay before the next read after a failure; jittered by +-50 %. */
#define CFG_RETRY_DELAY_US CLK_US_PER_S
/* Least time from a request to a peer until Cfg_OnTick sends another. Each
   heartbeat also triggers a request, if a peer announced a newer version. */
#define CFG_PEER_REQUEST_INTERVAL_US (500 * CLK_US_PER_MS)
/* The VM list is read at the longer of these two intervals. The second one is
   multiplied by the number of VMs, so that the bytes read per second do not
   grow with the list. */
#define CFG_LIST_INTERVAL_US (5 * CLK_US_PER_S)
#define CFG_LIST_INTERVAL_PER_VM_US (100 * CLK_US_PER_MS)

typedef struct CfgOptions {
    const char *service_address; /* "IP:port", or NULL for none */
    const char *list_address;    /* "IP:port", or NULL for none */
    const char *prefix; /* Key prefix, without leading or trailing slash. */
} CfgOptions;

typedef struct Cfg Cfg;

CfgOptions Cfg_DefaultOptions(void);
Cfg *Cfg_New(const CfgOptions *options); /* Copies the options' strings. */
void Cfg_Free(Cfg *cfg);
/* Starts the reads and the requests to peers that are due, and aborts a read
   of the configuration that timed out. */
void Cfg_OnTick(Cfg *cfg, Board *board);
/* Handles configuration requests and snapshots, and heartbeats, which announce
   a peer's configuration version. Ignores other frames. */
void Cfg_OnFrame(Cfg *cfg, Board *board, const char *vm,
                 const Wire__Frame *frame);
/* Returns why the last rejected configuration was rejected, or an empty string
   if none was rejected since the last accepted one. */
const char *Cfg_GetLastError(const Cfg *cfg);

#endif
