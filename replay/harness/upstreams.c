/// Upstreams: TCP and UDP ends with slots, a queue and a cold start.

#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "payload.h"
#include "world.h"

enum {
    ZONE_BOUND_US = 3 * 1000 * 1000,
    DRAIN_BOUND_US = 3 * 1000 * 1000,
    LOCAL_US = 30,
    /// Requests that may wait for each slot before an upstream falls over.
    WAITING_FOR_SLOT = 4,
    /// Part of its connections that a cold upstream holds at first.
    COLD_PART = 10,
    WINDOW = 65535,
};

void
SlWorldUpstream_Start(struct SlWorldNode *node)
{
    struct SlWorldUpstream *upstream = &node->upstream;

    if (upstream->jobs == NULL) {
        upstream->jobs =
            (uint64_t *)calloc(WORLD_JOBS_MAX, sizeof(*upstream->jobs));
        assert(upstream->jobs != NULL);
    }
    upstream->started_us = node->world->now_us;
    upstream->alive = true;
}

static void
close_flow(struct SlWorld *world, struct SlWorldFlow *flow)
{
    if (flow->upstream_open) {
        world->nodes[flow->holder].upstream.open_flows--;
        flow->upstream_open = false;
    }
}

void
SlWorldUpstream_Crash(struct SlWorldNode *node)
{
    struct SlWorld *world = node->world;

    for (uint32_t i = 0; i < world->flow_count; i++) {
        struct SlWorldFlow *flow = &world->flows[i];

        if (flow->upstream_open && flow->holder == node->index) {
            close_flow(world, flow);
            flow->lost = true;
        }
    }
    node->upstream.alive = false;
    node->upstream.running = 0;
    node->upstream.job_count = 0;
}

/// 0 when just started, 1 when warm.
static double
warmth(const struct SlWorldNode *node)
{
    const struct SlWorldSettings *settings = &node->world->settings;
    uint64_t cold_us = (uint64_t)settings->cold_ms * 1000U;
    uint64_t age_us = node->world->now_us - node->upstream.started_us;

    return age_us >= cold_us ? 1.0 : (double)age_us / (double)cold_us;
}

static void
send_packet(struct SlWorldNode *node, const uint8_t *bytes,
            uint32_t length_bytes)
{
    SlWorldQueue_Push(&node->world->queue,
                      (struct SlWorldEvent){
                          .time_us = node->world->now_us + LOCAL_US,
                          .kind = WORLD_TO_AGENT,
                          .target = node->index,
                          .length_bytes = length_bytes,
                          .bytes = SlWorldQueue_Copy(bytes, length_bytes),
                      });
}

