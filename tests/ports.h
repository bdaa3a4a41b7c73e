/* Ports of the listeners of tests. */
#ifndef PORTS_H
#define PORTS_H

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <random>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>
#include <vector>

/* Ports for listeners. They are below the range from which the system takes
   the ports of outgoing connections: one of those could take it before it is
   used. Each process of tests claims blocks of them until it ends: a VM that
   gets a port at which a VM of another process ended would hear what that
   one's fleet still sends there, and both fleets would become one. */
class PortBlocks {
  public:
    static const int first = 10240;
    static const int last = 32767;
    static const int size = 128;
    static const int claims_max = 4;

    /* Returns a port of this process's blocks; they are used in turn. 0: all
       blocks are claimed. */
    uint16_t
    Next()
    {
        if (next_ == (int)starts_.size() * size) {
            if ((int)starts_.size() == claims_max || !Claim()) {
                next_ = 0;
            }
        }
        if (starts_.empty()) {
            return 0;
        }
        int port = starts_[(size_t)(next_ / size)] + next_ % size;
        next_++;
        return (uint16_t)port;
    }

  private:
    /* The claim is a socket with the block's name, which the system drops as
       the process ends. */
    bool
    Claim()
    {
        const int count = (last + 1 - first) / size;
        std::random_device random;
        int begin = std::uniform_int_distribution<int>(0, count - 1)(random);
        for (int i = 0; i < count; i++) {
            int start = first + (begin + i) % count * size;
            sockaddr_un name = {};
            name.sun_family = AF_UNIX;
            /* A leading zero byte: a name that is in no file system. */
            int length = snprintf(name.sun_path + 1, sizeof(name.sun_path) - 1,
                                  "lavenderspool-test-ports-%d", start);
            int fd = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            if (bind(fd, (sockaddr *)&name,
                     (socklen_t)(offsetof(sockaddr_un, sun_path) + 1 +
                                 (size_t)length)) == 0) {
                starts_.push_back(start);
                return true;
            }
            close(fd);
        }
        return false;
    }

    std::vector<int> starts_; /* First ports of the blocks. */
    int next_ = 0;
};

#endif
