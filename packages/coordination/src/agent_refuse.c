/// Refusals and resets: callers and upstreams are answered at once instead of
/// running into a timeout.

#include "agent_refuse.h"
#include "agent_core.h"
#include "agent_flow.h"
#include "agent_forward.h"

#include <netinet/in.h>
#include <stdio.h>

static void
return_answer_packet(const struct agent_call *call,
                     const struct agent_packet *p, const uint8_t *bytes,
                     uint32_t length_bytes)
{
    uint64_t service_id = p->service != NULL ? p->service->service_id : 0;

    if (length_bytes != 0) {
        /* The answer may reach the caller through another entry than the entry
           that forwarded the packet. The hint keeps the forwarding entry from
           taking this agent for silent. */
        agent_send_hint(call, p, 0);
        agent_return_packet(call, service_id, p->tunnel->origin_entry, bytes,
                            length_bytes);
    }
}

/// Records a refusal, so that copies of the packet are refused too, whichever
/// agent they reach.
static void
remember_refusal(const struct agent_call *call, struct SlFlowShard *shard,
                 const struct agent_packet *p)
{
    struct SlFlow *flow = SlFlowShard_Find(shard, &p->key);

    if (flow != NULL) {
        return;
    }
    flow = agent_insert_soft_entry(call, shard, &p->key, SL_FLOW_REFUSED);
    if (flow != NULL && p->service != NULL) {
        flow->service_id = p->service->service_id;
    }
}

/// Returns false for a SYN whose payload may have run elsewhere. A reset would
/// tell the caller that the payload did not run; without an answer, the caller
/// sends its next SYN without payload.
static bool
may_answer_refused_packet(const struct agent_packet *p, bool not_run)
{
    return not_run || p->packet.kind != SL_PACKET_TCP ||
           !agent_has_payload(&p->packet);
}

void
agent_refuse_flow(const struct agent_call *call, struct SlFlowShard *shard,
                  const struct agent_packet *p, bool not_run,
                  const char *reason)
{
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    struct SlEvent event = {.number = SL_EVENT_REFUSE,
                            .flow = &p->key,
                            .service =
                                p->service != NULL ? p->service->name : NULL,
                            .node = call->agent->options.core.name,
                            .peer = agent_node_name(call, p->tunnel->sender),
                            .reason = not_run ? "not_run" : "unknown",
                            .value = call->agent->admission.open_flows,
                            .limit = call->agent->admission.limit_flows};
    char text[64];
    uint32_t length = 0;

    snprintf(text, sizeof(text), "%s_%s", reason, event.reason);
    event.reason = text;
    agent_increment_counter(call->agent, not_run ? COUNT_REFUSED_NOT_RUN
                                                 : COUNT_REFUSED_UNKNOWN);
    agent_log_event(call, &event);
    if (agent_has_payload(&p->packet) && not_run) {
        remember_refusal(call, shard, p);
    }
    if (!may_answer_refused_packet(p, not_run)) {
        return;
    }
    if (p->packet.kind == SL_PACKET_TCP) {
        length = SlPacket_BuildReset(&p->packet, out, sizeof(out));
    }
    if (p->packet.kind == SL_PACKET_UDP) {
        length = SlPacket_BuildIcmp(&p->packet,
                                    not_run ? SL_ICMP_PROHIBITED
                                            : SL_ICMP_PORT_UNREACHABLE,
                                    0, out, sizeof(out));
    }
    return_answer_packet(call, p, out, length);
}

