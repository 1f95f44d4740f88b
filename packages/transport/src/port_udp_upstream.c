#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "port_internal.h"
#include "savoryledge/transport/loop.h"

enum {
    DEFAULT_MAX_FLOWS = 4096,
    DEFAULT_IDLE_TIMEOUT_US = 600 * 1000 * 1000,
    /// Max number of idle sockets that one call of close_idle_flows closes.
    MAX_CLOSES_PER_CALL = 8,
    MIN_CHAIN_COUNT = 16,
    /// Position of the IPv4 address in an IPv4-mapped IPv6 address.
    IPV4_OFFSET = 12,
    LOOPBACK_NET = 127,
    /// Top bit of the second byte of source addresses, which are thus in
    /// 127.128.0.0/9.
    SOURCE_NET_BIT = 0x80,
    /// Lowest port number that a process without privileges may bind to.
    MIN_UNPRIVILEGED_PORT = 1024,
};

/// The connected socket of one flow. Each flow is in a hash chain, and in a
/// list ordered by last use.
struct upstream_flow {
    struct SlWatch watch;
    struct udp_upstream_port *port;
    struct SlFlowKey key;
    uint64_t last_used_us;
    struct upstream_flow *next_in_chain;
    struct upstream_flow *older;
    struct upstream_flow *newer;
};

/// A port with ordinary UDP sockets towards the upstream, one for each flow.
struct udp_upstream_port {
    struct SlPort port;
    struct SlLoop *loop;
    struct SlAddress upstream;
    uint32_t max_flows;
    uint64_t idle_timeout_us;
    uint64_t hash_seed;
    /// Guards all members below except counts.
    pthread_mutex_t lock;
    uint32_t flow_count;
    uint32_t chain_count;
    struct upstream_flow **chains;
    /// Ends of the list of flows: the least and the most recently used flow.
    struct upstream_flow *oldest;
    struct upstream_flow *newest;
    /// Batch that the receive call in progress fills, and the time of that
    /// call.
    struct SlBatch *receive_batch;
    uint64_t receive_now_us;
    /// Buffer for the payload of one datagram.
    uint8_t payload[SL_BATCH_ITEM_BYTES];
    struct port_counts counts;
};

/// Returns the smallest power of two that is not below max_flows or
/// MIN_CHAIN_COUNT.
static uint32_t
compute_chain_count(uint32_t max_flows)
{
    uint32_t count = MIN_CHAIN_COUNT;

    while (count < max_flows) {
        count *= 2;
    }
    return count;
}

static enum SlStatus
port_open_udp_upstream(const struct SlPortOptions *options,
                       struct SlPort **port, struct SlError *error)
{
    struct udp_upstream_port *self = calloc(1, sizeof(*self));

    if (self == NULL) {
        return SL_NO_MEMORY;
    }
    self->port.type = &PORT_UDP_UPSTREAM;
    self->upstream = options->upstream;
    self->max_flows =
        options->max_flows ? options->max_flows : DEFAULT_MAX_FLOWS;
    self->idle_timeout_us = options->idle_timeout_us ? options->idle_timeout_us
                                                     : DEFAULT_IDLE_TIMEOUT_US;
    randombytes_buf(&self->hash_seed, sizeof(self->hash_seed));
    self->chain_count = compute_chain_count(self->max_flows);
    self->chains = calloc(self->chain_count, sizeof(struct upstream_flow *));
    self->loop = SlLoop_Create();
    pthread_mutex_init(&self->lock, NULL);
    if (self->loop == NULL || self->chains == NULL) {
        SlPort_Close(&self->port);
        return SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                           "cannot create the event loop or the flow table of "
                           "the UDP port towards the upstream");
    }
    *port = &self->port;
    return SL_OK;
}

static int
port_get_descriptor_udp_upstream(const struct SlPort *port)
{
    return SlLoop_Descriptor(((const struct udp_upstream_port *)port)->loop);
}

