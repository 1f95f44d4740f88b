/// Nodes: real SlNode objects with a sink that turns their calls into events
/// of the simulation's queue.

#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "simulation.h"

enum {
    TUNNEL_PORT = 1,
    LINK_PORT = 2,
    LOCAL_DELAY_US = 30,
    ENTRY_CACHE_FLOWS = 1 << 16,
};

static struct SlSimNode *
node_of_sink(struct SlSink *sink)
{
    return (struct SlSimNode *)sink;
}

static void
push_packet(struct SlSimNode *node, enum SlSimEventKind kind,
            uint64_t delay_us, const uint8_t *bytes, uint32_t length_bytes)
{
    SlSimQueue_Push(&node->sim->queue,
                    (struct SlSimEvent){
                        .time_us = node->sim->now_us + delay_us,
                        .kind = kind,
                        .target = node->index,
                        .epoch = node->epoch,
                        .length_bytes = length_bytes,
                        .bytes = SlSimQueue_CopyBytes(bytes, length_bytes),
                    });
}

static void
send_to_caller(struct SlSink *sink, const uint8_t *bytes,
               uint32_t length_bytes)
{
    struct SlSimNode *node = node_of_sink(sink);

    push_packet(node, SIM_PACKET_TO_CALLER,
                node->sim->settings.client_delay_us + SlSim_Jitter(node->sim),
                bytes, length_bytes);
}

static void
send_to_upstream(struct SlSink *sink, const uint8_t *bytes,
                 uint32_t length_bytes)
{
    push_packet(node_of_sink(sink), SIM_PACKET_TO_UPSTREAM, LOCAL_DELAY_US,
                bytes, length_bytes);
}

static uint32_t
find_node_by_tunnel(const struct SlSim *sim, const struct SlAddress *to)
{
    for (uint32_t i = 0; i < sim->node_count; i++) {
        if (SlAddress_Equal(
                &sim->nodes[i].options.replica.announce.node.tunnel, to)) {
            return i;
        }
    }
    return SIM_NODES_MAX;
}

static void
send_tunnel(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to,
            const struct SlTunnel *tunnel)
{
    struct SlSimNode *node = node_of_sink(sink);
    struct SlSim *sim = node->sim;
    uint8_t bytes[SL_TUNNEL_HEADER_MAX_BYTES + SIM_PACKET_BYTES];
    uint32_t length_bytes = sizeof(bytes);
    uint32_t target = find_node_by_tunnel(sim, to);
    enum SlStatus status;

    (void)node_id;
    if (target == SIM_NODES_MAX ||
        SlSim_Random(sim, 10000) < sim->loss_per_10000) {
        return;
    }
    status = SlTunnel_Encode(tunnel, bytes, &length_bytes);
    assert(status == SL_OK);
    (void)status;
    SlSimQueue_Push(&sim->queue,
                    (struct SlSimEvent){
                        .time_us = sim->now_us + sim->settings.zone_delay_us +
                                   SlSim_Jitter(sim),
                        .kind = SIM_TUNNEL_DATAGRAM,
                        .target = target,
                        .number = node->index,
                        .epoch = sim->nodes[target].epoch,
                        .length_bytes = length_bytes,
                        .bytes = SlSimQueue_CopyBytes(bytes, length_bytes),
                    });
}

static void
send_message(struct SlSink *sink, uint64_t link,
             const struct SlMessage *message)
{
    SlSimLinks_Send(node_of_sink(sink), link, message);
}

static void
dial_node(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    SlSimLinks_Dial(node_of_sink(sink), node_id, to);
}

static void
drop_link(struct SlSink *sink, uint64_t node_id)
{
    SlSimLinks_Drop(node_of_sink(sink), node_id);
}

static void
log_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct SlSimNode *node = node_of_sink(sink);
    char text[SL_EVENT_TEXT_BYTES];

    if (event->number == SL_EVENT_SILENT) {
        node->sim->counts.silent_found++;
    }
    if (node->sim->log != NULL) {
        fprintf((FILE *)node->sim->log, "%s %s\n", node->name,
                SlEvent_Format(event, text));
    }
}

