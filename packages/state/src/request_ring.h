#ifndef SAVORYLEDGE_STATE_REQUEST_RING_H
#define SAVORYLEDGE_STATE_REQUEST_RING_H

/// A ring buffer with the results of the latest requests and a hash index by
/// client and request number.

#include "savoryledge/state/config.h"

enum {
    SL_REQUEST_BUCKETS = 1024,
};

/// A zero-initialised ring is empty.
struct SlRequestRing {
    /// Records in order of application, from oldest_position on.
    struct SlRequestRecord *records;
    /// For each record: position + 1 of the next record in the same hash
    /// bucket; 0 for the last one.
    uint16_t *next_in_bucket;
    uint16_t buckets[SL_REQUEST_BUCKETS];
    uint32_t oldest_position;
    uint32_t count;
    uint32_t capacity;
    struct SlVersion forgotten_version;
};

/// Frees the memory of the ring, which must not be used afterwards.
void
SlRequestRing_Release(struct SlRequestRing *ring);

/// Adds a copy of a record. A ring with SL_REMEMBERED_RESULTS_MAX records
/// drops the oldest one and stores its version in forgotten_version. Errors:
/// SL_NO_MEMORY.
enum SlStatus
SlRequestRing_Put(struct SlRequestRing *ring,
                  const struct SlRequestRecord *record);

/// Returns the record of a request, or NULL when there is none. Borrowed
/// until the next record is added.
const struct SlRequestRecord *
SlRequestRing_Find(const struct SlRequestRing *ring, uint64_t client,
                   uint64_t request);

/// Returns the record at index, 0 to count - 1, oldest first. Borrowed until
/// the next record is added.
const struct SlRequestRecord *
SlRequestRing_At(const struct SlRequestRing *ring, uint32_t index);

#endif
