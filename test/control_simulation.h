#ifndef SAVORYLEDGE_TEST_CONTROL_SIMULATION_H
#define SAVORYLEDGE_TEST_CONTROL_SIMULATION_H

/// Control cores in one process: links with delays, crashes, silent cuts.
/// Messages pass through the codec. Time moves only by simulation_step.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault_storage.h"
#include "savoryledge/coordination/control.h"

enum {
    WORLD_NODES_MAX = 7,
    SIMULATION_STEP_US = 30 * 1000,
    /// Longest way of a message.
    WORLD_DELAY_US = 2 * SIMULATION_STEP_US,
    WORLD_HEARTBEAT_US = 60 * 1000,
    WORLD_ELECTION_US = 300 * 1000,
    /// Messages that wait for a node that stands still.
    WORLD_HELD_MAX = 4,
};

struct control_simulation;

struct world_node {
    struct SlSink sink;
    struct control_simulation *world;
    uint32_t at;
    char name[SL_NAME_BYTES];
    uint64_t node_id;
    struct SlControl *control;
    struct fault_storage *storage;
    bool bootstrap;
    /// Nothing passes to or from it, and no link reports so.
    bool cut;
    /// It stands still: links hold the first few messages for it, no more.
    bool frozen;
    uint32_t held;
    uint64_t wall_offset_us;
};

/// A message on its way.
struct world_message {
    struct world_message *next;
    uint64_t due_us;
    uint32_t to;
    uint64_t link;
    struct SlBuffer bytes;
};

struct control_simulation {
    uint32_t count;
    struct world_node nodes[WORLD_NODES_MAX];
    uint64_t now_us;
    uint64_t random;
    uint64_t next_link;
    uint32_t snapshot_entries;
    uint64_t unreachable_us;
    uint64_t heartbeat_us;
    uint64_t election_us;
    /// Membership without an operator, with the first few nodes as seeds.
    bool self_forming;
    uint32_t seeds;
    /// Encoded messages between nodes since the start.
    uint64_t sent_bytes;
    /// Link numbers between nodes; 0 is none.
    uint64_t links[WORLD_NODES_MAX][WORLD_NODES_MAX];
    uint64_t link_due_us[WORLD_NODES_MAX][WORLD_NODES_MAX];
    struct world_message *first;
    struct world_message *last;
    /// Messages to links of others than nodes.
    void (*outside)(struct control_simulation *world, uint32_t from,
                    uint64_t link, const struct SlMessage *message);
    void *context;
    uint32_t events[2000];
    /// Where the log last promoted each node.
    struct SlVersion promoted[WORLD_NODES_MAX];
};

static inline uint64_t
simulation_random(struct control_simulation *world, uint64_t below)
{
    world->random ^= world->random << 13;
    world->random ^= world->random >> 7;
    world->random ^= world->random << 17;
    return below ? (world->random >> 11) % below : 0;
}

static inline bool
world_alive(const struct world_node *node)
{
    return node->control != NULL && !node->storage->has_crashed;
}

/// Gives one input to a node.
static inline void
world_input(struct control_simulation *world, uint32_t at,
            struct SlInput input)
{
    struct world_node *node = &world->nodes[at];

    if (!world_alive(node)) {
        return;
    }
    input.now_us = world->now_us;
    input.wall_us = world->now_us + node->wall_offset_us;
    SlControl_Handle(node->control, &node->sink, &input);
}

static inline void
simulation_flush(struct control_simulation *world, uint32_t at)
{
    world_input(world, at, (struct SlInput){.kind = SL_INPUT_BATCH_END});
}

/// Gives a message from an outside link, without ending the batch.
static inline void
simulation_send_message(struct control_simulation *world, uint32_t at,
                        uint64_t link, const struct SlMessage *message)
{
    world_input(world, at,
                (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                 .link = link,
                                 .message = message});
}

