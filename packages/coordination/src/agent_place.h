#ifndef SAVORYLEDGE_COORDINATION_AGENT_PLACE_H
#define SAVORYLEDGE_COORDINATION_AGENT_PLACE_H

/// Placement of new flows: each is admitted here, passed on to another agent,
/// or refused.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/state/flow_table.h"

struct agent_call;
struct agent_packet;

/// Places a new flow that no agent is known to hold. Claims the flow first
/// (agent_search.h) if another agent may have a copy of its first packet.
void
agent_place_new_flow(const struct agent_call *call, struct SlFlowShard *shard,
                     struct agent_packet *p);
/// Admits the flow, passes it on to another agent or refuses it. No claim of
/// another agent may be open.
void
agent_place_or_pass_on(const struct agent_call *call,
                       struct SlFlowShard *shard, struct agent_packet *p);
/// Admits the flow or refuses it, but never passes it on.
void
agent_admit_or_refuse(const struct agent_call *call, struct SlFlowShard *shard,
                      struct agent_packet *p);
/// Returns true when this agent is the home of the flow's bucket and no other
/// agent can have received a copy of the first packet within the last
/// bound_us.
bool
agent_is_home_settled(const struct agent_call *call,
                      const struct agent_packet *p, uint64_t bound_us);

#endif
