/// Callers: TCP and UDP ends that open flows, ask, think, resend and close,
/// and judge what becomes of their flows.

#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "payload.h"
#include "world.h"

enum {
    RESEND_US = 1000 * 1000,
    RESENDS_MAX = 6,
    /// A caller of a muted flow waits for the system to find out.
    MUTED_RESENDS_MAX = 60,
    BACK_OFF_US = 500 * 1000,
    /// A flow of a zone that is back may still learn that it was given up.
    ZONE_AFTER_US = 10 * 1000 * 1000,
    FIRST_PORT = 1024,
    PORTS = 60000,
    /// What an initial sequence number grows by in half a second (RFC 9293,
    /// 3.4.1).
    REUSED_SEQ_STEP = 1 << 27,
    WINDOW = 65535,
    MSS_BYTES = 1460,
};

void
SlWorldFlow_Address(uint32_t index, uint16_t generation,
                    struct SlAddress *address)
{
    memset(address, 0, sizeof(*address));
    address->ip[10] = 0xff;
    address->ip[11] = 0xff;
    address->ip[12] = 10;
    address->ip[13] = (uint8_t)(index >> 16);
    address->ip[14] = (uint8_t)(index >> 8);
    address->ip[15] = (uint8_t)index;
    address->port = (uint16_t)(FIRST_PORT + generation % PORTS);
}

uint32_t
SlWorldFlow_Find(const struct SlWorld *world, const struct SlAddress *caller)
{
    uint32_t index = (uint32_t)caller->ip[13] << 16 |
                     (uint32_t)caller->ip[14] << 8 | caller->ip[15];

    if (!SlAddress_IsIpv4(caller) || caller->ip[12] != 10 ||
        index >= world->flow_count) {
        return WORLD_FLOWS_MAX;
    }
    return index;
}

static void
set_timer(struct SlWorld *world, uint32_t index, uint64_t delay_us)
{
    struct SlWorldFlow *flow = &world->flows[index];

    flow->timer++;
    SlWorldQueue_Push(&world->queue, (struct SlWorldEvent){
                                         .time_us = world->now_us + delay_us,
                                         .kind = WORLD_FLOW,
                                         .target = index,
                                         .number = flow->timer,
                                     });
}

static uint16_t
port_generation(const struct SlWorld *world, const struct SlWorldFlow *flow)
{
    return world->reuse ? 0 : flow->generation;
}

