#ifndef SAVORYLEDGE_BALANCE_LINK_ESTIMATE_H
#define SAVORYLEDGE_BALANCE_LINK_ESTIMATE_H

/// Estimate of the rate and the use of a process's own network link.
///
/// Load pattern: the rate that the settings name is the link's at its best. A
/// link that others use too, or that its provider has reduced, delays packets
/// although less than that rate is sent. The estimate starts at the rate in
/// the settings, falls by a factor while packets queue for longer than the
/// accepted transfers explain, and rises by a constant step while much of it
/// is in use without such a queue (additive increase, multiplicative
/// decrease). On an idle link it rises more slowly.

#include <stdbool.h>
#include <stdint.h>

/// Estimate of one link. Set set_bytes_per_s and delay_limit_us, and
/// zero-initialise the other fields.
struct SlLinkEstimate {
    /// The rate in the settings, bytes per second; not 0.
    uint64_t set_bytes_per_s;
    /// Queueing delay up to which the link counts as able to carry its load.
    uint64_t delay_limit_us;
    /// The estimated rate; 0 before the first call of SlLinkEstimate_Tick.
    uint64_t rate_bytes_per_s;
    /// In the last complete interval: bytes per second in the busier
    /// direction, and the mean queueing delay; the delay of the interval
    /// before stays when no answer was measured.
    uint64_t used_bytes_per_s;
    uint64_t delay_us;
    /// Minimum answer time, which estimates that of an idle link.
    uint64_t min_answer_us;
    /// The present interval.
    uint64_t began_us;
    uint64_t received_bytes;
    uint64_t sent_bytes;
    uint64_t answer_sum_us;
    uint32_t answers;
};

/// Adds bytes that were received from or sent to the link.
void
SlLinkEstimate_AddBytes(struct SlLinkEstimate *link, uint64_t received_bytes,
                        uint64_t sent_bytes);
/// Adds the time in which another process answered a short message over the
/// link. The time must not include a wait for the answer's cause.
void
SlLinkEstimate_AddAnswer(struct SlLinkEstimate *link, uint64_t took_us);
/// Ends the interval when it is over and adjusts the rate. Returns true when
/// the rate has changed.
bool
SlLinkEstimate_Tick(struct SlLinkEstimate *link, uint64_t now_us);

#endif
