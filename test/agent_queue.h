#ifndef SAVORYLEDGE_TEST_AGENT_QUEUE_H
#define SAVORYLEDGE_TEST_AGENT_QUEUE_H

/// The fixture's agents, and the queue of all messages between them, their
/// upstreams and the callers, in the order of delivery.

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

/// A TCP connection or UDP flow as the upstream sees it.
struct fx_connection {
    bool open;
    uint32_t received;
    uint32_t sent;
    /// Number of packets with payload that the upstream received.
    uint32_t payloads;
    uint32_t answers;
};

/// A TCP connection or UDP flow as the caller sees it.
struct fx_caller {
    /// Initial sequence number of the caller.
    uint32_t isn;
    uint32_t sent;
    uint32_t received;
    bool open;
    bool refused;
    bool reset;
    /// Number of answers that the caller received.
    uint32_t answers;
    /// Number of ICMP errors that the caller received.
    uint32_t icmp;
    /// Every packet to this caller is lost.
    bool ignores_packets;
    /// The caller sends one request as soon as the handshake is complete.
    bool sends_request;
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
    /// The process does not run; no datagrams reach it or leave it.
    bool down;
    bool cut_off;
    /// The upstream does not answer at all, or answers only handshakes.
    bool upstream_silent;
    bool upstream_stuck;
    /// Time that the upstream takes for a request.
    uint32_t service_us;
    /// Requests in progress at the upstream, and the maximum of that number.
    uint32_t busy;
    uint32_t busy_max;
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
    /// Node ids of the entries.
    uint64_t entries[FX_ENTRIES];
    struct SlAddress caller;
    struct SlAddress service;
    uint8_t protocol;
    struct fx_caller *callers;
    /// Number of hints that entries received.
    uint64_t hints;
    /// Number of datagrams between agents.
    uint64_t datagrams;
    uint64_t last_holder;
    /// Last packet that was returned to a caller.
    struct SlPacket returned;
    uint8_t returned_bytes[2048];
    struct fx_message **queue;
    uint32_t queued;
    uint32_t queue_capacity;
    uint64_t next_number;
    /// The previous routing table.
    struct SlRouting *old;
    /// Time until requests of callers with even ports are answered (long
    /// polling); each is followed by another request at once. 0: they are like
    /// the others.
    uint64_t long_poll_us;
    /// Percentage of tunnel datagrams that are lost, and the state of the
    /// random number generator.
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
fx_is_before(const struct fx_message *a, const struct fx_message *b)
{
    return a->due_us != b->due_us ? a->due_us < b->due_us
                                  : a->number < b->number;
}

static inline void
fx_push_message(struct fixture *fx, struct fx_message *message,
                uint64_t delay_us)
{
    uint32_t i = fx->queued++;

    message->due_us = fx->now_us + delay_us;
    message->number = fx->next_number++;
    if (fx->queued > fx->queue_capacity) {
        fx->queue_capacity =
            fx->queue_capacity == 0 ? 1024 : fx->queue_capacity * 2;
        fx->queue = realloc(fx->queue, fx->queue_capacity * sizeof(message));
    }
    while (i > 0 && fx_is_before(message, fx->queue[(i - 1) / 2])) {
        fx->queue[i] = fx->queue[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    fx->queue[i] = message;
}

static inline struct fx_message *
fx_pop_message(struct fixture *fx)
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
            fx_is_before(fx->queue[child + 1], fx->queue[child])) {
            child++;
        }
        if (!fx_is_before(fx->queue[child], last)) {
            break;
        }
        fx->queue[i] = fx->queue[child];
        i = child;
    }
    fx->queue[i] = last;
    return first;
}

static inline void
fx_post_message(struct fixture *fx, enum fx_kind kind, uint32_t agent,
                const struct SlTunnel *tunnel, const uint8_t *bytes,
                uint32_t length, uint64_t delay_us)
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
    fx_push_message(fx, message, delay_us);
}

static inline struct fx_agent *
fx_find_agent(struct fixture *fx, uint64_t node_id)
{
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        if (fx->agents[i].node_id == node_id) {
            return &fx->agents[i];
        }
    }
    return NULL;
}

static inline struct fx_agent *
fx_get_agent(struct fixture *fx, const char *name)
{
    struct fx_agent *agent = fx_find_agent(fx, SlNode_Id(name));

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
    fx_post_message(agent->fx, FX_TO_UPSTREAM,
                    (uint32_t)(agent - agent->fx->agents), NULL, bytes, length,
                    0);
}

static inline void
fx_entry_receive(struct fixture *fx, struct fx_agent *agent,
                 const struct SlTunnel *tunnel)
{
    if (tunnel->kind == SL_TUNNEL_RETURN) {
        fx_post_message(fx, FX_TO_CALLER, 0, NULL, tunnel->packet,
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

        fx_post_message(fx, FX_TUNNEL, (uint32_t)(agent - fx->agents), &pong,
                        NULL, 0, FX_LATENCY_US);
    }
}

static inline void
fx_send_tunnel(struct SlSink *sink, uint64_t node_id,
               const struct SlAddress *to, const struct SlTunnel *tunnel)
{
    struct fx_agent *agent = (struct fx_agent *)sink;
    struct fx_agent *peer = fx_find_agent(agent->fx, node_id);

    (void)to;
    CU_ASSERT_EQUAL(tunnel->sender, agent->node_id);
    if (agent->cut_off || (peer != NULL && peer->cut_off) ||
        fx_random(agent->fx) % 100 < agent->fx->loss_percent) {
        return;
    }
    if (peer != NULL) {
        agent->fx->datagrams++;
        fx_post_message(agent->fx, FX_TUNNEL,
                        (uint32_t)(peer - agent->fx->agents), tunnel,
                        tunnel->packet, tunnel->packet_bytes, FX_LATENCY_US);
        return;
    }
    fx_entry_receive(agent->fx, agent, tunnel);
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
    .send_message = SlSink_IgnoreMessage,
    .dial_node = SlSink_IgnoreDialNode,
    .drop_node = SlSink_IgnoreDropNode,
    .log_event = fx_event,
};

static inline void
fx_handle(struct fx_agent *agent, const struct SlInput *input)
{
    if (!agent->down) {
        SlAgent_HandleInput(agent->agent, &agent->sink, input);
    }
}

/// Returns true when the port's caller uses long polling.
static inline bool
fx_is_long_polling(const struct fixture *fx, uint16_t port)
{
    return fx->long_poll_us != 0 && port % 2 == 0;
}

#endif
