#ifndef SAVORYLEDGE_COORDINATION_RELAY_SEARCH_H
#define SAVORYLEDGE_COORDINATION_RELAY_SEARCH_H

/// State of the search for a flow's holder: the agents that were queried,
/// their answers, the agents that may hold the flow, and the segments kept
/// until the holder is found. This module only stores the state;
/// relay_locate.c decides.
///
/// Load pattern: planned work or a fault restarts the agents of a large
/// service, none of which then knows which flows its upstream holds, while
/// upstreams are added and the flows' homes move. Any of a thousand agents may
/// hold a flow, and its caller waits for some seconds. The agents are probed
/// in the order in which they are likely to hold it, in waves of growing size,
/// and one that does not is not probed again by the next search.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/segment.h"

#include "node_set.h"

enum {
    /// Segments of one flow that are kept. Later ones are dropped; the caller
    /// retransmits them.
    SL_SEARCH_SEGMENTS_MAX = 4,
};

/// The agents that a search queries, in this order; all agents of a stage are
/// queried at once. While probes are under way, the next stage may begin.
/// While agents leave, it begins before any probe: the holder may be one of
/// those, and others know that.
enum SlRelaySearchStage {
    /// The flow's homes in the entry's zone, where most flows of its callers
    /// are placed.
    SL_SEARCH_NEAR = 0,
    /// All agents, with a broadcast query that covers other flows too
    /// (relay_delegate.c). Agents other than the homes hold a flow when the
    /// homes had no free slot, or when the route led elsewhere at the time the
    /// flow opened.
    SL_SEARCH_ALL,
};

/// An agent that may hold the flow. The nearest is probed first.
struct SlSearchCandidate {
    uint64_t distance;
    uint64_t node_id;
};

struct SlRelaySearch {
    enum SlRelaySearchStage stage;
    uint64_t began_us;
    /// When the query of this stage was sent; 0 while the search waits for
    /// query budget.
    uint64_t queried_us;
    /// Number of the broadcast query that includes this flow; 0 when no query
    /// includes it.
    uint32_t broadcast;
    /// A first result of that query has arrived; its last one has, or it was
    /// given up.
    bool broadcast_answered;
    bool broadcast_ended;
    /// Queried agents that have not answered yet.
    uint32_t unanswered;
    /// The next probes wait for query budget, and no answer is awaited.
    bool awaits_budget;
    /// Agents that did not answer in time, or neither returned nor claimed the
    /// segment they were probed with.
    uint32_t silent_count;
    /// A queried agent could not answer for certain, or an agent was not
    /// queried.
    bool uncertain;
    /// Agents that may hold the flow and have not been probed: a binary heap
    /// by distance.
    uint32_t candidate_count;
    uint32_t candidate_capacity;
    struct SlSearchCandidate *candidates;
    /// Agents that were probed and have not returned the segment, and how many
    /// of them are awaited.
    struct SlNodeSet probed;
    uint32_t awaited;
    /// Agents that the next wave of probes consists of at most, and when the
    /// last one was sent.
    uint32_t wave_size;
    uint64_t probed_us;
    uint32_t segment_count;
    struct {
        uint8_t *bytes;
        uint32_t length_bytes;
    } segments[SL_SEARCH_SEGMENTS_MAX];
    /// Acknowledgement number of the first kept segment.
    uint32_t ack;
};

/// Returns NULL when out of memory.
struct SlRelaySearch *
SlRelaySearch_Create(uint64_t now_us, uint32_t ack);
/// Destroys a search, which may be NULL.
void
SlRelaySearch_Destroy(struct SlRelaySearch *search);
/// Keeps a copy of a segment. Returns false when the segment is dropped.
bool
SlRelaySearch_KeepSegment(struct SlRelaySearch *search, const uint8_t *bytes,
                          uint32_t length_bytes);
/// Adds an agent that may hold the flow, unless it has returned a segment of
/// the flow (returned) or has been probed by this search.
void
SlRelaySearch_AddCandidate(struct SlRelaySearch *search,
                           const struct SlNodeSet *returned,
                           const struct SlSearchCandidate *candidate);
/// Removes the nearest candidate, which is to be probed now. Returns its node
/// id; 0 when there is none. returned: as above.
uint64_t
SlRelaySearch_TakeCandidate(struct SlRelaySearch *search,
                            const struct SlNodeSet *returned);
/// Records that an agent has returned a segment. Returns true when it was the
/// last one that was awaited.
bool
SlRelaySearch_RecordReturn(struct SlRelaySearch *search, uint64_t node_id);

#endif
