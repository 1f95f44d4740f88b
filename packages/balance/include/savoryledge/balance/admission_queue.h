#ifndef SAVORYLEDGE_BALANCE_ADMISSION_QUEUE_H
#define SAVORYLEDGE_BALANCE_ADMISSION_QUEUE_H

/// New flows, and requests on open ones, that wait in front of an upstream
/// whose slots are taken.
///
/// Load pattern: a burst, as after an outage, when everybody who was cut off
/// asks again at once. Refusals would be repeated within milliseconds and use
/// up the callers' tries before the burst is over; the upstream itself queues
/// only a few, in the order of their arrival. Here a flow that can still meet
/// its objective goes before one that cannot (the newest of them first, so
/// that at least some are in time), and those that are late anyway go in
/// their order. Higher priorities go first.
///
/// Requests on flows that are open already cannot be refused. They would take
/// every slot from new flows of a higher priority, so they wait here while
/// such a flow does, and go on when their time is over.
///
/// Under lasting overload waiting only makes everybody late: once flows have
/// waited without a break for a second, those that cannot meet their objective
/// are given up at once, unless somebody less urgent is there to give way. A
/// shortage whose end is known, as that of a cold upstream, is no lasting one:
/// the owner says so as long as it is there.

#include <stdbool.h>
#include <stdint.h>

enum {
    SL_WAIT_ROOM_MAX = 96,
};

struct SlQueuedRequest {
    /// Chosen by the owner; names the flow.
    uint64_t ticket;
    uint64_t since_us;
    /// Time after since_us at which an answer is late, and at which waiting
    /// is over.
    uint64_t objective_us;
    uint64_t max_wait_us;
    /// 0 is the highest.
    uint32_t priority;
    /// It goes on when its waiting is over: it cannot be refused.
    bool on_open_flow;
};

/// Zero-initialise it.
struct SlAdmissionQueue {
    uint32_t count;
    struct SlQueuedRequest items[SL_WAIT_ROOM_MAX];
    /// Since when somebody waits, but for short breaks; meaningless while
    /// nobody does.
    uint64_t busy_since_us;
    /// When somebody last came, or was let in.
    uint64_t last_change_us;
};

/// Returns false when the room is full.
bool
SlAdmissionQueue_Add(struct SlAdmissionQueue *room, uint64_t now_us,
                     const struct SlQueuedRequest *waiting);
/// Takes out the flow to go on with; false when nobody waits.
/// answer_us: usual time from there to the answer.
bool
SlAdmissionQueue_PopNext(struct SlAdmissionQueue *room, uint64_t now_us,
                         uint64_t answer_us, struct SlQueuedRequest *next);
/// Takes out one flow that is to be given up now; false when there is none.
bool
SlAdmissionQueue_PopGivenUp(struct SlAdmissionQueue *room, uint64_t now_us,
                            uint64_t answer_us,
                            struct SlQueuedRequest *given_up);
/// True when a new flow waits that is more urgent than priority.
bool
SlAdmissionQueue_HasMoreUrgent(const struct SlAdmissionQueue *room,
                               uint32_t priority);
/// The shortage until now ends by itself: the second begins anew.
void
SlAdmissionQueue_RestartOverloadTimer(struct SlAdmissionQueue *room,
                                      uint64_t now_us);
/// Takes a flow out that is over for another reason.
void
SlAdmissionQueue_Remove(struct SlAdmissionQueue *room, uint64_t ticket);

#endif
