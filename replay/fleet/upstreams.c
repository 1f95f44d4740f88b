#include <string.h>

#include "fleet_internal.h"
#include "segment_stub.h"

enum {
    STATUS_INTERVAL_US = 1000 * 1000,
    COLD_PERIOD_US = 2000 * 1000,
    /// Processing time of a cold upstream, in tenths of that of a warm
    /// upstream.
    COLD_WORK_TENTHS = 16,
    TENTHS = 10,
    /// Requests that an upstream queues besides those in its slots.
    QUEUED_REQUESTS_MAX = 8,
    ANSWER_BYTES = 600,
};

void
fleet_upstream_report_status(struct fleet_host *host)
{
    struct fleet *fleet = host->fleet;
    struct fleet_upstream *upstream = &host->upstream;
    struct SlUpstreamStatus status = {.started_ms = upstream->incarnation,
                                      .received_ms = fleet_wall_ms(fleet),
                                      .seq = ++upstream->seq,
                                      .service = "orders",
                                      .slots = fleet->settings->slots};

    snprintf(status.id, sizeof(status.id), "upstream-%u", host->number);
    if (upstream->cold_until_us > fleet->now_us) {
        status.cold_remaining_ms =
            (uint32_t)((upstream->cold_until_us - fleet->now_us) / US_PER_MS);
    }
    if (host->agent != NULL) {
        (void)SlRelayAgent_UpdateStatus(host->agent, &host->sink,
                                        fleet->now_us, &status);
    }
    fleet_schedule(fleet, STATUS_INTERVAL_US, FLEET_TASK_UPSTREAM_STATUS,
                   host->number, upstream->incarnation, NULL);
}

void
fleet_upstream_restart(struct fleet_host *host)
{
    struct fleet_upstream *upstream = &host->upstream;
    struct fleet *fleet = host->fleet;

    upstream->incarnation = fleet_wall_ms(fleet);
    upstream->seq = 0;
    upstream->in_progress = 0;
    upstream->cold_until_us = fleet->now_us + COLD_PERIOD_US;
    memset(upstream->slots_free_us, 0,
           fleet->settings->slots * sizeof(*upstream->slots_free_us));
    fleet_schedule(fleet, fleet_random(fleet) % (STATUS_INTERVAL_US / 10) + 1,
                   FLEET_TASK_UPSTREAM_STATUS, host->number,
                   upstream->incarnation, NULL);
}

static struct fleet_hold *
find_hold(struct fleet_flow *flow, const struct fleet_host *host)
{
    for (uint32_t i = 0; i < flow->hold_count; i++) {
        if (flow->holds[i].agent == host->number &&
            flow->holds[i].incarnation == host->upstream.incarnation) {
            return &flow->holds[i];
        }
    }
    return NULL;
}

static void
send_segment(struct fleet_host *host, const struct stub_segment *segment)
{
    uint8_t bytes[sizeof(*segment)];

    memcpy(bytes, segment, sizeof(bytes));
    if (host->agent != NULL) {
        SlRelayAgent_HandleUpstreamSegment(host->agent, &host->sink,
                                           host->fleet->now_us, bytes,
                                           sizeof(bytes));
    }
}

static void
return_segment(struct fleet_host *host, struct stub_segment segment)
{
    segment.flags |= SL_SEGMENT_RETURNED;
    send_segment(host, &segment);
}

static void
receive_opening(struct fleet_host *host, struct fleet_flow *flow,
                const struct stub_segment *segment)
{
    struct fleet_hold *hold = find_hold(flow, host);
    struct stub_segment answer = {.source = segment->destination,
                                  .destination = segment->source,
                                  .ack = segment->seq + 1,
                                  .flags = SL_SEGMENT_OPEN | SL_SEGMENT_ACK};

    if (hold == NULL) {
        if (flow->hold_count == FLEET_HOLDERS_MAX ||
            host->upstream.in_progress >=
                host->fleet->settings->slots + QUEUED_REQUESTS_MAX) {
            return_segment(host, *segment);
            return;
        }
        hold = &flow->holds[flow->hold_count++];
        *hold = (struct fleet_hold){.agent = host->number,
                                    .incarnation = host->upstream.incarnation,
                                    .initial_seq =
                                        (uint32_t)fleet_random(host->fleet)};
    }
    answer.seq = hold->initial_seq;
    send_segment(host, &answer);
}

/// Assigns a request to the slot that is free first. Returns the time until
/// the answer is ready, in microseconds.
static uint64_t
assign_slot(struct fleet_host *host)
{
    struct fleet *fleet = host->fleet;
    struct fleet_upstream *upstream = &host->upstream;
    uint64_t work_time_us = fleet->settings->work_us / 2 +
                            fleet_random(fleet) % fleet->settings->work_us;
    uint32_t first_free = 0;

    if (upstream->cold_until_us > fleet->now_us) {
        work_time_us = work_time_us * COLD_WORK_TENTHS / TENTHS;
    }
    for (uint32_t i = 1; i < fleet->settings->slots; i++) {
        if (upstream->slots_free_us[i] < upstream->slots_free_us[first_free]) {
            first_free = i;
        }
    }
    if (upstream->slots_free_us[first_free] < fleet->now_us) {
        upstream->slots_free_us[first_free] = fleet->now_us;
    }
    upstream->slots_free_us[first_free] += work_time_us;
    return upstream->slots_free_us[first_free] - fleet->now_us;
}

void
fleet_upstream_receive(struct fleet_host *host,
                       const struct fleet_datagram *datagram)
{
    struct fleet *fleet = host->fleet;
    struct stub_segment segment;
    struct fleet_hold *hold;
    uint32_t number;

    memcpy(&segment, datagram->bytes, sizeof(segment));
    number = fleet_flow_number(fleet, &segment.source);
    if (number == UINT32_MAX) {
        return;
    }
    if (segment.flags == SL_SEGMENT_OPEN) {
        receive_opening(host, &fleet->flows[number], &segment);
        return;
    }
    hold = find_hold(&fleet->flows[number], host);
    if (hold == NULL ||
        (!hold->open && segment.ack != hold->initial_seq + 1)) {
        return_segment(host, segment);
        return;
    }
    hold->open = true;
    if (segment.payload_bytes > 0 && !hold->in_progress) {
        hold->in_progress = true;
        host->upstream.in_progress++;
        /* The target is the agent beside the upstream; the generation holds
         * the number of the flow. */
        fleet_schedule(fleet, assign_slot(host), FLEET_TASK_UPSTREAM_ANSWER,
                       host->number, number, NULL);
    }
}

void
fleet_upstream_send_answer(struct fleet_host *host, uint64_t flow)
{
    struct fleet_hold *hold = find_hold(&host->fleet->flows[flow], host);
    struct SlFlowKey key = fleet_flow_key((uint32_t)flow);
    struct stub_segment segment = {.source = key.service,
                                   .destination = key.caller,
                                   .payload_bytes = ANSWER_BYTES,
                                   .flags = SL_SEGMENT_ACK};

    if (hold == NULL || !hold->in_progress) {
        return;
    }
    hold->in_progress = false;
    host->upstream.in_progress--;
    segment.seq = hold->initial_seq + 1;
    send_segment(host, &segment);
}
