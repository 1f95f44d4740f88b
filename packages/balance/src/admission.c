#include "savoryledge/balance/admission.h"

enum {
    US_PER_MS = 1000,
    /// The slow-start limit holds for any second at the upstream; the extra
    /// 100 ms cover the delay between this process and the upstream.
    COLD_WINDOW_US = 1100 * 1000,
    /// Assumed answer time until one was measured: that of a short request on
    /// an idle upstream.
    INITIAL_ANSWER_US = 30 * 1000,
    /// Weights of the previous value and of all values in the moving average
    /// of answer times.
    AVERAGE_OLD_WEIGHT = 7,
    AVERAGE_TOTAL_WEIGHT = 8,
    /// An answer time enters the average as at most this multiple of it, so
    /// that a few slow answers do not stop admission.
    OUTLIER_FACTOR = 4,
    /// Time without admissions after the upstream returned a segment, in which
    /// the queue of the upstream drains: about the time of one short answer.
    FULL_PAUSE_US = 40 * 1000,
    /// Maximum load per slot while flows are late. One queued flow per slot
    /// keeps the slots busy, because the round trip to a caller is shorter
    /// than one short answer.
    LATE_LOAD_PER_SLOT_MAX = 2,
    /// Maximum number of requests per slot that the backlog of a cold
    /// upstream counts as. It ranks the upstream before one that does not
    /// answer (SUSPECT_SCORE in placement.c).
    BACKLOG_PER_SLOT_MAX = 15,
};

bool
SlAdmission_IsUpstreamCold(const struct SlAdmission *admission,
                           uint64_t now_us)
{
    return now_us < admission->cold_until_us;
}

bool
SlAdmission_HasSlowStartRate(const struct SlAdmission *admission,
                             uint64_t now_us)
{
    return admission->cold_limit != 0 &&
           SlAdmission_IsUpstreamCold(admission, now_us);
}

static uint32_t
outstanding_load(const struct SlAdmission *admission)
{
    return admission->in_progress + admission->opening;
}

bool
SlAdmission_HasFreeSlot(const struct SlAdmission *admission)
{
    return outstanding_load(admission) < admission->slots;
}

static uint64_t
expected_answer_us(const struct SlAdmission *admission)
{
    return admission->answer_us != 0 ? admission->answer_us
                                     : INITIAL_ANSWER_US;
}

uint64_t
SlAdmission_QueueWaitUs(const struct SlAdmission *admission)
{
    uint32_t slots = admission->slots == 0 ? 1 : admission->slots;
    uint32_t load = outstanding_load(admission);

    if (load < slots) {
        return 0;
    }
    return (uint64_t)(load - slots + 1) * expected_answer_us(admission) /
           slots;
}

uint64_t
SlAdmission_SlowStartWaitUs(const struct SlAdmission *admission,
                            uint64_t now_us, uint32_t ahead)
{
    uint64_t cold_left_us;
    uint64_t wait_us;

    if (!SlAdmission_HasSlowStartRate(admission, now_us)) {
        return 0;
    }
    cold_left_us = admission->cold_until_us - now_us;
    wait_us = SlSlowStart_WaitUs(&admission->slow_start, now_us,
                                 COLD_WINDOW_US, admission->cold_limit, ahead);
    return wait_us < cold_left_us ? wait_us : cold_left_us;
}

uint32_t
SlAdmission_SlowStartBacklog(const struct SlAdmission *admission,
                             uint64_t now_us, uint32_t ahead)
{
    uint64_t wait_us = SlAdmission_SlowStartWaitUs(admission, now_us, ahead);
    uint64_t max_backlog = (uint64_t)admission->slots * BACKLOG_PER_SLOT_MAX;
    uint64_t backlog = admission->slots + wait_us * admission->slots /
                                              expected_answer_us(admission);

    if (wait_us == 0) {
        return 0;
    }
    return (uint32_t)(backlog < max_backlog ? backlog : max_backlog);
}

bool
SlAdmission_IsSaturated(const struct SlAdmission *admission)
{
    return outstanding_load(admission) >=
           admission->slots * LATE_LOAD_PER_SLOT_MAX;
}

/// Decides whether a flow may be queued at the upstream although no slot is
/// free, given that no other upstream is left. The flow may be queued while
/// its answer is expected within its objective: requests on open flows are
/// queued there too and cannot be held back. Flows that would be late may only
/// fill a short queue, so that slots are not idle while a caller sends its
/// request.
static bool
may_queue_at_upstream(const struct SlAdmission *admission,
                      const struct SlAdmissionRequest *request)
{
    uint64_t done_us =
        SlAdmission_QueueWaitUs(admission) + expected_answer_us(admission);
    uint32_t load = outstanding_load(admission);

    if (done_us <= (uint64_t)request->objective_ms * US_PER_MS) {
        return load + admission->transfers <
               admission->slots + SL_UPSTREAM_QUEUE_MAX;
    }
    return load < admission->slots * LATE_LOAD_PER_SLOT_MAX &&
           done_us <= (uint64_t)request->timeout_ms * US_PER_MS / 2;
}

