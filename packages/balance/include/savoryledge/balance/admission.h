#ifndef SAVORYLEDGE_BALANCE_ADMISSION_H
#define SAVORYLEDGE_BALANCE_ADMISSION_H

/// Admission control for one upstream, run by the agent beside it.
///
/// Load pattern: more requests arrive than the upstream's slots can serve,
/// briefly or permanently, and long flows that cannot be moved add requests of
/// their own. A new flow that would have to wait here is declined so that its
/// entry can offer it to an upstream with a free slot. When no such upstream
/// is left, the flow is queued at the upstream (up to twice its slots) or in
/// the admission queue in front of it (SlAdmissionQueue). A flow that cannot
/// be answered in time is declined at once, while it is still certain that its
/// request has not run.
///
/// A flow of a route whose requests have long bodies (uploads) occupies no
/// slot until the body has arrived. Until then it counts as a transfer; all
/// transfers may end at the same time, so together with the other requests
/// they stay below what the upstream queues.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/balance/slow_start.h"
#include "savoryledge/protocol/relay.h"

enum {
    /// Maximum number of requests queued at the upstream: it queues a few
    /// more than its slots and rejects any beyond those.
    SL_UPSTREAM_QUEUE_MAX = 9,
};

struct SlAdmission {
    /// Requests that the upstream processes concurrently.
    uint32_t slots;
    /// Maximum number of open flows at the upstream.
    uint32_t capacity_flows;
    /// Requests that were delivered to the upstream and not yet answered.
    uint32_t in_progress;
    /// Admitted flows whose first request has not arrived.
    uint32_t opening;
    /// Admitted uploads whose body has not arrived as a whole.
    uint32_t transfers;
    /// Open flows at the upstream.
    uint32_t flows;
    /// Moving average of the time that a slot takes for a request,
    /// microseconds; 0 before the first answer.
    uint32_t answer_us;
    /// End of the upstream's cold phase, microseconds. In the cold phase,
    /// which follows a start of the upstream, it serves fewer requests than
    /// later.
    uint64_t cold_until_us;
    /// Maximum number of new flows in any second of the cold phase; 0 when no
    /// rate is known and only the slots limit them.
    uint32_t cold_limit;
    /// Until this time every flow is declined as full, because the upstream
    /// returned a segment for lack of capacity.
    uint64_t full_until_us;
    /// Limits the new flows per second of a cold upstream.
    struct SlSlowStart slow_start;
};

/// The properties of a new flow on which its admission depends.
struct SlAdmissionRequest {
    /// Target for the time to the first answer, milliseconds.
    uint32_t objective_ms;
    /// Time after which the caller gives up, milliseconds.
    uint32_t timeout_ms;
    /// No other upstream is left to which the flow could be offered.
    bool no_alternative;
    /// The flow is an upload.
    bool is_upload;
    /// Where requests differ in their work (work.h): the time that the request
    /// is expected to wait for a slot, and the longest wait for which the flow
    /// is admitted although another upstream is left, microseconds. 0 for both
    /// elsewhere; the flow is then admitted only to a free slot.
    uint64_t wait_us;
    uint64_t wait_limit_us;
};

/// Decides whether to admit one new flow; an admitted flow is counted as
/// opening, an upload as a transfer. Returns SL_RELAY_REASON_NONE when it is
/// admitted, otherwise SL_RELAY_BUSY, SL_RELAY_FULL or SL_RELAY_COLD.
enum SlRelayReason
SlAdmission_DecideFlow(struct SlAdmission *admission, uint64_t now_us,
                       const struct SlAdmissionRequest *request);

/// True when the upstream already has the maximum number of requests queued
/// that may be answered late. A further request delivered now would only
/// lengthen its queue.
bool
SlAdmission_IsSaturated(const struct SlAdmission *admission);
/// True when fewer requests are in progress or opening than the upstream has
/// slots.
bool
SlAdmission_HasFreeSlot(const struct SlAdmission *admission);
/// Counts a request of an admitted flow that was delivered to the upstream.
/// opened: the request is the first of its flow.
void
SlAdmission_RequestDelivered(struct SlAdmission *admission, bool opened);
/// Counts a request that ended. took_us: time from the request to its answer
/// in microseconds, or 0 when the request ended without an answer.
void
SlAdmission_RequestEnded(struct SlAdmission *admission, uint64_t took_us);
/// Counts an admitted flow that ended before its first request.
void
SlAdmission_FlowAbandoned(struct SlAdmission *admission);
/// Counts an upload in transfer, and one whose transfer ended: its body has
/// arrived, it was answered before that, or its caller sends no more. A
/// request whose body has arrived is then counted by
/// SlAdmission_RequestDelivered with opened false.
void
SlAdmission_TransferBegan(struct SlAdmission *admission);
void
SlAdmission_TransferEnded(struct SlAdmission *admission);
/// Records that the upstream returned the segment of a flow; all flows are
/// declined as full for a short pause.
void
SlAdmission_FlowReturned(struct SlAdmission *admission, uint64_t now_us);
/// Returns the expected time that a flow admitted now would wait for a slot,
/// microseconds.
uint64_t
SlAdmission_QueueWaitUs(const struct SlAdmission *admission);
/// Returns the time until the slow-start rate of a cold upstream permits one
/// more flow, or until the cold phase ends, whichever is earlier,
/// microseconds; 0 for a warm upstream. ahead: number of flows that are
/// started before that flow.
uint64_t
SlAdmission_SlowStartWaitUs(const struct SlAdmission *admission,
                            uint64_t now_us, uint32_t ahead);
/// SlAdmission_SlowStartWaitUs converted to an equivalent number of requests
/// in progress. Entries that receive it in the load report prefer upstreams
/// where a slot is free sooner, and know when no upstream has a free slot.
uint32_t
SlAdmission_SlowStartBacklog(const struct SlAdmission *admission,
                             uint64_t now_us, uint32_t ahead);
/// True during the upstream's cold phase.
bool
SlAdmission_IsUpstreamCold(const struct SlAdmission *admission,
                           uint64_t now_us);
/// True during a cold phase for which a slow-start rate is known.
bool
SlAdmission_HasSlowStartRate(const struct SlAdmission *admission,
                             uint64_t now_us);

#endif