/// Opens a link from an outside process; returns its number.
static inline uint64_t
simulation_connect(struct control_simulation *world, uint32_t at,
                   const char *name, uint32_t roles)
{
    struct SlPeer peer = {.node_id = SlNode_Id(name), .roles = roles};
    uint64_t link = ++world->next_link;

    snprintf(peer.name, sizeof(peer.name), "%s", name);
    world_input(world, at,
                (struct SlInput){
                    .kind = SL_INPUT_LINK_UP, .link = link, .peer = &peer});
    return link;
}

static inline void
world_disconnect(struct control_simulation *world, uint32_t at, uint64_t link)
{
    world_input(world, at,
                (struct SlInput){.kind = SL_INPUT_LINK_DOWN, .link = link});
}

static inline void
world_append(struct world_message **first, struct world_message **last,
             struct world_message *message)
{
    message->next = NULL;
    if (*last != NULL) {
        (*last)->next = message;
    }
    else {
        *first = message;
    }
    *last = message;
}

static inline void
world_queue(struct control_simulation *world, uint32_t from, uint32_t to,
            uint64_t link, const struct SlMessage *message)
{
    struct world_message *queued = calloc(1, sizeof(*queued));
    uint64_t due_us =
        world->now_us + simulation_random(world, WORLD_DELAY_US) + 1000;

    if (due_us < world->link_due_us[from][to]) {
        due_us = world->link_due_us[from][to];
    }
    world->link_due_us[from][to] = due_us;
    queued->due_us = due_us;
    queued->to = to;
    queued->link = link;
    SlMessage_Encode(message, &queued->bytes);
    world->sent_bytes += queued->bytes.length_bytes;
    world_append(&world->first, &world->last, queued);
}

static void
send_message_world(struct SlSink *sink, uint64_t link,
                   const struct SlMessage *message)
{
    struct world_node *node = (struct world_node *)sink;
    struct control_simulation *world = node->world;

    if (node->storage->has_crashed || node->cut) {
        return;
    }
    for (uint32_t to = 0; to < world->count; to++) {
        if (world->links[node->at][to] == link) {
            world_queue(world, node->at, to, link, message);
            return;
        }
    }
    if (world->outside != NULL) {
        world->outside(world, node->at, link, message);
    }
}

static inline void
world_announce_link(struct control_simulation *world, uint32_t at,
                    uint32_t other, uint64_t link)
{
    struct SlPeer peer = {.node_id = world->nodes[other].node_id,
                          .roles = SL_ROLE_CONTROL};

    memcpy(peer.name, world->nodes[other].name, sizeof(peer.name));
    world_input(world, at,
                (struct SlInput){
                    .kind = SL_INPUT_LINK_UP, .link = link, .peer = &peer});
}

/// Opens a link between two nodes, if both are there.
static inline void
world_link(struct control_simulation *world, uint32_t a, uint32_t b)
{
    uint64_t link;

    if (a == b || world->links[a][b] != 0 || !world_alive(&world->nodes[a]) ||
        !world_alive(&world->nodes[b]) || world->nodes[a].cut ||
        world->nodes[b].cut) {
        return;
    }
    link = ++world->next_link;
    world->links[a][b] = link;
    world->links[b][a] = link;
    world_announce_link(world, a, b, link);
    world_announce_link(world, b, a, link);
}

static inline void
simulation_unlink(struct control_simulation *world, uint32_t a, uint32_t b)
{
    uint64_t link = world->links[a][b];

    if (link == 0) {
        return;
    }
    world->links[a][b] = 0;
    world->links[b][a] = 0;
    world_disconnect(world, a, link);
    world_disconnect(world, b, link);
}

static inline void
note_promotion(struct control_simulation *world, const struct SlEvent *event)
{
    if (event->number != SL_EVENT_COMMITTED ||
        strcmp(event->reason, "member_promote") != 0) {
        return;
    }
    for (uint32_t i = 0; i < world->count; i++) {
        if (strcmp(event->node, world->nodes[i].name) == 0 &&
            SlVersion_Compare(event->version, world->promoted[i]) > 0) {
            world->promoted[i] = event->version;
        }
    }
}

