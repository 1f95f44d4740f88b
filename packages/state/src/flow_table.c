#include "savoryledge/state/flow_table.h"

#include <assert.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

enum {
    DEFAULT_SHARDS = 16,
    CHUNK_ENTRIES = 64,
    FIRST_BUCKETS = 64,
    ROUND_MS = SL_WHEEL_SLOT_MS * SL_WHEEL_SLOTS,
    /// Lists of a shard: the wheel's slots, then the queues in order.
    LIST_HANDSHAKE = SL_WHEEL_SLOTS,
    LIST_SOFT,
    LISTS,
};

_Static_assert(sizeof(struct SlFlow) <= 120,
               "leaves 8 of 128 bytes for the index");

/// Entries are numbered from 1; 0 means "none".

struct SlFlowShard {
    pthread_mutex_t lock;
    struct SlFlowTable *table;
    struct SlFlow **chunks;
    uint32_t chunk_count;
    uint32_t places;
    uint32_t free_first;
    uint32_t count;
    uint32_t limit;
    uint32_t *buckets;
    uint32_t bucket_count;
    uint32_t handshakes;
    uint32_t soft;
    /// Start of the wheel slot that is looked at next.
    uint32_t slot_ms;
    /// First entry of each list; circular, so its previous is the last.
    uint32_t lists[LISTS];
};

struct SlFlowTable {
    uint64_t hash_seed;
    uint32_t shard_count;
    struct SlFlowShard *shards;
    atomic_uint_fast64_t count;
    atomic_uint_fast64_t bytes;
};

static struct SlFlow *
entry(const struct SlFlowShard *shard, uint32_t number)
{
    uint32_t place = number - 1;

    return &shard->chunks[place / CHUNK_ENTRIES][place % CHUNK_ENTRIES];
}

/// The number of an entry, found through the chain of its bucket.
static uint32_t
number_of(const struct SlFlowShard *shard, const struct SlFlow *flow)
{
    uint32_t number = shard->buckets[flow->hash & (shard->bucket_count - 1)];

    while (number != 0 && entry(shard, number) != flow) {
        number = entry(shard, number)->next;
    }
    assert(number != 0);
    return number;
}

static uint32_t
list_of(const struct SlFlow *flow)
{
    if (flow->queue == SL_FLOW_QUEUE_HANDSHAKE) {
        return LIST_HANDSHAKE;
    }
    if (flow->queue == SL_FLOW_QUEUE_SOFT_STATE) {
        return LIST_SOFT;
    }
    return (flow->due_ms / SL_WHEEL_SLOT_MS) % SL_WHEEL_SLOTS;
}

static uint32_t *
length_of(struct SlFlowShard *shard, enum SlFlowQueue queue)
{
    return queue == SL_FLOW_QUEUE_HANDSHAKE ? &shard->handshakes
                                            : &shard->soft;
}

static void
unlink_entry(struct SlFlowShard *shard, struct SlFlow *flow, uint32_t number)
{
    uint32_t *head = &shard->lists[list_of(flow)];

    if (flow->queue == SL_FLOW_QUEUE_NONE) {
        return;
    }
    if (flow->queue != SL_FLOW_QUEUE_TIMER_WHEEL) {
        (*length_of(shard, flow->queue))--;
    }
    entry(shard, flow->queue_next)->queue_previous = flow->queue_previous;
    entry(shard, flow->queue_previous)->queue_next = flow->queue_next;
    if (*head == number) {
        *head = flow->queue_next == number ? 0 : flow->queue_next;
    }
    flow->queue = SL_FLOW_QUEUE_NONE;
}

static void
link_entry(struct SlFlowShard *shard, struct SlFlow *flow, uint32_t number)
{
    uint32_t *head = &shard->lists[list_of(flow)];
    struct SlFlow *first;

    if (*head == 0) {
        *head = number;
        flow->queue_next = number;
        flow->queue_previous = number;
    }
    else {
        first = entry(shard, *head);
        flow->queue_next = *head;
        flow->queue_previous = first->queue_previous;
        entry(shard, first->queue_previous)->queue_next = number;
        first->queue_previous = number;
    }
    if (flow->queue != SL_FLOW_QUEUE_TIMER_WHEEL) {
        (*length_of(shard, flow->queue))++;
    }
}

