#ifndef SAVORYLEDGE_COORDINATION_AGENT_H
#define SAVORYLEDGE_COORDINATION_AGENT_H

/// The agent runs next to one upstream and holds the authoritative table of
/// the flows that this upstream carries. It admits new flows or passes them on
/// to other agents, finds the holder of flows that it does not know, delivers
/// packets, drains the upstream, and ends flows that are silent or whose zone
/// is out.
///
/// A zone is out while an operator's hold keeps the availability zone out of
/// service. An upstream drains while it keeps its open flows but gets no new
/// ones. An exchange begins with a request, or with the completed handshake
/// that a request is expected to follow, and ends with the first payload of
/// the answer.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/routing.h"

struct SlAgent;

struct SlAgentOptions {
    struct SlCoreOptions core;
    /// Requests that the upstream processes concurrently; 1..4096.
    uint32_t slots;
    /// Max number of connections of the upstream; 1..1000000.
    uint32_t capacity_flows;
    /// Number of shards of the flow table, each with its own lock; a power of
    /// two. 0 selects 16.
    uint32_t shards;
    /// Time after the agent's start during which it probes its upstream for
    /// flows that no agent holds, in order to adopt them. Microseconds; 0
    /// selects 24 h.
    uint64_t probe_window_us;
};

struct SlAgentCounters {
    /// Packets of callers delivered to the upstream.
    uint64_t packets_delivered;
    /// Packets of the upstream returned to callers.
    uint64_t packets_returned;
    /// New flows admitted for the upstream.
    uint64_t flows_admitted;
    /// New flows passed on to another agent.
    uint64_t flows_passed_on;
    /// Flows refused while it was certain that their request had not run.
    uint64_t flows_refused_not_run;
    /// Flows refused although their request may have run.
    uint64_t flows_refused_unknown;
    /// Searches that found the holder of the flow.
    uint64_t flows_located;
    /// Searches that found no holder of the flow.
    uint64_t flows_not_located;
    /// Open flows of the upstream that this agent did not admit itself, for
    /// example because it restarted, and entered into its table.
    uint64_t flows_adopted;
    /// Flows that were reset, and packets of unknown flows that were answered
    /// with a reset.
    uint64_t flows_reset;
    /// Flows that were reset because one side did not acknowledge or answer
    /// the other side's data.
    uint64_t flows_silent;
    /// Packets whose service is not one of the upstream.
    uint64_t packets_foreign;
    /// Packets that were dropped.
    uint64_t packets_dropped;
    /// Flows that are open at the upstream now.
    uint64_t open_flows;
    /// Exchanges that are in progress at the upstream now.
    uint64_t exchanges;
    /// Present admission limit on open flows.
    uint64_t limit_flows;
    /// Present admission limit on exchanges in progress.
    uint64_t limit_exchanges;
    /// Memory allocated for the flow table.
    uint64_t table_bytes;
};

/// Creates an agent. now_us: current time. Returns NULL when out of memory.
struct SlAgent *
SlAgent_Create(const struct SlAgentOptions *options, uint64_t now_us);
/// Destroys an agent, which may be NULL. No other thread may be inside
/// SlAgent_HandleInput.
void
SlAgent_Destroy(struct SlAgent *agent);

/// Sets the routing table. It is published by RCU, and the agent takes its own
/// reference. Must be called by only one thread.
void
SlAgent_SetRouting(struct SlAgent *agent, struct SlSink *sink, uint64_t now_us,
                   struct SlRouting *routing);

/// Handles the inputs UPSTREAM_PACKET, TUNNEL, TICK and STOP; ignores all
/// others. May be called by any number of threads, each registered with
/// liburcu and with its own sink.
void
SlAgent_HandleInput(struct SlAgent *agent, struct SlSink *sink,
                    const struct SlInput *input);

/// Returns true when a planned stop of the agent may end: no flow is open, or
/// no request, handshake or unacknowledged payload is in progress.
bool
SlAgent_IsIdle(const struct SlAgent *agent);

/// Copies the present values of the agent's counters.
void
SlAgent_Counters(const struct SlAgent *agent,
                 struct SlAgentCounters *counters);

#endif
