#include "request_ring.h"

#include <stdlib.h>

enum {
    FIRST_ROOM = 16,
};

void
SlRequestRing_Release(struct SlRequestRing *ring)
{
    free(ring->records);
    free(ring->next);
}

/// Multiplicative hashing (Knuth, TAOCP 6.4) to SL_REQUEST_BUCKETS.
static uint32_t
bucket_of(uint64_t client, uint64_t request)
{
    return (uint32_t)(((client ^ request) * 0x9e3779b97f4a7c15u) >> 54);
}

/// Makes room for one more record, up to the bound. The ring has not
/// wrapped while it can still grow.
static enum SlStatus
reserve(struct SlRequestRing *ring)
{
    uint32_t room = ring->room ? ring->room * 2 : FIRST_ROOM;
    struct SlRequestRecord *records;
    uint16_t *next;

    if (ring->count < ring->room || ring->room == SL_REMEMBERED_RESULTS_MAX) {
        return SL_OK;
    }
    room = room > SL_REMEMBERED_RESULTS_MAX ? SL_REMEMBERED_RESULTS_MAX : room;
    records = realloc(ring->records, room * sizeof(*records));
    if (records == NULL) {
        return SL_NO_MEMORY;
    }
    ring->records = records;
    next = realloc(ring->next, room * sizeof(*next));
    if (next == NULL) {
        return SL_NO_MEMORY;
    }
    ring->next = next;
    ring->room = room;
    return SL_OK;
}

/// Takes a position out of its bucket.
static void
unlink_record(struct SlRequestRing *ring, uint32_t at)
{
    const struct SlRequestRecord *record = &ring->records[at];
    uint16_t *place =
        &ring->buckets[bucket_of(record->client, record->request)];

    while (*place != at + 1) {
        place = &ring->next[*place - 1];
    }
    *place = ring->next[at];
}

static void
forget_oldest(struct SlRequestRing *ring)
{
    unlink_record(ring, ring->first);
    ring->forgotten = ring->records[ring->first].result.version;
    ring->first = (ring->first + 1) % SL_REMEMBERED_RESULTS_MAX;
    ring->count--;
}

enum SlStatus
SlRequestRing_Put(struct SlRequestRing *ring,
                  const struct SlRequestRecord *record)
{
    uint16_t *bucket;
    uint32_t at;

    if (reserve(ring) != SL_OK) {
        return SL_NO_MEMORY;
    }
    if (ring->count == SL_REMEMBERED_RESULTS_MAX) {
        forget_oldest(ring);
    }
    at = (ring->first + ring->count) % SL_REMEMBERED_RESULTS_MAX;
    bucket = &ring->buckets[bucket_of(record->client, record->request)];
    ring->records[at] = *record;
    ring->next[at] = *bucket;
    *bucket = (uint16_t)(at + 1);
    ring->count++;
    return SL_OK;
}

const struct SlRequestRecord *
SlRequestRing_Find(const struct SlRequestRing *ring, uint64_t client,
                   uint64_t request)
{
    uint16_t place = ring->buckets[bucket_of(client, request)];

    while (place != 0) {
        const struct SlRequestRecord *record = &ring->records[place - 1];

        if (record->client == client && record->request == request) {
            return record;
        }
        place = ring->next[place - 1];
    }
    return NULL;
}

const struct SlRequestRecord *
SlRequestRing_At(const struct SlRequestRing *ring, uint32_t index)
{
    return &ring->records[(ring->first + index) % SL_REMEMBERED_RESULTS_MAX];
}
