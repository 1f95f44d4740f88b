#include "flow_cache.h"

#include <pthread.h>
#include <stdlib.h>

enum {
    SHARDS = 64,
    WAYS = 8,
    /// Age is kept in steps of 2^20 us, about a second.
    AGE_SHIFT_BITS = 20,
};

/// Tags stand together, so that a search reads one cache line.
struct set {
    uint64_t tags[WAYS];
    uint64_t nodes[WAYS];
    uint32_t used[WAYS];
};

/// Sets with the same lowest bits of their number share a lock.
struct shard {
    _Alignas(64) pthread_mutex_t lock;
};

struct flow_cache {
    uint32_t set_mask;
    struct set *sets;
    struct shard shards[SHARDS];
};

struct flow_cache *
flow_cache_create(uint32_t flows)
{
    struct flow_cache *cache = aligned_alloc(64, sizeof(*cache));
    uint32_t sets = SHARDS;

    if (cache == NULL) {
        return NULL;
    }
    while (sets * (uint64_t)WAYS < flows) {
        sets *= 2;
    }
    cache->set_mask = sets - 1;
    cache->sets = calloc(sets, sizeof(*cache->sets));
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
    return sizeof(*cache) + (cache->set_mask + 1ULL) * sizeof(*cache->sets);
}

/// 0 marks a free place.
static uint64_t
tag_of(uint64_t hash)
{
    return hash ? hash : 1;
}

static uint32_t
set_number(const struct flow_cache *cache, uint64_t hash)
{
    return (uint32_t)(hash >> 32) & cache->set_mask;
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

/// WAYS when the tag is not there.
static uint32_t
find(const struct set *set, uint64_t tag)
{
    uint32_t way = 0;

    while (way < WAYS && set->tags[way] != tag) {
        way++;
    }
    return way;
}

uint64_t
flow_cache_get(struct flow_cache *cache, uint64_t hash, uint64_t now_us)
{
    struct set *set = lock_set(cache, hash);
    uint32_t way = find(set, tag_of(hash));
    uint64_t node_id = 0;

    if (way < WAYS) {
        node_id = set->nodes[way];
        set->used[way] = (uint32_t)(now_us >> AGE_SHIFT_BITS);
    }
    unlock_set(cache, hash);
    return node_id;
}

/// A free way, or the one unused for longest.
static uint32_t
choose_way(const struct set *set)
{
    uint32_t best = 0;

    for (uint32_t way = 0; way < WAYS; way++) {
        if (set->tags[way] == 0) {
            return way;
        }
        if (set->used[way] < set->used[best]) {
            best = way;
        }
    }
    return best;
}

void
flow_cache_put(struct flow_cache *cache, uint64_t hash, uint64_t now_us,
               uint64_t node_id)
{
    struct set *set = lock_set(cache, hash);
    uint32_t way = find(set, tag_of(hash));

    if (way == WAYS) {
        way = choose_way(set);
    }
    set->tags[way] = tag_of(hash);
    set->nodes[way] = node_id;
    set->used[way] = (uint32_t)(now_us >> AGE_SHIFT_BITS);
    unlock_set(cache, hash);
}

bool
flow_cache_remove(struct flow_cache *cache, uint64_t hash, uint64_t node_id)
{
    struct set *set = lock_set(cache, hash);
    uint32_t way = find(set, tag_of(hash));
    bool found = way < WAYS && (node_id == 0 || set->nodes[way] == node_id);

    if (found) {
        set->tags[way] = 0;
    }
    unlock_set(cache, hash);
    return found;
}
