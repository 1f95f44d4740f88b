/// Packets from the upstream: they update their flow and are returned to the
/// caller.

#include "agent_upstream.h"
#include "agent_core.h"
#include "agent_flow.h"
#include "agent_forward.h"
#include "agent_locate.h"
#include "agent_refuse.h"
#include "agent_timer.h"
#include "agent_track.h"

#include <netinet/in.h>

enum {
    /// A connection is idle after this long without packets.
    IDLE_CONNECTION_MS = 1000,
};

/// Ends the exchange in progress on the upstream's first payload.
static void
record_answer(const struct agent_call *call, struct SlFlow *flow,
              const struct SlPacket *packet)
{
    if (!agent_has_payload(packet)) {
        return;
    }
    flow->flags |= SL_FLOW_ANSWERED;
    if (flow->flags & (SL_FLOW_IN_EXCHANGE | SL_FLOW_REQUEST_DELIVERED)) {
        agent_admission_end_exchange(call, flow);
    }
    if (flow->flags & SL_FLOW_REQUEST_DELIVERED) {
        agent_admission_count_awaiting_answer(call, false);
    }
    flow->flags &=
        (uint16_t) ~(SL_FLOW_IN_EXCHANGE | SL_FLOW_REQUEST_DELIVERED);
}

/// Ends the handshake of a UDP flow on the upstream's first datagram.
static void
complete_udp_handshake(struct SlFlow *flow, const struct SlPacket *packet)
{
    if (packet->kind == SL_PACKET_UDP && (flow->flags & SL_FLOW_HANDSHAKE)) {
        flow->flags &= (uint16_t)~SL_FLOW_HANDSHAKE;
    }
}

static void
record_failure(const struct agent_call *call, const struct SlFlow *flow)
{
    if (flow->flags & (SL_FLOW_HANDSHAKE | SL_FLOW_REQUEST_DELIVERED)) {
        agent_admission_record_failure(call, "reset");
    }
}

/// Returns true when the upstream closes or resets a connection that its
/// caller did not close, while a request is in progress or the connection is
/// idle. A close right after an answer is an ordinary one.
static bool
is_connection_lost(const struct agent_call *call, const struct SlFlow *flow,
                   const struct SlPacket *packet)
{
    const uint16_t closing =
        SL_FLOW_CALLER_FIN | SL_FLOW_UPSTREAM_FIN | SL_FLOW_HANDSHAKE;

    if (packet->kind != SL_PACKET_TCP || (flow->flags & closing) ||
        !(packet->tcp_flags & (SL_TCP_FIN | SL_TCP_RST))) {
        return false;
    }
    return (flow->flags & SL_FLOW_REQUEST_DELIVERED) ||
           agent_elapsed_ms(call->now_ms, flow->last_packet_ms) >=
               IDLE_CONNECTION_MS;
}

static void
return_for_open_flow(const struct agent_call *call, struct SlFlowShard *shard,
                     struct SlFlow *flow, const struct SlPacket *packet)
{
    bool is_reset =
        packet->kind == SL_PACKET_TCP && (packet->tcp_flags & SL_TCP_RST);
    bool had_unacked = agent_has_unacked_payload(flow);

    if (is_connection_lost(call, flow, packet)) {
        agent_admission_record_lost_connection(call);
    }
    agent_track_upstream_packet(flow, packet, call->now_ms);
    agent_count_unacked(call->agent, flow, had_unacked);
    complete_udp_handshake(flow, packet);
    agent_increment_counter(call->agent, COUNT_RETURNED);
    agent_return_packet(call, flow->service_id, flow->holder, packet->bytes,
                        packet->length_bytes);
    if (is_reset || (packet->kind == SL_PACKET_ICMP_ERROR &&
                     flow->key.protocol == IPPROTO_UDP)) {
        record_failure(call, flow);
        agent_end_flow(call, shard, flow, "upstream_reset");
        return;
    }
    record_answer(call, flow, packet);
    if (agent_is_flow_closed(flow)) {
        agent_end_flow(call, shard, flow, "closed");
        return;
    }
    if (!(flow->flags & SL_FLOW_HANDSHAKE)) {
        agent_schedule_flow(call, shard, flow);
    }
}

