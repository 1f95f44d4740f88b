#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "port_internal.h"
#include "savoryledge/transport/loop.h"

enum {
    MAX_SERVICES = 1024,
};

/// A socket at one service's address.
struct service_socket {
    struct SlWatch watch;
    struct port_udp_callers *owner;
    struct SlAddress address;
    bool wanted;
};

/// Ordinary sockets at the services' addresses: callers' datagrams become
/// packets, and replies leave from the service's address.
struct port_udp_callers {
    struct SlPort port;
    struct SlLoop *loop;
    /// Guards the sockets: packet threads send while control changes them.
    pthread_mutex_t lock;
    uint32_t socket_count;
    /// In order of address.
    struct service_socket *sockets[MAX_SERVICES];
    /// Raw sockets for ICMP errors, by which callers learn of a refusal at
    /// once; -1 where the process may not open them.
    int raw_ipv4;
    int raw_ipv6;
    /// The batch being filled, within one receive call.
    struct SlBatch *filling;
    uint8_t payload[SL_BATCH_ITEM_BYTES];
    struct port_counts counts;
};

static int
compare_addresses(const struct SlAddress *a, const struct SlAddress *b)
{
    int order = memcmp(a->ip, b->ip, sizeof(a->ip));

    return order != 0 ? order : (int)a->port - (int)b->port;
}

static int
compare_socket(const void *key, const void *item)
{
    const struct service_socket *const *socket = item;

    return compare_addresses(key, &(*socket)->address);
}

static int
order_sockets(const void *a, const void *b)
{
    const struct service_socket *const *first = a;

    return compare_socket(&(*first)->address, b);
}

static struct service_socket *
find_socket(struct port_udp_callers *self, const struct SlAddress *address)
{
    struct service_socket **found =
        bsearch(address, self->sockets, self->socket_count,
                sizeof(struct service_socket *), compare_socket);

    return found != NULL ? *found : NULL;
}

static int
open_raw(int family)
{
    return socket(family, SOCK_RAW | SOCK_CLOEXEC | SOCK_NONBLOCK,
                  IPPROTO_RAW);
}

static enum SlStatus
port_open_udp_callers(const struct SlPortOptions *options,
                      struct SlPort **port, struct SlError *error)
{
    struct port_udp_callers *self = calloc(1, sizeof(*self));

    (void)options;
    (void)error;
    if (self == NULL) {
        return SL_NO_MEMORY;
    }
    self->port.type = &PORT_UDP_CALLERS;
    self->loop = SlLoop_Create();
    if (self->loop == NULL) {
        free(self);
        return SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                           "cannot open an event queue");
    }
    pthread_mutex_init(&self->lock, NULL);
    self->raw_ipv4 = open_raw(AF_INET);
    self->raw_ipv6 = open_raw(AF_INET6);
    *port = &self->port;
    return SL_OK;
}

static int
port_descriptor_udp_callers(const struct SlPort *port)
{
    return SlLoop_Descriptor(((const struct port_udp_callers *)port)->loop);
}

/// Takes one datagram; false when none waits.
static bool
take_datagram(struct service_socket *socket, struct SlBatchItem *item)
{
    struct port_udp_callers *self = socket->owner;
    struct sockaddr_storage name;
    socklen_t name_bytes = sizeof(name);
    struct SlAddress caller;
    ssize_t length = recvfrom(socket->watch.descriptor, self->payload,
                              sizeof(self->payload), MSG_DONTWAIT | MSG_TRUNC,
                              (struct sockaddr *)&name, &name_bytes);

    if (length < 0) {
        return false;
    }
    item->length_bytes = 0;
    if ((size_t)length <= sizeof(self->payload) &&
        SlAddress_FromSockaddr((struct sockaddr *)&name, &caller) == SL_OK) {
        item->length_bytes = SlPacket_BuildUdp(
            &caller, &socket->address, self->payload, (uint32_t)length,
            item->bytes, SL_BATCH_ITEM_BYTES);
    }
    return true;
}

static void
ready_socket(struct SlWatch *watch, uint32_t events)
{
    struct service_socket *socket = (struct service_socket *)watch;
    struct SlBatch *batch = socket->owner->filling;

    (void)events;
    while (batch->count < SL_BATCH_ITEMS) {
        struct SlBatchItem *item = &batch->items[batch->count];

        if (!take_datagram(socket, item)) {
            break;
        }
        if (item->length_bytes > 0) {
            batch->count++;
        }
        else {
            port_count(&socket->owner->counts.refused, 1);
        }
    }
}

static void
port_receive_udp_callers(struct SlPort *port, uint64_t now_us,
                         struct SlBatch *batch)
{
    struct port_udp_callers *self = (struct port_udp_callers *)port;

    (void)now_us;
    batch->count = 0;
    pthread_mutex_lock(&self->lock);
    self->filling = batch;
    SlLoop_RunOnce(self->loop, 0);
    self->filling = NULL;
    pthread_mutex_unlock(&self->lock);
    port_count(&self->counts.received, batch->count);
}

