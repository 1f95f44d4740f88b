#ifndef SAVORYLEDGE_COORDINATION_NODE_SET_H
#define SAVORYLEDGE_COORDINATION_NODE_SET_H

/// A set of node ids, as a sorted array.

#include <stdbool.h>
#include <stdint.h>

/// Zero-initialise before use.
struct SlNodeSet {
    uint32_t count;
    uint32_t capacity;
    uint64_t *ids;
};

/// Adds an id, which may already be in the set. Returns false when out of
/// memory; the set is unchanged then.
bool
SlNodeSet_Add(struct SlNodeSet *set, uint64_t id);
bool
SlNodeSet_Contains(const struct SlNodeSet *set, uint64_t id);
/// Removes an id. Returns false when it is not in the set.
bool
SlNodeSet_Remove(struct SlNodeSet *set, uint64_t id);
/// Removes all ids and frees the memory.
void
SlNodeSet_Release(struct SlNodeSet *set);

#endif
