#ifndef SAVORYLEDGE_STATE_REQUEST_RING_H
#define SAVORYLEDGE_STATE_REQUEST_RING_H

/// A ring buffer with the results of the latest requests and a hash index by
/// client and request number.

#include "savoryledge/state/config.h"

enum {
    /// Number of buckets of the hash index.
    SL_REQUEST_BUCKETS = 1024,
};

/// The ring buffer. It is empty when it is initialised with zeros.
struct SlRequestRing {
    /// Records of requests in the order in which their changes were applied,
    /// from oldest_position on.
    struct SlRequestRecord *records;
    /// For each record: position + 1 of the next record in the same hash
    /// bucket; 0 for the last record of the bucket.
    uint16_t *next_in_bucket;
    uint16_t buckets[SL_REQUEST_BUCKETS];
    uint32_t oldest_position;
    uint32_t record_count;
    uint32_t capacity;
    /// Version of the newest record that was dropped; {0, 0} when none was.
    struct SlVersion forgotten_version;
};

/// Frees the memory of the ring, which must not be used afterwards.
void
SlRequestRing_Release(struct SlRequestRing *ring);

/// Adds a copy of a request's record. A ring with SL_REMEMBERED_RESULTS_MAX
/// records drops the oldest one and stores its version in forgotten_version.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlRequestRing_Put(struct SlRequestRing *ring,
                  const struct SlRequestRecord *record);

/// Returns the record of a request, or NULL when there is none. The record is
/// borrowed until the next record is added.
const struct SlRequestRecord *
SlRequestRing_Find(const struct SlRequestRing *ring, uint64_t client,
                   uint64_t request);

/// Returns the record at index, 0 to record_count - 1, oldest first. The
/// record is borrowed until the next record is added.
const struct SlRequestRecord *
SlRequestRing_At(const struct SlRequestRing *ring, uint32_t index);

#endif
