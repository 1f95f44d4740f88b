#ifndef SAVORYLEDGE_TEST_AGENT_FIXTURE_H
#define SAVORYLEDGE_TEST_AGENT_FIXTURE_H

/// Agents of a site with stand-ins around them: entries that forward by any
/// routing table, upstreams with slots, and callers of one address, told
/// apart by port. Everything travels through one queue in order of time.

#include <stdlib.h>
#include <urcu.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/agent.h"
#include "site.h"

enum {
    FX_AGENTS = 11,
    FX_ENTRIES = 4,
    FX_PORTS = 65536,
    FX_LATENCY_US = 1000,

    FX_EVENTS = 1700,
    FX_UPSTREAM = FX_AGENTS,
};

/// A flow as its upstream sees it.
struct fx_connection {
    bool open;
    uint32_t received;
    uint32_t sent;
    uint32_t payloads;
    uint32_t answers;
};

/// A flow as its caller sees it.
struct fx_caller {
    uint32_t isn;
    uint32_t sent;
    uint32_t received;
    bool open;
    bool refused;
    bool reset;
    uint32_t answers;
    uint32_t icmp;
    /// What is sent to it is lost.
    bool deaf;
    /// The caller asks once as soon as the handshake is complete.
    bool asks;
};

static const uint64_t FX_SECOND_US = 1000000;

struct fixture;

struct fx_agent {
    struct SlSink sink;
    struct fixture *fx;
    struct SlAgent *agent;
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    struct SlAgentOptions options;
    /// The process is gone, or datagrams do not reach it.
    bool down;
    bool cut_off;
    /// The upstream does not answer at all, or only handshakes.
    bool upstream_silent;
    bool upstream_stuck;
    uint32_t service_us;
    uint32_t busy;
    uint32_t busy_most;
    uint64_t delivered;
    uint64_t events[FX_EVENTS];
    struct fx_connection *connections;
};

enum fx_kind {
    FX_TUNNEL,
    FX_TO_UPSTREAM,
    FX_FROM_UPSTREAM,
    FX_ANSWER,
    FX_TO_CALLER,
};

struct fx_message {
    uint64_t due_us;
    uint64_t number;
    enum fx_kind kind;
    uint32_t agent;
    struct SlTunnel tunnel;
    uint8_t *bytes;
    uint32_t length_bytes;
};

struct fixture {
    struct site site;
    uint64_t now_us;
    uint64_t tick_us;
    uint32_t agent_count;
    struct fx_agent agents[FX_AGENTS];
    uint64_t entries[FX_ENTRIES];
    struct SlAddress caller;
    struct SlAddress service;
    uint8_t protocol;
    struct fx_caller *callers;
    uint64_t hints;
    /// Datagrams between agents.
    uint64_t datagrams;
    uint64_t last_holder;
    /// Last ICMP or TCP packet that came back.
    struct SlPacket returned;
    uint8_t returned_bytes[2048];
    struct fx_message **queue;
    uint32_t queued;
    uint32_t room;
    uint64_t numbers;
    /// The table before the last one.
    struct SlRouting *old;
    /// Requests of even ports are answered after this time, and asked again
    /// at once; 0: they are like the others.
    uint64_t poll_us;
    /// Tunnel datagrams lost, of 100, and the state of the random numbers.
    uint32_t loss_percent;
    uint64_t random;
};

static inline uint32_t
fx_random(struct fixture *fx)
{
    fx->random = fx->random * 6364136223846793005u + 1442695040888963407u;
    return (uint32_t)(fx->random >> 33);
}

static inline bool
fx_before(const struct fx_message *a, const struct fx_message *b)
{
    return a->due_us != b->due_us ? a->due_us < b->due_us
                                  : a->number < b->number;
}

