#include "relay_index.h"

#include <stdlib.h>

enum {
    FIRST_ROOM = 64,
};

static struct SlRelayItem **
head_of(const struct SlRelayIndex *index, uint64_t hash)
{
    return &index->heads[hash & (index->room - 1)];
}

struct SlRelayItem *
SlRelayIndex_Find(const struct SlRelayIndex *index,
                  const struct SlFlowKey *key)
{
    uint64_t hash = SlFlowKey_Hash(key, index->seed);
    struct SlRelayItem *item;

    if (index->room == 0) {
        return NULL;
    }
    item = *head_of(index, hash);
    while (item != NULL &&
           (item->hash != hash || !SlFlowKey_Equal(&item->key, key))) {
        item = item->next;
    }
    return item;
}

static enum SlStatus
grow(struct SlRelayIndex *index)
{
    uint32_t room = index->room == 0 ? FIRST_ROOM : index->room * 2;
    struct SlRelayItem **heads = calloc(room, sizeof(struct SlRelayItem *));

    if (heads == NULL) {
        return SL_NO_MEMORY;
    }
    free(index->heads);
    index->heads = heads;
    index->room = room;
    for (struct SlRelayItem *item = index->oldest; item != NULL;
         item = item->newer) {
        struct SlRelayItem **head = head_of(index, item->hash);

        item->next = *head;
        *head = item;
    }
    return SL_OK;
}

static void
append_newest(struct SlRelayIndex *index, struct SlRelayItem *item)
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
unlink_used(struct SlRelayIndex *index, struct SlRelayItem *item)
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

    if (index->count >= index->room && grow(index) != SL_OK) {
        return SL_NO_MEMORY;
    }
    item->hash = SlFlowKey_Hash(&item->key, index->seed);
    item->used_us = now_us;
    head = head_of(index, item->hash);
    item->next = *head;
    *head = item;
    append_newest(index, item);
    index->count++;
    return SL_OK;
}

void
SlRelayIndex_Use(struct SlRelayIndex *index, uint64_t now_us,
                 struct SlRelayItem *item)
{
    item->used_us = now_us;
    if (index->newest != item) {
        unlink_used(index, item);
        append_newest(index, item);
    }
}

void
SlRelayIndex_Wait(struct SlRelayIndex *index, struct SlRelayItem *item)
{
    if (item->waiting) {
        return;
    }
    item->waiting = true;
    item->waiting_previous = NULL;
    item->waiting_next = index->waiting;
    if (index->waiting != NULL) {
        index->waiting->waiting_previous = item;
    }
    index->waiting = item;
}

void
SlRelayIndex_StopWaiting(struct SlRelayIndex *index, struct SlRelayItem *item)
{
    if (!item->waiting) {
        return;
    }
    item->waiting = false;
    if (item->waiting_previous != NULL) {
        item->waiting_previous->waiting_next = item->waiting_next;
    }
    else {
        index->waiting = item->waiting_next;
    }
    if (item->waiting_next != NULL) {
        item->waiting_next->waiting_previous = item->waiting_previous;
    }
}

void
SlRelayIndex_Remove(struct SlRelayIndex *index, struct SlRelayItem *item)
{
    struct SlRelayItem **place = head_of(index, item->hash);

    while (*place != item) {
        place = &(*place)->next;
    }
    *place = item->next;
    SlRelayIndex_StopWaiting(index, item);
    unlink_used(index, item);
    index->count--;
}

struct SlRelayItem *
SlRelayIndex_Oldest(const struct SlRelayIndex *index)
{
    return index->oldest;
}

void
SlRelayIndex_Release(struct SlRelayIndex *index)
{
    free(index->heads);
    *index = (struct SlRelayIndex){.seed = index->seed};
}