static struct upstream_flow **
find_chain(struct udp_upstream_port *self, const struct SlFlowKey *key)
{
    uint64_t hash = SlFlowKey_Hash(key, self->hash_seed);

    return &self->chains[hash & (self->chain_count - 1)];
}

static void
remove_from_use_list(struct udp_upstream_port *self,
                     struct upstream_flow *flow)
{
    *(flow->older ? &flow->older->newer : &self->oldest) = flow->newer;
    *(flow->newer ? &flow->newer->older : &self->newest) = flow->older;
}

static void
append_to_use_list(struct udp_upstream_port *self, struct upstream_flow *flow)
{
    flow->older = self->newest;
    flow->newer = NULL;
    *(self->newest ? &self->newest->newer : &self->oldest) = flow;
    self->newest = flow;
}

/// Moves a flow to the end of the list as the most recently used flow.
static void
mark_flow_used(struct udp_upstream_port *self, struct upstream_flow *flow,
               uint64_t now_us)
{
    flow->last_used_us = now_us;
    remove_from_use_list(self, flow);
    append_to_use_list(self, flow);
}

static void
close_flow(struct udp_upstream_port *self, struct upstream_flow *flow)
{
    struct upstream_flow **position = find_chain(self, &flow->key);

    while (*position != flow) {
        position = &(*position)->next_in_chain;
    }
    *position = flow->next_in_chain;
    remove_from_use_list(self, flow);
    self->flow_count--;
    atomic_store(&self->counts.flows, self->flow_count);
    SlLoop_Unwatch(self->loop, &flow->watch);
    close(flow->watch.descriptor);
    free(flow);
}

/// Closes flows that exceeded the idle timeout, up to MAX_CLOSES_PER_CALL.
static void
close_idle_flows(struct udp_upstream_port *self, uint64_t now_us)
{
    for (int i = 0; i < MAX_CLOSES_PER_CALL && self->oldest != NULL; i++) {
        if (now_us < self->oldest->last_used_us + self->idle_timeout_us) {
            return;
        }
        close_flow(self, self->oldest);
    }
}

/// Builds the ICMP error that the host of the upstream would send when the
/// upstream refuses datagrams of the flow. Returns its length, or 0 on
/// failure.
static uint32_t
build_icmp_unreachable(struct upstream_flow *flow, uint8_t *out)
{
    uint8_t quoted[SL_PACKET_ANSWER_BYTES];
    struct SlPacket packet;
    uint32_t length = SlPacket_BuildUdp(&flow->key.caller, &flow->key.service,
                                        NULL, 0, quoted, sizeof(quoted));

    if (length == 0 || SlPacket_Parse(quoted, length, &packet) != SL_OK) {
        return 0;
    }
    return SlPacket_BuildIcmp(&packet, SL_ICMP_PORT_UNREACHABLE, 0, out,
                              SL_BATCH_ITEM_BYTES);
}

/// Receives one datagram as an IP packet, or a refusal as an ICMP error.
/// item->length_bytes is 0 for a datagram that is too long. Returns false when
/// no datagram or refusal waits at the socket.
static bool
receive_reply(struct upstream_flow *flow, struct SlBatchItem *item)
{
    struct udp_upstream_port *self = flow->port;
    ssize_t length = recv(flow->watch.descriptor, self->payload,
                          sizeof(self->payload), MSG_DONTWAIT | MSG_TRUNC);

    if (length < 0) {
        item->length_bytes = errno == ECONNREFUSED
                                 ? build_icmp_unreachable(flow, item->bytes)
                                 : 0;
        return item->length_bytes > 0;
    }
    item->length_bytes = 0;
    if ((size_t)length <= sizeof(self->payload)) {
        item->length_bytes = SlPacket_BuildUdp(
            &flow->key.service, &flow->key.caller, self->payload,
            (uint32_t)length, item->bytes, SL_BATCH_ITEM_BYTES);
    }
    return true;
}

