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
flush_port(const struct output_sink *output_sink, struct SlPort *port,
           struct SlBatch *batch)
{
    if (port == NULL) {
        batch->count = 0;
        return;
    }
    if (batch->count > 0) {
        port->type->send(port, output_sink->now_us, batch);
    }
}

static void
flush_tunnel(struct output_sink *output_sink)
{
    uint32_t failed;

    if (output_sink->tunnel_output_batch->count == 0) {
        return;
    }
    failed = SlUdpSocket_Send(output_sink->tunnel_descriptor,
                              output_sink->tunnel_output_batch);
    if (failed > 0) {
        atomic_fetch_add(&output_sink->shell->counts.tunnel_send_failed,
                         failed);
    }
}

void
output_sink_flush(struct output_sink *output_sink)
{
    flush_port(output_sink, output_sink->upstream_port,
               output_sink->upstream_output_batch);
    flush_port(output_sink, output_sink->callers_port,
               output_sink->callers_output_batch);
    flush_tunnel(output_sink);
}

static void
queue_packet(struct output_sink *output_sink, struct SlPort *port,
             struct SlBatch *batch, const uint8_t *bytes,
             uint32_t length_bytes)
{
    struct SlBatchItem *item;

    if (length_bytes > SL_BATCH_ITEM_BYTES) {
        return;
    }
    if (batch->count == SL_BATCH_ITEMS) {
        flush_port(output_sink, port, batch);
    }
    item = &batch->items[batch->count++];
    memcpy(item->bytes, bytes, length_bytes);
    item->length_bytes = length_bytes;
}

static void
sink_send_to_caller(struct SlSink *sink, const uint8_t *bytes,
                    uint32_t length_bytes)
{
    struct output_sink *output_sink = (struct output_sink *)sink;

    queue_packet(output_sink, output_sink->callers_port,
                 output_sink->callers_output_batch, bytes, length_bytes);
}

static void
sink_send_to_upstream(struct SlSink *sink, const uint8_t *bytes,
                      uint32_t length_bytes)
{
    struct output_sink *output_sink = (struct output_sink *)sink;

    queue_packet(output_sink, output_sink->upstream_port,
                 output_sink->upstream_output_batch, bytes, length_bytes);
}

static void
sink_send_tunnel(struct SlSink *sink, uint64_t node_id,
                 const struct SlAddress *to, const struct SlTunnel *tunnel)
{
    struct output_sink *output_sink = (struct output_sink *)sink;
    struct SlBatch *batch = output_sink->tunnel_output_batch;
    uint32_t payload_bytes = SL_BATCH_ITEM_BYTES - SL_SEAL_OVERHEAD_BYTES;
    struct SlBatchItem *item;

    (void)node_id;
    if (batch->count == SL_BATCH_ITEMS) {
        flush_tunnel(output_sink);
    }
    item = &batch->items[batch->count];
    if (SlTunnel_Encode(tunnel, item->bytes + SL_SEAL_HEADER_BYTES,
                        &payload_bytes) != SL_OK) {
        atomic_fetch_add(&output_sink->shell->counts.tunnel_send_failed, 1);
        return;
    }
    item->length_bytes =
        SlSealer_Seal(output_sink->shell->sealer, item->bytes, payload_bytes);
    item->peer = *to;
    batch->count++;
}

static void
sink_send_message(struct SlSink *sink, uint64_t link,
                  const struct SlMessage *message)
{
    struct output_sink *output_sink = (struct output_sink *)sink;
    struct SlShell *shell = output_sink->shell;

    assert(output_sink->is_control);
    if (link == SHELL_OPERATOR_LINK) {
        if (message->kind == SL_MESSAGE_RESULT && shell->front != NULL) {
            SlFront_HandleResult(shell->front, message->result.request,
                                 &message->result.result);
        }
        return;
    }
    SlBuffer_Clear(&shell->encode_buffer);
    if (SlMessage_Encode(message, &shell->encode_buffer) != SL_OK ||
        SlLinks_Send(shell->links, link, shell->encode_buffer.bytes,
                     (uint32_t)shell->encode_buffer.length_bytes) != SL_OK) {
        atomic_fetch_add(&shell->counts.messages_dropped, 1);
    }
}

static void
sink_dial(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to)
{
    struct output_sink *output_sink = (struct output_sink *)sink;

    assert(output_sink->is_control);
    SlLinks_Dial(output_sink->shell->links, node_id, to);
}

static void
sink_drop(struct SlSink *sink, uint64_t node_id)
{
    struct output_sink *output_sink = (struct output_sink *)sink;

    assert(output_sink->is_control);
    SlLinks_StopDialling(output_sink->shell->links, node_id);
}

static void
sink_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct output_sink *output_sink = (struct output_sink *)sink;

    if (output_sink->recorder != NULL) {
        SlRecorder_RecordEvent(output_sink->recorder, event);
    }
    SlLog_WriteEvent(output_sink->shell->log, event);
}

static const struct SlSinkType SINK_TYPE = {
    .send_to_caller = sink_send_to_caller,
    .send_to_upstream = sink_send_to_upstream,
    .send_tunnel = sink_send_tunnel,
    .send_message = sink_send_message,
    .dial_node = sink_dial,
    .drop_node = sink_drop,
    .log_event = sink_event,
};

enum SlStatus
output_sink_init(struct output_sink *output_sink, struct SlShell *shell,
                 bool is_control)
{
    output_sink->sink.type = &SINK_TYPE;
    output_sink->shell = shell;
    output_sink->is_control = is_control;
    output_sink->tunnel_output_batch = SlBatch_Create();
    output_sink->callers_output_batch = SlBatch_Create();
    output_sink->upstream_output_batch = SlBatch_Create();
    return output_sink->tunnel_output_batch &&
                   output_sink->callers_output_batch &&
                   output_sink->upstream_output_batch
               ? SL_OK
               : SL_NO_MEMORY;
}

void
output_sink_release(struct output_sink *output_sink)
{
    SlBatch_Destroy(output_sink->tunnel_output_batch);
    SlBatch_Destroy(output_sink->callers_output_batch);
    SlBatch_Destroy(output_sink->upstream_output_batch);
}
