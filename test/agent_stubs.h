#ifndef SAVORYLEDGE_TEST_AGENT_STUBS_H
#define SAVORYLEDGE_TEST_AGENT_STUBS_H

/// Stubs around the fixture's agents: upstreams with slots, entries that
/// forward by any routing table, and callers.

#include "agent_queue.h"

/* Upstreams. */

static inline void
fx_upstream_send_tcp(struct fx_agent *agent, const struct SlPacket *to,
                     uint8_t flags, uint32_t payload_bytes, uint64_t delay_us)
{
    static const uint8_t PAYLOAD[1024];
    struct fx_connection *connection = &agent->connections[to->source.port];
    struct SlTcpSegment segment = {.source = to->destination,
                                   .destination = to->source,
                                   .flags = flags,
                                   .seq = connection->sent,
                                   .ack = connection->received,
                                   .payload = PAYLOAD,
                                   .payload_bytes = payload_bytes};
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length = SlPacket_BuildTcp(&segment, out, sizeof(out));

    connection->sent += payload_bytes + (flags & SL_TCP_SYN ? 1 : 0) +
                        (flags & SL_TCP_FIN ? 1 : 0);
    fx_post_message(agent->fx, FX_FROM_UPSTREAM,
                    (uint32_t)(agent - agent->fx->agents), NULL, out, length,
                    delay_us);
}

static inline void
fx_upstream_handle_tcp(struct fx_agent *agent, const struct SlPacket *packet)
{
    struct fx_connection *connection =
        &agent->connections[packet->source.port];

    if (packet->tcp_flags & SL_TCP_RST) {
        connection->open = false;
        return;
    }
    if ((packet->tcp_flags & SL_TCP_SYN) && connection->open &&
        connection->received != packet->tcp_seq + 1 + packet->payload_bytes) {
        fx_upstream_send_tcp(agent, packet, SL_TCP_ACK, 0, 0);
        return;
    }
    if (packet->tcp_flags & SL_TCP_SYN) {
        if (!connection->open) {
            connection->sent = 0x1000000 + packet->source.port * 7919u;
            connection->open = true;
        }
        else {
            connection->sent--;
        }
        connection->received = packet->tcp_seq + 1 + packet->payload_bytes;
        connection->payloads += packet->payload_bytes != 0;
        fx_upstream_send_tcp(agent, packet, SL_TCP_SYN | SL_TCP_ACK, 0, 0);
        if (packet->payload_bytes != 0) {
            agent->busy++;
            fx_post_message(
                agent->fx, FX_ANSWER, (uint32_t)(agent - agent->fx->agents),
                NULL, packet->bytes, packet->length_bytes, agent->service_us);
        }
        return;
    }
    if (!connection->open) {
        uint8_t out[SL_PACKET_ANSWER_BYTES];
        uint32_t length = SlPacket_BuildReset(packet, out, sizeof(out));

        fx_post_message(agent->fx, FX_FROM_UPSTREAM,
                        (uint32_t)(agent - agent->fx->agents), NULL, out,
                        length, 0);
        return;
    }
    if ((int32_t)(packet->tcp_seq - connection->received) < 0) {
        bool is_repeat =
            packet->payload_bytes != 0 && connection->answers != 0;

        connection->sent -= is_repeat ? 100 : 0;
        fx_upstream_send_tcp(agent, packet, SL_TCP_ACK, is_repeat ? 100 : 0,
                             0);
        return;
    }
    if (packet->payload_bytes != 0 &&
        packet->tcp_seq == connection->received && !agent->upstream_stuck) {
        connection->received += packet->payload_bytes;
        connection->payloads++;
        agent->busy +=
            fx_is_long_polling(agent->fx, packet->source.port) ? 0 : 1;
        agent->busy_max =
            agent->busy > agent->busy_max ? agent->busy : agent->busy_max;
        fx_post_message(agent->fx, FX_ANSWER,
                        (uint32_t)(agent - agent->fx->agents), NULL,
                        packet->bytes, packet->length_bytes,
                        fx_is_long_polling(agent->fx, packet->source.port)
                            ? agent->fx->long_poll_us
                            : agent->service_us);
    }
    if (packet->tcp_flags & SL_TCP_FIN) {
        connection->received++;
        fx_upstream_send_tcp(agent, packet, SL_TCP_FIN | SL_TCP_ACK, 0, 0);
    }
}