static void
on_flow_ready(struct SlWatch *watch, uint32_t events)
{
    struct upstream_flow *flow = (struct upstream_flow *)watch;
    struct udp_upstream_port *self = flow->port;
    struct SlBatch *batch = self->receive_batch;

    (void)events;
    while (batch->count < SL_BATCH_ITEMS) {
        struct SlBatchItem *item = &batch->items[batch->count];

        if (!receive_reply(flow, item)) {
            break;
        }
        mark_flow_used(self, flow, self->receive_now_us);
        if (item->length_bytes > 0) {
            batch->count++;
        }
        else {
            port_add_count(&self->counts.refused, 1);
        }
    }
}

static void
port_receive_udp_upstream(struct SlPort *port, uint64_t now_us,
                          struct SlBatch *batch)
{
    struct udp_upstream_port *self = (struct udp_upstream_port *)port;

    batch->count = 0;
    pthread_mutex_lock(&self->lock);
    self->receive_batch = batch;
    self->receive_now_us = now_us;
    SlLoop_RunOnce(self->loop, 0);
    self->receive_batch = NULL;
    close_idle_flows(self, now_us);
    pthread_mutex_unlock(&self->lock);
    port_add_count(&self->counts.received, batch->count);
}

/// Binds the socket of a flow to a loopback address derived from the flow key
/// and to the caller's port, so that an upstream on this host sees the same
/// source address after a restart of the agent. The system chooses the source
/// address when the upstream has no IPv4 loopback address, when the caller's
/// port is privileged, or when the bind fails.
static void
bind_source_address(int descriptor, const struct SlAddress *upstream,
                    const struct SlFlowKey *key)
{
    uint64_t hash = SlFlowKey_Hash(key, 0);
    struct SlAddress source = *upstream;
    struct sockaddr_storage endpoint;
    socklen_t endpoint_bytes;

    if (!SlAddress_IsIpv4(upstream) ||
        upstream->ip[IPV4_OFFSET] != LOOPBACK_NET ||
        key->caller.port < MIN_UNPRIVILEGED_PORT) {
        return;
    }
    source.ip[IPV4_OFFSET + 1] = (uint8_t)(SOURCE_NET_BIT | (hash >> 16));
    source.ip[IPV4_OFFSET + 2] = (uint8_t)(hash >> 8);
    source.ip[IPV4_OFFSET + 3] = (uint8_t)hash;
    source.port = key->caller.port;
    endpoint_bytes = SlAddress_ToSockaddr(&source, &endpoint);
    (void)bind(descriptor, (struct sockaddr *)&endpoint, endpoint_bytes);
}

