#ifndef SAVORYLEDGE_REPLAY_FLEET_QUEUE_H
#define SAVORYLEDGE_REPLAY_FLEET_QUEUE_H

/// The task queue: a binary heap ordered by time, and by order of insertion
/// where times are equal.

#include <stdbool.h>
#include <stdint.h>

enum fleet_task_kind {
    /// A datagram arrives at the link of a host, or at its socket.
    FLEET_TASK_LINK_ARRIVAL = 0,
    FLEET_TASK_SOCKET_ARRIVAL,
    /// The processor of a host is free for the next datagram or tick.
    FLEET_TASK_HOST_RUN,
    FLEET_TASK_HOST_TICK,
    /// A process starts, or receives its configuration; an upstream reports
    /// its status.
    FLEET_TASK_HOST_START,
    FLEET_TASK_HOST_CONFIGURE,
    FLEET_TASK_UPSTREAM_STATUS,
    /// A segment arrives at an upstream; the answer of an upstream is ready.
    FLEET_TASK_SEGMENT_TO_UPSTREAM,
    FLEET_TASK_UPSTREAM_ANSWER,
    /// A segment arrives at a caller; the timer of a caller expires; the next
    /// request begins.
    FLEET_TASK_SEGMENT_TO_CALLER,
    FLEET_TASK_CALLER_TIMER,
    FLEET_TASK_REQUEST_ARRIVAL,
    FLEET_TASK_FLEET_EVENT,
};

/// A datagram in transit or in a socket.
struct fleet_datagram {
    /// The next datagram in the same socket.
    struct fleet_datagram *next;
    uint32_t from;
    bool is_frame;
    uint32_t length_bytes;
    uint8_t bytes[];
};

struct fleet_task {
    uint64_t due_us;
    uint64_t order;
    enum fleet_task_kind kind;
    /// Index of the host, the caller or the event.
    uint32_t target;
    /// Generation of the target when the task was queued. The task is dropped
    /// when the generation has changed by due_us. For
    /// FLEET_TASK_UPSTREAM_ANSWER, the number of the flow.
    uint64_t generation;
    /// Datagram that the task owns, or NULL.
    struct fleet_datagram *datagram;
};

struct fleet_queue {
    struct fleet_task *tasks;
    uint32_t count;
    uint32_t capacity;
    uint64_t order;
};

/// Queues a task and takes ownership of its datagram. Returns false when out
/// of memory, after freeing the datagram.
bool
fleet_queue_push(struct fleet_queue *queue, struct fleet_task task);
/// Removes the earliest task. Returns false when the queue is empty.
bool
fleet_queue_pop(struct fleet_queue *queue, struct fleet_task *task);
void
fleet_queue_release(struct fleet_queue *queue);

#endif
