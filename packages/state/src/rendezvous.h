#ifndef SAVORYLEDGE_STATE_RENDEZVOUS_H
#define SAVORYLEDGE_STATE_RENDEZVOUS_H

/// Weighted rendezvous hashing (Thaler and Ravishankar, 1998; weighted form
/// after Schindelhauer and Schomaker, 2005): ranks the upstreams of a service
/// (its members) for each bucket of flows. It uses integer arithmetic only, so
/// that every process computes the same ranking.

#include <stdint.h>

#include "savoryledge/state/routing.h"

/// A member of a service that takes part in the ranking.
struct rendezvous_member {
    uint64_t node_id;
    /// Index of the member in SlRouteService.members, as stored in choice.
    uint16_t index;
    /// Share of the buckets that the member gets relative to the other
    /// members; not 0.
    uint32_t weight;
};

/// Ranks the members of a service for one bucket.
///
/// choice: receives the indices of the SL_BUCKET_CHOICES best members, best
/// first, and SL_NO_MEMBER where there is no further member.
void
rendezvous_rank(uint64_t service_id, uint32_t bucket,
                const struct rendezvous_member *members, uint32_t count,
                uint16_t choice[SL_BUCKET_CHOICES]);

#endif
