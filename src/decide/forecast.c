/* Forecast: expected KV memory of streams. See forecast.h. */
#include "forecast.h"

static double get_running_share(double left_us, double after_us);

Forecast
Forecast_OfStream(const ForecastStream *stream)
{
    static const double later_us[] = FORECAST_LATER_US;
    double made = stream->made_tokens;
    double expected = stream->expected_tokens;
    Forecast forecast = {
        .tokens = {stream->prompt_tokens + stream->made_tokens}};
    double left_us;

    if (expected < made * FORECAST_OUTGROWN_RATIO) {
        expected = made * FORECAST_OUTGROWN_RATIO;
    }
    left_us = stream->tokens_per_us > 0
                  ? (expected - made) / stream->tokens_per_us
                  : 0;
    for (int i = 1; i < FORECAST_POINTS; i++) {
        double after_us = later_us[i - 1];
        double tokens =
            stream->prompt_tokens + made + after_us * stream->tokens_per_us;
        forecast.tokens[i] =
            (uint64_t)(tokens * get_running_share(left_us, after_us));
    }
    return forecast;
}

Forecast
Forecast_OfPrompt(uint32_t tokens)
{
    Forecast forecast = {.tokens = {tokens}};

    return forecast;
}

void
Forecast_Add(Forecast *sum, const Forecast *forecast)
{
    for (int i = 0; i < FORECAST_POINTS; i++) {
        sum->tokens[i] += forecast->tokens[i];
    }
}

void
Forecast_Subtract(Forecast *sum, const Forecast *forecast)
{
    for (int i = 0; i < FORECAST_POINTS; i++) {
        sum->tokens[i] -= sum->tokens[i] < forecast->tokens[i]
                              ? sum->tokens[i]
                              : forecast->tokens[i];
    }
}

uint64_t
Forecast_GetPeak(const Forecast *forecast)
{
    uint64_t peak = 0;

    for (int i = 0; i < FORECAST_POINTS; i++) {
        peak = forecast->tokens[i] > peak ? forecast->tokens[i] : peak;
    }
    return peak;
}

/* Returns the probability that a stream still runs after a time, given the
   time that is expected to be left. */
static double
get_running_share(double left_us, double after_us)
{
    double share;

    if (left_us <= 0) {
        return 0;
    }
    share = (FORECAST_END_MAX - after_us / left_us) /
            (FORECAST_END_MAX - FORECAST_END_MIN);
    return share < 0 ? 0 : (share > 1 ? 1 : share);
}
