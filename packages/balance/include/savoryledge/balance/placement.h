#ifndef SAVORYLEDGE_BALANCE_PLACEMENT_H
#define SAVORYLEDGE_BALANCE_PLACEMENT_H

/// Placement: an entry chooses the upstream to which it offers a new flow.
///
/// Load pattern: many entries place flows concurrently from load reports that
/// are already out of date, upstreams have two to five slots, and one
/// availability zone has more callers than its own upstreams can serve.
/// Placement chooses the upstream with the least work per slot. Work that this
/// entry has placed since the last report counts at once, and a small random
/// term makes entries with the same reports choose differently. Another zone
/// is used when the upstreams of the entry's own zone have clearly more work.
/// Downloads stay in the zone until its upstreams are full, because they make
/// up most of the traffic between zones. A flow is placed on one of its homes,
/// which are upstreams derived from the flow's key (homes.h), while one has a
/// free slot. Every entry computes the same homes and finds the flow there.
///
/// Where requests differ measurably in their work (work.h), the number of
/// requests says little about the wait behind them, and a number that is out
/// of date says less the shorter requests are. There, a single request is
/// placed by the time in which it is expected to be answered: what was left to
/// do at the upstream when it reported, moved towards what its average demand
/// leaves there, the more so the older the report is, and the upstream's
/// speed. A flow that is known to go on asking is placed by the demand that
/// it finds and brings.
///
/// An upload occupies no slot while it is in transfer. It is placed by the
/// number of transfers and requests at an upstream.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/protocol/relay.h"
#include "savoryledge/state/plan.h"

/// One upstream as an entry knows it.
struct SlCandidate {
    uint64_t node_id;
    /// Number of the upstream's availability zone.
    uint32_t zone;
    /// The upstream is in the same zone as this entry.
    bool in_local_zone;
    /// The upstream is a home of the flow that is being placed or searched
    /// for.
    bool is_home;
    /// The configuration in force permits new flows on the upstream.
    bool accepts_flows;
    /// The upstream's agent left recent offers unanswered.
    bool suspect;
    /// The upstream answers far more slowly than the service's other upstreams
    /// (outlier.h).
    bool slow;
    /// A slow upstream that may get one flow to probe whether it still is; it
    /// is not marked as slow, and its work counts as typical.
    bool is_probe;
    /// Latest load report of the upstream's agent, and when it arrived,
    /// microseconds. Its work, variation and demand are from the latest report
    /// that had them.
    struct SlRelayLoad load;
    uint64_t reported_us;
    /// Flows that this entry has offered to the agent since that report.
    uint32_t offered_flows;
    /// Slots that the agent announced, used until the first report.
    uint32_t slots;
};

enum {
    SL_PLACEMENT_NONE = -1,
};

/// A flow to be placed where requests differ in their work.
struct SlPlacementRequest {
    enum SlTrafficKind kind;
    uint64_t now_us;
    /// Typical work of a request of the service, microseconds; not 0.
    uint32_t work_us;
    /// Typical demand of the service's upstreams for each of their slots, in
    /// thousandths; assumed where no report is recent.
    uint32_t slot_demand_permille;
    /// Demand that the flow is expected to bring after its first request, in
    /// thousandths of a slot; 0 for a flow with a single request.
    uint32_t flow_demand_permille;
    /// A number that differs from call to call.
    uint64_t random;
};

/// Returns the index of the candidate to offer a flow to, or SL_PLACEMENT_NONE
/// when every candidate is excluded or closed, which means that it takes no
/// new flows. excluded_ids: node ids of the agents to which the flow was
/// offered before. random: a number that differs from call to call.
int32_t
SlPlacement_Choose(const struct SlCandidate *candidates, uint32_t count,
                   const uint64_t *excluded_ids, uint32_t excluded_count,
                   enum SlTrafficKind kind, uint64_t random);

/// SlPlacement_Choose for services whose requests differ in their work. An
/// upload is placed as by SlPlacement_Choose.
int32_t
SlPlacement_ChooseByCost(const struct SlCandidate *candidates, uint32_t count,
                         const uint64_t *excluded_ids, uint32_t excluded_count,
                         const struct SlPlacementRequest *request);

/// The parts of a candidate's expected answer, for explanations.
struct SlPlacementTerms {
    /// Expected time until a slot is free, and expected work, microseconds.
    uint64_t wait_us;
    uint64_t work_us;
    /// Demand with that of the flows offered since the report, in thousandths
    /// of a slot.
    uint64_t demand_permille;
};

/// Computes the parts for one candidate.
void
SlPlacement_ComputeTerms(const struct SlCandidate *candidate,
                         const struct SlPlacementRequest *request,
                         struct SlPlacementTerms *terms);

/// The score of a candidate, for explanations; the lowest one is chosen.
struct SlPlacementScore {
    /// The part for the load, in thousandths of a request per slot, and the
    /// part that does not depend on it.
    uint64_t load;
    uint64_t place;
    /// A random term below this is added when a flow is placed.
    uint32_t random_range;
    /// As far as the entry knows, the upstream would take the flow at once.
    bool has_room;
};

/// Computes the score of one candidate as SlPlacement_ChooseByCost does when
/// by_cost, and else as SlPlacement_Choose does. request->random is not used.
void
SlPlacement_ComputeScore(const struct SlCandidate *candidate,
                         const struct SlPlacementRequest *request,
                         bool by_cost, struct SlPlacementScore *score);

/// True when, as far as the entry knows, a candidate that takes new flows and
/// is not suspect has a free slot, or room for one more transfer when the flow
/// is an upload. The excluded candidates and the one at index chosen are left
/// out.
bool
SlPlacement_HasFreeSlot(const struct SlCandidate *candidates, uint32_t count,
                        const uint64_t *excluded_ids, uint32_t excluded_count,
                        int32_t chosen, enum SlTrafficKind kind);

/// SlPlacement_HasFreeSlot for services whose requests differ in their work:
/// true when a request is expected to wait for less than typical work at
/// another candidate.
bool
SlPlacement_HasShortWait(const struct SlCandidate *candidates, uint32_t count,
                         const uint64_t *excluded_ids, uint32_t excluded_count,
                         int32_t chosen,
                         const struct SlPlacementRequest *request);

/// One step of the splitmix64 generator (Steele, Lea and Flood, 2014): mixes
/// the bits of value over all 64 bits of the result.
uint64_t
SlPlacement_MixBits(uint64_t value);

#endif
