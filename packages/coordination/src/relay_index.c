#include "relay_index.h"

#include <stdlib.h>

enum {
    INITIAL_CAPACITY = 64,
};

static struct SlRelayItem **
find_chain_head(const struct SlRelayIndex *index, uint64_t hash)
{
    return &index->heads[hash & (index->capacity - 1)];
}

struct SlRelayItem *
SlRelayIndex_Find(const struct SlRelayIndex *index,
                  const struct SlFlowKey *key)
{
    uint64_t hash = SlFlowKey_Hash(key, index->seed);
    struct SlRelayItem *item;

    if (index->capacity == 0) {
        return NULL;
    }
    item = *find_chain_head(index, hash);
    while (item != NULL &&
           (item->hash != hash || !SlFlowKey_Equal(&item->key, key))) {
        item = item->next;
    }
    return item;
}

static enum SlStatus
grow_table(struct SlRelayIndex *index)
{
    uint32_t capacity =
        index->capacity == 0 ? INITIAL_CAPACITY : index->capacity * 2;
    struct SlRelayItem **heads =
        calloc(capacity, sizeof(struct SlRelayItem *));

    if (heads == NULL) {
        return SL_NO_MEMORY;
    }
    free(index->heads);
    index->heads = heads;
    index->capacity = capacity;
    for (struct SlRelayItem *item = index->oldest; item != NULL;
         item = item->newer) {
        struct SlRelayItem **head = find_chain_head(index, item->hash);

        item->next = *head;
        *head = item;
    }
    return SL_OK;
}

static void
append_as_newest_item(struct SlRelayIndex *index, struct SlRelayItem *item)
{
    item->newer = NULL;
    item->older = index->newest;
    if (index->newest != NULL) {
        index->newest->newer = item;
    }
    else {
        index->oldest = item;
    }
    index->newest = item;
}

static void
unlink_from_use_order(struct SlRelayIndex *index, struct SlRelayItem *item)
{
    if (item->older != NULL) {
        item->older->newer = item->newer;
    }
    else {
        index->oldest = item->newer;
    }
    if (item->newer != NULL) {
        item->newer->older = item->older;
    }
    else {
        index->newest = item->older;
    }
}

enum SlStatus
SlRelayIndex_Add(struct SlRelayIndex *index, uint64_t now_us,
                 struct SlRelayItem *item)
{
    struct SlRelayItem **head;

    if (index->count >= index->capacity && grow_table(index) != SL_OK) {
        return SL_NO_MEMORY;
    }
    item->hash = SlFlowKey_Hash(&item->key, index->seed);
    item->used_us = now_us;
    head = find_chain_head(index, item->hash);
    item->next = *head;
    *head = item;
    append_as_newest_item(index, item);
    index->count++;
    return SL_OK;
}

void
SlRelayIndex_MarkUsed(struct SlRelayIndex *index, uint64_t now_us,
                      struct SlRelayItem *item)
{
    item->used_us = now_us;
    if (index->newest != item) {
        unlink_from_use_order(index, item);
        append_as_newest_item(index, item);
    }
}

void
SlRelayIndex_AddPending(struct SlRelayIndex *index, struct SlRelayItem *item)
{
    if (item->pending) {
        return;
    }
    item->pending = true;
    item->pending_previous = NULL;
    item->pending_next = index->pending;
    if (index->pending != NULL) {
        index->pending->pending_previous = item;
    }
    index->pending = item;
}

void
SlRelayIndex_RemovePending(struct SlRelayIndex *index,
                           struct SlRelayItem *item)
{
    if (!item->pending) {
        return;
    }
    item->pending = false;
    if (item->pending_previous != NULL) {
        item->pending_previous->pending_next = item->pending_next;
    }
    else {
        index->pending = item->pending_next;
    }
    if (item->pending_next != NULL) {
        item->pending_next->pending_previous = item->pending_previous;
    }
}

void
SlRelayIndex_Remove(struct SlRelayIndex *index, struct SlRelayItem *item)
{
    struct SlRelayItem **link = find_chain_head(index, item->hash);

    while (*link != item) {
        link = &(*link)->next;
    }
    *link = item->next;
    SlRelayIndex_RemovePending(index, item);
    unlink_from_use_order(index, item);
    index->count--;
}

struct SlRelayItem *
SlRelayIndex_OldestItem(const struct SlRelayIndex *index)
{
    return index->oldest;
}

void
SlRelayIndex_Release(struct SlRelayIndex *index)
{
    free(index->heads);
    *index = (struct SlRelayIndex){.seed = index->seed};
}
