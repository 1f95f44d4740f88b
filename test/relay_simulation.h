#ifndef SAVORYLEDGE_TEST_RELAY_SIMULATION_H
#define SAVORYLEDGE_TEST_RELAY_SIMULATION_H

/// Entries, agents with their upstreams, and callers, in one process and on
/// one clock. Frames pass through the codec with a delay; callers are sprayed
/// over entries by the test.

#include <stdio.h>
#include <stdlib.h>

#include "savoryledge/coordination/relay_agent.h"
#include "savoryledge/coordination/relay_entry.h"
#include "segment_stub.h"
#include "test.h"

enum {
    RELAY_ENTRIES = 4,
    RELAY_AGENTS = 120,
    RELAY_CALLERS = 4096,
    RELAY_HELD_MAX = 4096,
    RELAY_WAY_US = 500,
    RELAY_STEP_US = 1000,
    RELAY_TICK_STEPS = SL_RELAY_TICK_US / RELAY_STEP_US,
    /// Upstreams speak of themselves each second.
    RELAY_NOTICE_STEPS = 1000,
    RELAY_PORT = 443,
    /// The same service's less urgent requests.
    RELAY_STATUS_PORT = 444,
};

struct relay_simulation;

/// A process of the relay.
struct relay_node {
    struct SlRelaySink sink;
    struct relay_simulation *world;
    char name[SL_NAME_BYTES];
    struct SlAddress address;
    struct SlRelayEntry *entry;
    struct SlRelayAgent *agent;
    /// Its datagrams are lost, both ways.
    bool dark;
};

/// What an upstream holds.
struct held_flow {
    struct SlFlowKey key;
    uint32_t first;
    bool open;
    uint64_t answer_us;
};

struct relay_upstream {
    uint32_t slots;
    /// Requests beyond that are given back as they open a flow.
    uint32_t most;
    uint64_t service_time_us;
    bool silent;
    /// It does not speak of itself.
    bool mute;
    uint32_t held_count;
    struct held_flow held[RELAY_HELD_MAX];
    uint32_t opened;
    uint32_t requests;
    uint32_t returned;
    uint64_t busy_until_us[16];
    uint64_t opened_us[RELAY_HELD_MAX];
    struct SlUpstreamStatus status;
};

enum caller_state {
    CALLER_NEW = 0,
    CALLER_OPENING,
    CALLER_WAITING,
    CALLER_ANSWERED,
    CALLER_RESET,
};

struct relay_caller {
    enum caller_state state;
    struct SlFlowKey key;
    uint32_t seq;
    uint32_t ack;
    uint64_t began_us;
    uint64_t done_us;
    uint32_t resets;
    uint32_t answers;
    /// The entry that it opened its flow through, and whether it has sent its
    /// request.
    uint32_t entry;
    bool request_sent;
};

struct relay_message {
    struct relay_message *next;
    uint64_t due_us;
    uint32_t to;
    /// For the upstream beside that agent, not for the agent.
    bool for_upstream;
    struct SlAddress from;
    uint32_t length_bytes;
    uint8_t bytes[SL_RELAY_MAX_BYTES];
};

struct relay_simulation {
    uint64_t now_us;
    uint64_t random;
    uint32_t steps;
    uint32_t entry_count;
    uint32_t agent_count;
    struct relay_node nodes[RELAY_ENTRIES + RELAY_AGENTS];
    struct relay_upstream upstreams[RELAY_AGENTS];
    uint32_t caller_count;
    struct relay_caller callers[RELAY_CALLERS];
    struct relay_message *first;
    struct relay_message **last;
    struct SlConfig *config;
    struct SlPlan *plan;
    /// Frames that are lost, of a thousand.
    uint32_t loss_permille;
    /// Frames sent, by kind.
    uint32_t frames[SL_RELAY_KIND_COUNT];
    uint32_t declined[SL_RELAY_REASON_COUNT];
};

static inline uint64_t
relay_random(struct relay_simulation *world)
{
    world->random ^= world->random << 13;
    world->random ^= world->random >> 7;
    world->random ^= world->random << 17;
    return world->random >> 11;
}

static inline struct SlAddress
relay_address(const char *text, uint32_t number, uint16_t port)
{
    char full[SL_ADDRESS_TEXT_BYTES];
    struct SlAddress address;

    snprintf(full, sizeof(full), "%s.%u", text, number);
    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse(full, &address), SL_OK);
    address.port = port;
    return address;
}

