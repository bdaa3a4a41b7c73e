/* Control of the virtual time (virtual_time.cc). */
#ifndef VIRTUAL_TIME_H
#define VIRTUAL_TIME_H

#include <cstdint>

void VirtualTime_Stop(int64_t ms, bool is_suspended);

#endif
