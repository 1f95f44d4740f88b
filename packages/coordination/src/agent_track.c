/// Tracks the state of a flow by its packets: sequence numbers, payload that
/// waits for an acknowledgement or answer, and the closing of both sides.

#include "agent_track.h"
#include "agent_core.h"

#include <netinet/in.h>

enum {
    /// Sequence numbers up to this far behind the last acknowledgement are
    /// still accepted.
    ACCEPTED_BEHIND_BYTES = 1 << 30,
    REPEATS_MAX = 255,
};

/// Returns the signed distance from sequence number b to a, modulo 2^32.
static int32_t
sequence_distance(uint32_t a, uint32_t b)
{
    return (int32_t)(a - b);
}

static uint32_t
sequence_end(const struct SlPacket *packet)
{
    return packet->tcp_seq + packet->payload_bytes +
           (packet->tcp_flags & SL_TCP_SYN ? 1 : 0) +
           (packet->tcp_flags & SL_TCP_FIN ? 1 : 0);
}

static bool
is_ack_plausible(const struct SlFlow *flow, const struct SlPacket *packet)
{
    int32_t ahead;

    if (!(packet->tcp_flags & SL_TCP_ACK) || (flow->flags & SL_FLOW_ADOPTED)) {
        return true;
    }
    if (!(flow->flags & SL_FLOW_UPSTREAM_SEEN)) {
        return (packet->tcp_flags & SL_TCP_RST) != 0;
    }
    ahead = sequence_distance(packet->tcp_ack, flow->upstream_next);
    return ahead <= 0 && ahead >= -AGENT_WINDOW_BYTES;
}

bool
agent_is_plausible_packet(const struct SlFlow *flow,
                          const struct SlPacket *packet)
{
    if (packet->kind != SL_PACKET_TCP ||
        !(flow->flags & SL_FLOW_CALLER_SEEN)) {
        return true;
    }
    if (agent_is_opening_packet(packet)) {
        return !(flow->flags & SL_FLOW_HANDSHAKE) ||
               sequence_distance(packet->tcp_seq, flow->caller_min) >= 0;
    }
    return sequence_distance(packet->tcp_seq, flow->caller_min) >= 0 &&
           sequence_distance(packet->tcp_seq, flow->caller_next) <=
               AGENT_WINDOW_BYTES &&
           is_ack_plausible(flow, packet);
}

/// Returns the time to store as the start of a wait. 0 is replaced by 1,
/// because 0 stands for "no wait".
static uint32_t
wait_start_ms(uint32_t now_ms)
{
    return now_ms == 0 ? 1 : now_ms;
}

static void
increment_repeats(uint8_t *repeats)
{
    if (*repeats < REPEATS_MAX) {
        (*repeats)++;
    }
}

static void
start_caller_sequence(struct SlFlow *flow, const struct SlPacket *packet)
{
    flow->caller_min = packet->tcp_seq;
    if (flow->flags & SL_FLOW_ADOPTED) {
        flow->caller_min -= AGENT_WINDOW_BYTES;
    }
    flow->caller_next = packet->tcp_seq;
    if (!(flow->flags & SL_FLOW_UPSTREAM_SEEN)) {
        flow->caller_acked = packet->tcp_seq;
    }
    flow->flags |= SL_FLOW_CALLER_SEEN;
}

/// Updates the flow by the caller's acknowledgement.
static void
record_caller_ack(struct SlFlow *flow, const struct SlPacket *packet,
                  uint32_t now_ms)
{
    if (!(packet->tcp_flags & SL_TCP_ACK) ||
        !(flow->flags & SL_FLOW_UPSTREAM_SEEN) ||
        sequence_distance(packet->tcp_ack, flow->upstream_acked) <= 0) {
        return;
    }
    flow->upstream_acked = packet->tcp_ack;
    flow->upstream_repeats = 0;
    if (sequence_distance(flow->upstream_acked, flow->upstream_next) < 0) {
        flow->upstream_wait_start_ms = wait_start_ms(now_ms);
        return;
    }
    flow->upstream_wait_start_ms = 0;
    if (flow->flags & SL_FLOW_UPSTREAM_FIN) {
        flow->flags |= SL_FLOW_UPSTREAM_FIN_ACKED;
    }
}

static bool
track_caller_udp(struct SlFlow *flow, uint32_t now_ms)
{
    if (flow->caller_wait_start_ms == 0) {
        flow->caller_wait_start_ms = wait_start_ms(now_ms);
        flow->caller_repeats = 0;
    }
    increment_repeats(&flow->caller_repeats);
    return true;
}