static inline struct relay_caller *
relay_caller_of(struct relay_simulation *world, const struct SlFlowKey *key)
{
    uint32_t at =
        (uint32_t)(key->caller.port - 1000) + (uint32_t)key->caller.ip[15] * 0;

    return at < world->caller_count ? &world->callers[at] : NULL;
}

static void
relay_send_frame(struct SlRelaySink *sink, const struct SlAddress *to,
                 const struct SlRelayFrame *frame)
{
    struct relay_node *node = (struct relay_node *)sink;
    struct relay_simulation *world = node->world;
    struct relay_message *message;
    uint32_t count = world->entry_count + world->agent_count;

    world->frames[frame->kind]++;
    if (frame->kind == SL_RELAY_DECLINE) {
        world->declined[frame->reason]++;
    }
    if (world->loss_permille > 0 &&
        relay_random(world) % 1000 < world->loss_permille) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        if (SlAddress_Equal(&world->nodes[i].address, to) && !node->dark) {
            message = calloc(1, sizeof(*message));
            message->due_us = world->now_us + RELAY_WAY_US;
            message->to = i;
            message->from = node->address;
            message->length_bytes = SlRelayFrame_Encode(frame, message->bytes);
            CU_ASSERT(message->length_bytes > 0);
            *world->last = message;
            world->last = &message->next;
        }
    }
}

static void
relay_to_caller(struct SlRelaySink *sink, const struct SlAddress *address,
                const uint8_t *bytes, uint32_t length_bytes)
{
    struct relay_node *node = (struct relay_node *)sink;
    struct relay_simulation *world = node->world;
    struct SlSegment segment;
    struct SlFlowKey key;
    struct relay_caller *caller;

    (void)address;
    CU_ASSERT_EQUAL_FATAL(standin_parse(bytes, length_bytes, &segment), SL_OK);
    key = SlSegment_UpstreamKey(&segment);
    caller = relay_caller_of(world, &key);
    if (caller == NULL || node->dark) {
        return;
    }
    if (segment.flags & SL_SEGMENT_RESET) {
        caller->resets++;
        if (caller->state != CALLER_ANSWERED) {
            caller->state = CALLER_RESET;
            caller->done_us = world->now_us;
        }
    }
    else if ((segment.flags & SL_SEGMENT_OPEN) &&
             caller->state == CALLER_OPENING) {
        caller->ack = segment.seq + 1;
        caller->state = CALLER_WAITING;
    }
    else if (segment.payload_bytes > 0) {
        caller->answers++;
        if (caller->state == CALLER_WAITING) {
            caller->state = CALLER_ANSWERED;
            caller->done_us = world->now_us;
        }
    }
}

static inline struct held_flow *
upstream_find(struct relay_upstream *upstream, const struct SlFlowKey *key)
{
    for (uint32_t i = 0; i < upstream->held_count; i++) {
        if (SlFlowKey_Equal(&upstream->held[i].key, key)) {
            return &upstream->held[i];
        }
    }
    return NULL;
}

/// Sends a segment of the upstream's own, or gives one back.
static inline void
upstream_send(struct relay_simulation *world, uint32_t at,
              struct stub_segment wire)
{
    struct relay_node *node = &world->nodes[world->entry_count + at];
    uint8_t bytes[sizeof(wire)];

    if (node->agent == NULL) {
        return;
    }
    memcpy(bytes, &wire, sizeof(wire));
    SlRelayAgent_HandleUpstreamSegment(node->agent, &node->sink, world->now_us,
                                       bytes, sizeof(bytes));
}

static inline uint32_t
upstream_working(const struct relay_simulation *world,
                 const struct relay_upstream *upstream)
{
    uint32_t working = 0;

    for (uint32_t i = 0; i < upstream->held_count; i++) {
        working += upstream->held[i].answer_us > world->now_us;
    }
    return working;
}

static inline void
upstream_open(struct relay_simulation *world, uint32_t at,
              struct stub_segment wire)
{
    struct relay_upstream *upstream = &world->upstreams[at];
    struct SlFlowKey key = {
        .caller = wire.source, .service = wire.destination, .protocol = 6};
    struct held_flow *flow = upstream_find(upstream, &key);

