#ifndef SAVORYLEDGE_COORDINATION_RELAY_WORK_H
#define SAVORYLEDGE_COORDINATION_RELAY_WORK_H

/// Follows the requests at the agent's upstream to learn their work
/// (balance/work.h), and estimates what the upstream still has to do. An
/// upstream works on its requests in the order in which they arrive, on as
/// many at a time as it has slots.

#include "savoryledge/balance/work.h"
#include "savoryledge/coordination/relay.h"

struct SlRelayAgent;
struct SlAgentFlow;

/// The request in progress on a flow. Part of the flow.
struct SlAgentRequest {
    /// The requests in progress in the order in which they arrived.
    struct SlAgentFlow *next;
    struct SlAgentFlow *previous;
    /// When the request got a slot, microseconds; 0 while it waits for one.
    uint64_t work_began_us;
    /// Element of the flow's route in the agent's SlWork, once the flow is
    /// counted there.
    uint32_t route;
    bool flow_counted;
    /// The flow has had a request, and one before the present one.
    bool had_request;
    bool is_repeated;
};

/// All requests in progress of an agent.
struct SlAgentRequests {
    struct SlAgentFlow *first;
    struct SlAgentFlow *last;
};

/// Counts a flow whose requests are followed.
void
SlAgentWork_FlowAdmitted(struct SlRelayAgent *agent, uint64_t now_us,
                         struct SlAgentFlow *flow);
/// Records that the flow's request is at the upstream as a whole.
void
SlAgentWork_RequestBegan(struct SlRelayAgent *agent, uint64_t now_us,
                         struct SlAgentFlow *flow);
/// Records that the flow's request ended. answered: the upstream has answered
/// it, so that its work is known.
void
SlAgentWork_RequestEnded(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, struct SlAgentFlow *flow,
                         bool answered);
/// Removes a flow that has not sent a request in time from the counts until it
/// does.
void
SlAgentWork_FlowUnused(struct SlRelayAgent *agent, uint64_t now_us,
                       struct SlAgentFlow *flow);
/// Removes a flow, and its request in progress, from all counts.
void
SlAgentWork_FlowEnded(struct SlRelayAgent *agent, uint64_t now_us,
                      struct SlAgentFlow *flow);
/// Forgets what was learned, for a new run of the upstream.
void
SlAgentWork_Forget(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us);

/// Adds the expected work to a load for entries.
void
SlAgentWork_FillLoad(const struct SlRelayAgent *agent, uint64_t now_us,
                     struct SlRelayLoad *load);
/// Returns the demand that a flow brings after its first request, in
/// thousandths of a slot. flow: the key of the flow.
uint32_t
SlAgentWork_FlowDemandPermille(const struct SlRelayAgent *agent,
                               uint64_t now_us, const struct SlFlowKey *flow);
/// Returns the time that a request is expected to wait for a slot if it
/// arrives now, microseconds.
uint64_t
SlAgentWork_ExpectedWaitUs(const struct SlRelayAgent *agent, uint64_t now_us);

#endif
