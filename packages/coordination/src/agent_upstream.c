/// Packets that come from the upstream: noted, and returned to the caller.

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
    /// A connection without packets for this long is idle.
    QUIET_MS = 1000,
};

/// The upstream's first answer ends the exchange in progress.
static void
note_answer(const struct agent_call *call, struct SlFlow *flow,
            const struct SlPacket *packet)
{
    if (!agent_has_payload(packet)) {
        return;
    }
    flow->flags |= SL_FLOW_ANSWERED;
    if (flow->flags & (SL_FLOW_IN_EXCHANGE | SL_FLOW_REQUEST_DELIVERED)) {
        agent_admission_answered(call, flow);
    }
    if (flow->flags & SL_FLOW_REQUEST_DELIVERED) {
        agent_admission_asked(call, false);
    }
    flow->flags &=
        (uint16_t) ~(SL_FLOW_IN_EXCHANGE | SL_FLOW_REQUEST_DELIVERED);
}

/// A UDP flow counts as a handshake until the upstream's first datagram.
static void
note_udp_handshake(struct SlFlow *flow, const struct SlPacket *packet)
{
    if (packet->kind == SL_PACKET_UDP && (flow->flags & SL_FLOW_HANDSHAKE)) {
        flow->flags &= (uint16_t)~SL_FLOW_HANDSHAKE;
    }
}

static void
note_failure(const struct agent_call *call, const struct SlFlow *flow)
{
    if (flow->flags & (SL_FLOW_HANDSHAKE | SL_FLOW_REQUEST_DELIVERED)) {
        agent_admission_failed(call, "reset");
    }
}

/// The upstream gives up a connection that its caller did not close, and not
/// because it has just answered.
static bool
gives_up(const struct agent_call *call, const struct SlFlow *flow,
         const struct SlPacket *packet)
{
    const uint16_t closing =
        SL_FLOW_CALLER_FIN | SL_FLOW_UPSTREAM_FIN | SL_FLOW_HANDSHAKE;

    if (packet->kind != SL_PACKET_TCP || (flow->flags & closing) ||
        !(packet->tcp_flags & (SL_TCP_FIN | SL_TCP_RST))) {
        return false;
    }
    return (flow->flags & SL_FLOW_REQUEST_DELIVERED) ||
           agent_elapsed_ms(call->now_ms, flow->last_packet_ms) >= QUIET_MS;
}

static void
upstream_open(const struct agent_call *call, struct SlFlowShard *shard,
              struct SlFlow *flow, const struct SlPacket *packet)
{
    bool resets =
        packet->kind == SL_PACKET_TCP && (packet->tcp_flags & SL_TCP_RST);
    bool moved = agent_is_moving(flow);

    if (gives_up(call, flow, packet)) {
        agent_admission_lost(call);
    }
    agent_track_upstream(flow, packet, call->now_ms);
    agent_count_moving(call->agent, flow, moved);
    note_udp_handshake(flow, packet);
    agent_count(call->agent, COUNT_RETURNED);
    agent_return(call, flow->service_id, flow->holder, packet->bytes,
                 packet->length_bytes);
    if (resets || (packet->kind == SL_PACKET_ICMP_ERROR &&
                   flow->key.protocol == IPPROTO_UDP)) {
        note_failure(call, flow);
        agent_end_flow(call, shard, flow, "upstream_reset");
        return;
    }
    note_answer(call, flow, packet);
    if (agent_is_closed(flow)) {
        agent_end_flow(call, shard, flow, "closed");
        return;
    }
    if (!(flow->flags & SL_FLOW_HANDSHAKE)) {
        agent_schedule(call, shard, flow);
    }
}

static void
upstream_ended(const struct agent_call *call, const struct SlFlow *flow,
               const struct SlPacket *packet)
{
    if (flow->flags & SL_FLOW_WAS_RESET) {
        agent_reset_upstream(call, packet);
        return;
    }
    agent_count(call->agent, COUNT_RETURNED);
    agent_return(call, flow->service_id, flow->holder, packet->bytes,
                 packet->length_bytes);
}

/// A packet in the middle of a connection shows that the upstream has it,
/// however long ago this process started.
static bool
shows_connection(const struct SlPacket *packet)
{
    return packet->kind == SL_PACKET_TCP && (packet->tcp_flags & SL_TCP_ACK) &&
           !(packet->tcp_flags & (SL_TCP_SYN | SL_TCP_RST));
}

static void
upstream_unknown(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow, const struct SlFlowKey *key,
                 const struct SlPacket *packet)
{
    const struct SlRouteService *service =
        SlRouting_FindService(call->routing, &key->service, key->protocol);
    bool serves = agent_serves(call, service);

    if (serves && packet->kind == SL_PACKET_UDP && flow == NULL) {
        agent_count(call->agent, COUNT_RETURNED);
        agent_return(call, service->service_id, 0, packet->bytes,
                     packet->length_bytes);
        return;
    }
    if (flow != NULL && flow->kind == SL_FLOW_PENDING &&
        packet->kind == SL_PACKET_TCP && (packet->tcp_flags & SL_TCP_RST)) {
        agent_locate_denied(call, flow);
        return;
    }
    if (flow != NULL && flow->kind == SL_FLOW_PROBED) {
        if (!shows_connection(packet)) {
            return;
        }
        SlFlowShard_Remove(shard, flow);
        flow = NULL;
    }
    if (!serves || !shows_connection(packet) ||
        atomic_load(&call->agent->zone_out) ||
        (flow != NULL && flow->kind != SL_FLOW_PENDING)) {
        agent_reset_upstream(call, packet);
        return;
    }
    if (flow != NULL) {
        agent_locate_own(call, shard, flow, service);
        flow = SlFlowShard_Find(shard, key);
    }
    else {
        flow = agent_adopt(call, shard, key, service, 0);
    }
    if (flow != NULL && flow->kind == SL_FLOW_OPEN) {
        upstream_open(call, shard, flow, packet);
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
        agent_drop(call, NULL, "upstream_packet");
        return;
    }
    if (packet.kind == SL_PACKET_FRAGMENT && !agent_fragment_opens(&packet)) {
        agent_fragments_return(call, &packet);
        return;
    }
    SlPacket_UpstreamKey(&packet, &key);
    shard = SlFlowTable_Lock(call->agent->table, &key);
    flow = SlFlowShard_Find(shard, &key);
    if (flow != NULL && flow->kind == SL_FLOW_OPEN) {
        agent_fragments_note(call, &packet, flow);
        upstream_open(call, shard, flow, &packet);
    }
    else if (flow != NULL && flow->kind == SL_FLOW_ENDED) {
        upstream_ended(call, flow, &packet);
    }
    else {
        upstream_unknown(call, shard, flow, &key, &packet);
    }
    SlFlowShard_Unlock(shard);
}
