/// Defers requests on open flows while more urgent new flows wait.

#include <stdlib.h>
#include <string.h>

#include "relay_agent_core.h"

enum {
    US_PER_MS = 1000,
    /// Segments kept of one request: as many as a caller sends before it gets
    /// an acknowledgement. Further ones are dropped and retransmitted by the
    /// caller.
    DEFERRED_SEGMENTS_MAX = 16,
};

/// True when the segment begins a request: it contains data that was not sent
/// before, and no request is in progress.
static bool
begins_request(const struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    uint32_t end = segment->seq + segment->payload_bytes;

    return flow->state == SL_AGENT_OPEN && !flow->request_in_progress &&
           flow->transfer == NULL && !flow->counted_opening &&
           segment->payload_bytes > 0 && flow->caller_end_known &&
           (int32_t)(end - flow->caller_end_seq) > 0;
}

static bool
ends_flow(const struct SlSegment *segment)
{
    return (segment->flags & (SL_SEGMENT_CLOSE | SL_SEGMENT_RESET)) != 0;
}

/// Appends a copy of the segment to the deferred request. Returns false when
/// there are too many or memory is short.
static bool
append_segment(struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    struct SlDeferredSegment **link = &flow->deferred;
    struct SlDeferredSegment *deferred;
    uint32_t count = 0;

    while (*link != NULL) {
        if ((*link)->seq == segment->seq) {
            /* A retransmission of a kept segment. */
            return true;
        }
        link = &(*link)->next;
        count++;
    }
    if (count >= DEFERRED_SEGMENTS_MAX) {
        return false;
    }
    deferred = malloc(sizeof(*deferred) + segment->length_bytes);
    if (deferred == NULL) {
        return false;
    }
    deferred->next = NULL;
    deferred->seq = segment->seq;
    deferred->length_bytes = segment->length_bytes;
    memcpy(deferred->bytes, segment->bytes, segment->length_bytes);
    *link = deferred;
    return true;
}

static void
log_deferral(struct SlRelayAgent *agent, struct SlRelaySink *sink,
             uint64_t now_us, const struct SlAgentFlow *flow,
             const char *reason)
{
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_DEFERRED_REQUEST,
                         .flow = &flow->item.key,
                         .reason = reason,
                         .value = (int64_t)(now_us - flow->deferred_us),
                         .limit = agent->admission.in_progress});
}

static bool
defer_request(struct SlRelayAgent *agent, struct SlRelaySink *sink,
              uint64_t now_us, struct SlAgentFlow *flow,
              const struct SlSegment *segment, const struct SlPlanRoute *route)
{
    struct SlQueuedRequest waiting = {
        .ticket = (uint64_t)(uintptr_t)flow,
        .since_us = now_us,
        .objective_us = (uint64_t)route->objective_ms * US_PER_MS,
        .max_wait_us = SlRelayAgent_MaxWaitUs(route),
        .priority = route->priority,
        .on_open_flow = true};

    if (!append_segment(flow, segment)) {
        return false;
    }
    if (!SlAdmissionQueue_Add(&agent->admission_queue, now_us, &waiting)) {
        SlDeferredRequest_Discard(agent, flow);
        return false;
    }
    flow->deferred_us = now_us;
    agent->counters.requests_deferred++;
    log_deferral(agent, sink, now_us, flow, "more_urgent");
    return true;
}

bool
SlDeferredRequest_AddSegment(struct SlRelayAgent *agent,
                             struct SlRelaySink *sink, uint64_t now_us,
                             struct SlAgentFlow *flow,
                             const struct SlSegment *segment)
{
    const struct SlPlanRoute *route;

    if (flow->deferred != NULL) {
        if (ends_flow(segment)) {
            /* The caller has left, so its request need not run. */
            log_deferral(agent, sink, now_us, flow, "caller_left");
            SlDeferredRequest_Discard(agent, flow);
            return false;
        }
        if (segment->payload_bytes == 0) {
            return false;
        }
        agent->counters.segments_dropped += !append_segment(flow, segment);
        return true;
    }
    /* A cold upstream's slow-start rate holds new flows back although slots
       are free; they are no reason to defer a request. */
    if (SlAdmission_HasSlowStartRate(&agent->admission, now_us) ||
        !SlAdmission_IsSaturated(&agent->admission) ||
        agent->admission_queue.count == 0 || ends_flow(segment) ||
        !begins_request(flow, segment)) {
        return false;
    }
    route = agent->plan != NULL
                ? SlPlan_FindRoute(agent->plan, &flow->item.key.service)
                : NULL;
    return route != NULL && route->kind != SL_TRAFFIC_UPLOAD &&
           SlAdmissionQueue_HasMoreUrgent(&agent->admission_queue,
                                          route->priority) &&
           defer_request(agent, sink, now_us, flow, segment, route);
}

void
SlDeferredRequest_Deliver(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                          uint64_t now_us, struct SlAgentFlow *flow)
{
    struct SlDeferredSegment *deferred = flow->deferred;

    log_deferral(agent, sink, now_us, flow, "waited");
    flow->deferred = NULL;
    while (deferred != NULL) {
        struct SlDeferredSegment *next = deferred->next;
        struct SlSegment segment;

        if (agent->options.format->parse(
                deferred->bytes, deferred->length_bytes, &segment) == SL_OK) {
            SlAgentFlow_DeliverSegment(agent, sink, now_us, flow, &segment);
        }
        else {
            agent->counters.inputs_malformed++;
        }
        free(deferred);
        deferred = next;
    }
}

void
SlDeferredRequest_Discard(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    if (flow->deferred == NULL) {
        return;
    }
    SlAdmissionQueue_Remove(&agent->admission_queue,
                            (uint64_t)(uintptr_t)flow);
    while (flow->deferred != NULL) {
        struct SlDeferredSegment *next = flow->deferred->next;

        free(flow->deferred);
        flow->deferred = next;
    }
}