static void
send_segment(struct SlWorld *world, uint32_t index, uint8_t flags,
             uint32_t seq, const struct SlWorldPayload *payload)
{
    struct SlWorldFlow *flow = &world->flows[index];
    uint8_t bytes[WORLD_PACKET_BYTES];
    struct SlTcpSegment segment = {
        .destination = world->services[flow->service].address,
        .flags = flags,
        .seq = seq,
        .ack = flags & SL_TCP_ACK ? flow->caller_ack : 0,
        .window = WINDOW,
        .mss_bytes = flags & SL_TCP_SYN ? MSS_BYTES : 0,
        .payload = (const uint8_t *)payload,
        .payload_bytes = payload != NULL ? sizeof(*payload) : 0,
    };

    SlWorldFlow_Address(index, port_generation(world, flow), &segment.source);
    SlWorld_Spray(world, bytes,
                  SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

static void
send_datagram(struct SlWorld *world, uint32_t index,
              const struct SlWorldPayload *payload)
{
    struct SlWorldFlow *flow = &world->flows[index];
    uint8_t bytes[WORLD_PACKET_BYTES];
    struct SlAddress caller;
    uint32_t length_bytes;

    SlWorldFlow_Address(index, port_generation(world, flow), &caller);
    length_bytes = SlPacket_BuildUdp(
        &caller, &world->services[flow->service].address,
        (const uint8_t *)payload, sizeof(*payload), bytes, sizeof(bytes));
    SlWorld_Spray(world, bytes, length_bytes);
}

static bool
is_tcp(const struct SlWorld *world, const struct SlWorldFlow *flow)
{
    return world->services[flow->service].protocol == IPPROTO_TCP;
}

static void
send_present(struct SlWorld *world, uint32_t index)
{
    struct SlWorldFlow *flow = &world->flows[index];
    const struct SlWorldPayload payload = {
        .flow = index,
        .generation = flow->generation,
        .request = flow->request,
        .service = flow->service,
    };

    if (flow->state == FLOW_OPENING) {
        send_segment(world, index, SL_TCP_SYN, flow->caller_isn, NULL);
    }
    else if (flow->state == FLOW_CLOSING) {
        send_segment(world, index, SL_TCP_FIN | SL_TCP_ACK, flow->caller_seq,
                     NULL);
    }
    else if (is_tcp(world, flow)) {
        send_segment(world, index, SL_TCP_PSH | SL_TCP_ACK, flow->caller_seq,
                     &payload);
    }
    else {
        send_datagram(world, index, &payload);
    }
    set_timer(world, index, RESEND_US);
}

static void
enter(struct SlWorld *world, uint32_t index, enum SlWorldFlowState state)
{
    world->flows[index].state = (uint8_t)state;
    world->flows[index].resends = 0;
    send_present(world, index);
}

static void
start_flow(struct SlWorld *world, uint32_t index)
{
    struct SlWorldFlow *flow = &world->flows[index];

    if (flow->upstream_open) {
        world->nodes[flow->holder].upstream.open_flows--;
        flow->upstream_open = false;
    }
    world->counts.flows++;
    if (!flow->wanted) {
        SlWorld_Window(world)->asked++;
    }
    flow->wanted = false;
    flow->generation++;
    flow->established = false;
    flow->lost = false;
    flow->muted = false;
    flow->holder = WORLD_NODES_MAX;
    flow->executed = 0;
    flow->answered = 0;
    flow->request = 1;
    flow->requests_left = flow->requests;
    flow->caller_isn = world->reuse ? flow->caller_seq + REUSED_SEQ_STEP
                                    : SlWorld_Random(world, 1U << 30);
    flow->caller_seq = flow->caller_isn + 1;
    enter(world, index, is_tcp(world, flow) ? FLOW_OPENING : FLOW_ASKING);
}

static void
end_flow(struct SlWorld *world, uint32_t index)
{
    struct SlWorldFlow *flow = &world->flows[index];

    flow->state = FLOW_IDLE;
    set_timer(world, index, BACK_OFF_US + SlWorld_Random(world, BACK_OFF_US));
}

static bool
zone_was_out(const struct SlWorld *world, const struct SlWorldFlow *flow)
{
    uint32_t zone;

    if (flow->holder == WORLD_NODES_MAX) {
        return false;
    }
    zone = world->nodes[flow->holder].zone;
    return world->zone_out_us[zone] != 0 ||
           (world->zone_back_us[zone] != 0 &&
            world->now_us - world->zone_back_us[zone] < ZONE_AFTER_US);
}

static void
fail_flow(struct SlWorld *world, uint32_t index, bool silent)
{
    struct SlWorldFlow *flow = &world->flows[index];
    struct SlWorldCounts *counts = &world->counts;

    if (!flow->established) {
        *(silent ? &counts->timed_out : &counts->refused) += 1;
        SlWorld_Window(world)->refused++;
    }
    else if (flow->muted) {
        counts->silent_reset += !silent;
    }
    else if (flow->lost) {
        counts->lost_upstream++;
        SlWorld_Window(world)->reset++;
    }
    else if (zone_was_out(world, flow)) {
        counts->given_up++;
        SlWorld_Window(world)->reset++;
    }
    else {
        counts->broken++;
        *(silent ? &counts->broken_silent : &counts->broken_reset) += 1;
        SlWorld_Window(world)->reset++;
        if (world->log != NULL) {
            fprintf((FILE *)world->log,
                    "BROKEN t=%.6f flow=%u generation=%u holder=%s state=%u "
                    "silent=%d\n",
                    (double)world->now_us / 1e6, index, flow->generation,
                    flow->holder < world->node_count
                        ? world->nodes[flow->holder].name
                        : "-",
                    flow->state, silent);
        }
    }
    SlWorld_Window(world)->asked++;
    flow->wanted = true;
    end_flow(world, index);
}

void
SlWorldFlow_Timer(struct SlWorld *world, uint32_t index, uint64_t timer)
{
    struct SlWorldFlow *flow = &world->flows[index];
    uint32_t resends_max = flow->muted ? MUTED_RESENDS_MAX : RESENDS_MAX;

    if (timer != flow->timer || flow->state == FLOW_GONE) {
        return;
    }
    if (flow->state == FLOW_IDLE) {
        start_flow(world, index);
    }
    else if (flow->state == FLOW_THINKING) {
        if (flow->idle) {
            return;
        }
        if (!flow->forever && --flow->requests_left == 0) {
            if (is_tcp(world, flow)) {
                enter(world, index, FLOW_CLOSING);
            }
            else {
                end_flow(world, index);
            }
            return;
        }
        flow->request++;
        SlWorld_Window(world)->asked++;
        enter(world, index, FLOW_ASKING);
    }
    else if (flow->resends == resends_max) {
        if (flow->state == FLOW_CLOSING) {
            end_flow(world, index);
        }
        else {
            fail_flow(world, index, true);
        }
    }
    else {
        flow->resends++;
        world->counts.resends++;
        send_present(world, index);
    }
}

static void
take_answer(struct SlWorld *world, uint32_t index,
            const struct SlWorldPayload *payload)
{
    struct SlWorldFlow *flow = &world->flows[index];

    flow->established = true;
    if (flow->state != FLOW_ASKING || payload->request != flow->request) {
        return;
    }
    world->counts.answers++;
    SlWorld_Window(world)->served++;
    flow->state = FLOW_THINKING;
    set_timer(world, index,
              500ULL * flow->think_ms +
                  SlWorld_Random(world, 1000 * flow->think_ms + 1));
}

/// As a kernel judges it (RFC 9293, 3.10.7): a reset out of the window is
/// somebody else's.
static bool
reset_fits(const struct SlWorldFlow *flow, const struct SlPacket *packet)
{
    if (flow->state == FLOW_OPENING) {
        return packet->tcp_ack == flow->caller_seq;
    }
    return packet->tcp_seq - flow->caller_ack < WINDOW;
}

static void
take_segment(struct SlWorld *world, uint32_t index,
             const struct SlPacket *packet)
{
    struct SlWorldFlow *flow = &world->flows[index];
    struct SlWorldPayload payload;

    if (packet->tcp_flags & SL_TCP_RST) {
        if (reset_fits(flow, packet)) {
            fail_flow(world, index, false);
        }
    }
    else if (flow->state == FLOW_OPENING) {
        if (packet->tcp_flags & SL_TCP_SYN &&
            packet->tcp_ack == flow->caller_seq) {
            flow->caller_ack = packet->tcp_seq + 1;
            flow->established = true;
            send_segment(world, index, SL_TCP_ACK, flow->caller_seq, NULL);
            enter(world, index, FLOW_ASKING);
        }
    }
    else if (packet->tcp_flags & SL_TCP_FIN) {
        flow->caller_ack = packet->tcp_seq + 1;
        flow->caller_seq++;
        send_segment(world, index, SL_TCP_ACK, flow->caller_seq, NULL);
        end_flow(world, index);
    }
    else if (packet->payload_bytes == sizeof(payload) &&
             packet->tcp_seq == flow->caller_ack) {
        flow->caller_ack += sizeof(payload);
        flow->caller_seq += sizeof(payload);
        send_segment(world, index, SL_TCP_ACK, flow->caller_seq, NULL);
        memcpy(&payload, packet->bytes + packet->payload_offset,
               sizeof(payload));
        take_answer(world, index, &payload);
    }
}

/// A kernel answers a segment of no connection with a reset.
static void
reject(struct SlWorld *world, const struct SlPacket *packet)
{
    uint8_t bytes[WORLD_PACKET_BYTES];
    uint32_t length_bytes = SlPacket_BuildReset(packet, bytes, sizeof(bytes));

    if (length_bytes > 0) {
        SlWorld_Spray(world, bytes, length_bytes);
    }
}

/// True when the segment cannot be of the connection that the caller has.
static bool
is_stale(const struct SlWorldFlow *flow, const struct SlPacket *packet)
{
    return packet->kind == SL_PACKET_TCP &&
           (flow->state == FLOW_IDLE || (flow->state == FLOW_OPENING &&
                                         packet->tcp_ack != flow->caller_seq &&
                                         !(packet->tcp_flags & SL_TCP_RST)));
}

void
SlWorldFlow_Take(struct SlWorld *world, const uint8_t *bytes,
                 uint32_t length_bytes)
{
    struct SlPacket packet;
    struct SlAddress own;
    struct SlWorldFlow *flow;
    struct SlWorldPayload payload;
    uint32_t index;

    if (SlPacket_Parse(bytes, length_bytes, &packet) != SL_OK) {
        return;
    }
    own = packet.kind == SL_PACKET_ICMP_ERROR ? packet.quoted_source
                                              : packet.destination;
    index = SlWorldFlow_Find(world, &own);
    if (index >= world->flow_count) {
        return;
    }
    flow = &world->flows[index];
    SlWorldFlow_Address(index, port_generation(world, flow),
                        &packet.quoted_destination);
    if (own.port == packet.quoted_destination.port &&
        is_stale(flow, &packet)) {
        reject(world, &packet);
        return;
    }
    if (own.port != packet.quoted_destination.port ||
        flow->state == FLOW_IDLE || flow->state == FLOW_GONE) {
        return;
    }
    if (packet.kind == SL_PACKET_ICMP_ERROR) {
        fail_flow(world, index, false);
    }
    else if (packet.kind == SL_PACKET_TCP) {
        take_segment(world, index, &packet);
    }
    else if (packet.payload_bytes == sizeof(payload)) {
        memcpy(&payload, bytes + packet.payload_offset, sizeof(payload));
        if (payload.generation == flow->generation) {
            take_answer(world, index, &payload);
        }
    }
}

void
SlWorldFlows_Add(struct SlWorld *world, uint32_t service, uint32_t count,
                 bool forever, uint32_t requests, uint32_t think_ms,
                 uint64_t over_us)
{
    for (uint32_t i = 0; i < count; i++) {
        uint32_t index = world->flow_count++;
        struct SlWorldFlow *flow = &world->flows[index];

        assert(index < WORLD_FLOWS_MAX);
        flow->service = (uint8_t)service;
        flow->forever = forever;
        flow->requests = (uint16_t)requests;
        flow->think_ms = think_ms;
        flow->holder = WORLD_NODES_MAX;
        flow->modulo = WORLD_NODES_MAX;
        flow->rendezvous = WORLD_NODES_MAX;
        set_timer(
            world, index,
            1 + (over_us > 0 ? SlWorld_Random(world, (uint32_t)over_us) : 0));
    }
}
