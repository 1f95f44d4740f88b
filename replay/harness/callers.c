/// Callers: TCP and UDP endpoints that open flows, send requests, wait for a
/// think time, resend and close, and count how their flows end.

#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "payload.h"
#include "simulation.h"

enum {
    RESEND_US = 1000 * 1000,
    RESENDS_MAX = 6,
    /// A caller of a muted flow waits longer, so that the system can detect
    /// the silent upstream.
    MUTED_RESENDS_MAX = 60,
    RETRY_DELAY_US = 500 * 1000,
    /// Time after a zone's return in which the end of a flow still counts as
    /// caused by the zone's departure.
    ZONE_GRACE_US = 10 * 1000 * 1000,
    FIRST_PORT = 1024,
    PORT_COUNT = 60000,
    /// Growth of an initial sequence number in half a second (RFC 9293,
    /// section 3.4.1).
    REUSED_SEQ_STEP = 1 << 27,
    WINDOW = 65535,
    MSS_BYTES = 1460,
};

void
SlSimFlow_CallerAddress(uint32_t index, uint16_t generation,
                        struct SlAddress *address)
{
    memset(address, 0, sizeof(*address));
    address->ip[10] = 0xff;
    address->ip[11] = 0xff;
    address->ip[12] = 10;
    address->ip[13] = (uint8_t)(index >> 16);
    address->ip[14] = (uint8_t)(index >> 8);
    address->ip[15] = (uint8_t)index;
    address->port = (uint16_t)(FIRST_PORT + generation % PORT_COUNT);
}

uint32_t
SlSimFlow_Find(const struct SlSim *sim, const struct SlAddress *caller)
{
    uint32_t index = (uint32_t)caller->ip[13] << 16 |
                     (uint32_t)caller->ip[14] << 8 | caller->ip[15];

    if (!SlAddress_IsIpv4(caller) || caller->ip[12] != 10 ||
        index >= sim->flow_count) {
        return SIM_FLOWS_MAX;
    }
    return index;
}

static void
set_timer(struct SlSim *sim, uint32_t index, uint64_t delay_us)
{
    struct SlSimFlow *flow = &sim->flows[index];

    flow->timer_id++;
    SlSimQueue_Push(&sim->queue, (struct SlSimEvent){
                                     .time_us = sim->now_us + delay_us,
                                     .kind = SIM_FLOW_TIMER,
                                     .target = index,
                                     .number = flow->timer_id,
                                 });
}

static uint16_t
port_generation(const struct SlSim *sim, const struct SlSimFlow *flow)
{
    return sim->reuse_ports ? 0 : flow->generation;
}

