/// Tracks the flows that the upstream beside the agent holds.

#include <stdlib.h>

#include "relay_agent_core.h"

enum {
    /// An upstream answers an opening segment within 1 ms. One that takes
    /// longer than this is assumed to be down, and the flow is offered to
    /// another.
    HANDSHAKE_TIMEOUT_US = 60 * 1000,
    /// Time after which such an upstream is offered flows again.
    SILENT_RETRY_US = 300 * 1000,
    /// Time to wait for the upstream to return a segment; an upstream returns
    /// the segments of flows that it does not hold at once.
    RETURN_TIMEOUT_US = 40 * 1000,
    /// A caller sends its request with the third segment, one round trip after
    /// the second. A caller that has not sent it by then has chosen another
    /// upstream, has left or lost a segment, and its flow no longer occupies a
    /// slot.
    FIRST_REQUEST_TIMEOUT_US = 150 * 1000,
    /// Longer than any caller waits for the answer to a request. No code uses
    /// this value at present.
    REQUEST_US = 10 * 1000 * 1000,
    EXPIRY_CHECKS_PER_TICK = 256,
    US_PER_MS = 1000,
    HISTOGRAM_BINS = 16,
};

static struct SlAgentFlow *
flow_from_item(struct SlRelayItem *item)
{
    return (struct SlAgentFlow *)item;
}

