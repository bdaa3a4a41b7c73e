/* Release (Release_): plays an incident in a soak test. While some VMs are out
   of step, cut off from the others or standing still, workers of a new
   software version join and begin streams through the other VMs. These break,
   and callers take them up at any VM. */
#ifndef LS_RELEASE_H
#define LS_RELEASE_H

#include "sim_platform.h"
#include "vm_links.h"

/* Until then all VMs know one version only, for longer than callers wait. */
#define RELEASE_QUIET_MS 21000

typedef struct ReleaseOptions {
    struct event_base *base;
    GRand *rand;
    Sim *sim;
    VmLinks *links;
    guint vm_count; /* At least 2. */
    void *context;
    /* Stops and continues a VM's process. */
    void (*set_paused)(void *context, guint vm, bool is_paused);
    void (*kill_vm)(void *context, guint vm);
} ReleaseOptions;

typedef struct Release Release;

/* Begins RELEASE_QUIET_MS later. */
Release *Release_New(const ReleaseOptions *options);
/* Ends what is left of it. NULL is allowed. */
void Release_Free(Release *release);

#endif
