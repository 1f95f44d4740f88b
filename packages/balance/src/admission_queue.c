#include "savoryledge/balance/admission_queue.h"

enum {
    /// A burst is over within this time, or it is none.
    STANDING_US = 1000 * 1000,
    /// Nobody waiting for a moment does not end it.
    BREAK_US = 250 * 1000,
};

bool
SlAdmissionQueue_Add(struct SlAdmissionQueue *room, uint64_t now_us,
                     const struct SlQueuedRequest *waiting)
{
    if (room->count == SL_WAIT_ROOM_MAX) {
        return false;
    }
    if (room->count == 0 && (room->last_change_us == 0 ||
                             now_us - room->last_change_us > BREAK_US)) {
        room->busy_since_us = now_us;
    }
    room->last_change_us = now_us;
    room->items[room->count++] = *waiting;
    return true;
}

static void
take_out(struct SlAdmissionQueue *room, uint32_t at)
{
    room->items[at] = room->items[--room->count];
}

static bool
is_in_time(const struct SlQueuedRequest *waiting, uint64_t now_us,
           uint64_t answer_us)
{
    return now_us - waiting->since_us + answer_us <= waiting->objective_us;
}

/// True when a goes before b.
static bool
goes_before(const struct SlQueuedRequest *a, const struct SlQueuedRequest *b,
            uint64_t now_us, uint64_t answer_us)
{
    bool a_in_time = is_in_time(a, now_us, answer_us);
    bool b_in_time = is_in_time(b, now_us, answer_us);

    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    if (a_in_time != b_in_time) {
        return a_in_time;
    }
    return a_in_time ? a->since_us > b->since_us : a->since_us < b->since_us;
}

bool
SlAdmissionQueue_PopNext(struct SlAdmissionQueue *room, uint64_t now_us,
                         uint64_t answer_us, struct SlQueuedRequest *next)
{
    uint32_t best = 0;

    if (room->count == 0) {
        return false;
    }
    for (uint32_t i = 1; i < room->count; i++) {
        if (goes_before(&room->items[i], &room->items[best], now_us,
                        answer_us)) {
            best = i;
        }
    }
    *next = room->items[best];
    room->last_change_us = now_us;
    take_out(room, best);
    return true;
}

static bool
has_less_urgent(const struct SlAdmissionQueue *room, uint32_t priority)
{
    for (uint32_t i = 0; i < room->count; i++) {
        if (room->items[i].priority > priority) {
            return true;
        }
    }
    return false;
}

/// Is waiting for longer of no use? Who is late anyway is refused under
/// lasting overload, unless somebody less urgent waits: that one gives way.
static bool
is_over(const struct SlAdmissionQueue *room, uint64_t now_us,
        uint64_t answer_us, const struct SlQueuedRequest *waiting)
{
    if (now_us - waiting->since_us >= waiting->max_wait_us) {
        return true;
    }
    return now_us - room->busy_since_us > STANDING_US &&
           !waiting->on_open_flow && !is_in_time(waiting, now_us, answer_us) &&
           !has_less_urgent(room, waiting->priority);
}

bool
SlAdmissionQueue_PopGivenUp(struct SlAdmissionQueue *room, uint64_t now_us,
                            uint64_t answer_us,
                            struct SlQueuedRequest *given_up)
{
    for (uint32_t i = 0; i < room->count; i++) {
        if (is_over(room, now_us, answer_us, &room->items[i])) {
            *given_up = room->items[i];
            take_out(room, i);
            return true;
        }
    }
    return false;
}

bool
SlAdmissionQueue_HasMoreUrgent(const struct SlAdmissionQueue *room,
                               uint32_t priority)
{
    for (uint32_t i = 0; i < room->count; i++) {
        if (!room->items[i].on_open_flow &&
            room->items[i].priority < priority) {
            return true;
        }
    }
    return false;
}

void
SlAdmissionQueue_RestartOverloadTimer(struct SlAdmissionQueue *room,
                                      uint64_t now_us)
{
    room->busy_since_us = now_us;
}

void
SlAdmissionQueue_Remove(struct SlAdmissionQueue *room, uint64_t ticket)
{
    for (uint32_t i = 0; i < room->count; i++) {
        if (room->items[i].ticket == ticket) {
            take_out(room, i);
            return;
        }
    }
}
