#include <stdlib.h>
#include <string.h>

#include "control_core.h"

enum {
    SEEN_FIRST_ROOM = 32,
};

/// Index of the first entry whose id is at least node_id.
static uint32_t
lower_bound(const struct SlSeenTable *table, uint64_t node_id)
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

struct SlSeen *
SlSeenTable_Find(const struct SlSeenTable *table, uint64_t node_id)
{
    uint32_t at = lower_bound(table, node_id);

    if (at == table->count || table->items[at]->node_id != node_id) {
        return NULL;
    }
    return table->items[at];
}

struct SlSeen *
SlSeenTable_Add(struct SlSeenTable *table, uint64_t node_id)
{
    uint32_t at = lower_bound(table, node_id);
    struct SlSeen *seen;

    if (at < table->count && table->items[at]->node_id == node_id) {
        return table->items[at];
    }
    if (table->count == table->room) {
        uint32_t room = table->room ? table->room * 2 : SEEN_FIRST_ROOM;
        struct SlSeen **items =
            realloc(table->items, room * sizeof(struct SlSeen *));

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
    memmove(&table->items[at + 1], &table->items[at],
            (table->count - at) * sizeof(struct SlSeen *));
    table->items[at] = seen;
    table->count++;
    return seen;
}

void
SlSeenTable_Release(struct SlSeenTable *table)
{
    for (uint32_t i = 0; i < table->count; i++) {
        free(table->items[i]);
    }
    free(table->items);
    *table = (struct SlSeenTable){.count = 0};
}
