/// The queue of things to happen: a binary heap by time, then order.

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
    ROOM_START = 1024,
};

static bool
is_before(const struct SlWorldEvent *a, const struct SlWorldEvent *b)
{
    return a->time_us != b->time_us ? a->time_us < b->time_us
                                    : a->order < b->order;
}

static void
swap(struct SlWorldEvent *a, struct SlWorldEvent *b)
{
    struct SlWorldEvent held = *a;

    *a = *b;
    *b = held;
}

void
SlWorldQueue_Push(struct SlWorldQueue *queue, struct SlWorldEvent event)
{
    size_t place = queue->count++;

    if (queue->count > queue->room) {
        queue->room = queue->room == 0 ? ROOM_START : queue->room * 2;
        queue->events = (struct SlWorldEvent *)realloc(
            queue->events, queue->room * sizeof(*queue->events));
        assert(queue->events != NULL);
    }
    event.order = queue->order++;
    queue->events[place] = event;
    while (place > 0 &&
           is_before(&queue->events[place], &queue->events[(place - 1) / 2])) {
        swap(&queue->events[place], &queue->events[(place - 1) / 2]);
        place = (place - 1) / 2;
    }
}

bool
SlWorldQueue_Pop(struct SlWorldQueue *queue, struct SlWorldEvent *event)
{
    size_t place = 0;

    if (queue->count == 0) {
        return false;
    }
    *event = queue->events[0];
    queue->events[0] = queue->events[--queue->count];
    for (;;) {
        size_t least = place;

        for (size_t child = 2 * place + 1; child <= 2 * place + 2; child++) {
            if (child < queue->count &&
                is_before(&queue->events[child], &queue->events[least])) {
                least = child;
            }
        }
        if (least == place) {
            return true;
        }
        swap(&queue->events[place], &queue->events[least]);
        place = least;
    }
}

void
SlWorldQueue_Release(struct SlWorldQueue *queue)
{
    for (size_t i = 0; i < queue->count; i++) {
        free(queue->events[i].bytes);
    }
    free(queue->events);
    *queue = (struct SlWorldQueue){0};
}

uint8_t *
SlWorldQueue_Copy(const void *bytes, uint32_t length_bytes)
{
    uint8_t *copy = (uint8_t *)malloc(length_bytes + 1);

    assert(copy != NULL);
    memcpy(copy, bytes, length_bytes);
    return copy;
}
