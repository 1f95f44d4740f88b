#include "savoryledge/state/flow_table.h"

#include <assert.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

enum {
    DEFAULT_SHARDS = 16,
    /// Number of entries that are allocated at a time, in a chunk.
    CHUNK_ENTRIES = 64,
    INITIAL_BUCKETS = 64,
    /// Time in which the timer wheel passes all its slots.
    WHEEL_SPAN_MS = SL_WHEEL_SLOT_MS * SL_WHEEL_SLOTS,
    /// Indices of the linked lists of a shard: one per wheel slot, then the
    /// two FIFO queues.
    LIST_HANDSHAKE = SL_WHEEL_SLOTS,
    LIST_SOFT,
    LIST_COUNT,
};

_Static_assert(sizeof(struct SlFlow) <= 120,
               "leaves 8 of 128 bytes for the index");

/// Entries of a shard are named by their identifier, which is the position of
/// the entry plus 1; 0 stands for no entry.

struct SlFlowShard {
    pthread_mutex_t lock;
    struct SlFlowTable *table;
    struct SlFlow **chunks;
    uint32_t chunk_count;
    /// Number of entries of the shard that have ever contained a flow.
    uint32_t allocated_count;
    /// Identifier of the first entry in the list of entries that are free
    /// again, which next_in_bucket links.
    uint32_t free_list;
    /// Number of entries that contain a flow.
    uint32_t entry_count;
    uint32_t max_entries;
    uint32_t *buckets;
    uint32_t bucket_count;
    /// Lengths of the two FIFO queues.
    uint32_t handshake_count;
    uint32_t soft_count;
    /// Start time of the wheel slot that is visited next.
    uint32_t next_slot_ms;
    /// Identifier of the first entry of each list. Lists are circular: the
    /// entry before the first entry is the last entry.
    uint32_t list_heads[LIST_COUNT];
};

struct SlFlowTable {
    uint64_t hash_seed;
    uint32_t shard_count;
    struct SlFlowShard *shards;
    /// Number of entries of all kinds in all shards.
    atomic_uint_fast64_t entry_count;
    atomic_uint_fast64_t allocated_bytes;
};

static struct SlFlow *
entry_at(const struct SlFlowShard *shard, uint32_t entry_id)
{
    uint32_t position = entry_id - 1;

    return &shard->chunks[position / CHUNK_ENTRIES][position % CHUNK_ENTRIES];
}

/// Returns the identifier of a flow's entry by searching the hash bucket of
/// the flow.
static uint32_t
entry_id_of(const struct SlFlowShard *shard, const struct SlFlow *flow)
{
    uint32_t entry_id = shard->buckets[flow->hash & (shard->bucket_count - 1)];

    while (entry_id != 0 && entry_at(shard, entry_id) != flow) {
        entry_id = entry_at(shard, entry_id)->next_in_bucket;
    }
    assert(entry_id != 0);
    return entry_id;
}

static uint32_t
list_index_of(const struct SlFlow *flow)
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
queue_length_of(struct SlFlowShard *shard, enum SlFlowQueue queue)
{
    return queue == SL_FLOW_QUEUE_HANDSHAKE ? &shard->handshake_count
                                            : &shard->soft_count;
}

static void
dequeue_entry(struct SlFlowShard *shard, struct SlFlow *flow,
              uint32_t entry_id)
{
    uint32_t *head = &shard->list_heads[list_index_of(flow)];

    if (flow->queue == SL_FLOW_QUEUE_NONE) {
        return;
    }
    if (flow->queue != SL_FLOW_QUEUE_TIMER_WHEEL) {
        (*queue_length_of(shard, flow->queue))--;
    }
    entry_at(shard, flow->queue_next)->queue_previous = flow->queue_previous;
    entry_at(shard, flow->queue_previous)->queue_next = flow->queue_next;
    if (*head == entry_id) {
        *head = flow->queue_next == entry_id ? 0 : flow->queue_next;
    }
    flow->queue = SL_FLOW_QUEUE_NONE;
}

static void
enqueue_entry(struct SlFlowShard *shard, struct SlFlow *flow,
              uint32_t entry_id)
{
    uint32_t *head = &shard->list_heads[list_index_of(flow)];
    struct SlFlow *first;

    if (*head == 0) {
        *head = entry_id;
        flow->queue_next = entry_id;
        flow->queue_previous = entry_id;
    }
    else {
        first = entry_at(shard, *head);
        flow->queue_next = *head;
        flow->queue_previous = first->queue_previous;
        entry_at(shard, first->queue_previous)->queue_next = entry_id;
        first->queue_previous = entry_id;
    }
    if (flow->queue != SL_FLOW_QUEUE_TIMER_WHEEL) {
        (*queue_length_of(shard, flow->queue))++;
    }
}

static uint32_t
slot_start(uint32_t time_ms)
{
    return time_ms - time_ms % SL_WHEEL_SLOT_MS;
}