/// Closes a connection as the operating system does when the upstream's
/// process ends.
static inline void
fx_upstream_close(struct fx_agent *agent, uint16_t port)
{
    struct fx_connection *connection = &agent->connections[port];
    struct SlTcpSegment segment = {.source = agent->fx->service,
                                   .destination = agent->fx->caller,
                                   .flags = SL_TCP_FIN | SL_TCP_ACK,
                                   .seq = connection->sent,
                                   .ack = connection->received};
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length;

    segment.destination.port = port;
    length = SlPacket_BuildTcp(&segment, out, sizeof(out));
    connection->open = false;
    fx_post_message(agent->fx, FX_FROM_UPSTREAM,
                    (uint32_t)(agent - agent->fx->agents), NULL, out, length,
                    0);
}

static inline void
fx_upstream_handle_udp(struct fx_agent *agent, const struct SlPacket *packet)
{
    static const uint8_t OK[2];
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length = SlPacket_BuildUdp(&packet->destination, &packet->source,
                                        OK, sizeof(OK), out, sizeof(out));

    agent->connections[packet->source.port].payloads++;
    if (agent->upstream_stuck) {
        return;
    }
    fx_post_message(agent->fx, FX_FROM_UPSTREAM,
                    (uint32_t)(agent - agent->fx->agents), NULL, out, length,
                    0);
}

static inline void
fx_upstream_receive(struct fx_agent *agent, const struct fx_message *message)
{
    struct SlPacket packet;

    if (SlPacket_Parse(message->bytes, message->length_bytes, &packet) !=
            SL_OK ||
        agent->upstream_silent) {
        return;
    }
    if (packet.kind == SL_PACKET_TCP) {
        fx_upstream_handle_tcp(agent, &packet);
    }
    if (packet.kind == SL_PACKET_UDP) {
        fx_upstream_handle_udp(agent, &packet);
    }
}

static inline void
fx_upstream_answer(struct fx_agent *agent, const struct fx_message *message)
{
    struct SlPacket packet;

    SlPacket_Parse(message->bytes, message->length_bytes, &packet);
    agent->busy -= fx_is_long_polling(agent->fx, packet.source.port) ? 0 : 1;
    if (agent->connections[packet.source.port].open) {
        agent->connections[packet.source.port].answers++;
        fx_upstream_send_tcp(agent, &packet, SL_TCP_ACK | SL_TCP_PSH, 100, 0);
    }
}

/* Entries and callers. */

/// Forwards a packet as an entry with the given routing table would: to
/// node_id or, if that is 0, to the home of the flow's bucket.
static inline void
fx_forward_packet(struct fixture *fx, uint32_t entry,
                  const struct SlRouting *routing, uint64_t node_id,
                  uint32_t flags, const uint8_t *bytes, uint32_t length)
{
    const struct SlRouteService *service =
        SlRouting_FindService(routing, &fx->service, fx->protocol);
    struct SlTunnel tunnel = {.kind = SL_TUNNEL_FORWARD,
                              .sender = fx->entries[entry],
                              .origin_entry = fx->entries[entry],
                              .version = SlRouting_Version(routing),
                              .flags = flags,
                              .service_id = service->service_id,
                              .packet_bytes = length};
    struct SlPacket packet;
    struct SlFlowKey key;
    const struct SlRouteBucket *bucket;
    struct fx_agent *agent;

    CU_ASSERT_EQUAL_FATAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    SlPacket_FlowKeyFromCaller(&packet, &key);
    bucket = &service->buckets[SlRouting_BucketOf(service->service_id, &key)];
    if (bucket->previous_home != SL_NO_MEMBER) {
        tunnel.previous_home =
            service->members[bucket->previous_home]->node_id;
    }
    if (node_id == 0 && bucket->choices[0] == SL_NO_MEMBER) {
        return;
    }
    if (node_id == 0) {
        node_id = service->members[bucket->choices[0]]->node_id;
    }
    agent = fx_find_agent(fx, node_id);
    if (agent != NULL && !agent->cut_off) {
        fx_post_message(fx, FX_TUNNEL, (uint32_t)(agent - fx->agents), &tunnel,
                        bytes, length, FX_LATENCY_US);
    }
}

/// Sends a TCP packet from a caller through an entry with the current table.
static inline void
fx_send_tcp(struct fixture *fx, uint32_t entry, uint16_t port, uint8_t flags,
            uint32_t payload_bytes)
{
    static const uint8_t PAYLOAD[1024];
    struct fx_caller *caller = &fx->callers[port];
    struct SlTcpSegment segment = {
        .source = fx->caller,
        .destination = fx->service,
        .flags = flags,
        .seq = flags & SL_TCP_SYN ? caller->isn : caller->sent,
        .ack = flags & SL_TCP_ACK ? caller->received : 0,
        .payload = PAYLOAD,
        .payload_bytes = payload_bytes};
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length;

    segment.source.port = port;
    length = SlPacket_BuildTcp(&segment, out, sizeof(out));
    caller->sent = segment.seq + payload_bytes + (flags & SL_TCP_SYN ? 1 : 0) +
                   (flags & SL_TCP_FIN ? 1 : 0);
    fx_forward_packet(fx, entry, fx->site.routing, 0, 0, out, length);
}

