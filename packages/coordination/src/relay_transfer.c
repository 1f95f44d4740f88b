/// Accounts for uploads whose body is in transfer.

#include "relay_transfer.h"

#include <stdlib.h>

#include "relay_agent_core.h"

static void
log_transfer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
             uint64_t now_us, const struct SlAgentTransfer *transfer,
             const char *reason)
{
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_TRANSFER,
                         .flow = &transfer->flow->item.key,
                         .reason = reason,
                         .value = (int64_t)(now_us - transfer->began_us),
                         .limit = agent->admission.transfers});
}

bool
SlAgentTransfer_IsUpload(const struct SlRelayAgent *agent,
                         const struct SlAgentFlow *flow)
{
    const struct SlPlanRoute *route =
        agent->plan != NULL
            ? SlPlan_FindRoute(agent->plan, &flow->item.key.service)
            : NULL;

    return route != NULL && route->kind == SL_TRAFFIC_UPLOAD;
}

static void
begin_count(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    if (!flow->counted_transfer) {
        flow->counted_transfer = true;
        SlAdmission_TransferBegan(&agent->admission);
    }
}

static void
end_count(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    if (flow->counted_transfer) {
        flow->counted_transfer = false;
        SlAdmission_TransferEnded(&agent->admission);
    }
}

/// Begins the transfer of a request's body with its first segment. Returns
/// NULL when out of memory.
static struct SlAgentTransfer *
create_transfer(struct SlRelayAgent *agent, uint64_t now_us,
                struct SlAgentFlow *flow, const struct SlSegment *segment)
{
    struct SlAgentTransfer *transfer = calloc(1, sizeof(*transfer));
    uint32_t begin_seq = segment->seq;

    if (transfer == NULL) {
        return NULL;
    }
    if (flow->caller_end_known) {
        begin_seq = flow->caller_end_seq;
    }
    else if (flow->opening_answered) {
        begin_seq = flow->caller_first_seq;
    }
    SlBody_Begin(&transfer->body, now_us, begin_seq,
                 agent->full_segment_bytes);
    transfer->flow = flow;
    transfer->began_us = now_us;
    transfer->next = agent->transfers;
    if (transfer->next != NULL) {
        transfer->next->previous = transfer;
    }
    agent->transfers = transfer;
    flow->transfer = transfer;
    begin_count(agent, flow);
    agent->counters.transfers_begun++;
    return transfer;
}

void
SlAgentTransfer_Destroy(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    struct SlAgentTransfer *transfer = flow->transfer;

    end_count(agent, flow);
    if (transfer == NULL) {
        return;
    }
    if (transfer->previous != NULL) {
        transfer->previous->next = transfer->next;
    }
    else {
        agent->transfers = transfer->next;
    }
    if (transfer->next != NULL) {
        transfer->next->previous = transfer->previous;
    }
    flow->transfer = NULL;
    free(transfer);
}

/// Counts the request as in progress from the end of its body on.
static void
complete_transfer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                  uint64_t now_us, struct SlAgentTransfer *transfer)
{
    struct SlAgentFlow *flow = transfer->flow;

    end_count(agent, flow);
    transfer->state = SL_TRANSFER_COMPLETE;
    flow->request_in_progress = true;
    flow->request_began_us = transfer->body.last_data_us;
    SlAdmission_RequestDelivered(&agent->admission, false);
    SlAgentWork_RequestBegan(agent, now_us, flow);
    log_transfer(agent, sink, now_us, transfer, "body_ended");
}

static void
break_off_transfer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us, struct SlAgentTransfer *transfer,
                   enum SlAgentTransferState state, const char *reason)
{
    end_count(agent, transfer->flow);
    transfer->state = state;
    agent->counters.transfers_broken_off++;
    log_transfer(agent, sink, now_us, transfer, reason);
}

/// Counts the body as in transfer again after more of it has arrived.
static void
resume_transfer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                uint64_t now_us, struct SlAgentTransfer *transfer)
{
    struct SlAgentFlow *flow = transfer->flow;

    if (flow->request_in_progress) {
        SlAgentWork_RequestEnded(agent, sink, now_us, flow, false);
        flow->request_in_progress = false;
        SlAdmission_RequestEnded(&agent->admission, 0);
    }
    begin_count(agent, flow);
    transfer->state = SL_TRANSFER_RUNNING;
    log_transfer(agent, sink, now_us, transfer, "resumed");
}

