#ifndef SAVORYLEDGE_COORDINATION_RELAY_INDEX_H
#define SAVORYLEDGE_COORDINATION_RELAY_INDEX_H

/// Hash table of flows by their key, with a list in order of last use and a
/// list of pending flows: those with a timer, which the owner checks on every
/// tick. Embed struct SlRelayItem as the first member of the indexed type. The
/// index does not own the items.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/address.h"

struct SlRelayItem {
    struct SlFlowKey key;
    uint64_t hash;
    uint64_t used_us;
    struct SlRelayItem *next;
    struct SlRelayItem *older;
    struct SlRelayItem *newer;
    struct SlRelayItem *pending_next;
    struct SlRelayItem *pending_previous;
    bool pending;
};

struct SlRelayIndex {
    uint64_t seed;
    uint32_t count;
    uint32_t capacity;
    struct SlRelayItem **heads;
    struct SlRelayItem *oldest;
    struct SlRelayItem *newest;
    struct SlRelayItem *pending;
};

/// Returns NULL when the key is not in the index. Zero-initialise an index,
/// and set its seed, before first use.
struct SlRelayItem *
SlRelayIndex_Find(const struct SlRelayIndex *index,
                  const struct SlFlowKey *key);
/// Adds an item whose key is set and not yet in the index. Errors:
/// SL_NO_MEMORY.
enum SlStatus
SlRelayIndex_Add(struct SlRelayIndex *index, uint64_t now_us,
                 struct SlRelayItem *item);
/// Sets the time of last use of an item, which makes it the newest item.
void
SlRelayIndex_MarkUsed(struct SlRelayIndex *index, uint64_t now_us,
                      struct SlRelayItem *item);
void
SlRelayIndex_Remove(struct SlRelayIndex *index, struct SlRelayItem *item);
/// Returns the least recently used item; NULL when the index is empty.
struct SlRelayItem *
SlRelayIndex_OldestItem(const struct SlRelayIndex *index);
/// Adds an item to the pending list, or removes it from the list. Has no
/// effect when the item is already on the list, or not on it.
void
SlRelayIndex_AddPending(struct SlRelayIndex *index, struct SlRelayItem *item);
void
SlRelayIndex_RemovePending(struct SlRelayIndex *index,
                           struct SlRelayItem *item);
/// Frees the hash table but not the items.
void
SlRelayIndex_Release(struct SlRelayIndex *index);

#endif
