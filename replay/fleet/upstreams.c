#include <string.h>

#include "segment_stub.h"
#include "world.h"

enum {
    NOTICE_US = 1000 * 1000,
    COLD_US = 2000 * 1000,
    /// Answers of a cold upstream take so many tenths of the usual time.
    COLD_TENTHS = 16,
    TENTHS = 10,
    /// Requests that an upstream queues beside those it works on.
    QUEUE = 8,
    ANSWER_BYTES = 600,
};

void
fleet_upstream_notice(struct fleet_host *host)
{
    struct fleet *fleet = host->fleet;
    struct fleet_upstream *upstream = &host->upstream;
    struct SlUpstreamStatus notice = {.started_ms = upstream->born,
                                      .seq = ++upstream->seq,
                                      .service = "orders",
                                      .slots = fleet->settings->slots};

    snprintf(notice.id, sizeof(notice.id), "upstream-%u", host->number);
    if (upstream->cold_until_us > fleet->now_us) {
        notice.cold_remaining_ms =
            (uint32_t)((upstream->cold_until_us - fleet->now_us) / US_PER_MS);
    }
    if (host->agent != NULL) {
        (void)SlRelayAgent_UpdateStatus(host->agent, &host->sink,
                                        fleet->now_us, &notice);
    }
    fleet_add(fleet, NOTICE_US, FLEET_NOTICE, host->number, upstream->born,
              NULL);
}

void
fleet_upstream_restart(struct fleet_host *host)
{
    struct fleet_upstream *upstream = &host->upstream;
    struct fleet *fleet = host->fleet;

    upstream->born = fleet->now_us / US_PER_MS + 1;
    upstream->seq = 0;
    upstream->working = 0;
    upstream->cold_until_us = fleet->now_us + COLD_US;
    memset(upstream->free_us, 0,
           fleet->settings->slots * sizeof(*upstream->free_us));
    fleet_add(fleet, fleet_random(fleet) % (NOTICE_US / 10) + 1, FLEET_NOTICE,
              host->number, upstream->born, NULL);
}

static struct fleet_hold *
find_hold(struct fleet_flow *flow, const struct fleet_host *host)
{
    for (uint32_t i = 0; i < flow->hold_count; i++) {
        if (flow->holds[i].agent == host->number &&
            flow->holds[i].born == host->upstream.born) {
            return &flow->holds[i];
        }
    }
    return NULL;
}

static void
send_segment(struct fleet_host *host, const struct stub_segment *wire)
{
    uint8_t bytes[sizeof(*wire)];

    memcpy(bytes, wire, sizeof(bytes));
    if (host->agent != NULL) {
        SlRelayAgent_HandleUpstreamSegment(host->agent, &host->sink,
                                           host->fleet->now_us, bytes,
                                           sizeof(bytes));
    }
}

static void
give_back(struct fleet_host *host, struct stub_segment wire)
{
    wire.flags |= SL_SEGMENT_RETURNED;
    send_segment(host, &wire);
}

static void
take_opening(struct fleet_host *host, struct fleet_flow *flow,
             const struct stub_segment *wire)
{
    struct fleet_hold *hold = find_hold(flow, host);
    struct stub_segment answer = {.source = wire->destination,
                                  .destination = wire->source,
                                  .ack = wire->seq + 1,
                                  .flags = SL_SEGMENT_OPEN | SL_SEGMENT_ACK};

    if (hold == NULL) {
        if (flow->hold_count == FLEET_HOLDERS_MAX ||
            host->upstream.working >= host->fleet->settings->slots + QUEUE) {
            give_back(host, *wire);
            return;
        }
        hold = &flow->holds[flow->hold_count++];
        *hold =
            (struct fleet_hold){.agent = host->number,
                                .born = host->upstream.born,
                                .first = (uint32_t)fleet_random(host->fleet)};
    }
    answer.seq = hold->first;
    send_segment(host, &answer);
}

/// A slot for a request. Returns how long it takes until the answer is ready.
static uint64_t
work(struct fleet_host *host)
{
    struct fleet *fleet = host->fleet;
    struct fleet_upstream *upstream = &host->upstream;
    uint64_t takes_us = fleet->settings->work_us / 2 +
                        fleet_random(fleet) % fleet->settings->work_us;
    uint32_t soonest = 0;

    if (upstream->cold_until_us > fleet->now_us) {
        takes_us = takes_us * COLD_TENTHS / TENTHS;
    }
    for (uint32_t i = 1; i < fleet->settings->slots; i++) {
        if (upstream->free_us[i] < upstream->free_us[soonest]) {
            soonest = i;
        }
    }
    if (upstream->free_us[soonest] < fleet->now_us) {
        upstream->free_us[soonest] = fleet->now_us;
    }
    upstream->free_us[soonest] += takes_us;
    return upstream->free_us[soonest] - fleet->now_us;
}

void
fleet_upstream_take(struct fleet_host *host,
                    const struct fleet_datagram *datagram)
{
    struct fleet *fleet = host->fleet;
    struct stub_segment wire;
    struct fleet_hold *hold;
    uint32_t number;

    memcpy(&wire, datagram->bytes, sizeof(wire));
    number = fleet_flow_number(fleet, &wire.source);
    if (number == UINT32_MAX) {
        return;
    }
    if (wire.flags == SL_SEGMENT_OPEN) {
        take_opening(host, &fleet->flows[number], &wire);
        return;
    }
    hold = find_hold(&fleet->flows[number], host);
    if (hold == NULL || (!hold->open && wire.ack != hold->first + 1)) {
        give_back(host, wire);
        return;
    }
    hold->open = true;
    if (wire.payload_bytes > 0 && !hold->working) {
        hold->working = true;
        host->upstream.working++;
        /* The agent's number says which upstream, the generation which flow.
         */
        fleet_add(fleet, work(host), FLEET_ANSWER, host->number, number, NULL);
    }
}

void
fleet_upstream_answer(struct fleet_host *host, uint64_t flow)
{
    struct fleet_hold *hold = find_hold(&host->fleet->flows[flow], host);
    struct SlFlowKey key = fleet_flow_key((uint32_t)flow);
    struct stub_segment wire = {.source = key.service,
                                .destination = key.caller,
                                .payload_bytes = ANSWER_BYTES,
                                .flags = SL_SEGMENT_ACK};

    if (hold == NULL || !hold->working) {
        return;
    }
    hold->working = false;
    host->upstream.working--;
    wire.seq = hold->first + 1;
    send_segment(host, &wire);
}
