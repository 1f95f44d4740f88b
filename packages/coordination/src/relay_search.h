#ifndef SAVORYLEDGE_COORDINATION_RELAY_SEARCH_H
#define SAVORYLEDGE_COORDINATION_RELAY_SEARCH_H

/// The question who holds a flow: which agents were asked, what they said,
/// and the segments that wait for the answer. Decides nothing by itself.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/segment.h"

enum {
    /// Segments of one flow that wait; later ones are dropped, and sent again
    /// by the caller.
    SL_SEARCH_SEGMENTS = 4,
    /// Agents that may hold the flow and are tried one by one: all its homes
    /// in four zones, and a few others.
    SL_SEARCH_MAYBE = 24,
};

/// Whom a search asks, in this order; those of a stage all at once.
enum SlRelaySearchStage {
    /// The flow's homes in the entry's zone, where most of its callers' flows
    /// are.
    SL_SEARCH_NEAR = 0,
    /// Its homes in the other zones, when near ones have restarted.
    SL_SEARCH_FAR,
    /// All agents, together with other flows (relay_delegate.c): one that has
    /// no slot free passes a flow on to others than its homes, and the route
    /// may have led elsewhere when the flow opened.
    SL_SEARCH_ALL,
};

struct SlRelaySearch {
    enum SlRelaySearchStage stage;
    uint64_t began_us;
    /// When this stage's question was sent; 0 while it waits for its turn.
    uint64_t asked_us;
    /// The round that asks for it; 0 while none does.
    uint32_t round;
    /// How many of the asked agents have not answered.
    uint32_t open;
    /// How many did not answer in time, or did nothing when they were tried.
    uint32_t silent;
    /// An asked agent could not answer for certain, or was not asked.
    bool uncertain;
    uint32_t maybe_count;
    uint32_t maybe_next;
    /// When the present one was tried.
    uint64_t tried_us;
    uint64_t maybe[SL_SEARCH_MAYBE];
    uint32_t segment_count;
    struct {
        uint8_t *bytes;
        uint32_t length_bytes;
    } segments[SL_SEARCH_SEGMENTS];
    /// Of the first waiting segment: what the caller acknowledges.
    uint32_t ack;
};

/// NULL without memory.
struct SlRelaySearch *
SlRelaySearch_Create(uint64_t now_us, uint32_t ack);
/// NULL is allowed.
void
SlRelaySearch_Destroy(struct SlRelaySearch *search);
/// Keeps a copy of a segment. Returns false when it is dropped.
bool
SlRelaySearch_Keep(struct SlRelaySearch *search, const uint8_t *bytes,
                   uint32_t length_bytes);
/// An agent said that it may hold the flow.
void
SlRelaySearch_Maybe(struct SlRelaySearch *search, uint64_t node_id);
/// The next agent to try; 0 when there is none.
uint64_t
SlRelaySearch_NextMaybe(struct SlRelaySearch *search);

#endif
