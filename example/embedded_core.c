/// Embeds the cores without the daemon: an entry, two agents and a control
/// instance in one thread, on a simulated clock and message queue. Callers use
/// an echo service. Exits with 1 unless zone b serves them once zone a is out.

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <urcu.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/node.h"

enum {
    ENTRY,
    AGENT_A,
    AGENT_B,
    CONTROL,
    OPERATOR,
    CALLER_COUNT = 8,
    QUEUE_ITEMS = 1024,
    SECOND_US = 1000 * 1000,
};

struct process {
    struct SlSink sink;
    struct SlNode *node;
    struct SlPeer self;
};

struct item {
    struct SlInput input;
    uint32_t to;
    struct SlBuffer bytes;
};

static struct process processes[OPERATOR + 1];
static uint8_t link_counts[OPERATOR][OPERATOR];
static struct item queue[QUEUE_ITEMS];
static uint32_t queue_count;
static uint64_t now_us = SECOND_US;
static struct SlStorage *storage;
static uint32_t answers;
static uint32_t answers_in_b;
static const uint8_t HELLO[] = "hello";

static uint32_t
sink_index(const struct SlSink *sink)
{
    return (uint32_t)((const struct process *)sink - processes);
}

/// Queues an input. A process numbers each link by its peer's index, plus 1.
static struct SlBuffer *
enqueue(enum SlInputKind kind, uint32_t from, uint32_t to)
{
    struct item *item = &queue[queue_count++];

    if (queue_count > QUEUE_ITEMS) {
        abort();
    }
    *item = (struct item){.to = to};
    item->input.kind = kind;
    item->input.link = from + 1;
    item->input.peer = &processes[from].self;
    return &item->bytes;
}

static void
send_to_caller(struct SlSink *sink, const uint8_t *bytes, uint32_t length)
{
    (void)sink;
    (void)length;
    (void)bytes;
    answers++;
}

static void
send_to_upstream(struct SlSink *sink, const uint8_t *bytes, uint32_t length)
{
    SlBuffer_Append(enqueue(SL_INPUT_UPSTREAM_PACKET, 0, sink_index(sink)),
                    bytes, length);
}

/// The port of an address is the index of the process.
static void
send_tunnel(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to,
            const struct SlTunnel *tunnel)
{
    uint8_t bytes[SL_TUNNEL_HEADER_MAX_BYTES + SL_PACKET_MTU_BYTES];
    uint32_t length = sizeof(bytes);

    (void)node_id;
    SlTunnel_Encode(tunnel, bytes, &length);
    SlBuffer_Append(enqueue(SL_INPUT_TUNNEL, sink_index(sink), to->port),
                    bytes, length);
}

static void
send_message(struct SlSink *sink, uint64_t link, const struct SlMessage *sent)
{
    if (link != OPERATOR + 1) {
        SlMessage_Encode(sent, enqueue(SL_INPUT_MESSAGE, sink_index(sink),
                                       (uint32_t)link - 1));
    }
}

static void
open_link(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    uint32_t from = sink_index(sink);

    (void)node_id;
    if (link_counts[from][to->port]++ == 0) {
        enqueue(SL_INPUT_LINK_UP, to->port, from);
        enqueue(SL_INPUT_LINK_UP, from, to->port);
    }
}

static void
log_event(struct SlSink *sink, const struct SlEvent *event)
{
    (void)sink;
    puts(SlEvent_Format(event, (char[SL_EVENT_TEXT_BYTES]){0}));
}

static const struct SlSinkType SINK = {
    .send_to_caller = send_to_caller,
    .send_to_upstream = send_to_upstream,
    .send_tunnel = send_tunnel,
    .send_message = send_message,
    .dial_node = open_link,
    .drop_node = SlSink_IgnoreDropNode,
    .log_event = log_event,
};

static void
handle(uint32_t to, struct SlInput input)
{
    input.now_us = now_us;
    SlNode_HandleInput(processes[to].node, &processes[to].sink, &input);
    input.kind = SL_INPUT_BATCH_END;
    SlNode_HandleInput(processes[to].node, &processes[to].sink, &input);
}

static void
deliver(const struct item *item)
{
    const struct SlBuffer *bytes = &item->bytes;
    uint8_t answer[SL_PACKET_ANSWER_BYTES];
    struct SlInput input = item->input;
    struct SlMessage message = {.kind = SL_MESSAGE_NONE};
    struct SlTunnel tunnel;
    struct SlPacket packet;

    if (input.kind == SL_INPUT_TUNNEL) {
        SlTunnel_Decode(bytes->bytes, (uint32_t)bytes->length_bytes, &tunnel);
        input.tunnel = &tunnel;
    }
    else if (input.kind == SL_INPUT_MESSAGE) {
        SlMessage_Decode(bytes->bytes, bytes->length_bytes, &message);
        input.message = &message;
    }
    else if (input.kind == SL_INPUT_UPSTREAM_PACKET) {
        answers_in_b += item->to == AGENT_B;
        SlPacket_Parse(bytes->bytes, (uint32_t)bytes->length_bytes, &packet);
        input.packet.bytes = answer;
        input.packet.length_bytes =
            SlPacket_BuildUdp(&packet.destination, &packet.source, HELLO, 5,
                              answer, sizeof(answer));
    }
    handle(item->to, input);
    SlMessage_Release(&message);
}

