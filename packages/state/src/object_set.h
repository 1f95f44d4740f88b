#ifndef SAVORYLEDGE_STATE_OBJECT_SET_H
#define SAVORYLEDGE_STATE_OBJECT_SET_H

/// A set of objects sorted by name. Objects in a set are immutable: a change
/// replaces the object by a new one, so that clones of a configuration share
/// unchanged objects by reference count.

#include <stdatomic.h>

#include "savoryledge/state/object.h"

/// An immutable object with its number of references.
struct SlSharedObject {
    struct SlObject object;
    atomic_uint reference_count;
};

struct SlObjectSet {
    /// The objects, sorted by name.
    struct SlSharedObject **items;
    uint32_t object_count;
    uint32_t capacity;
};

/// Returns the object with this name, or NULL when there is none. The object
/// is borrowed until it is replaced or removed.
const struct SlObject *
SlObjectSet_Find(const struct SlObjectSet *set, const char *name);

/// Stores a copy of object, replacing the object with the same name if there
/// is one. Errors: SL_NO_MEMORY.
enum SlStatus
SlObjectSet_Put(struct SlObjectSet *set, const struct SlObject *object);

/// Removes the object with this name. Returns false when there is none.
bool
SlObjectSet_Remove(struct SlObjectSet *set, const char *name);

/// Fills the empty set "to" with references to the objects of the set "from".
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlObjectSet_Share(struct SlObjectSet *to, const struct SlObjectSet *from);

/// Drops all references and frees the memory of the set, which is empty
/// afterwards.
void
SlObjectSet_Release(struct SlObjectSet *set);

#endif
