#ifndef SAVORYLEDGE_STATE_RENDEZVOUS_H
#define SAVORYLEDGE_STATE_RENDEZVOUS_H

/// Weighted rendezvous hashing (Thaler and Ravishankar, 1998; the weighted
/// form after Schindelhauer and Schomaker, 2005) in whole numbers, so that
/// every machine ranks alike.

#include <stdint.h>

#include "savoryledge/state/routing.h"

struct rendezvous_member {
    uint64_t node_id;
    /// The member's place in the service; what is put into a choice.
    uint16_t index;
    /// Share of the buckets in relation to the others; not 0.
    uint32_t weight;
};

/// Fills choice with the first SL_CHOICES members for a bucket.
void
rendezvous_rank(uint64_t service_id, uint32_t bucket,
                const struct rendezvous_member *members, uint32_t count,
                uint16_t choice[SL_CHOICES]);

#endif
