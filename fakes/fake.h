/* Fake: shared helpers of the fake services: an HTTP server on loopback,
   command-line flags and JSON responses. */
#ifndef FAKE_H
#define FAKE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

/* Starts a server on 127.0.0.1. Exits the process if the port is not
   available. */
void Fake_StartServer(struct _u_instance *instance, uint16_t port);
/* Waits for SIGTERM or SIGINT, at most `seconds_max` seconds. */
void Fake_WaitForStop(int seconds_max);
/* Returns the value of "--name VALUE" among the arguments, or the
   fallback. */
const char *Fake_GetFlag(int argc, char **argv, const char *name,
                         const char *fallback);
/* Returns the value of a flag as a decimal number, or the fallback. */
long Fake_GetNumber(int argc, char **argv, const char *name, long fallback);
/* Parses the request body as JSON regardless of its Content-Type. Returns a
   new reference, or NULL if there is no body or it is not JSON. */
json_t *Fake_LoadBody(const struct _u_request *request);
/* Sends a JSON body and takes over its reference. Returns the callback
   result for ulfius. */
int Fake_Answer(struct _u_response *response, unsigned int status,
                json_t *body);
/* Sends {"error":{"code":CODE}}. Returns the callback result for ulfius. */
int Fake_Refuse(struct _u_response *response, unsigned int status,
                const char *code);

#endif
