#include "savoryledge/balance/admission.h"

enum {
    US_PER_MS = 1000,
    /// The bound on a cold upstream holds for any second; the margin covers
    /// the way from this process to the upstream.
    COLD_WINDOW_US = 1100 * 1000,
    /// Taken for the time of an answer until one was seen: that of a short
    /// request on an idle upstream.
    FIRST_ANSWER_US = 30 * 1000,
    /// Share of the old value in the moving average, of 8.
    AVERAGE_OLD = 7,
    AVERAGE_ALL = 8,
    /// Single answers count for the average with at most so many times it, so
    /// that a few slow ones do not close the upstream.
    OUTLIER_FACTOR = 4,
    /// After the upstream gave a flow back its queue has to drain: about the
    /// time of one short answer.
    FULL_PAUSE_US = 40 * 1000,
    /// Requests that wait at the upstream at most: it queues a few more than
    /// it works on, and sheds what comes then.
    QUEUE_MAX = 9,
    /// Flows handed to the upstream at most, per slot, when they are late: a
    /// caller's way there and back is shorter than one short answer.
    QUEUE_FACTOR = 2,
    /// What a cold upstream holds back counts as at most so many requests a
    /// slot: less than an upstream that does not answer (placement.c).
    HELD_BACK_PER_SLOT = 15,
};

bool
SlAdmission_IsCold(const struct SlAdmission *admission, uint64_t now_us)
{
    return now_us < admission->cold_until_us;
}

bool
SlAdmission_HasSlowStartRate(const struct SlAdmission *admission,
                             uint64_t now_us)
{
    return admission->cold_limit != 0 && SlAdmission_IsCold(admission, now_us);
}

static uint32_t
load_of(const struct SlAdmission *admission)
{
    return admission->in_progress + admission->opening;
}

static uint64_t
answer_time(const struct SlAdmission *admission)
{
    return admission->answer_us != 0 ? admission->answer_us : FIRST_ANSWER_US;
}

uint64_t
SlAdmission_WaitUs(const struct SlAdmission *admission)
{
    uint32_t slots = admission->slots == 0 ? 1 : admission->slots;
    uint32_t load = load_of(admission);

    if (load < slots) {
        return 0;
    }
    return (uint64_t)(load - slots + 1) * answer_time(admission) / slots;
}

uint64_t
SlAdmission_SlowStartWaitUs(const struct SlAdmission *admission,
                            uint64_t now_us, uint32_t ahead)
{
    uint64_t left_us;
    uint64_t paced_us;

    if (!SlAdmission_HasSlowStartRate(admission, now_us)) {
        return 0;
    }
    left_us = admission->cold_until_us - now_us;
    paced_us = SlPace_WaitUs(&admission->slow_start, now_us, COLD_WINDOW_US,
                             admission->cold_limit, ahead);
    return paced_us < left_us ? paced_us : left_us;
}

uint32_t
SlAdmission_SlowStartBacklog(const struct SlAdmission *admission,
                             uint64_t now_us, uint32_t ahead)
{
    uint64_t paced_us = SlAdmission_SlowStartWaitUs(admission, now_us, ahead);
    uint64_t most = (uint64_t)admission->slots * HELD_BACK_PER_SLOT;
    uint64_t held = admission->slots +
                    paced_us * admission->slots / answer_time(admission);

    if (paced_us == 0) {
        return 0;
    }
    return (uint32_t)(held < most ? held : most);
}

bool
SlAdmission_IsSaturated(const struct SlAdmission *admission)
{
    return load_of(admission) >= admission->slots * QUEUE_FACTOR;
}

/// With no other upstream left: is it worth handing the flow over before a
/// slot is free? As long as it will be answered within its objective: requests
/// on flows that are open already queue there too, and cannot be held back.
/// Beyond that a few, so that slots are never idle for the time that a caller
/// takes to send its request.
static bool
may_queue(const struct SlAdmission *admission,
          const struct SlAdmissionRequest *ask)
{
    uint64_t done_us = SlAdmission_WaitUs(admission) + answer_time(admission);
    uint32_t load = load_of(admission);

    if (done_us <= (uint64_t)ask->objective_ms * US_PER_MS) {
        return load < admission->slots + QUEUE_MAX;
    }
    return load < admission->slots * QUEUE_FACTOR &&
           done_us <= (uint64_t)ask->timeout_ms * US_PER_MS / 2;
}

enum SlRelayReason
SlAdmission_Decide(struct SlAdmission *admission, uint64_t now_us,
                   const struct SlAdmissionRequest *ask)
{
    if (admission->flows >= admission->capacity_flows ||
        now_us < admission->full_until_us) {
        return SL_RELAY_FULL;
    }
    if (load_of(admission) >= admission->slots) {
        if (!ask->no_alternative) {
            return SL_RELAY_BUSY;
        }
        if (!may_queue(admission, ask)) {
            return SL_RELAY_FULL;
        }
    }
    if (SlAdmission_HasSlowStartRate(admission, now_us) &&
        !SlPace_Allow(&admission->slow_start, now_us, COLD_WINDOW_US,
                      admission->cold_limit)) {
        return SL_RELAY_COLD;
    }
    admission->opening++;
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
    uint64_t usual_us = answer_time(admission);

    if (admission->in_progress > 0) {
        admission->in_progress--;
    }
    if (took_us == 0) {
        return;
    }
    if (took_us > usual_us * OUTLIER_FACTOR) {
        took_us = usual_us * OUTLIER_FACTOR;
    }
    admission->answer_us =
        (uint32_t)((usual_us * AVERAGE_OLD + took_us) / AVERAGE_ALL);
}

void
SlAdmission_FlowAbandoned(struct SlAdmission *admission)
{
    if (admission->opening > 0) {
        admission->opening--;
    }
}

void
SlAdmission_FlowReturned(struct SlAdmission *admission, uint64_t now_us)
{
    admission->full_until_us = now_us + FULL_PAUSE_US;
}
