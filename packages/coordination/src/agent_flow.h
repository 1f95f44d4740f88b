#ifndef SAVORYLEDGE_COORDINATION_AGENT_FLOW_H
#define SAVORYLEDGE_COORDINATION_AGENT_FLOW_H

/// Flows that the upstream carries: opening, adopting, delivering and ending
/// them.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/agent.h"
#include "savoryledge/state/flow_table.h"

enum {
    AGENT_HANDSHAKE_TIMEOUT_MS = 5000,
    AGENT_REFUSED_ENTRY_MS = 200,
    AGENT_PROBED_ENTRY_MS = 1000,
};

struct agent_call;
struct agent_packet;

/// Sends a hint to the entry that received the packet: the node id of the
/// flow's holder, or 0 when no agent holds the flow.
void
agent_send_hint(const struct agent_call *call, const struct agent_packet *p,
                uint64_t holder);
/// Opens a flow and delivers its first packet. Returns false when the upstream
/// does not serve it, or when the limits or the table do not allow it.
bool
agent_open_flow(const struct agent_call *call, struct SlFlowShard *shard,
                struct agent_packet *p);
/// Like agent_open_flow, for a flow that no other agent has room for.
bool
agent_open_last_flow(const struct agent_call *call, struct SlFlowShard *shard,
                     struct agent_packet *p);
/// Opens a flow of which this process did not see the beginning. Returns NULL
/// when the table is full.
struct SlFlow *
agent_adopt_flow(const struct agent_call *call, struct SlFlowShard *shard,
                 const struct SlFlowKey *key,
                 const struct SlRouteService *service, uint64_t origin);
/// Checks a packet of a flow that the upstream carries, updates the flow and
/// delivers the packet. An implausible packet is dropped.
void
agent_deliver_packet(const struct agent_call *call, struct SlFlowShard *shard,
                     struct SlFlow *flow, struct agent_packet *p);
/// Ends a flow without sending resets.
void
agent_end_flow(const struct agent_call *call, struct SlFlowShard *shard,
               struct SlFlow *flow, const char *reason);
/// Ends a flow and sends resets to its caller and its upstream.
void
agent_reset_flow(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow, const char *reason);
/// Inserts an entry of a kind other than OPEN into the flow table. At the
/// limit of such entries, the oldest one is removed. Returns NULL when the
/// table is full of open flows.
struct SlFlow *
agent_insert_soft_entry(const struct agent_call *call,
                        struct SlFlowShard *shard, const struct SlFlowKey *key,
                        enum SlFlowKind kind);

#endif
