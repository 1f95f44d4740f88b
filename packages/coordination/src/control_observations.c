#include <stdlib.h>
#include <string.h>

#include "control_core.h"

enum {
    INITIAL_CAPACITY = 32,
};

/// Returns the index of the first entry whose id is at least node_id.
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
    struct SlNodeObservation *observation;

    if (index < table->count && table->items[index]->node_id == node_id) {
        return table->items[index];
    }
    if (table->count == table->capacity) {
        uint32_t capacity =
            table->capacity ? table->capacity * 2 : INITIAL_CAPACITY;
        struct SlNodeObservation **items = realloc(
            table->items, capacity * sizeof(struct SlNodeObservation *));

        if (items == NULL) {
            return NULL;
        }
        table->items = items;
        table->capacity = capacity;
    }
    observation = calloc(1, sizeof(*observation));
    if (observation == NULL) {
        return NULL;
    }
    observation->node_id = node_id;
    memmove(&table->items[index + 1], &table->items[index],
            (table->count - index) * sizeof(struct SlNodeObservation *));
    table->items[index] = observation;
    table->count++;
    return observation;
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
