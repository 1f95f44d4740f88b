#include "local_link.h"

#include <stdlib.h>
#include <string.h>

struct SlLocalMessage {
    struct SlLocalMessage *next;
    enum SlLocalEnd to;
    struct SlBuffer bytes;
};

static struct SlLocalLink *
link_of_sink(struct SlSink *sink)
{
    return ((struct SlLocalSink *)sink)->local;
}

static void
send_to_caller_local(struct SlSink *sink, const uint8_t *bytes,
                     uint32_t length_bytes)
{
    struct SlSink *outer = link_of_sink(sink)->outer;

    outer->type->send_to_caller(outer, bytes, length_bytes);
}

static void
send_to_upstream_local(struct SlSink *sink, const uint8_t *bytes,
                       uint32_t length_bytes)
{
    struct SlSink *outer = link_of_sink(sink)->outer;

    outer->type->send_to_upstream(outer, bytes, length_bytes);
}

static void
send_tunnel_local(struct SlSink *sink, uint64_t node_id,
                  const struct SlAddress *to, const struct SlTunnel *tunnel)
{
    struct SlSink *outer = link_of_sink(sink)->outer;

    outer->type->send_tunnel(outer, node_id, to, tunnel);
}

/// Queues a message for the other end. Without memory the message is lost, as
/// it can be on any link, and is requested again.
static void
enqueue_message(struct SlLocalLink *local, enum SlLocalEnd to,
                const struct SlMessage *message)
{
    struct SlLocalMessage *item = calloc(1, sizeof(*item));

    if (item == NULL) {
        return;
    }
    item->to = to;
    if (SlMessage_Encode(message, &item->bytes) != SL_OK) {
        SlBuffer_Release(&item->bytes);
        free(item);
        return;
    }
    if (local->last == NULL) {
        local->first = item;
    }
    else {
        local->last->next = item;
    }
    local->last = item;
}

static void
send_message_local(struct SlSink *sink, uint64_t link,
                   const struct SlMessage *message)
{
    struct SlLocalSink *end = (struct SlLocalSink *)sink;
    struct SlLocalLink *local = end->local;

    if (link == SL_LOCAL_LINK) {
        enqueue_message(local,
                        end->end == SL_LOCAL_REPLICA ? SL_LOCAL_CONTROL
                                                     : SL_LOCAL_REPLICA,
                        message);
        return;
    }
    local->outer->type->send_message(local->outer, link, message);
}

/// Returns the index of the process among those that the end dialled;
/// dial_count if it is not among them.
static uint32_t
find_dialled_node(const struct SlLocalSink *end, uint64_t node_id)
{
    uint32_t index = 0;

    while (index < end->dial_count && end->dialled_nodes[index] != node_id) {
        index++;
    }
    return index;
}

static void
dial_local(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    struct SlLocalSink *end = (struct SlLocalSink *)sink;
    struct SlLocalLink *local = end->local;

    if (node_id == local->node_id) {
        local->dialled = true;
        return;
    }
    if (end->end == SL_LOCAL_REPLICA && local->has_link != NULL &&
        local->has_link(local->control, node_id)) {
        return;
    }
    if (find_dialled_node(end, node_id) == end->dial_count &&
        end->dial_count < SL_LOCAL_DIALS_MAX) {
        end->dialled_nodes[end->dial_count++] = node_id;
    }
    local->outer->type->dial_node(local->outer, node_id, to);
}

static void
drop_local(struct SlSink *sink, uint64_t node_id)
{
    struct SlLocalSink *end = (struct SlLocalSink *)sink;
    struct SlLocalLink *local = end->local;
    const struct SlLocalSink *other =
        &local->ends[end->end == SL_LOCAL_REPLICA ? SL_LOCAL_CONTROL
                                                  : SL_LOCAL_REPLICA];
    uint32_t index = find_dialled_node(end, node_id);

    if (node_id == local->node_id) {
        local->dialled = false;
        local->dropped = true;
        return;
    }
    if (index < end->dial_count) {
        end->dialled_nodes[index] = end->dialled_nodes[--end->dial_count];
    }
    if (find_dialled_node(other, node_id) == other->dial_count) {
        local->outer->type->drop_node(local->outer, node_id);
    }
}

static void
event_local(struct SlSink *sink, const struct SlEvent *event)
{
    struct SlSink *outer = link_of_sink(sink)->outer;

    outer->type->log_event(outer, event);
}

static const struct SlSinkType LOCAL_SINK = {
    .send_to_caller = send_to_caller_local,
    .send_to_upstream = send_to_upstream_local,
    .send_tunnel = send_tunnel_local,
    .send_message = send_message_local,
    .dial_node = dial_local,
    .drop_node = drop_local,
    .log_event = event_local,
};

void
SlLocalLink_Init(struct SlLocalLink *local, uint64_t node_id)
{
    *local = (struct SlLocalLink){.node_id = node_id};
    for (uint32_t end = 0; end < SL_LOCAL_ENDS; end++) {
        local->ends[end] = (struct SlLocalSink){.sink = {.type = &LOCAL_SINK},
                                                .local = local,
                                                .end = (enum SlLocalEnd)end};
    }
}

void
SlLocalLink_Release(struct SlLocalLink *local)
{
    struct SlLocalMessage *next;

    for (struct SlLocalMessage *item = local->first; item; item = next) {
        next = item->next;
        SlBuffer_Release(&item->bytes);
        free(item);
    }
    local->first = NULL;
    local->last = NULL;
}

struct SlSink *
SlLocalLink_Sink(struct SlLocalLink *local, enum SlLocalEnd end,
                 struct SlSink *outer)
{
    local->outer = outer;
    return &local->ends[end].sink;
}

bool
SlLocalLink_NextMessage(struct SlLocalLink *local, enum SlLocalEnd *to,
                        struct SlMessage *message)
{
    struct SlLocalMessage *item = local->first;
    bool decoded;

    if (item == NULL) {
        return false;
    }
    local->first = item->next;
    if (local->first == NULL) {
        local->last = NULL;
    }
    *to = item->to;
    decoded = SlMessage_Decode(item->bytes.bytes, item->bytes.length_bytes,
                               message) == SL_OK;
    SlBuffer_Release(&item->bytes);
    free(item);
    return decoded;
}