static inline void
fx_send_syn(struct fixture *fx, uint32_t entry, uint16_t port)
{
    struct fx_caller *caller = &fx->callers[port];

    if (caller->isn == 0) {
        caller->isn = 1000 + port * 104729u;
    }
    fx_send_tcp(fx, entry, port, SL_TCP_SYN, 0);
}

static inline void
fx_send_request(struct fixture *fx, uint32_t entry, uint16_t port)
{
    fx_send_tcp(fx, entry, port, SL_TCP_ACK | SL_TCP_PSH, 50);
}

static inline void
fx_caller_handle_tcp(struct fixture *fx, const struct SlPacket *packet)
{
    uint16_t port = packet->destination.port;
    struct fx_caller *caller = &fx->callers[port];

    if (caller->ignores_packets) {
        return;
    }
    if (packet->tcp_flags & SL_TCP_RST) {
        caller->refused |= !caller->open;
        caller->reset |= caller->open;
        caller->open = false;
        return;
    }
    if ((packet->tcp_flags & SL_TCP_SYN) && !caller->open) {
        caller->open = true;
        caller->received = packet->tcp_seq + 1;
        if (caller->sends_request) {
            fx_send_request(fx, port % FX_ENTRIES, port);
        }
        else {
            fx_send_tcp(fx, port % FX_ENTRIES, port, SL_TCP_ACK, 0);
        }
        return;
    }
    if (packet->payload_bytes != 0 && packet->tcp_seq == caller->received) {
        caller->received += packet->payload_bytes;
        caller->answers++;
        if (fx_is_long_polling(fx, port)) {
            fx_send_request(fx, port % FX_ENTRIES, port);
        }
        else {
            fx_send_tcp(fx, port % FX_ENTRIES, port, SL_TCP_ACK, 0);
        }
    }
    if (packet->tcp_flags & SL_TCP_FIN) {
        caller->received++;
        fx_send_tcp(fx, port % FX_ENTRIES, port, SL_TCP_ACK, 0);
    }
}

static inline void
fx_caller_receive(struct fixture *fx, const struct fx_message *message)
{
    CU_ASSERT_FATAL(message->length_bytes <= sizeof(fx->returned_bytes));
    memcpy(fx->returned_bytes, message->bytes, message->length_bytes);
    CU_ASSERT_EQUAL_FATAL(SlPacket_Parse(fx->returned_bytes,
                                         message->length_bytes, &fx->returned),
                          SL_OK);
    if (fx->returned.kind == SL_PACKET_TCP) {
        fx_caller_handle_tcp(fx, &fx->returned);
    }
    if (fx->returned.kind == SL_PACKET_UDP) {
        fx->callers[fx->returned.destination.port].answers++;
    }
    if (fx->returned.kind == SL_PACKET_ICMP_ERROR) {
        fx->callers[fx->returned.quoted_source.port].icmp++;
    }
}

/// Sends a UDP datagram from a caller. flags: SL_TUNNEL_* of the entry's
/// datagram.
static inline void
fx_send_udp_flagged(struct fixture *fx, uint32_t entry,
                    const struct SlRouting *routing, uint64_t node_id,
                    uint32_t flags, uint16_t port)
{
    static const uint8_t PAYLOAD[5];
    struct SlAddress source = fx->caller;
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length;

    source.port = port;
    length = SlPacket_BuildUdp(&source, &fx->service, PAYLOAD, sizeof(PAYLOAD),
                               out, sizeof(out));
    fx_forward_packet(fx, entry, routing, node_id, flags, out, length);
}

static inline void
fx_send_udp(struct fixture *fx, uint32_t entry,
            const struct SlRouting *routing, uint64_t node_id, uint16_t port)
{
    fx_send_udp_flagged(fx, entry, routing, node_id, 0, port);
}

/// Sends a UDP datagram from a caller through an entry whose cache names
/// node_id as the holder.
static inline void
fx_send_udp_cached(struct fixture *fx, uint32_t entry, uint64_t node_id,
                   uint16_t port)
{
    fx_send_udp_flagged(fx, entry, fx->site.routing, node_id, SL_TUNNEL_CACHED,
                        port);
}

#endif
