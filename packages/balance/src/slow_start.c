#include "savoryledge/balance/slow_start.h"

uint64_t
SlSlowStart_WaitUs(const struct SlSlowStart *limiter, uint64_t now_us,
                   uint64_t window_us, uint32_t limit, uint32_t ahead)
{
    uint64_t full_windows_us = ahead / limit * window_us;
    uint32_t position = ahead % limit;
    uint32_t index =
        (limiter->next + SL_SLOW_START_LIMIT_MAX - limit + position) %
        SL_SLOW_START_LIMIT_MAX;
    uint64_t elapsed_us = now_us - limiter->started_us[index];

    if (limiter->count + position < limit || elapsed_us >= window_us) {
        return full_windows_us;
    }
    return full_windows_us + window_us - elapsed_us;
}

bool
SlSlowStart_AllowStart(struct SlSlowStart *limiter, uint64_t now_us,
                       uint64_t window_us, uint32_t limit)
{
    if (SlSlowStart_WaitUs(limiter, now_us, window_us, limit, 0) > 0) {
        return false;
    }
    limiter->started_us[limiter->next] = now_us;
    limiter->next = (limiter->next + 1) % SL_SLOW_START_LIMIT_MAX;
    if (limiter->count < SL_SLOW_START_LIMIT_MAX) {
        limiter->count++;
    }
    return true;
}

void
SlSlowStart_Exhaust(struct SlSlowStart *limiter, uint64_t now_us)
{
    for (uint32_t i = 0; i < SL_SLOW_START_LIMIT_MAX; i++) {
        limiter->started_us[i] = now_us;
    }
    limiter->next = 0;
    limiter->count = SL_SLOW_START_LIMIT_MAX;
}