void
agent_answer_with_reset(const struct agent_call *call,
                        const struct agent_packet *p, const char *reason)
{
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    struct SlEvent event = {.number = SL_EVENT_RESET,
                            .flow = &p->key,
                            .service =
                                p->service != NULL ? p->service->name : NULL,
                            .node = call->agent->options.core.name,
                            .peer = agent_node_name(call, p->tunnel->sender),
                            .reason = reason};
    uint32_t length = 0;

    if (p->packet.kind == SL_PACKET_TCP) {
        length = SlPacket_BuildReset(&p->packet, out, sizeof(out));
    }
    if (p->packet.kind == SL_PACKET_UDP) {
        length = SlPacket_BuildIcmp(&p->packet, SL_ICMP_PORT_UNREACHABLE, 0,
                                    out, sizeof(out));
    }
    if (length == 0) {
        agent_report_drop(call, &p->key, reason);
        return;
    }
    agent_increment_counter(call->agent, COUNT_RESET);
    agent_log_event(call, &event);
    return_answer_packet(call, p, out, length);
}

static void
reset_caller(const struct agent_call *call, const struct SlFlow *flow)
{
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    struct SlTcpSegment segment = {.source = flow->key.service,
                                   .destination = flow->key.caller,
                                   .flags = SL_TCP_RST | SL_TCP_ACK,
                                   .seq = flow->upstream_next,
                                   .ack = flow->caller_next};
    uint32_t length = SlPacket_BuildTcp(&segment, out, sizeof(out));

    agent_return_packet(call, flow->service_id, flow->holder, out, length);
}

static void
reset_upstream(const struct agent_call *call, const struct SlFlow *flow)
{
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    bool acked = flow->flags & SL_FLOW_UPSTREAM_SEEN;
    struct SlTcpSegment segment = {.source = flow->key.caller,
                                   .destination = flow->key.service,
                                   .flags = SL_TCP_RST,
                                   .seq = acked ? flow->caller_acked
                                                : flow->caller_min + 1};
    uint32_t length = SlPacket_BuildTcp(&segment, out, sizeof(out));

    call->sink->type->send_to_upstream(call->sink, out, length);
}

/// Sends the caller of a UDP flow an ICMP error. The error quotes an empty
/// datagram with the caller's addresses, because the caller's own datagrams
/// are not stored.
static void
reset_udp(const struct agent_call *call, const struct SlFlow *flow)
{
    static const uint8_t EMPTY_PAYLOAD[1];
    uint8_t sent[SL_PACKET_ANSWER_BYTES];
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    struct SlPacket packet;
    uint32_t length = SlPacket_BuildUdp(&flow->key.caller, &flow->key.service,
                                        EMPTY_PAYLOAD, 0, sent, sizeof(sent));

    if (SlPacket_Parse(sent, length, &packet) != SL_OK) {
        return;
    }
    length = SlPacket_BuildIcmp(&packet, SL_ICMP_PORT_UNREACHABLE, 0, out,
                                sizeof(out));
    agent_return_packet(call, flow->service_id, flow->holder, out, length);
}

/// Returns false when the caller must not get a reset. Before the upstream has
/// answered the SYN, a reset would tell a caller with early data that nothing
/// was run. After the upstream's SYN-ACK, a caller that still exists sends its
/// SYN again, and nothing may be sent to a caller that no longer exists.
static bool
may_reset_caller(const struct SlFlow *flow)
{
    if (flow->flags & SL_FLOW_HANDSHAKE) {
        return !(flow->flags & (SL_FLOW_EARLY_DATA | SL_FLOW_SYN_ACKED));
    }
    return true;
}

void
agent_send_resets(const struct agent_call *call, const struct SlFlow *flow)
{
    if (flow->key.protocol != IPPROTO_TCP) {
        reset_udp(call, flow);
        return;
    }
    if (may_reset_caller(flow)) {
        reset_caller(call, flow);
    }
    reset_upstream(call, flow);
}

void
agent_reset_upstream(const struct agent_call *call,
                     const struct SlPacket *packet)
{
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length = 0;

    if (packet->kind == SL_PACKET_TCP && (packet->tcp_flags & SL_TCP_RST)) {
        return;
    }
    agent_report_drop(call, NULL, "unknown_upstream_flow");
    if (packet->kind == SL_PACKET_TCP) {
        length = SlPacket_BuildReset(packet, out, sizeof(out));
    }
    if (length != 0) {
        call->sink->type->send_to_upstream(call->sink, out, length);
    }
}
