/// Answers offers and decides which new flows the upstream gets. Every rule
/// about new flows is enforced here, whatever configuration an entry has.

#include <stdlib.h>
#include <string.h>

#include "relay_agent_core.h"

enum {
    /// Upstreams report their status about every second. After three times
    /// that, and a margin, without a status or segment the upstream is assumed
    /// to be gone.
    UPSTREAM_TIMEOUT_US = 3600 * 1000,
    US_PER_MS = 1000,
    /// A caller abandons its opening segment 1.4 s after it first sent it. The
    /// remaining time is for the answer or for an offer to another agent.
    WAIT_MAX_US = 900 * 1000,
    /// Part of its objective that a flow may be expected to wait for a slot
    /// while another upstream is left.
    SHORT_WAIT_PART = 8,
};

enum SlRelayReason
SlRelayAgent_DeclineReason(const struct SlRelayAgent *agent, uint64_t now_us)
{
    bool uses_announced = agent->announced_slots > 0 &&
                          SlRelayAgent_UsesAnnouncedState(agent, now_us);

    if (agent->plan == NULL || agent->stopping || agent->held_by_operator) {
        return SL_RELAY_LEAVING;
    }
    if (agent->upstream_known ? agent->upstream.draining : !uses_announced) {
        return SL_RELAY_LEAVING;
    }
    if (agent->zone_out) {
        return SL_RELAY_ZONE_OUT;
    }
    if (now_us < agent->upstream_silent_until_us ||
        now_us - agent->upstream_last_seen_us > UPSTREAM_TIMEOUT_US) {
        return SL_RELAY_SILENT;
    }
    return SL_RELAY_REASON_NONE;
}

/// True when the upstream serves the route by the plan in force here. An entry
/// with a newer plan repeats the offer after this process has received that
/// plan.
static bool
serves_route(const struct SlRelayAgent *agent, const struct SlPlanRoute *route)
{
    return route != NULL && agent->service != SL_PLAN_NO_SERVICE &&
           SlPlan_RouteAllowsService(route, agent->service);
}

void
SlRelayAgent_DeclineFlow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlAddress *to,
                         const struct SlFlowKey *key,
                         enum SlRelayReason reason)
{
    struct SlRelayFrame frame = {.kind = SL_RELAY_DECLINE,
                                 .reason = reason,
                                 .sender = agent->node_id,
                                 .flow = *key};

    agent->counters.flows_declined++;
    SlRelayAgent_SendAnswer(agent, sink, now_us, to, &frame);
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
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
                                 .flow = flow->item.key};

    SlRelayAgent_SendAnswer(agent, sink, now_us, &flow->entry, &frame);
}

static void
log_admission(struct SlRelayAgent *agent, struct SlRelaySink *sink,
              uint64_t now_us, const struct SlAgentFlow *flow,
              const char *reason)
{
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_ADMIT,
                         .flow = &flow->item.key,
                         .reason = reason,
                         .value = agent->admission.in_progress +
                                  agent->admission.opening,
                         .limit = agent->admission.slots});
}

/// Delivers the opening segment of an admitted flow.
static void
begin_flow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           uint64_t now_us, struct SlAgentFlow *flow,
           const struct SlSegment *segment)
{
    flow->state = SL_AGENT_OPENING;
    flow->began_us = now_us;
    flow->counted_transfer = SlAgentTransfer_IsUpload(agent, flow);
    flow->counted_opening = !flow->counted_transfer;
    flow->counted_flow = true;
    SlAgentWork_FlowAdmitted(agent, now_us, flow);
    SlRelayIndex_AddPending(&agent->flows, &flow->item);
    agent->counters.flows_admitted++;
    SlAgentFlow_DeliverSegment(agent, sink, now_us, flow, segment);
}

static void
admit_flow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           uint64_t now_us, const struct SlAddress *from,
           const struct SlSegment *segment, const struct SlFlowKey *key,
           bool is_upload)
{
    struct SlAgentFlow *flow =
        SlAgentFlow_Add(agent, now_us, key, SL_AGENT_OPENING, from);

    if (flow == NULL) {
        if (is_upload) {
            SlAdmission_TransferEnded(&agent->admission);
        }
        else {
            SlAdmission_FlowAbandoned(&agent->admission);
        }
        agent->admission.flows--;
        SlRelayAgent_DeclineFlow(agent, sink, now_us, from, key,
                                 SL_RELAY_FULL);
        return;
    }
    flow->caller_initial_seq = segment->seq;
    begin_flow(agent, sink, now_us, flow, segment);
    send_accept(agent, sink, now_us, flow);
    log_admission(agent, sink, now_us, flow,
                  SlAdmission_HasSlowStartRate(&agent->admission, now_us)
                      ? "cold_share"
                      : "room");
}

uint64_t
SlRelayAgent_MaxWaitUs(const struct SlPlanRoute *route)
{
    uint64_t limit_us = (uint64_t)route->timeout_ms * US_PER_MS / 2;

    return limit_us < WAIT_MAX_US ? limit_us : WAIT_MAX_US;
}

