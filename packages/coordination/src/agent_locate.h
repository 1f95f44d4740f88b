#ifndef SAVORYLEDGE_COORDINATION_AGENT_LOCATE_H
#define SAVORYLEDGE_COORDINATION_AGENT_LOCATE_H

/// Searches: finding the agent that holds a flow by querying the other agents
/// of its service, and answering their queries.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/agent.h"
#include "savoryledge/state/flow_table.h"

enum {
    /// Time within which a copy of a first packet may still be on its way to
    /// another agent.
    AGENT_COPY_LIFETIME_US = 10 * 1000 * 1000,
    AGENT_LOCATE_ROUND_MS = 100,
    AGENT_LOCATE_ROUNDS_MAX = 2,
    /// A probed upstream has AGENT_PROBE_TIMEOUT_MS to answer. Agents that
    /// probed their upstream are queried again after that time, at most
    /// AGENT_PROBE_WAITS_MAX times.
    AGENT_PROBE_TIMEOUT_MS = 20,
    AGENT_PROBE_WAITS_MAX = 5,
    /// For this long after a zone went out, its agents are notified of their
    /// flows that started again at another agent.
    AGENT_ZONE_LEFT_US = 3 * 1000 * 1000,
};

struct agent_call;
struct agent_packet;

/// Starts a search for the holder of the flow and queues the packet in it.
/// claim: the search also keeps the other agents from admitting the flow.
void
agent_start_search(const struct agent_call *call, struct SlFlowShard *shard,
                   struct agent_packet *p, bool claim);
/// Queues a packet of a flow that is being searched for; drops it when a limit
/// is reached.
void
agent_locate_queue_packet(const struct agent_call *call, struct SlFlow *flow,
                          const struct agent_packet *p);
/// Handles the deadline of a search: starts the next round of queries, or ends
/// the search.
void
agent_locate_handle_deadline(const struct agent_call *call,
                             struct SlFlowShard *shard, struct SlFlow *flow);
/// Ends a search because the upstream of this agent has the flow: adopts the
/// flow and delivers the queued packets.
void
agent_locate_adopt_flow(const struct agent_call *call,
                        struct SlFlowShard *shard, struct SlFlow *flow,
                        const struct SlRouteService *service);
/// Records that the probed upstream answered that it does not have the flow.
void
agent_locate_upstream_denied(const struct agent_call *call,
                             const struct SlFlow *flow);
/// Ends this agent's search in favour of the claim of a lower node id.
void
agent_locate_yield_search(const struct agent_call *call,
                          struct SlFlowShard *shard, struct SlFlow *flow,
                          uint64_t node_id);
/// Probes the upstream with an old acknowledgement without payload. If the
/// connection exists, the upstream answers (RFC 9293, 3.10.7.4), and the
/// answer makes this agent adopt the flow. Only an agent that started so
/// recently that it may have lost its flow table probes. Returns true if a
/// probe was sent.
bool
agent_probe_upstream(const struct agent_call *call,
                     const struct SlFlowKey *key, uint32_t seq);
/// Handles another agent's answer to a query of this agent.
void
agent_handle_located(const struct agent_call *call,
                     const struct SlTunnel *tunnel);
/// Handles another agent's query and answers it.
void
agent_handle_locate(const struct agent_call *call,
                    const struct SlTunnel *tunnel);

#endif
