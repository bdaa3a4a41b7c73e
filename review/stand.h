/* Stand-ins of the second review (Stn_): a store, workers, callers, a proxy
   and gate processes on loopback addresses. Blocking sockets, a thread for
   each connection. */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STN_ADDRESS_MAX 32 /* "IP:port" */
#define STN_GATES_MAX 3
#define STN_HEAD_MAX 8192
/* Exit statuses of a case. */
#define STN_HELD 0
#define STN_BROKEN 1
#define STN_NOT_RUN 2

/* A request that a stand-in has read. */
typedef struct StnRequest {
    int fd;
    char method[16];
    char target[512];
    char head[STN_HEAD_MAX];
    char *body;
    size_t body_size;
} StnRequest;

/* Answers a request. Returns whether the connection is kept. */
typedef bool (*StnHandler)(void *context, const StnRequest *request);

typedef struct StnStore StnStore;
typedef struct StnProxy StnProxy;

/* What differs between the settings of deployments. */
typedef struct StnSettings {
    const char *zone;
    const char *region;
    int memory_mb;
    int stable_ms;
    int ack_ms;
    int drain_ms;
    int config_ms;
    int skew_max_ms;
    int budget_slack;
} StnSettings;

extern const StnSettings Stn_ZupanNajem;            /* sites/ */
extern const StnSettings Stn_ValdiviesoClaimsGrown; /* demands/ */

/* A gate process, at an IP address of its own. */
typedef struct StnGate {
    pid_t pid;
    char ip[STN_ADDRESS_MAX];
    char front[STN_ADDRESS_MAX];
    char ready[STN_ADDRESS_MAX];
    char control[STN_ADDRESS_MAX];
} StnGate;

/* What a caller has received. */
typedef struct StnAnswer {
    int status;       /* 0: no answer. */
    bool is_complete; /* By its framing. */
    size_t body_size;
    char head[STN_HEAD_MAX];
} StnAnswer;

/* Opens record.txt in the case's folder; reads TROUBLE. */
void Stn_Begin(const char *dir);
/* Ends all processes that were started, and this one. */
_Noreturn void Stn_End(int status);
bool Stn_HasTrouble(void);
int64_t Stn_Now(void); /* Milliseconds since Stn_Begin(). */
void Stn_Sleep(int64_t ms);
void Stn_SleepUntil(int64_t at_ms);
/* Writes a line to the record. */
void Stn_Record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Runs `run` in a thread of its own. */
void Stn_Spawn(void *(*run)(void *), void *context);

/* Returns the n-th loopback address of this run, 1 to 250. */
void Stn_GetIp(unsigned n, char ip[STN_ADDRESS_MAX]);
/* Listens on a free port. Fills in the address. */
int Stn_Listen(const char *ip, char address[STN_ADDRESS_MAX]);
void Stn_Serve(int listener, StnHandler handler, void *context);
/* Serves one connection until it ends. */
void Stn_ServeConnection(int fd, StnHandler handler, void *context);
bool Stn_Send(int fd, const void *data, size_t size);
bool Stn_SendText(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Copies the value of a field, or returns false. */
bool Stn_GetField(const char *head, const char *name, char *value,
                  size_t size);

StnStore *Stn_NewStore(const char *ip);
const char *Stn_GetStoreAddress(const StnStore *store);
/* Writes a key. Returns the time of the acknowledgement. */
int64_t Stn_Put(StnStore *store, const char *key, const char *value);

StnProxy *Stn_NewProxy(const char *ip, const char *target);
const char *Stn_GetProxyAddress(const StnProxy *proxy);
/* The connections that are open now pass nothing from here on; they are
   neither closed nor reset. New ones work. */
void Stn_SilenceProxy(StnProxy *proxy);

/* Starts the gates with the command of the deploy file, and waits until they
   are ready. `stores` names a store address for each. */
void Stn_StartGates(StnGate *gates, unsigned count,
                    const StnSettings *settings, const char *const *stores);
/* Returns the resident memory in MB (10^6 bytes), or 0 if it has ended. */
double Stn_GetMemory(const StnGate *gate);

int Stn_Connect(const char *address);
/* Reads an answer from a connection for `timeout_ms` at most. */
StnAnswer Stn_ReadAnswer(int fd, int64_t timeout_ms);
/* Sends a request on a new connection and reads its answer. */
StnAnswer Stn_Ask(const char *address, const char *request,
                  int64_t timeout_ms);

#endif