    if (flow == NULL) {
        if (upstream_working(world, upstream) >= upstream->most ||
            upstream->held_count == RELAY_HELD_MAX) {
            upstream->returned++;
            wire.flags |= SL_SEGMENT_RETURNED;
            upstream_send(world, at, wire);
            return;
        }
        flow = &upstream->held[upstream->held_count];
        upstream->opened_us[upstream->opened++ % RELAY_HELD_MAX] =
            world->now_us;
        upstream->held_count++;
        *flow = (struct held_flow){.key = key,
                                   .first = (uint32_t)relay_random(world)};
    }
    upstream_send(
        world, at,
        (struct stub_segment){.source = wire.destination,
                              .destination = wire.source,
                              .seq = flow->first,
                              .ack = wire.seq + 1,
                              .flags = SL_SEGMENT_OPEN | SL_SEGMENT_ACK});
}

/// A slot for a request; returns when the answer is ready.
static inline uint64_t
upstream_work(struct relay_simulation *world, struct relay_upstream *upstream)
{
    uint32_t soonest = 0;

    for (uint32_t i = 1; i < upstream->slots; i++) {
        if (upstream->busy_until_us[i] < upstream->busy_until_us[soonest]) {
            soonest = i;
        }
    }
    if (upstream->busy_until_us[soonest] < world->now_us) {
        upstream->busy_until_us[soonest] = world->now_us;
    }
    upstream->busy_until_us[soonest] +=
        upstream->service_time_us / 2 +
        relay_random(world) % upstream->service_time_us;
    return upstream->busy_until_us[soonest];
}

/// A segment arrives at an upstream.
static inline void
upstream_receive(struct relay_simulation *world, uint32_t at,
                 const uint8_t *bytes)
{
    struct relay_upstream *upstream = &world->upstreams[at];
    struct stub_segment wire;
    struct held_flow *flow;
    struct SlFlowKey key;

    memcpy(&wire, bytes, sizeof(wire));
    if (upstream->silent) {
        return;
    }
    if (wire.flags == SL_SEGMENT_OPEN) {
        upstream_open(world, at, wire);
        return;
    }
    key = (struct SlFlowKey){
        .caller = wire.source, .service = wire.destination, .protocol = 6};
    flow = upstream_find(upstream, &key);
    if (flow == NULL || (!flow->open && wire.ack != flow->first + 1)) {
        upstream->returned++;
        wire.flags |= SL_SEGMENT_RETURNED;
        upstream_send(world, at, wire);
        return;
    }
    flow->open = true;
    if (wire.payload_bytes > 0 && flow->answer_us <= world->now_us) {
        upstream->requests++;
        flow->answer_us = upstream_work(world, upstream);
    }
}

static void
relay_to_upstream(struct SlRelaySink *sink, const uint8_t *bytes,
                  uint32_t length_bytes)
{
    struct relay_node *node = (struct relay_node *)sink;
    struct relay_simulation *world = node->world;
    struct relay_message *message = calloc(1, sizeof(*message));

    CU_ASSERT_EQUAL_FATAL(length_bytes, sizeof(struct stub_segment));
    message->due_us = world->now_us;
    message->to = (uint32_t)(node - world->nodes);
    message->for_upstream = true;
    message->length_bytes = length_bytes;
    memcpy(message->bytes, bytes, length_bytes);
    *world->last = message;
    world->last = &message->next;
}

static void
relay_no_event(struct SlRelaySink *sink, const struct SlEvent *event)
{
    char text[SL_EVENT_TEXT_BYTES];

    if (getenv("WORLD_EVENTS") != NULL) {
        fprintf(stderr, "%s %s\n", ((struct relay_node *)sink)->name,
                SlEvent_Format(event, text));
    }
}

static const struct SlRelaySinkType RELAY_SINK = {
    .send_to_caller = relay_to_caller,
    .send_to_upstream = relay_to_upstream,
    .send_frame = relay_send_frame,
    .event = relay_no_event,
};

static inline void
relay_put_node(struct relay_simulation *world, const struct relay_node *node,
               uint32_t roles, const char *zone, uint64_t boot)
{
    struct SlObject object = {.kind = SL_KIND_NODE,
                              .node = {.node_id = SlNode_Id(node->name),
                                       .roles = roles,
                                       .tunnel = node->address,
                                       .boot = boot,
                                       .slots = 2,
                                       .capacity_flows = 2000}};

    memcpy(object.name, node->name, sizeof(object.name));
    snprintf(object.node.zone, sizeof(object.node.zone), "%s", zone);
    if (roles & SL_ROLE_AGENT) {
        SlLabels_Set(&object.node.announced, "service", "orders");
    }
    CU_ASSERT_EQUAL_FATAL(SlConfig_PutObject(world->config, &object), SL_OK);
}