/// Decides whether an upload may begin its transfer. It needs a slot only when
/// its body has arrived, so that it is declined for the requests of others
/// only where those fill all slots and another upstream is left.
static enum SlRelayReason
decide_upload(const struct SlAdmission *admission,
              const struct SlAdmissionRequest *request)
{
    uint32_t load = outstanding_load(admission);
    uint64_t done_us =
        SlAdmission_QueueWaitUs(admission) + expected_answer_us(admission);
    bool has_room =
        load + admission->transfers < admission->slots + SL_UPSTREAM_QUEUE_MAX;

    if (!request->no_alternative) {
        return has_room && load < admission->slots ? SL_RELAY_REASON_NONE
                                                   : SL_RELAY_BUSY;
    }
    return has_room && done_us <= (uint64_t)request->timeout_ms * US_PER_MS / 2
               ? SL_RELAY_REASON_NONE
               : SL_RELAY_FULL;
}

/// Decides whether a flow is admitted to wait for a slot although another
/// upstream may have a free one: the wait is known to be short.
static bool
may_wait_shortly(const struct SlAdmission *admission,
                 const struct SlAdmissionRequest *request)
{
    return request->wait_limit_us != 0 &&
           request->wait_us <= request->wait_limit_us &&
           outstanding_load(admission) + admission->transfers <
               admission->slots + SL_UPSTREAM_QUEUE_MAX;
}

static enum SlRelayReason
decide_by_load(const struct SlAdmission *admission,
               const struct SlAdmissionRequest *request)
{
    if (request->is_upload) {
        return decide_upload(admission, request);
    }
    if (outstanding_load(admission) < admission->slots) {
        return SL_RELAY_REASON_NONE;
    }
    if (!request->no_alternative) {
        return may_wait_shortly(admission, request) ? SL_RELAY_REASON_NONE
                                                    : SL_RELAY_BUSY;
    }
    return may_queue_at_upstream(admission, request) ? SL_RELAY_REASON_NONE
                                                     : SL_RELAY_FULL;
}

enum SlRelayReason
SlAdmission_DecideFlow(struct SlAdmission *admission, uint64_t now_us,
                       const struct SlAdmissionRequest *request)
{
    enum SlRelayReason reason = decide_by_load(admission, request);

    if (admission->flows >= admission->capacity_flows ||
        now_us < admission->full_until_us) {
        return SL_RELAY_FULL;
    }
    if (reason != SL_RELAY_REASON_NONE) {
        return reason;
    }
    if (SlAdmission_HasSlowStartRate(admission, now_us) &&
        !SlSlowStart_AllowStart(&admission->slow_start, now_us, COLD_WINDOW_US,
                                admission->cold_limit)) {
        return SL_RELAY_COLD;
    }
    if (request->is_upload) {
        SlAdmission_TransferBegan(admission);
    }
    else {
        admission->opening++;
    }
    admission->flows++;
    return SL_RELAY_REASON_NONE;
}

void
SlAdmission_RequestDelivered(struct SlAdmission *admission, bool opened)
{
    admission->in_progress++;
    if (opened && admission->opening > 0) {
        admission->opening--;
    }
}

void
SlAdmission_RequestEnded(struct SlAdmission *admission, uint64_t took_us)
{
    uint64_t average_us = expected_answer_us(admission);

    if (admission->in_progress > 0) {
        admission->in_progress--;
    }
    if (took_us == 0) {
        return;
    }
    if (took_us > average_us * OUTLIER_FACTOR) {
        took_us = average_us * OUTLIER_FACTOR;
    }
    admission->answer_us =
        (uint32_t)((average_us * AVERAGE_OLD_WEIGHT + took_us) /
                   AVERAGE_TOTAL_WEIGHT);
}

void
SlAdmission_FlowAbandoned(struct SlAdmission *admission)
{
    if (admission->opening > 0) {
        admission->opening--;
    }
}

void
SlAdmission_TransferBegan(struct SlAdmission *admission)
{
    admission->transfers++;
}

void
SlAdmission_TransferEnded(struct SlAdmission *admission)
{
    if (admission->transfers > 0) {
        admission->transfers--;
    }
}

void
SlAdmission_FlowReturned(struct SlAdmission *admission, uint64_t now_us)
{
    admission->full_until_us = now_us + FULL_PAUSE_US;
}