static void
event_world(struct SlSink *sink, const struct SlEvent *event)
{
    struct world_node *node = (struct world_node *)sink;
    char text[SL_EVENT_TEXT_BYTES];

    node->world->events[event->number]++;
    note_promotion(node->world, event);
    if (getenv("WORLD_EVENTS") != NULL) {
        fprintf(stderr, "%s %s\n", node->name, SlEvent_Format(event, text));
    }
}

/// Starts a node's process on the storage that it has.
static inline enum SlStatus
simulation_start_node(struct control_simulation *world, uint32_t at)
{
    struct world_node *node = &world->nodes[at];
    struct SlControlOptions options = {
        .core = {.roles = SL_ROLE_CONTROL, .seed = world->random},
        .bootstrap = node->bootstrap,
        .storage = &node->storage->storage,
        .heartbeat_us = world->heartbeat_us,
        .election_us = world->election_us,
        .snapshot_entries = world->snapshot_entries,
        .unreachable_us = world->unreachable_us,
        .self_forming = world->self_forming,
    };
    struct SlError error;

    memcpy(options.core.name, node->name, sizeof(node->name));
    for (uint32_t i = 0; i < world->count; i++) {
        struct SlControlMember *member = &options.members[i];

        if (world->self_forming && i >= world->seeds) {
            continue;
        }
        if (!world->self_forming && !world->nodes[i].bootstrap && i >= 1 &&
            !node->bootstrap) {
            continue;
        }
        options.member_count = i + 1;
        member->node_id = world->nodes[i].node_id;
        member->voter = true;
        memcpy(member->name, world->nodes[i].name, sizeof(member->name));
    }
    return SlControl_Create(&options, world->now_us, &node->control, &error);
}

/// Ends a node's process as a loss of power would.
static inline void
simulation_crash_node(struct control_simulation *world, uint32_t at)
{
    struct world_node *node = &world->nodes[at];

    if (node->control == NULL) {
        return;
    }
    node->storage->has_crashed = true;
    for (uint32_t i = 0; i < world->count; i++) {
        simulation_unlink(world, at, i);
    }
    SlControl_Destroy(node->control);
    node->control = NULL;
    fault_storage_lose_power(node->storage);
}

/// Replaces the folder of a node that is down by an empty one.
static inline void
simulation_wipe_node(struct control_simulation *world, uint32_t at)
{
    struct world_node *node = &world->nodes[at];

    SlStorage_Destroy(&node->storage->storage);
    node->storage = fault_storage_create(
        node->node_id, 1 + simulation_random(world, 1u << 30));
}

static inline void
simulation_create(struct control_simulation *world, uint32_t count,
                  uint64_t seed)
{
    static const struct SlSinkType SINK = {
        .send_message = send_message_world,
        .dial_node = SlSink_IgnoreDialNode,
        .drop_node = SlSink_IgnoreDropNode,
        .log_event = event_world,
    };

    *world = (struct control_simulation){.count = count,
                                         .now_us = 1000 * 1000,
                                         .random = seed * 2654435761u +
                                                   88172645463325252u,
                                         .snapshot_entries = 40,
                                         .heartbeat_us = WORLD_HEARTBEAT_US,
                                         .election_us = WORLD_ELECTION_US};
    for (uint32_t i = 0; i < count; i++) {
        struct world_node *node = &world->nodes[i];

        node->sink.type = &SINK;
        node->world = world;
        node->at = i;
        node->bootstrap = true;
        snprintf(node->name, sizeof(node->name), "control-%u", i + 1);
        node->node_id = SlNode_Id(node->name);
        node->storage = fault_storage_create(
            node->node_id, 1 + simulation_random(world, 1u << 30));
    }
}

static inline void
simulation_start_all(struct control_simulation *world)
{
    for (uint32_t i = 0; i < world->count; i++) {
        simulation_start_node(world, i);
    }
}

static inline void
world_drop_message(struct world_message *message)
{
    SlBuffer_Release(&message->bytes);
    free(message);
}

