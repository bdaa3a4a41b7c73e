/* Proxies: which other VMs reach the workers. See proxies.h. */
#include "proxies.h"

void
Proxies_Note(Proxies *proxies, const Proxy *proxy)
{
    Proxy *oldest = &proxies->rows[0];

    for (uint32_t i = 0; i < proxies->count; i++) {
        Proxy *row = &proxies->rows[i];
        if (row->service == proxy->service && row->address == proxy->address) {
            if (proxy->told_us >= row->told_us) {
                *row = *proxy;
            }
            return;
        }
        oldest = row->told_us < oldest->told_us ? row : oldest;
    }
    if (proxy->worker == 0) {
        return;
    }
    if (proxies->count < PROXIES_MAX) {
        proxies->rows[proxies->count++] = *proxy;
    }
    else if (proxy->told_us > oldest->told_us) {
        *oldest = *proxy;
    }
}

uint32_t
Proxies_List(const Proxies *proxies, uint64_t service, uint32_t region,
             uint32_t turn, int64_t now_us, Proxy *to, uint32_t max)
{
    uint32_t count = 0;

    for (int pass = 0; pass < 2; pass++) {
        for (uint32_t i = 0; i < proxies->count && count < max; i++) {
            const Proxy *row = &proxies->rows[(i + turn) % proxies->count];
            bool is_near = row->region == region;
            if (row->service == service && is_near == (pass == 0) &&
                row->worker != 0 &&
                now_us - row->told_us < PROXIES_MAX_AGE_US) {
                to[count++] = *row;
            }
        }
    }
    return count;
}