/// Follows the state of the body. May free the transfer.
static void
update_transfer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                uint64_t now_us, struct SlAgentTransfer *transfer)
{
    enum SlBodyState body = SlBody_State(&transfer->body, now_us);

    if (transfer->state == SL_TRANSFER_OVER) {
        if (body != SL_BODY_TRANSFER) {
            SlAgentTransfer_Destroy(agent, transfer->flow);
        }
        return;
    }
    if (transfer->state == SL_TRANSFER_STALLED && body != SL_BODY_STALLED) {
        resume_transfer(agent, sink, now_us, transfer);
    }
    if (transfer->state == SL_TRANSFER_COMPLETE && body == SL_BODY_TRANSFER) {
        resume_transfer(agent, sink, now_us, transfer);
    }
    if (transfer->state == SL_TRANSFER_RUNNING && body == SL_BODY_ENDED) {
        complete_transfer(agent, sink, now_us, transfer);
    }
    if (transfer->state == SL_TRANSFER_RUNNING && body == SL_BODY_STALLED) {
        break_off_transfer(agent, sink, now_us, transfer, SL_TRANSFER_STALLED,
                           "stalled");
    }
}

bool
SlAgentTransfer_RecordSegment(struct SlRelayAgent *agent,
                              struct SlRelaySink *sink, uint64_t now_us,
                              struct SlAgentFlow *flow,
                              const struct SlSegment *segment)
{
    uint32_t end_seq = segment->seq + segment->payload_bytes;
    bool is_new = !flow->caller_end_known ||
                  (int32_t)(end_seq - flow->caller_end_seq) > 0;
    struct SlAgentTransfer *transfer = flow->transfer;

    if (transfer == NULL && is_new) {
        transfer = create_transfer(agent, now_us, flow, segment);
        if (transfer == NULL) {
            end_count(agent, flow);
            return false;
        }
    }
    if (is_new) {
        flow->caller_end_seq = end_seq;
        flow->caller_end_known = true;
    }
    if (segment->payload_bytes > agent->full_segment_bytes) {
        agent->full_segment_bytes = segment->payload_bytes;
    }
    if (transfer != NULL) {
        SlBody_AddSegment(&transfer->body, now_us, segment->seq,
                          segment->payload_bytes);
        update_transfer(agent, sink, now_us, transfer);
    }
    return true;
}

void
SlAgentTransfer_RecordClose(struct SlRelayAgent *agent,
                            struct SlRelaySink *sink, uint64_t now_us,
                            struct SlAgentFlow *flow)
{
    if (flow->transfer == NULL ||
        flow->transfer->state != SL_TRANSFER_RUNNING) {
        return;
    }
    if (SlBody_IsGapless(&flow->transfer->body)) {
        complete_transfer(agent, sink, now_us, flow->transfer);
    }
    else {
        break_off_transfer(agent, sink, now_us, flow->transfer,
                           SL_TRANSFER_OVER, "caller_left");
    }
}

void
SlAgentTransfer_RecordAnswer(struct SlRelayAgent *agent,
                             struct SlRelaySink *sink, uint64_t now_us,
                             struct SlAgentFlow *flow,
                             const struct SlSegment *segment)
{
    struct SlAgentTransfer *transfer = flow->transfer;

    if (segment->flags & SL_SEGMENT_ACK) {
        SlBody_Acknowledge(&transfer->body, segment->ack);
    }
    if (segment->payload_bytes > 0 &&
        (transfer->state == SL_TRANSFER_RUNNING ||
         transfer->state == SL_TRANSFER_STALLED)) {
        end_count(agent, flow);
        transfer->state = SL_TRANSFER_OVER;
        agent->counters.requests_answered++;
        log_transfer(agent, sink, now_us, transfer, "answered_early");
    }
    if (segment->payload_bytes > 0 &&
        transfer->state == SL_TRANSFER_COMPLETE) {
        /* The caller of this function records the answer. */
        SlAgentTransfer_Destroy(agent, flow);
        return;
    }
    update_transfer(agent, sink, now_us, transfer);
}

void
SlAgentTransfer_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us)
{
    struct SlAgentTransfer *next;

    for (struct SlAgentTransfer *transfer = agent->transfers; transfer != NULL;
         transfer = next) {
        next = transfer->next;
        update_transfer(agent, sink, now_us, transfer);
    }
}
