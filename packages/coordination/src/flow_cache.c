#include "flow_cache.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

enum {
    SHARDS = 64,
    WAYS = 8,
    /// Twice as many ways as flows, so that few sets overflow.
    WAYS_PER_FLOW = 2,
    /// The time of last use is stored in steps of 2^22 us, about four seconds.
    AGE_SHIFT_BITS = 22,
    AGE_BITS = 16,
    NODE_BITS = 14,
    TAG_SHIFT_BITS = AGE_BITS + NODE_BITS,
    NODE_SLOTS = 1 << NODE_BITS,
    NODE_PROBES = 32,
    CACHE_LINE_BYTES = 64,
    /// Size of a huge page.
    LARGE_PAGE_BYTES = 2 << 20,
};

static const uint64_t AGE_MASK = (UINT64_C(1) << AGE_BITS) - 1;
static const uint64_t NODE_MASK = NODE_SLOTS - 1;

/// A set is one cache line. A way has, from the upper bits down, the tag (bits
/// of the flow's hash), the number of the holder, and the time of the last
/// use. 0: the way is free.
struct set {
    uint64_t ways[WAYS];
};

/// Lock of the sets whose numbers have the same lowest bits.
struct shard {
    _Alignas(64) pthread_mutex_t lock;
};

struct flow_cache {
    /// Hash table of node ids. A node's index in it is its number, which never
    /// changes.
    _Atomic uint64_t nodes[NODE_SLOTS];
    uint32_t set_count;
    size_t set_bytes;
    struct set *sets;
    struct shard shards[SHARDS];
};

/// Allocates the sets in huge pages where the kernel has them, because a cache
/// that is spread over many small pages also causes TLB misses.
static struct set *
allocate_sets(size_t bytes)
{
    struct set *sets = aligned_alloc(LARGE_PAGE_BYTES, bytes);

    if (sets != NULL) {
        (void)madvise(sets, bytes, MADV_HUGEPAGE);
        memset(sets, 0, bytes);
    }
    return sets;
}

static size_t
round_up(size_t bytes, size_t unit_bytes)
{
    return (bytes + unit_bytes - 1) / unit_bytes * unit_bytes;
}

struct flow_cache *
flow_cache_create(uint32_t flows)
{
    struct flow_cache *cache = aligned_alloc(CACHE_LINE_BYTES, sizeof(*cache));
    uint64_t way_count = (uint64_t)flows * WAYS_PER_FLOW;

    if (cache == NULL) {
        return NULL;
    }
    memset(cache, 0, sizeof(*cache));
    cache->set_count = (uint32_t)(way_count / WAYS) + 1;
    cache->set_bytes = cache->set_count * sizeof(struct set);
    cache->sets = allocate_sets(round_up(cache->set_bytes, LARGE_PAGE_BYTES));
    if (cache->sets == NULL) {
        free(cache);
        return NULL;
    }
    for (uint32_t i = 0; i < SHARDS; i++) {
        pthread_mutex_init(&cache->shards[i].lock, NULL);
    }
    return cache;
}

void
flow_cache_destroy(struct flow_cache *cache)
{
    if (cache == NULL) {
        return;
    }
    for (uint32_t i = 0; i < SHARDS; i++) {
        pthread_mutex_destroy(&cache->shards[i].lock);
    }
    free(cache->sets);
    free(cache);
}

uint64_t
flow_cache_bytes(const struct flow_cache *cache)
{
    return sizeof(*cache) + cache->set_bytes;
}

/// Returns the number of a node; NODE_SLOTS when the table has no free slot
/// for it.
static uint32_t
node_number(struct flow_cache *cache, uint64_t node_id)
{
    for (uint32_t probe = 0; probe < NODE_PROBES; probe++) {
        uint32_t number = (uint32_t)((node_id + probe) & NODE_MASK);
        uint64_t stored_id = atomic_load(&cache->nodes[number]);

        if (stored_id == 0) {
            atomic_compare_exchange_strong(&cache->nodes[number], &stored_id,
                                           node_id);
            stored_id = atomic_load(&cache->nodes[number]);
        }
        if (stored_id == node_id) {
            return number;
        }
    }
    return NODE_SLOTS;
}

