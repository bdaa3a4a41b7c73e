/* Arrival: see arrival.h. */
#include "arrival.h"

#include "../clock.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* A shorter wait is an ordinary one. */
#define ARRIVAL_LATE_US (50 * CLK_US_PER_MS)

int64_t
Arrival_GetWait(int fd)
{
    struct tcp_info info;
    socklen_t size = sizeof(info);
    int64_t wait_us;

    memset(&info, 0, sizeof(info));
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return 0;
    }
    wait_us = (int64_t)info.tcpi_last_data_recv * CLK_US_PER_MS;
    return wait_us < ARRIVAL_LATE_US ? 0 : wait_us;
}
