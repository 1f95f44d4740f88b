/// The event queue: a binary heap ordered by time, then by order of insertion.

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "simulation.h"

enum {
    INITIAL_CAPACITY = 1024,
};

static bool
is_before(const struct SlSimEvent *a, const struct SlSimEvent *b)
{
    return a->time_us != b->time_us ? a->time_us < b->time_us
                                    : a->order < b->order;
}

static void
swap_events(struct SlSimEvent *a, struct SlSimEvent *b)
{
    struct SlSimEvent held = *a;

    *a = *b;
    *b = held;
}

void
SlSimQueue_Push(struct SlSimQueue *queue, struct SlSimEvent event)
{
    size_t index = queue->count++;

    if (queue->count > queue->capacity) {
        queue->capacity =
            queue->capacity == 0 ? INITIAL_CAPACITY : queue->capacity * 2;
        queue->events = (struct SlSimEvent *)realloc(
            queue->events, queue->capacity * sizeof(*queue->events));
        assert(queue->events != NULL);
    }
    event.order = queue->order++;
    queue->events[index] = event;
    while (index > 0 &&
           is_before(&queue->events[index], &queue->events[(index - 1) / 2])) {
        swap_events(&queue->events[index], &queue->events[(index - 1) / 2]);
        index = (index - 1) / 2;
    }
}

bool
SlSimQueue_Pop(struct SlSimQueue *queue, struct SlSimEvent *event)
{
    size_t index = 0;

    if (queue->count == 0) {
        return false;
    }
    *event = queue->events[0];
    queue->events[0] = queue->events[--queue->count];
    for (;;) {
        size_t earliest = index;

        for (size_t child = 2 * index + 1; child <= 2 * index + 2; child++) {
            if (child < queue->count &&
                is_before(&queue->events[child], &queue->events[earliest])) {
                earliest = child;
            }
        }
        if (earliest == index) {
            return true;
        }
        swap_events(&queue->events[index], &queue->events[earliest]);
        index = earliest;
    }
}

void
SlSimQueue_Release(struct SlSimQueue *queue)
{
    for (size_t i = 0; i < queue->count; i++) {
        free(queue->events[i].bytes);
    }
    free(queue->events);
    *queue = (struct SlSimQueue){0};
}

uint8_t *
SlSimQueue_CopyBytes(const void *bytes, uint32_t length_bytes)
{
    uint8_t *copy = (uint8_t *)malloc(length_bytes + 1);

    assert(copy != NULL);
    memcpy(copy, bytes, length_bytes);
    return copy;
}
