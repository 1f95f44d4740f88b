#ifndef SAVORYLEDGE_BALANCE_ADMISSION_H
#define SAVORYLEDGE_BALANCE_ADMISSION_H

/// What one upstream takes, as the agent beside it decides.
///
/// Load pattern: more requests arrive than the upstream's slots carry, for a
/// while or for good, and long flows that cannot be moved bring work of their
/// own. A flow that would only wait here goes to an upstream with a free slot;
/// when there is none it is queued at the upstream, up to twice the slots, or
/// waits in front of it (admission_queue.h); what cannot be met is declined at
/// once, while "has not run" is still true.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/balance/slow_start.h"
#include "savoryledge/protocol/relay.h"

struct SlAdmission {
    /// Requests the upstream works on at once.
    uint32_t slots;
    /// Flows that it holds at most.
    uint32_t capacity_flows;
    /// Delivered requests without an answer, and admitted flows whose first
    /// request has not come.
    uint32_t in_progress;
    uint32_t opening;
    uint32_t flows;
    /// Usual time a slot takes for a request; 0 not known yet.
    uint32_t answer_us;
    /// Until then the upstream is cold, and bears cold_limit new flows in any
    /// second; 0 nobody has told what it bears, and its slots alone count.
    uint64_t cold_until_us;
    uint32_t cold_limit;
    /// Until then it takes nothing: it gave a flow back for want of room.
    uint64_t full_until_us;
    struct SlPace slow_start;
};

/// What a new flow brings along.
struct SlAdmissionRequest {
    /// Time within which its request should be answered, and at most.
    uint32_t objective_ms;
    uint32_t timeout_ms;
    /// No other upstream is left to ask.
    bool no_alternative;
};

/// Decides on one new flow; counts it as opening when it is let in.
/// Returns SL_RELAY_REASON_NONE, SL_RELAY_BUSY, SL_RELAY_FULL or
/// SL_RELAY_COLD.
enum SlRelayReason
SlAdmission_Decide(struct SlAdmission *admission, uint64_t now_us,
                   const struct SlAdmissionRequest *ask);

/// True when the upstream has as much queued as it gets of what is late: a
/// request handed over now would only stand before others there.
bool
SlAdmission_IsSaturated(const struct SlAdmission *admission);
/// A request of an admitted flow was delivered; opened: it is its first.
void
SlAdmission_RequestDelivered(struct SlAdmission *admission, bool opened);
/// A request was answered after took_us; 0 when it ended without an answer.
void
SlAdmission_RequestEnded(struct SlAdmission *admission, uint64_t took_us);
/// An admitted flow ended before its first request.
void
SlAdmission_FlowAbandoned(struct SlAdmission *admission);
/// The upstream gave a flow back.
void
SlAdmission_FlowReturned(struct SlAdmission *admission, uint64_t now_us);
/// Time that a flow admitted now would wait for a slot, microseconds.
uint64_t
SlAdmission_WaitUs(const struct SlAdmission *admission);
/// Time until the pace of a cold upstream lets a flow in that comes after so
/// many others, or it is cold no more; 0 for a warm one. Microseconds.
uint64_t
SlAdmission_SlowStartWaitUs(const struct SlAdmission *admission,
                            uint64_t now_us, uint32_t ahead);
/// The same as so many requests in progress: entries then prefer upstreams
/// where a slot is free sooner, and know when there is none.
uint32_t
SlAdmission_SlowStartBacklog(const struct SlAdmission *admission,
                             uint64_t now_us, uint32_t ahead);
/// True while the upstream is cold.
bool
SlAdmission_IsCold(const struct SlAdmission *admission, uint64_t now_us);
/// True while it is cold and has a limit for that time.
bool
SlAdmission_HasSlowStartRate(const struct SlAdmission *admission,
                             uint64_t now_us);

#endif
