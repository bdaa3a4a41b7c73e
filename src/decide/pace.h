/* Pace: estimates how long work takes at a worker, as a multiple of the
   nominal time, how this time grows with the requests that run there, and how
   many requests the worker handles well.

   Workers of one service differ in speed by 2.7 times, share machines with
   others, and are 2.5 times slower for periods of 600 ms. During bursts the
   same placement on all workers leaves prompts waiting at the slow ones while
   fast ones are idle. VMs whose views are 30 to 360 ms old all choose the
   worker that is fastest at the moment, unless their choices are spread. */
#ifndef LS_PACE_H
#define LS_PACE_H

#include <stdbool.h>
#include <stdint.h>

/* Bounds of a pace. */
#define PACE_MIN 0.25
#define PACE_MAX 16.0
/* Workers that one choice compares, on average. With fewer, fast workers stay
   idle; with more, VMs whose views are old choose the same one. */
#define PACE_SAMPLE 8
/* Highest code of a pace in a message; 0 means unknown. */
#define PACE_CODE_MAX 255
/* Codes of a growth are 1 to this; 0 means unknown. */
#define PACE_GROWTH_CODE_MAX 127

/* Time of one kind of work at a worker, as a multiple of the nominal time. A
   zeroed one is unknown. The estimate is the lowest of the last measurements:
   work that waited for other work only takes longer, and the first one after
   the worker was idle has not waited. */
typedef struct Pace {
    double log;      /* Natural logarithm of the multiple. */
    double weight;   /* Measurements so far, up to a maximum; 0: unknown. */
    double lows[2];  /* Lowest logarithms of the present and the last group. */
    double count;    /* Measurements of the present group. */
    int64_t full_us; /* When the present or last group was last full; 0: never.
                      */
    int64_t began_us; /* When the present group began. */
    bool has_before;  /* There is a last group. */
} Pace;

/* Measurements since the last report to other VMs. */
typedef struct PaceSum {
    double log;     /* Logarithm of the lowest. */
    uint32_t count; /* 0: none. */
} PaceSum;

/* Relation of the usual pace to what workers tell of their pace at the moment:
   0 if that leaves out the constant speed of the machine, 1 if it includes it.
 */
typedef struct PaceRelation {
    double products; /* Of the logarithms of both, decayed sum. */
    double squares;  /* Of the logarithm of the usual pace. */
} PaceRelation;

/* Times of work against the number of requests that ran, decayed sums. */
typedef struct PaceFit {
    double weight;
    double running;
    double time_us;
    double running_squared;
    double running_time;
} PaceFit;

/* Time with `n` requests: base_us x (1 + growth x (n - 1)). */
typedef struct PaceLine {
    double base_us; /* 0: unknown. */
    double growth;
} PaceLine;

/* Returns 1 if the pace is unknown. */
double Pace_Get(const Pace *pace);
/* Adds a measurement, the lowest of `count` ones. Returns whether the estimate
   has moved past a power of 1.5. */
bool Pace_Note(Pace *pace, double multiple, uint32_t count, int64_t now_us);
/* Returns what a measurement behind a known backlog shows: the multiple is
   between `low`, if the work waited for all of the backlog, and `high`, if for
   none of it. The estimate counts as confirmed if it is between them. */
double Pace_GetShown(const Pace *pace, double low, double high);
/* Moves the estimate towards what another VM tells of the measurements of all
   VMs, unless a group was full lately here: a VM that gets the measurements of
   others knows as much, and two that follow each other would never move. */
void Pace_Merge(Pace *pace, double multiple, int64_t now_us);
void Pace_AddToSum(PaceSum *sum, double multiple);
/* Returns the lowest measurement; 0 if there is none. */
double Pace_GetLowest(const PaceSum *sum);
/* Codes of messages. Pace_Decode() returns 0 for an unknown pace. */
uint32_t Pace_Encode(double multiple);
double Pace_Decode(uint32_t code);
uint32_t Pace_EncodeGrowth(double growth);
double Pace_DecodeGrowth(uint32_t code); /* Negative: unknown. */

/* Adds a pair of the usual pace and the pace that the worker tells. */
void Pace_NoteTold(PaceRelation *relation, double usual, double told);
/* Returns by which factor work takes longer than usual now. */
double Pace_GetMoment(const PaceRelation *relation, double usual, double told);

/* Adds a time of work while `running` requests ran. */
void Pace_NoteTime(PaceFit *fit, double running, double time_us);
/* Returns the line through the times. With few times, or times at nearly the
   same number of requests, the growth is close to `prior_growth`. */
PaceLine Pace_GetLine(const PaceFit *fit, double prior_growth);
/* Whether the fit alone determines the growth. */
bool Pace_HasGrowth(const PaceFit *fit);
double Pace_GetTime(const PaceLine *line, double running);
/* Returns the number of requests beyond which the times grow faster than the
   output, or are longer than `longest_us` (0: any), at least 1 and at most
   `slots`. `least`: number that the memory allows, below which times that grow
   gently set no limit. */
uint32_t Pace_GetLimit(const PaceLine *line, double longest_us, uint32_t least,
                       uint32_t slots);

/* Whether a choice looks at one of `candidates` workers. It takes the best of
   PACE_SAMPLE random ones: VMs choose by views that are out of date, and the
   best of all would get the requests of all VMs at once. `random` is from 0 up
   to 1. */
bool Pace_IsSampled(uint32_t candidates, double random);
/* Returns a cost for the choice among near-equal workers: `cost_us` plus a
   random part, bounded, that grows with `scale_us`. */
int64_t Pace_SpreadCost(int64_t cost_us, int64_t scale_us, double random);

#endif
