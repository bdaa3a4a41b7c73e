/* Stop signal: notes when the signal that stops a process may have been sent.

   The grace of a planned stop counts from the sending of the signal. The
   process learns of it later: its handler runs once the process has a
   processor, and its event loop sees the signal when the callback in progress
   has returned. The signal was not sent before the process last ran without
   it, which is taken to be at most 3 s before the handler ran. */
#ifndef LS_STOP_SIGNAL_H
#define LS_STOP_SIGNAL_H

#include <event2/event.h>
#include <stdint.h>

/* All times are of the monotonic clock, in microseconds. */
typedef struct StopSignalTimes {
    int64_t sent_min_us; /* The signal was not sent before this. */
    int64_t handled_us;  /* When the handler ran. */
} StopSignalTimes;

/* Notes the times of `signal_event`, a signal event that has been added to its
   base. There is one stop signal in a process. */
void StopSignal_Watch(const struct event *signal_event);
/* Runs the event loop until it is told to exit. */
void StopSignal_RunLoop(struct event_base *base);
/* Returns the times of the first signal, or 0 for both if none came. */
StopSignalTimes StopSignal_GetTimes(void);

#endif
