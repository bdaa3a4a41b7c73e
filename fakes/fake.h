/* Fake: what the stand-ins share: an ulfius server on a port, flags and JSON
   answers. */
#ifndef FAKE_H
#define FAKE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

/* Starts a server on 127.0.0.1; exits the process when it can't. */
void Fake_StartServer(struct _u_instance *instance, uint16_t port);
/* Runs until SIGTERM or SIGINT, or for at most this many seconds. */
void Fake_WaitForStop(int seconds_max);
/* The value of "--name VALUE" among the arguments, or the fallback. */
const char *Fake_GetFlag(int argc, char **argv, const char *name,
                         const char *fallback);
long Fake_GetNumber(int argc, char **argv, const char *name, long fallback);
/* The request's body as JSON, whatever type it says it has, or NULL. */
json_t *Fake_LoadBody(const struct _u_request *request);
/* Answers with a JSON object and takes its reference. */
int Fake_Answer(struct _u_response *response, unsigned int status,
                json_t *body);
/* Answers {"error":{"code":CODE}}. */
int Fake_Refuse(struct _u_response *response, unsigned int status,
                const char *code);

#endif