static void
return_for_ended_flow(const struct agent_call *call, const struct SlFlow *flow,
                      const struct SlPacket *packet)
{
    if (flow->flags & SL_FLOW_WAS_RESET) {
        agent_reset_upstream(call, packet);
        return;
    }
    agent_increment_counter(call->agent, COUNT_RETURNED);
    agent_return_packet(call, flow->service_id, flow->holder, packet->bytes,
                        packet->length_bytes);
}

/// Returns true for a packet from the middle of a connection. It proves that
/// the upstream has the connection, however long ago this process started.
static bool
is_mid_connection(const struct SlPacket *packet)
{
    return packet->kind == SL_PACKET_TCP && (packet->tcp_flags & SL_TCP_ACK) &&
           !(packet->tcp_flags & (SL_TCP_SYN | SL_TCP_RST));
}

static void
handle_unknown_flow(const struct agent_call *call, struct SlFlowShard *shard,
                    struct SlFlow *flow, const struct SlFlowKey *key,
                    const struct SlPacket *packet)
{
    const struct SlRouteService *service =
        SlRouting_FindService(call->routing, &key->service, key->protocol);
    bool serves = agent_serves_service(call, service);

    if (serves && packet->kind == SL_PACKET_UDP && flow == NULL) {
        agent_increment_counter(call->agent, COUNT_RETURNED);
        agent_return_packet(call, service->service_id, 0, packet->bytes,
                            packet->length_bytes);
        return;
    }
    if (flow != NULL && flow->kind == SL_FLOW_PENDING &&
        packet->kind == SL_PACKET_TCP && (packet->tcp_flags & SL_TCP_RST)) {
        agent_locate_upstream_denied(call, flow);
        return;
    }
    if (flow != NULL && flow->kind == SL_FLOW_PROBED) {
        if (!is_mid_connection(packet)) {
            return;
        }
        SlFlowShard_Remove(shard, flow);
        flow = NULL;
    }
    if (!serves || !is_mid_connection(packet) ||
        atomic_load(&call->agent->zone_out) ||
        (flow != NULL && flow->kind != SL_FLOW_PENDING)) {
        agent_reset_upstream(call, packet);
        return;
    }
    if (flow != NULL) {
        agent_locate_adopt_flow(call, shard, flow, service);
        flow = SlFlowShard_Find(shard, key);
    }
    else {
        flow = agent_adopt_flow(call, shard, key, service, 0);
    }
    if (flow != NULL && flow->kind == SL_FLOW_OPEN) {
        return_for_open_flow(call, shard, flow, packet);
    }
}

void
agent_handle_upstream(const struct agent_call *call, const uint8_t *bytes,
                      uint32_t length_bytes)
{
    struct SlFlowShard *shard;
    struct SlFlow *flow;
    struct SlPacket packet;
    struct SlFlowKey key;

    if (call->routing == NULL ||
        SlPacket_Parse(bytes, length_bytes, &packet) != SL_OK) {
        agent_report_drop(call, NULL, "upstream_packet");
        return;
    }
    if (packet.kind == SL_PACKET_FRAGMENT &&
        !agent_fragment_parse_first(&packet)) {
        agent_fragments_return_later(call, &packet);
        return;
    }
    SlPacket_FlowKeyFromUpstream(&packet, &key);
    shard = SlFlowTable_Lock(call->agent->table, &key);
    flow = SlFlowShard_Find(shard, &key);
    if (flow != NULL && flow->kind == SL_FLOW_OPEN) {
        agent_fragments_record_first(call, &packet, flow);
        return_for_open_flow(call, shard, flow, &packet);
    }
    else if (flow != NULL && flow->kind == SL_FLOW_ENDED) {
        return_for_ended_flow(call, flow, &packet);
    }
    else {
        handle_unknown_flow(call, shard, flow, &key, &packet);
    }
    SlFlowShard_Unlock(shard);
}
