/* Node: runs one daemon process. Its event loop owns the board, passes network
   events to the controllers and carries out their output: frames to peers,
   HTTP calls to upstreams and answers to callers. */
#ifndef LS_NODE_H
#define LS_NODE_H

#include "settings.h"

typedef struct Node Node;

/* Binds the listeners. Returns NULL with *err filled in if that fails. */
Node *Node_New(const SetSettings *settings, LsError *err);
/* Runs the event loop until a shutdown is complete. Returns the process's exit
   code, ERR_EXIT_OK or ERR_EXIT_UNFINISHED. */
int Node_Run(Node *node);
/* Begins a graceful shutdown. A second call ends the process without waiting
   for requests in progress. Safe to call from a signal handler. */
void Node_RequestStop(Node *node);
void Node_Free(Node *node);

#endif
