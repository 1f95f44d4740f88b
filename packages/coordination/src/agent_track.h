#ifndef SAVORYLEDGE_COORDINATION_AGENT_TRACK_H
#define SAVORYLEDGE_COORDINATION_AGENT_TRACK_H

/// Tracks the state of a flow by its packets. The functions change nothing but
/// the flow, except agent_count_unacked.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/agent.h"
#include "savoryledge/state/flow_table.h"

enum {
    /// Max distance of a plausible sequence number from those seen.
    AGENT_WINDOW_BYTES = 1 << 26,
};

/// Returns true when the packet's sequence and acknowledgement numbers are
/// plausible for the flow.
bool
agent_is_plausible_packet(const struct SlFlow *flow,
                          const struct SlPacket *packet);
/// Updates the flow by a packet from the caller. Returns true when the packet
/// has new payload.
bool
agent_track_caller_packet(struct SlFlow *flow, const struct SlPacket *packet,
                          uint32_t now_ms);
void
agent_track_upstream_packet(struct SlFlow *flow, const struct SlPacket *packet,
                            uint32_t now_ms);
/// Returns true when the flow is a TCP flow with unacknowledged payload.
bool
agent_has_unacked_payload(const struct SlFlow *flow);
/// Updates the number of flows with unacknowledged payload. had_unacked: the
/// flow's state before its packet.
void
agent_count_unacked(struct SlAgent *agent, const struct SlFlow *flow,
                    bool had_unacked);
/// Returns true when the FINs of both sides have been acknowledged.
bool
agent_is_flow_closed(const struct SlFlow *flow);

#endif
