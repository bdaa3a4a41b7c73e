/* Sock: the sockets of callers, found by their addresses, so that the thread
   that serves a request can see whether its caller is still there. */
#ifndef LS_SOCK_H
#define LS_SOCK_H

#include <microhttpd.h>
#include <stdbool.h>
#include <sys/socket.h>

typedef struct Sock Sock;

Sock *Sock_New(void);
void Sock_Free(Sock *sock);
/* For MHD_OPTION_NOTIFY_CONNECTION, with a Sock as its context. */
void Sock_Notify(void *context, struct MHD_Connection *connection,
                 void **socket_context,
                 enum MHD_ConnectionNotificationCode code);
/* Descriptor of the connection from a client's address, or -1. */
int Sock_Find(Sock *sock, const struct sockaddr *client);
/* Whether the other end closed the connection, or its sending half. */
bool Sock_IsClosed(int fd);

#endif
