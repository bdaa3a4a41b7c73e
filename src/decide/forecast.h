/* Forecast: expected KV memory of streams at some points of time, from which a
   worker's highest use in the next seconds follows.

   In a burst a worker gets many streams at about the same time. Each takes the
   memory of its prompt at once and grows with its answer, which may be as long
   as the prompt, so they outgrow the worker's memory together some seconds
   later. The worker then preempts streams, whose prompts must be read again
   while all others wait. Streams that began one after another need less at
   any time, since some end while others grow. Forecasts tell these cases
   apart, and forecasts of different VMs can be added. */
#ifndef LS_FORECAST_H
#define LS_FORECAST_H

#include <stdint.h>

/* Points of time: now, and the two of FORECAST_LATER_US. */
#define FORECAST_POINTS 3
/* A third and two thirds of the usual duration of a stream. */
#define FORECAST_LATER_US                                                     \
    {                                                                         \
        1000000, 2500000                                                      \
    }
/* Streams end evenly between these shares of the time that is expected to be
   left, as expected lengths are often wrong. */
#define FORECAST_END_MIN 0.5
#define FORECAST_END_MAX 1.5
/* The answer of a stream that has outgrown the expected length is expected to
   become this much longer than it is now. */
#define FORECAST_OUTGROWN_RATIO 1.3

/* KV memory at each point of time, tokens. */
typedef struct Forecast {
    uint64_t tokens[FORECAST_POINTS];
} Forecast;

typedef struct ForecastStream {
    uint32_t prompt_tokens;
    uint32_t made_tokens;     /* Tokens of the answer so far. */
    uint32_t expected_tokens; /* Expected tokens of the whole answer. */
    double tokens_per_us;     /* Speed at which the answer grows. */
} ForecastStream;

Forecast Forecast_OfStream(const ForecastStream *stream);
/* Returns the forecast of memory that is in use now, but not for long. */
Forecast Forecast_OfPrompt(uint32_t tokens);
void Forecast_Add(Forecast *sum, const Forecast *forecast);
/* Subtracts, down to 0. */
void Forecast_Subtract(Forecast *sum, const Forecast *forecast);
uint64_t Forecast_GetPeak(const Forecast *forecast);

#endif
