/// Links between nodes: in order, and down on both sides at once.

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
    REDIAL_US = 500 * 1000,
};

static void
push_connect(struct SlWorldNode *node, uint64_t node_id, uint64_t delay_us)
{
    SlWorldQueue_Push(&node->world->queue,
                      (struct SlWorldEvent){
                          .time_us = node->world->now_us + delay_us,
                          .kind = WORLD_CONNECT,
                          .target = node->index,
                          .epoch = node->epoch,
                          .number = node_id,
                      });
}

static struct SlWorldWant *
find_want(struct SlWorldNode *node, uint64_t node_id)
{
    for (uint32_t i = 0; i < node->want_count; i++) {
        if (node->wants[i].node_id == node_id) {
            return &node->wants[i];
        }
    }
    return NULL;
}

void
SlWorldLinks_Dial(struct SlWorldNode *node, uint64_t node_id,
                  const struct SlAddress *to)
{
    if (find_want(node, node_id) != NULL) {
        return;
    }
    assert(node->want_count < WORLD_WANTS_MAX);
    node->wants[node->want_count++] =
        (struct SlWorldWant){.node_id = node_id, .to = *to};
    push_connect(node, node_id, 2U * node->world->settings.zone_delay_us);
}

static void
give_link(struct SlWorldNode *node, enum SlInputKind kind, uint64_t link,
          const struct SlWorldNode *other)
{
    struct SlPeer peer = {
        .node_id = SlNode_Id(other->name),
        .roles = other->roles,
        .boot = other->options.core.boot,
    };
    struct SlInput input = {.kind = kind, .link = link, .peer = &peer};

    memcpy(peer.name, other->name, sizeof(peer.name));
    SlWorldNode_Give(node, &input);
}

static void
end_link(struct SlWorld *world, uint64_t number)
{
    struct SlWorldLink *link = &world->links[number];

    if (!link->up) {
        return;
    }
    link->up = false;
    for (int i = 0; i < 2; i++) {
        struct SlWorldNode *node = &world->nodes[link->ends[i]];

        for (uint32_t w = 0; w < node->want_count; w++) {
            if (node->wants[w].link == number) {
                node->wants[w].link = 0;
                push_connect(node, node->wants[w].node_id, REDIAL_US);
            }
        }
        give_link(node, SL_INPUT_LINK_DOWN, number,
                  &world->nodes[link->ends[1 - i]]);
    }
}

static void
push_end(struct SlWorld *world, uint64_t number, int end)
{
    uint32_t target = world->links[number].ends[end];

    SlWorldQueue_Push(
        &world->queue,
        (struct SlWorldEvent){
            .time_us = world->now_us + world->settings.zone_delay_us,
            .kind = WORLD_MESSAGE,
            .target = target,
            .epoch = world->nodes[target].epoch,
            .number = number,
        });
}

void
SlWorldLinks_Drop(struct SlWorldNode *node, uint64_t node_id)
{
    struct SlWorldWant *want = find_want(node, node_id);
    struct SlWorld *world = node->world;
    uint64_t number;

    if (want == NULL) {
        return;
    }
    number = want->link;
    *want = node->wants[--node->want_count];
    if (number != 0 && world->links[number].up) {
        /* The core that asked is still at work: it is told later. */
        push_end(world, number, 0);
        push_end(world, number, 1);
        world->links[number].up = false;
    }
}

static uint32_t
find_peer(const struct SlWorld *world, const struct SlWorldWant *want)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        const struct SlNodeSpec *spec =
            &world->nodes[i].options.replica.announce.node;

        if (SlAddress_Equal(&spec->link, &want->to)) {
            return i;
        }
    }
    return WORLD_NODES_MAX;
}

