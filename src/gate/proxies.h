/* Proxies: the other VMs that reach the workers of a service, as this VM was
   told by VMs that hear them. In a large fleet a VM hears only the hubs of its
   region; if those are cut off from the workers, too, it needs others that
   serve its requests. It holds no socket and no clock. */
#ifndef LS_PROXIES_H
#define LS_PROXIES_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Rows of all services. Beyond, the row that was told first is replaced. */
#define PROXIES_MAX 256
/* A VM's word that it reaches the workers holds for this long. */
#define PROXIES_MAX_AGE_US (1200 * CLK_US_PER_MS)

/* A VM that reaches the workers of a service. */
typedef struct Proxy {
    uint64_t service; /* Hash of the service's name. */
    uint64_t address; /* IPv4 address << 16 | port. */
    uint32_t region;  /* Hash of the region's name. */
    uint64_t worker;  /* Hash of a worker that it hears; 0: none any more. */
    int64_t heard_us; /* When it heard that one last. */
    int64_t told_us;  /* When it said so. */
    uint32_t serving; /* Requests of other VMs in progress there. */
} Proxy;

typedef struct Proxies {
    Proxy rows[PROXIES_MAX];
    uint32_t count;
} Proxies;

/* Stores what was told of a VM, unless something newer is known. */
void Proxies_Note(Proxies *proxies, const Proxy *proxy);
/* Stores the current rows of a service in `to`, up to `max`, and returns their
   number: first those of the region, each time from another one on, as `turn`
   says. */
uint32_t Proxies_List(const Proxies *proxies, uint64_t service,
                      uint32_t region, uint32_t turn, int64_t now_us,
                      Proxy *to, uint32_t max);

#endif
