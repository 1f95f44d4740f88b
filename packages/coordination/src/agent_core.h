#ifndef SAVORYLEDGE_COORDINATION_AGENT_CORE_H
#define SAVORYLEDGE_COORDINATION_AGENT_CORE_H

/// The agent's state and the functions that all of its parts use. Each part
/// has its own header.
///
/// A flow is marked when the flow table has, instead of the flow, the node id
/// of the agent that holds it. Entries of the table other than open flows are
/// soft: they may be evicted.
///
/// Locks: a thread holds at most one shard of the flow table; while it does,
/// it holds at most one of the locks of admission, peers, searches and return
/// path at a time. Sinks are called with a shard locked and must not call back
/// into the agent.

#include <stdatomic.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/agent.h"
#include "savoryledge/state/flow_table.h"

#include "agent_admission.h"
#include "agent_fragment.h"
#include "agent_peers.h"
#include "agent_return_path.h"
#include "agent_search.h"

enum {
    AGENT_SECOND_US = 1000 * 1000,
    /// For this long after a bucket moved or the agent started, new flows are
    /// claimed before they are admitted.
    AGENT_SETTLE_US = 30 * AGENT_SECOND_US,
    /// A peer that sent no load report for this long gets no new flows.
    AGENT_PEER_SILENT_US = 2 * AGENT_SECOND_US,
    /// For this long after the last load report of a silent peer, the peer may
    /// be restarting.
    AGENT_PEER_RESTART_US = 5 * AGENT_SECOND_US,
    AGENT_DEFAULT_ADOPT_S = 24 * 3600,
    AGENT_SOFT_ENTRY_MS = 60 * 1000,
    AGENT_STALLED_EXCHANGE_MS = 1000,
    /// When the agent's zone is taken out of service, the flows of the agent
    /// are ended over this many ticks.
    AGENT_LEAVE_TICKS = 50,
};

enum agent_counter {
    COUNT_DELIVERED,
    COUNT_RETURNED,
    COUNT_ADMITTED,
    COUNT_PASSED_ON,
    COUNT_REFUSED_NOT_RUN,
    COUNT_REFUSED_UNKNOWN,
    COUNT_LOCATED,
    COUNT_LOCATE_FAILED,
    COUNT_ADOPTED,
    COUNT_RESET,
    COUNT_SILENT,
    COUNT_FOREIGN,
    COUNT_DROPPED,
    COUNTERS,
};

struct SlAgent {
    struct SlAgentOptions options;
    uint64_t node_id;
    uint64_t started_us;
    /// Current routing table; read inside RCU read sections.
    struct SlRouting *routing;
    struct SlFlowTable *table;
    uint32_t soft_per_shard;
    uint32_t handshakes_per_shard;
    struct agent_admission admission;
    struct agent_peers peers;
    struct agent_searches searches;
    struct agent_paths paths;
    struct agent_fragments fragments;
    atomic_bool stopping;
    /// From the routing table: the availability zone of this node is out of
    /// service; this node drains.
    atomic_bool zone_out;
    atomic_bool draining;
    /// From the routing table: number of nodes whose zone is out, and the time
    /// when that number last rose. Time 0: never.
    uint32_t nodes_out;
    atomic_uint_fast64_t zone_left_us;
    /// A peer's datagram named a newer version than that of this agent's
    /// routing table.
    atomic_bool routing_outdated;
    /// Position of the next flow to end while the zone is out, and how many to
    /// end per tick. Used only on ticks.
    uint32_t leave_shard;
    uint32_t leave_index;
    uint32_t leave_flows_per_tick;
    atomic_uint_fast64_t counters[COUNTERS];
};

/// Context of the input that is being handled.
struct agent_call {
    struct SlAgent *agent;
    struct SlSink *sink;
    uint64_t now_us;
    uint32_t now_ms;
    /// NULL until the first routing table is set.
    const struct SlRouting *routing;
};

/// A caller's packet that is being handled.
struct agent_packet {
    struct SlPacket packet;
    struct SlFlowKey key;
    /// Service that the packet's destination belongs to; NULL if it belongs to
    /// no service.
    const struct SlRouteService *service;
    const struct SlTunnel *tunnel;
    bool has_last_seq;
    uint32_t last_seq;
};

/// Time from then_us to now_us. 0 when then_us is later, because another
/// thread recorded an input with a later time first.
static inline uint64_t
agent_elapsed_us(uint64_t now_us, uint64_t then_us)
{
    return now_us > then_us ? now_us - then_us : 0;
}

/// Time from then_ms to now_ms, both truncated to 32 bits. 0 when then_ms is
/// later.
static inline uint32_t
agent_elapsed_ms(uint32_t now_ms, uint32_t then_ms)
{
    int32_t elapsed_ms = (int32_t)(now_ms - then_ms);

    return elapsed_ms > 0 ? (uint32_t)elapsed_ms : 0;
}

void
agent_increment_counter(struct SlAgent *agent, enum agent_counter counter);
/// Logs an event. The version and time are filled in here.
void
agent_log_event(const struct agent_call *call, struct SlEvent *event);
const char *
agent_node_name(const struct agent_call *call, uint64_t node_id);
/// Sends a datagram to a node. Fills in sender, version and, between agents,
/// load. Returns false when the node is unknown.
bool
agent_send_datagram(const struct agent_call *call, uint64_t node_id,
                    struct SlTunnel *tunnel);
/// Returns true when the agent was started less than bound_us ago.
bool
agent_started_within(const struct agent_call *call, uint64_t bound_us);
/// Returns true when this agent's upstream serves the service.
bool
agent_serves_service(const struct agent_call *call,
                     const struct SlRouteService *service);
/// Returns true when this agent may admit new flows: it is not stopping or
/// draining, and its zone is not out of service.
bool
agent_accepts_new_flows(const struct agent_call *call);
/// Returns true for the first packet of a flow: a SYN, or any UDP datagram.
bool
agent_is_opening_packet(const struct SlPacket *packet);
/// Returns true when delivering a copy of the packet could make the upstream
/// run a request twice.
bool
agent_has_payload(const struct SlPacket *packet);
/// Returns true when the packet in the datagram was passed on by the node
/// before.
bool
agent_has_packet_visited(const struct SlTunnel *tunnel, uint64_t node_id);

#endif
