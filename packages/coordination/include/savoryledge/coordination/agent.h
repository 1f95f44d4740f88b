#ifndef SAVORYLEDGE_COORDINATION_AGENT_H
#define SAVORYLEDGE_COORDINATION_AGENT_H

/// The agent runs next to one upstream and holds the authoritative table of
/// the flows that this upstream carries. It admits new flows or passes them on
/// to other agents, finds the holder of flows that it does not know, delivers
/// packets, drains the upstream, and ends flows that are silent or whose zone
/// is out.

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
    uint64_t delivered;
    uint64_t returned;
    uint64_t admitted;
    uint64_t passed_on;
    uint64_t refused_not_run;
    uint64_t refused_unknown;
    uint64_t located;
    uint64_t locate_failed;
    uint64_t adopted;
    uint64_t reset;
    uint64_t silent;
    uint64_t foreign;
    uint64_t dropped;
    uint64_t open_flows;
    uint64_t exchanges;
    uint64_t limit_flows;
    uint64_t limit_exchanges;
    uint64_t table_bytes;
};

/// Creates an agent. now_us: current time. Returns NULL without memory.
struct SlAgent *
SlAgent_Create(const struct SlAgentOptions *options, uint64_t now_us);
/// NULL is allowed. No other thread may be inside SlAgent_Handle.
void
SlAgent_Destroy(struct SlAgent *agent);

/// Sets the routing table. Same conditions as for SlEntry_SetRouting.
void
SlAgent_SetRouting(struct SlAgent *agent, struct SlSink *sink, uint64_t now_us,
                   struct SlRouting *routing);

/// Handles the inputs UPSTREAM_PACKET, TUNNEL, TICK and STOP; ignores all
/// others. May be called by any number of threads, each registered with
/// liburcu and with its own sink.
void
SlAgent_Handle(struct SlAgent *agent, struct SlSink *sink,
               const struct SlInput *input);

/// Returns true when a planned stop may end: no flow is open, or no request,
/// handshake or unacknowledged payload is in progress.
bool
SlAgent_IsIdle(const struct SlAgent *agent);

void
SlAgent_Counters(const struct SlAgent *agent,
                 struct SlAgentCounters *counters);

#endif
