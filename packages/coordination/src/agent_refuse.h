#ifndef SAVORYLEDGE_COORDINATION_AGENT_REFUSE_H
#define SAVORYLEDGE_COORDINATION_AGENT_REFUSE_H

/// Refusals and resets that the agent sends to callers and to its upstream.

#include <stdbool.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/state/flow_table.h"

struct agent_call;
struct agent_packet;

/// Refuses a new flow. not_run: no upstream received any packet of the flow,
/// so the caller may safely try again.
void
agent_refuse_flow(const struct agent_call *call, struct SlFlowShard *shard,
                  const struct agent_packet *p, bool not_run,
                  const char *reason);
/// Answers a packet of a flow that no agent holds, with a TCP reset or an ICMP
/// error.
void
agent_answer_with_reset(const struct agent_call *call,
                        const struct agent_packet *p, const char *reason);
/// Sends resets to both sides of a flow, with the sequence numbers of its
/// entry.
void
agent_send_resets(const struct agent_call *call, const struct SlFlow *flow);
/// Answers a packet from the upstream that belongs to no flow with a reset,
/// unless it is a reset itself.
void
agent_reset_upstream(const struct agent_call *call,
                     const struct SlPacket *packet);

#endif