static inline void
relay_create_core(struct relay_simulation *world, uint32_t at,
                  const char *zone)
{
    struct relay_node *node = &world->nodes[at];
    struct SlRelayOptions options = {.format = &STUB_FORMAT,
                                     .seed = relay_random(world)};

    memcpy(options.name, node->name, sizeof(options.name));
    snprintf(options.zone, sizeof(options.zone), "%s", zone);
    snprintf(options.service, sizeof(options.service), "orders");
    if (at < world->entry_count) {
        node->entry = SlRelayEntry_Create(&options);
    }
    else {
        node->agent = SlRelayAgent_Create(&options, world->now_us);
    }
}

/// Two zones, "a" and "b", by turns.
static inline const char *
relay_zone(uint32_t i)
{
    return i % 2 == 0 ? "a" : "b";
}

static inline void
relay_add_node(struct relay_simulation *world, uint32_t at)
{
    struct relay_node *node = &world->nodes[at];
    bool entry = at < world->entry_count;
    uint32_t i = entry ? at : at - world->entry_count;

    node->sink.type = &RELAY_SINK;
    node->world = world;
    snprintf(node->name, sizeof(node->name), "%s-%u",
             entry ? "entry" : "agent", i);
    node->address = relay_address(entry ? "10.0.1" : "10.0.2", i + 1, 7720);
    relay_create_core(world, at, relay_zone(i));
    relay_put_node(world, node, entry ? SL_ROLE_ENTRY : SL_ROLE_AGENT,
                   relay_zone(i), 1);
}

/// The plan that all know: one service behind one address, with a less urgent
/// route beside the first.
static inline struct SlPlan *
relay_create_plan(uint64_t version, uint32_t cold_per_s)
{
    struct SlPlan *plan = SlPlan_Create(version);
    struct SlPlanService service = {.name = "orders",
                                    .health_path = "/health",
                                    .capacity_flows = 2000,
                                    .cold_ms = 2000,
                                    .slow_start_flows_per_s = cold_per_s};
    struct SlPlanRoute route = {.name = "orders",
                                .kind = SL_TRAFFIC_NON_IDEMPOTENT,
                                .timeout_ms = 1500,
                                .objective_ms = 150,
                                .share_count = 1,
                                .shares = {{.service_index = 0, .weight = 1}}};
    struct SlPlanRoute status = route;
    struct SlError error;

    route.address = relay_address("198.18.0", 1, RELAY_PORT);
    snprintf(status.name, sizeof(status.name), "status");
    status.address = relay_address("198.18.0", 1, RELAY_STATUS_PORT);
    status.kind = SL_TRAFFIC_IDEMPOTENT;
    status.priority = 2;
    SlPlan_SetIdleMs(plan, 15000);
    CU_ASSERT_EQUAL_FATAL(SlPlan_AddService(plan, &service, &error), SL_OK);
    CU_ASSERT_EQUAL_FATAL(SlPlan_AddRoute(plan, &route, &error), SL_OK);
    CU_ASSERT_EQUAL_FATAL(SlPlan_AddRoute(plan, &status, &error), SL_OK);
    CU_ASSERT_EQUAL_FATAL(SlPlan_Finish(plan, &error), SL_OK);
    return plan;
}

/// Gives the present configuration to one process, or to all.
static inline void
relay_configure(struct relay_simulation *world, uint32_t at)
{
    struct relay_node *node = &world->nodes[at];
    enum SlStatus status = SL_OK;

    if (node->entry != NULL) {
        status =
            SlRelayEntry_SetConfig(node->entry, &node->sink, world->now_us,
                                   world->config, world->plan);
    }
    else if (node->agent != NULL) {
        status =
            SlRelayAgent_SetConfig(node->agent, &node->sink, world->now_us,
                                   world->config, world->plan);
    }
    CU_ASSERT_EQUAL(status, SL_OK);
}

static inline void
relay_configure_all(struct relay_simulation *world)
{
    for (uint32_t i = 0; i < world->entry_count + world->agent_count; i++) {
        relay_configure(world, i);
    }
}

/// The upstream tells its agent of itself.
static inline bool
relay_report_status(struct relay_simulation *world, uint32_t at)
{
    struct relay_node *node = &world->nodes[world->entry_count + at];
    struct relay_upstream *upstream = &world->upstreams[at];

    upstream->status.seq++;
    return SlRelayAgent_UpdateStatus(node->agent, &node->sink, world->now_us,
                                     &upstream->status);
}

