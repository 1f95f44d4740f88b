#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "port_internal.h"

/// Whole IP packets in UDP datagrams, from and to one peer: the fabric, or
/// the upstream's host.
struct port_encap {
    struct SlPort port;
    int descriptor;
    struct SlAddress peer;
    struct port_counts counts;
};

static enum SlStatus
port_open_encap(const struct SlPortOptions *options, struct SlPort **port,
                struct SlError *error)
{
    struct port_encap *self = calloc(1, sizeof(*self));
    enum SlStatus status;

    if (self == NULL) {
        return SL_NO_MEMORY;
    }
    self->port.type = &PORT_ENCAP;
    self->peer = options->peer;
    status = SlUdpSocket_Open(&options->listen, options->reuse_port,
                              &self->descriptor, error);
    if (status != SL_OK) {
        free(self);
        return status;
    }
    *port = &self->port;
    return SL_OK;
}

static int
port_descriptor_encap(const struct SlPort *port)
{
    return ((const struct port_encap *)port)->descriptor;
}

static bool
is_from_peer(const struct port_encap *self, const struct SlBatchItem *item)
{
    return item->length_bytes > 0 &&
           memcmp(item->peer.ip, self->peer.ip, sizeof(item->peer.ip)) == 0;
}

static void
port_receive_encap(struct SlPort *port, uint64_t now_us, struct SlBatch *batch)
{
    struct port_encap *self = (struct port_encap *)port;
    uint32_t kept = 0;

    (void)now_us;
    SlUdpSocket_Receive(self->descriptor, batch);
    for (uint32_t i = 0; i < batch->count; i++) {
        struct SlBatchItem item = batch->items[i];

        if (!is_from_peer(self, &item)) {
            port_count(&self->counts.refused, 1);
            continue;
        }
        batch->items[i] = batch->items[kept];
        batch->items[kept++] = item;
    }
    batch->count = kept;
    port_count(&self->counts.received, kept);
}

static void
port_send_encap(struct SlPort *port, uint64_t now_us, struct SlBatch *batch)
{
    struct port_encap *self = (struct port_encap *)port;
    uint32_t count = batch->count;
    uint32_t failed;

    (void)now_us;
    for (uint32_t i = 0; i < count; i++) {
        batch->items[i].peer = self->peer;
    }
    failed = SlUdpSocket_Send(self->descriptor, batch);
    port_count(&self->counts.sent, count - failed);
    port_count(&self->counts.send_failed, failed);
}

static void
port_set_addresses_encap(struct SlPort *port,
                         const struct SlPortAddress *addresses, uint32_t count)
{
    (void)port;
    (void)addresses;
    (void)count;
}

static void
port_counters_encap(const struct SlPort *port, struct SlPortCounters *counters)
{
    port_read_counts(&((const struct port_encap *)port)->counts, counters);
}

static void
port_close_encap(struct SlPort *port)
{
    struct port_encap *self = (struct port_encap *)port;

    close(self->descriptor);
    free(self);
}

const struct SlPortType PORT_ENCAP = {
    .name = "encap",
    .is_per_thread = true,
    .open = port_open_encap,
    .get_descriptor = port_descriptor_encap,
    .receive = port_receive_encap,
    .send = port_send_encap,
    .set_addresses = port_set_addresses_encap,
    .read_counters = port_counters_encap,
    .close = port_close_encap,
};