static inline void
simulation_destroy(struct control_simulation *world)
{
    while (world->first != NULL) {
        struct world_message *message = world->first;

        world->first = message->next;
        world_drop_message(message);
    }
    for (uint32_t i = 0; i < world->count; i++) {
        SlControl_Destroy(world->nodes[i].control);
        SlStorage_Destroy(&world->nodes[i].storage->storage);
    }
}

static inline void
world_deliver(struct control_simulation *world,
              const struct world_message *queued)
{
    struct world_node *node = &world->nodes[queued->to];
    struct SlMessage message;

    if (node->cut || node->frozen || !world_alive(node) ||
        SlMessage_Decode(queued->bytes.bytes, queued->bytes.length_bytes,
                         &message) != SL_OK) {
        return;
    }
    simulation_send_message(world, queued->to, queued->link, &message);
    SlMessage_Release(&message);
}

/// True when the message waits for a node that stands still.
static inline bool
world_holds(struct control_simulation *world,
            const struct world_message *queued)
{
    struct world_node *node = &world->nodes[queued->to];

    if (!node->frozen || queued->due_us > world->now_us) {
        return false;
    }
    return ++node->held <= WORLD_HELD_MAX;
}

static inline void
world_deliver_due(struct control_simulation *world)
{
    struct world_message *waiting = world->first;
    struct world_message *kept_first = NULL;
    struct world_message *kept_last = NULL;

    for (uint32_t i = 0; i < world->count; i++) {
        world->nodes[i].held = 0;
    }
    world->first = NULL;
    world->last = NULL;
    while (waiting != NULL) {
        struct world_message *queued = waiting;

        waiting = queued->next;
        if (world_holds(world, queued)) {
            world_append(&kept_first, &kept_last, queued);
            continue;
        }
        if (queued->due_us > world->now_us) {
            world_append(&kept_first, &kept_last, queued);
            continue;
        }
        world_deliver(world, queued);
        world_drop_message(queued);
    }
    if (kept_last != NULL) {
        kept_last->next = world->first;
        world->first = kept_first;
        world->last = world->last != NULL ? world->last : kept_last;
    }
}

/// Goes on by one step of time: deliveries, ticks, ends of batches. Nodes
/// whose storage died are crashed.
static inline void
simulation_step(struct control_simulation *world)
{
    world->now_us += SIMULATION_STEP_US;
    for (uint32_t a = 0; a < world->count; a++) {
        for (uint32_t b = a + 1; b < world->count; b++) {
            world_link(world, a, b);
        }
    }
    world_deliver_due(world);
    for (uint32_t i = 0; i < world->count; i++) {
        if (world->nodes[i].frozen) {
            continue;
        }
        world_input(world, i, (struct SlInput){.kind = SL_INPUT_TICK});
        simulation_flush(world, i);
        if (world->nodes[i].control != NULL &&
            world->nodes[i].storage->has_crashed) {
            simulation_crash_node(world, i);
        }
    }
}

static inline void
simulation_run(struct control_simulation *world, uint32_t steps)
{
    for (uint32_t i = 0; i < steps; i++) {
        simulation_step(world);
    }
}

/// The node that leads with a fresh lease; count when none.
static inline uint32_t
simulation_leader(const struct control_simulation *world)
{
    for (uint32_t i = 0; i < world->count; i++) {
        const struct world_node *node = &world->nodes[i];

        if (world_alive(node) &&
            SlControl_State(node->control) == SL_CONTROL_LEADER &&
            SlControl_IsFresh(node->control, world->now_us)) {
            return i;
        }
    }
    return world->count;
}

/// Runs until there is a fresh leader; returns it, or count after limit.
static inline uint32_t
simulation_await_leader(struct control_simulation *world, uint32_t limit_steps)
{
    for (uint32_t i = 0; i < limit_steps; i++) {
        if (simulation_leader(world) < world->count) {
            return simulation_leader(world);
        }
        simulation_step(world);
    }
    return world->count;
}

#endif
