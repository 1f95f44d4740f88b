#include "queue.h"

#include <stdlib.h>

enum {
    FIRST_ROOM = 1024,
};

static bool
is_before(const struct fleet_task *a, const struct fleet_task *b)
{
    return a->due_us != b->due_us ? a->due_us < b->due_us
                                  : a->order < b->order;
}

bool
fleet_queue_add(struct fleet_queue *queue, struct fleet_task task)
{
    uint32_t at = queue->count;

    if (queue->count == queue->room) {
        uint32_t room = queue->room == 0 ? FIRST_ROOM : queue->room * 2;
        struct fleet_task *tasks =
            realloc(queue->tasks, room * sizeof(*tasks));

        if (tasks == NULL) {
            free(task.datagram);
            return false;
        }
        queue->tasks = tasks;
        queue->room = room;
    }
    task.order = queue->order++;
    queue->count++;
    while (at > 0 && is_before(&task, &queue->tasks[(at - 1) / 2])) {
        queue->tasks[at] = queue->tasks[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    queue->tasks[at] = task;
    return true;
}

bool
fleet_queue_take(struct fleet_queue *queue, struct fleet_task *task)
{
    struct fleet_task last;
    uint32_t at = 0;

    if (queue->count == 0) {
        return false;
    }
    *task = queue->tasks[0];
    last = queue->tasks[--queue->count];
    for (;;) {
        uint32_t child = at * 2 + 1;

        if (child >= queue->count) {
            break;
        }
        if (child + 1 < queue->count &&
            is_before(&queue->tasks[child + 1], &queue->tasks[child])) {
            child++;
        }
        if (!is_before(&queue->tasks[child], &last)) {
            break;
        }
        queue->tasks[at] = queue->tasks[child];
        at = child;
    }
    queue->tasks[at] = last;
    return true;
}

void
fleet_queue_release(struct fleet_queue *queue)
{
    for (uint32_t i = 0; i < queue->count; i++) {
        free(queue->tasks[i].datagram);
    }
    free(queue->tasks);
    *queue = (struct fleet_queue){.count = 0};
}
