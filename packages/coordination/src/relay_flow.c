/// The flows that the upstream carries.

#include <stdlib.h>

#include "relay_agent_core.h"

enum {
    /// An upstream answers an opening segment within a millisecond; one that
    /// takes so long is not there, and its flow goes to another.
    HANDSHAKE_US = 60 * 1000,
    /// Such an upstream is tried again after this long.
    SILENT_PAUSE_US = 300 * 1000,
    /// An upstream gives back at once what it does not hold.
    TENTATIVE_US = 40 * 1000,
    /// A caller sends its request with the third segment, a way there and back
    /// after the second; one that has not by then chose another upstream, is
    /// gone, or lost a segment, and holds no slot meanwhile.
    OPENING_US = 150 * 1000,
    /// Longer than any caller waits for an answer.
    REQUEST_US = 10 * 1000 * 1000,
    EXPIRE_PER_TICK = 256,
    US_PER_MS = 1000,
    HISTOGRAM_BINS = 16,
};

static struct SlAgentFlow *
flow_of(struct SlRelayItem *item)
{
    return (struct SlAgentFlow *)item;
}

struct SlAgentFlow *
SlAgentFlow_Find(const struct SlRelayAgent *agent, const struct SlFlowKey *key)
{
    return flow_of(SlRelayIndex_Find(&agent->flows, key));
}

struct SlAgentFlow *
SlAgentFlow_Add(struct SlRelayAgent *agent, uint64_t now_us,
                const struct SlFlowKey *key, enum SlAgentFlowState state,
                const struct SlAddress *entry)
{
    struct SlAgentFlow *flow = calloc(1, sizeof(*flow));

    if (flow == NULL) {
        return NULL;
    }
    flow->item.key = *key;
    flow->state = state;
    flow->began_us = now_us;
    flow->entry = *entry;
    if (SlRelayIndex_Add(&agent->flows, now_us, &flow->item) != SL_OK) {
        free(flow);
        return NULL;
    }
    return flow;
}

static void
stop_opening(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    if (flow->counted_opening) {
        flow->counted_opening = false;
        SlAdmission_FlowAbandoned(&agent->admission);
    }
}

/// took_us: 0 when there was no answer.
static void
end_request(struct SlRelayAgent *agent, struct SlAgentFlow *flow,
            uint64_t took_us)
{
    if (flow->requested) {
        flow->requested = false;
        SlAdmission_RequestEnded(&agent->admission, took_us);
    }
}

static void
uncount(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    stop_opening(agent, flow);
    end_request(agent, flow, 0);
    if (flow->counted_flow) {
        flow->counted_flow = false;
        agent->admission.flows--;
    }
}

void
SlAgentFlow_Remove(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    uncount(agent, flow);
    if (flow->state == SL_AGENT_WAITING) {
        SlAdmissionQueue_Remove(&agent->wait_room, (uint64_t)(uintptr_t)flow);
    }
    SlAgentTurn_Forget(agent, flow);
    SlRelayIndex_Remove(&agent->flows, &flow->item);
    free(flow->opening);
    free(flow);
}

void
SlAgentFlow_RemoveAll(struct SlRelayAgent *agent)
{
    while (agent->flows.count > 0) {
        SlAgentFlow_Remove(agent, flow_of(SlRelayIndex_Oldest(&agent->flows)));
    }
}

void
SlAgentFlow_RemoveHeld(struct SlRelayAgent *agent)
{
    struct SlRelayItem *item = SlRelayIndex_Oldest(&agent->flows);

    while (item != NULL) {
        struct SlRelayItem *newer = item->newer;

        if (flow_of(item)->state != SL_AGENT_WAITING) {
            SlAgentFlow_Remove(agent, flow_of(item));
        }
        item = newer;
    }
}

static void
end_flow(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    uncount(agent, flow);
    SlAgentTurn_Forget(agent, flow);
    flow->state = SL_AGENT_ENDED;
    SlRelayIndex_StopWaiting(&agent->flows, &flow->item);
}

static void
note_end(struct SlRelayAgent *agent, struct SlAgentFlow *flow,
         const struct SlSegment *segment, bool from_caller)
{
    if (segment->flags & SL_SEGMENT_CLOSE) {
        flow->caller_closed = flow->caller_closed || from_caller;
        flow->upstream_closed = flow->upstream_closed || !from_caller;
    }
    if ((segment->flags & SL_SEGMENT_RESET) ||
        (flow->caller_closed && flow->upstream_closed)) {
        end_flow(agent, flow);
    }
}

