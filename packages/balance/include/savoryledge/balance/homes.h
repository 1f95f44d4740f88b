#ifndef SAVORYLEDGE_BALANCE_HOMES_H
#define SAVORYLEDGE_BALANCE_HOMES_H

/// The home upstreams of a flow, where it is placed first and searched first.
///
/// Load pattern: after every process has restarted, no process remembers which
/// upstream holds a flow, all callers continue at once, and any of a hundred
/// upstreams may be the holder. Querying all of them for each flow needs more
/// bandwidth than an entry's link has.
///
/// Rendezvous hashing without weights (Thaler and Ravishankar, 1998) ranks the
/// upstreams of a service for each flow. The highest ranked upstreams of each
/// availability zone are the flow's homes there. Processes with the same
/// configuration compute the same homes without stored state and without
/// messages, and a configuration change moves few homes.

#include <stdint.h>

#include "savoryledge/balance/placement.h"

enum {
    /// Choosing the least loaded of 4 leaves hardly more imbalance than
    /// choosing the least loaded of all (Mitzenmacher, 2001).
    SL_HOMES_PER_ZONE = 4,
    /// Number of zones ranked separately. Zone numbers from here on are taken
    /// modulo this count and share the homes of a lower zone.
    SL_HOMES_ZONES = 16,
};

/// Returns the weight by which an upstream is ranked for a flow. The highest
/// is ranked first.
uint64_t
SlHomes_Weight(uint64_t node_id, uint64_t flow_hash);

/// Sets the member is_home of each candidate of one service: true for the
/// homes of the flow, false for all others. flow_hash: hash of the flow's key,
/// which must be the same in every process.
void
SlHomes_Mark(struct SlCandidate *candidates, uint32_t count,
             uint64_t flow_hash);

#endif
