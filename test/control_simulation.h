#ifndef SAVORYLEDGE_TEST_CONTROL_SIMULATION_H
#define SAVORYLEDGE_TEST_CONTROL_SIMULATION_H

/// Simulation of control instances in one process: links with delays, crashes
/// and network partitions that no link reports. Messages pass through the
/// codec. Only simulation_step advances the time.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault_storage.h"
#include "savoryledge/coordination/control.h"

enum {
    SIMULATION_NODES_MAX = 7,
    SIMULATION_STEP_US = 30 * 1000,
    /// Maximum delay of a message between two nodes.
    SIMULATION_MAX_DELAY_US = 2 * SIMULATION_STEP_US,
    SIMULATION_HEARTBEAT_US = 60 * 1000,
    SIMULATION_ELECTION_US = 300 * 1000,
    /// Messages that the links hold for a stalled node.
    SIMULATION_HELD_MESSAGES_MAX = 4,
};

struct control_simulation;

struct simulated_node {
    struct SlSink sink;
    struct control_simulation *simulation;
    uint32_t index;
    char name[SL_NAME_BYTES];
    uint64_t node_id;
    struct SlControl *control;
    struct fault_storage *storage;
    bool bootstrap;
    /// No message passes to or from the node, but its links stay up.
    bool is_partitioned;
    /// The node handles no input. Links hold the first few messages for it and
    /// drop the others.
    bool is_stalled;
    /// Number of messages that links hold for the stalled node.
    uint32_t held_messages;
    uint64_t wall_offset_us;
    /// Numbers of outside processes that the node dialled and dropped.
    uint32_t outside_dials;
    uint32_t outside_drops;
};

/// An encoded message that has not been delivered yet.
struct simulated_message {
    struct simulated_message *next;
    uint64_t due_us;
    uint32_t to;
    uint64_t link;
    struct SlBuffer bytes;
};

struct control_simulation {
    uint32_t count;
    struct simulated_node nodes[SIMULATION_NODES_MAX];
    uint64_t now_us;
    uint64_t random;
    uint64_t next_link;
    uint32_t snapshot_entries;
    uint64_t unreachable_us;
    uint64_t heartbeat_us;
    uint64_t election_us;
    /// Added to the delay of each message between nodes.
    uint64_t extra_delay_us;
    /// Nodes manage their membership themselves; the first `seeds` nodes found
    /// the site.
    bool self_forming;
    uint32_t seeds;
    /// Total size of the messages sent between nodes.
    uint64_t sent_bytes;
    /// Link numbers between nodes; 0 when there is no link.
    uint64_t links[SIMULATION_NODES_MAX][SIMULATION_NODES_MAX];
    uint64_t link_due_us[SIMULATION_NODES_MAX][SIMULATION_NODES_MAX];
    struct simulated_message *first_message;
    struct simulated_message *last_message;
    /// Called with messages on links that do not lead to a node.
    void (*on_outside_message)(struct control_simulation *simulation,
                               uint32_t from, uint64_t link,
                               const struct SlMessage *message);
    void *context;
    /// Number of emitted events per event number.
    uint32_t events[2000];
    /// Version of the record that last promoted each node to a voter.
    struct SlVersion promotion_version[SIMULATION_NODES_MAX];
};

static inline uint64_t
simulation_random(struct control_simulation *simulation, uint64_t below)
{
    simulation->random ^= simulation->random << 13;
    simulation->random ^= simulation->random >> 7;
    simulation->random ^= simulation->random << 17;
    return below ? (simulation->random >> 11) % below : 0;
}

static inline bool
simulation_is_alive(const struct simulated_node *node)
{
    return node->control != NULL && !node->storage->has_crashed;
}

/// Passes one input to a node, unless the node is down.
static inline void
simulation_handle_input(struct control_simulation *simulation, uint32_t index,
                        struct SlInput input)
{
    struct simulated_node *node = &simulation->nodes[index];

    if (!simulation_is_alive(node)) {
        return;
    }
    input.now_us = simulation->now_us;
    input.wall_us = simulation->now_us + node->wall_offset_us;
    SlControl_HandleInput(node->control, &node->sink, &input);
}

static inline void
simulation_flush(struct control_simulation *simulation, uint32_t index)
{
    simulation_handle_input(simulation, index,
                            (struct SlInput){.kind = SL_INPUT_BATCH_END});
}

/// Delivers a message from an outside process, without ending the batch.
static inline void
simulation_send_message(struct control_simulation *simulation, uint32_t index,
                        uint64_t link, const struct SlMessage *message)
{
    simulation_handle_input(simulation, index,
                            (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                             .link = link,
                                             .message = message});
}

