/// Upstreams: TCP and UDP endpoints with slots, a queue of requests and a cold
/// start.

#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "payload.h"
#include "simulation.h"

enum {
    ZONE_BOUND_US = 3 * 1000 * 1000,
    DRAIN_BOUND_US = 3 * 1000 * 1000,
    LOCAL_DELAY_US = 30,
    /// Requests for each slot that may wait at a cold upstream before it
    /// counts as over its capacity.
    WAITING_PER_SLOT_MAX = 4,
    /// A cold upstream can hold one part in so many of its connections at
    /// first.
    COLD_CAPACITY_DIVISOR = 10,
    WINDOW = 65535,
};

void
SlSimUpstream_Start(struct SlSimNode *node)
{
    struct SlSimUpstream *upstream = &node->upstream;

    if (upstream->jobs == NULL) {
        upstream->jobs =
            (uint64_t *)calloc(SIM_JOBS_MAX, sizeof(*upstream->jobs));
        assert(upstream->jobs != NULL);
    }
    upstream->started_us = node->sim->now_us;
    upstream->alive = true;
}

static void
close_flow(struct SlSim *sim, struct SlSimFlow *flow)
{
    if (flow->upstream_open) {
        sim->nodes[flow->holder].upstream.open_flows--;
        flow->upstream_open = false;
    }
}

void
SlSimUpstream_Crash(struct SlSimNode *node)
{
    struct SlSim *sim = node->sim;

    for (uint32_t i = 0; i < sim->flow_count; i++) {
        struct SlSimFlow *flow = &sim->flows[i];

        if (flow->upstream_open && flow->holder == node->index) {
            close_flow(sim, flow);
            flow->upstream_lost = true;
        }
    }
    node->upstream.alive = false;
    node->upstream.running_jobs = 0;
    node->upstream.job_count = 0;
}

/// Returns 0 for an upstream that has just started, rising to 1 for a warm
/// one.
static double
warm_share(const struct SlSimNode *node)
{
    const struct SlSimSettings *settings = &node->sim->settings;
    uint64_t cold_us = (uint64_t)settings->cold_ms * 1000U;
    uint64_t age_us = node->sim->now_us - node->upstream.started_us;

    return age_us >= cold_us ? 1.0 : (double)age_us / (double)cold_us;
}

static void
send_packet(struct SlSimNode *node, const uint8_t *bytes,
            uint32_t length_bytes)
{
    SlSimQueue_Push(&node->sim->queue,
                    (struct SlSimEvent){
                        .time_us = node->sim->now_us + LOCAL_DELAY_US,
                        .kind = SIM_PACKET_TO_AGENT,
                        .target = node->index,
                        .length_bytes = length_bytes,
                        .bytes = SlSimQueue_CopyBytes(bytes, length_bytes),
                    });
}

