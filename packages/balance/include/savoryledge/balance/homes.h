#ifndef SAVORYLEDGE_BALANCE_HOMES_H
#define SAVORYLEDGE_BALANCE_HOMES_H

/// The upstreams where a flow is placed first, and looked for first.
///
/// Load pattern: after the loss of every process nobody remembers which
/// upstream holds a flow, all callers go on at once, and each of a hundred
/// upstreams may be the holder. Asking all of them costs more than an entry's
/// link carries.
///
/// Rendezvous hashing without weights (Thaler and Ravishankar, 1998) ranks the
/// upstreams of a service for each flow. The first ones of each availability
/// zone are the flow's homes there. Processes with the same configuration name
/// the same homes without having remembered or exchanged anything, and a
/// change of the configuration moves few of them.

#include <stdint.h>

#include "savoryledge/balance/placement.h"

enum {
    /// The best of four is taken by load, which leaves hardly more imbalance
    /// than the best of all (Mitzenmacher, 2001).
    SL_HOMES_PER_ZONE = 4,
    /// Zones beyond share the homes of earlier ones.
    SL_HOMES_ZONES = 16,
};

/// Marks the homes of a flow among the candidates of one service, and takes
/// the mark off all others. flow_hash: of the flow's key, the same at every
/// process.
void
SlHomes_Mark(struct SlCandidate *candidates, uint32_t count,
             uint64_t flow_hash);

#endif
