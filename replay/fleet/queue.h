#ifndef SAVORYLEDGE_REPLAY_FLEET_QUEUE_H
#define SAVORYLEDGE_REPLAY_FLEET_QUEUE_H

/// What happens when: a binary heap by time, in order of insertion where times
/// are equal.

#include <stdbool.h>
#include <stdint.h>

enum fleet_kind {
    /// A datagram reaches a host's link, and its socket.
    FLEET_AT_LINK = 0,
    FLEET_AT_SOCKET,
    /// A host's processor is free.
    FLEET_RUN,
    FLEET_TICK,
    /// A process starts, gets its configuration; an upstream speaks.
    FLEET_START,
    FLEET_CONFIGURE,
    FLEET_NOTICE,
    /// A segment reaches an upstream; an upstream's answer is ready.
    FLEET_TO_UPSTREAM,
    FLEET_ANSWER,
    /// A segment reaches a caller; a caller's timer; the next request.
    FLEET_TO_CALLER,
    FLEET_CALLER,
    FLEET_ARRIVAL,
    FLEET_TROUBLE,
};

/// A datagram on its way.
struct fleet_datagram {
    /// The next one in a socket.
    struct fleet_datagram *next;
    uint32_t from;
    bool is_frame;
    uint32_t length_bytes;
    uint8_t bytes[];
};

struct fleet_task {
    uint64_t due_us;
    uint64_t order;
    enum fleet_kind kind;
    /// Host, caller or event.
    uint32_t target;
    /// Differs when the target was restarted, or went on, meanwhile.
    uint64_t generation;
    /// Owned by the task; NULL for none.
    struct fleet_datagram *datagram;
};

struct fleet_queue {
    struct fleet_task *tasks;
    uint32_t count;
    uint32_t room;
    uint64_t order;
};

/// Takes the task's datagram. False without memory; it is freed then.
bool
fleet_queue_add(struct fleet_queue *queue, struct fleet_task task);
/// False when the queue is empty.
bool
fleet_queue_take(struct fleet_queue *queue, struct fleet_task *task);
void
fleet_queue_release(struct fleet_queue *queue);

#endif
