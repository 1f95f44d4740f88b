#ifndef SAVORYLEDGE_STATE_REQUEST_RING_H
#define SAVORYLEDGE_STATE_REQUEST_RING_H

/// The results of the last requests, found by client and request number.

#include "savoryledge/state/config.h"

enum {
    SL_REQUEST_BUCKETS = 1024,
};

/// Zero-initialise it.
struct SlRequestRing {
    /// A ring in order of application; the oldest stands at first.
    struct SlRequestRecord *records;
    /// Per record: the next of its bucket, as position + 1; 0 ends it.
    uint16_t *next;
    uint16_t buckets[SL_REQUEST_BUCKETS];
    uint32_t first;
    uint32_t count;
    uint32_t room;
    struct SlVersion forgotten;
};

void
SlRequestRing_Release(struct SlRequestRing *ring);

/// Adds a record; at SL_REMEMBERED_RESULTS_MAX the oldest is forgotten.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlRequestRing_Put(struct SlRequestRing *ring,
                  const struct SlRequestRecord *record);

/// NULL when it is not remembered.
const struct SlRequestRecord *
SlRequestRing_Find(const struct SlRequestRing *ring, uint64_t client,
                   uint64_t request);

/// index: 0..count-1, the oldest first.
const struct SlRequestRecord *
SlRequestRing_At(const struct SlRequestRing *ring, uint32_t index);

#endif