/// Sends a packet with its own IP header.
static bool
send_raw(const struct port_udp_callers *self, const struct SlBatchItem *item,
         const struct SlPacket *packet)
{
    struct SlAddress to = packet->destination;
    int raw = SlAddress_IsIpv4(&to) ? self->raw_ipv4 : self->raw_ipv6;
    struct sockaddr_storage name;

    to.port = 0;
    return raw >= 0 && sendto(raw, item->bytes, item->length_bytes,
                              MSG_DONTWAIT, (struct sockaddr *)&name,
                              SlAddress_ToSockaddr(&to, &name)) >= 0;
}

static void
send_packet(struct port_udp_callers *self, const struct SlBatchItem *item)
{
    struct sockaddr_storage name;
    struct service_socket *socket;
    struct SlPacket packet;
    ssize_t sent;

    if (SlPacket_Parse(item->bytes, item->length_bytes, &packet) != SL_OK) {
        port_count(&self->counts.refused, 1);
        return;
    }
    if (packet.kind == SL_PACKET_ICMP_ERROR) {
        port_count(send_raw(self, item, &packet) ? &self->counts.sent
                                                 : &self->counts.refused,
                   1);
        return;
    }
    if (packet.kind != SL_PACKET_UDP) {
        port_count(&self->counts.refused, 1);
        return;
    }
    socket = find_socket(self, &packet.source);
    if (socket == NULL) {
        port_count(&self->counts.refused, 1);
        return;
    }
    sent =
        sendto(socket->watch.descriptor, item->bytes + packet.payload_offset,
               packet.payload_bytes, MSG_DONTWAIT, (struct sockaddr *)&name,
               SlAddress_ToSockaddr(&packet.destination, &name));
    port_count(sent >= 0 ? &self->counts.sent : &self->counts.send_failed, 1);
}

static void
port_send_udp_callers(struct SlPort *port, uint64_t now_us,
                      struct SlBatch *batch)
{
    struct port_udp_callers *self = (struct port_udp_callers *)port;

    (void)now_us;
    pthread_mutex_lock(&self->lock);
    for (uint32_t i = 0; i < batch->count; i++) {
        send_packet(self, &batch->items[i]);
    }
    pthread_mutex_unlock(&self->lock);
    batch->count = 0;
}

static void
close_socket(struct port_udp_callers *self, struct service_socket *socket)
{
    SlLoop_Unwatch(self->loop, &socket->watch);
    close(socket->watch.descriptor);
    free(socket);
}

static void
open_socket(struct port_udp_callers *self, const struct SlAddress *address)
{
    struct service_socket *socket = calloc(1, sizeof(*socket));

    if (socket == NULL || self->socket_count == MAX_SERVICES ||
        SlUdpSocket_Open(address, true, &socket->watch.descriptor, NULL) !=
            SL_OK) {
        free(socket);
        port_count(&self->counts.flows_refused, 1);
        return;
    }
    socket->watch.on_ready = ready_socket;
    socket->owner = self;
    socket->address = *address;
    socket->wanted = true;
    SlLoop_Watch(self->loop, &socket->watch, SL_LOOP_READ);
    self->sockets[self->socket_count++] = socket;
    qsort(self->sockets, self->socket_count, sizeof(struct service_socket *),
          order_sockets);
}

static void
close_unwanted(struct port_udp_callers *self)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < self->socket_count; i++) {
        struct service_socket *socket = self->sockets[i];

        if (socket->wanted) {
            self->sockets[kept++] = socket;
        }
        else {
            close_socket(self, socket);
        }
    }
    self->socket_count = kept;
}

static void
port_set_addresses_udp_callers(struct SlPort *port,
                               const struct SlPortAddress *addresses,
                               uint32_t count)
{
    struct port_udp_callers *self = (struct port_udp_callers *)port;

    pthread_mutex_lock(&self->lock);
    for (uint32_t i = 0; i < self->socket_count; i++) {
        self->sockets[i]->wanted = false;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct service_socket *socket;

        if (addresses[i].protocol != IPPROTO_UDP) {
            continue;
        }
        socket = find_socket(self, &addresses[i].address);
        if (socket != NULL) {
            socket->wanted = true;
        }
        else {
            open_socket(self, &addresses[i].address);
        }
    }
    close_unwanted(self);
    atomic_store(&self->counts.flows, self->socket_count);
    pthread_mutex_unlock(&self->lock);
}

static void
port_counters_udp_callers(const struct SlPort *port,
                          struct SlPortCounters *counters)
{
    port_read_counts(&((const struct port_udp_callers *)port)->counts,
                     counters);
}

static void
close_raw(int descriptor)
{
    if (descriptor >= 0) {
        close(descriptor);
    }
}

static void
port_close_udp_callers(struct SlPort *port)
{
    struct port_udp_callers *self = (struct port_udp_callers *)port;

    for (uint32_t i = 0; i < self->socket_count; i++) {
        close_socket(self, self->sockets[i]);
    }
    close_raw(self->raw_ipv4);
    close_raw(self->raw_ipv6);
    SlLoop_Destroy(self->loop);
    pthread_mutex_destroy(&self->lock);
    free(self);
}

const struct SlPortType PORT_UDP_CALLERS = {
    .name = "udp",
    .is_per_thread = false,
    .open = port_open_udp_callers,
    .get_descriptor = port_descriptor_udp_callers,
    .receive = port_receive_udp_callers,
    .send = port_send_udp_callers,
    .set_addresses = port_set_addresses_udp_callers,
    .read_counters = port_counters_udp_callers,
    .close = port_close_udp_callers,
};