/// Data that the caller has not sent before begins a request, unless one is
/// in progress.
static void
note_request(struct SlRelayAgent *agent, uint64_t now_us,
             struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    uint32_t end = segment->seq + segment->payload_bytes;

    if (segment->payload_bytes == 0 ||
        (flow->caller_end_known && (int32_t)(end - flow->caller_end) <= 0)) {
        return;
    }
    flow->caller_end = end;
    flow->caller_end_known = true;
    if (!flow->requested && flow->state == SL_AGENT_OPEN) {
        flow->requested = true;
        flow->requested_us = now_us;
        SlAdmission_RequestDelivered(&agent->admission, flow->counted_opening);
        flow->counted_opening = false;
    }
}

/// The caller gives up on a request that the upstream has.
static void
note_unanswered(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                uint64_t now_us, const struct SlAgentFlow *flow,
                const struct SlSegment *segment)
{
    if (!flow->requested || flow->caller_closed ||
        !(segment->flags & (SL_SEGMENT_CLOSE | SL_SEGMENT_RESET))) {
        return;
    }
    agent->counters.abandoned_requests++;
    SlRelayAgent_Event(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_UNANSWERED,
                         .flow = &flow->item.key,
                         .reason = "caller_left",
                         .value = (int64_t)(now_us - flow->requested_us),
                         .limit = agent->admission.answer_us});
}

void
SlAgentFlow_Deliver(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, struct SlAgentFlow *flow,
                    const struct SlSegment *segment)
{
    SlRelayIndex_Use(&agent->flows, now_us, &flow->item);
    agent->counters.delivered++;
    sink->type->send_to_upstream(sink, segment->bytes, segment->length_bytes);
    note_request(agent, now_us, flow, segment);
    note_unanswered(agent, sink, now_us, flow, segment);
    if (flow->state != SL_AGENT_ENDED) {
        note_end(agent, flow, segment, true);
    }
}

static void
answer_absent(struct SlRelayAgent *agent, struct SlRelaySink *sink,
              uint64_t now_us, const struct SlAddress *to,
              const struct SlSegment *segment, const char *reason)
{
    struct SlFlowKey key = SlSegment_CallerKey(segment);
    struct SlRelayFrame frame = {.kind = SL_RELAY_ABSENT,
                                 .sender = agent->node_id,
                                 .segment = segment->bytes,
                                 .segment_bytes = segment->length_bytes};

    agent->counters.absent++;
    sink->type->send_frame(sink, to, &frame);
    SlRelayAgent_Event(agent, sink, now_us,
                       (struct SlEvent){.number = SL_EVENT_RELAY_ABSENT,
                                        .flow = &key,
                                        .reason = reason});
}

/// True when the caller acknowledges what this upstream sent, as far as that
/// is known: two upstreams may have answered its opening segment.
static bool
is_chosen(const struct SlAgentFlow *flow, uint32_t ack)
{
    if (flow->state == SL_AGENT_WAITING) {
        return false;
    }
    if (!flow->answered) {
        return flow->state != SL_AGENT_OPENING;
    }
    return flow->state == SL_AGENT_OPENING
               ? ack == flow->upstream_first + 1
               : (int32_t)(ack - flow->upstream_first) > 0;
}

/// A flow that this process does not know, but its upstream may.
static void
try_unknown(struct SlRelayAgent *agent, struct SlRelaySink *sink,
            uint64_t now_us, const struct SlAddress *from,
            const struct SlFlowKey *key, const struct SlSegment *segment)
{
    struct SlAgentFlow *flow =
        SlAgentFlow_Add(agent, now_us, key, SL_AGENT_TENTATIVE, from);

    if (flow == NULL) {
        agent->counters.dropped++;
        return;
    }
    SlRelayIndex_Wait(&agent->flows, &flow->item);
    SlAgentFlow_Deliver(agent, sink, now_us, flow, segment);
}

/// May the upstream hold flows to that address? Without a plan nothing is
/// certain.
static bool
may_serve(const struct SlRelayAgent *agent, const struct SlFlowKey *key)
{
    const struct SlPlanRoute *route;

    if (agent->plan == NULL) {
        return true;
    }
    route = SlPlan_FindRoute(agent->plan, &key->service);
    return route != NULL && agent->service != SL_PLAN_NO_SERVICE &&
           SlPlan_RouteAllowsService(route, agent->service);
}