static void
send_segment(struct SlWorldNode *node, uint32_t index, uint8_t flags,
             uint32_t seq, const struct SlWorldPayload *payload)
{
    struct SlWorld *world = node->world;
    struct SlWorldFlow *flow = &world->flows[index];
    uint8_t bytes[WORLD_PACKET_BYTES];
    struct SlTcpSegment segment = {
        .source = world->services[flow->service].address,
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
    SlWorldFlow_Address(index, world->reuse ? 0 : flow->generation,
                        &segment.destination);
    send_packet(node, bytes,
                SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

static void
send_answer(struct SlWorldNode *node, uint32_t index, uint32_t seq)
{
    struct SlWorld *world = node->world;
    struct SlWorldFlow *flow = &world->flows[index];
    const struct SlWorldService *service = &world->services[flow->service];
    const struct SlWorldPayload payload = {
        .flow = index,
        .generation = flow->generation,
        .request = flow->executed,
        .service = flow->service,
    };
    uint8_t bytes[WORLD_PACKET_BYTES];
    struct SlAddress caller;
    uint32_t length_bytes;

    if (service->protocol == IPPROTO_TCP) {
        send_segment(node, index, SL_TCP_ACK | SL_TCP_PSH, seq, &payload);
        return;
    }
    if (flow->muted) {
        return;
    }
    SlWorldFlow_Address(index, world->reuse ? 0 : flow->generation, &caller);
    length_bytes = SlPacket_BuildUdp(&service->address, &caller,
                                     (const uint8_t *)&payload,
                                     sizeof(payload), bytes, sizeof(bytes));
    send_packet(node, bytes, length_bytes);
}

static void
run_jobs(struct SlWorldNode *node)
{
    struct SlWorldUpstream *upstream = &node->upstream;
    struct SlWorld *world = node->world;
    double slow =
        1.0 + (1.0 - warmth(node)) * (world->settings.cold_factor - 1.0);

    while (upstream->running < upstream->slots && upstream->job_count > 0) {
        uint64_t job = upstream->jobs[upstream->first_job];

        upstream->first_job = (upstream->first_job + 1) % WORLD_JOBS_MAX;
        upstream->job_count--;
        upstream->running++;
        SlWorldQueue_Push(
            &world->queue,
            (struct SlWorldEvent){
                .time_us = world->now_us +
                           (uint64_t)(world->settings.service_time_us * slow),
                .kind = WORLD_JOB_DONE,
                .target = node->index,
                .number = job,
            });
    }
}

/// Only a cold upstream falls over; a warm one lets requests wait.
static void
check_capacity(struct SlWorldNode *node)
{
    const struct SlWorldUpstream *upstream = &node->upstream;
    double warm = warmth(node);
    double part = 1.0 / COLD_PART + warm * (1.0 - 1.0 / COLD_PART);

    if (upstream->open_flows > part * upstream->capacity_flows ||
        (warm < 1.0 &&
         upstream->job_count > WAITING_FOR_SLOT * upstream->slots)) {
        node->world->counts.over_capacity++;
    }
}

static void
add_job(struct SlWorldNode *node, uint32_t index, uint32_t request)
{
    struct SlWorldUpstream *upstream = &node->upstream;
    struct SlWorldFlow *flow = &node->world->flows[index];

    if (flow->executed == request) {
        node->world->counts.double_run++;
    }
    flow->executed = request;
    if (upstream->job_count == WORLD_JOBS_MAX) {
        return;
    }
    upstream->jobs[(upstream->first_job + upstream->job_count++) %
                   WORLD_JOBS_MAX] = (uint64_t)flow->generation << 32 | index;
    check_capacity(node);
    run_jobs(node);
}

void
SlWorldUpstream_JobDone(struct SlWorldNode *node, uint64_t job)
{
    uint32_t index = (uint32_t)job;
    struct SlWorldFlow *flow = &node->world->flows[index];

    if (node->upstream.running > 0) {
        node->upstream.running--;
    }
    if (flow->generation == job >> 32 && flow->upstream_open &&
        flow->holder == node->index) {
        send_answer(node, index, flow->upstream_seq);
        flow->upstream_seq += sizeof(struct SlWorldPayload);
        flow->answered = flow->executed;
    }
    run_jobs(node);
}

/// True when this upstream may hold the flow from now on.
static bool
start_flow(struct SlWorldNode *node, uint32_t index)
{
    struct SlWorld *world = node->world;
    struct SlWorldFlow *flow = &world->flows[index];

    /* An upstream that died with the flow runs nothing any more. */
    if (flow->lost && !flow->established) {
        flow->lost = false;
        flow->holder = WORLD_NODES_MAX;
    }
    if (flow->holder != WORLD_NODES_MAX && flow->holder != node->index) {
        world->counts.double_start++;
        return false;
    }
    if (world->drain_us[node->index] != 0 && !flow->upstream_open &&
        world->now_us - world->drain_us[node->index] > DRAIN_BOUND_US) {
        world->counts.drain_late++;
    }
    if (!flow->upstream_open) {
        flow->holder = (uint16_t)node->index;
        flow->upstream_open = true;
        flow->executed = 0;
        flow->answered = 0;
        flow->upstream_seq = 0;
        node->upstream.open_flows++;
        check_capacity(node);
    }
    return true;
}

static void
take_payload(struct SlWorldNode *node, uint32_t index,
             const struct SlPacket *packet)
{
    struct SlWorld *world = node->world;
    struct SlWorldFlow *flow = &world->flows[index];
    struct SlWorldPayload payload;

    if (packet->payload_bytes != sizeof(payload)) {
        return;
    }
    memcpy(&payload, packet->bytes + packet->payload_offset, sizeof(payload));
    if (payload.generation != flow->generation) {
        /* Older numbers are no harm: the upstream drops them itself. */
        world->counts.successor +=
            (int32_t)(packet->tcp_seq - flow->upstream_ack) >= 0;
    }
    else if (packet->tcp_seq == flow->upstream_ack) {
        flow->upstream_ack += sizeof(payload);
        add_job(node, index, payload.request);
    }
    else if (flow->answered == payload.request) {
        send_answer(node, index, flow->upstream_seq - sizeof(payload));
    }
}

/// A kernel answers a segment of no connection with a reset.
static void
reject(struct SlWorldNode *node, const struct SlPacket *packet)
{
    uint8_t bytes[WORLD_PACKET_BYTES];
    uint32_t length_bytes = SlPacket_BuildReset(packet, bytes, sizeof(bytes));

    if (length_bytes > 0) {
        send_packet(node, bytes, length_bytes);
    }
}

/// Payload for an upstream that does not hold the flow.
static void
note_stray(struct SlWorldNode *node, uint32_t index,
           const struct SlPacket *packet)
{
    struct SlWorld *world = node->world;
    const struct SlWorldFlow *flow = &world->flows[index];
    struct SlWorldPayload payload;

    if (packet->payload_bytes != sizeof(payload)) {
        return;
    }
    memcpy(&payload, packet->bytes + packet->payload_offset, sizeof(payload));
    /* Late copies for a flow that has ended find nobody, as they should. */
    if (payload.generation != flow->generation ||
        flow->holder == node->index) {
        return;
    }
    world->counts.stray++;
    if (world->log != NULL) {
        fprintf((FILE *)world->log,
                "STRAY t=%.6f flow=%u port=%u generation=%u upstream=%s "
                "holder=%u open=%d\n",
                (double)world->now_us / 1e6, index, packet->source.port,
                flow->generation, node->name, flow->holder,
                flow->upstream_open);
    }
}

/// A repeated SYN is answered again only before anything else came.
static void
answer_syn(struct SlWorldNode *node, uint32_t index,
           const struct SlPacket *packet)
{
    struct SlWorldFlow *flow = &node->world->flows[index];

    if (flow->upstream_seq == 0) {
        flow->upstream_ack = packet->tcp_seq + 1;
        flow->upstream_seq = (packet->tcp_seq ^ 0x5a5a5a5aU) + 1;
    }
    if (flow->upstream_ack == packet->tcp_seq + 1) {
        send_segment(node, index, SL_TCP_SYN | SL_TCP_ACK,
                     flow->upstream_seq - 1, NULL);
    }
}

/// False for a packet of an earlier flow of the caller, from another port.
static bool
is_present(const struct SlWorld *world, uint32_t index,
           const struct SlPacket *packet)
{
    struct SlAddress address;

    SlWorldFlow_Address(
        index, world->reuse ? 0 : world->flows[index].generation, &address);
    return address.port == packet->source.port;
}

static void
take_segment(struct SlWorldNode *node, uint32_t index,
             const struct SlPacket *packet)
{
    struct SlWorld *world = node->world;
    struct SlWorldFlow *flow = &world->flows[index];
    bool mine = flow->upstream_open && flow->holder == node->index;

    if (!is_present(world, index, packet)) {
        if (!(packet->tcp_flags & SL_TCP_RST)) {
            reject(node, packet);
        }
    }
    else if (packet->tcp_flags & SL_TCP_RST) {
        if (mine && packet->tcp_seq == flow->upstream_ack) {
            close_flow(world, flow);
        }
    }
    else if (packet->tcp_flags & SL_TCP_SYN) {
        if (packet->tcp_seq != flow->caller_isn) {
            /* A challenge (RFC 5961, 4): the flow goes on. */
            if (mine) {
                send_segment(node, index, SL_TCP_ACK, flow->upstream_seq,
                             NULL);
            }
        }
        else if (start_flow(node, index)) {
            answer_syn(node, index, packet);
        }
    }
    else if (!mine) {
        note_stray(node, index, packet);
        if (flow->holder != node->index || flow->lost) {
            reject(node, packet);
        }
    }
    else if (packet->tcp_flags & SL_TCP_FIN) {
        if (packet->tcp_seq == flow->upstream_ack) {
            flow->upstream_ack++;
            send_segment(node, index, SL_TCP_FIN | SL_TCP_ACK,
                         flow->upstream_seq, NULL);
            close_flow(world, flow);
        }
    }
    else if (packet->payload_bytes > 0) {
        take_payload(node, index, packet);
    }
    else if (packet->tcp_seq != flow->upstream_ack) {
        /* Out of the window: what is awaited is said again. */
        send_segment(node, index, SL_TCP_ACK, flow->upstream_seq, NULL);
    }
}

static void
take_datagram(struct SlWorldNode *node, uint32_t index,
              const struct SlPacket *packet)
{
    struct SlWorld *world = node->world;
    struct SlWorldFlow *flow = &world->flows[index];
    struct SlWorldPayload payload;

    if (packet->payload_bytes != sizeof(payload)) {
        return;
    }
    memcpy(&payload, packet->bytes + packet->payload_offset, sizeof(payload));
    if (payload.generation != flow->generation) {
        world->counts.successor += flow->upstream_open;
        return;
    }
    if (!start_flow(node, index)) {
        return;
    }
    if (payload.request == flow->answered) {
        send_answer(node, index, 0);
    }
    else if (payload.request != flow->executed) {
        add_job(node, index, payload.request);
    }
}

/// Packets of nobody: a SYN flood, or random bytes.
static void
take_unknown(struct SlWorldNode *node, const struct SlPacket *packet)
{
    uint8_t bytes[WORLD_PACKET_BYTES];
    const struct SlTcpSegment segment = {
        .source = packet->destination,
        .destination = packet->source,
        .flags = SL_TCP_SYN | SL_TCP_ACK,
        .seq = 1,
        .ack = packet->tcp_seq + 1,
        .window = WINDOW,
    };

    node->world->counts.flood_delivered++;
    if (packet->kind == SL_PACKET_TCP && packet->tcp_flags == SL_TCP_SYN) {
        send_packet(node, bytes,
                    SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
    }
}

static void
check_zone(struct SlWorldNode *node)
{
    struct SlWorld *world = node->world;
    uint64_t out_us = world->zone_out_us[node->zone];

    if (out_us == 0) {
        return;
    }
    if (world->now_us - out_us > world->counts.zone_silent_us) {
        world->counts.zone_silent_us = world->now_us - out_us;
    }
    if (world->now_us - out_us > ZONE_BOUND_US) {
        world->counts.zone_late++;
    }
}

/// True when the flow began here before an operator moved the upstream to
/// another service, or within the bound after that.
static bool
was_of_service(const struct SlWorldNode *node, const struct SlWorldFlow *flow)
{
    uint64_t since_us = node->world->now_us - node->upstream.moved_us;

    return node->upstream.moved_us != 0 &&
           flow->service == node->upstream.former_service &&
           (flow->holder == node->index || since_us < DRAIN_BOUND_US);
}

static bool
is_foreign(const struct SlWorldNode *node, uint32_t index,
           const struct SlPacket *packet)
{
    const struct SlWorld *world = node->world;
    uint32_t own = node->upstream.service;

    if (index < world->flow_count) {
        return world->flows[index].service != own &&
               !was_of_service(node, &world->flows[index]);
    }
    return world->services[own].protocol != packet->protocol ||
           !SlAddress_Equal(&world->services[own].address,
                            &packet->destination);
}

/// False for a connection that the caller has left behind.
static bool
is_present_port(const struct SlWorld *world, uint32_t index,
                const struct SlAddress *caller)
{
    struct SlAddress present;

    SlWorldFlow_Address(
        index, world->reuse ? 0 : world->flows[index].generation, &present);
    return present.port == caller->port;
}

void
SlWorldUpstream_Take(struct SlWorldNode *node, const uint8_t *bytes,
                     uint32_t length_bytes)
{
    struct SlWorld *world = node->world;
    struct SlPacket packet;
    uint32_t index;

    if (!node->upstream.alive ||
        SlPacket_Parse(bytes, length_bytes, &packet) != SL_OK) {
        return;
    }
    check_zone(node);
    index = SlWorldFlow_Find(world, &packet.source);
    if (is_foreign(node, index, &packet)) {
        world->counts.cross++;
        if (world->log != NULL) {
            fprintf((FILE *)world->log, "CROSS t=%.6f flow=%u upstream=%s\n",
                    (double)world->now_us / 1e6, index, node->name);
        }
        return;
    }
    if (index >= world->flow_count) {
        take_unknown(node, &packet);
    }
    else if (packet.kind == SL_PACKET_TCP &&
             !is_present_port(world, index, &packet.source)) {
        reject(node, &packet);
    }
    else if (packet.kind == SL_PACKET_TCP) {
        take_segment(node, index, &packet);
    }
    else if (packet.kind == SL_PACKET_UDP) {
        take_datagram(node, index, &packet);
    }
}