void
SlWorldLinks_Connect(struct SlWorld *world, const struct SlWorldEvent *event)
{
    struct SlWorldNode *node = &world->nodes[event->target];
    struct SlWorldWant *want = find_want(node, event->number);
    uint32_t peer = want == NULL ? WORLD_NODES_MAX : find_peer(world, want);
    uint64_t number;

    if (want == NULL || want->link != 0 || peer == WORLD_NODES_MAX) {
        return;
    }
    if (world->nodes[peer].node == NULL || world->nodes[peer].stopped ||
        !SlWorld_HearsLink(world, node->index, peer)) {
        push_connect(node, event->number, REDIAL_US);
        return;
    }
    number = ++world->link_count;
    assert(number < WORLD_LINKS_MAX);
    world->links[number] =
        (struct SlWorldLink){.ends = {node->index, peer}, .up = true};
    want->link = number;
    give_link(&world->nodes[peer], SL_INPUT_LINK_UP, number, node);
    give_link(node, SL_INPUT_LINK_UP, number, &world->nodes[peer]);
}

void
SlWorldLinks_Send(struct SlWorldNode *node, uint64_t number,
                  const struct SlMessage *message)
{
    struct SlWorld *world = node->world;
    struct SlBuffer bytes = {0};
    struct SlWorldLink *link;
    uint32_t end;
    uint64_t time_us;

    if (number == world->change_link && number != 0) {
        SlWorldOperator_Take(world, message);
        return;
    }
    link = &world->links[number < WORLD_LINKS_MAX ? number : 0];
    end = link->ends[0] == node->index ? 1 : 0;
    if (!link->up || SlMessage_Encode(message, &bytes) != SL_OK) {
        SlBuffer_Release(&bytes);
        return;
    }
    time_us = world->now_us + world->settings.zone_delay_us +
              SlWorld_Jitter(world) + world->nodes[link->ends[end]].lag_us;
    if (time_us <= link->last_us[end]) {
        time_us = link->last_us[end];
    }
    link->last_us[end] = time_us;
    SlWorldQueue_Push(&world->queue,
                      (struct SlWorldEvent){
                          .time_us = time_us,
                          .kind = WORLD_MESSAGE,
                          .target = link->ends[end],
                          .epoch = world->nodes[link->ends[end]].epoch,
                          .number = number,
                          .length_bytes = (uint32_t)bytes.length_bytes,
                          .bytes = bytes.bytes,
                      });
}

/// A message without bytes is the link's end.
void
SlWorldLinks_Take(struct SlWorld *world, const struct SlWorldEvent *event)
{
    struct SlWorldNode *node = &world->nodes[event->target];
    struct SlWorldLink *link = &world->links[event->number];
    uint32_t other = link->ends[link->ends[0] == event->target];
    struct SlMessage message;
    struct SlInput input = {
        .kind = SL_INPUT_MESSAGE, .link = event->number, .message = &message};

    if (event->bytes == NULL) {
        give_link(node, SL_INPUT_LINK_DOWN, event->number,
                  &world->nodes[other]);
        return;
    }
    if (!link->up || !SlWorld_HearsLink(world, other, event->target) ||
        SlMessage_Decode(event->bytes, event->length_bytes, &message) !=
            SL_OK) {
        return;
    }
    SlWorldNode_Give(node, &input);
    SlMessage_Release(&message);
}

void
SlWorldLinks_DropNode(struct SlWorldNode *node)
{
    struct SlWorld *world = node->world;

    for (uint64_t i = 1; i <= world->link_count; i++) {
        if (world->links[i].up && (world->links[i].ends[0] == node->index ||
                                   world->links[i].ends[1] == node->index)) {
            end_link(world, i);
        }
    }
}

void
SlWorldLinks_DropCut(struct SlWorld *world)
{
    for (uint64_t i = 1; i <= world->link_count; i++) {
        if (world->links[i].up &&
            !SlWorld_HearsLink(world, world->links[i].ends[0],
                               world->links[i].ends[1])) {
            end_link(world, i);
        }
    }
}