struct SlAgentFlow *
SlAgentFlow_Find(const struct SlRelayAgent *agent, const struct SlFlowKey *key)
{
    return flow_from_item(SlRelayIndex_Find(&agent->flows, key));
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
release_opening_slot(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    if (flow->counted_opening) {
        flow->counted_opening = false;
        SlAdmission_FlowAbandoned(&agent->admission);
    }
    if (flow->transfer == NULL) {
        SlAgentTransfer_Destroy(agent, flow);
    }
}

/// took_us: time from the request to its answer in microseconds; 0 when there
/// was no answer.
static void
end_request(struct SlRelayAgent *agent, struct SlAgentFlow *flow,
            uint64_t took_us)
{
    if (flow->request_in_progress) {
        flow->request_in_progress = false;
        SlAdmission_RequestEnded(&agent->admission, took_us);
    }
}

static void
remove_from_counts(struct SlRelayAgent *agent, uint64_t now_us,
                   struct SlAgentFlow *flow)
{
    release_opening_slot(agent, flow);
    SlAgentTransfer_Destroy(agent, flow);
    SlAgentWork_FlowEnded(agent, now_us, flow);
    end_request(agent, flow, 0);
    if (flow->counted_flow) {
        flow->counted_flow = false;
        agent->admission.flows--;
    }
}

void
SlAgentFlow_Remove(struct SlRelayAgent *agent, uint64_t now_us,
                   struct SlAgentFlow *flow)
{
    remove_from_counts(agent, now_us, flow);
    if (flow->state != SL_AGENT_ENDED) {
        SlFlowRecorder_FlowEnded(agent, flow);
    }
    if (flow->state == SL_AGENT_WAITING) {
        SlAdmissionQueue_Remove(&agent->admission_queue,
                                (uint64_t)(uintptr_t)flow);
    }
    SlDeferredRequest_Discard(agent, flow);
    SlRelayIndex_Remove(&agent->flows, &flow->item);
    free(flow->opening);
    free(flow);
}

void
SlAgentFlow_RemoveAll(struct SlRelayAgent *agent, uint64_t now_us)
{
    while (agent->flows.count > 0) {
        SlAgentFlow_Remove(
            agent, now_us,
            flow_from_item(SlRelayIndex_OldestItem(&agent->flows)));
    }
}

/// Keeps a flow of which it is no longer known whether the upstream holds it.
static void
make_tentative(struct SlRelayAgent *agent, uint64_t now_us,
               struct SlAgentFlow *flow)
{
    remove_from_counts(agent, now_us, flow);
    SlDeferredRequest_Discard(agent, flow);
    SlRelayIndex_RemovePending(&agent->flows, &flow->item);
    flow->state = SL_AGENT_TENTATIVE;
}

/// True when the upstream may hold the flow since from_us. A flow that another
/// process admitted was open before this one began.
static bool
may_be_held_since(const struct SlAgentFlow *flow, uint64_t from_us)
{
    if (flow->state == SL_AGENT_ENDED) {
        return false;
    }
    if (!flow->opening_answered) {
        return from_us == 0 && flow->state != SL_AGENT_OPENING;
    }
    return flow->began_us >= from_us;
}

void
SlAgentFlow_RemoveHeld(struct SlRelayAgent *agent, uint64_t now_us,
                       uint64_t from_us)
{
    struct SlRelayItem *item = SlRelayIndex_OldestItem(&agent->flows);

    while (item != NULL) {
        struct SlAgentFlow *flow = flow_from_item(item);

        item = item->newer;
        if (flow->state == SL_AGENT_WAITING) {
            continue;
        }
        if (may_be_held_since(flow, from_us)) {
            make_tentative(agent, now_us, flow);
        }
        else {
            SlAgentFlow_Remove(agent, now_us, flow);
        }
    }
}

static void
end_flow(struct SlRelayAgent *agent, uint64_t now_us, struct SlAgentFlow *flow)
{
    remove_from_counts(agent, now_us, flow);
    SlDeferredRequest_Discard(agent, flow);
    SlFlowRecorder_FlowEnded(agent, flow);
    flow->state = SL_AGENT_ENDED;
    SlRelayIndex_RemovePending(&agent->flows, &flow->item);
}

static void
record_flow_end(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                uint64_t now_us, struct SlAgentFlow *flow,
                const struct SlSegment *segment, bool from_caller)
{
    if (segment->flags & SL_SEGMENT_CLOSE) {
        if (from_caller) {
            SlAgentTransfer_RecordClose(agent, sink, now_us, flow);
        }
        flow->caller_closed = flow->caller_closed || from_caller;
        flow->upstream_closed = flow->upstream_closed || !from_caller;
    }
    if ((segment->flags & SL_SEGMENT_RESET) ||
        (flow->caller_closed && flow->upstream_closed)) {
        end_flow(agent, now_us, flow);
    }
}

/// True when the segment's data belongs to an upload.
static bool
is_upload_data(const struct SlRelayAgent *agent,
               const struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    return segment->payload_bytes > 0 && flow->state == SL_AGENT_OPEN &&
           (flow->transfer != NULL || (!flow->request_in_progress &&
                                       SlAgentTransfer_IsUpload(agent, flow)));
}

/// Records the start of a request: data that the caller has not sent before,
/// while no request is in progress.
static void
record_request(struct SlRelayAgent *agent, struct SlRelaySink *sink,
               uint64_t now_us, struct SlAgentFlow *flow,
               const struct SlSegment *segment)
{
    uint32_t end = segment->seq + segment->payload_bytes;

    if (is_upload_data(agent, flow, segment) &&
        SlAgentTransfer_RecordSegment(agent, sink, now_us, flow, segment)) {
        return;
    }
    if (segment->payload_bytes == 0 ||
        (flow->caller_end_known &&
         (int32_t)(end - flow->caller_end_seq) <= 0)) {
        return;
    }
    flow->caller_end_seq = end;
    flow->caller_end_known = true;
    if (!flow->request_in_progress && flow->state == SL_AGENT_OPEN) {
        flow->request_in_progress = true;
        flow->request_began_us = now_us;
        SlLostFlows_RecordRequest(agent, flow);
        SlAdmission_RequestDelivered(&agent->admission, flow->counted_opening);
        flow->counted_opening = false;
        SlAgentWork_RequestBegan(agent, now_us, flow);
    }
}

/// Records that the caller abandoned a request that the upstream has.
static void
record_abandoned_request(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlAgentFlow *flow,
                         const struct SlSegment *segment)
{
    if (!flow->request_in_progress || flow->caller_closed ||
        !(segment->flags & (SL_SEGMENT_CLOSE | SL_SEGMENT_RESET))) {
        return;
    }
    agent->counters.abandoned_requests++;
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_UNANSWERED,
                         .flow = &flow->item.key,
                         .reason = "caller_left",
                         .value = (int64_t)(now_us - flow->request_began_us),
                         .limit = agent->admission.answer_us});
}

void
SlAgentFlow_DeliverSegment(struct SlRelayAgent *agent,
                           struct SlRelaySink *sink, uint64_t now_us,
                           struct SlAgentFlow *flow,
                           const struct SlSegment *segment)
{
    SlRelayIndex_MarkUsed(&agent->flows, now_us, &flow->item);
    agent->counters.segments_delivered++;
    sink->type->send_to_upstream(sink, segment->bytes, segment->length_bytes);
    SlLostFlows_RecordCallerSegment(flow, segment);
    record_request(agent, sink, now_us, flow, segment);
    record_abandoned_request(agent, sink, now_us, flow, segment);
    if (flow->state != SL_AGENT_ENDED) {
        record_flow_end(agent, sink, now_us, flow, segment, true);
    }
}