static inline struct relay_simulation *
relay_simulation_create(uint32_t entries, uint32_t agents, uint32_t slots,
                        uint64_t seed)
{
    struct relay_simulation *world = calloc(1, sizeof(*world));

    world->now_us = 1000 * 1000;
    world->random = seed * 2654435761u + 88172645463325252u;
    world->entry_count = entries;
    world->agent_count = agents;
    world->last = &world->first;
    world->config = SlConfig_Create();
    SlConfig_SetVersion(world->config,
                        (struct SlVersion){.term = 1, .index = 1});
    world->plan = relay_create_plan(1, 0);
    for (uint32_t i = 0; i < entries + agents; i++) {
        relay_add_node(world, i);
    }
    relay_configure_all(world);
    for (uint32_t i = 0; i < agents; i++) {
        struct relay_upstream *upstream = &world->upstreams[i];

        upstream->slots = slots;
        upstream->most = slots + 12;
        upstream->service_time_us = 20 * 1000;
        upstream->status.slots = slots;
        upstream->status.started_ms = 1000;
        snprintf(upstream->status.id, SL_NAME_BYTES, "upstream-%u", i);
        snprintf(upstream->status.service, SL_NAME_BYTES, "orders");
        CU_ASSERT(relay_report_status(world, i));
    }
    return world;
}

static inline void
relay_simulation_destroy(struct relay_simulation *world)
{
    for (uint32_t i = 0; i < world->entry_count + world->agent_count; i++) {
        SlRelayEntry_Destroy(world->nodes[i].entry);
        SlRelayAgent_Destroy(world->nodes[i].agent);
    }
    while (world->first != NULL) {
        struct relay_message *message = world->first;

        world->first = message->next;
        free(message);
    }
    SlConfig_Destroy(world->config);
    SlPlan_Unref(world->plan);
    free(world);
}

/// A caller's segment arrives at an entry.
static inline void
relay_send(struct relay_simulation *world, uint32_t entry,
           const struct relay_caller *caller, uint8_t flags,
           uint32_t payload_bytes)
{
    struct relay_node *node = &world->nodes[entry];
    struct stub_segment wire;

    memset(&wire, 0, sizeof(wire));
    wire.source = caller->key.caller;
    wire.destination = caller->key.service;
    wire.seq = caller->seq;
    wire.ack = caller->ack;
    wire.flags = flags;
    wire.payload_bytes = payload_bytes;
    if (node->entry != NULL && !node->dark) {
        SlRelayEntry_HandleCallerSegment(node->entry, &node->sink,
                                         world->now_us, (const uint8_t *)&wire,
                                         sizeof(wire));
    }
}

/// Adds a caller that opens a flow to a port through an entry; returns its
/// number.
static inline uint32_t
relay_open_flow_to_port(struct relay_simulation *world, uint32_t entry,
                        uint16_t port)
{
    uint32_t at = world->caller_count++;
    struct relay_caller *caller = &world->callers[at];

    CU_ASSERT_FATAL(at < RELAY_CALLERS);
    caller->key = (struct SlFlowKey){
        .caller = relay_address("192.0.2", 1, (uint16_t)(1000 + at)),
        .service = relay_address("198.18.0", 1, port),
        .protocol = 6};
    caller->seq = (uint32_t)relay_random(world);
    caller->entry = entry;
    caller->state = CALLER_OPENING;
    caller->began_us = world->now_us;
    relay_send(world, entry, caller, SL_SEGMENT_OPEN, 0);
    return at;
}

static inline uint32_t
relay_open_flow(struct relay_simulation *world, uint32_t entry)
{
    return relay_open_flow_to_port(world, entry, RELAY_PORT);
}

/// The caller's next request, or its first, with the end of the handshake.
static inline void
relay_send_request(struct relay_simulation *world, uint32_t entry, uint32_t at)
{
    struct relay_caller *caller = &world->callers[at];

    caller->seq += 100;
    caller->state = CALLER_WAITING;
    caller->began_us = world->now_us;
    relay_send(world, entry, caller, SL_SEGMENT_ACK, 100);
}

static inline void
relay_deliver(struct relay_simulation *world,
              const struct relay_message *message)
{
    struct relay_node *node = &world->nodes[message->to];
    struct SlRelayFrame frame;

    if (message->for_upstream) {
        upstream_receive(world, message->to - world->entry_count,
                         message->bytes);
        return;
    }
    CU_ASSERT_EQUAL_FATAL(
        SlRelayFrame_Decode(message->bytes, message->length_bytes, &frame),
        SL_OK);
    if (!node->dark && node->entry != NULL) {
        SlRelayEntry_HandleFrame(node->entry, &node->sink, world->now_us,
                                 &frame);
    }
    if (!node->dark && node->agent != NULL) {
        SlRelayAgent_HandleFrame(node->agent, &node->sink, world->now_us,
                                 &message->from, &frame);
    }
}

