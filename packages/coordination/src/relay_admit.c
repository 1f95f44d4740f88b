/// Offers: which new flows the upstream gets. Here every rule about new flows
/// is kept, whatever an entry believes.

#include <stdlib.h>
#include <string.h>

#include "relay_agent_core.h"

enum {
    /// An upstream announces itself about each second; without a sign of
    /// life for three times that it is taken for gone.
    UPSTREAM_LOST_US = 3600 * 1000,
    US_PER_MS = 1000,
    /// A caller gives its opening segment up 1.4 s after it first sent it;
    /// what is left is for the answer, or for another try.
    WAIT_MAX_US = 900 * 1000,
};

enum SlRelayReason
SlRelayAgent_ClosedFor(const struct SlRelayAgent *agent, uint64_t now_us)
{
    bool assumed = agent->assumed_slots > 0 &&
                   SlRelayAgent_UsesAnnouncedState(agent, now_us);

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
           SlPlan_RouteAllowsService(route, agent->service);
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
    SlRelayAgent_Told(agent, to, &frame.load);
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
    SlRelayAgent_Told(agent, &flow->entry, &frame.load);
}

static void
log_admit(struct SlRelayAgent *agent, struct SlRelaySink *sink,
          uint64_t now_us, const struct SlAgentFlow *flow, const char *reason)
{
    SlRelayAgent_Event(agent, sink, now_us,
                       (struct SlEvent){.number = SL_EVENT_RELAY_ADMIT,
                                        .flow = &flow->item.key,
                                        .reason = reason,
                                        .value = agent->admission.in_progress +
                                                 agent->admission.opening,
                                        .limit = agent->admission.slots});
}

/// Hands the opening segment of a flow over that was let in.
static void
begin_flow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           uint64_t now_us, struct SlAgentFlow *flow,
           const struct SlSegment *segment)
{
    flow->state = SL_AGENT_OPENING;
    flow->began_us = now_us;
    flow->counted_opening = true;
    flow->counted_flow = true;
    SlRelayIndex_Wait(&agent->flows, &flow->item);
    agent->counters.admitted++;
    SlAgentFlow_Deliver(agent, sink, now_us, flow, segment);
}

static void
admit(struct SlRelayAgent *agent, struct SlRelaySink *sink, uint64_t now_us,
      const struct SlAddress *from, const struct SlSegment *segment,
      const struct SlFlowKey *key)
{
    struct SlAgentFlow *flow =
        SlAgentFlow_Add(agent, now_us, key, SL_AGENT_OPENING, from);

    if (flow == NULL) {
        SlAdmission_FlowAbandoned(&agent->admission);
        agent->admission.flows--;
        SlRelayAgent_Decline(agent, sink, now_us, from, key, SL_RELAY_FULL);
        return;
    }
    flow->caller_first = segment->seq;
    begin_flow(agent, sink, now_us, flow, segment);
    send_accept(agent, sink, now_us, flow);
    log_admit(agent, sink, now_us, flow,
              SlAdmission_HasSlowStartRate(&agent->admission, now_us)
                  ? "cold_share"
                  : "room");
}

uint64_t
SlRelayAgent_WaitLimitUs(const struct SlPlanRoute *route)
{
    uint64_t limit_us = (uint64_t)route->timeout_ms * US_PER_MS / 2;

    return limit_us < WAIT_MAX_US ? limit_us : WAIT_MAX_US;
}

/// False when the pace of a cold upstream lets a flow in only after its time.
static bool
comes_in_time(const struct SlRelayAgent *agent, uint64_t now_us,
              const struct SlPlanRoute *route)
{
    return SlAdmission_SlowStartWaitUs(&agent->admission, now_us,
                                       agent->wait_room.count) <
           SlRelayAgent_WaitLimitUs(route);
}

/// Keeps a flow until a slot is free. False when there is no place.
static bool
wait_for_slot(struct SlRelayAgent *agent, struct SlRelaySink *sink,
              uint64_t now_us, const struct SlAddress *from,
              const struct SlSegment *segment, const struct SlFlowKey *key,
              const struct SlPlanRoute *route)
{
    struct SlQueuedRequest waiting = {
        .since_us = now_us,
        .objective_us = (uint64_t)route->objective_ms * US_PER_MS,
        .max_wait_us = SlRelayAgent_WaitLimitUs(route),
        .priority = route->priority};
    struct SlAgentFlow *flow =
        SlAgentFlow_Add(agent, now_us, key, SL_AGENT_WAITING, from);

    if (flow == NULL) {
        return false;
    }
    waiting.ticket = (uint64_t)(uintptr_t)flow;
    flow->caller_first = segment->seq;
    flow->opening = malloc(segment->length_bytes);
    if (flow->opening == NULL ||
        !SlAdmissionQueue_Add(&agent->wait_room, now_us, &waiting)) {
        SlAgentFlow_Remove(agent, flow);
        return false;
    }
    memcpy(flow->opening, segment->bytes, segment->length_bytes);
    flow->opening_bytes = segment->length_bytes;
    send_accept(agent, sink, now_us, flow);
    log_admit(agent, sink, now_us, flow, "waits");
    return true;
}

/// A copy of an opening segment goes where the first went.
static bool
is_copy(const struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    bool first = flow != NULL && (flow->state == SL_AGENT_OPENING ||
                                  flow->state == SL_AGENT_WAITING);

    return flow != NULL && flow->state != SL_AGENT_ENDED &&
           (!first || flow->caller_first == segment->seq);
}