static uint32_t
slot_start(uint32_t time_ms)
{
    return time_ms - time_ms % SL_WHEEL_SLOT_MS;
}

static bool
shard_init(struct SlFlowShard *shard, struct SlFlowTable *table,
           uint32_t limit, uint64_t now_us)
{
    shard->table = table;
    shard->limit = limit;
    shard->slot_ms = slot_start((uint32_t)(now_us / 1000));
    shard->bucket_count = FIRST_BUCKETS;
    shard->buckets = calloc(FIRST_BUCKETS, sizeof(*shard->buckets));
    if (shard->buckets == NULL) {
        return false;
    }
    return pthread_mutex_init(&shard->lock, NULL) == 0;
}

struct SlFlowTable *
SlFlowTable_Create(const struct SlFlowTableOptions *options, uint64_t now_us)
{
    struct SlFlowTable *table = calloc(1, sizeof(*table));
    uint32_t shards =
        options->shard_count ? options->shard_count : DEFAULT_SHARDS;

    assert((shards & (shards - 1)) == 0);
    if (table == NULL) {
        return NULL;
    }
    table->hash_seed = options->hash_seed;
    table->shards = calloc(shards, sizeof(*table->shards));
    if (table->shards == NULL) {
        SlFlowTable_Destroy(table);
        return NULL;
    }
    for (; table->shard_count < shards; table->shard_count++) {
        if (!shard_init(&table->shards[table->shard_count], table,
                        (options->max_entries + shards - 1) / shards,
                        now_us)) {
            free(table->shards[table->shard_count].buckets);
            SlFlowTable_Destroy(table);
            return NULL;
        }
    }
    atomic_store(&table->bytes,
                 sizeof(*table) + shards * (sizeof(struct SlFlowShard) +
                                            FIRST_BUCKETS * sizeof(uint32_t)));
    return table;
}

void
SlFlowTable_Destroy(struct SlFlowTable *table)
{
    if (table == NULL) {
        return;
    }
    for (uint32_t i = 0; i < table->shard_count; i++) {
        struct SlFlowShard *shard = &table->shards[i];

        for (uint32_t c = 0; c < shard->chunk_count; c++) {
            free(shard->chunks[c]);
        }
        free(shard->chunks);
        free(shard->buckets);
        pthread_mutex_destroy(&shard->lock);
    }
    free(table->shards);
    free(table);
}

uint32_t
SlFlowTable_ShardCount(const struct SlFlowTable *table)
{
    return table->shard_count;
}

uint64_t
SlFlowTable_Count(const struct SlFlowTable *table)
{
    return atomic_load_explicit(&table->count, memory_order_relaxed);
}

uint64_t
SlFlowTable_AllocatedBytes(const struct SlFlowTable *table)
{
    return atomic_load_explicit(&table->bytes, memory_order_relaxed);
}

struct SlFlowShard *
SlFlowTable_Lock(struct SlFlowTable *table, const struct SlFlowKey *key)
{
    uint64_t hash = SlFlowKey_Hash(key, table->hash_seed);

    return SlFlowTable_LockAt(table,
                              (uint32_t)(hash >> 32) % table->shard_count);
}

struct SlFlowShard *
SlFlowTable_LockAt(struct SlFlowTable *table, uint32_t index)
{
    assert(index < table->shard_count);
    pthread_mutex_lock(&table->shards[index].lock);
    return &table->shards[index];
}

void
SlFlowShard_Unlock(struct SlFlowShard *shard)
{
    pthread_mutex_unlock(&shard->lock);
}

static uint32_t
hash_of(const struct SlFlowShard *shard, const struct SlFlowKey *key)
{
    return (uint32_t)SlFlowKey_Hash(key, shard->table->hash_seed);
}