static inline void
fx_push(struct fixture *fx, struct fx_message *message, uint64_t delay_us)
{
    uint32_t i = fx->queued++;

    message->due_us = fx->now_us + delay_us;
    message->number = fx->numbers++;
    if (fx->queued > fx->room) {
        fx->room = fx->room == 0 ? 1024 : fx->room * 2;
        fx->queue = realloc(fx->queue, fx->room * sizeof(message));
    }
    while (i > 0 && fx_before(message, fx->queue[(i - 1) / 2])) {
        fx->queue[i] = fx->queue[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    fx->queue[i] = message;
}

static inline struct fx_message *
fx_pop(struct fixture *fx)
{
    struct fx_message *first = fx->queue[0];
    struct fx_message *last = fx->queue[--fx->queued];
    uint32_t i = 0;

    for (;;) {
        uint32_t child = 2 * i + 1;

        if (child >= fx->queued) {
            break;
        }
        if (child + 1 < fx->queued &&
            fx_before(fx->queue[child + 1], fx->queue[child])) {
            child++;
        }
        if (!fx_before(fx->queue[child], last)) {
            break;
        }
        fx->queue[i] = fx->queue[child];
        i = child;
    }
    fx->queue[i] = last;
    return first;
}

static inline void
fx_post(struct fixture *fx, enum fx_kind kind, uint32_t agent,
        const struct SlTunnel *tunnel, const uint8_t *bytes, uint32_t length,
        uint64_t delay_us)
{
    struct fx_message *message = calloc(1, sizeof(*message));

    message->kind = kind;
    message->agent = agent;
    message->bytes = malloc(length + 1);
    memcpy(message->bytes, bytes != NULL ? bytes : (const uint8_t *)"",
           length);
    message->length_bytes = length;
    if (tunnel != NULL) {
        message->tunnel = *tunnel;
        message->tunnel.packet = message->bytes;
    }
    fx_push(fx, message, delay_us);
}

static inline struct fx_agent *
fx_find(struct fixture *fx, uint64_t node_id)
{
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        if (fx->agents[i].node_id == node_id) {
            return &fx->agents[i];
        }
    }
    return NULL;
}

static inline struct fx_agent *
fx_agent(struct fixture *fx, const char *name)
{
    struct fx_agent *agent = fx_find(fx, SlNode_Id(name));

    CU_ASSERT_PTR_NOT_NULL_FATAL(agent);
    return agent;
}

static inline void
fx_to_caller(struct SlSink *sink, const uint8_t *bytes, uint32_t length)
{
    (void)sink;
    (void)bytes;
    (void)length;
    CU_FAIL("agents answer through entries");
}

static inline void
fx_to_upstream(struct SlSink *sink, const uint8_t *bytes, uint32_t length)
{
    struct fx_agent *agent = (struct fx_agent *)sink;

    agent->delivered++;
    fx_post(agent->fx, FX_TO_UPSTREAM, (uint32_t)(agent - agent->fx->agents),
            NULL, bytes, length, 0);
}

static inline void
fx_entry_takes(struct fixture *fx, struct fx_agent *agent,
               const struct SlTunnel *tunnel)
{
    if (tunnel->kind == SL_TUNNEL_RETURN) {
        fx_post(fx, FX_TO_CALLER, 0, NULL, tunnel->packet,
                tunnel->packet_bytes, FX_LATENCY_US);
    }
    if (tunnel->kind == SL_TUNNEL_HINT) {
        fx->hints++;
        fx->last_holder = tunnel->holder;
    }
    if (tunnel->kind == SL_TUNNEL_PING) {
        struct SlTunnel pong = {.kind = SL_TUNNEL_PONG,
                                .ping_us = tunnel->ping_us,
                                .sender = fx->entries[0]};

        fx_post(fx, FX_TUNNEL, (uint32_t)(agent - fx->agents), &pong, NULL, 0,
                FX_LATENCY_US);
    }
}

static inline void
fx_send_tunnel(struct SlSink *sink, uint64_t node_id,
               const struct SlAddress *to, const struct SlTunnel *tunnel)
{
    struct fx_agent *agent = (struct fx_agent *)sink;
    struct fx_agent *peer = fx_find(agent->fx, node_id);

    (void)to;
    CU_ASSERT_EQUAL(tunnel->sender, agent->node_id);
    if (agent->cut_off || (peer != NULL && peer->cut_off) ||
        fx_random(agent->fx) % 100 < agent->fx->loss_percent) {
        return;
    }
    if (peer != NULL) {
        agent->fx->datagrams++;
        fx_post(agent->fx, FX_TUNNEL, (uint32_t)(peer - agent->fx->agents),
                tunnel, tunnel->packet, tunnel->packet_bytes, FX_LATENCY_US);
        return;
    }
    fx_entry_takes(agent->fx, agent, tunnel);
}

static inline void
fx_no_message(struct SlSink *sink, uint64_t link,
              const struct SlMessage *message)
{
    (void)sink;
    (void)link;
    (void)message;
}

static inline void
fx_no_dial(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    (void)sink;
    (void)node_id;
    (void)to;
}

static inline void
fx_no_drop(struct SlSink *sink, uint64_t node_id)
{
    (void)sink;
    (void)node_id;
}

static inline void
fx_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct fx_agent *agent = (struct fx_agent *)sink;
    char text[SL_EVENT_TEXT_BYTES];

    agent->events[event->number]++;
    if (getenv("FX_TRACE") != NULL) {
        printf("%s %s\n", agent->name, SlEvent_Format(event, text));
    }
}