static const struct SlSinkType SIM_SINK = {
    .send_to_caller = send_to_caller,
    .send_to_upstream = send_to_upstream,
    .send_tunnel = send_tunnel,
    .send_message = send_message,
    .dial_node = dial_node,
    .drop_node = drop_link,
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
SlSimNode_Add(struct SlSim *sim, const char *name, uint32_t zone,
              uint32_t roles)
{
    uint32_t index = sim->node_count++;
    struct SlSimNode *node = &sim->nodes[index];
    struct SlObject *announce = &node->options.replica.announce;

    assert(index < SIM_NODES_MAX);
    node->sink.type = &SIM_SINK;
    node->sim = sim;
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
    memcpy(announce->node.zone, sim->zones[zone], sizeof(announce->node.zone));
    return index;
}

static void
add_control_members(struct SlSimNode *node)
{
    struct SlSim *sim = node->sim;
    struct SlReplicaOptions *replica = &node->options.replica;
    struct SlControlOptions *control = &node->options.control;

    replica->control_count = 0;
    control->member_count = 0;
    for (uint32_t i = 0; i < sim->node_count; i++) {
        struct SlSimNode *other = &sim->nodes[i];
        uint32_t index = replica->control_count;

        if (other->roles & SL_ROLE_CONTROL) {
            replica->control[index] = node_address(i, LINK_PORT);
            replica->control_ids[index] = SlNode_Id(other->name);
            replica->control_count++;
            control->members[control->member_count++] =
                (struct SlControlMember){
                    .node_id = SlNode_Id(other->name),
                    .link_address = node_address(i, LINK_PORT),
                    .is_voter = true,
                };
            memcpy(control->members[index].name, other->name, SL_NAME_BYTES);
        }
    }
}

void
SlSimNode_Start(struct SlSimNode *node)
{
    struct SlSim *sim = node->sim;
    struct SlNodeOptions *options = &node->options;
    struct SlError error = {0};
    enum SlStatus status;

    node->epoch++;
    options->core = (struct SlCoreOptions){
        .roles = node->roles,
        .boot = ((uint64_t)node->epoch << 32) + sim->now_us,
        .seed = sim->settings.seed + node->index * 7919U + node->epoch,
        .hash_seed = sim->settings.seed ^ 0x9e3779b97f4a7c15ULL,
    };
    memcpy(options->core.name, node->name, SL_NAME_BYTES);
    memcpy(options->core.zone, sim->zones[node->zone], SL_NAME_BYTES);
    options->entry.cache_flows = ENTRY_CACHE_FLOWS;
    options->agent.slots = node->upstream.slots;
    options->agent.capacity_flows = node->upstream.capacity_flows;
    options->replica.announce.node.boot = options->core.boot;
    options->replica.announce.node.slots = node->upstream.slots;
    options->replica.announce.node.capacity_flows =
        node->upstream.capacity_flows;
    add_control_members(node);
    if (node->roles & SL_ROLE_CONTROL && node->storage == NULL) {
        node->storage =
            SlStorage_CreateMemory(SlNode_Id(node->name), options->core.boot);
    }
    options->control.storage = node->storage;
    options->control.bootstrap = true;
    status = SlNode_Create(options, sim->now_us, &node->node, &error);
    if (status != SL_OK) {
        fprintf(stderr, "%s: %s\n", node->name, error.message);
        abort();
    }
    SlSimQueue_Push(&sim->queue, (struct SlSimEvent){
                                     .time_us = sim->now_us + 1 + node->index,
                                     .kind = SIM_TICK,
                                     .target = node->index,
                                     .epoch = node->epoch,
                                 });
}

void
SlSimNode_Kill(struct SlSimNode *node)
{
    if (node->node == NULL) {
        return;
    }
    node->down_us = node->sim->now_us;
    SlSimLinks_DropNode(node);
    SlNode_Destroy(node->node);
    node->node = NULL;
    node->epoch++;
    node->dial_target_count = 0;
}

/// Passes an input to the node. Control inputs are followed by the end of
/// their batch.
void
SlSimNode_HandleInput(struct SlSimNode *node, struct SlInput *input)
{
    struct SlInput end = {.kind = SL_INPUT_BATCH_END};

    if (node->node == NULL) {
        return;
    }
    input->now_us = node->sim->now_us;
    input->wall_us = node->sim->now_us;
    SlNode_HandleInput(node->node, &node->sink, input);
    switch (input->kind) {
    case SL_INPUT_TICK:
    case SL_INPUT_LINK_UP:
    case SL_INPUT_LINK_DOWN:
    case SL_INPUT_MESSAGE:
    case SL_INPUT_STOP:
        end.now_us = input->now_us;
        end.wall_us = input->wall_us;
        SlNode_HandleInput(node->node, &node->sink, &end);
        break;
    default:
        break;
    }
}

bool
SlSim_CanReach(const struct SlSim *sim, uint32_t from, uint32_t to)
{
    return sim->nodes[from].partition == sim->nodes[to].partition;
}

bool
SlSim_CanReachByLink(const struct SlSim *sim, uint32_t from, uint32_t to)
{
    const struct SlSimNode *a = &sim->nodes[from];
    const struct SlSimNode *b = &sim->nodes[to];

    return SlSim_CanReach(sim, from, to) &&
           !(a->cut_off_from_control && b->roles & SL_ROLE_CONTROL) &&
           !(b->cut_off_from_control && a->roles & SL_ROLE_CONTROL);
}

void
SlSimNode_ReceiveTunnel(struct SlSimNode *node, const struct SlSimEvent *event)
{
    struct SlTunnel tunnel;
    struct SlInput input = {.kind = SL_INPUT_TUNNEL, .tunnel = &tunnel};

    if (!SlSim_CanReach(node->sim, (uint32_t)event->number, node->index)) {
        return;
    }
    if (SlTunnel_Decode(event->bytes, event->length_bytes, &tunnel) == SL_OK) {
        SlSimNode_HandleInput(node, &input);
    }
}