/// Opens a link from an outside process; returns its number.
static inline uint64_t
simulation_connect(struct control_simulation *simulation, uint32_t index,
                   const char *name, uint32_t roles)
{
    struct SlPeer peer = {.node_id = SlNode_Id(name), .roles = roles};
    uint64_t link = ++simulation->next_link;

    snprintf(peer.name, sizeof(peer.name), "%s", name);
    simulation_handle_input(simulation, index,
                            (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                             .link = link,
                                             .peer = &peer});
    return link;
}

static inline void
simulation_disconnect(struct control_simulation *simulation, uint32_t index,
                      uint64_t link)
{
    simulation_handle_input(
        simulation, index,
        (struct SlInput){.kind = SL_INPUT_LINK_DOWN, .link = link});
}

static inline void
simulation_append_message(struct simulated_message **first,
                          struct simulated_message **last,
                          struct simulated_message *message)
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
simulation_queue_message(struct control_simulation *simulation, uint32_t from,
                         uint32_t to, uint64_t link,
                         const struct SlMessage *message)
{
    struct simulated_message *queued = calloc(1, sizeof(*queued));
    uint64_t due_us = simulation->now_us +
                      simulation_random(simulation, SIMULATION_MAX_DELAY_US) +
                      simulation->extra_delay_us + 1000;

    if (due_us < simulation->link_due_us[from][to]) {
        due_us = simulation->link_due_us[from][to];
    }
    simulation->link_due_us[from][to] = due_us;
    queued->due_us = due_us;
    queued->to = to;
    queued->link = link;
    SlMessage_Encode(message, &queued->bytes);
    simulation->sent_bytes += queued->bytes.length_bytes;
    simulation_append_message(&simulation->first_message,
                              &simulation->last_message, queued);
}

static void
send_message_from_node(struct SlSink *sink, uint64_t link,
                       const struct SlMessage *message)
{
    struct simulated_node *node = (struct simulated_node *)sink;
    struct control_simulation *simulation = node->simulation;

    if (node->storage->has_crashed || node->is_partitioned) {
        return;
    }
    for (uint32_t to = 0; to < simulation->count; to++) {
        if (simulation->links[node->index][to] == link) {
            simulation_queue_message(simulation, node->index, to, link,
                                     message);
            return;
        }
    }
    if (simulation->on_outside_message != NULL) {
        simulation->on_outside_message(simulation, node->index, link, message);
    }
}

static inline void
simulation_notify_link_up(struct control_simulation *simulation,
                          uint32_t index, uint32_t other, uint64_t link)
{
    struct SlPeer peer = {.node_id = simulation->nodes[other].node_id,
                          .roles = SL_ROLE_CONTROL};

    memcpy(peer.name, simulation->nodes[other].name, sizeof(peer.name));
    simulation_handle_input(simulation, index,
                            (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                             .link = link,
                                             .peer = &peer});
}

static bool
is_simulated_node(const struct control_simulation *simulation,
                  uint64_t node_id)
{
    for (uint32_t i = 0; i < simulation->count; i++) {
        if (simulation->nodes[i].node_id == node_id) {
            return true;
        }
    }
    return false;
}

static void
record_outside_dial(struct SlSink *sink, uint64_t node_id,
                    const struct SlAddress *to)
{
    struct simulated_node *node = (struct simulated_node *)sink;

    (void)to;
    node->outside_dials += !is_simulated_node(node->simulation, node_id);
}

static void
record_outside_drop(struct SlSink *sink, uint64_t node_id)
{
    struct simulated_node *node = (struct simulated_node *)sink;

    node->outside_drops += !is_simulated_node(node->simulation, node_id);
}

/// Opens a link between two nodes if both are running and not partitioned.
static inline void
simulation_link(struct control_simulation *simulation, uint32_t a, uint32_t b)
{
    uint64_t link;

    if (a == b || simulation->links[a][b] != 0 ||
        !simulation_is_alive(&simulation->nodes[a]) ||
        !simulation_is_alive(&simulation->nodes[b]) ||
        simulation->nodes[a].is_partitioned ||
        simulation->nodes[b].is_partitioned) {
        return;
    }
    link = ++simulation->next_link;
    simulation->links[a][b] = link;
    simulation->links[b][a] = link;
    simulation_notify_link_up(simulation, a, b, link);
    simulation_notify_link_up(simulation, b, a, link);
}

static inline void
simulation_unlink(struct control_simulation *simulation, uint32_t a,
                  uint32_t b)
{
    uint64_t link = simulation->links[a][b];

    if (link == 0) {
        return;
    }
    simulation->links[a][b] = 0;
    simulation->links[b][a] = 0;
    simulation_disconnect(simulation, a, link);
    simulation_disconnect(simulation, b, link);
}

