/* Links between the VMs of a soak test. See vm_links.h. */
#include "vm_links.h"

#include "ledger.h"
#include "proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define VM_LINKS_DATAGRAM_MAX (64 * 1024)
/* 127.0.1.0 and 127.0.2.0: the VMs' own addresses and those of the links. */
#define VM_LINKS_VM_NET 0x7f000100u
#define VM_LINKS_NET 0x7f000200u

typedef struct VmLink {
    VmLinks *links;
    guint vm;
    int fd; /* Datagrams to the VM. */
    struct event *readable;
    Proxy *connections; /* To the VM. */
    Proxy *store;       /* From the VM to the store. */
    VmLinksCut cut;
} VmLink;

struct VmLinks {
    uint16_t port;
    guint vm_count;
    VmLink rows[LEDGER_VMS_MAX];
};

static void open_link(struct event_base *base, VmLink *link,
                      uint16_t store_port);
static void on_datagram(evutil_socket_t fd, short what, void *context);
static bool is_passed(const VmLinks *links, const VmLink *to, guint from);
static struct sockaddr_in get_address(uint32_t net, guint vm, uint16_t port);

VmLinks *
VmLinks_New(struct event_base *base, guint vm_count, uint16_t port,
            uint16_t store_port)
{
    VmLinks *links = g_new0(VmLinks, 1);

    links->port = port;
    links->vm_count = vm_count;
    for (guint i = 0; i < vm_count; i++) {
        links->rows[i].links = links;
        links->rows[i].vm = i;
        open_link(base, &links->rows[i], store_port);
    }
    return links;
}

void
VmLinks_Free(VmLinks *links)
{
    if (links == NULL) {
        return;
    }
    for (guint i = 0; i < links->vm_count; i++) {
        event_free(links->rows[i].readable);
        close(links->rows[i].fd);
        Proxy_Free(links->rows[i].connections);
        Proxy_Free(links->rows[i].store);
    }
    g_free(links);
}

uint16_t
VmLinks_GetStorePort(const VmLinks *links, guint vm)
{
    return Proxy_GetPort(links->rows[vm].store);
}

void
VmLinks_SetCut(VmLinks *links, guint vm, VmLinksCut cut)
{
    VmLink *link = &links->rows[vm];

    link->cut = cut;
    Proxy_SetMode(link->connections,
                  cut == VM_LINKS_WHOLE ? PROXY_PASS : PROXY_SILENT);
    Proxy_SetMode(link->store, cut == VM_LINKS_CUT_VMS_AND_STORE ? PROXY_SILENT
                                                                 : PROXY_PASS);
}

static void
open_link(struct event_base *base, VmLink *link, uint16_t store_port)
{
    struct sockaddr_in own =
        get_address(VM_LINKS_NET, link->vm, link->links->port);
    struct sockaddr_in vm =
        get_address(VM_LINKS_VM_NET, link->vm, link->links->port);

    link->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (bind(link->fd, (struct sockaddr *)&own, sizeof(own)) != 0) {
        g_error("soak: can't bind the link of VM %u", link->vm);
    }
    link->readable =
        event_new(base, link->fd, EV_READ | EV_PERSIST, on_datagram, link);
    event_add(link->readable, NULL);
    link->connections = Proxy_NewBetween(base, &own, &vm);
    link->store = Proxy_New(base, store_port);
}

static void
on_datagram(evutil_socket_t fd, short what, void *context)
{
    const VmLink *link = context;
    struct sockaddr_in to =
        get_address(VM_LINKS_VM_NET, link->vm, link->links->port);
    struct sockaddr_in from = {0};
    socklen_t size = sizeof(from);
    uint8_t data[VM_LINKS_DATAGRAM_MAX];
    ssize_t length;

    (void)what;
    while ((length = recvfrom(fd, data, sizeof(data), 0,
                              (struct sockaddr *)&from, &size)) >= 0) {
        guint sender = ntohl(from.sin_addr.s_addr) - VM_LINKS_VM_NET - 1;
        if (is_passed(link->links, link, sender)) {
            /* A datagram that can't be sent is lost, as on any link. */
            (void)!sendto(fd, data, (size_t)length, 0, (struct sockaddr *)&to,
                          sizeof(to));
        }
        size = sizeof(from);
    }
}

/* VMs that are cut off together hear each other. */
static bool
is_passed(const VmLinks *links, const VmLink *to, guint from)
{
    return from < links->vm_count &&
           (links->rows[from].cut == VM_LINKS_WHOLE) ==
               (to->cut == VM_LINKS_WHOLE);
}

static struct sockaddr_in
get_address(uint32_t net, guint vm, uint16_t port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(net + vm + 1),
    };

    return address;
}
