#ifndef SAVORYLEDGE_COORDINATION_AGENT_H
#define SAVORYLEDGE_COORDINATION_AGENT_H

/// The agent: stands beside one upstream and holds the authoritative table
/// of the flows that this upstream carries. It admits new flows or passes
/// them on, finds the holder of flows it does not know, delivers, drains,
/// and ends flows that went silent or whose zone is out.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/routing.h"

struct SlAgent;

struct SlAgentOptions {
    struct SlCoreOptions core;
    /// Requests the upstream works on at once; 1..4096.
    uint32_t slots;
    /// Connections it holds at most; 1..1000000.
    uint32_t capacity_flows;
    /// Shards of the flow table, each under its own lock; a power of two;
    /// 0 takes 16.
    uint32_t shards;
    /// How long after its start the agent asks its upstream about flows that
    /// nobody knows, to adopt them; 0 takes 24 h.
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

/// NULL without memory.
struct SlAgent *
SlAgent_Create(const struct SlAgentOptions *options, uint64_t now_us);
/// NULL is allowed. No other thread may be inside SlAgent_Handle.
void
SlAgent_Destroy(struct SlAgent *agent);

/// As SlEntry_SetRouting.
void
SlAgent_SetRouting(struct SlAgent *agent, struct SlSink *sink, uint64_t now_us,
                   struct SlRouting *routing);

/// Handles UPSTREAM_PACKET, TUNNEL, TICK and STOP; ignores the rest. Any
/// number of threads, each registered with liburcu, each with its own sink.
void
SlAgent_Handle(struct SlAgent *agent, struct SlSink *sink,
               const struct SlInput *input);

/// True when a planned stop may end: no request is in progress, or none of
/// the flows is open.
bool
SlAgent_IsIdle(const struct SlAgent *agent);

void
SlAgent_Counters(const struct SlAgent *agent,
                 struct SlAgentCounters *counters);

#endif