/// Advances the clock; each step delivers all queued inputs.
static void
run_for(uint64_t span_us)
{
    for (uint64_t end = now_us + span_us; now_us < end; now_us += SL_TICK_US) {
        for (uint32_t i = 0; i < OPERATOR; i++) {
            handle(i, (struct SlInput){.kind = SL_INPUT_TICK});
        }
        for (uint32_t i = 0; i < queue_count; i++) {
            deliver(&queue[i]);
            SlBuffer_Release(&queue[i].bytes);
        }
        queue_count = 0;
    }
}

static void
start_node(uint32_t number, const char *name, const char *zone, uint32_t roles)
{
    struct SlControlMember control = {.node_id = SlNode_Id("control-1"),
                                      .name = "control-1",
                                      .link_address = {.port = CONTROL},
                                      .is_voter = true};
    struct SlNodeOptions options = {
        .core = {.roles = roles, .seed = number},
        .agent = {.slots = 3, .capacity_flows = 100},
        .replica = {.control_count = 1,
                    .control_ids = {control.node_id},
                    .control = {control.link_address},
                    .announce = {.kind = SL_KIND_NODE,
                                 .node = {.node_id = SlNode_Id(name),
                                          .roles = roles,
                                          .tunnel = {.port = (uint16_t)number},
                                          .link = {.port = (uint16_t)number},
                                          .slots = 3,
                                          .capacity_flows = 100}}},
        .control = {.member_count = 1,
                    .members = {control},
                    .bootstrap = true,
                    .storage = storage}};

    snprintf(options.core.name, SL_NAME_BYTES, "%s", name);
    snprintf(options.core.zone, SL_NAME_BYTES, "%s", zone);
    snprintf(options.replica.announce.name, SL_NAME_BYTES, "%s", name);
    snprintf(options.replica.announce.node.zone, SL_NAME_BYTES, "%s", zone);
    processes[number].sink.type = &SINK;
    processes[number].self.node_id = SlNode_Id(name);
    processes[number].self.roles = roles;
    snprintf(processes[number].self.name, SL_NAME_BYTES, "%s", name);
    SlNode_Create(&options, now_us, &processes[number].node, NULL);
}

/// Sends a change of the operator to the control instance.
static void
send_change(struct SlChange change)
{
    static uint64_t request;
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE, .change = change};

    message.change.client = 1;
    message.change.request = ++request;
    handle(CONTROL, (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                     .link = OPERATOR + 1,
                                     .message = &message});
    run_for(SECOND_US);
}

static void
send_requests(uint16_t first_port, const struct SlAddress *service)
{
    uint8_t bytes[SL_PACKET_ANSWER_BYTES];
    struct SlInput input = {.kind = SL_INPUT_CALLER_PACKET,
                            .packet = {.bytes = bytes}};
    struct SlAddress caller = *service;

    for (uint32_t i = 0; i < CALLER_COUNT; i++) {
        caller.port = (uint16_t)(first_port + i);
        input.packet.length_bytes = SlPacket_BuildUdp(&caller, service, HELLO,
                                                      5, bytes, sizeof(bytes));
        handle(ENTRY, input);
        run_for(SECOND_US / 2);
    }
}

int
main(void)
{
    struct SlChange zone = {.verb = SL_VERB_CREATE,
                            .object = {.kind = SL_KIND_ZONE, .name = "a"},
                            .hold = {.key = "operator"}};
    struct SlChange echo = {.verb = SL_VERB_CREATE,
                            .object = {.kind = SL_KIND_GROUP, .name = "echo"}};
    struct SlChange service = echo;

    service.object.kind = SL_KIND_SERVICE;
    service.object.service.protocol = IPPROTO_UDP;
    SlAddress_Parse("198.51.100.7:7", &service.object.service.address);
    storage = SlStorage_CreateMemory(SlNode_Id("control-1"), 1);
    rcu_register_thread();
    start_node(ENTRY, "entry-1", "a", SL_ROLE_ENTRY);
    start_node(AGENT_A, "agent-a", "a", SL_ROLE_AGENT);
    start_node(AGENT_B, "agent-b", "b", SL_ROLE_AGENT);
    start_node(CONTROL, "control-1", "a", SL_ROLE_CONTROL);
    enqueue(SL_INPUT_LINK_UP, OPERATOR, CONTROL);
    run_for(UINT64_C(3) * SECOND_US);
    send_change(zone);
    send_change(echo);
    send_change(service);
    send_requests(4000, &service.object.service.address);
    zone.verb = SL_VERB_HOLD;
    send_change(zone);
    answers = answers_in_b = 0;
    send_requests(5000, &service.object.service.address);
    printf("%u answers, %u of them from b\n", answers, answers_in_b);
    for (uint32_t i = 0; i < OPERATOR; i++) {
        SlNode_Destroy(processes[i].node);
    }
    SlStorage_Destroy(storage);
    rcu_unregister_thread();
    return answers == CALLER_COUNT && answers_in_b == CALLER_COUNT ? 0 : 1;
}
