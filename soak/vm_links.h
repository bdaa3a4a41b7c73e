/* VM links (VmLinks_): carries the datagrams and connections between the VMs
   of a soak test, and theirs to the store, and cuts VMs off. Each VM
   advertises an address of the links instead of its own. */
#ifndef LS_VM_LINKS_H
#define LS_VM_LINKS_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct VmLinks VmLinks;

/* What a cut takes from a VM. */
typedef enum VmLinksCut {
    VM_LINKS_WHOLE,
    /* Messages to and from VMs that are not cut off, and connections of other
       VMs to it. Its own connections to them pass: the links can't tell which
       VM opens one. */
    VM_LINKS_CUT_VMS,
    VM_LINKS_CUT_VMS_AND_STORE,
} VmLinksCut;

/* VM number i listens for the others at 127.0.1.i+1, port `port`, and
   advertises 127.0.2.i+1 with the same port. */
VmLinks *VmLinks_New(struct event_base *base, guint vm_count, uint16_t port,
                     uint16_t store_port);
void VmLinks_Free(VmLinks *links);
/* Returns the port of 127.0.0.1 at which the VM reaches the store. */
uint16_t VmLinks_GetStorePort(const VmLinks *links, guint vm);
void VmLinks_SetCut(VmLinks *links, guint vm, VmLinksCut cut);

#endif
