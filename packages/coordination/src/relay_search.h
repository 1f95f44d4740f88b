#ifndef SAVORYLEDGE_COORDINATION_RELAY_SEARCH_H
#define SAVORYLEDGE_COORDINATION_RELAY_SEARCH_H

/// State of the search for a flow's holder: the agents that were queried,
/// their answers, and the segments kept until the holder is found. This module
/// only stores the state; relay_locate.c decides.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/segment.h"

enum {
    /// Segments of one flow that are kept. Later ones are dropped; the caller
    /// retransmits them.
    SL_SEARCH_SEGMENTS_MAX = 4,
    /// Agents that may hold the flow and are probed one after the other. When
    /// there are more, the search cannot end with certainty, and only some are
    /// probed: enough for all homes in four zones and a few others.
    SL_SEARCH_POSSIBLE_MAX = 64,
    SL_SEARCH_UNCERTAIN_PROBES_MAX = 24,
};

/// The agents that a search queries, in this order; all agents of a stage are
/// queried at once.
enum SlRelaySearchStage {
    /// The flow's homes in the entry's zone, where most flows of its callers
    /// are placed.
    SL_SEARCH_NEAR = 0,
    /// Its homes in the other zones; used when homes in the entry's zone have
    /// restarted.
    SL_SEARCH_FAR,
    /// All agents, with a broadcast query that covers other flows too
    /// (relay_delegate.c). Agents other than the homes hold a flow when the
    /// homes had no free slot, or when the route led elsewhere at the time the
    /// flow opened.
    SL_SEARCH_ALL,
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
    /// Queried agents that have not answered yet.
    uint32_t unanswered;
    /// A home in a service that the route allows was queried.
    bool home_queried;
    /// Progress with the flow's homes in other services: agents checked, and
    /// homes among them queried. awaits_budget: the rest wait for query
    /// budget, and no answer is awaited.
    uint32_t earlier_checked;
    uint32_t earlier_queried;
    bool awaits_budget;
    /// An agent that is no likely holder may hold the flow, and was not
    /// probed.
    bool claim_not_probed;
    /// Agents that did not answer in time, or neither returned nor claimed the
    /// segment they were probed with.
    uint32_t silent_count;
    /// A queried agent could not answer for certain, or an agent was not
    /// queried.
    bool uncertain;
    /// Agents that may hold the flow. The agents before possible_next have
    /// been probed with a segment of the flow.
    uint32_t possible_count;
    uint32_t possible_next;
    /// When the current possible holder was probed.
    uint64_t probed_us;
    uint64_t possible[SL_SEARCH_POSSIBLE_MAX];
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
/// Records an agent that may hold the flow.
void
SlRelaySearch_AddPossibleHolder(struct SlRelaySearch *search,
                                uint64_t node_id);
/// Returns the node id of the next agent to probe; 0 when all possible holders
/// were probed.
uint64_t
SlRelaySearch_NextPossibleHolder(struct SlRelaySearch *search);

#endif
