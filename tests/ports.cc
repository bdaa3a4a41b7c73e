/* Gives listeners that ask for any port one of the process's blocks. The ports
   of closed connections stay taken for a minute, and a bind to any port finds
   none once many tests in virtual time have run. A socket that leaves its port
   to connect() needs a free pair of addresses only. */
#include "ports.h"

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/syscall.h>

namespace {

const int tries_max = PortBlocks::size * PortBlocks::claims_max;

int
BindTo(int fd, const sockaddr *address, socklen_t size)
{
    return (int)syscall(SYS_bind, fd, address, size);
}

/* Returns an option of the socket, or 0. */
int
GetOption(int fd, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof(value);
    return getsockopt(fd, level, name, &value, &size) == 0 ? value : 0;
}

/* Whether no other socket is bound there. One of the process may share its
   port (SO_REUSEPORT), and connections that ended are no hindrance. */
bool
IsFree(int type, const sockaddr_in &local)
{
    int on = 1;
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    bool is_free = BindTo(fd, (const sockaddr *)&local, sizeof(local)) == 0 &&
                   (type != SOCK_STREAM || listen(fd, 1) == 0);
    close(fd);
    return is_free;
}

} // namespace

extern "C" int
bind(int fd, const sockaddr *address, socklen_t size) noexcept
{
    static PortBlocks blocks;
    sockaddr_in local = {};

    if (address->sa_family != AF_INET || size < sizeof(local)) {
        return BindTo(fd, address, size);
    }
    memcpy(&local, address, sizeof(local));
    if (local.sin_port != 0 ||
        GetOption(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT) != 0) {
        return BindTo(fd, address, size);
    }
    for (int i = 0; i < tries_max; i++) {
        local.sin_port = htons(blocks.Next());
        if (local.sin_port == 0) {
            break;
        }
        if (IsFree(GetOption(fd, SOL_SOCKET, SO_TYPE), local) &&
            BindTo(fd, (sockaddr *)&local, sizeof(local)) == 0) {
            return 0;
        }
    }
    return BindTo(fd, address, size);
}