/// Takes the first message that is due off the queue; NULL when none is.
static inline struct relay_message *
relay_take_due(struct relay_simulation *world)
{
    struct relay_message **place = &world->first;
    struct relay_message *message;

    while (*place != NULL && (*place)->due_us > world->now_us) {
        place = &(*place)->next;
    }
    message = *place;
    if (message == NULL) {
        return NULL;
    }
    *place = message->next;
    if (message->next == NULL) {
        world->last = place;
    }
    return message;
}

static inline void
relay_deliver_due(struct relay_simulation *world)
{
    struct relay_message *message;

    while ((message = relay_take_due(world)) != NULL) {
        relay_deliver(world, message);
        free(message);
    }
}

static inline void
relay_answer_due(struct relay_simulation *world, uint32_t at)
{
    struct relay_upstream *upstream = &world->upstreams[at];

    for (uint32_t i = 0; i < upstream->held_count; i++) {
        struct held_flow *flow = &upstream->held[i];

        if (flow->answer_us != 0 && flow->answer_us <= world->now_us &&
            !upstream->silent) {
            flow->answer_us = 0;
            upstream_send(
                world, at,
                (struct stub_segment){.source = flow->key.service,
                                      .destination = flow->key.caller,
                                      .seq = flow->first + 1,
                                      .payload_bytes = 600,
                                      .flags = SL_SEGMENT_ACK});
        }
    }
}

static inline void
relay_simulation_step(struct relay_simulation *world)
{
    world->now_us += RELAY_STEP_US;
    world->steps++;
    relay_deliver_due(world);
    for (uint32_t i = 0; i < world->agent_count; i++) {
        relay_answer_due(world, i);
    }
    for (uint32_t i = 0; i < world->agent_count; i++) {
        uint32_t *cold_remaining_ms =
            &world->upstreams[i].status.cold_remaining_ms;

        *cold_remaining_ms -= *cold_remaining_ms > 0;
        if (world->steps % RELAY_NOTICE_STEPS == 0 &&
            !world->upstreams[i].mute) {
            (void)relay_report_status(world, i);
        }
    }
    if (world->steps % RELAY_TICK_STEPS != 0) {
        return;
    }
    for (uint32_t i = 0; i < world->entry_count + world->agent_count; i++) {
        struct relay_node *node = &world->nodes[i];

        if (node->entry != NULL) {
            SlRelayEntry_Tick(node->entry, &node->sink, world->now_us);
        }
        if (node->agent != NULL) {
            SlRelayAgent_Tick(node->agent, &node->sink, world->now_us);
        }
    }
}

static inline void
relay_simulation_run(struct relay_simulation *world, uint32_t ms)
{
    for (uint32_t i = 0; i < ms; i++) {
        relay_simulation_step(world);
    }
}

/// Opens a flow and waits for the answer to its first request.
static inline uint32_t
relay_exchange(struct relay_simulation *world, uint32_t entry)
{
    uint32_t at = relay_open_flow(world, entry);

    for (uint32_t i = 0; i < 400; i++) {
        relay_simulation_step(world);
        if (world->callers[at].state == CALLER_WAITING &&
            world->callers[at].answers == 0 && i < 200) {
            relay_send_request(world, entry, at);
            relay_simulation_run(world, 200);
            break;
        }
    }
    return at;
}

static inline uint32_t
relay_holder(struct relay_simulation *world, uint32_t caller)
{
    for (uint32_t i = 0; i < world->agent_count; i++) {
        struct held_flow *flow =
            upstream_find(&world->upstreams[i], &world->callers[caller].key);

        if (flow != NULL && flow->open) {
            return i;
        }
    }
    return world->agent_count;
}

/// Ends a process and starts it anew, with an empty memory.
static inline void
relay_restart(struct relay_simulation *world, uint32_t at)
{
    struct relay_node *node = &world->nodes[at];
    bool entry = at < world->entry_count;
    uint32_t i = entry ? at : at - world->entry_count;

    SlRelayEntry_Destroy(node->entry);
    SlRelayAgent_Destroy(node->agent);
    node->entry = NULL;
    node->agent = NULL;
    relay_create_core(world, at, relay_zone(i));
    relay_configure(world, at);
}

#endif
