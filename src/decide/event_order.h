/* Event order: decides which events of a run go on to the caller of a stream.

   The caller's stream may be made of the events of several runs, one after
   another. A run was given up as soon as an ID was not the last one plus 1:
   sound runs whose IDs go up in steps ended broken. On the other hand, events
   were taken without a look at where they belong: a run that began anew on its
   connection was joined to itself once its IDs had caught up. Workers that
   send garbage sent data without an ID, which callers took for a piece of the
   stream, and IDs far beyond it.

   Within a run nothing is missing, as its connection loses nothing, so each
   higher ID is taken that one event can lead to. Between two runs only what
   the caller has counts: the next run begins at the ID that follows, or
   repeats the caller's last event byte by byte, or keeps to the step of all
   events so far. Where a run contradicts its own last event, either of the two
   may be the false one, and no run can go on after it. */
#ifndef LS_EVENT_ORDER_H
#define LS_EVENT_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#define EVENT_ORDER_NO_ID (-1)
/* Steps of the same size that show the step of a stream. */
#define EVENT_ORDER_STEPS_MIN 2
/* Largest step between the IDs of two events of a run. IDs count tokens or
   bytes, and an event has at most this many bytes. */
#define EVENT_ORDER_STEP_MAX (64 * 1024)

/* One event of a run. */
typedef struct EventOrderEvent {
    int64_t id;        /* EVENT_ORDER_NO_ID if it is a comment. */
    bool is_malformed; /* Readers may take it for different events. */
    uint64_t digest;   /* Hash of its bytes. */
} EventOrderEvent;

/* What the caller has of the stream. */
typedef struct EventOrder {
    int64_t last;      /* ID of its last event, or EVENT_ORDER_NO_ID. */
    uint64_t digest;   /* Of that event; 0 if another VM sent it. */
    int64_t step;      /* From the ID of the first event seen to the next. */
    uint32_t steps;    /* Seen so far. */
    int64_t last_step; /* The last one; 0: none was seen. */
    bool is_uneven;    /* One of them was of another size. */
    uint32_t events;   /* Events that were sent, without comments. */
} EventOrder;

/* A run that makes the stream's events. All zero before its first one. */
typedef struct EventOrderRun {
    bool has_begun;
    int64_t last;    /* ID of its last event, once it has begun. */
    bool is_joined;  /* Its events follow those that the caller has. */
    bool is_refused; /* An event was malformed or out of order: the run is
                        given up. */
    /* It contradicts the caller's last event, so that either may be false: no
       other run can go on with the stream. */
    bool is_contradicted;
} EventOrderRun;

typedef enum EventOrderStep {
    EVENT_ORDER_SEND,
    EVENT_ORDER_SKIP,   /* The caller has the event. */
    EVENT_ORDER_REFUSE, /* Give the run up. */
} EventOrderStep;

/* Decides about the run's next event, and notes it in *run. */
EventOrderStep EventOrder_Decide(const EventOrder *order, EventOrderRun *run,
                                 const EventOrderEvent *event);
/* Notes that the caller was sent the event. */
void EventOrder_NoteSent(EventOrder *order, const EventOrderEvent *event);
/* Returns how many events the stream has had, before a caller's resumption
   after the event `resumed` included (EVENT_ORDER_NO_ID: none), which may have
   come from another VM. */
int64_t EventOrder_CountEvents(const EventOrder *order, int64_t resumed);

#endif
