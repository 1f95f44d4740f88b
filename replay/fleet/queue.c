#include "queue.h"

#include <stdlib.h>

enum {
    INITIAL_CAPACITY = 1024,
};

static bool
is_before(const struct fleet_task *a, const struct fleet_task *b)
{
    return a->due_us != b->due_us ? a->due_us < b->due_us
                                  : a->order < b->order;
}

bool
fleet_queue_push(struct fleet_queue *queue, struct fleet_task task)
{
    uint32_t index = queue->count;

    if (queue->count == queue->capacity) {
        uint32_t capacity =
            queue->capacity == 0 ? INITIAL_CAPACITY : queue->capacity * 2;
        struct fleet_task *tasks =
            realloc(queue->tasks, capacity * sizeof(*tasks));

        if (tasks == NULL) {
            free(task.datagram);
            return false;
        }
        queue->tasks = tasks;
        queue->capacity = capacity;
    }
    task.order = queue->order++;
    queue->count++;
    while (index > 0 && is_before(&task, &queue->tasks[(index - 1) / 2])) {
        queue->tasks[index] = queue->tasks[(index - 1) / 2];
        index = (index - 1) / 2;
    }
    queue->tasks[index] = task;
    return true;
}

bool
fleet_queue_pop(struct fleet_queue *queue, struct fleet_task *task)
{
    struct fleet_task last;
    uint32_t index = 0;

    if (queue->count == 0) {
        return false;
    }
    *task = queue->tasks[0];
    last = queue->tasks[--queue->count];
    for (;;) {
        uint32_t child = index * 2 + 1;

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
        queue->tasks[index] = queue->tasks[child];
        index = child;
    }
    queue->tasks[index] = last;
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