static inline void
record_promotion(struct control_simulation *simulation,
                 const struct SlEvent *event)
{
    if (event->number != SL_EVENT_COMMITTED ||
        strcmp(event->reason, "member_promote") != 0) {
        return;
    }
    for (uint32_t i = 0; i < simulation->count; i++) {
        if (strcmp(event->node, simulation->nodes[i].name) == 0 &&
            SlVersion_Compare(event->version,
                              simulation->promotion_version[i]) > 0) {
            simulation->promotion_version[i] = event->version;
        }
    }
}

static void
record_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct simulated_node *node = (struct simulated_node *)sink;
    char text[SL_EVENT_TEXT_BYTES];

    node->simulation->events[event->number]++;
    record_promotion(node->simulation, event);
    if (getenv("WORLD_EVENTS") != NULL) {
        fprintf(stderr, "%s %s\n", node->name, SlEvent_Format(event, text));
    }
}

/// Starts the process of a node with its present storage.
static inline enum SlStatus
simulation_start_node(struct control_simulation *simulation, uint32_t index)
{
    struct simulated_node *node = &simulation->nodes[index];
    struct SlControlOptions options = {
        .core = {.roles = SL_ROLE_CONTROL, .seed = simulation->random},
        .bootstrap = node->bootstrap,
        .storage = &node->storage->storage,
        .heartbeat_us = simulation->heartbeat_us,
        .election_us = simulation->election_us,
        .snapshot_entries = simulation->snapshot_entries,
        .unreachable_us = simulation->unreachable_us,
        .self_forming = simulation->self_forming,
    };
    struct SlError error;

    memcpy(options.core.name, node->name, sizeof(node->name));
    for (uint32_t i = 0; i < simulation->count; i++) {
        struct SlControlMember *member = &options.members[i];

        if (simulation->self_forming && i >= simulation->seeds) {
            continue;
        }
        if (!simulation->self_forming && !simulation->nodes[i].bootstrap &&
            i >= 1 && !node->bootstrap) {
            continue;
        }
        options.member_count = i + 1;
        member->node_id = simulation->nodes[i].node_id;
        member->is_voter = true;
        memcpy(member->name, simulation->nodes[i].name, sizeof(member->name));
    }
    return SlControl_Create(&options, simulation->now_us, &node->control,
                            &error);
}

/// Ends the process of a node as a power loss would.
static inline void
simulation_crash_node(struct control_simulation *simulation, uint32_t index)
{
    struct simulated_node *node = &simulation->nodes[index];

    if (node->control == NULL) {
        return;
    }
    node->storage->has_crashed = true;
    for (uint32_t i = 0; i < simulation->count; i++) {
        simulation_unlink(simulation, index, i);
    }
    SlControl_Destroy(node->control);
    node->control = NULL;
    fault_storage_lose_power(node->storage);
}

/// Replaces the data folder of a node that is down by an empty one.
static inline void
simulation_wipe_node(struct control_simulation *simulation, uint32_t index)
{
    struct simulated_node *node = &simulation->nodes[index];

    SlStorage_Destroy(&node->storage->storage);
    node->storage = fault_storage_create(
        node->node_id, 1 + simulation_random(simulation, 1u << 30));
}

static inline void
simulation_create(struct control_simulation *simulation, uint32_t count,
                  uint64_t seed)
{
    static const struct SlSinkType SINK = {
        .send_message = send_message_from_node,
        .dial_node = record_outside_dial,
        .drop_node = record_outside_drop,
        .log_event = record_event,
    };

    *simulation = (struct control_simulation){
        .count = count,
        .now_us = 1000 * 1000,
        .random = seed * 2654435761u + 88172645463325252u,
        .snapshot_entries = 40,
        .heartbeat_us = SIMULATION_HEARTBEAT_US,
        .election_us = SIMULATION_ELECTION_US};
    for (uint32_t i = 0; i < count; i++) {
        struct simulated_node *node = &simulation->nodes[i];

        node->sink.type = &SINK;
        node->simulation = simulation;
        node->index = i;
        node->bootstrap = true;
        snprintf(node->name, sizeof(node->name), "control-%u", i + 1);
        node->node_id = SlNode_Id(node->name);
        node->storage = fault_storage_create(
            node->node_id, 1 + simulation_random(simulation, 1u << 30));
    }
}

static inline void
simulation_start_all(struct control_simulation *simulation)
{
    for (uint32_t i = 0; i < simulation->count; i++) {
        simulation_start_node(simulation, i);
    }
}

static inline void
simulation_free_message(struct simulated_message *message)
{
    SlBuffer_Release(&message->bytes);
    free(message);
}

