/* Detour: the services whose workers this VM can't reach. */
#ifndef LS_DETOUR_H
#define LS_DETOUR_H

#include "gate.h"

#include <sys/queue.h>

/* A service of whose workers some were called in vain. */
typedef struct DetourService {
    LIST_ENTRY(DetourService) links;
    char name[FLEET_NAME_MAX];
    bool is_cut; /* This VM is cut off from its workers (decide/reach.h). */
    int64_t changed_us;
} DetourService;

/* Returns whether this VM is cut off from the service, and logs changes. */
bool Detour_IsCut(Gate *gate, const char *service);
/* Frees all services. */
void Detour_Clear(Gate *gate);

#endif
