/// Requests on open flows that wait while more urgent new flows do.

#include <stdlib.h>
#include <string.h>

#include "relay_agent_core.h"

enum {
    US_PER_MS = 1000,
    /// Segments kept of one request: what a caller sends before it has an
    /// acknowledgement. What is over that is dropped, and sent again.
    KEPT_MAX = 16,
};

/// True when the segment begins a request: data that was not sent before,
/// while none is in progress.
static bool
begins_request(const struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    uint32_t end = segment->seq + segment->payload_bytes;

    return flow->state == SL_AGENT_OPEN && !flow->requested &&
           !flow->counted_opening && segment->payload_bytes > 0 &&
           flow->caller_end_known && (int32_t)(end - flow->caller_end) > 0;
}

static bool
ends_flow(const struct SlSegment *segment)
{
    return (segment->flags & (SL_SEGMENT_CLOSE | SL_SEGMENT_RESET)) != 0;
}

/// Keeps a copy behind the others; false without memory or room.
static bool
append(struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    struct SlKeptSegment **place = &flow->kept;
    struct SlKeptSegment *kept;
    uint32_t count = 0;

    while (*place != NULL) {
        if ((*place)->seq == segment->seq) {
            /* Sent again. */
            return true;
        }
        place = &(*place)->next;
        count++;
    }
    if (count >= KEPT_MAX) {
        return false;
    }
    kept = malloc(sizeof(*kept) + segment->length_bytes);
    if (kept == NULL) {
        return false;
    }
    kept->next = NULL;
    kept->seq = segment->seq;
    kept->length_bytes = segment->length_bytes;
    memcpy(kept->bytes, segment->bytes, segment->length_bytes);
    *place = kept;
    return true;
}

static void
log_turn(struct SlRelayAgent *agent, struct SlRelaySink *sink, uint64_t now_us,
         const struct SlAgentFlow *flow, const char *reason)
{
    SlRelayAgent_Event(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_DEFERRED_REQUEST,
                         .flow = &flow->item.key,
                         .reason = reason,
                         .value = (int64_t)(now_us - flow->kept_us),
                         .limit = agent->admission.in_progress});
}

static bool
begin_waiting(struct SlRelayAgent *agent, struct SlRelaySink *sink,
              uint64_t now_us, struct SlAgentFlow *flow,
              const struct SlSegment *segment, const struct SlPlanRoute *route)
{
    struct SlQueuedRequest waiting = {
        .ticket = (uint64_t)(uintptr_t)flow,
        .since_us = now_us,
        .objective_us = (uint64_t)route->objective_ms * US_PER_MS,
        .max_wait_us = SlRelayAgent_WaitLimitUs(route),
        .priority = route->priority,
        .on_open_flow = true};

    if (!append(flow, segment)) {
        return false;
    }
    if (!SlAdmissionQueue_Add(&agent->wait_room, now_us, &waiting)) {
        SlAgentTurn_Forget(agent, flow);
        return false;
    }
    flow->kept_us = now_us;
    agent->counters.requests_deferred++;
    log_turn(agent, sink, now_us, flow, "more_urgent");
    return true;
}

bool
SlAgentTurn_Keep(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlAgentFlow *flow,
                 const struct SlSegment *segment)
{
    const struct SlPlanRoute *route;

    if (flow->kept != NULL) {
        if (ends_flow(segment)) {
            /* The caller has left; its request need not run. */
            log_turn(agent, sink, now_us, flow, "caller_left");
            SlAgentTurn_Forget(agent, flow);
            return false;
        }
        if (segment->payload_bytes == 0) {
            return false;
        }
        agent->counters.dropped += !append(flow, segment);
        return true;
    }
    /* The pace of a cold upstream holds new flows back while slots are free.
     */
    if (SlAdmission_HasSlowStartRate(&agent->admission, now_us) ||
        !SlAdmission_IsSaturated(&agent->admission) ||
        agent->wait_room.count == 0 || ends_flow(segment) ||
        !begins_request(flow, segment)) {
        return false;
    }
    route = agent->plan != NULL
                ? SlPlan_FindRoute(agent->plan, &flow->item.key.service)
                : NULL;
    return route != NULL &&
           SlAdmissionQueue_HasMoreUrgent(&agent->wait_room,
                                          route->priority) &&
           begin_waiting(agent, sink, now_us, flow, segment, route);
}

void
SlAgentTurn_Take(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlAgentFlow *flow)
{
    struct SlKeptSegment *kept = flow->kept;

    log_turn(agent, sink, now_us, flow, "waited");
    flow->kept = NULL;
    while (kept != NULL) {
        struct SlKeptSegment *next = kept->next;
        struct SlSegment segment;

        if (agent->options.format->parse(kept->bytes, kept->length_bytes,
                                         &segment) == SL_OK) {
            SlAgentFlow_Deliver(agent, sink, now_us, flow, &segment);
        }
        else {
            agent->counters.malformed++;
        }
        free(kept);
        kept = next;
    }
}

void
SlAgentTurn_Forget(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    if (flow->kept == NULL) {
        return;
    }
    SlAdmissionQueue_Remove(&agent->wait_room, (uint64_t)(uintptr_t)flow);
    while (flow->kept != NULL) {
        struct SlKeptSegment *next = flow->kept->next;

        free(flow->kept);
        flow->kept = next;
    }
}
