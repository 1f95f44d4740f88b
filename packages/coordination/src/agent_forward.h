#ifndef SAVORYLEDGE_COORDINATION_AGENT_FORWARD_H
#define SAVORYLEDGE_COORDINATION_AGENT_FORWARD_H

/// Routing of packets that entries and other agents forward to this agent.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/agent.h"
#include "savoryledge/state/flow_table.h"

struct agent_call;
struct agent_packet;

void
agent_handle_forward(const struct agent_call *call,
                     const struct SlTunnel *tunnel);
/// Routes one packet according to the flow table's entry for its flow. The
/// shard is locked.
void
agent_route_packet(const struct agent_call *call, struct SlFlowShard *shard,
                   struct agent_packet *p);
/// Parses a caller's packet into p. Returns false, and drops and counts the
/// packet, when the packet is malformed or a fragment.
bool
agent_parse_packet(const struct agent_call *call,
                   const struct SlTunnel *tunnel, struct agent_packet *p);
/// Forwards the packet to another agent. flags: SL_TUNNEL_* to add. Returns
/// false when the packet has visited SL_TUNNEL_PASSED_ON_MAX agents or the
/// node is unknown.
bool
agent_forward_packet(const struct agent_call *call,
                     const struct agent_packet *p, uint64_t node_id,
                     uint32_t flags);
/// Marks node_id as the holder of the flow, in place of what the table had.
/// Returns NULL when the table is full.
struct SlFlow *
agent_mark_holder(const struct agent_call *call, struct SlFlowShard *shard,
                  const struct agent_packet *p, uint64_t node_id);
/// Counts and logs a dropped packet. key: its flow; NULL if not known.
void
agent_report_drop(const struct agent_call *call, const struct SlFlowKey *key,
                  const char *reason);

#endif
