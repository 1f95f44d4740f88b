#include <stdlib.h>
#include <string.h>

#include "control_core.h"

enum {
    INITIAL_CAPACITY = 32,
};

/// Index of the first entry whose id is at least node_id.
static uint32_t
lower_bound(const struct SlObservationTable *table, uint64_t node_id)
{
    uint32_t low = 0;
    uint32_t high = table->count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;

        if (table->items[middle]->node_id < node_id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

struct SlNodeObservation *
SlObservationTable_Find(const struct SlObservationTable *table,
                        uint64_t node_id)
{
    uint32_t index = lower_bound(table, node_id);

    if (index == table->count || table->items[index]->node_id != node_id) {
        return NULL;
    }
    return table->items[index];
}

struct SlNodeObservation *
SlObservationTable_Add(struct SlObservationTable *table, uint64_t node_id)
{
    uint32_t index = lower_bound(table, node_id);
    struct SlNodeObservation *seen;

    if (index < table->count && table->items[index]->node_id == node_id) {
        return table->items[index];
    }
    if (table->count == table->room) {
        uint32_t room = table->room ? table->room * 2 : INITIAL_CAPACITY;
        struct SlNodeObservation **items =
            realloc(table->items, room * sizeof(struct SlNodeObservation *));

        if (items == NULL) {
            return NULL;
        }
        table->items = items;
        table->room = room;
    }
    seen = calloc(1, sizeof(*seen));
    if (seen == NULL) {
        return NULL;
    }
    seen->node_id = node_id;
    memmove(&table->items[index + 1], &table->items[index],
            (table->count - index) * sizeof(struct SlNodeObservation *));
    table->items[index] = seen;
    table->count++;
    return seen;
}

void
SlObservationTable_Release(struct SlObservationTable *table)
{
    for (uint32_t i = 0; i < table->count; i++) {
        free(table->items[i]);
    }
    free(table->items);
    *table = (struct SlObservationTable){.count = 0};
}
