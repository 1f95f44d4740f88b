#include "node_set.h"

#include <stdlib.h>
#include <string.h>

enum {
    INITIAL_CAPACITY = 8,
};

/// Returns the position of the first id that is not lower.
static uint32_t
lower_bound(const struct SlNodeSet *set, uint64_t id)
{
    uint32_t low = 0;
    uint32_t high = set->count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (set->ids[middle] < id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

bool
SlNodeSet_Contains(const struct SlNodeSet *set, uint64_t id)
{
    uint32_t position = lower_bound(set, id);

    return position < set->count && set->ids[position] == id;
}

bool
SlNodeSet_Add(struct SlNodeSet *set, uint64_t id)
{
    uint32_t position = lower_bound(set, id);

    if (position < set->count && set->ids[position] == id) {
        return true;
    }
    if (set->count == set->capacity) {
        uint32_t capacity =
            set->capacity == 0 ? INITIAL_CAPACITY : set->capacity * 2;
        uint64_t *ids = realloc(set->ids, capacity * sizeof(*ids));

        if (ids == NULL) {
            return false;
        }
        set->ids = ids;
        set->capacity = capacity;
    }
    memmove(&set->ids[position + 1], &set->ids[position],
            (set->count - position) * sizeof(*set->ids));
    set->ids[position] = id;
    set->count++;
    return true;
}

bool
SlNodeSet_Remove(struct SlNodeSet *set, uint64_t id)
{
    uint32_t position = lower_bound(set, id);

    if (position == set->count || set->ids[position] != id) {
        return false;
    }
    set->count--;
    memmove(&set->ids[position], &set->ids[position + 1],
            (set->count - position) * sizeof(*set->ids));
    return true;
}

void
SlNodeSet_Release(struct SlNodeSet *set)
{
    free(set->ids);
    *set = (struct SlNodeSet){.count = 0};
}