/// False when the slow-start rate of a cold upstream admits the flow only
/// after its maximum wait.
static bool
fits_wait_limit(const struct SlRelayAgent *agent, uint64_t now_us,
                const struct SlPlanRoute *route)
{
    return SlAdmission_SlowStartWaitUs(&agent->admission, now_us,
                                       agent->admission_queue.count) <
           SlRelayAgent_MaxWaitUs(route);
}

/// Puts a flow into the admission queue until a slot is free. Returns false
/// when the queue is full or memory is short.
static bool
queue_flow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           uint64_t now_us, const struct SlAddress *from,
           const struct SlSegment *segment, const struct SlFlowKey *key,
           const struct SlPlanRoute *route)
{
    struct SlQueuedRequest waiting = {
        .since_us = now_us,
        .objective_us = (uint64_t)route->objective_ms * US_PER_MS,
        .max_wait_us = SlRelayAgent_MaxWaitUs(route),
        .priority = route->priority};
    struct SlAgentFlow *flow =
        SlAgentFlow_Add(agent, now_us, key, SL_AGENT_WAITING, from);

    if (flow == NULL) {
        return false;
    }
    waiting.ticket = (uint64_t)(uintptr_t)flow;
    flow->caller_initial_seq = segment->seq;
    flow->opening = malloc(segment->length_bytes);
    if (flow->opening == NULL ||
        !SlAdmissionQueue_Add(&agent->admission_queue, now_us, &waiting)) {
        SlAgentFlow_Remove(agent, now_us, flow);
        return false;
    }
    memcpy(flow->opening, segment->bytes, segment->length_bytes);
    flow->opening_bytes = segment->length_bytes;
    send_accept(agent, sink, now_us, flow);
    log_admission(agent, sink, now_us, flow, "waits");
    return true;
}

/// True when the segment repeats the opening segment of a known flow; it is
/// then delivered to where the first one went.
static bool
is_repeated_opening(const struct SlAgentFlow *flow,
                    const struct SlSegment *segment)
{
    bool is_opening = flow != NULL && (flow->state == SL_AGENT_OPENING ||
                                       flow->state == SL_AGENT_WAITING);

    return flow != NULL && flow->state != SL_AGENT_ENDED &&
           (!is_opening || flow->caller_initial_seq == segment->seq);
}

static void
handle_repeated_opening(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us, const struct SlAddress *from,
                        struct SlAgentFlow *flow,
                        const struct SlSegment *segment)
{
    flow->entry = *from;
    if (flow->state == SL_AGENT_OPEN &&
        flow->caller_initial_seq != segment->seq) {
        SlLostFlows_RecordReopening(flow, now_us, segment);
    }
    if (flow->state != SL_AGENT_WAITING) {
        SlAgentFlow_DeliverSegment(agent, sink, now_us, flow, segment);
    }
    send_accept(agent, sink, now_us, flow);
}

/// Returns the expected wait for which a flow is admitted although another
/// upstream may have a free slot: that for one request, as long as it is a
/// small part of the time in which the answer is due.
static uint64_t
short_wait_us(const struct SlRelayAgent *agent,
              const struct SlPlanRoute *route)
{
    uint64_t part_us =
        (uint64_t)route->objective_ms * US_PER_MS / SHORT_WAIT_PART;

    return part_us < agent->work.mean_us ? part_us : agent->work.mean_us;
}

static void
record_wait_decision(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlAdmissionRequest *request,
                     enum SlRelayReason reason)
{
    bool admitted = reason == SL_RELAY_REASON_NONE;

    agent->counters.flows_admitted_to_wait += admitted;
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_EXPECTED_WAIT,
                         .reason = admitted ? "short" : "long",
                         .value = (int64_t)request->wait_us,
                         .limit = (int64_t)request->wait_limit_us});
}

/// Decides on a flow that is not in the table, or that waits (offer is NULL).
/// Returns SL_RELAY_REASON_NONE to admit it.
static enum SlRelayReason
decide_admission(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us, const struct SlPlanRoute *route,
                 const struct SlRelayFrame *offer)
{
    bool last = offer == NULL || offer->no_alternative;
    enum SlRelayReason reason = SlRelayAgent_DeclineReason(agent, now_us);
    struct SlAdmissionRequest request = {.no_alternative = last};
    bool had_slot;

    if (reason != SL_RELAY_REASON_NONE) {
        return reason;
    }
    if (!serves_route(agent, route)) {
        return SL_RELAY_FOREIGN;
    }
    request.objective_ms = route->objective_ms;
    request.timeout_ms = route->timeout_ms;
    request.is_upload = route->kind == SL_TRAFFIC_UPLOAD;
    if (!last && offer->uses_cost) {
        request.wait_us = SlAgentWork_ExpectedWaitUs(agent, now_us);
        request.wait_limit_us = short_wait_us(agent, route);
    }
    had_slot = SlAdmission_HasFreeSlot(&agent->admission);
    reason = SlAdmission_DecideFlow(&agent->admission, now_us, &request);
    if (request.wait_limit_us != 0 && !request.is_upload && !had_slot) {
        record_wait_decision(agent, sink, now_us, &request, reason);
    }
    return reason;
}

