#include "object_set.h"

#include <stdlib.h>
#include <string.h>

enum {
    FIRST_ROOM = 16,
};

static void
unref(struct SlSharedObject *shared)
{
    if (atomic_fetch_sub(&shared->references, 1) == 1) {
        free(shared);
    }
}

/// The place of name, or where it would stand.
static uint32_t
place_of(const struct SlObjectSet *set, const char *name, bool *found)
{
    uint32_t low = 0;
    uint32_t high = set->count;

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
    uint32_t place = place_of(set, name, &found);

    return found ? &set->items[place]->object : NULL;
}

static enum SlStatus
reserve(struct SlObjectSet *set, uint32_t count)
{
    uint32_t room = set->room ? set->room : FIRST_ROOM;
    struct SlSharedObject **items;

    if (count <= set->room) {
        return SL_OK;
    }
    while (room < count) {
        room *= 2;
    }
    items = realloc(set->items, room * sizeof(struct SlSharedObject *));
    if (items == NULL) {
        return SL_NO_MEMORY;
    }
    set->items = items;
    set->room = room;
    return SL_OK;
}

enum SlStatus
SlObjectSet_Put(struct SlObjectSet *set, const struct SlObject *object)
{
    struct SlSharedObject *shared;
    bool found;
    uint32_t place = place_of(set, object->name, &found);

    if (!found && reserve(set, set->count + 1) != SL_OK) {
        return SL_NO_MEMORY;
    }
    shared = malloc(sizeof(*shared));
    if (shared == NULL) {
        return SL_NO_MEMORY;
    }
    shared->object = *object;
    atomic_init(&shared->references, 1);
    if (found) {
        unref(set->items[place]);
    }
    else {
        memmove(&set->items[place + 1], &set->items[place],
                (set->count - place) * sizeof(struct SlSharedObject *));
        set->count++;
    }
    set->items[place] = shared;
    return SL_OK;
}

bool
SlObjectSet_Remove(struct SlObjectSet *set, const char *name)
{
    bool found;
    uint32_t place = place_of(set, name, &found);

    if (!found) {
        return false;
    }
    unref(set->items[place]);
    set->count--;
    memmove(&set->items[place], &set->items[place + 1],
            (set->count - place) * sizeof(struct SlSharedObject *));
    return true;
}

enum SlStatus
SlObjectSet_Share(struct SlObjectSet *to, const struct SlObjectSet *from)
{
    if (reserve(to, from->count) != SL_OK) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < from->count; i++) {
        atomic_fetch_add(&from->items[i]->references, 1);
        to->items[i] = from->items[i];
    }
    to->count = from->count;
    return SL_OK;
}

void
SlObjectSet_Release(struct SlObjectSet *set)
{
    for (uint32_t i = 0; i < set->count; i++) {
        unref(set->items[i]);
    }
    free(set->items);
    *set = (struct SlObjectSet){.items = NULL};
}
