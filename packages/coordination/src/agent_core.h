#ifndef SAVORYLEDGE_COORDINATION_AGENT_CORE_H
#define SAVORYLEDGE_COORDINATION_AGENT_CORE_H

/// The agent as a whole, and what all of its parts use. Each part has a header
/// of its own.
///
/// Locks: a thread holds at most one shard of the flow table; under it, at
/// most one of the locks of admission, peers, searches and return path at a
/// time. Sinks are called under a shard's lock and must not call back.

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
    /// After a move of a bucket, or the agent's start, new flows are claimed
    /// before they are admitted.
    AGENT_SETTLE_US = 30 * AGENT_SECOND_US,
    /// A peer that was not heard for this long gets no new flows.
    AGENT_PEER_SILENT_US = 2 * AGENT_SECOND_US,
    /// A peer that fell silent may be restarting for this long.
    AGENT_PEER_RESTART_US = 5 * AGENT_SECOND_US,
    AGENT_DEFAULT_ADOPT_S = 24 * 3600,
    AGENT_SOFT_MS = 60 * 1000,
    AGENT_STALL_MS = 1000,
    /// Zone out: the flows are ended over this many ticks.
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
    /// Read inside RCU sections.
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
    /// From the routing table: this node's zone is out, it drains.
    atomic_bool zone_out;
    atomic_bool draining;
    /// From the routing table: members whose zone is out, and when the last
    /// of them was added. 0: never.
    uint32_t nodes_out;
    atomic_uint_fast64_t left_us;
    /// A peer's datagram named a newer version than the routing table's.
    atomic_bool behind;
    /// Zone out: place of the next flow to end. Tick only.
    uint32_t leave_shard;
    uint32_t leave_place;
    uint32_t leave_flows;
    atomic_uint_fast64_t counters[COUNTERS];
};

/// One input being handled.
struct agent_call {
    struct SlAgent *agent;
    struct SlSink *sink;
    uint64_t now_us;
    uint32_t now_ms;
    /// NULL before the first table.
    const struct SlRouting *routing;
};

/// One caller packet being handled.
struct agent_packet {
    struct SlPacket packet;
    struct SlFlowKey key;
    /// Who serves the packet's destination now; NULL if nobody.
    const struct SlRouteService *service;
    const struct SlTunnel *tunnel;
    bool has_last_seq;
    uint32_t last_seq;
};

/// Time from then_us to now_us; 0 when another thread's input, a moment
/// later, was noted first.
static inline uint64_t
agent_elapsed_us(uint64_t now_us, uint64_t then_us)
{
    return now_us > then_us ? now_us - then_us : 0;
}

/// The same for times cut to 32 bits.
static inline uint32_t
agent_elapsed_ms(uint32_t now_ms, uint32_t then_ms)
{
    int32_t elapsed_ms = (int32_t)(now_ms - then_ms);

    return elapsed_ms > 0 ? (uint32_t)elapsed_ms : 0;
}

void
agent_count(struct SlAgent *agent, enum agent_counter counter);
/// Logs a decision; version and time are filled in.
void
agent_event(const struct agent_call *call, struct SlEvent *event);
const char *
agent_node_name(const struct agent_call *call, uint64_t node_id);
/// Fills sender, version and, between agents, load; sends if the node is
/// known. False when it is not.
bool
agent_send(const struct agent_call *call, uint64_t node_id,
           struct SlTunnel *tunnel);
/// True when the agent runs for less than bound_us.
bool
agent_started_within(const struct agent_call *call, uint64_t bound_us);
/// True when the service's upstreams include this agent's.
bool
agent_serves(const struct agent_call *call,
             const struct SlRouteService *service);
/// True when this agent may take new flows at all.
bool
agent_takes_new(const struct agent_call *call);
/// True for the first packet of a flow: a SYN or a UDP datagram.
bool
agent_is_opening(const struct SlPacket *packet);
/// True when delivering a copy could run something.
bool
agent_has_payload(const struct SlPacket *packet);
bool
agent_visited(const struct SlTunnel *tunnel, uint64_t node_id);

#endif
