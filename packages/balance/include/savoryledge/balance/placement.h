#ifndef SAVORYLEDGE_BALANCE_PLACEMENT_H
#define SAVORYLEDGE_BALANCE_PLACEMENT_H

/// Which upstream a new flow is offered to, as the entry decides.
///
/// Load pattern: many entries place flows at once by what they heard a moment
/// ago, upstreams have two to five slots, and one availability zone has more
/// callers than its own upstreams carry. The upstream with the least work for
/// its slots is taken; work that this entry placed since the last report
/// counts at once, a little chance keeps entries with the same reports apart,
/// and another zone is used when the near ones have clearly more to do. Long
/// answers stay near until the near upstreams are full, as they are what
/// traffic between zones is made of. A flow goes to one of its homes (homes.h)
/// while one has a free slot, so that any entry finds it there.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/protocol/relay.h"
#include "savoryledge/state/plan.h"

/// One upstream as the entry knows it.
struct SlCandidate {
    uint64_t node_id;
    /// Number of its availability zone, and whether that is this entry's.
    uint32_t zone;
    bool in_local_zone;
    /// A home of the flow that is being placed or looked for.
    bool is_home;
    /// May be offered new flows at all, by the configuration in force.
    bool accepts_flows;
    /// Offers stayed without an answer lately.
    bool suspect;
    /// Far slower than its peers (outlier.h).
    bool slow;
    /// Its last report, and the flows offered to it since.
    struct SlRelayLoad load;
    uint32_t offered_flows;
    /// Slots by its announcement, for one that has not reported.
    uint32_t slots;
};

enum {
    SL_PLACEMENT_NONE = -1,
};

/// Returns the index of the upstream to offer a flow to, SL_PLACEMENT_NONE
/// when none is open and untried. random: differs from call to call.
int32_t
SlPlacement_Choose(const struct SlCandidate *candidates, uint32_t count,
                   const uint64_t *tried, uint32_t tried_count,
                   enum SlTrafficKind kind, uint64_t random);

/// True when an open candidate that is not suspect has a free slot, as far as
/// the entry knows, leaving out the tried ones and that at index chosen.
bool
SlPlacement_HasFreeSlot(const struct SlCandidate *candidates, uint32_t count,
                        const uint64_t *tried, uint32_t tried_count,
                        int32_t chosen);

/// A step of splitmix64 (Steele, Lea and Flood, 2014): spreads its argument
/// over all 64 bits.
uint64_t
SlPlacement_MixBits(uint64_t value);

#endif