static void
send_absent_frame(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                  uint64_t now_us, const struct SlAddress *to,
                  const struct SlSegment *segment, const char *reason)
{
    struct SlFlowKey key = SlSegment_FlowKeyFromCaller(segment);
    struct SlRelayFrame frame = {.kind = SL_RELAY_ABSENT,
                                 .sender = agent->node_id,
                                 .segment = segment->bytes,
                                 .segment_bytes = segment->length_bytes};

    agent->counters.segments_without_flow++;
    sink->type->send_frame(sink, to, &frame);
    SlRelayAgent_LogEvent(agent, sink, now_us,
                          (struct SlEvent){.number = SL_EVENT_RELAY_ABSENT,
                                           .flow = &key,
                                           .reason = reason});
}

/// True when, as far as is known, the caller acknowledges data of this
/// upstream. It may have received answers of two upstreams to its opening
/// segment, and acknowledges only the one it chose.
static bool
is_chosen_by_caller(const struct SlAgentFlow *flow, uint32_t ack)
{
    if (flow->state == SL_AGENT_WAITING) {
        return false;
    }
    if (!flow->opening_answered) {
        return flow->state != SL_AGENT_OPENING;
    }
    return flow->state == SL_AGENT_OPENING
               ? ack == flow->upstream_initial_seq + 1
               : (int32_t)(ack - flow->upstream_initial_seq) > 0;
}

/// Passes a segment of a flow that this process does not know, but that its
/// upstream may hold, to the upstream.
static void
probe_unknown_flow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us, const struct SlAddress *from,
                   const struct SlFlowKey *key,
                   const struct SlSegment *segment)
{
    struct SlAgentFlow *flow =
        SlAgentFlow_Add(agent, now_us, key, SL_AGENT_TENTATIVE, from);

    if (flow == NULL) {
        agent->counters.segments_dropped++;
        return;
    }
    SlRelayIndex_AddPending(&agent->flows, &flow->item);
    SlAgentFlow_DeliverSegment(agent, sink, now_us, flow, segment);
}

void
SlAgentFlow_HandleCarriedSegment(struct SlRelayAgent *agent,
                                 struct SlRelaySink *sink, uint64_t now_us,
                                 const struct SlAddress *from,
                                 const struct SlSegment *segment)
{
    struct SlFlowKey key = SlSegment_FlowKeyFromCaller(segment);
    struct SlAgentFlow *flow = SlAgentFlow_Find(agent, &key);

    if (flow == NULL) {
        if (agent->plan == NULL) {
            /* The segment may belong to another service; the caller
               retransmits it. */
            agent->counters.segments_dropped++;
        }
        else if (SlRelayAgent_MayHoldUnknown(agent, now_us)) {
            probe_unknown_flow(agent, sink, now_us, from, &key, segment);
        }
        else {
            send_absent_frame(agent, sink, now_us, from, segment, "unknown");
        }
        return;
    }
    if (flow->state == SL_AGENT_WAITING ||
        ((segment->flags & SL_SEGMENT_ACK) && flow->state != SL_AGENT_ENDED &&
         !is_chosen_by_caller(flow, segment->ack))) {
        send_absent_frame(agent, sink, now_us, from, segment, "not_chosen");
        return;
    }
    flow->entry = *from;
    if (flow->state == SL_AGENT_OPENING && (segment->flags & SL_SEGMENT_ACK)) {
        flow->state = SL_AGENT_OPEN;
    }
    if (!SlDeferredRequest_AddSegment(agent, sink, now_us, flow, segment)) {
        SlAgentFlow_DeliverSegment(agent, sink, now_us, flow, segment);
    }
}

static void
confirm_flow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
             uint64_t now_us, struct SlAgentFlow *flow, const char *reason)
{
    struct SlRelayFrame frame = {.kind = SL_RELAY_HOLDS,
                                 .sender = agent->node_id,
                                 .certain = true,
                                 .flow = flow->item.key};

    flow->state = SL_AGENT_OPEN;
    flow->counted_flow = true;
    agent->admission.flows++;
    agent->counters.flows_adopted++;
    SlRelayIndex_RemovePending(&agent->flows, &flow->item);
    sink->type->send_frame(sink, &flow->entry, &frame);
    SlRelayAgent_LogEvent(agent, sink, now_us,
                          (struct SlEvent){.number = SL_EVENT_ADOPT,
                                           .flow = &flow->item.key,
                                           .reason = reason});
}