struct SlFlow *
SlFlowShard_Find(struct SlFlowShard *shard, const struct SlFlowKey *key)
{
    uint32_t hash = hash_of(shard, key);
    uint32_t number = shard->buckets[hash & (shard->bucket_count - 1)];

    while (number != 0) {
        struct SlFlow *flow = entry(shard, number);

        if (flow->hash == hash && SlFlowKey_Equal(&flow->key, key)) {
            return flow;
        }
        number = flow->next;
    }
    return NULL;
}

static void
add_bytes(struct SlFlowShard *shard, uint64_t bytes)
{
    atomic_fetch_add_explicit(&shard->table->bytes, bytes,
                              memory_order_relaxed);
}

/// Doubles the index when it is full; without memory chains grow longer.
static void
grow_buckets(struct SlFlowShard *shard)
{
    uint32_t wanted = shard->bucket_count * 2;
    uint32_t *buckets;

    if (shard->count < shard->bucket_count) {
        return;
    }
    buckets = calloc(wanted, sizeof(*buckets));
    if (buckets == NULL) {
        return;
    }
    for (uint32_t i = 0; i < shard->bucket_count; i++) {
        uint32_t number = shard->buckets[i];

        while (number != 0) {
            struct SlFlow *flow = entry(shard, number);
            uint32_t rest = flow->next;
            uint32_t *bucket = &buckets[flow->hash & (wanted - 1)];

            flow->next = *bucket;
            *bucket = number;
            number = rest;
        }
    }
    free(shard->buckets);
    add_bytes(shard,
              (uint64_t)(wanted - shard->bucket_count) * sizeof(*buckets));
    shard->buckets = buckets;
    shard->bucket_count = wanted;
}

/// Adds a chunk of free entries. The array of chunks grows by doubling.
static bool
grow_chunks(struct SlFlowShard *shard)
{
    uint32_t used = shard->chunk_count;
    struct SlFlow *chunk;

    if ((used & (used - 1)) == 0) {
        uint32_t room = used == 0 ? 1 : used * 2;
        struct SlFlow **chunks =
            realloc(shard->chunks, room * sizeof(struct SlFlow *));

        if (chunks == NULL) {
            return false;
        }
        shard->chunks = chunks;
        add_bytes(shard, (uint64_t)(room - used) * sizeof(struct SlFlow *));
    }
    chunk = calloc(CHUNK_ENTRIES, sizeof(*chunk));
    if (chunk == NULL) {
        return false;
    }
    shard->chunks[used] = chunk;
    shard->chunk_count = used + 1;
    add_bytes(shard, CHUNK_ENTRIES * sizeof(*chunk));
    return true;
}

/// A free entry's number, 0 when there is none.
static uint32_t
take_free(struct SlFlowShard *shard)
{
    uint32_t number = shard->free_first;

    if (shard->count >= shard->limit) {
        return 0;
    }
    if (number != 0) {
        shard->free_first = entry(shard, number)->next;
        return number;
    }
    if (shard->places == shard->chunk_count * CHUNK_ENTRIES &&
        !grow_chunks(shard)) {
        return 0;
    }
    shard->places++;
    return shard->places;
}

struct SlFlow *
SlFlowShard_Insert(struct SlFlowShard *shard, const struct SlFlowKey *key)
{
    uint32_t number = take_free(shard);
    struct SlFlow *flow;
    uint32_t *bucket;

    if (number == 0) {
        return NULL;
    }
    grow_buckets(shard);
    flow = entry(shard, number);
    *flow = (struct SlFlow){.key = *key, .hash = hash_of(shard, key)};
    bucket = &shard->buckets[flow->hash & (shard->bucket_count - 1)];
    flow->next = *bucket;
    *bucket = number;
    shard->count++;
    atomic_fetch_add_explicit(&shard->table->count, 1, memory_order_relaxed);
    return flow;
}

