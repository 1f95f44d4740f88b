#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "port_internal.h"
#include "savoryledge/transport/loop.h"

enum {
    MAX_SERVICE_SOCKETS = 1024,
};

/// A socket bound to the address of one service.
struct service_socket {
    struct SlWatch watch;
    struct udp_caller_port *port;
    struct SlAddress address;
    /// True when the last call of port_set_addresses_udp_callers contained the
    /// address.
    bool is_in_use;
};

/// A port with ordinary UDP sockets at the addresses of services. It adds IP
/// and UDP headers to the datagrams of callers, and sends replies from the
/// address of their service.
struct udp_caller_port {
    struct SlPort port;
    struct SlLoop *loop;
    /// Guards the sockets, because packet threads send while the control
    /// thread changes the addresses.
    pthread_mutex_t lock;
    uint32_t socket_count;
    /// The sockets, sorted by address.
    struct service_socket *sockets[MAX_SERVICE_SOCKETS];
    /// Raw sockets for ICMP errors, which report to a caller at once that its
    /// datagram was refused; -1 where the process may not open raw sockets.
    int raw_ipv4;
    int raw_ipv6;
    /// The batch that the receive call in progress fills; NULL when no receive
    /// call is in progress.
    struct SlBatch *receive_batch;
    /// Buffer for the payload of one datagram.
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
compare_address_with_socket(const void *key, const void *item)
{
    const struct service_socket *const *socket = item;

    return compare_addresses(key, &(*socket)->address);
}

static int
compare_sockets(const void *a, const void *b)
{
    const struct service_socket *const *first = a;

    return compare_address_with_socket(&(*first)->address, b);
}

static struct service_socket *
find_socket(struct udp_caller_port *self, const struct SlAddress *address)
{
    struct service_socket **found =
        bsearch(address, self->sockets, self->socket_count,
                sizeof(struct service_socket *), compare_address_with_socket);

    return found != NULL ? *found : NULL;
}

static int
open_raw_socket(int family)
{
    return socket(family, SOCK_RAW | SOCK_CLOEXEC | SOCK_NONBLOCK,
                  IPPROTO_RAW);
}

static enum SlStatus
port_open_udp_callers(const struct SlPortOptions *options,
                      struct SlPort **port, struct SlError *error)
{
    struct udp_caller_port *self = calloc(1, sizeof(*self));

    (void)options;
    (void)error;
    if (self == NULL) {
        return SL_NO_MEMORY;
    }
    self->port.type = &PORT_UDP_CALLERS;
    self->loop = SlLoop_Create();
    if (self->loop == NULL) {
        free(self);
        return SlError_Set(
            error, SL_IO, SL_STEP_OPEN, NULL,
            "cannot create the event loop of the UDP port towards callers");
    }
    pthread_mutex_init(&self->lock, NULL);
    self->raw_ipv4 = open_raw_socket(AF_INET);
    self->raw_ipv6 = open_raw_socket(AF_INET6);
    *port = &self->port;
    return SL_OK;
}

static int
port_get_descriptor_udp_callers(const struct SlPort *port)
{
    return SlLoop_Descriptor(((const struct udp_caller_port *)port)->loop);
}

/// Receives one datagram of a caller as an IP packet. item->length_bytes is 0
/// when the datagram is too long or its source address is unusable. Returns
/// false when no datagram waits.
static bool
receive_datagram(struct service_socket *socket, struct SlBatchItem *item)
{
    struct udp_caller_port *self = socket->port;
    struct sockaddr_storage endpoint;
    socklen_t endpoint_bytes = sizeof(endpoint);
    struct SlAddress caller;
    ssize_t length = recvfrom(socket->watch.descriptor, self->payload,
                              sizeof(self->payload), MSG_DONTWAIT | MSG_TRUNC,
                              (struct sockaddr *)&endpoint, &endpoint_bytes);

    if (length < 0) {
        return false;
    }
    item->length_bytes = 0;
    if ((size_t)length <= sizeof(self->payload) &&
        SlAddress_FromSockaddr((struct sockaddr *)&endpoint, &caller) ==
            SL_OK) {
        item->length_bytes = SlPacket_BuildUdp(
            &caller, &socket->address, self->payload, (uint32_t)length,
            item->bytes, SL_BATCH_ITEM_BYTES);
    }
    return true;
}

static void
on_socket_ready(struct SlWatch *watch, uint32_t events)
{
    struct service_socket *socket = (struct service_socket *)watch;
    struct SlBatch *batch = socket->port->receive_batch;

    (void)events;
    while (batch->count < SL_BATCH_ITEMS) {
        struct SlBatchItem *item = &batch->items[batch->count];

        if (!receive_datagram(socket, item)) {
            break;
        }
        if (item->length_bytes > 0) {
            batch->count++;
        }
        else {
            port_add_count(&socket->port->counts.refused, 1);
        }
    }
}

static void
port_receive_udp_callers(struct SlPort *port, uint64_t now_us,
                         struct SlBatch *batch)
{
    struct udp_caller_port *self = (struct udp_caller_port *)port;