static uint64_t
holder_of_way(struct flow_cache *cache, uint64_t way)
{
    return atomic_load(&cache->nodes[way >> AGE_BITS & NODE_MASK]);
}

/// Returns the tag, shifted to its position in a way; never 0.
static uint64_t
hash_tag(uint64_t hash)
{
    uint64_t tag = hash << TAG_SHIFT_BITS;

    return tag ? tag : UINT64_C(1) << TAG_SHIFT_BITS;
}

static uint64_t
current_age(uint64_t now_us)
{
    return now_us >> AGE_SHIFT_BITS & AGE_MASK;
}

static uint32_t
set_index_of_hash(const struct flow_cache *cache, uint64_t hash)
{
    return (uint32_t)((hash >> 32) * cache->set_count >> 32);
}

void
flow_cache_prefetch(const struct flow_cache *cache, uint64_t hash)
{
    __builtin_prefetch(&cache->sets[set_index_of_hash(cache, hash)]);
}

static struct set *
lock_set(struct flow_cache *cache, uint64_t hash)
{
    uint32_t number = set_index_of_hash(cache, hash);

    pthread_mutex_lock(&cache->shards[number % SHARDS].lock);
    return &cache->sets[number];
}

static void
unlock_set(struct flow_cache *cache, uint64_t hash)
{
    uint32_t number = set_index_of_hash(cache, hash);

    pthread_mutex_unlock(&cache->shards[number % SHARDS].lock);
}

/// Returns the way of the flow; NULL when it is not in the set.
static uint64_t *
find_way(struct set *set, uint64_t hash)
{
    uint64_t tag = hash_tag(hash);

    for (uint32_t i = 0; i < WAYS; i++) {
        if ((set->ways[i] ^ tag) >> TAG_SHIFT_BITS == 0) {
            return &set->ways[i];
        }
    }
    return NULL;
}

/// Updates the time of the last use. The way is written only if the time has
/// changed, which saves a memory write for most packets.
static void
update_age(uint64_t *way, uint64_t now_us)
{
    uint64_t used = (*way & ~AGE_MASK) | current_age(now_us);

    if (*way != used) {
        *way = used;
    }
}

uint64_t
flow_cache_get_holder(struct flow_cache *cache, uint64_t hash, uint64_t now_us)
{
    struct set *set = lock_set(cache, hash);
    uint64_t *way = find_way(set, hash);
    uint64_t node_id = 0;

    if (way != NULL) {
        node_id = holder_of_way(cache, *way);
        update_age(way, now_us);
    }
    unlock_set(cache, hash);
    return node_id;
}

/// Returns a free way, or else the least recently used one.
static uint64_t *
choose_victim(struct set *set, uint64_t now_us)
{
    uint64_t *best = &set->ways[0];
    uint64_t best_age = 0;

    for (uint32_t i = 0; i < WAYS; i++) {
        uint64_t age = (current_age(now_us) - set->ways[i]) & AGE_MASK;

        if (set->ways[i] == 0) {
            return &set->ways[i];
        }
        if (age > best_age) {
            best = &set->ways[i];
            best_age = age;
        }
    }
    return best;
}

void
flow_cache_put_holder(struct flow_cache *cache, uint64_t hash, uint64_t now_us,
                      uint64_t node_id)
{
    uint64_t number = node_number(cache, node_id);
    struct set *set;
    uint64_t *way;

    if (number == NODE_SLOTS) {
        return;
    }
    set = lock_set(cache, hash);
    way = find_way(set, hash);
    if (way == NULL) {
        way = choose_victim(set, now_us);
    }
    *way = hash_tag(hash) | number << AGE_BITS | current_age(now_us);
    unlock_set(cache, hash);
}

bool
flow_cache_remove_holder(struct flow_cache *cache, uint64_t hash,
                         uint64_t node_id)
{
    struct set *set = lock_set(cache, hash);
    uint64_t *way = find_way(set, hash);
    bool found =
        way != NULL && (node_id == 0 || holder_of_way(cache, *way) == node_id);

    if (found) {
        *way = 0;
    }
    unlock_set(cache, hash);
    return found;
}
