/// Nodes: real SlNode objects behind a sink that turns their wishes into
/// events of the queue.

#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
    TUNNEL_PORT = 1,
    LINK_PORT = 2,
    LOCAL_US = 30,
    CACHE_FLOWS = 1 << 16,
};

static struct SlWorldNode *
node_of(struct SlSink *sink)
{
    return (struct SlWorldNode *)sink;
}

static void
push_packet(struct SlWorldNode *node, enum SlWorldEventKind kind,
            uint64_t delay_us, const uint8_t *bytes, uint32_t length_bytes)
{
    SlWorldQueue_Push(&node->world->queue,
                      (struct SlWorldEvent){
                          .time_us = node->world->now_us + delay_us,
                          .kind = kind,
                          .target = node->index,
                          .epoch = node->epoch,
                          .length_bytes = length_bytes,
                          .bytes = SlWorldQueue_Copy(bytes, length_bytes),
                      });
}

static void
send_to_caller(struct SlSink *sink, const uint8_t *bytes,
               uint32_t length_bytes)
{
    struct SlWorldNode *node = node_of(sink);

    push_packet(node, WORLD_TO_CALLER,
                node->world->settings.client_delay_us +
                    SlWorld_Jitter(node->world),
                bytes, length_bytes);
}

static void
send_to_upstream(struct SlSink *sink, const uint8_t *bytes,
                 uint32_t length_bytes)
{
    push_packet(node_of(sink), WORLD_TO_UPSTREAM, LOCAL_US, bytes,
                length_bytes);
}

static uint32_t
find_address(const struct SlWorld *world, const struct SlAddress *to)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        if (SlAddress_Equal(
                &world->nodes[i].options.replica.announce.node.tunnel, to)) {
            return i;
        }
    }
    return WORLD_NODES_MAX;
}

static void
send_tunnel(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to,
            const struct SlTunnel *tunnel)
{
    struct SlWorldNode *node = node_of(sink);
    struct SlWorld *world = node->world;
    uint8_t bytes[SL_TUNNEL_HEADER_MAX_BYTES + WORLD_PACKET_BYTES];
    uint32_t length_bytes = sizeof(bytes);
    uint32_t target = find_address(world, to);
    enum SlStatus status;

    (void)node_id;
    if (target == WORLD_NODES_MAX ||
        SlWorld_Random(world, 10000) < world->loss) {
        return;
    }
    status = SlTunnel_Encode(tunnel, bytes, &length_bytes);
    assert(status == SL_OK);
    (void)status;
    SlWorldQueue_Push(&world->queue,
                      (struct SlWorldEvent){
                          .time_us = world->now_us +
                                     world->settings.zone_delay_us +
                                     SlWorld_Jitter(world),
                          .kind = WORLD_TUNNEL,
                          .target = target,
                          .number = node->index,
                          .epoch = world->nodes[target].epoch,
                          .length_bytes = length_bytes,
                          .bytes = SlWorldQueue_Copy(bytes, length_bytes),
                      });
}

static void
send_message(struct SlSink *sink, uint64_t link,
             const struct SlMessage *message)
{
    SlWorldLinks_Send(node_of(sink), link, message);
}

static void
dial(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    SlWorldLinks_Dial(node_of(sink), node_id, to);
}

static void
drop(struct SlSink *sink, uint64_t node_id)
{
    SlWorldLinks_Drop(node_of(sink), node_id);
}

static void
log_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct SlWorldNode *node = node_of(sink);
    char text[SL_EVENT_TEXT_BYTES];

    if (event->number == SL_EVENT_SILENT) {
        node->world->counts.silent_found++;
    }
    if (node->world->log != NULL) {
        fprintf((FILE *)node->world->log, "%s %s\n", node->name,
                SlEvent_Format(event, text));
    }
}

static const struct SlSinkType WORLD_SINK = {
    .send_to_caller = send_to_caller,
    .send_to_upstream = send_to_upstream,
    .send_tunnel = send_tunnel,
    .send_message = send_message,
    .dial_node = dial,
    .drop_node = drop,
    .log_event = log_event,
};

static struct SlAddress
node_address(uint32_t index, uint16_t port)
{
    struct SlAddress address;
    char text[SL_ADDRESS_TEXT_BYTES];

    snprintf(text, sizeof(text), "10.255.0.%u:%u", index + 1, port);
    (void)SlAddress_Parse(text, &address);
    return address;
}

uint32_t
SlWorldNode_Add(struct SlWorld *world, const char *name, uint32_t zone,
                uint32_t roles)
{
    uint32_t index = world->node_count++;
    struct SlWorldNode *node = &world->nodes[index];
    struct SlObject *announce = &node->options.replica.announce;

    assert(index < WORLD_NODES_MAX);
    node->sink.type = &WORLD_SINK;
    node->world = world;
    node->index = index;
    node->zone = zone;
    node->roles = roles;
    snprintf(node->name, sizeof(node->name), "%s", name);
    announce->kind = SL_KIND_NODE;
    memcpy(announce->name, node->name, sizeof(announce->name));
    announce->node = (struct SlNodeSpec){
        .node_id = SlNode_Id(name),
        .roles = roles,
        .tunnel = node_address(index, TUNNEL_PORT),
        .link = node_address(index, LINK_PORT),
    };
    memcpy(announce->node.zone, world->zones[zone],
           sizeof(announce->node.zone));
    return index;
}

