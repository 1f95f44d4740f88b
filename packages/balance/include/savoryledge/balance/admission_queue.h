#ifndef SAVORYLEDGE_BALANCE_ADMISSION_QUEUE_H
#define SAVORYLEDGE_BALANCE_ADMISSION_QUEUE_H

/// Admission queue: new flows, and requests on open flows, that wait in front
/// of an upstream whose slots are all taken.
///
/// Load pattern: a burst, as after an outage, when all disconnected callers
/// retry at once. Callers would repeat refused flows within milliseconds and
/// use up their retries before the burst is over; the upstream's own queue is
/// short and first-in first-out. This queue orders by priority first. Within a
/// priority, items that can still meet their objective come before those that
/// cannot. The former are served newest first, so that at least some are
/// answered in time, the latter oldest first.
///
/// Requests on open flows cannot be refused. They would take every slot from
/// new flows of a higher priority, so they wait here while such a flow does,
/// and are delivered when their waiting time has expired.
///
/// Under lasting overload, waiting only makes every flow late. Once the queue
/// has been in use without a break for a second, flows that can no longer meet
/// their objective are given up at once, unless an item of lower priority is
/// queued, which is given up instead. A shortage with a known end, as that of
/// a cold upstream, is not lasting overload: the owner calls
/// SlAdmissionQueue_RestartOverloadTimer for as long as it continues.

#include <stdbool.h>
#include <stdint.h>

enum {
    /// Capacity of the queue.
    SL_ADMISSION_QUEUE_MAX = 96,
};

/// A new flow, or a request on an open flow, that is queued.
struct SlQueuedRequest {
    /// Identifies the item; chosen by the owner of the queue.
    uint64_t ticket;
    /// Time at which the item was queued.
    uint64_t since_us;
    /// Time after since_us from which an answer is late.
    uint64_t objective_us;
    /// Longest time for which the item may wait in the queue.
    uint64_t max_wait_us;
    /// Priority of the flow; 0 is the highest.
    uint32_t priority;
    /// The item is a request on an open flow. Such a request cannot be
    /// refused, and is delivered when its waiting time has expired.
    bool on_open_flow;
};

/// An admission queue. Zero-initialise before use.
struct SlAdmissionQueue {
    /// The queued items, in no particular order.
    uint32_t count;
    struct SlQueuedRequest items[SL_ADMISSION_QUEUE_MAX];
    /// Start of the present period of use; breaks of up to 250 ms do not end
    /// the period. Undefined while the queue is empty.
    uint64_t busy_since_us;
    /// Latest time at which an item was added or admitted.
    uint64_t last_change_us;
};

/// Adds an item. Returns false when the queue is full.
bool
SlAdmissionQueue_Add(struct SlAdmissionQueue *queue, uint64_t now_us,
                     const struct SlQueuedRequest *item);
/// Removes the item to admit next and copies the item to next; false when the
/// queue is empty. answer_us: expected time from its admission to its answer.
bool
SlAdmissionQueue_PopNext(struct SlAdmissionQueue *queue, uint64_t now_us,
                         uint64_t answer_us, struct SlQueuedRequest *next);
/// Removes one item that has to be given up now and copies the item to
/// given_up; false when no item has to be given up.
bool
SlAdmissionQueue_PopGivenUp(struct SlAdmissionQueue *queue, uint64_t now_us,
                            uint64_t answer_us,
                            struct SlQueuedRequest *given_up);
/// True when a new flow of a higher priority than the given one is queued.
bool
SlAdmissionQueue_HasMoreUrgent(const struct SlAdmissionQueue *queue,
                               uint32_t priority);
/// Restarts the timer of one second after which an overload counts as lasting.
/// Called while the present shortage is known to end by itself.
void
SlAdmissionQueue_RestartOverloadTimer(struct SlAdmissionQueue *queue,
                                      uint64_t now_us);
/// Removes the item with this ticket if the item is queued.
void
SlAdmissionQueue_Remove(struct SlAdmissionQueue *queue, uint64_t ticket);

#endif