static int
connect_upstream(const struct udp_upstream_port *self,
                 const struct SlFlowKey *key)
{
    struct SlAddress destination = self->upstream;
    struct sockaddr_storage endpoint;
    socklen_t endpoint_bytes;
    int descriptor;

    if (destination.port == 0) {
        destination.port = key->service.port;
    }
    endpoint_bytes = SlAddress_ToSockaddr(&destination, &endpoint);
    descriptor = socket(endpoint.ss_family,
                        SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor >= 0) {
        bind_source_address(descriptor, &destination, key);
    }
    if (descriptor >= 0 && connect(descriptor, (struct sockaddr *)&endpoint,
                                   endpoint_bytes) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

static struct upstream_flow *
open_flow(struct udp_upstream_port *self, const struct SlFlowKey *key)
{
    struct upstream_flow **chain = find_chain(self, key);
    struct upstream_flow *flow;
    int descriptor;

    if (self->flow_count >= self->max_flows) {
        return NULL;
    }
    descriptor = connect_upstream(self, key);
    flow = descriptor >= 0 ? calloc(1, sizeof(*flow)) : NULL;
    if (flow == NULL) {
        if (descriptor >= 0) {
            close(descriptor);
        }
        return NULL;
    }
    flow->watch.on_ready = on_flow_ready;
    flow->watch.descriptor = descriptor;
    flow->port = self;
    flow->key = *key;
    flow->next_in_chain = *chain;
    *chain = flow;
    append_to_use_list(self, flow);
    self->flow_count++;
    atomic_store(&self->counts.flows, self->flow_count);
    SlLoop_Watch(self->loop, &flow->watch, SL_LOOP_READ);
    return flow;
}

static struct upstream_flow *
find_flow(struct udp_upstream_port *self, const struct SlFlowKey *key)
{
    struct upstream_flow *flow = *find_chain(self, key);

    while (flow != NULL && !SlFlowKey_Equal(&flow->key, key)) {
        flow = flow->next_in_chain;
    }
    return flow;
}

/// Sends a payload through the socket of a flow. The first attempt may instead
/// report that an earlier datagram was refused; the payload is then sent
/// again.
static ssize_t
send_payload(const struct upstream_flow *flow, const uint8_t *payload,
             uint32_t payload_bytes)
{
    int descriptor = flow->watch.descriptor;
    ssize_t sent = send(descriptor, payload, payload_bytes, MSG_DONTWAIT);

    if (sent < 0 && errno == ECONNREFUSED) {
        sent = send(descriptor, payload, payload_bytes, MSG_DONTWAIT);
    }
    return sent;
}

static void
send_packet(struct udp_upstream_port *self, uint64_t now_us,
            const struct SlBatchItem *item)
{
    struct upstream_flow *flow;
    struct SlPacket packet;
    struct SlFlowKey key;
    ssize_t sent;

    if (SlPacket_Parse(item->bytes, item->length_bytes, &packet) != SL_OK ||
        packet.kind != SL_PACKET_UDP) {
        port_add_count(&self->counts.refused, 1);
        return;
    }
    SlPacket_FlowKeyFromCaller(&packet, &key);
    flow = find_flow(self, &key);
    if (flow == NULL) {
        flow = open_flow(self, &key);
    }
    if (flow == NULL) {
        port_add_count(&self->counts.flows_refused, 1);
        return;
    }
    mark_flow_used(self, flow, now_us);
    sent = send_payload(flow, item->bytes + packet.payload_offset,
                        packet.payload_bytes);
    port_add_count(sent >= 0 ? &self->counts.sent : &self->counts.send_failed,
                   1);
}

static void
port_send_udp_upstream(struct SlPort *port, uint64_t now_us,
                       struct SlBatch *batch)
{
    struct udp_upstream_port *self = (struct udp_upstream_port *)port;

    pthread_mutex_lock(&self->lock);
    for (uint32_t i = 0; i < batch->count; i++) {
        send_packet(self, now_us, &batch->items[i]);
    }
    close_idle_flows(self, now_us);
    pthread_mutex_unlock(&self->lock);
    batch->count = 0;
}

static void
port_set_addresses_udp_upstream(struct SlPort *port,
                                const struct SlPortAddress *addresses,
                                uint32_t count)
{
    (void)port;
    (void)addresses;
    (void)count;
}

static void
port_read_counters_udp_upstream(const struct SlPort *port,
                                struct SlPortCounters *counters)
{
    port_copy_counters(&((const struct udp_upstream_port *)port)->counts,
                       counters);
}

static void
port_close_udp_upstream(struct SlPort *port)
{
    struct udp_upstream_port *self = (struct udp_upstream_port *)port;

    while (self->oldest != NULL) {
        close_flow(self, self->oldest);
    }
    SlLoop_Destroy(self->loop);
    pthread_mutex_destroy(&self->lock);
    free(self->chains);
    free(self);
}

const struct SlPortType PORT_UDP_UPSTREAM = {
    .name = "udp",
    .is_per_thread = false,
    .open = port_open_udp_upstream,
    .get_descriptor = port_get_descriptor_udp_upstream,
    .receive = port_receive_udp_upstream,
    .send = port_send_udp_upstream,
    .set_addresses = port_set_addresses_udp_upstream,
    .read_counters = port_read_counters_udp_upstream,
    .close = port_close_udp_upstream,
};
