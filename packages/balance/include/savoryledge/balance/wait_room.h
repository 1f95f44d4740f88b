#ifndef SAVORYLEDGE_BALANCE_WAIT_ROOM_H
#define SAVORYLEDGE_BALANCE_WAIT_ROOM_H

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
/// queued that can give way. A shortage with a known end, as that of a cold
/// upstream, is not lasting overload: the owner calls SlWaitRoom_Passing for
/// as long as it continues.

#include <stdbool.h>
#include <stdint.h>

enum {
    /// Capacity of the queue.
    SL_ADMISSION_QUEUE_MAX = 96,
};

/// A new flow, or a request on an open flow, that is queued.
struct SlWaiting {
    /// Identifies the item; chosen by the owner of the queue.
    uint64_t ticket;
    /// Time at which it was queued.
    uint64_t since_us;
    /// Time after since_us from which an answer is late.
    uint64_t objective_us;
    /// Longest waiting time in the queue.
    uint64_t limit_us;
    /// Priority of the flow; 0 is the highest.
    uint32_t priority;
    /// It is a request on an open flow. It cannot be refused, and is delivered
    /// when its waiting time has expired.
    bool open;
};

/// Zero-initialise it.
struct SlWaitRoom {
    /// The queued items, in no particular order.
    uint32_t count;
    struct SlWaiting items[SL_ADMISSION_QUEUE_MAX];
    /// Start of the present period of use; breaks of up to 250 ms do not end
    /// the period. Undefined while the queue is empty.
    uint64_t busy_since_us;
    /// Latest time at which an item was added or admitted.
    uint64_t waited_us;
};

/// Adds an item. Returns false when the queue is full.
bool
SlWaitRoom_Add(struct SlWaitRoom *queue, uint64_t now_us,
               const struct SlWaiting *item);
/// Removes the item to admit next and copies it to next; false when the queue
/// is empty. answer_us: expected time from its admission to its answer.
bool
SlWaitRoom_Next(struct SlWaitRoom *queue, uint64_t now_us, uint64_t answer_us,
                struct SlWaiting *next);
/// Removes one item that has to be given up now and copies it to given_up;
/// false when there is none.
bool
SlWaitRoom_GiveUp(struct SlWaitRoom *queue, uint64_t now_us,
                  uint64_t answer_us, struct SlWaiting *given_up);
/// True when a new flow of a higher priority than the given one is queued.
bool
SlWaitRoom_HasMoreUrgent(const struct SlWaitRoom *queue, uint32_t priority);
/// Restarts the second after which overload counts as lasting, because the
/// present shortage will end by itself.
void
SlWaitRoom_Passing(struct SlWaitRoom *queue, uint64_t now_us);
/// Removes the item with this ticket, if it is queued.
void
SlWaitRoom_Remove(struct SlWaitRoom *queue, uint64_t ticket);

#endif