static void
send_segment(struct SlSim *sim, uint32_t index, uint8_t flags, uint32_t seq,
             const struct SlSimPayload *payload)
{
    struct SlSimFlow *flow = &sim->flows[index];
    uint8_t bytes[SIM_PACKET_BYTES];
    struct SlTcpSegment segment = {
        .destination = sim->services[flow->service].address,
        .flags = flags,
        .seq = seq,
        .ack = flags & SL_TCP_ACK ? flow->caller_ack : 0,
        .window = WINDOW,
        .mss_bytes = flags & SL_TCP_SYN ? MSS_BYTES : 0,
        .payload = (const uint8_t *)payload,
        .payload_bytes = payload != NULL ? sizeof(*payload) : 0,
    };

    SlSimFlow_CallerAddress(index, port_generation(sim, flow),
                            &segment.source);
    SlSim_SprayPacket(sim, bytes,
                      SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

static void
send_datagram(struct SlSim *sim, uint32_t index,
              const struct SlSimPayload *payload)
{
    struct SlSimFlow *flow = &sim->flows[index];
    uint8_t bytes[SIM_PACKET_BYTES];
    struct SlAddress caller;
    uint32_t length_bytes;

    SlSimFlow_CallerAddress(index, port_generation(sim, flow), &caller);
    length_bytes = SlPacket_BuildUdp(
        &caller, &sim->services[flow->service].address,
        (const uint8_t *)payload, sizeof(*payload), bytes, sizeof(bytes));
    SlSim_SprayPacket(sim, bytes, length_bytes);
}

static bool
is_tcp(const struct SlSim *sim, const struct SlSimFlow *flow)
{
    return sim->services[flow->service].protocol == IPPROTO_TCP;
}

static void
send_current_packet(struct SlSim *sim, uint32_t index)
{
    struct SlSimFlow *flow = &sim->flows[index];
    const struct SlSimPayload payload = {
        .flow = index,
        .generation = flow->generation,
        .request = flow->request,
        .service = flow->service,
    };

    if (flow->state == FLOW_OPENING) {
        send_segment(sim, index, SL_TCP_SYN, flow->caller_isn, NULL);
    }
    else if (flow->state == FLOW_CLOSING) {
        send_segment(sim, index, SL_TCP_FIN | SL_TCP_ACK, flow->caller_seq,
                     NULL);
    }
    else if (is_tcp(sim, flow)) {
        send_segment(sim, index, SL_TCP_PSH | SL_TCP_ACK, flow->caller_seq,
                     &payload);
    }
    else {
        send_datagram(sim, index, &payload);
    }
    set_timer(sim, index, RESEND_US);
}

static void
enter_state(struct SlSim *sim, uint32_t index, enum SlSimFlowState state)
{
    sim->flows[index].state = (uint8_t)state;
    sim->flows[index].resends = 0;
    send_current_packet(sim, index);
}

static void
start_flow(struct SlSim *sim, uint32_t index)
{
    struct SlSimFlow *flow = &sim->flows[index];

    if (flow->upstream_open) {
        sim->nodes[flow->holder].upstream.open_flows--;
        flow->upstream_open = false;
    }
    sim->counts.flows++;
    if (!flow->is_retry) {
        SlSim_CurrentWindow(sim)->requested++;
    }
    flow->is_retry = false;
    flow->generation++;
    flow->established = false;
    flow->upstream_lost = false;
    flow->muted = false;
    flow->holder = SIM_NODES_MAX;
    flow->last_executed_request = 0;
    flow->last_answered_request = 0;
    flow->request = 1;
    flow->requests_left = flow->requests;
    flow->caller_isn = sim->reuse_ports ? flow->caller_seq + REUSED_SEQ_STEP
                                        : SlSim_Random(sim, 1U << 30);
    flow->caller_seq = flow->caller_isn + 1;
    enter_state(sim, index,
                is_tcp(sim, flow) ? FLOW_OPENING : FLOW_AWAITING_ANSWER);
}

static void
end_flow(struct SlSim *sim, uint32_t index)
{
    struct SlSimFlow *flow = &sim->flows[index];

    flow->state = FLOW_IDLE;
    set_timer(sim, index, RETRY_DELAY_US + SlSim_Random(sim, RETRY_DELAY_US));
}

static bool
was_zone_out_recently(const struct SlSim *sim, const struct SlSimFlow *flow)
{
    uint32_t zone;

    if (flow->holder == SIM_NODES_MAX) {
        return false;
    }
    zone = sim->nodes[flow->holder].zone;
    return sim->zone_out_us[zone] != 0 ||
           (sim->zone_back_us[zone] != 0 &&
            sim->now_us - sim->zone_back_us[zone] < ZONE_GRACE_US);
}

static void
fail_flow(struct SlSim *sim, uint32_t index, bool silent)
{
    struct SlSimFlow *flow = &sim->flows[index];
    struct SlSimCounts *counts = &sim->counts;

    if (!flow->established) {
        *(silent ? &counts->timed_out : &counts->refused) += 1;
        SlSim_CurrentWindow(sim)->refused++;
    }
    else if (flow->muted) {
        counts->silent_reset += !silent;
    }
    else if (flow->upstream_lost) {
        counts->lost_upstream++;
        SlSim_CurrentWindow(sim)->reset++;
    }
    else if (was_zone_out_recently(sim, flow)) {
        counts->given_up++;
        SlSim_CurrentWindow(sim)->reset++;
    }
    else {
        counts->broken++;
        *(silent ? &counts->broken_silent : &counts->broken_reset) += 1;
        SlSim_CurrentWindow(sim)->reset++;
        if (sim->log != NULL) {
            fprintf((FILE *)sim->log,
                    "BROKEN t=%.6f flow=%u generation=%u holder=%s state=%u "
                    "silent=%d\n",
                    (double)sim->now_us / 1e6, index, flow->generation,
                    flow->holder < sim->node_count
                        ? sim->nodes[flow->holder].name
                        : "-",
                    flow->state, silent);
        }
    }
    SlSim_CurrentWindow(sim)->requested++;
    flow->is_retry = true;
    end_flow(sim, index);
}

void
SlSimFlow_HandleTimer(struct SlSim *sim, uint32_t index, uint64_t timer_id)
{
    struct SlSimFlow *flow = &sim->flows[index];
    uint32_t resends_max = flow->muted ? MUTED_RESENDS_MAX : RESENDS_MAX;

    if (timer_id != flow->timer_id || flow->state == FLOW_GONE) {
        return;
    }
    if (flow->state == FLOW_IDLE) {
        start_flow(sim, index);
    }
    else if (flow->state == FLOW_THINKING) {
        if (flow->idle) {
            return;
        }
        if (!flow->forever && --flow->requests_left == 0) {
            if (is_tcp(sim, flow)) {
                enter_state(sim, index, FLOW_CLOSING);
            }
            else {
                end_flow(sim, index);
            }
            return;
        }
        flow->request++;
        SlSim_CurrentWindow(sim)->requested++;
        enter_state(sim, index, FLOW_AWAITING_ANSWER);
    }
    else if (flow->resends == resends_max) {
        if (flow->state == FLOW_CLOSING) {
            end_flow(sim, index);
        }
        else {
            fail_flow(sim, index, true);
        }
    }
    else {
        flow->resends++;
        sim->counts.resends++;
        send_current_packet(sim, index);
    }
}

static void
receive_answer(struct SlSim *sim, uint32_t index,
               const struct SlSimPayload *payload)
{
    struct SlSimFlow *flow = &sim->flows[index];

    flow->established = true;
    if (flow->state != FLOW_AWAITING_ANSWER ||
        payload->request != flow->request) {
        return;
    }
    sim->counts.answers++;
    SlSim_CurrentWindow(sim)->served++;
    flow->state = FLOW_THINKING;
    set_timer(sim, index,
              500ULL * flow->think_ms +
                  SlSim_Random(sim, 1000 * flow->think_ms + 1));
}

/// Checks a reset as a kernel does (RFC 9293, section 3.10.7): a reset outside
/// the window does not belong to the connection.
static bool
is_reset_acceptable(const struct SlSimFlow *flow,
                    const struct SlPacket *packet)
{
    if (flow->state == FLOW_OPENING) {
        return packet->tcp_ack == flow->caller_seq;
    }
    return packet->tcp_seq - flow->caller_ack < WINDOW;
}

static void
receive_segment(struct SlSim *sim, uint32_t index,
                const struct SlPacket *packet)
{
    struct SlSimFlow *flow = &sim->flows[index];
    struct SlSimPayload payload;

    if (packet->tcp_flags & SL_TCP_RST) {
        if (is_reset_acceptable(flow, packet)) {
            fail_flow(sim, index, false);
        }
    }
    else if (flow->state == FLOW_OPENING) {
        if (packet->tcp_flags & SL_TCP_SYN &&
            packet->tcp_ack == flow->caller_seq) {
            flow->caller_ack = packet->tcp_seq + 1;
            flow->established = true;
            send_segment(sim, index, SL_TCP_ACK, flow->caller_seq, NULL);
            enter_state(sim, index, FLOW_AWAITING_ANSWER);
        }
    }
    else if (packet->tcp_flags & SL_TCP_FIN) {
        flow->caller_ack = packet->tcp_seq + 1;
        flow->caller_seq++;
        send_segment(sim, index, SL_TCP_ACK, flow->caller_seq, NULL);
        end_flow(sim, index);
    }
    else if (packet->payload_bytes == sizeof(payload) &&
             packet->tcp_seq == flow->caller_ack) {
        flow->caller_ack += sizeof(payload);
        flow->caller_seq += sizeof(payload);
        send_segment(sim, index, SL_TCP_ACK, flow->caller_seq, NULL);
        memcpy(&payload, packet->bytes + packet->payload_offset,
               sizeof(payload));
        receive_answer(sim, index, &payload);
    }
}

/// Answers with a reset, as a kernel answers a segment that belongs to no
/// connection.
static void
send_reset(struct SlSim *sim, const struct SlPacket *packet)
{
    uint8_t bytes[SIM_PACKET_BYTES];
    uint32_t length_bytes = SlPacket_BuildReset(packet, bytes, sizeof(bytes));

    if (length_bytes > 0) {
        SlSim_SprayPacket(sim, bytes, length_bytes);
    }
}

/// Returns true when the segment cannot belong to the caller's current
/// connection.
static bool
is_of_old_connection(const struct SlSimFlow *flow,
                     const struct SlPacket *packet)
{
    return packet->kind == SL_PACKET_TCP &&
           (flow->state == FLOW_IDLE || (flow->state == FLOW_OPENING &&
                                         packet->tcp_ack != flow->caller_seq &&
                                         !(packet->tcp_flags & SL_TCP_RST)));
}

void
SlSimFlow_Receive(struct SlSim *sim, const uint8_t *bytes,
                  uint32_t length_bytes)
{
    struct SlPacket packet;
    struct SlAddress caller;
    struct SlSimFlow *flow;
    struct SlSimPayload payload;
    uint32_t index;

    if (SlPacket_Parse(bytes, length_bytes, &packet) != SL_OK) {
        return;
    }
    caller = packet.kind == SL_PACKET_ICMP_ERROR ? packet.quoted_source
                                                 : packet.destination;
    index = SlSimFlow_Find(sim, &caller);
    if (index >= sim->flow_count) {
        return;
    }
    flow = &sim->flows[index];
    SlSimFlow_CallerAddress(index, port_generation(sim, flow),
                            &packet.quoted_destination);
    if (caller.port == packet.quoted_destination.port &&
        is_of_old_connection(flow, &packet)) {
        send_reset(sim, &packet);
        return;
    }
    if (caller.port != packet.quoted_destination.port ||
        flow->state == FLOW_IDLE || flow->state == FLOW_GONE) {
        return;
    }
    if (packet.kind == SL_PACKET_ICMP_ERROR) {
        fail_flow(sim, index, false);
    }
    else if (packet.kind == SL_PACKET_TCP) {
        receive_segment(sim, index, &packet);
    }
    else if (packet.payload_bytes == sizeof(payload)) {
        memcpy(&payload, bytes + packet.payload_offset, sizeof(payload));
        if (payload.generation == flow->generation) {
            receive_answer(sim, index, &payload);
        }
    }
}

void
SlSimFlows_Add(struct SlSim *sim, uint32_t service, uint32_t count,
               bool forever, uint32_t requests, uint32_t think_ms,
               uint64_t spread_us)
{
    for (uint32_t i = 0; i < count; i++) {
        uint32_t index = sim->flow_count++;
        struct SlSimFlow *flow = &sim->flows[index];

        assert(index < SIM_FLOWS_MAX);
        flow->service = (uint8_t)service;
        flow->forever = forever;
        flow->requests = (uint16_t)requests;
        flow->think_ms = think_ms;
        flow->holder = SIM_NODES_MAX;
        flow->modulo_node = SIM_NODES_MAX;
        flow->rendezvous_node = SIM_NODES_MAX;
        set_timer(
            sim, index,
            1 + (spread_us > 0 ? SlSim_Random(sim, (uint32_t)spread_us) : 0));
    }
}