static bool
shard_init(struct SlFlowShard *shard, struct SlFlowTable *table,
           uint32_t max_entries, uint64_t now_us)
{
    shard->table = table;
    shard->max_entries = max_entries;
    shard->next_slot_ms = slot_start((uint32_t)(now_us / 1000));
    shard->bucket_count = INITIAL_BUCKETS;
    shard->buckets = calloc(INITIAL_BUCKETS, sizeof(*shard->buckets));
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
    atomic_store(&table->allocated_bytes,
                 sizeof(*table) +
                     shards * (sizeof(struct SlFlowShard) +
                               INITIAL_BUCKETS * sizeof(uint32_t)));
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
    return atomic_load_explicit(&table->entry_count, memory_order_relaxed);
}

uint64_t
SlFlowTable_AllocatedBytes(const struct SlFlowTable *table)
{
    return atomic_load_explicit(&table->allocated_bytes, memory_order_relaxed);
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
hash_key(const struct SlFlowShard *shard, const struct SlFlowKey *key)
{
    return (uint32_t)SlFlowKey_Hash(key, shard->table->hash_seed);
}

struct SlFlow *
SlFlowShard_Find(struct SlFlowShard *shard, const struct SlFlowKey *key)
{
    uint32_t hash = hash_key(shard, key);
    uint32_t entry_id = shard->buckets[hash & (shard->bucket_count - 1)];

    while (entry_id != 0) {
        struct SlFlow *flow = entry_at(shard, entry_id);

        if (flow->hash == hash && SlFlowKey_Equal(&flow->key, key)) {
            return flow;
        }
        entry_id = flow->next_in_bucket;
    }
    return NULL;
}

static void
add_allocated_bytes(struct SlFlowShard *shard, uint64_t bytes)
{
    atomic_fetch_add_explicit(&shard->table->allocated_bytes, bytes,
                              memory_order_relaxed);
}

/// Doubles the number of hash buckets when there are as many entries as
/// buckets. When memory runs out, the number of buckets stays the same and
/// their chains become longer.
static void
grow_buckets(struct SlFlowShard *shard)
{
    uint32_t new_bucket_count = shard->bucket_count * 2;
    uint32_t *buckets;

    if (shard->entry_count < shard->bucket_count) {
        return;
    }
    buckets = calloc(new_bucket_count, sizeof(*buckets));
    if (buckets == NULL) {
        return;
    }
    for (uint32_t i = 0; i < shard->bucket_count; i++) {
        uint32_t entry_id = shard->buckets[i];

        while (entry_id != 0) {
            struct SlFlow *flow = entry_at(shard, entry_id);
            uint32_t next_id = flow->next_in_bucket;
            uint32_t *bucket = &buckets[flow->hash & (new_bucket_count - 1)];

            flow->next_in_bucket = *bucket;
            *bucket = entry_id;
            entry_id = next_id;
        }
    }
    free(shard->buckets);
    add_allocated_bytes(shard,
                        (uint64_t)(new_bucket_count - shard->bucket_count) *
                            sizeof(*buckets));
    shard->buckets = buckets;
    shard->bucket_count = new_bucket_count;
}

/// Allocates a chunk of entries. The array of chunks grows by doubling.
/// Returns false when memory runs out.
static bool
grow_chunks(struct SlFlowShard *shard)
{
    uint32_t used = shard->chunk_count;
    struct SlFlow *chunk;

    if ((used & (used - 1)) == 0) {
        uint32_t capacity = used == 0 ? 1 : used * 2;
        struct SlFlow **chunks =
            realloc(shard->chunks, capacity * sizeof(struct SlFlow *));

        if (chunks == NULL) {
            return false;
        }
        shard->chunks = chunks;
        add_allocated_bytes(shard, (uint64_t)(capacity - used) *
                                       sizeof(struct SlFlow *));
    }
    chunk = calloc(CHUNK_ENTRIES, sizeof(*chunk));
    if (chunk == NULL) {
        return false;
    }
    shard->chunks[used] = chunk;
    shard->chunk_count = used + 1;
    add_allocated_bytes(shard, CHUNK_ENTRIES * sizeof(*chunk));
    return true;
}

/// Returns the identifier of a free entry, or 0 when the shard is full or
/// memory runs out.
static uint32_t
allocate_entry(struct SlFlowShard *shard)
{
    uint32_t entry_id = shard->free_list;

    if (shard->entry_count >= shard->max_entries) {
        return 0;
    }
    if (entry_id != 0) {
        shard->free_list = entry_at(shard, entry_id)->next_in_bucket;
        return entry_id;
    }
    if (shard->allocated_count == shard->chunk_count * CHUNK_ENTRIES &&
        !grow_chunks(shard)) {
        return 0;
    }
    shard->allocated_count++;
    return shard->allocated_count;
}

struct SlFlow *
SlFlowShard_Insert(struct SlFlowShard *shard, const struct SlFlowKey *key)
{
    uint32_t entry_id = allocate_entry(shard);
    struct SlFlow *flow;
    uint32_t *bucket;

    if (entry_id == 0) {
        return NULL;
    }
    grow_buckets(shard);
    flow = entry_at(shard, entry_id);
    *flow = (struct SlFlow){.key = *key, .hash = hash_key(shard, key)};
    bucket = &shard->buckets[flow->hash & (shard->bucket_count - 1)];
    flow->next_in_bucket = *bucket;
    *bucket = entry_id;
    shard->entry_count++;
    atomic_fetch_add_explicit(&shard->table->entry_count, 1,
                              memory_order_relaxed);
    return flow;
}

void
SlFlowShard_Remove(struct SlFlowShard *shard, struct SlFlow *flow)
{
    uint32_t entry_id = entry_id_of(shard, flow);
    uint32_t *link = &shard->buckets[flow->hash & (shard->bucket_count - 1)];

    dequeue_entry(shard, flow, entry_id);
    while (*link != entry_id) {
        link = &entry_at(shard, *link)->next_in_bucket;
    }
    *link = flow->next_in_bucket;
    *flow = (struct SlFlow){.next_in_bucket = shard->free_list};
    shard->free_list = entry_id;
    shard->entry_count--;
    atomic_fetch_sub_explicit(&shard->table->entry_count, 1,
                              memory_order_relaxed);
}

void
SlFlowShard_Schedule(struct SlFlowShard *shard, struct SlFlow *flow,
                     enum SlFlowQueue queue, uint32_t due_ms)
{
    uint32_t entry_id = entry_id_of(shard, flow);

    dequeue_entry(shard, flow, entry_id);
    if (queue == SL_FLOW_QUEUE_TIMER_WHEEL &&
        (int32_t)(due_ms - shard->next_slot_ms) < 0) {
        due_ms = shard->next_slot_ms;
    }
    flow->due_ms = due_ms;
    flow->queue = (uint8_t)queue;
    if (queue != SL_FLOW_QUEUE_NONE) {
        enqueue_entry(shard, flow, entry_id);
    }
}

struct SlFlow *
SlFlowShard_Oldest(struct SlFlowShard *shard, enum SlFlowQueue queue)
{
    uint32_t entry_id =
        shard->list_heads[queue == SL_FLOW_QUEUE_HANDSHAKE ? LIST_HANDSHAKE
                                                           : LIST_SOFT];

    return entry_id == 0 ? NULL : entry_at(shard, entry_id);
}

uint32_t
SlFlowShard_QueueLength(const struct SlFlowShard *shard,
                        enum SlFlowQueue queue)
{
    return queue == SL_FLOW_QUEUE_HANDSHAKE ? shard->handshake_count
                                            : shard->soft_count;
}

static bool
is_due(const struct SlFlow *flow, uint32_t now_ms)
{
    return (int32_t)(now_ms - flow->due_ms) >= 0;
}

/// Removes a due flow from a slot of the timer wheel and returns the flow;
/// returns NULL when the slot has no due flow.
static struct SlFlow *
dequeue_due_flow(struct SlFlowShard *shard, uint32_t slot, uint32_t now_ms)
{
    uint32_t first = shard->list_heads[slot];
    uint32_t entry_id = first;

    while (entry_id != 0) {
        struct SlFlow *flow = entry_at(shard, entry_id);

        if (is_due(flow, now_ms)) {
            dequeue_entry(shard, flow, entry_id);
            return flow;
        }
        entry_id = flow->queue_next == first ? 0 : flow->queue_next;
    }
    return NULL;
}

struct SlFlow *
SlFlowShard_NextDue(struct SlFlowShard *shard, uint32_t now_ms)
{
    uint32_t current_slot_ms = slot_start(now_ms);

    for (uint32_t list = LIST_HANDSHAKE; list < LIST_COUNT; list++) {
        uint32_t entry_id = shard->list_heads[list];

        if (entry_id != 0 && is_due(entry_at(shard, entry_id), now_ms)) {
            dequeue_entry(shard, entry_at(shard, entry_id), entry_id);
            return entry_at(shard, entry_id);
        }
    }
    if ((int32_t)(current_slot_ms - shard->next_slot_ms) > WHEEL_SPAN_MS) {
        shard->next_slot_ms = current_slot_ms - WHEEL_SPAN_MS;
    }
    while ((int32_t)(current_slot_ms - shard->next_slot_ms) >= 0) {
        uint32_t slot =
            shard->next_slot_ms / SL_WHEEL_SLOT_MS % SL_WHEEL_SLOTS;
        struct SlFlow *flow = dequeue_due_flow(shard, slot, now_ms);

        if (flow != NULL) {
            return flow;
        }
        if (shard->next_slot_ms == current_slot_ms) {
            break;
        }
        shard->next_slot_ms += SL_WHEEL_SLOT_MS;
    }
    return NULL;
}

uint32_t
SlFlowShard_EntryCount(const struct SlFlowShard *shard)
{
    return shard->allocated_count;
}

struct SlFlow *
SlFlowShard_EntryAt(struct SlFlowShard *shard, uint32_t position)
{
    struct SlFlow *flow = entry_at(shard, position + 1);

    return flow->kind == SL_FLOW_NONE ? NULL : flow;
}