static const struct SlSinkType FX_SINK = {
    .send_to_caller = fx_to_caller,
    .send_to_upstream = fx_to_upstream,
    .send_tunnel = fx_send_tunnel,
    .send_message = fx_no_message,
    .dial = fx_no_dial,
    .drop = fx_no_drop,
    .event = fx_event,
};

static inline void
fx_handle(struct fx_agent *agent, const struct SlInput *input)
{
    if (!agent->down) {
        SlAgent_Handle(agent->agent, &agent->sink, input);
    }
}

/// True when the port's caller polls for news.
static inline bool
fx_polls(const struct fixture *fx, uint16_t port)
{
    return fx->poll_us != 0 && port % 2 == 0;
}

/* The upstreams. */

static inline void
fx_upstream_sends(struct fx_agent *agent, const struct SlPacket *to,
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
    fx_post(agent->fx, FX_FROM_UPSTREAM, (uint32_t)(agent - agent->fx->agents),
            NULL, out, length, delay_us);
}

static inline void
fx_upstream_tcp(struct fx_agent *agent, const struct SlPacket *packet)
{
    struct fx_connection *connection =
        &agent->connections[packet->source.port];

    if (packet->tcp_flags & SL_TCP_RST) {
        connection->open = false;
        return;
    }
    if ((packet->tcp_flags & SL_TCP_SYN) && connection->open &&
        connection->received != packet->tcp_seq + 1 + packet->payload_bytes) {
        fx_upstream_sends(agent, packet, SL_TCP_ACK, 0, 0);
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
        fx_upstream_sends(agent, packet, SL_TCP_SYN | SL_TCP_ACK, 0, 0);
        if (packet->payload_bytes != 0) {
            agent->busy++;
            fx_post(agent->fx, FX_ANSWER,
                    (uint32_t)(agent - agent->fx->agents), NULL, packet->bytes,
                    packet->length_bytes, agent->service_us);
        }
        return;
    }
    if (!connection->open) {
        uint8_t out[SL_PACKET_ANSWER_BYTES];
        uint32_t length = SlPacket_BuildReset(packet, out, sizeof(out));

        fx_post(agent->fx, FX_FROM_UPSTREAM,
                (uint32_t)(agent - agent->fx->agents), NULL, out, length, 0);
        return;
    }
    if ((int32_t)(packet->tcp_seq - connection->received) < 0) {
        bool again = packet->payload_bytes != 0 && connection->answers != 0;

        connection->sent -= again ? 100 : 0;
        fx_upstream_sends(agent, packet, SL_TCP_ACK, again ? 100 : 0, 0);
        return;
    }
    if (packet->payload_bytes != 0 &&
        packet->tcp_seq == connection->received && !agent->upstream_stuck) {
        connection->received += packet->payload_bytes;
        connection->payloads++;
        agent->busy += fx_polls(agent->fx, packet->source.port) ? 0 : 1;
        agent->busy_most =
            agent->busy > agent->busy_most ? agent->busy : agent->busy_most;
        fx_post(agent->fx, FX_ANSWER, (uint32_t)(agent - agent->fx->agents),
                NULL, packet->bytes, packet->length_bytes,
                fx_polls(agent->fx, packet->source.port) ? agent->fx->poll_us
                                                         : agent->service_us);
    }
    if (packet->tcp_flags & SL_TCP_FIN) {
        connection->received++;
        fx_upstream_sends(agent, packet, SL_TCP_FIN | SL_TCP_ACK, 0, 0);
    }
}

