#include "request_ring.h"

#include <stdlib.h>

enum {
    INITIAL_CAPACITY = 16,
};

void
SlRequestRing_Release(struct SlRequestRing *ring)
{
    free(ring->records);
    free(ring->next_in_bucket);
}

/// Returns the hash bucket of a request, by multiplicative hashing (Knuth,
/// TAOCP 6.4) to SL_REQUEST_BUCKETS.
static uint32_t
bucket_of(uint64_t client, uint64_t request)
{
    return (uint32_t)(((client ^ request) * 0x9e3779b97f4a7c15u) >> 54);
}

/// Grows the arrays so that one more record fits, up to
/// SL_REMEMBERED_RESULTS_MAX records. The records need not be moved, because
/// the ring does not wrap around before it has its full size.
static enum SlStatus
reserve_record(struct SlRequestRing *ring)
{
    uint32_t capacity = ring->capacity ? ring->capacity * 2 : INITIAL_CAPACITY;
    struct SlRequestRecord *records;
    uint16_t *next_in_bucket;

    if (ring->record_count < ring->capacity ||
        ring->capacity == SL_REMEMBERED_RESULTS_MAX) {
        return SL_OK;
    }
    capacity = capacity > SL_REMEMBERED_RESULTS_MAX ? SL_REMEMBERED_RESULTS_MAX
                                                    : capacity;
    records = realloc(ring->records, capacity * sizeof(*records));
    if (records == NULL) {
        return SL_NO_MEMORY;
    }
    ring->records = records;
    next_in_bucket =
        realloc(ring->next_in_bucket, capacity * sizeof(*next_in_bucket));
    if (next_in_bucket == NULL) {
        return SL_NO_MEMORY;
    }
    ring->next_in_bucket = next_in_bucket;
    ring->capacity = capacity;
    return SL_OK;
}

/// Removes the record at position from its hash bucket.
static void
unlink_record(struct SlRequestRing *ring, uint32_t position)
{
    const struct SlRequestRecord *record = &ring->records[position];
    uint16_t *link =
        &ring->buckets[bucket_of(record->client, record->request)];

    while (*link != position + 1) {
        link = &ring->next_in_bucket[*link - 1];
    }
    *link = ring->next_in_bucket[position];
}

static void
forget_oldest_record(struct SlRequestRing *ring)
{
    unlink_record(ring, ring->oldest_position);
    ring->forgotten_version =
        ring->records[ring->oldest_position].result.version;
    ring->oldest_position =
        (ring->oldest_position + 1) % SL_REMEMBERED_RESULTS_MAX;
    ring->record_count--;
}

enum SlStatus
SlRequestRing_Put(struct SlRequestRing *ring,
                  const struct SlRequestRecord *record)
{
    uint16_t *bucket;
    uint32_t position;

    if (reserve_record(ring) != SL_OK) {
        return SL_NO_MEMORY;
    }
    if (ring->record_count == SL_REMEMBERED_RESULTS_MAX) {
        forget_oldest_record(ring);
    }
    position = (ring->oldest_position + ring->record_count) %
               SL_REMEMBERED_RESULTS_MAX;
    bucket = &ring->buckets[bucket_of(record->client, record->request)];
    ring->records[position] = *record;
    ring->next_in_bucket[position] = *bucket;
    *bucket = (uint16_t)(position + 1);
    ring->record_count++;
    return SL_OK;
}

const struct SlRequestRecord *
SlRequestRing_Find(const struct SlRequestRing *ring, uint64_t client,
                   uint64_t request)
{
    uint16_t link = ring->buckets[bucket_of(client, request)];

    while (link != 0) {
        const struct SlRequestRecord *record = &ring->records[link - 1];

        if (record->client == client && record->request == request) {
            return record;
        }
        link = ring->next_in_bucket[link - 1];
    }
    return NULL;
}

const struct SlRequestRecord *
SlRequestRing_At(const struct SlRequestRing *ring, uint32_t index)
{
    return &ring->records[(ring->oldest_position + index) %
                          SL_REMEMBERED_RESULTS_MAX];
}