void
SlRelayAgent_HandleOffer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlAddress *from,
                         const struct SlSegment *segment,
                         const struct SlRelayFrame *offer)
{
    struct SlFlowKey key = SlSegment_FlowKeyFromCaller(segment);
    struct SlAgentFlow *flow = SlAgentFlow_Find(agent, &key);
    const struct SlPlanRoute *route =
        agent->plan != NULL ? SlPlan_FindRoute(agent->plan, &key.service)
                            : NULL;
    enum SlRelayReason reason;
    bool may_wait;

    if (is_repeated_opening(flow, segment)) {
        handle_repeated_opening(agent, sink, now_us, from, flow, segment);
        return;
    }
    if (flow != NULL) {
        SlAgentFlow_Remove(agent, now_us, flow);
    }
    reason = decide_admission(agent, sink, now_us, route, offer);
    may_wait =
        offer->no_alternative && route != NULL &&
        (reason == SL_RELAY_FULL ||
         (reason == SL_RELAY_COLD && fits_wait_limit(agent, now_us, route)));
    if (reason == SL_RELAY_REASON_NONE) {
        admit_flow(agent, sink, now_us, from, segment, &key,
                   route != NULL && route->kind == SL_TRAFFIC_UPLOAD);
    }
    else if (!may_wait ||
             !queue_flow(agent, sink, now_us, from, segment, &key, route)) {
        SlRelayAgent_DeclineFlow(agent, sink, now_us, from, &key, reason);
    }
}

/// Declines and removes a waiting flow that cannot be answered in time or may
/// no longer be admitted.
static void
decline_waiting_flow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, struct SlAgentFlow *flow,
                     enum SlRelayReason reason)
{
    struct SlFlowKey key = flow->item.key;
    struct SlAddress entry = flow->entry;

    SlAgentFlow_Remove(agent, now_us, flow);
    SlRelayAgent_DeclineFlow(agent, sink, now_us, &entry, &key, reason);
}

/// Admits the next waiting flow, or delivers the next deferred request.
/// Returns false when nothing waits or nothing may be served now.
static bool
serve_next_waiting(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us)
{
    struct SlQueuedRequest next;
    struct SlSegment segment;
    struct SlAgentFlow *flow;
    const struct SlPlanRoute *route;
    enum SlRelayReason reason;

    if (!SlAdmissionQueue_PopNext(&agent->admission_queue, now_us,
                                  agent->admission.answer_us, &next)) {
        return false;
    }
    flow = (struct SlAgentFlow *)(uintptr_t)next.ticket;
    if (next.on_open_flow) {
        if (SlAdmission_IsSaturated(&agent->admission)) {
            (void)SlAdmissionQueue_Add(&agent->admission_queue, now_us, &next);
            return false;
        }
        SlDeferredRequest_Deliver(agent, sink, now_us, flow);
        return true;
    }
    if (agent->options.format->parse(flow->opening, flow->opening_bytes,
                                     &segment) != SL_OK) {
        agent->counters.inputs_malformed++;
        decline_waiting_flow(agent, sink, now_us, flow, SL_RELAY_EXPIRED);
        return true;
    }
    route = agent->plan != NULL
                ? SlPlan_FindRoute(agent->plan, &flow->item.key.service)
                : NULL;
    reason = decide_admission(agent, sink, now_us, route, NULL);
    if (reason == SL_RELAY_FULL || reason == SL_RELAY_COLD) {
        (void)SlAdmissionQueue_Add(&agent->admission_queue, now_us, &next);
        return false;
    }
    if (reason != SL_RELAY_REASON_NONE) {
        decline_waiting_flow(agent, sink, now_us, flow, reason);
        return true;
    }
    begin_flow(agent, sink, now_us, flow, &segment);
    log_admission(agent, sink, now_us, flow, "waited");
    free(flow->opening);
    flow->opening = NULL;
    return true;
}

void
SlRelayAgent_ServeQueue(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us)
{
    struct SlQueuedRequest late;

    if (SlAdmission_IsUpstreamCold(&agent->admission, now_us)) {
        SlAdmissionQueue_RestartOverloadTimer(&agent->admission_queue, now_us);
    }
    while (SlAdmissionQueue_PopGivenUp(&agent->admission_queue, now_us,
                                       agent->admission.answer_us, &late)) {
        struct SlAgentFlow *flow =
            (struct SlAgentFlow *)(uintptr_t)late.ticket;

        if (late.on_open_flow) {
            SlDeferredRequest_Deliver(agent, sink, now_us, flow);
        }
        else {
            decline_waiting_flow(agent, sink, now_us, flow, SL_RELAY_EXPIRED);
        }
    }
    while (serve_next_waiting(agent, sink, now_us)) {
    }
}