bool
agent_track_caller_packet(struct SlFlow *flow, const struct SlPacket *packet,
                          uint32_t now_ms)
{
    uint32_t end = sequence_end(packet);
    bool opening = agent_is_opening_packet(packet);
    bool is_new;

    flow->last_packet_ms = now_ms;
    if (packet->kind != SL_PACKET_TCP) {
        return packet->kind == SL_PACKET_UDP && track_caller_udp(flow, now_ms);
    }
    if (opening && !(flow->flags & SL_FLOW_HANDSHAKE) &&
        (flow->flags & SL_FLOW_CALLER_SEEN)) {
        return false;
    }
    if (!(flow->flags & SL_FLOW_CALLER_SEEN) ||
        (opening && packet->tcp_seq != flow->caller_min)) {
        start_caller_sequence(flow, packet);
    }
    record_caller_ack(flow, packet, now_ms);
    if (packet->tcp_flags & SL_TCP_RST) {
        return false;
    }
    is_new = sequence_distance(end, flow->caller_next) > 0;
    if (packet->payload_bytes != 0 && !is_new) {
        increment_repeats(&flow->caller_repeats);
    }
    if (!is_new) {
        return false;
    }
    flow->caller_next = end;
    flow->flags |= packet->tcp_flags & SL_TCP_FIN ? SL_FLOW_CALLER_FIN : 0;
    if (packet->payload_bytes != 0 && flow->caller_wait_start_ms == 0) {
        flow->caller_wait_start_ms = wait_start_ms(now_ms);
        flow->caller_repeats = 0;
    }
    return packet->payload_bytes != 0;
}

/// Updates the flow by the upstream's acknowledgement.
static void
record_upstream_ack(struct SlFlow *flow, const struct SlPacket *packet,
                    uint32_t now_ms)
{
    if (!(packet->tcp_flags & SL_TCP_ACK)) {
        return;
    }
    if (!(flow->flags & SL_FLOW_CALLER_SEEN)) {
        flow->caller_acked = packet->tcp_ack;
        return;
    }
    if (sequence_distance(packet->tcp_ack, flow->caller_acked) <= 0) {
        return;
    }
    flow->caller_acked = packet->tcp_ack;
    flow->caller_repeats = 0;
    if (sequence_distance(flow->caller_acked, flow->caller_min) >
        ACCEPTED_BEHIND_BYTES) {
        flow->caller_min = flow->caller_acked - ACCEPTED_BEHIND_BYTES;
    }
    if (sequence_distance(flow->caller_acked, flow->caller_next) < 0) {
        flow->caller_wait_start_ms =
            flow->caller_wait_start_ms != 0 ? wait_start_ms(now_ms) : 0;
        return;
    }
    flow->caller_wait_start_ms = 0;
    if (flow->flags & SL_FLOW_CALLER_FIN) {
        flow->flags |= SL_FLOW_CALLER_FIN_ACKED;
    }
}

static void
track_upstream_tcp(struct SlFlow *flow, const struct SlPacket *packet,
                   uint32_t now_ms)
{
    uint32_t end = sequence_end(packet);

    if (!(flow->flags & SL_FLOW_UPSTREAM_SEEN)) {
        flow->upstream_next = packet->tcp_seq;
        flow->upstream_acked = packet->tcp_seq;
    }
    record_upstream_ack(flow, packet, now_ms);
    if (packet->tcp_flags & SL_TCP_RST) {
        return;
    }
    flow->flags |= SL_FLOW_UPSTREAM_SEEN;
    flow->flags |= packet->tcp_flags & SL_TCP_SYN ? SL_FLOW_SYN_ACKED : 0;
    if (sequence_distance(end, flow->upstream_next) <= 0) {
        if (packet->payload_bytes != 0) {
            increment_repeats(&flow->upstream_repeats);
        }
        return;
    }
    flow->upstream_next = end;
    flow->flags |= packet->tcp_flags & SL_TCP_FIN ? SL_FLOW_UPSTREAM_FIN : 0;
    if (packet->payload_bytes != 0 && flow->upstream_wait_start_ms == 0) {
        flow->upstream_wait_start_ms = wait_start_ms(now_ms);
        flow->upstream_repeats = 0;
    }
}

void
agent_track_upstream_packet(struct SlFlow *flow, const struct SlPacket *packet,
                            uint32_t now_ms)
{
    flow->last_packet_ms = now_ms;
    if (packet->kind == SL_PACKET_UDP) {
        flow->caller_wait_start_ms = 0;
        flow->caller_repeats = 0;
    }
    if (packet->kind == SL_PACKET_TCP) {
        track_upstream_tcp(flow, packet, now_ms);
    }
}

bool
agent_has_unacked_payload(const struct SlFlow *flow)
{
    return flow->key.protocol == IPPROTO_TCP &&
           (flow->caller_wait_start_ms != 0 ||
            flow->upstream_wait_start_ms != 0);
}

void
agent_count_unacked(struct SlAgent *agent, const struct SlFlow *flow,
                    bool had_unacked)
{
    bool has_unacked = agent_has_unacked_payload(flow);

    if (has_unacked && !had_unacked) {
        atomic_fetch_add(&agent->admission.unacked_flows, 1);
    }
    if (had_unacked && !has_unacked) {
        atomic_fetch_sub(&agent->admission.unacked_flows, 1);
    }
}

bool
agent_is_flow_closed(const struct SlFlow *flow)
{
    const uint16_t both =
        SL_FLOW_CALLER_FIN_ACKED | SL_FLOW_UPSTREAM_FIN_ACKED;

    return (flow->flags & both) == both;
}
