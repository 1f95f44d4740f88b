#ifndef SAVORYLEDGE_COORDINATION_RELAY_INDEX_H
#define SAVORYLEDGE_COORDINATION_RELAY_INDEX_H

/// Flows by their key, in order of last use, and a list of those that wait
/// for something to happen soon. Embed SlRelayItem as the
/// first member of what is indexed; the index owns nothing.

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
    struct SlRelayItem *waiting_next;
    struct SlRelayItem *waiting_previous;
    bool waiting;
};

struct SlRelayIndex {
    uint64_t seed;
    uint32_t count;
    uint32_t room;
    struct SlRelayItem **heads;
    struct SlRelayItem *oldest;
    struct SlRelayItem *newest;
    struct SlRelayItem *waiting;
};

/// Zero-initialise it but for seed. NULL when there is none.
struct SlRelayItem *
SlRelayIndex_Find(const struct SlRelayIndex *index,
                  const struct SlFlowKey *key);
/// Adds an item whose key is set and not in the index yet.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlRelayIndex_Add(struct SlRelayIndex *index, uint64_t now_us,
                 struct SlRelayItem *item);
/// Notes a use, which makes the item the newest.
void
SlRelayIndex_Use(struct SlRelayIndex *index, uint64_t now_us,
                 struct SlRelayItem *item);
void
SlRelayIndex_Remove(struct SlRelayIndex *index, struct SlRelayItem *item);
/// The item unused for longest; NULL when empty.
struct SlRelayItem *
SlRelayIndex_Oldest(const struct SlRelayIndex *index);
/// Puts the item among those that wait, and takes it out; repeated calls are
/// one.
void
SlRelayIndex_Wait(struct SlRelayIndex *index, struct SlRelayItem *item);
void
SlRelayIndex_StopWaiting(struct SlRelayIndex *index, struct SlRelayItem *item);
/// Frees the table; items are their owner's.
void
SlRelayIndex_Release(struct SlRelayIndex *index);

#endif