void
SlFlowShard_Remove(struct SlFlowShard *shard, struct SlFlow *flow)
{
    uint32_t number = number_of(shard, flow);
    uint32_t *link = &shard->buckets[flow->hash & (shard->bucket_count - 1)];

    unlink_entry(shard, flow, number);
    while (*link != number) {
        link = &entry(shard, *link)->next;
    }
    *link = flow->next;
    *flow = (struct SlFlow){.next = shard->free_first};
    shard->free_first = number;
    shard->count--;
    atomic_fetch_sub_explicit(&shard->table->count, 1, memory_order_relaxed);
}

void
SlFlowShard_Schedule(struct SlFlowShard *shard, struct SlFlow *flow,
                     enum SlFlowQueue queue, uint32_t due_ms)
{
    uint32_t number = number_of(shard, flow);

    unlink_entry(shard, flow, number);
    if (queue == SL_FLOW_QUEUE_TIMER_WHEEL &&
        (int32_t)(due_ms - shard->slot_ms) < 0) {
        due_ms = shard->slot_ms;
    }
    flow->due_ms = due_ms;
    flow->queue = (uint8_t)queue;
    if (queue != SL_FLOW_QUEUE_NONE) {
        link_entry(shard, flow, number);
    }
}

struct SlFlow *
SlFlowShard_Oldest(struct SlFlowShard *shard, enum SlFlowQueue queue)
{
    uint32_t number =
        shard->lists[queue == SL_FLOW_QUEUE_HANDSHAKE ? LIST_HANDSHAKE
                                                      : LIST_SOFT];

    return number == 0 ? NULL : entry(shard, number);
}

uint32_t
SlFlowShard_QueueLength(const struct SlFlowShard *shard,
                        enum SlFlowQueue queue)
{
    return queue == SL_FLOW_QUEUE_HANDSHAKE ? shard->handshakes : shard->soft;
}

static bool
is_due(const struct SlFlow *flow, uint32_t now_ms)
{
    return (int32_t)(now_ms - flow->due_ms) >= 0;
}

/// Takes a due flow out of the wheel slot that is looked at now.
static struct SlFlow *
take_from_slot(struct SlFlowShard *shard, uint32_t slot, uint32_t now_ms)
{
    uint32_t first = shard->lists[slot];
    uint32_t number = first;

    while (number != 0) {
        struct SlFlow *flow = entry(shard, number);

        if (is_due(flow, now_ms)) {
            unlink_entry(shard, flow, number);
            return flow;
        }
        number = flow->queue_next == first ? 0 : flow->queue_next;
    }
    return NULL;
}

struct SlFlow *
SlFlowShard_NextDue(struct SlFlowShard *shard, uint32_t now_ms)
{
    uint32_t slot_now_ms = slot_start(now_ms);

    for (uint32_t list = LIST_HANDSHAKE; list < LISTS; list++) {
        uint32_t number = shard->lists[list];

        if (number != 0 && is_due(entry(shard, number), now_ms)) {
            unlink_entry(shard, entry(shard, number), number);
            return entry(shard, number);
        }
    }
    if ((int32_t)(slot_now_ms - shard->slot_ms) > ROUND_MS) {
        shard->slot_ms = slot_now_ms - ROUND_MS;
    }
    while ((int32_t)(slot_now_ms - shard->slot_ms) >= 0) {
        uint32_t slot = shard->slot_ms / SL_WHEEL_SLOT_MS % SL_WHEEL_SLOTS;
        struct SlFlow *flow = take_from_slot(shard, slot, now_ms);

        if (flow != NULL) {
            return flow;
        }
        if (shard->slot_ms == slot_now_ms) {
            break;
        }
        shard->slot_ms += SL_WHEEL_SLOT_MS;
    }
    return NULL;
}

uint32_t
SlFlowShard_EntryCount(const struct SlFlowShard *shard)
{
    return shard->places;
}

struct SlFlow *
SlFlowShard_EntryAt(struct SlFlowShard *shard, uint32_t place)
{
    struct SlFlow *flow = entry(shard, place + 1);

    return flow->kind == SL_FLOW_NONE ? NULL : flow;
}