static void
take_copy(struct SlRelayAgent *agent, struct SlRelaySink *sink,
          uint64_t now_us, const struct SlAddress *from,
          struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    flow->entry = *from;
    if (flow->state != SL_AGENT_WAITING) {
        SlAgentFlow_Deliver(agent, sink, now_us, flow, segment);
    }
    send_accept(agent, sink, now_us, flow);
}

/// Decides on a flow that is new here.
static enum SlRelayReason
judge(struct SlRelayAgent *agent, uint64_t now_us,
      const struct SlPlanRoute *route, bool last)
{
    enum SlRelayReason reason = SlRelayAgent_ClosedFor(agent, now_us);
    struct SlAdmissionRequest ask = {.no_alternative = last};

    if (reason != SL_RELAY_REASON_NONE) {
        return reason;
    }
    if (!is_own(agent, route)) {
        return SL_RELAY_FOREIGN;
    }
    ask.objective_ms = route->objective_ms;
    ask.timeout_ms = route->timeout_ms;
    return SlAdmission_Decide(&agent->admission, now_us, &ask);
}

void
SlRelayAgent_Offered(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlAddress *from,
                     const struct SlSegment *segment,
                     const struct SlRelayFrame *offer)
{
    struct SlFlowKey key = SlSegment_CallerKey(segment);
    struct SlAgentFlow *flow = SlAgentFlow_Find(agent, &key);
    const struct SlPlanRoute *route =
        agent->plan != NULL ? SlPlan_FindRoute(agent->plan, &key.service)
                            : NULL;
    enum SlRelayReason reason;
    bool may_wait;

    if (is_copy(flow, segment)) {
        take_copy(agent, sink, now_us, from, flow, segment);
        return;
    }
    if (flow != NULL) {
        SlAgentFlow_Remove(agent, flow);
    }
    reason = judge(agent, now_us, route, offer->no_alternative);
    may_wait =
        offer->no_alternative && route != NULL &&
        (reason == SL_RELAY_FULL ||
         (reason == SL_RELAY_COLD && comes_in_time(agent, now_us, route)));
    if (reason == SL_RELAY_REASON_NONE) {
        admit(agent, sink, now_us, from, segment, &key);
    }
    else if (!may_wait ||
             !wait_for_slot(agent, sink, now_us, from, segment, &key, route)) {
        SlRelayAgent_Decline(agent, sink, now_us, from, &key, reason);
    }
}

/// Declines a flow that the wait room has given up, and forgets it.
static void
give_up_waiting(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                uint64_t now_us, struct SlAgentFlow *flow,
                enum SlRelayReason reason)
{
    struct SlFlowKey key = flow->item.key;
    struct SlAddress entry = flow->entry;

    SlAgentFlow_Remove(agent, flow);
    SlRelayAgent_Decline(agent, sink, now_us, &entry, &key, reason);
}

/// Lets the next waiting flow in. False when none waits, or none may be let
/// in now.
static bool
serve_next(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           uint64_t now_us)
{
    struct SlQueuedRequest next;
    struct SlSegment segment;
    struct SlAgentFlow *flow;
    const struct SlPlanRoute *route;
    enum SlRelayReason reason;

    if (!SlAdmissionQueue_PopNext(&agent->wait_room, now_us,
                                  agent->admission.answer_us, &next)) {
        return false;
    }
    flow = (struct SlAgentFlow *)(uintptr_t)next.ticket;
    if (next.on_open_flow) {
        if (SlAdmission_IsSaturated(&agent->admission)) {
            (void)SlAdmissionQueue_Add(&agent->wait_room, now_us, &next);
            return false;
        }
        SlAgentTurn_Take(agent, sink, now_us, flow);
        return true;
    }
    route = agent->plan != NULL
                ? SlPlan_FindRoute(agent->plan, &flow->item.key.service)
                : NULL;
    reason = judge(agent, now_us, route, true);
    if (reason == SL_RELAY_FULL || reason == SL_RELAY_COLD) {
        (void)SlAdmissionQueue_Add(&agent->wait_room, now_us, &next);
        return false;
    }
    if (reason != SL_RELAY_REASON_NONE ||
        agent->options.format->parse(flow->opening, flow->opening_bytes,
                                     &segment) != SL_OK) {
        give_up_waiting(agent, sink, now_us, flow, reason);
        return true;
    }
    begin_flow(agent, sink, now_us, flow, &segment);
    log_admit(agent, sink, now_us, flow, "waited");
    free(flow->opening);
    flow->opening = NULL;
    return true;
}

void
SlRelayAgent_ServeWaiting(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                          uint64_t now_us)
{
    struct SlQueuedRequest late;

    if (SlAdmission_IsCold(&agent->admission, now_us)) {
        SlAdmissionQueue_RestartOverloadTimer(&agent->wait_room, now_us);
    }
    while (SlAdmissionQueue_PopGivenUp(&agent->wait_room, now_us,
                                       agent->admission.answer_us, &late)) {
        struct SlAgentFlow *flow =
            (struct SlAgentFlow *)(uintptr_t)late.ticket;

        if (late.on_open_flow) {
            SlAgentTurn_Take(agent, sink, now_us, flow);
        }
        else {
            give_up_waiting(agent, sink, now_us, flow, SL_RELAY_EXPIRED);
        }
    }
    while (serve_next(agent, sink, now_us)) {
    }
}
