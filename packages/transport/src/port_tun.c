#include <errno.h>
#include <fcntl.h>
#include <linux/if.h>
#include <linux/if_tun.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "port_internal.h"

/// A TUN device: each read and write is one IP packet, for the kernel's own
/// TCP and UDP.
struct port_tun {
    struct SlPort port;
    int descriptor;
    struct port_counts counts;
};

static int
open_device(const char *device)
{
    struct ifreq request = {.ifr_flags = IFF_TUN | IFF_NO_PI};
    int descriptor = open("/dev/net/tun", O_RDWR | O_CLOEXEC | O_NONBLOCK);

    if (descriptor < 0) {
        return -1;
    }
    snprintf(request.ifr_name, sizeof(request.ifr_name), "%s", device);
    if (ioctl(descriptor, TUNSETIFF, &request) != 0) {
        int cause = errno;

        close(descriptor);
        errno = cause;
        return -1;
    }
    return descriptor;
}

static enum SlStatus
port_open_tun(const struct SlPortOptions *options, struct SlPort **port,
              struct SlError *error)
{
    struct port_tun *self = calloc(1, sizeof(*self));

    if (self == NULL) {
        return SL_NO_MEMORY;
    }
    self->port.type = &PORT_TUN;
    self->descriptor = options->has_descriptor ? options->descriptor
                                               : open_device(options->device);
    if (self->descriptor < 0) {
        free(self);
        return SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                           "cannot open TUN device %s: %s", options->device,
                           strerror(errno));
    }
    *port = &self->port;
    return SL_OK;
}

static int
port_descriptor_tun(const struct SlPort *port)
{
    return ((const struct port_tun *)port)->descriptor;
}

static void
port_receive_tun(struct SlPort *port, uint64_t now_us, struct SlBatch *batch)
{
    struct port_tun *self = (struct port_tun *)port;

    (void)now_us;
    batch->count = 0;
    while (batch->count < SL_BATCH_ITEMS) {
        struct SlBatchItem *item = &batch->items[batch->count];
        ssize_t length =
            read(self->descriptor, item->bytes, SL_BATCH_ITEM_BYTES);

        if (length <= 0) {
            break;
        }
        item->length_bytes = (uint32_t)length;
        batch->count++;
    }
    port_count(&self->counts.received, batch->count);
}

static void
port_send_tun(struct SlPort *port, uint64_t now_us, struct SlBatch *batch)
{
    struct port_tun *self = (struct port_tun *)port;

    (void)now_us;
    for (uint32_t i = 0; i < batch->count; i++) {
        const struct SlBatchItem *item = &batch->items[i];
        ssize_t length =
            write(self->descriptor, item->bytes, item->length_bytes);
        bool whole = length == (ssize_t)item->length_bytes;

        port_count(whole ? &self->counts.sent : &self->counts.send_failed, 1);
    }
    batch->count = 0;
}

static void
port_set_addresses_tun(struct SlPort *port,
                       const struct SlPortAddress *addresses, uint32_t count)
{
    (void)port;
    (void)addresses;
    (void)count;
}

static void
port_counters_tun(const struct SlPort *port, struct SlPortCounters *counters)
{
    port_read_counts(&((const struct port_tun *)port)->counts, counters);
}

static void
port_close_tun(struct SlPort *port)
{
    struct port_tun *self = (struct port_tun *)port;

    close(self->descriptor);
    free(self);
}

const struct SlPortType PORT_TUN = {
    .name = "tun",
    .open = port_open_tun,
    .get_descriptor = port_descriptor_tun,
    .receive = port_receive_tun,
    .send = port_send_tun,
    .set_addresses = port_set_addresses_tun,
    .read_counters = port_counters_tun,
    .close = port_close_tun,
};