/// The upstream's process ends: its system closes the connection.
static inline void
fx_upstream_closes(struct fx_agent *agent, uint16_t port)
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
    fx_post(agent->fx, FX_FROM_UPSTREAM, (uint32_t)(agent - agent->fx->agents),
            NULL, out, length, 0);
}

static inline void
fx_upstream_udp(struct fx_agent *agent, const struct SlPacket *packet)
{
    static const uint8_t OK[2];
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length = SlPacket_BuildUdp(&packet->destination, &packet->source,
                                        OK, sizeof(OK), out, sizeof(out));

    agent->connections[packet->source.port].payloads++;
    if (agent->upstream_stuck) {
        return;
    }
    fx_post(agent->fx, FX_FROM_UPSTREAM, (uint32_t)(agent - agent->fx->agents),
            NULL, out, length, 0);
}

static inline void
fx_upstream_takes(struct fx_agent *agent, const struct fx_message *message)
{
    struct SlPacket packet;

    if (SlPacket_Parse(message->bytes, message->length_bytes, &packet) !=
            SL_OK ||
        agent->upstream_silent) {
        return;
    }
    if (packet.kind == SL_PACKET_TCP) {
        fx_upstream_tcp(agent, &packet);
    }
    if (packet.kind == SL_PACKET_UDP) {
        fx_upstream_udp(agent, &packet);
    }
}

static inline void
fx_upstream_answers(struct fx_agent *agent, const struct fx_message *message)
{
    struct SlPacket packet;

    SlPacket_Parse(message->bytes, message->length_bytes, &packet);
    agent->busy -= fx_polls(agent->fx, packet.source.port) ? 0 : 1;
    if (agent->connections[packet.source.port].open) {
        agent->connections[packet.source.port].answers++;
        fx_upstream_sends(agent, &packet, SL_TCP_ACK | SL_TCP_PSH, 100, 0);
    }
}

/* The entries and callers. */

/// Forwards a packet as an entry with the given table would, to the bucket's
/// home or, if it is not 0, to a node.
static inline void
fx_forward(struct fixture *fx, uint32_t entry, const struct SlRouting *routing,
           uint64_t node_id, uint32_t flags, const uint8_t *bytes,
           uint32_t length)
{
    const struct SlRouteService *service =
        SlRouting_FindService(routing, &fx->service, fx->protocol);
    struct SlTunnel tunnel = {.kind = SL_TUNNEL_FORWARD,
                              .sender = fx->entries[entry],
                              .origin = fx->entries[entry],
                              .version = SlRouting_Version(routing),
                              .flags = flags,
                              .service_id = service->service_id,
                              .packet_bytes = length};
    struct SlPacket packet;
    struct SlFlowKey key;
    const struct SlRouteBucket *bucket;
    struct fx_agent *agent;

    CU_ASSERT_EQUAL_FATAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    SlPacket_CallerKey(&packet, &key);
    bucket = &service->buckets[SlRouting_BucketOf(service->service_id, &key)];
    if (bucket->previous != SL_NO_MEMBER) {
        tunnel.previous = service->members[bucket->previous]->node_id;
    }
    if (node_id == 0 && bucket->choice[0] == SL_NO_MEMBER) {
        return;
    }
    if (node_id == 0) {
        node_id = service->members[bucket->choice[0]]->node_id;
    }
    agent = fx_find(fx, node_id);
    if (agent != NULL && !agent->cut_off) {
        fx_post(fx, FX_TUNNEL, (uint32_t)(agent - fx->agents), &tunnel, bytes,
                length, FX_LATENCY_US);
    }
}