static inline void
simulation_destroy(struct control_simulation *simulation)
{
    while (simulation->first_message != NULL) {
        struct simulated_message *message = simulation->first_message;

        simulation->first_message = message->next;
        simulation_free_message(message);
    }
    for (uint32_t i = 0; i < simulation->count; i++) {
        SlControl_Destroy(simulation->nodes[i].control);
        SlStorage_Destroy(&simulation->nodes[i].storage->storage);
    }
}

static inline void
simulation_deliver(struct control_simulation *simulation,
                   const struct simulated_message *queued)
{
    struct simulated_node *node = &simulation->nodes[queued->to];
    struct SlMessage message;

    if (node->is_partitioned || node->is_stalled ||
        !simulation_is_alive(node) ||
        SlMessage_Decode(queued->bytes.bytes, queued->bytes.length_bytes,
                         &message) != SL_OK) {
        return;
    }
    simulation_send_message(simulation, queued->to, queued->link, &message);
    SlMessage_Release(&message);
}

/// True when a link holds the message for a stalled node.
static inline bool
simulation_holds_message(struct control_simulation *simulation,
                         const struct simulated_message *queued)
{
    struct simulated_node *node = &simulation->nodes[queued->to];

    if (!node->is_stalled || queued->due_us > simulation->now_us) {
        return false;
    }
    return ++node->held_messages <= SIMULATION_HELD_MESSAGES_MAX;
}

static inline void
simulation_deliver_due(struct control_simulation *simulation)
{
    struct simulated_message *queued_list = simulation->first_message;
    struct simulated_message *pending_first = NULL;
    struct simulated_message *pending_last = NULL;

    for (uint32_t i = 0; i < simulation->count; i++) {
        simulation->nodes[i].held_messages = 0;
    }
    simulation->first_message = NULL;
    simulation->last_message = NULL;
    while (queued_list != NULL) {
        struct simulated_message *queued = queued_list;

        queued_list = queued->next;
        if (simulation_holds_message(simulation, queued)) {
            simulation_append_message(&pending_first, &pending_last, queued);
            continue;
        }
        if (queued->due_us > simulation->now_us) {
            simulation_append_message(&pending_first, &pending_last, queued);
            continue;
        }
        simulation_deliver(simulation, queued);
        simulation_free_message(queued);
    }
    if (pending_last != NULL) {
        pending_last->next = simulation->first_message;
        simulation->first_message = pending_first;
        simulation->last_message = simulation->last_message != NULL
                                       ? simulation->last_message
                                       : pending_last;
    }
}

/// Advances the time by one step: delivers messages, then ticks every node and
/// ends its batch. Nodes whose storage failed are crashed.
static inline void
simulation_step(struct control_simulation *simulation)
{
    simulation->now_us += SIMULATION_STEP_US;
    for (uint32_t a = 0; a < simulation->count; a++) {
        for (uint32_t b = a + 1; b < simulation->count; b++) {
            simulation_link(simulation, a, b);
        }
    }
    simulation_deliver_due(simulation);
    for (uint32_t i = 0; i < simulation->count; i++) {
        if (simulation->nodes[i].is_stalled) {
            continue;
        }
        simulation_handle_input(simulation, i,
                                (struct SlInput){.kind = SL_INPUT_TICK});
        simulation_flush(simulation, i);
        if (simulation->nodes[i].control != NULL &&
            simulation->nodes[i].storage->has_crashed) {
            simulation_crash_node(simulation, i);
        }
    }
}

static inline void
simulation_run(struct control_simulation *simulation, uint32_t steps)
{
    for (uint32_t i = 0; i < steps; i++) {
        simulation_step(simulation);
    }
}

/// Index of a leader with a fresh lease; simulation->count when there is none.
static inline uint32_t
simulation_leader(const struct control_simulation *simulation)
{
    for (uint32_t i = 0; i < simulation->count; i++) {
        const struct simulated_node *node = &simulation->nodes[i];

        if (simulation_is_alive(node) &&
            SlControl_State(node->control) == SL_CONTROL_LEADER &&
            SlControl_IsFresh(node->control, simulation->now_us)) {
            return i;
        }
    }
    return simulation->count;
}

/// Runs until there is a leader with a fresh lease and returns its index, or
/// returns simulation->count after limit_steps.
static inline uint32_t
simulation_await_leader(struct control_simulation *simulation,
                        uint32_t limit_steps)
{
    for (uint32_t i = 0; i < limit_steps; i++) {
        if (simulation_leader(simulation) < simulation->count) {
            return simulation_leader(simulation);
        }
        simulation_step(simulation);
    }
    return simulation->count;
}

#endif
