#include <assert.h>
#include <string.h>

#include "shell_internal.h"

void
log_event(struct SlShell *shell, struct SlEvent event)
{
    if (event.now_us == 0) {
        event.now_us = SlClock_Monotonic();
    }
    SlLog_WriteEvent(shell->log, &event);
}

static void
flush_port(const struct outlet *outlet, struct SlPort *port,
           struct SlBatch *batch)
{
    if (port == NULL) {
        batch->count = 0;
        return;
    }
    if (batch->count > 0) {
        port->type->send(port, outlet->now_us, batch);
    }
}

static void
flush_tunnel(struct outlet *outlet)
{
    uint32_t failed;

    if (outlet->tunnel_out->count == 0) {
        return;
    }
    failed = SlUdpSocket_Send(outlet->tunnel, outlet->tunnel_out);
    if (failed > 0) {
        atomic_fetch_add(&outlet->shell->counts.tunnel_send_failed, failed);
    }
}

void
outlet_flush(struct outlet *outlet)
{
    flush_port(outlet, outlet->upstream, outlet->upstream_out);
    flush_port(outlet, outlet->callers, outlet->callers_out);
    flush_tunnel(outlet);
}

static void
put_packet(struct outlet *outlet, struct SlPort *port, struct SlBatch *batch,
           const uint8_t *bytes, uint32_t length_bytes)
{
    struct SlBatchItem *item;

    if (length_bytes > SL_BATCH_ITEM_BYTES) {
        return;
    }
    if (batch->count == SL_BATCH_ITEMS) {
        flush_port(outlet, port, batch);
    }
    item = &batch->items[batch->count++];
    memcpy(item->bytes, bytes, length_bytes);
    item->length_bytes = length_bytes;
}

static void
outlet_send_to_caller(struct SlSink *sink, const uint8_t *bytes,
                      uint32_t length_bytes)
{
    struct outlet *outlet = (struct outlet *)sink;

    put_packet(outlet, outlet->callers, outlet->callers_out, bytes,
               length_bytes);
}

static void
outlet_send_to_upstream(struct SlSink *sink, const uint8_t *bytes,
                        uint32_t length_bytes)
{
    struct outlet *outlet = (struct outlet *)sink;

    put_packet(outlet, outlet->upstream, outlet->upstream_out, bytes,
               length_bytes);
}

static void
outlet_send_tunnel(struct SlSink *sink, uint64_t node_id,
                   const struct SlAddress *to, const struct SlTunnel *tunnel)
{
    struct outlet *outlet = (struct outlet *)sink;
    struct SlBatch *batch = outlet->tunnel_out;
    uint32_t payload_bytes = SL_BATCH_ITEM_BYTES - SL_SEAL_OVERHEAD_BYTES;
    struct SlBatchItem *item;

    (void)node_id;
    if (batch->count == SL_BATCH_ITEMS) {
        flush_tunnel(outlet);
    }
    item = &batch->items[batch->count];
    if (SlTunnel_Encode(tunnel, item->bytes + SL_SEAL_HEADER_BYTES,
                        &payload_bytes) != SL_OK) {
        atomic_fetch_add(&outlet->shell->counts.tunnel_send_failed, 1);
        return;
    }
    item->length_bytes =
        SlSealer_Seal(outlet->shell->sealer, item->bytes, payload_bytes);
    item->peer = *to;
    batch->count++;
}

static void
outlet_send_message(struct SlSink *sink, uint64_t link,
                    const struct SlMessage *message)
{
    struct outlet *outlet = (struct outlet *)sink;
    struct SlShell *shell = outlet->shell;

    assert(outlet->is_control);
    if (link == SHELL_DESK_LINK) {
        if (message->kind == SL_MESSAGE_RESULT && shell->front != NULL) {
            SlFront_Result(shell->front, message->result.request,
                           &message->result.result);
        }
        return;
    }
    SlBuffer_Clear(&shell->encoded);
    if (SlMessage_Encode(message, &shell->encoded) != SL_OK ||
        SlLinks_Send(shell->links, link, shell->encoded.bytes,
                     (uint32_t)shell->encoded.length_bytes) != SL_OK) {
        atomic_fetch_add(&shell->counts.messages_dropped, 1);
    }
}

static void
outlet_dial(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    struct outlet *outlet = (struct outlet *)sink;

    assert(outlet->is_control);
    SlLinks_Dial(outlet->shell->links, node_id, to);
}

static void
outlet_drop(struct SlSink *sink, uint64_t node_id)
{
    struct outlet *outlet = (struct outlet *)sink;

    assert(outlet->is_control);
    SlLinks_StopDialling(outlet->shell->links, node_id);
}

static void
outlet_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct outlet *outlet = (struct outlet *)sink;

    if (outlet->recorder != NULL) {
        SlRecorder_Event(outlet->recorder, event);
    }
    SlLog_WriteEvent(outlet->shell->log, event);
}

static const struct SlSinkType OUTLET = {
    .send_to_caller = outlet_send_to_caller,
    .send_to_upstream = outlet_send_to_upstream,
    .send_tunnel = outlet_send_tunnel,
    .send_message = outlet_send_message,
    .dial_node = outlet_dial,
    .drop_node = outlet_drop,
    .log_event = outlet_event,
};

enum SlStatus
outlet_init(struct outlet *outlet, struct SlShell *shell, bool is_control)
{
    outlet->sink.type = &OUTLET;
    outlet->shell = shell;
    outlet->is_control = is_control;
    outlet->tunnel_out = SlBatch_Create();
    outlet->callers_out = SlBatch_Create();
    outlet->upstream_out = SlBatch_Create();
    return outlet->tunnel_out && outlet->callers_out && outlet->upstream_out
               ? SL_OK
               : SL_NO_MEMORY;
}

void
outlet_release(struct outlet *outlet)
{
    SlBatch_Destroy(outlet->tunnel_out);
    SlBatch_Destroy(outlet->callers_out);
    SlBatch_Destroy(outlet->upstream_out);
}
