/* Arrival: how long bytes have waited in a socket before they are read, as
   while the process gets no processor. */
#ifndef LS_ARRIVAL_H
#define LS_ARRIVAL_H

#include <stdint.h>

/* Returns the time, in microseconds, since the last data came to a connection
   of TCP. 0: less than 50 ms, or unknown. */
int64_t Arrival_GetWait(int fd);

#endif
