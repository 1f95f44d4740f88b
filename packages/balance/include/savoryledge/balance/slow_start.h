#ifndef SAVORYLEDGE_BALANCE_SLOW_START_H
#define SAVORYLEDGE_BALANCE_SLOW_START_H

/// At most so many starts within any second.
///
/// Load pattern: an upstream comes back cold and bears a few requests a
/// second, while everybody who was turned away meanwhile asks at once. A
/// bucket that refills over time would let two shares through around the end
/// of a second; here every window of that length is bounded.

#include <stdbool.h>
#include <stdint.h>

enum {
    SL_SLOW_START_LIMIT_MAX = 64,
};

/// Zero-initialise it.
struct SlPace {
    /// When the latest starts were let through; a ring.
    uint64_t started_us[SL_SLOW_START_LIMIT_MAX];
    uint32_t next;
    uint32_t count;
};

/// True when a start at now_us keeps the bound; it is then counted.
/// limit: 1..SL_SLOW_START_LIMIT_MAX starts a window.
bool
SlPace_Allow(struct SlPace *pace, uint64_t now_us, uint64_t window_us,
             uint32_t limit);
/// Time from now_us until a start keeps the bound that comes after so many
/// others, microseconds.
uint64_t
SlPace_WaitUs(const struct SlPace *pace, uint64_t now_us, uint64_t window_us,
              uint32_t limit, uint32_t ahead);
/// Forgets what was started before, as if the share of the window up to
/// now_us were used up: for a process that does not know what it let through
/// before its restart.
void
SlSlowStart_Exhaust(struct SlPace *pace, uint64_t now_us);

#endif
