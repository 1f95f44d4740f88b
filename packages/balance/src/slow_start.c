#include "savoryledge/balance/slow_start.h"

uint64_t
SlPace_WaitUs(const struct SlPace *pace, uint64_t now_us, uint64_t window_us,
              uint32_t limit, uint32_t ahead)
{
    uint64_t whole_us = ahead / limit * window_us;
    uint32_t place = ahead % limit;
    uint32_t at = (pace->next + SL_SLOW_START_LIMIT_MAX - limit + place) %
                  SL_SLOW_START_LIMIT_MAX;
    uint64_t passed_us = now_us - pace->started_us[at];

    if (pace->count + place < limit || passed_us >= window_us) {
        return whole_us;
    }
    return whole_us + window_us - passed_us;
}

bool
SlPace_Allow(struct SlPace *pace, uint64_t now_us, uint64_t window_us,
             uint32_t limit)
{
    if (SlPace_WaitUs(pace, now_us, window_us, limit, 0) > 0) {
        return false;
    }
    pace->started_us[pace->next] = now_us;
    pace->next = (pace->next + 1) % SL_SLOW_START_LIMIT_MAX;
    if (pace->count < SL_SLOW_START_LIMIT_MAX) {
        pace->count++;
    }
    return true;
}

void
SlSlowStart_Exhaust(struct SlPace *pace, uint64_t now_us)
{
    for (uint32_t i = 0; i < SL_SLOW_START_LIMIT_MAX; i++) {
        pace->started_us[i] = now_us;
    }
    pace->next = 0;
    pace->count = SL_SLOW_START_LIMIT_MAX;
}
