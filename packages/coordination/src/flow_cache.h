#ifndef SAVORYLEDGE_COORDINATION_FLOW_CACHE_H
#define SAVORYLEDGE_COORDINATION_FLOW_CACHE_H

/// Cache that maps the hash of a flow to the node that holds the flow. Its
/// size is fixed; when a set is full, its least recently used entry is
/// replaced. Two flows with the same hash share an entry: a packet may then be
/// sent to the wrong agent, which forwards it.

#include <stdbool.h>
#include <stdint.h>

struct flow_cache;

/// Creates a cache. flows: expected number of flows, at 16 bytes each. Returns
/// NULL when out of memory.
struct flow_cache *
flow_cache_create(uint32_t flows);
/// Destroys a cache, which may be NULL.
void
flow_cache_destroy(struct flow_cache *cache);

/// Prefetches the flow's set. Only the upper half of the hash is used.
void
flow_cache_prefetch(const struct flow_cache *cache, uint64_t hash);

/// Returns the holder of a flow; 0 when the flow is not in the cache. May be
/// called by any number of threads.
uint64_t
flow_cache_get_holder(struct flow_cache *cache, uint64_t hash,
                      uint64_t now_us);
void
flow_cache_put_holder(struct flow_cache *cache, uint64_t hash, uint64_t now_us,
                      uint64_t node_id);
/// Removes a flow from the cache if node_id is its holder; with node_id 0,
/// whoever its holder is. Returns true when the flow was removed.
bool
flow_cache_remove_holder(struct flow_cache *cache, uint64_t hash,
                         uint64_t node_id);

uint64_t
flow_cache_bytes(const struct flow_cache *cache);

#endif
