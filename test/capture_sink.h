#ifndef SAVORYLEDGE_TEST_CAPTURE_SINK_H
#define SAVORYLEDGE_TEST_CAPTURE_SINK_H

/// A sink that stores the last action of each kind and counts them.

#include <stdio.h>
#include <string.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/core.h"

struct capture {
    struct SlSink sink;
    /// Number of datagrams sent; then the node id that the latest one was sent
    /// to, its header and its packet.
    uint32_t tunnels;
    uint64_t tunnel_to;
    struct SlTunnel tunnel;
    uint8_t tunnel_packet[SL_PACKET_MTU_BYTES];
    /// Number of packets sent to callers, and the latest of them.
    uint32_t to_caller;
    uint8_t caller_packet[SL_PACKET_MTU_BYTES];
    uint32_t caller_packet_bytes;
    /// Number of events logged; then the number, reason and node of the latest
    /// one.
    uint32_t events;
    enum SlEventNumber event;
    char event_reason[32];
    char event_node[SL_NAME_BYTES];
    /// Number of events per kind; the index is the event number - 1100.
    uint32_t entry_events[100];
};

static inline void
capture_send_to_caller(struct SlSink *sink, const uint8_t *bytes,
                       uint32_t length_bytes)
{
    struct capture *capture = (struct capture *)sink;

    capture->to_caller++;
    memcpy(capture->caller_packet, bytes, length_bytes);
    capture->caller_packet_bytes = length_bytes;
}

static inline void
capture_send_tunnel(struct SlSink *sink, uint64_t node_id,
                    const struct SlAddress *to, const struct SlTunnel *tunnel)
{
    struct capture *capture = (struct capture *)sink;

    (void)to;
    capture->tunnels++;
    capture->tunnel_to = node_id;
    capture->tunnel = *tunnel;
    if (tunnel->packet_bytes > 0) {
        memcpy(capture->tunnel_packet, tunnel->packet, tunnel->packet_bytes);
    }
    capture->tunnel.packet = capture->tunnel_packet;
}

static inline void
capture_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct capture *capture = (struct capture *)sink;

    capture->events++;
    capture->event = event->number;
    snprintf(capture->event_reason, sizeof(capture->event_reason), "%s",
             event->reason ? event->reason : "");
    snprintf(capture->event_node, sizeof(capture->event_node), "%s",
             event->node ? event->node : "");
    if (event->number >= SL_EVENT_ROUTE &&
        event->number < SL_EVENT_ROUTE + 100) {
        capture->entry_events[event->number - SL_EVENT_ROUTE]++;
    }
}

static const struct SlSinkType CAPTURE_SINK = {
    .send_to_caller = capture_send_to_caller,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = capture_send_tunnel,
    .send_message = SlSink_IgnoreMessage,
    .dial_node = SlSink_IgnoreDialNode,
    .drop_node = SlSink_IgnoreDropNode,
    .log_event = capture_event,
};

static inline void
capture_open(struct capture *capture)
{
    memset(capture, 0, sizeof(*capture));
    capture->sink.type = &CAPTURE_SINK;
}

#endif