void
SlAgentFlow_Carried(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, const struct SlAddress *from,
                    const struct SlSegment *segment)
{
    struct SlFlowKey key = SlSegment_CallerKey(segment);
    struct SlAgentFlow *flow = SlAgentFlow_Find(agent, &key);

    if (flow == NULL) {
        if (agent->plan == NULL) {
            /* It may be another service's; the caller sends it again. */
            agent->counters.dropped++;
        }
        else if (SlRelayAgent_MayHold(agent, now_us) &&
                 may_serve(agent, &key)) {
            try_unknown(agent, sink, now_us, from, &key, segment);
        }
        else {
            answer_absent(agent, sink, now_us, from, segment, "unknown");
        }
        return;
    }
    if (flow->state == SL_AGENT_WAITING ||
        ((segment->flags & SL_SEGMENT_ACK) && flow->state != SL_AGENT_ENDED &&
         !is_chosen(flow, segment->ack))) {
        answer_absent(agent, sink, now_us, from, segment, "not_chosen");
        return;
    }
    flow->entry = *from;
    if (flow->state == SL_AGENT_OPENING && (segment->flags & SL_SEGMENT_ACK)) {
        flow->state = SL_AGENT_OPEN;
    }
    if (!SlAgentTurn_Keep(agent, sink, now_us, flow, segment)) {
        SlAgentFlow_Deliver(agent, sink, now_us, flow, segment);
    }
}

static void
confirm(struct SlRelayAgent *agent, struct SlRelaySink *sink, uint64_t now_us,
        struct SlAgentFlow *flow, const char *reason)
{
    struct SlRelayFrame frame = {.kind = SL_RELAY_HOLDS,
                                 .sender = agent->node_id,
                                 .certain = true,
                                 .flow = flow->item.key};

    flow->state = SL_AGENT_OPEN;
    flow->counted_flow = true;
    agent->admission.flows++;
    agent->counters.adopted++;
    SlRelayIndex_StopWaiting(&agent->flows, &flow->item);
    sink->type->send_frame(sink, &flow->entry, &frame);
    SlRelayAgent_Event(agent, sink, now_us,
                       (struct SlEvent){.number = SL_EVENT_ADOPT,
                                        .flow = &flow->item.key,
                                        .reason = reason});
}

static void
note_answer(struct SlRelayAgent *agent, uint64_t now_us,
            struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    uint64_t took_us = now_us - flow->requested_us;
    uint32_t bin = 0;

    if (!flow->requested || segment->payload_bytes == 0) {
        return;
    }
    while (bin + 1 < HISTOGRAM_BINS && took_us >= (uint64_t)US_PER_MS
                                                      << (bin + 1)) {
        bin++;
    }
    agent->counters.answer_histogram[bin]++;
    agent->counters.answered++;
    end_request(agent, flow, took_us == 0 ? 1 : took_us);
}

void
SlAgentFlow_Answered(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlSegment *segment)
{
    struct SlFlowKey key = SlSegment_UpstreamKey(segment);
    struct SlAgentFlow *flow = SlAgentFlow_Find(agent, &key);
    static const struct SlAddress NO_ENTRY;

    sink->type->send_to_caller(sink, &key.caller, segment->bytes,
                               segment->length_bytes);
    if (flow == NULL) {
        flow = SlAgentFlow_Add(agent, now_us, &key, SL_AGENT_OPEN, &NO_ENTRY);
        if (flow == NULL) {
            return;
        }
        flow->counted_flow = true;
        agent->admission.flows++;
        agent->counters.adopted++;
    }
    SlRelayIndex_Use(&agent->flows, now_us, &flow->item);
    if ((segment->flags & SL_SEGMENT_OPEN) && !flow->answered) {
        flow->answered = true;
        flow->upstream_first = segment->seq;
    }
    if (flow->state == SL_AGENT_TENTATIVE &&
        !(segment->flags & SL_SEGMENT_RESET)) {
        confirm(agent, sink, now_us, flow, "upstream_sends");
    }
    note_answer(agent, now_us, flow, segment);
    if (flow->state != SL_AGENT_ENDED) {
        note_end(agent, flow, segment, false);
    }
    SlRelayAgent_ServeWaiting(agent, sink, now_us);
}

void
SlAgentFlow_Returned(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlSegment *segment)
{
    struct SlFlowKey key = SlSegment_CallerKey(segment);
    struct SlAgentFlow *flow = SlAgentFlow_Find(agent, &key);
    struct SlAddress entry;

    agent->counters.returned++;
    if (flow == NULL) {
        agent->counters.dropped++;
        return;
    }
    entry = flow->entry;
    if ((segment->flags & SL_SEGMENT_OPEN) &&
        flow->state != SL_AGENT_OPENING) {
        /* A copy that the upstream has no use for; the flow is open. */
        return;
    }
    SlAgentFlow_Remove(agent, flow);
    if (segment->flags & SL_SEGMENT_OPEN) {
        SlAdmission_FlowReturned(&agent->admission, now_us);
        SlRelayAgent_Decline(agent, sink, now_us, &entry, &key,
                             SL_RELAY_RETURNED);
        return;
    }
    answer_absent(agent, sink, now_us, &entry, segment, "given_back");
}

