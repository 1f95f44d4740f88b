/// Offers: which new flows the upstream gets. Here every rule about new flows
/// is kept, whatever an entry believes.

#include "relay_agent_core.h"

enum {
    /// An upstream announces itself about each second; without a sign of
    /// life for three times that it is taken for gone.
    UPSTREAM_LOST_US = 3600 * 1000,
};

enum SlRelayReason
SlRelayAgent_ClosedFor(const struct SlRelayAgent *agent, uint64_t now_us)
{
    bool assumed =
        agent->assumed_slots > 0 && SlRelayAgent_Assumes(agent, now_us);

    if (agent->plan == NULL || agent->stopping || agent->held_out) {
        return SL_RELAY_LEAVING;
    }
    if (agent->known ? agent->upstream.draining : !assumed) {
        return SL_RELAY_LEAVING;
    }
    if (agent->zone_out) {
        return SL_RELAY_ZONE_OUT;
    }
    if (now_us < agent->silent_until_us ||
        now_us - agent->upstream_heard_us > UPSTREAM_LOST_US) {
        return SL_RELAY_SILENT;
    }
    return SL_RELAY_REASON_NONE;
}

/// May this upstream serve the route, by the plan in use here? An entry that
/// is ahead offers it again once this process has caught up.
static bool
is_own(const struct SlRelayAgent *agent, const struct SlPlanRoute *route)
{
    return route != NULL && agent->service != SL_PLAN_NO_SERVICE &&
           SlPlan_Allows(route, agent->service);
}

void
SlRelayAgent_Decline(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlAddress *to,
                     const struct SlFlowKey *key, enum SlRelayReason reason)
{
    struct SlRelayFrame frame = {.kind = SL_RELAY_DECLINE,
                                 .reason = reason,
                                 .sender = agent->node_id,
                                 .flow = *key,
                                 .load = SlRelayAgent_Load(agent, now_us)};

    agent->counters.declined++;
    sink->type->send_frame(sink, to, &frame);
    SlRelayAgent_Event(agent, sink, now_us,
                       (struct SlEvent){.number = SL_EVENT_RELAY_DECLINE,
                                        .flow = key,
                                        .reason = SlRelayReason_Name(reason),
                                        .value = frame.load.in_progress,
                                        .limit = frame.load.slots});
}

static void
send_accept(struct SlRelayAgent *agent, struct SlRelaySink *sink,
            uint64_t now_us, const struct SlAgentFlow *flow)
{
    struct SlRelayFrame frame = {.kind = SL_RELAY_ACCEPT,
                                 .sender = agent->node_id,
                                 .flow = flow->item.key,
                                 .load = SlRelayAgent_Load(agent, now_us)};

    sink->type->send_frame(sink, &flow->entry, &frame);
}

static void
admit(struct SlRelayAgent *agent, struct SlRelaySink *sink, uint64_t now_us,
      const struct SlAddress *from, const struct SlSegment *segment,
      const struct SlFlowKey *key)
{
    struct SlAgentFlow *flow =
        SlAgentFlow_Add(agent, now_us, key, SL_AGENT_OPENING, from);

    if (flow == NULL) {
        SlAdmission_Abandoned(&agent->admission);
        agent->admission.flows--;
        SlRelayAgent_Decline(agent, sink, now_us, from, key, SL_RELAY_FULL);
        return;
    }
    flow->counted_opening = true;
    flow->counted_flow = true;
    flow->caller_first = segment->seq;
    SlRelayIndex_Wait(&agent->flows, &flow->item);
    agent->counters.admitted++;
    SlAgentFlow_Deliver(agent, sink, now_us, flow, segment);
    send_accept(agent, sink, now_us, flow);
    SlRelayAgent_Event(
        agent, sink, now_us,
        (struct SlEvent){
            .number = SL_EVENT_RELAY_ADMIT,
            .flow = key,
            .reason = SlAdmission_IsCold(&agent->admission, now_us) ? "cold"
                                                                    : "room",
            .value = agent->admission.in_progress + agent->admission.opening,
            .limit = agent->admission.slots});
}

/// A copy of an opening segment goes where the first went.
static bool
is_copy(const struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    return flow != NULL && flow->state != SL_AGENT_ENDED &&
           (flow->state != SL_AGENT_OPENING ||
            flow->caller_first == segment->seq);
}

void
SlRelayAgent_Offered(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlAddress *from,
                     const struct SlSegment *segment,
                     const struct SlRelayFrame *offer)
{
    struct SlFlowKey key = SlSegment_CallerKey(segment);
    struct SlAgentFlow *flow = SlAgentFlow_Find(agent, &key);
    enum SlRelayReason reason = SlRelayAgent_ClosedFor(agent, now_us);
    const struct SlPlanRoute *route = NULL;
    struct SlAdmissionAsk ask = {.last = offer->last};

    if (is_copy(flow, segment)) {
        flow->entry = *from;
        SlAgentFlow_Deliver(agent, sink, now_us, flow, segment);
        send_accept(agent, sink, now_us, flow);
        return;
    }
    if (flow != NULL) {
        SlAgentFlow_Remove(agent, flow);
    }
    if (agent->plan != NULL) {
        route = SlPlan_FindRoute(agent->plan, &key.service);
    }
    if (reason == SL_RELAY_REASON_NONE && !is_own(agent, route)) {
        reason = SL_RELAY_FOREIGN;
    }
    if (reason == SL_RELAY_REASON_NONE) {
        ask.objective_ms = route->objective_ms;
        ask.timeout_ms = route->timeout_ms;
        reason = SlAdmission_Judge(&agent->admission, now_us, &ask);
    }
    if (reason != SL_RELAY_REASON_NONE) {
        SlRelayAgent_Decline(agent, sink, now_us, from, &key, reason);
        return;
    }
    admit(agent, sink, now_us, from, segment, &key);
}
