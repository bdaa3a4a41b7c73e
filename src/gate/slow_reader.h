/* Slow readers (SlowReader_): stops to read a stream from its worker while its
   caller leaves too much of it unread. */
#ifndef LS_SLOW_READER_H
#define LS_SLOW_READER_H

#include "../io/server.h"

/* Sets the options of a server whose responses may be held up, and the bound
   for all responses; `memory_mb`: as in Unread_NewSum(). */
void SlowReader_SetBounds(ServerOptions *server, UnreadSum *sum,
                          uint32_t memory_mb);
/* Callback for ServerOptions.on_unread: stops or begins to read the response
   of the exchange from its workers. */
void SlowReader_OnUnread(ServerExchange *exchange, bool is_paused);

#endif