    (void)now_us;
    batch->count = 0;
    pthread_mutex_lock(&self->lock);
    self->receive_batch = batch;
    SlLoop_RunOnce(self->loop, 0);
    self->receive_batch = NULL;
    pthread_mutex_unlock(&self->lock);
    port_add_count(&self->counts.received, batch->count);
}

/// Sends a packet, IP header included, through a raw socket. Returns false
/// when there is no raw socket or the system refuses the packet.
static bool
send_raw_packet(const struct udp_caller_port *self,
                const struct SlBatchItem *item, const struct SlPacket *packet)
{
    struct SlAddress to = packet->destination;
    int raw_descriptor =
        SlAddress_IsIpv4(&to) ? self->raw_ipv4 : self->raw_ipv6;
    struct sockaddr_storage endpoint;

    to.port = 0;
    return raw_descriptor >= 0 &&
           sendto(raw_descriptor, item->bytes, item->length_bytes,
                  MSG_DONTWAIT, (struct sockaddr *)&endpoint,
                  SlAddress_ToSockaddr(&to, &endpoint)) >= 0;
}

static void
send_packet(struct udp_caller_port *self, const struct SlBatchItem *item)
{
    struct sockaddr_storage endpoint;
    struct service_socket *socket;
    struct SlPacket packet;
    ssize_t sent;

    if (SlPacket_Parse(item->bytes, item->length_bytes, &packet) != SL_OK) {
        port_add_count(&self->counts.refused, 1);
        return;
    }
    if (packet.kind == SL_PACKET_ICMP_ERROR) {
        port_add_count(send_raw_packet(self, item, &packet)
                           ? &self->counts.sent
                           : &self->counts.refused,
                       1);
        return;
    }
    if (packet.kind != SL_PACKET_UDP) {
        port_add_count(&self->counts.refused, 1);
        return;
    }
    socket = find_socket(self, &packet.source);
    if (socket == NULL) {
        port_add_count(&self->counts.refused, 1);
        return;
    }
    sent = sendto(socket->watch.descriptor,
                  item->bytes + packet.payload_offset, packet.payload_bytes,
                  MSG_DONTWAIT, (struct sockaddr *)&endpoint,
                  SlAddress_ToSockaddr(&packet.destination, &endpoint));
    port_add_count(sent >= 0 ? &self->counts.sent : &self->counts.send_failed,
                   1);
}

static void
port_send_udp_callers(struct SlPort *port, uint64_t now_us,
                      struct SlBatch *batch)
{
    struct udp_caller_port *self = (struct udp_caller_port *)port;

    (void)now_us;
    pthread_mutex_lock(&self->lock);
    for (uint32_t i = 0; i < batch->count; i++) {
        send_packet(self, &batch->items[i]);
    }
    pthread_mutex_unlock(&self->lock);
    batch->count = 0;
}

static void
close_service_socket(struct udp_caller_port *self,
                     struct service_socket *socket)
{
    SlLoop_Unwatch(self->loop, &socket->watch);
    close(socket->watch.descriptor);
    free(socket);
}

static void
open_service_socket(struct udp_caller_port *self,
                    const struct SlAddress *address)
{
    struct service_socket *socket = calloc(1, sizeof(*socket));

    if (socket == NULL || self->socket_count == MAX_SERVICE_SOCKETS ||
        SlUdpSocket_Open(address, true, &socket->watch.descriptor, NULL) !=
            SL_OK) {
        free(socket);
        port_add_count(&self->counts.flows_refused, 1);
        return;
    }
    socket->watch.on_ready = on_socket_ready;
    socket->port = self;
    socket->address = *address;
    socket->is_in_use = true;
    SlLoop_Watch(self->loop, &socket->watch, SL_LOOP_READ);
    self->sockets[self->socket_count++] = socket;
    qsort(self->sockets, self->socket_count, sizeof(struct service_socket *),
          compare_sockets);
}

static void
close_unused_sockets(struct udp_caller_port *self)
{
    uint32_t kept_count = 0;

    for (uint32_t i = 0; i < self->socket_count; i++) {
        struct service_socket *socket = self->sockets[i];

        if (socket->is_in_use) {
            self->sockets[kept_count++] = socket;
        }
        else {
            close_service_socket(self, socket);
        }
    }
    self->socket_count = kept_count;
}

static void
port_set_addresses_udp_callers(struct SlPort *port,
                               const struct SlPortAddress *addresses,
                               uint32_t count)
{
    struct udp_caller_port *self = (struct udp_caller_port *)port;

    pthread_mutex_lock(&self->lock);
    for (uint32_t i = 0; i < self->socket_count; i++) {
        self->sockets[i]->is_in_use = false;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct service_socket *socket;

        if (addresses[i].protocol != IPPROTO_UDP) {
            continue;
        }
        socket = find_socket(self, &addresses[i].address);
        if (socket != NULL) {
            socket->is_in_use = true;
        }
        else {
            open_service_socket(self, &addresses[i].address);
        }
    }
    close_unused_sockets(self);
    atomic_store(&self->counts.flows, self->socket_count);
    pthread_mutex_unlock(&self->lock);
}

static void
port_read_counters_udp_callers(const struct SlPort *port,
                               struct SlPortCounters *counters)
{
    port_copy_counters(&((const struct udp_caller_port *)port)->counts,
                       counters);
}

static void
close_raw_socket(int descriptor)
{
    if (descriptor >= 0) {
        close(descriptor);
    }
}

static void
port_close_udp_callers(struct SlPort *port)
{
    struct udp_caller_port *self = (struct udp_caller_port *)port;

    for (uint32_t i = 0; i < self->socket_count; i++) {
        close_service_socket(self, self->sockets[i]);
    }
    close_raw_socket(self->raw_ipv4);
    close_raw_socket(self->raw_ipv6);
    SlLoop_Destroy(self->loop);
    pthread_mutex_destroy(&self->lock);
    free(self);
}

const struct SlPortType PORT_UDP_CALLERS = {
    .name = "udp",
    .is_per_thread = false,
    .open = port_open_udp_callers,
    .get_descriptor = port_get_descriptor_udp_callers,
    .receive = port_receive_udp_callers,
    .send = port_send_udp_callers,
    .set_addresses = port_set_addresses_udp_callers,
    .read_counters = port_read_counters_udp_callers,
    .close = port_close_udp_callers,
};
