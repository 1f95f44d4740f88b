/// Links between nodes. They keep messages in order, and fail on both sides at
/// the same time.

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "simulation.h"

enum {
    REDIAL_DELAY_US = 500 * 1000,
};

static void
schedule_connect(struct SlSimNode *node, uint64_t node_id, uint64_t delay_us)
{
    SlSimQueue_Push(&node->sim->queue,
                    (struct SlSimEvent){
                        .time_us = node->sim->now_us + delay_us,
                        .kind = SIM_LINK_CONNECT,
                        .target = node->index,
                        .epoch = node->epoch,
                        .number = node_id,
                    });
}

static struct SlSimDialTarget *
find_dial_target(struct SlSimNode *node, uint64_t node_id)
{
    for (uint32_t i = 0; i < node->dial_target_count; i++) {
        if (node->dial_targets[i].node_id == node_id) {
            return &node->dial_targets[i];
        }
    }
    return NULL;
}

void
SlSimLinks_Dial(struct SlSimNode *node, uint64_t node_id,
                const struct SlAddress *to)
{
    if (find_dial_target(node, node_id) != NULL) {
        return;
    }
    assert(node->dial_target_count < SIM_DIAL_TARGETS_MAX);
    node->dial_targets[node->dial_target_count++] =
        (struct SlSimDialTarget){.node_id = node_id, .to = *to};
    schedule_connect(node, node_id, 2U * node->sim->settings.zone_delay_us);
}

static void
handle_link_input(struct SlSimNode *node, enum SlInputKind kind, uint64_t link,
                  const struct SlSimNode *other)
{
    struct SlPeer peer = {
        .node_id = SlNode_Id(other->name),
        .roles = other->roles,
        .boot = other->options.core.boot,
    };
    struct SlInput input = {.kind = kind, .link = link, .peer = &peer};

    memcpy(peer.name, other->name, sizeof(peer.name));
    SlSimNode_HandleInput(node, &input);
}

static void
close_link(struct SlSim *sim, uint64_t number)
{
    struct SlSimLink *link = &sim->links[number];

    if (!link->up) {
        return;
    }
    link->up = false;
    for (int i = 0; i < 2; i++) {
        struct SlSimNode *node = &sim->nodes[link->ends[i]];

        for (uint32_t w = 0; w < node->dial_target_count; w++) {
            if (node->dial_targets[w].link == number) {
                node->dial_targets[w].link = 0;
                schedule_connect(node, node->dial_targets[w].node_id,
                                 REDIAL_DELAY_US);
            }
        }
        handle_link_input(node, SL_INPUT_LINK_DOWN, number,
                          &sim->nodes[link->ends[1 - i]]);
    }
}

static void
schedule_link_down(struct SlSim *sim, uint64_t number, int end)
{
    uint32_t target = sim->links[number].ends[end];

    SlSimQueue_Push(&sim->queue,
                    (struct SlSimEvent){
                        .time_us = sim->now_us + sim->settings.zone_delay_us,
                        .kind = SIM_LINK_MESSAGE,
                        .target = target,
                        .epoch = sim->nodes[target].epoch,
                        .number = number,
                    });
}

void
SlSimLinks_Drop(struct SlSimNode *node, uint64_t node_id)
{
    struct SlSimDialTarget *dial_target = find_dial_target(node, node_id);
    struct SlSim *sim = node->sim;
    uint64_t number;

    if (dial_target == NULL) {
        return;
    }
    number = dial_target->link;
    *dial_target = node->dial_targets[--node->dial_target_count];
    if (number != 0 && sim->links[number].up) {
        /* The core that dropped the link has not returned yet, so its
         * link-down input is queued. */
        schedule_link_down(sim, number, 0);
        schedule_link_down(sim, number, 1);
        sim->links[number].up = false;
    }
}

static uint32_t
find_peer(const struct SlSim *sim, const struct SlSimDialTarget *dial_target)
{
    for (uint32_t i = 0; i < sim->node_count; i++) {
        const struct SlNodeSpec *spec =
            &sim->nodes[i].options.replica.announce.node;

        if (SlAddress_Equal(&spec->link, &dial_target->to)) {
            return i;
        }
    }
    return SIM_NODES_MAX;
}

