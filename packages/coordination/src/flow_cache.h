#ifndef SAVORYLEDGE_COORDINATION_FLOW_CACHE_H
#define SAVORYLEDGE_COORDINATION_FLOW_CACHE_H

/// A cache from the hash of a flow to the node that holds the flow. Its size
/// is fixed; a full set drops what was unused for longest. Two flows with one
/// hash share a place, which costs a detour and nothing else.

#include <stdbool.h>
#include <stdint.h>

struct flow_cache;

/// flows: how many it is meant for, at 16 bytes each. NULL without memory.
struct flow_cache *
flow_cache_create(uint32_t flows);
/// NULL is allowed.
void
flow_cache_destroy(struct flow_cache *cache);

/// Starts loading the flow's place, of which only the upper half of the hash
/// has to be known.
void
flow_cache_prefetch(const struct flow_cache *cache, uint64_t hash);

/// Any number of threads. Returns 0 when the flow is not known.
uint64_t
flow_cache_get(struct flow_cache *cache, uint64_t hash, uint64_t now_us);
void
flow_cache_put(struct flow_cache *cache, uint64_t hash, uint64_t now_us,
               uint64_t node_id);
/// Forgets the flow if node_id is its holder, or whoever holds it if node_id
/// is 0. Returns true when it was known.
bool
flow_cache_remove(struct flow_cache *cache, uint64_t hash, uint64_t node_id);

uint64_t
flow_cache_bytes(const struct flow_cache *cache);

#endif
