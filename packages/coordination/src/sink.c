#include "savoryledge/coordination/core.h"

void
SlSink_IgnorePacket(struct SlSink *sink, const uint8_t *bytes,
                    uint32_t length_bytes)
{
    (void)sink;
    (void)bytes;
    (void)length_bytes;
}

void
SlSink_IgnoreTunnel(struct SlSink *sink, uint64_t node_id,
                    const struct SlAddress *to, const struct SlTunnel *tunnel)
{
    (void)sink;
    (void)node_id;
    (void)to;
    (void)tunnel;
}

void
SlSink_IgnoreMessage(struct SlSink *sink, uint64_t link,
                     const struct SlMessage *message)
{
    (void)sink;
    (void)link;
    (void)message;
}

void
SlSink_IgnoreDialNode(struct SlSink *sink, uint64_t node_id,
                      const struct SlAddress *to)
{
    (void)sink;
    (void)node_id;
    (void)to;
}

void
SlSink_IgnoreDropNode(struct SlSink *sink, uint64_t node_id)
{
    (void)sink;
    (void)node_id;
}

void
SlSink_IgnoreLogEvent(struct SlSink *sink, const struct SlEvent *event)
{
    (void)sink;
    (void)event;
}
