#include "flow_cache.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

enum {
    SHARDS = 64,
    WAYS = 8,
    /// Half of the places stay free, so that few sets overflow.
    PLACES_PER_FLOW = 2,
    /// Age is kept in steps of 2^22 us, about four seconds.
    AGE_SHIFT_BITS = 22,
    AGE_BITS = 16,
    NODE_BITS = 14,
    TAG_SHIFT_BITS = AGE_BITS + NODE_BITS,
    NODES = 1 << NODE_BITS,
    NODE_PROBES = 32,
    CACHE_LINE_BYTES = 64,
    /// Size of the pages that the kernel is asked for.
    LARGE_PAGE_BYTES = 2 << 20,
};

static const uint64_t AGE_MASK = (UINT64_C(1) << AGE_BITS) - 1;
static const uint64_t NODE_MASK = NODES - 1;

/// One cache line. A way holds, from the upper bits down, the tag (bits of
/// the flow's hash), the number of the holder, and the time of the last use;
/// 0 when it is free.
struct set {
    uint64_t ways[WAYS];
};

/// Sets with the same lowest bits of their number share a lock.
struct shard {
    _Alignas(64) pthread_mutex_t lock;
};

struct flow_cache {
    /// Numbers of nodes, which never change: places in a hash table.
    _Atomic uint64_t nodes[NODES];
    uint32_t set_count;
    size_t set_bytes;
    struct set *sets;
    struct shard shards[SHARDS];
};

/// Memory in large pages where the kernel has them: a cache that is spread
/// over many small pages misses in the processor's page tables too.
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
    uint64_t places = (uint64_t)flows * PLACES_PER_FLOW;

    if (cache == NULL) {
        return NULL;
    }
    memset(cache, 0, sizeof(*cache));
    cache->set_count = (uint32_t)(places / WAYS) + 1;
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

/// The number of a node, NODES when the table has no room for it.
static uint32_t
node_number(struct flow_cache *cache, uint64_t node_id)
{
    for (uint32_t probe = 0; probe < NODE_PROBES; probe++) {
        uint32_t number = (uint32_t)((node_id + probe) & NODE_MASK);
        uint64_t present = atomic_load(&cache->nodes[number]);

        if (present == 0) {
            atomic_compare_exchange_strong(&cache->nodes[number], &present,
                                           node_id);
            present = atomic_load(&cache->nodes[number]);
        }
        if (present == node_id) {
            return number;
        }
    }
    return NODES;
}

static uint64_t
holder_of(struct flow_cache *cache, uint64_t way)
{
    return atomic_load(&cache->nodes[way >> AGE_BITS & NODE_MASK]);
}

/// The tag where it stands in a way; never 0.
static uint64_t
tag_of(uint64_t hash)
{
    uint64_t tag = hash << TAG_SHIFT_BITS;

    return tag ? tag : UINT64_C(1) << TAG_SHIFT_BITS;
}

static uint64_t
age_now(uint64_t now_us)
{
    return now_us >> AGE_SHIFT_BITS & AGE_MASK;
}

static uint32_t
set_number(const struct flow_cache *cache, uint64_t hash)
{
    return (uint32_t)((hash >> 32) * cache->set_count >> 32);
}

void
flow_cache_prefetch(const struct flow_cache *cache, uint64_t hash)
{
    __builtin_prefetch(&cache->sets[set_number(cache, hash)]);
}

static struct set *
lock_set(struct flow_cache *cache, uint64_t hash)
{
    uint32_t number = set_number(cache, hash);

    pthread_mutex_lock(&cache->shards[number % SHARDS].lock);
    return &cache->sets[number];
}

static void
unlock_set(struct flow_cache *cache, uint64_t hash)
{
    uint32_t number = set_number(cache, hash);

    pthread_mutex_unlock(&cache->shards[number % SHARDS].lock);
}

/// NULL when the flow is not there.
static uint64_t *
find(struct set *set, uint64_t hash)
{
    uint64_t tag = tag_of(hash);

    for (uint32_t i = 0; i < WAYS; i++) {
        if ((set->ways[i] ^ tag) >> TAG_SHIFT_BITS == 0) {
            return &set->ways[i];
        }
    }
    return NULL;
}

/// Written only when the age changes, which spares the memory a write for
/// most packets.
static void
note_use(uint64_t *way, uint64_t now_us)
{
    uint64_t used = (*way & ~AGE_MASK) | age_now(now_us);

    if (*way != used) {
        *way = used;
    }
}

uint64_t
flow_cache_get(struct flow_cache *cache, uint64_t hash, uint64_t now_us)
{
    struct set *set = lock_set(cache, hash);
    uint64_t *way = find(set, hash);
    uint64_t node_id = 0;

    if (way != NULL) {
        node_id = holder_of(cache, *way);
        note_use(way, now_us);
    }
    unlock_set(cache, hash);
    return node_id;
}

/// A free way, or the one unused for longest.
static uint64_t *
choose_way(struct set *set, uint64_t now_us)
{
    uint64_t *best = &set->ways[0];
    uint64_t best_age = 0;

    for (uint32_t i = 0; i < WAYS; i++) {
        uint64_t age = (age_now(now_us) - set->ways[i]) & AGE_MASK;

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
flow_cache_put(struct flow_cache *cache, uint64_t hash, uint64_t now_us,
               uint64_t node_id)
{
    uint64_t number = node_number(cache, node_id);
    struct set *set;
    uint64_t *way;

    if (number == NODES) {
        return;
    }
    set = lock_set(cache, hash);
    way = find(set, hash);
    if (way == NULL) {
        way = choose_way(set, now_us);
    }
    *way = tag_of(hash) | number << AGE_BITS | age_now(now_us);
    unlock_set(cache, hash);
}

bool
flow_cache_remove(struct flow_cache *cache, uint64_t hash, uint64_t node_id)
{
    struct set *set = lock_set(cache, hash);
    uint64_t *way = find(set, hash);
    bool found =
        way != NULL && (node_id == 0 || holder_of(cache, *way) == node_id);

    if (found) {
        *way = 0;
    }
    unlock_set(cache, hash);
    return found;
}
