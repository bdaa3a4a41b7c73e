/* Sockets (Sock_): finds the socket of a client's connection by the client's
   address. ulfius gives request handlers the address but not the socket,
   which they need to check whether the client closed the connection. It also
   gives them no trailers, and values only up to a NUL. */
#ifndef LS_SOCK_H
#define LS_SOCK_H

#include <microhttpd.h>
#include <stdbool.h>
#include <sys/socket.h>

typedef struct Sock Sock;

Sock *Sock_New(void);
void Sock_Free(Sock *sock);
/* Callback for MHD_OPTION_NOTIFY_CONNECTION, with a Sock as context. */
void Sock_Notify(void *context, struct MHD_Connection *connection,
                 void **socket_context,
                 enum MHD_ConnectionNotificationCode code);
/* Returns the descriptor of the connection from a client's address, or -1. */
int Sock_Find(Sock *sock, const struct sockaddr *client);
/* Returns whether all fields and trailers of the current request of a client
   are valid. To be called from the thread of its connection only. */
bool Sock_HasValidFields(Sock *sock, const struct sockaddr *client);
/* Returns whether the client closed the connection or its sending half.
   Returns false if fd is negative. */
bool Sock_IsClosed(int fd);

#endif
