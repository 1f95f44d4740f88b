#ifndef SAVORYLEDGE_COORDINATION_AGENT_TIMER_H
#define SAVORYLEDGE_COORDINATION_AGENT_TIMER_H

/// Deadlines of flows.

#include "savoryledge/state/flow_table.h"

enum {
    /// A caller that sends no request for this long after its handshake is no
    /// longer expected to send one at once.
    AGENT_FIRST_REQUEST_MS = 250,
    AGENT_DEFAULT_SILENCE_MS = 15 * 1000,
    AGENT_DEFAULT_UDP_IDLE_MS = 60 * 1000,
    AGENT_TCP_IDLE_MS = 7 * 24 * 3600 * 1000,
    AGENT_HALF_CLOSED_MS = 3600 * 1000,
    AGENT_DEADLINES_PER_TICK = 4096,
};

struct agent_call;

void
agent_timers_tick(const struct agent_call *call);
/// Schedules the next check of an open flow, at its earliest deadline.
void
agent_schedule_flow(const struct agent_call *call, struct SlFlowShard *shard,
                    struct SlFlow *flow);

#endif