static void
send_segment(struct SlSimNode *node, uint32_t index, uint8_t flags,
             uint32_t seq, const struct SlSimPayload *payload)
{
    struct SlSim *sim = node->sim;
    struct SlSimFlow *flow = &sim->flows[index];
    uint8_t bytes[SIM_PACKET_BYTES];
    struct SlTcpSegment segment = {
        .source = sim->services[flow->service].address,
        .flags = flags,
        .seq = seq,
        .ack = flow->upstream_ack,
        .window = WINDOW,
        .payload = (const uint8_t *)payload,
        .payload_bytes = payload != NULL ? sizeof(*payload) : 0,
    };

    if (flow->muted) {
        return;
    }
    SlSimFlow_CallerAddress(index, sim->reuse_ports ? 0 : flow->generation,
                            &segment.destination);
    send_packet(node, bytes,
                SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

static void
send_answer(struct SlSimNode *node, uint32_t index, uint32_t seq)
{
    struct SlSim *sim = node->sim;
    struct SlSimFlow *flow = &sim->flows[index];
    const struct SlSimService *service = &sim->services[flow->service];
    const struct SlSimPayload payload = {
        .flow = index,
        .generation = flow->generation,
        .request = flow->last_executed_request,
        .service = flow->service,
    };
    uint8_t bytes[SIM_PACKET_BYTES];
    struct SlAddress caller;
    uint32_t length_bytes;

    if (service->protocol == IPPROTO_TCP) {
        send_segment(node, index, SL_TCP_ACK | SL_TCP_PSH, seq, &payload);
        return;
    }
    if (flow->muted) {
        return;
    }
    SlSimFlow_CallerAddress(index, sim->reuse_ports ? 0 : flow->generation,
                            &caller);
    length_bytes = SlPacket_BuildUdp(&service->address, &caller,
                                     (const uint8_t *)&payload,
                                     sizeof(payload), bytes, sizeof(bytes));
    send_packet(node, bytes, length_bytes);
}

static void
start_jobs(struct SlSimNode *node)
{
    struct SlSimUpstream *upstream = &node->upstream;
    struct SlSim *sim = node->sim;
    double slowdown =
        1.0 + (1.0 - warm_share(node)) * (sim->settings.cold_factor - 1.0);

    while (upstream->running_jobs < upstream->slots &&
           upstream->job_count > 0) {
        uint64_t job = upstream->jobs[upstream->first_job];

        upstream->first_job = (upstream->first_job + 1) % SIM_JOBS_MAX;
        upstream->job_count--;
        upstream->running_jobs++;
        SlSimQueue_Push(
            &sim->queue,
            (struct SlSimEvent){
                .time_us =
                    sim->now_us +
                    (uint64_t)(sim->settings.service_time_us * slowdown),
                .kind = SIM_JOB_DONE,
                .target = node->index,
                .number = job,
            });
    }
}

/// Counts an upstream that is over its capacity. Waiting requests count only
/// at a cold upstream; a warm upstream queues them.
static void
count_over_capacity(struct SlSimNode *node)
{
    const struct SlSimUpstream *upstream = &node->upstream;
    double upstream_warm_share = warm_share(node);
    double usable_share =
        1.0 / COLD_CAPACITY_DIVISOR +
        upstream_warm_share * (1.0 - 1.0 / COLD_CAPACITY_DIVISOR);

    if (upstream->open_flows > usable_share * upstream->capacity_flows ||
        (upstream_warm_share < 1.0 &&
         upstream->job_count > WAITING_PER_SLOT_MAX * upstream->slots)) {
        node->sim->counts.over_capacity++;
    }
}

static void
queue_job(struct SlSimNode *node, uint32_t index, uint32_t request)
{
    struct SlSimUpstream *upstream = &node->upstream;
    struct SlSimFlow *flow = &node->sim->flows[index];

    if (flow->last_executed_request == request) {
        node->sim->counts.double_run++;
    }
    flow->last_executed_request = request;
    if (upstream->job_count == SIM_JOBS_MAX) {
        return;
    }
    upstream
        ->jobs[(upstream->first_job + upstream->job_count++) % SIM_JOBS_MAX] =
        (uint64_t)flow->generation << 32 | index;
    count_over_capacity(node);
    start_jobs(node);
}

void
SlSimUpstream_FinishJob(struct SlSimNode *node, uint64_t job)
{
    uint32_t index = (uint32_t)job;
    struct SlSimFlow *flow = &node->sim->flows[index];

    if (node->upstream.running_jobs > 0) {
        node->upstream.running_jobs--;
    }
    if (flow->generation == job >> 32 && flow->upstream_open &&
        flow->holder == node->index) {
        send_answer(node, index, flow->upstream_seq);
        flow->upstream_seq += sizeof(struct SlSimPayload);
        flow->last_answered_request = flow->last_executed_request;
    }
    start_jobs(node);
}

/// Returns true when this upstream may hold the flow from now on.
static bool
accept_flow(struct SlSimNode *node, uint32_t index)
{
    struct SlSim *sim = node->sim;
    struct SlSimFlow *flow = &sim->flows[index];

    /* The upstream that held the flow has died, so another upstream may start
     * the flow. */
    if (flow->upstream_lost && !flow->established) {
        flow->upstream_lost = false;
        flow->holder = SIM_NODES_MAX;
    }
    if (flow->holder != SIM_NODES_MAX && flow->holder != node->index) {
        sim->counts.double_start++;
        return false;
    }
    if (sim->drain_us[node->index] != 0 && !flow->upstream_open &&
        sim->now_us - sim->drain_us[node->index] > DRAIN_BOUND_US) {
        sim->counts.drain_late++;
    }
    if (!flow->upstream_open) {
        flow->holder = (uint16_t)node->index;
        flow->upstream_open = true;
        flow->last_executed_request = 0;
        flow->last_answered_request = 0;
        flow->upstream_seq = 0;
        node->upstream.open_flows++;
        count_over_capacity(node);
    }
    return true;
}

static void
receive_payload(struct SlSimNode *node, uint32_t index,
                const struct SlPacket *packet)
{
    struct SlSim *sim = node->sim;
    struct SlSimFlow *flow = &sim->flows[index];
    struct SlSimPayload payload;

    if (packet->payload_bytes != sizeof(payload)) {
        return;
    }
    memcpy(&payload, packet->bytes + packet->payload_offset, sizeof(payload));
    if (payload.generation != flow->generation) {
        /* Sequence numbers before the window do no harm: a real upstream drops
         * them itself. */
        sim->counts.successor +=
            (int32_t)(packet->tcp_seq - flow->upstream_ack) >= 0;
    }
    else if (packet->tcp_seq == flow->upstream_ack) {
        flow->upstream_ack += sizeof(payload);
        queue_job(node, index, payload.request);
    }
    else if (flow->last_answered_request == payload.request) {
        send_answer(node, index, flow->upstream_seq - sizeof(payload));
    }
}

/// Answers with a reset, as a kernel answers a segment that belongs to no
/// connection.
static void
send_reset(struct SlSimNode *node, const struct SlPacket *packet)
{
    uint8_t bytes[SIM_PACKET_BYTES];
    uint32_t length_bytes = SlPacket_BuildReset(packet, bytes, sizeof(bytes));

    if (length_bytes > 0) {
        send_packet(node, bytes, length_bytes);
    }
}

/// Counts a payload that arrived at an upstream that does not hold the flow.
static void
count_stray_payload(struct SlSimNode *node, uint32_t index,
                    const struct SlPacket *packet)
{
    struct SlSim *sim = node->sim;
    const struct SlSimFlow *flow = &sim->flows[index];
    struct SlSimPayload payload;

    if (packet->payload_bytes != sizeof(payload)) {
        return;
    }
    memcpy(&payload, packet->bytes + packet->payload_offset, sizeof(payload));
    /* Late copies for a flow that has ended are not counted: no upstream
     * accepts them, as is right. */
    if (payload.generation != flow->generation ||
        flow->holder == node->index) {
        return;
    }
    sim->counts.stray++;
    if (sim->log != NULL) {
        fprintf((FILE *)sim->log,
                "STRAY t=%.6f flow=%u port=%u generation=%u upstream=%s "
                "holder=%u open=%d\n",
                (double)sim->now_us / 1e6, index, packet->source.port,
                flow->generation, node->name, flow->holder,
                flow->upstream_open);
    }
}

/// Answers a SYN. A repeated SYN is answered again only while nothing else of
/// the flow has arrived.
static void
answer_syn(struct SlSimNode *node, uint32_t index,
           const struct SlPacket *packet)
{
    struct SlSimFlow *flow = &node->sim->flows[index];

    if (flow->upstream_seq == 0) {
        flow->upstream_ack = packet->tcp_seq + 1;
        flow->upstream_seq = (packet->tcp_seq ^ 0x5a5a5a5aU) + 1;
    }
    if (flow->upstream_ack == packet->tcp_seq + 1) {
        send_segment(node, index, SL_TCP_SYN | SL_TCP_ACK,
                     flow->upstream_seq - 1, NULL);
    }
}

/// Returns false for a packet of an earlier flow of the caller, which has
/// another port.
static bool
is_from_current_port(const struct SlSim *sim, uint32_t index,
                     const struct SlPacket *packet)
{
    struct SlAddress address;

    SlSimFlow_CallerAddress(
        index, sim->reuse_ports ? 0 : sim->flows[index].generation, &address);
    return address.port == packet->source.port;
}

static void
receive_segment(struct SlSimNode *node, uint32_t index,
                const struct SlPacket *packet)
{
    struct SlSim *sim = node->sim;
    struct SlSimFlow *flow = &sim->flows[index];
    bool holds_flow = flow->upstream_open && flow->holder == node->index;

    if (!is_from_current_port(sim, index, packet)) {
        if (!(packet->tcp_flags & SL_TCP_RST)) {
            send_reset(node, packet);
        }
    }
    else if (packet->tcp_flags & SL_TCP_RST) {
        if (holds_flow && packet->tcp_seq == flow->upstream_ack) {
            close_flow(sim, flow);
        }
    }
    else if (packet->tcp_flags & SL_TCP_SYN) {
        if (packet->tcp_seq != flow->caller_isn) {
            /* Sends a challenge ACK (RFC 5961, section 4): the flow goes on.
             */
            if (holds_flow) {
                send_segment(node, index, SL_TCP_ACK, flow->upstream_seq,
                             NULL);
            }
        }
        else if (accept_flow(node, index)) {
            answer_syn(node, index, packet);
        }
    }
    else if (!holds_flow) {
        count_stray_payload(node, index, packet);
        if (flow->holder != node->index || flow->upstream_lost) {
            send_reset(node, packet);
        }
    }
    else if (packet->tcp_flags & SL_TCP_FIN) {
        if (packet->tcp_seq == flow->upstream_ack) {
            flow->upstream_ack++;
            send_segment(node, index, SL_TCP_FIN | SL_TCP_ACK,
                         flow->upstream_seq, NULL);
            close_flow(sim, flow);
        }
    }
    else if (packet->payload_bytes > 0) {
        receive_payload(node, index, packet);
    }
    else if (packet->tcp_seq != flow->upstream_ack) {
        /* The segment is outside the window: the expected sequence number is
         * acknowledged again. */
        send_segment(node, index, SL_TCP_ACK, flow->upstream_seq, NULL);
    }
}

static void
receive_datagram(struct SlSimNode *node, uint32_t index,
                 const struct SlPacket *packet)
{
    struct SlSim *sim = node->sim;
    struct SlSimFlow *flow = &sim->flows[index];
    struct SlSimPayload payload;

    if (packet->payload_bytes != sizeof(payload)) {
        return;
    }
    memcpy(&payload, packet->bytes + packet->payload_offset, sizeof(payload));
    if (payload.generation != flow->generation) {
        sim->counts.successor += flow->upstream_open;
        return;
    }
    if (!accept_flow(node, index)) {
        return;
    }
    if (payload.request == flow->last_answered_request) {
        send_answer(node, index, 0);
    }
    else if (payload.request != flow->last_executed_request) {
        queue_job(node, index, payload.request);
    }
}

/// Handles packets that belong to no caller: packets of a SYN flood, or random
/// packets.
static void
receive_unknown_packet(struct SlSimNode *node, const struct SlPacket *packet)
{
    uint8_t bytes[SIM_PACKET_BYTES];
    const struct SlTcpSegment segment = {
        .source = packet->destination,
        .destination = packet->source,
        .flags = SL_TCP_SYN | SL_TCP_ACK,
        .seq = 1,
        .ack = packet->tcp_seq + 1,
        .window = WINDOW,
    };

    node->sim->counts.flood_delivered++;
    if (packet->kind == SL_PACKET_TCP && packet->tcp_flags == SL_TCP_SYN) {
        send_packet(node, bytes,
                    SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
    }
}

static void
count_zone_packet(struct SlSimNode *node)
{
    struct SlSim *sim = node->sim;
    uint64_t out_us = sim->zone_out_us[node->zone];

    if (out_us == 0) {
        return;
    }
    if (sim->now_us - out_us > sim->counts.zone_silent_us) {
        sim->counts.zone_silent_us = sim->now_us - out_us;
    }
    if (sim->now_us - out_us > ZONE_BOUND_US) {
        sim->counts.zone_late++;
    }
}

/// Returns true when the flow is of the upstream's former service, and began
/// here before an operator moved the upstream to another service or within the
/// drain bound after that.
static bool
was_moved_from_service(const struct SlSimNode *node,
                       const struct SlSimFlow *flow)
{
    uint64_t since_us = node->sim->now_us - node->upstream.moved_us;

    return node->upstream.moved_us != 0 &&
           flow->service == node->upstream.former_service &&
           (flow->holder == node->index || since_us < DRAIN_BOUND_US);
}

static bool
is_for_other_service(const struct SlSimNode *node, uint32_t index,
                     const struct SlPacket *packet)
{
    const struct SlSim *sim = node->sim;
    uint32_t own_service = node->upstream.service;

    if (index < sim->flow_count) {
        return sim->flows[index].service != own_service &&
               !was_moved_from_service(node, &sim->flows[index]);
    }
    return sim->services[own_service].protocol != packet->protocol ||
           !SlAddress_Equal(&sim->services[own_service].address,
                            &packet->destination);
}

/// Returns false for a port of an earlier connection that the caller has left.
static bool
is_current_port(const struct SlSim *sim, uint32_t index,
                const struct SlAddress *caller)
{
    struct SlAddress current;

    SlSimFlow_CallerAddress(
        index, sim->reuse_ports ? 0 : sim->flows[index].generation, &current);
    return current.port == caller->port;
}

void
SlSimUpstream_Receive(struct SlSimNode *node, const uint8_t *bytes,
                      uint32_t length_bytes)
{
    struct SlSim *sim = node->sim;
    struct SlPacket packet;
    uint32_t index;

    if (!node->upstream.alive ||
        SlPacket_Parse(bytes, length_bytes, &packet) != SL_OK) {
        return;
    }
    count_zone_packet(node);
    index = SlSimFlow_Find(sim, &packet.source);
    if (is_for_other_service(node, index, &packet)) {
        sim->counts.cross++;
        if (sim->log != NULL) {
            fprintf((FILE *)sim->log, "CROSS t=%.6f flow=%u upstream=%s\n",
                    (double)sim->now_us / 1e6, index, node->name);
        }
        return;
    }
    if (index >= sim->flow_count) {
        receive_unknown_packet(node, &packet);
    }
    else if (packet.kind == SL_PACKET_TCP &&
             !is_current_port(sim, index, &packet.source)) {
        send_reset(node, &packet);
    }
    else if (packet.kind == SL_PACKET_TCP) {
        receive_segment(node, index, &packet);
    }
    else if (packet.kind == SL_PACKET_UDP) {
        receive_datagram(node, index, &packet);
    }
}