/// A caller's TCP packet, through an entry with the present table.
static inline void
fx_tcp(struct fixture *fx, uint32_t entry, uint16_t port, uint8_t flags,
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
    fx_forward(fx, entry, fx->site.routing, 0, 0, out, length);
}

static inline void
fx_syn(struct fixture *fx, uint32_t entry, uint16_t port)
{
    struct fx_caller *caller = &fx->callers[port];

    if (caller->isn == 0) {
        caller->isn = 1000 + port * 104729u;
    }
    fx_tcp(fx, entry, port, SL_TCP_SYN, 0);
}

static inline void
fx_ask(struct fixture *fx, uint32_t entry, uint16_t port)
{
    fx_tcp(fx, entry, port, SL_TCP_ACK | SL_TCP_PSH, 50);
}

static inline void
fx_caller_tcp(struct fixture *fx, const struct SlPacket *packet)
{
    uint16_t port = packet->destination.port;
    struct fx_caller *caller = &fx->callers[port];

    if (caller->deaf) {
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
        if (caller->asks) {
            fx_ask(fx, port % FX_ENTRIES, port);
        }
        else {
            fx_tcp(fx, port % FX_ENTRIES, port, SL_TCP_ACK, 0);
        }
        return;
    }
    if (packet->payload_bytes != 0 && packet->tcp_seq == caller->received) {
        caller->received += packet->payload_bytes;
        caller->answers++;
        if (fx_polls(fx, port)) {
            fx_ask(fx, port % FX_ENTRIES, port);
        }
        else {
            fx_tcp(fx, port % FX_ENTRIES, port, SL_TCP_ACK, 0);
        }
    }
    if (packet->tcp_flags & SL_TCP_FIN) {
        caller->received++;
        fx_tcp(fx, port % FX_ENTRIES, port, SL_TCP_ACK, 0);
    }
}

static inline void
fx_caller_takes(struct fixture *fx, const struct fx_message *message)
{
    CU_ASSERT_FATAL(message->length_bytes <= sizeof(fx->returned_bytes));
    memcpy(fx->returned_bytes, message->bytes, message->length_bytes);
    CU_ASSERT_EQUAL_FATAL(SlPacket_Parse(fx->returned_bytes,
                                         message->length_bytes, &fx->returned),
                          SL_OK);
    if (fx->returned.kind == SL_PACKET_TCP) {
        fx_caller_tcp(fx, &fx->returned);
    }
    if (fx->returned.kind == SL_PACKET_UDP) {
        fx->callers[fx->returned.destination.port].answers++;
    }
    if (fx->returned.kind == SL_PACKET_ICMP_ERROR) {
        fx->callers[fx->returned.quoted_source.port].icmp++;
    }
}

/// A caller's datagram.
static inline void
fx_udp_flagged(struct fixture *fx, uint32_t entry,
               const struct SlRouting *routing, uint64_t node_id,
               uint32_t flags, uint16_t port)
{
    static const uint8_t ORDER[5];
    struct SlAddress source = fx->caller;
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    uint32_t length;

    source.port = port;
    length = SlPacket_BuildUdp(&source, &fx->service, ORDER, sizeof(ORDER),
                               out, sizeof(out));
    fx_forward(fx, entry, routing, node_id, flags, out, length);
}

static inline void
fx_udp(struct fixture *fx, uint32_t entry, const struct SlRouting *routing,
       uint64_t node_id, uint16_t port)
{
    fx_udp_flagged(fx, entry, routing, node_id, 0, port);
}

/// The same through an entry whose cache names the flow's holder.
static inline void
fx_udp_cached(struct fixture *fx, uint32_t entry, uint64_t node_id,
              uint16_t port)
{
    fx_udp_flagged(fx, entry, fx->site.routing, node_id, SL_TUNNEL_CACHED,
                   port);
}

/* Running. */

