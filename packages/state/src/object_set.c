#include "object_set.h"

#include <stdlib.h>
#include <string.h>

enum {
    INITIAL_CAPACITY = 16,
};

static void
unref_object(struct SlSharedObject *shared)
{
    if (atomic_fetch_sub(&shared->reference_count, 1) == 1) {
        free(shared);
    }
}

/// Returns the position of the object with this name, or the position at which
/// such an object would be inserted. found: receives whether there is one.
static uint32_t
find_position(const struct SlObjectSet *set, const char *name, bool *found)
{
    uint32_t low = 0;
    uint32_t high = set->object_count;

    *found = false;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        int order = strcmp(set->items[middle]->object.name, name);

        if (order == 0) {
            *found = true;
            return middle;
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

const struct SlObject *
SlObjectSet_Find(const struct SlObjectSet *set, const char *name)
{
    bool found;
    uint32_t position = find_position(set, name, &found);

    return found ? &set->items[position]->object : NULL;
}

static enum SlStatus
reserve_items(struct SlObjectSet *set, uint32_t count)
{
    uint32_t capacity = set->capacity ? set->capacity : INITIAL_CAPACITY;
    struct SlSharedObject **items;

    if (count <= set->capacity) {
        return SL_OK;
    }
    while (capacity < count) {
        capacity *= 2;
    }
    items = realloc(set->items, capacity * sizeof(struct SlSharedObject *));
    if (items == NULL) {
        return SL_NO_MEMORY;
    }
    set->items = items;
    set->capacity = capacity;
    return SL_OK;
}

enum SlStatus
SlObjectSet_Put(struct SlObjectSet *set, const struct SlObject *object)
{
    struct SlSharedObject *shared;
    bool found;
    uint32_t position = find_position(set, object->name, &found);

    if (!found && reserve_items(set, set->object_count + 1) != SL_OK) {
        return SL_NO_MEMORY;
    }
    shared = malloc(sizeof(*shared));
    if (shared == NULL) {
        return SL_NO_MEMORY;
    }
    shared->object = *object;
    atomic_init(&shared->reference_count, 1);
    if (found) {
        unref_object(set->items[position]);
    }
    else {
        memmove(&set->items[position + 1], &set->items[position],
                (set->object_count - position) *
                    sizeof(struct SlSharedObject *));
        set->object_count++;
    }
    set->items[position] = shared;
    return SL_OK;
}

bool
SlObjectSet_Remove(struct SlObjectSet *set, const char *name)
{
    bool found;
    uint32_t position = find_position(set, name, &found);

    if (!found) {
        return false;
    }
    unref_object(set->items[position]);
    set->object_count--;
    memmove(&set->items[position], &set->items[position + 1],
            (set->object_count - position) * sizeof(struct SlSharedObject *));
    return true;
}

enum SlStatus
SlObjectSet_Share(struct SlObjectSet *to, const struct SlObjectSet *from)
{
    if (reserve_items(to, from->object_count) != SL_OK) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < from->object_count; i++) {
        atomic_fetch_add(&from->items[i]->reference_count, 1);
        to->items[i] = from->items[i];
    }
    to->object_count = from->object_count;
    return SL_OK;
}

void
SlObjectSet_Release(struct SlObjectSet *set)
{
    for (uint32_t i = 0; i < set->object_count; i++) {
        unref_object(set->items[i]);
    }
    free(set->items);
    *set = (struct SlObjectSet){.items = NULL};
}
