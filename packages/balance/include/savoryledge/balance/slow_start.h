#ifndef SAVORYLEDGE_BALANCE_SLOW_START_H
#define SAVORYLEDGE_BALANCE_SLOW_START_H

/// Slow-start rate limiter: bounds the number of flows started in any sliding
/// window.
///
/// Load pattern: an upstream restarts cold and can serve a few requests per
/// second, while all callers refused in the meantime retry at once. A token
/// bucket that refills over time would pass twice the limit around the end of
/// a second; this limiter bounds every window of that length.

#include <stdbool.h>
#include <stdint.h>

enum {
    /// Largest limit of starts in a window.
    SL_SLOW_START_LIMIT_MAX = 64,
};

/// A rate limiter for the starts of flows. Zero-initialise before use.
struct SlSlowStart {
    /// Ring buffer with the times of the latest permitted starts.
    uint64_t started_us[SL_SLOW_START_LIMIT_MAX];
    /// Index in started_us at which the next start is stored.
    uint32_t next;
    /// Number of starts that are stored.
    uint32_t count;
};

/// Returns true, and counts a start, when the limit permits a start at now_us.
/// limit: starts in a window, 1..SL_SLOW_START_LIMIT_MAX.
bool
SlSlowStart_AllowStart(struct SlSlowStart *limiter, uint64_t now_us,
                       uint64_t window_us, uint32_t limit);
/// Returns the time from now_us until the limit permits one more start,
/// microseconds. ahead: number of starts that precede it.
uint64_t
SlSlowStart_WaitUs(const struct SlSlowStart *limiter, uint64_t now_us,
                   uint64_t window_us, uint32_t limit, uint32_t ahead);
/// Fills the window that ends at now_us, so that no start is permitted for
/// the length of one window. Used after a restart, when the process does not
/// know how many flows it had started.
void
SlSlowStart_Exhaust(struct SlSlowStart *limiter, uint64_t now_us);

#endif