bool
SlAgentFlow_MayHold(const struct SlRelayAgent *agent, uint64_t now_us,
                    const struct SlFlowKey *key, uint32_t ack, bool *certain)
{
    const struct SlAgentFlow *flow = SlAgentFlow_Find(agent, key);

    *certain = false;
    if (flow == NULL) {
        return SlRelayAgent_MayHold(agent, now_us) && may_serve(agent, key);
    }
    if (flow->state == SL_AGENT_TENTATIVE) {
        return true;
    }
    *certain = flow->state == SL_AGENT_ENDED || is_chosen(flow, ack);
    return *certain;
}

void
SlAgentFlow_Asked(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                  uint64_t now_us, const struct SlAddress *from,
                  const struct SlRelayFrame *ask)
{
    struct SlRelayFrame frame = {
        .kind = SL_RELAY_ABSENT, .sender = agent->node_id, .flow = ask->flow};

    if (SlAgentFlow_MayHold(agent, now_us, &ask->flow, ask->ack,
                            &frame.certain)) {
        frame.kind = SL_RELAY_HOLDS;
    }
    sink->type->send_frame(sink, from, &frame);
}

void
SlAgentFlow_AskedMany(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                      uint64_t now_us, const struct SlAddress *from,
                      const struct SlRelayFrame *ask)
{
    struct SlRelayQueryList asked;
    struct SlRelayQueryList held = {.count = 0};
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_HOLDS_MANY,
                                 .sender = agent->node_id,
                                 .segment = encoded};

    if (SlRelayQueryList_Decode(ask->segment, ask->segment_bytes, &asked) !=
        SL_OK) {
        agent->counters.malformed++;
        return;
    }
    held.query_id = asked.query_id;
    for (uint32_t i = 0; i < asked.count; i++) {
        struct SlRelayQueryItem *item = &asked.items[i];

        if (SlAgentFlow_MayHold(agent, now_us, &item->flow, item->ack,
                                &item->certain)) {
            held.items[held.count++] = *item;
        }
    }
    frame.segment_bytes = SlRelayQueryList_Encode(&held, encoded);
    sink->type->send_frame(sink, from, &frame);
}

/// The upstream has left an opening segment unanswered.
static void
pass_silent(struct SlRelayAgent *agent, struct SlRelaySink *sink,
            uint64_t now_us, struct SlAgentFlow *flow)
{
    struct SlFlowKey key = flow->item.key;
    struct SlAddress entry = flow->entry;

    agent->silent_until_us = now_us + SILENT_PAUSE_US;
    SlAgentFlow_Remove(agent, flow);
    SlRelayAgent_Decline(agent, sink, now_us, &entry, &key, SL_RELAY_SILENT);
}

static void
tick_flow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
          uint64_t now_us, struct SlAgentFlow *flow)
{
    uint64_t age_us = now_us - flow->began_us;

    if (flow->state == SL_AGENT_TENTATIVE) {
        if (age_us > TENTATIVE_US) {
            confirm(agent, sink, now_us, flow, "not_given_back");
        }
    }
    else if (flow->state == SL_AGENT_OPENING && !flow->answered) {
        if (age_us > HANDSHAKE_US) {
            pass_silent(agent, sink, now_us, flow);
        }
    }
    else if (age_us > OPENING_US) {
        stop_opening(agent, flow);
        SlRelayIndex_StopWaiting(&agent->flows, &flow->item);
    }
}

static void
expire(struct SlRelayAgent *agent, uint64_t now_us)
{
    uint64_t idle_us = agent->plan != NULL
                           ? (uint64_t)SlPlan_IdleMs(agent->plan) * US_PER_MS
                           : 0;

    for (uint32_t i = 0; idle_us > 0 && i < EXPIRE_PER_TICK; i++) {
        struct SlRelayItem *item = SlRelayIndex_Oldest(&agent->flows);

        if (item == NULL || now_us - item->used_us <= idle_us) {
            return;
        }
        SlAgentFlow_Remove(agent, flow_of(item));
    }
}

void
SlAgentFlow_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us)
{
    struct SlRelayItem *next;

    for (struct SlRelayItem *item = agent->flows.waiting; item != NULL;
         item = next) {
        next = item->waiting_next;
        tick_flow(agent, sink, now_us, flow_of(item));
    }
    SlRelayAgent_ServeWaiting(agent, sink, now_us);
    expire(agent, now_us);
}