static void
record_answer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
              uint64_t now_us, struct SlAgentFlow *flow,
              const struct SlSegment *segment)
{
    uint64_t took_us = now_us - flow->request_began_us;
    uint32_t bin = 0;

    if (!flow->request_in_progress || segment->payload_bytes == 0) {
        return;
    }
    while (bin + 1 < HISTOGRAM_BINS && took_us >= (uint64_t)US_PER_MS
                                                      << (bin + 1)) {
        bin++;
    }
    agent->counters.answer_histogram[bin]++;
    agent->counters.requests_answered++;
    SlAgentWork_RequestEnded(agent, sink, now_us, flow, true);
    end_request(agent, flow, took_us == 0 ? 1 : took_us);
}

void
SlAgentFlow_HandleUpstreamSegment(struct SlRelayAgent *agent,
                                  struct SlRelaySink *sink, uint64_t now_us,
                                  const struct SlSegment *segment)
{
    struct SlFlowKey key = SlSegment_FlowKeyFromUpstream(segment);
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
        agent->counters.flows_adopted++;
    }
    SlRelayIndex_MarkUsed(&agent->flows, now_us, &flow->item);
    if ((segment->flags & SL_SEGMENT_OPEN) && !flow->opening_answered) {
        flow->opening_answered = true;
        flow->upstream_initial_seq = segment->seq;
        flow->caller_first_seq = segment->ack;
    }
    if (flow->state == SL_AGENT_TENTATIVE &&
        !(segment->flags & SL_SEGMENT_RESET)) {
        confirm_flow(agent, sink, now_us, flow, "upstream_sends");
    }
    SlLostFlows_RecordUpstreamSegment(flow, segment);
    if (flow->transfer != NULL) {
        SlAgentTransfer_RecordAnswer(agent, sink, now_us, flow, segment);
    }
    record_answer(agent, sink, now_us, flow, segment);
    if (flow->state != SL_AGENT_ENDED) {
        record_flow_end(agent, sink, now_us, flow, segment, false);
    }
    SlRelayAgent_ServeQueue(agent, sink, now_us);
}

void
SlAgentFlow_HandleReturnedSegment(struct SlRelayAgent *agent,
                                  struct SlRelaySink *sink, uint64_t now_us,
                                  const struct SlSegment *segment)
{
    struct SlFlowKey key = SlSegment_FlowKeyFromCaller(segment);
    struct SlAgentFlow *flow = SlAgentFlow_Find(agent, &key);
    struct SlAddress entry;

    agent->counters.segments_returned++;
    if (flow == NULL) {
        agent->counters.segments_dropped++;
        return;
    }
    entry = flow->entry;
    if ((segment->flags & SL_SEGMENT_OPEN) &&
        flow->state != SL_AGENT_OPENING) {
        /* The upstream has no use for the retransmission, because the flow is
           already open. */
        return;
    }
    SlAgentFlow_Remove(agent, now_us, flow);
    if (segment->flags & SL_SEGMENT_OPEN) {
        SlAdmission_FlowReturned(&agent->admission, now_us);
        SlRelayAgent_DeclineFlow(agent, sink, now_us, &entry, &key,
                                 SL_RELAY_RETURNED);
        return;
    }
    send_absent_frame(agent, sink, now_us, &entry, segment, "given_back");
}

bool
SlAgentFlow_MayHold(const struct SlRelayAgent *agent, uint64_t now_us,
                    const struct SlFlowKey *key, uint32_t ack, bool *certain)
{
    const struct SlAgentFlow *flow = SlAgentFlow_Find(agent, key);

    *certain = false;
    if (flow == NULL) {
        return SlRelayAgent_MayHoldUnknown(agent, now_us);
    }
    if (flow->state == SL_AGENT_TENTATIVE) {
        *certain = flow->inherited;
        return true;
    }
    *certain = flow->state == SL_AGENT_ENDED || is_chosen_by_caller(flow, ack);
    return *certain;
}

void
SlAgentFlow_HandleQuery(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us, const struct SlAddress *from,
                        const struct SlRelayFrame *query)
{
    struct SlRelayFrame frame = {.kind = SL_RELAY_ABSENT,
                                 .sender = agent->node_id,
                                 .flow = query->flow};

    if (SlAgentFlow_MayHold(agent, now_us, &query->flow, query->ack,
                            &frame.certain)) {
        frame.kind = SL_RELAY_HOLDS;
    }
    sink->type->send_frame(sink, from, &frame);
}

