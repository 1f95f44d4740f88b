#include "savoryledge/balance/admission_queue.h"

enum {
    /// A queue that has been in use for longer than this time indicates
    /// lasting overload; a burst is over sooner.
    LASTING_OVERLOAD_US = 1000 * 1000,
    /// The queue may be empty for up to this time without ending the period
    /// of use.
    IDLE_GAP_MAX_US = 250 * 1000,
};

bool
SlAdmissionQueue_Add(struct SlAdmissionQueue *queue, uint64_t now_us,
                     const struct SlQueuedRequest *item)
{
    if (queue->count == SL_ADMISSION_QUEUE_MAX) {
        return false;
    }
    if (queue->count == 0 &&
        (queue->last_change_us == 0 ||
         now_us - queue->last_change_us > IDLE_GAP_MAX_US)) {
        queue->busy_since_us = now_us;
    }
    queue->last_change_us = now_us;
    queue->items[queue->count++] = *item;
    return true;
}

static void
remove_item(struct SlAdmissionQueue *queue, uint32_t index)
{
    queue->items[index] = queue->items[--queue->count];
}

static bool
can_meet_objective(const struct SlQueuedRequest *item, uint64_t now_us,
                   uint64_t answer_us)
{
    return now_us - item->since_us + answer_us <= item->objective_us;
}

/// True when a is admitted before b.
static bool
is_admitted_before(const struct SlQueuedRequest *a,
                   const struct SlQueuedRequest *b, uint64_t now_us,
                   uint64_t answer_us)
{
    bool a_meets_objective = can_meet_objective(a, now_us, answer_us);
    bool b_meets_objective = can_meet_objective(b, now_us, answer_us);

    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    if (a_meets_objective != b_meets_objective) {
        return a_meets_objective;
    }
    return a_meets_objective ? a->since_us > b->since_us
                             : a->since_us < b->since_us;
}

bool
SlAdmissionQueue_PopNext(struct SlAdmissionQueue *queue, uint64_t now_us,
                         uint64_t answer_us, struct SlQueuedRequest *next)
{
    uint32_t best = 0;

    if (queue->count == 0) {
        return false;
    }
    for (uint32_t i = 1; i < queue->count; i++) {
        if (is_admitted_before(&queue->items[i], &queue->items[best], now_us,
                               answer_us)) {
            best = i;
        }
    }
    *next = queue->items[best];
    queue->last_change_us = now_us;
    remove_item(queue, best);
    return true;
}

static bool
has_less_urgent(const struct SlAdmissionQueue *queue, uint32_t priority)
{
    for (uint32_t i = 0; i < queue->count; i++) {
        if (queue->items[i].priority > priority) {
            return true;
        }
    }
    return false;
}

/// True when an item must leave the queue: its waiting time has expired, or
/// it is a new flow that can no longer meet its objective under lasting
/// overload. In the second case it stays while an item of lower priority is
/// queued, which gives way instead.
static bool
must_give_up(const struct SlAdmissionQueue *queue, uint64_t now_us,
             uint64_t answer_us, const struct SlQueuedRequest *item)
{
    if (now_us - item->since_us >= item->max_wait_us) {
        return true;
    }
    return now_us - queue->busy_since_us > LASTING_OVERLOAD_US &&
           !item->on_open_flow &&
           !can_meet_objective(item, now_us, answer_us) &&
           !has_less_urgent(queue, item->priority);
}

bool
SlAdmissionQueue_PopGivenUp(struct SlAdmissionQueue *queue, uint64_t now_us,
                            uint64_t answer_us,
                            struct SlQueuedRequest *given_up)
{
    for (uint32_t i = 0; i < queue->count; i++) {
        if (must_give_up(queue, now_us, answer_us, &queue->items[i])) {
            *given_up = queue->items[i];
            remove_item(queue, i);
            return true;
        }
    }
    return false;
}

bool
SlAdmissionQueue_HasMoreUrgent(const struct SlAdmissionQueue *queue,
                               uint32_t priority)
{
    for (uint32_t i = 0; i < queue->count; i++) {
        if (!queue->items[i].on_open_flow &&
            queue->items[i].priority < priority) {
            return true;
        }
    }
    return false;
}

void
SlAdmissionQueue_RestartOverloadTimer(struct SlAdmissionQueue *queue,
                                      uint64_t now_us)
{
    queue->busy_since_us = now_us;
}

void
SlAdmissionQueue_Remove(struct SlAdmissionQueue *queue, uint64_t ticket)
{
    for (uint32_t i = 0; i < queue->count; i++) {
        if (queue->items[i].ticket == ticket) {
            remove_item(queue, i);
            return;
        }
    }
}