static inline void
fx_dispatch(struct fixture *fx, struct fx_message *message)
{
    struct fx_agent *agent = &fx->agents[message->agent];
    struct SlInput input = {.now_us = fx->now_us};

    switch (message->kind) {
    case FX_TUNNEL:
        input.kind = SL_INPUT_TUNNEL;
        input.tunnel = &message->tunnel;
        fx_handle(agent, &input);
        break;
    case FX_FROM_UPSTREAM:
        input.kind = SL_INPUT_UPSTREAM_PACKET;
        input.packet.bytes = message->bytes;
        input.packet.length_bytes = message->length_bytes;
        fx_handle(agent, &input);
        break;
    case FX_TO_UPSTREAM:
        fx_upstream_takes(agent, message);
        break;
    case FX_ANSWER:
        fx_upstream_answers(agent, message);
        break;
    case FX_TO_CALLER:
        fx_caller_takes(fx, message);
        break;
    }
    free(message->bytes);
    free(message);
}

static inline void
fx_run(struct fixture *fx, uint64_t for_us)
{
    uint64_t end_us = fx->now_us + for_us;
    struct SlInput tick = {.kind = SL_INPUT_TICK};

    for (;;) {
        bool message = fx->queued > 0 && fx->queue[0]->due_us <= fx->tick_us;
        uint64_t next_us = message ? fx->queue[0]->due_us : fx->tick_us;

        if (next_us > end_us) {
            break;
        }
        fx->now_us = next_us;
        if (message) {
            fx_dispatch(fx, fx_pop(fx));
            continue;
        }
        tick.now_us = fx->now_us;
        for (uint32_t i = 0; i < fx->agent_count; i++) {
            fx_handle(&fx->agents[i], &tick);
        }
        fx->tick_us += SL_TICK_US;
    }
    fx->now_us = end_us;
}

static inline void
fx_start(struct fixture *fx, struct fx_agent *agent)
{
    agent->agent = SlAgent_Create(&agent->options, fx->now_us);
    CU_ASSERT_PTR_NOT_NULL_FATAL(agent->agent);
    SlAgent_SetRouting(agent->agent, &agent->sink, fx->now_us,
                       fx->site.routing);
}

/// The process starts again with an empty table.
static inline void
fx_restart(struct fixture *fx, struct fx_agent *agent)
{
    SlAgent_Destroy(agent->agent);
    agent->options.core.boot++;
    fx_start(fx, agent);
}

/// Builds the next table, keeps the one before in fx->old, and gives the new
/// one to every agent but those that are cut off from control.
static inline void
fx_publish(struct fixture *fx, const struct fx_agent *behind)
{
    SlRouting_Unref(fx->old);
    fx->old = SlRouting_Ref(fx->site.routing);
    /* site_build adds a second. */
    fx->site.now_us = fx->now_us - FX_SECOND_US;
    site_build(&fx->site);
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        if (&fx->agents[i] != behind) {
            SlAgent_SetRouting(fx->agents[i].agent, &fx->agents[i].sink,
                               fx->now_us, fx->site.routing);
        }
    }
}

static inline void
fx_add_agent(struct fixture *fx, const char *service, uint32_t index,
             uint32_t slots)
{
    struct fx_agent *agent = &fx->agents[fx->agent_count++];

    *agent = (struct fx_agent){
        .sink = {.type = &FX_SINK}, .fx = fx, .service_us = 2000};
    snprintf(agent->name, sizeof(agent->name), "%s-%u", service, index);
    agent->node_id = SlNode_Id(agent->name);
    agent->connections = calloc(FX_PORTS, sizeof(struct fx_connection));
    agent->options = (struct SlAgentOptions){
        .core = {.roles = SL_ROLE_AGENT, .boot = 1, .hash_seed = 7 + index},
        .slots = slots,
        .capacity_flows = 2000};
    memcpy(agent->options.core.name, agent->name, SL_NAME_BYTES);
    snprintf(agent->options.core.zone, SL_NAME_BYTES, "%c",
             "abcd"[(fx->agent_count - 1) % 4]);
    fx_start(fx, agent);
}