void
SlAgentFlow_HandleBulkQuery(struct SlRelayAgent *agent,
                            struct SlRelaySink *sink, uint64_t now_us,
                            const struct SlAddress *from,
                            const struct SlRelayFrame *query)
{
    struct SlRelayQueryList queried;
    struct SlRelayQueryList claims = {.count = 0};
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_HOLDS_MANY,
                                 .sender = agent->node_id,
                                 .segment = encoded};

    if (SlRelayQueryList_Decode(query->segment, query->segment_bytes,
                                &queried) != SL_OK) {
        agent->counters.inputs_malformed++;
        return;
    }
    claims.query_id = queried.query_id;
    frame.is_unsure =
        query->reads_unsure && SlRelayAgent_MayHoldUnknown(agent, now_us);
    for (uint32_t i = 0; i < queried.count; i++) {
        struct SlRelayQueryItem *item = &queried.items[i];

        item->holder = 0;
        if (query->reads_unsure &&
            SlAgentFlow_Find(agent, &item->flow) == NULL) {
            item->holder = SlHandover_FindOwner(agent, &item->flow);
        }
        if (item->holder != 0) {
            item->certain = true;
            claims.items[claims.count++] = *item;
        }
        else if ((!frame.is_unsure ||
                  SlAgentFlow_Find(agent, &item->flow) != NULL) &&
                 SlAgentFlow_MayHold(agent, now_us, &item->flow, item->ack,
                                     &item->certain)) {
            claims.items[claims.count++] = *item;
        }
    }
    frame.segment_bytes = SlRelayQueryList_Encode(&claims, encoded);
    sink->type->send_frame(sink, from, &frame);
}

/// Declines a flow whose opening segment the upstream left unanswered.
static void
decline_unanswered(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us, struct SlAgentFlow *flow)
{
    struct SlFlowKey key = flow->item.key;
    struct SlAddress entry = flow->entry;

    agent->upstream_silent_until_us = now_us + SILENT_RETRY_US;
    SlAgentFlow_Remove(agent, now_us, flow);
    SlRelayAgent_DeclineFlow(agent, sink, now_us, &entry, &key,
                             SL_RELAY_SILENT);
}

static void
check_flow_timers(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                  uint64_t now_us, struct SlAgentFlow *flow)
{
    uint64_t age_us = now_us - flow->began_us;

    if (flow->state == SL_AGENT_TENTATIVE) {
        /* An upstream that is not heard meanwhile may have ended. */
        if (age_us > RETURN_TIMEOUT_US &&
            agent->upstream_last_seen_us > flow->began_us) {
            confirm_flow(agent, sink, now_us, flow, "not_given_back");
        }
    }
    else if (flow->state == SL_AGENT_OPENING && !flow->opening_answered) {
        if (age_us > HANDSHAKE_TIMEOUT_US) {
            decline_unanswered(agent, sink, now_us, flow);
        }
    }
    else if (age_us > FIRST_REQUEST_TIMEOUT_US) {
        release_opening_slot(agent, flow);
        SlAgentWork_FlowUnused(agent, now_us, flow);
        SlRelayIndex_RemovePending(&agent->flows, &flow->item);
    }
}

static void
expire_flows(struct SlRelayAgent *agent, uint64_t now_us)
{
    uint64_t keep_us = SlFlowLife_KeepUs(&agent->flow_life);

    for (uint32_t i = 0; agent->plan != NULL && i < EXPIRY_CHECKS_PER_TICK;
         i++) {
        struct SlRelayItem *item = SlRelayIndex_OldestItem(&agent->flows);

        if (item == NULL || now_us - item->used_us <= keep_us) {
            return;
        }
        SlAgentFlow_Remove(agent, now_us, flow_from_item(item));
    }
}

void
SlAgentFlow_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us)
{
    struct SlRelayItem *next;

    for (struct SlRelayItem *item = agent->flows.pending; item != NULL;
         item = next) {
        next = item->pending_next;
        check_flow_timers(agent, sink, now_us, flow_from_item(item));
    }
    SlAgentTransfer_Tick(agent, sink, now_us);
    SlRelayAgent_ServeQueue(agent, sink, now_us);
    expire_flows(agent, now_us);
}
