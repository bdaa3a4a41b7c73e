/* HTTP client, sockets (ClientSocket_): the sockets of its connections. */
#ifndef LS_CLIENT_SOCKET_H
#define LS_CLIENT_SOCKET_H

#include <netinet/in.h>

/* Reads an address, "IP:port". One that can't be read has the port 0, to which
   nothing connects. */
struct sockaddr_in ClientSocket_ReadAddress(const char *address);
/* Opens a socket that doesn't block. It sends at once, and its connection is
   reset when the other host is silent. */
int ClientSocket_Open(void);

#endif