void
SlSimLinks_Connect(struct SlSim *sim, const struct SlSimEvent *event)
{
    struct SlSimNode *node = &sim->nodes[event->target];
    struct SlSimDialTarget *dial_target =
        find_dial_target(node, event->number);
    uint32_t peer =
        dial_target == NULL ? SIM_NODES_MAX : find_peer(sim, dial_target);
    uint64_t number;

    if (dial_target == NULL || dial_target->link != 0 ||
        peer == SIM_NODES_MAX) {
        return;
    }
    if (sim->nodes[peer].node == NULL || sim->nodes[peer].frozen ||
        !SlSim_CanReachByLink(sim, node->index, peer)) {
        schedule_connect(node, event->number, REDIAL_DELAY_US);
        return;
    }
    number = ++sim->link_count;
    assert(number < SIM_LINKS_MAX);
    sim->links[number] =
        (struct SlSimLink){.ends = {node->index, peer}, .up = true};
    dial_target->link = number;
    handle_link_input(&sim->nodes[peer], SL_INPUT_LINK_UP, number, node);
    handle_link_input(node, SL_INPUT_LINK_UP, number, &sim->nodes[peer]);
}

void
SlSimLinks_Send(struct SlSimNode *node, uint64_t number,
                const struct SlMessage *message)
{
    struct SlSim *sim = node->sim;
    struct SlBuffer bytes = {0};
    struct SlSimLink *link;
    uint32_t end;
    uint64_t time_us;

    if (number == sim->change_link && number != 0) {
        SlSimOperator_ReceiveResult(sim, message);
        return;
    }
    link = &sim->links[number < SIM_LINKS_MAX ? number : 0];
    end = link->ends[0] == node->index ? 1 : 0;
    if (!link->up || SlMessage_Encode(message, &bytes) != SL_OK) {
        SlBuffer_Release(&bytes);
        return;
    }
    time_us = sim->now_us + sim->settings.zone_delay_us + SlSim_Jitter(sim) +
              sim->nodes[link->ends[end]].receive_delay_us;
    if (time_us <= link->last_arrival_us[end]) {
        time_us = link->last_arrival_us[end];
    }
    link->last_arrival_us[end] = time_us;
    SlSimQueue_Push(&sim->queue,
                    (struct SlSimEvent){
                        .time_us = time_us,
                        .kind = SIM_LINK_MESSAGE,
                        .target = link->ends[end],
                        .epoch = sim->nodes[link->ends[end]].epoch,
                        .number = number,
                        .length_bytes = (uint32_t)bytes.length_bytes,
                        .bytes = bytes.bytes,
                    });
}

/// An event without bytes means that the link is closed.
void
SlSimLinks_Receive(struct SlSim *sim, const struct SlSimEvent *event)
{
    struct SlSimNode *node = &sim->nodes[event->target];
    struct SlSimLink *link = &sim->links[event->number];
    uint32_t other = link->ends[link->ends[0] == event->target];
    struct SlMessage message;
    struct SlInput input = {
        .kind = SL_INPUT_MESSAGE, .link = event->number, .message = &message};

    if (event->bytes == NULL) {
        handle_link_input(node, SL_INPUT_LINK_DOWN, event->number,
                          &sim->nodes[other]);
        return;
    }
    if (!link->up || !SlSim_CanReachByLink(sim, other, event->target) ||
        SlMessage_Decode(event->bytes, event->length_bytes, &message) !=
            SL_OK) {
        return;
    }
    SlSimNode_HandleInput(node, &input);
    SlMessage_Release(&message);
}

void
SlSimLinks_DropNode(struct SlSimNode *node)
{
    struct SlSim *sim = node->sim;

    for (uint64_t i = 1; i <= sim->link_count; i++) {
        if (sim->links[i].up && (sim->links[i].ends[0] == node->index ||
                                 sim->links[i].ends[1] == node->index)) {
            close_link(sim, i);
        }
    }
}

void
SlSimLinks_DropPartitioned(struct SlSim *sim)
{
    for (uint64_t i = 1; i <= sim->link_count; i++) {
        if (sim->links[i].up &&
            !SlSim_CanReachByLink(sim, sim->links[i].ends[0],
                                  sim->links[i].ends[1])) {
            close_link(sim, i);
        }
    }
}