/// All agents of the site, and entries. Callers use the named service.
static inline void
fx_open(struct fixture *fx, const char *service)
{
    char name[SL_NAME_BYTES];
    const struct SlRouteService *route;

    *fx = (struct fixture){.now_us = 1000000, .tick_us = 1000000};
    rcu_register_thread();
    site_open(&fx->site);
    for (uint32_t i = 0; i < FX_ENTRIES; i++) {
        struct SlChange change;

        snprintf(name, sizeof(name), "entry-%u", i);
        change = site_announcement(name, "a", "entry", 0);
        change.object.node.roles = SL_ROLE_ENTRY;
        site_apply(&fx->site, &change);
        fx->entries[i] = SlNode_Id(name);
    }
    site_build(&fx->site);
    fx->callers = calloc(FX_PORTS, sizeof(struct fx_caller));
    SlAddress_Parse("192.0.2.10", &fx->caller);
    for (uint32_t i = 0; i < FX_AGENTS; i++) {
        fx_add_agent(fx, i < 7 ? "workroom" : "catalogue", i < 7 ? i : i - 7,
                     3);
    }
    route = site_service(&fx->site, service);
    fx->service = route->address;
    fx->protocol = route->protocol;
    if (!SlAddress_IsIpv4(&fx->service)) {
        SlAddress_Parse("[2001:db8::10]", &fx->caller);
    }
}

static inline void
fx_close(struct fixture *fx)
{
    while (fx->queued > 0) {
        struct fx_message *message = fx_pop(fx);

        free(message->bytes);
        free(message);
    }
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        SlAgent_Destroy(fx->agents[i].agent);
        free(fx->agents[i].connections);
    }
    SlRouting_Unref(fx->old);
    free(fx->queue);
    free(fx->callers);
    site_close(&fx->site);
    rcu_unregister_thread();
}

/// Sum of one counter over all agents.
#define FX_TOTAL(fx, member)                                                  \
    fx_total(fx, offsetof(struct SlAgentCounters, member))

static inline uint64_t
fx_total(const struct fixture *fx, size_t offset)
{
    uint64_t sum = 0;

    for (uint32_t i = 0; i < fx->agent_count; i++) {
        struct SlAgentCounters counters;

        SlAgent_Counters(fx->agents[i].agent, &counters);
        sum += *(const uint64_t *)((const char *)&counters + offset);
    }
    return sum;
}

/// Upstreams that got payload of the port's flow, and the first of them.
static inline uint32_t
fx_receivers(const struct fixture *fx, uint16_t port, uint32_t *first)
{
    uint32_t count = 0;

    for (uint32_t i = fx->agent_count; i > 0; i--) {
        if (fx->agents[i - 1].connections[port].payloads != 0) {
            count++;
            *first = i - 1;
        }
    }
    return count;
}

/// Who holds an open connection of the port; NULL if nobody.
static inline struct fx_agent *
fx_holder(struct fixture *fx, uint16_t port)
{
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        if (fx->agents[i].connections[port].open) {
            return &fx->agents[i];
        }
    }
    return NULL;
}

/// Opens flows from port first on, per_s a second; each asks once.
static inline void
fx_open_flows(struct fixture *fx, uint16_t first, uint32_t count,
              uint32_t per_s)
{
    for (uint32_t i = 0; i < count; i++) {
        fx->callers[first + i].asks = true;
        fx_syn(fx, i % FX_ENTRIES, (uint16_t)(first + i));
        fx_run(fx, 1000000 / per_s);
    }
    fx_run(fx, 500000);
}

/// Lets the agents' limits grow by opening and closing flows.
static inline void
fx_warm_up(struct fixture *fx, uint16_t first)
{
    for (uint32_t i = 0; i < 4000; i++) {
        uint16_t port = (uint16_t)(first + i);

        fx->callers[port].asks = true;
        fx_syn(fx, i % FX_ENTRIES, port);
        fx_run(fx, 5000);
        if (i >= 20) {
            fx_tcp(fx, 0, (uint16_t)(port - 20), SL_TCP_FIN | SL_TCP_ACK, 0);
        }
    }
    fx_run(fx, 500000);
}

#endif
