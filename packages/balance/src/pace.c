#include "savoryledge/balance/pace.h"

bool
SlPace_Allow(struct SlPace *pace, uint64_t now_us, uint64_t window_us,
             uint32_t limit)
{
    uint32_t oldest =
        (pace->next + SL_PACE_LIMIT_MAX - limit) % SL_PACE_LIMIT_MAX;

    if (pace->count >= limit &&
        now_us - pace->started_us[oldest] < window_us) {
        return false;
    }
    pace->started_us[pace->next] = now_us;
    pace->next = (pace->next + 1) % SL_PACE_LIMIT_MAX;
    if (pace->count < SL_PACE_LIMIT_MAX) {
        pace->count++;
    }
    return true;
}

void
SlPace_Exhaust(struct SlPace *pace, uint64_t now_us)
{
    for (uint32_t i = 0; i < SL_PACE_LIMIT_MAX; i++) {
        pace->started_us[i] = now_us;
    }
    pace->next = 0;
    pace->count = SL_PACE_LIMIT_MAX;
}
