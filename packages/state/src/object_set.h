#ifndef SAVORYLEDGE_STATE_OBJECT_SET_H
#define SAVORYLEDGE_STATE_OBJECT_SET_H

/// A sorted set of shared objects. Objects never change once they are in a
/// set: a change puts a new one in the old one's place, so that clones of a
/// configuration share what they have in common by reference count.

#include <stdatomic.h>

#include "savoryledge/state/object.h"

struct SlSharedObject {
    struct SlObject object;
    atomic_uint references;
};

struct SlObjectSet {
    struct SlSharedObject **items;
    uint32_t count;
    uint32_t room;
};

/// NULL when there is none.
const struct SlObject *
SlObjectSet_Find(const struct SlObjectSet *set, const char *name);

/// Puts a copy of object in, in place of one with the same name.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlObjectSet_Put(struct SlObjectSet *set, const struct SlObject *object);

/// Returns false when there was none.
bool
SlObjectSet_Remove(struct SlObjectSet *set, const char *name);

/// Fills to with the objects of from, shared. Errors: SL_NO_MEMORY.
enum SlStatus
SlObjectSet_Share(struct SlObjectSet *to, const struct SlObjectSet *from);

void
SlObjectSet_Release(struct SlObjectSet *set);

#endif