static void
add_controls(struct SlWorldNode *node)
{
    struct SlWorld *world = node->world;
    struct SlReplicaOptions *replica = &node->options.replica;
    struct SlControlOptions *control = &node->options.control;

    replica->control_count = 0;
    control->member_count = 0;
    for (uint32_t i = 0; i < world->node_count; i++) {
        struct SlWorldNode *other = &world->nodes[i];
        uint32_t at = replica->control_count;

        if (other->roles & SL_ROLE_CONTROL) {
            replica->control[at] = node_address(i, LINK_PORT);
            replica->control_ids[at] = SlNode_Id(other->name);
            replica->control_count++;
            control->members[control->member_count++] =
                (struct SlControlMember){
                    .node_id = SlNode_Id(other->name),
                    .link = node_address(i, LINK_PORT),
                    .voter = true,
                };
            memcpy(control->members[at].name, other->name, SL_NAME_BYTES);
        }
    }
}

void
SlWorldNode_Start(struct SlWorldNode *node)
{
    struct SlWorld *world = node->world;
    struct SlNodeOptions *options = &node->options;
    struct SlError error = {0};
    enum SlStatus status;

    node->epoch++;
    options->core = (struct SlCoreOptions){
        .roles = node->roles,
        .boot = ((uint64_t)node->epoch << 32) + world->now_us,
        .seed = world->settings.seed + node->index * 7919U + node->epoch,
        .hash_seed = world->settings.seed ^ 0x9e3779b97f4a7c15ULL,
    };
    memcpy(options->core.name, node->name, SL_NAME_BYTES);
    memcpy(options->core.zone, world->zones[node->zone], SL_NAME_BYTES);
    options->entry.cache_flows = CACHE_FLOWS;
    options->agent.slots = node->upstream.slots;
    options->agent.capacity_flows = node->upstream.capacity_flows;
    options->replica.announce.node.boot = options->core.boot;
    options->replica.announce.node.slots = node->upstream.slots;
    options->replica.announce.node.capacity_flows =
        node->upstream.capacity_flows;
    add_controls(node);
    if (node->roles & SL_ROLE_CONTROL && node->storage == NULL) {
        node->storage =
            SlStorage_CreateMemory(SlNode_Id(node->name), options->core.boot);
    }
    options->control.storage = node->storage;
    options->control.bootstrap = true;
    status = SlNode_Create(options, world->now_us, &node->node, &error);
    if (status != SL_OK) {
        fprintf(stderr, "%s: %s\n", node->name, error.message);
        abort();
    }
    SlWorldQueue_Push(&world->queue,
                      (struct SlWorldEvent){
                          .time_us = world->now_us + 1 + node->index,
                          .kind = WORLD_TICK,
                          .target = node->index,
                          .epoch = node->epoch,
                      });
}

void
SlWorldNode_Kill(struct SlWorldNode *node)
{
    if (node->node == NULL) {
        return;
    }
    node->down_us = node->world->now_us;
    SlWorldLinks_DropNode(node);
    SlNode_Destroy(node->node);
    node->node = NULL;
    node->epoch++;
    node->want_count = 0;
}

/// Control inputs are followed by the end of their batch.
void
SlWorldNode_Give(struct SlWorldNode *node, struct SlInput *input)
{
    struct SlInput end = {.kind = SL_INPUT_BATCH_END};

    if (node->node == NULL) {
        return;
    }
    input->now_us = node->world->now_us;
    input->wall_us = node->world->now_us;
    SlNode_Handle(node->node, &node->sink, input);
    switch (input->kind) {
    case SL_INPUT_TICK:
    case SL_INPUT_LINK_UP:
    case SL_INPUT_LINK_DOWN:
    case SL_INPUT_MESSAGE:
    case SL_INPUT_STOP:
        end.now_us = input->now_us;
        end.wall_us = input->wall_us;
        SlNode_Handle(node->node, &node->sink, &end);
        break;
    default:
        break;
    }
}

bool
SlWorld_Hears(const struct SlWorld *world, uint32_t from, uint32_t to)
{
    return world->nodes[from].side == world->nodes[to].side;
}

bool
SlWorld_HearsLink(const struct SlWorld *world, uint32_t from, uint32_t to)
{
    const struct SlWorldNode *a = &world->nodes[from];
    const struct SlWorldNode *b = &world->nodes[to];

    return SlWorld_Hears(world, from, to) &&
           !(a->control_cut && b->roles & SL_ROLE_CONTROL) &&
           !(b->control_cut && a->roles & SL_ROLE_CONTROL);
}

void
SlWorldNode_TakeTunnel(struct SlWorldNode *node,
                       const struct SlWorldEvent *event)
{
    struct SlTunnel tunnel;
    struct SlInput input = {.kind = SL_INPUT_TUNNEL, .tunnel = &tunnel};

    if (!SlWorld_Hears(node->world, (uint32_t)event->number, node->index)) {
        return;
    }
    if (SlTunnel_Decode(event->bytes, event->length_bytes, &tunnel) == SL_OK) {
        SlWorldNode_Give(node, &input);
    }
}
