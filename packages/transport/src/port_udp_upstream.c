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
    DEFAULT_FLOWS = 4096,
    DEFAULT_IDLE_US = 600 * 1000 * 1000,
    /// Idle sockets closed with one call at most.
    CLOSES_PER_CALL = 8,
    IPV4_OFFSET = 12,
    LOOPBACK_NET = 127,
    UPPER_HALF = 0x80,
    PORT_MIN = 1024,
};

/// The connected socket of one flow. Flows stand in a hash chain, and in a
/// list from the longest unused to the last used.
struct upstream_flow {
    struct SlWatch watch;
    struct port_udp_upstream *owner;
    struct SlFlowKey key;
    uint64_t used_us;
    struct upstream_flow *chain;
    struct upstream_flow *older;
    struct upstream_flow *newer;
};

/// Ordinary sockets towards the upstream, one for each flow.
struct port_udp_upstream {
    struct SlPort port;
    struct SlLoop *loop;
    struct SlAddress upstream;
    uint32_t max_flows;
    uint64_t idle_us;
    uint64_t hash_seed;
    /// Guards all that follows.
    pthread_mutex_t lock;
    uint32_t flow_count;
    uint32_t chain_count;
    struct upstream_flow **chains;
    struct upstream_flow *oldest;
    struct upstream_flow *newest;
    /// Of the present receive call.
    struct SlBatch *filling;
    uint64_t filling_us;
    uint8_t payload[SL_BATCH_ITEM_BYTES];
    struct port_counts counts;
};

static uint32_t
chains_for(uint32_t flows)
{
    uint32_t count = 16;

    while (count < flows) {
        count *= 2;
    }
    return count;
}

static enum SlStatus
port_open_udp_upstream(const struct SlPortOptions *options,
                       struct SlPort **port, struct SlError *error)
{
    struct port_udp_upstream *self = calloc(1, sizeof(*self));

    if (self == NULL) {
        return SL_NO_MEMORY;
    }
    self->port.type = &PORT_UDP_UPSTREAM;
    self->upstream = options->upstream;
    self->max_flows = options->max_flows ? options->max_flows : DEFAULT_FLOWS;
    self->idle_us = options->idle_us ? options->idle_us : DEFAULT_IDLE_US;
    randombytes_buf(&self->hash_seed, sizeof(self->hash_seed));
    self->chain_count = chains_for(self->max_flows);
    self->chains = calloc(self->chain_count, sizeof(struct upstream_flow *));
    self->loop = SlLoop_Create();
    pthread_mutex_init(&self->lock, NULL);
    if (self->loop == NULL || self->chains == NULL) {
        SlPort_Close(&self->port);
        return SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                           "cannot open the port to the upstream");
    }
    *port = &self->port;
    return SL_OK;
}

static int
port_descriptor_udp_upstream(const struct SlPort *port)
{
    return SlLoop_Descriptor(((const struct port_udp_upstream *)port)->loop);
}

static struct upstream_flow **
chain_of(struct port_udp_upstream *self, const struct SlFlowKey *key)
{
    uint64_t hash = SlFlowKey_Hash(key, self->hash_seed);

    return &self->chains[hash & (self->chain_count - 1)];
}

static void
list_remove(struct port_udp_upstream *self, struct upstream_flow *flow)
{
    *(flow->older ? &flow->older->newer : &self->oldest) = flow->newer;
    *(flow->newer ? &flow->newer->older : &self->newest) = flow->older;
}

static void
list_append(struct port_udp_upstream *self, struct upstream_flow *flow)
{
    flow->older = self->newest;
    flow->newer = NULL;
    *(self->newest ? &self->newest->newer : &self->oldest) = flow;
    self->newest = flow;
}

static void
touch(struct port_udp_upstream *self, struct upstream_flow *flow,
      uint64_t now_us)
{
    flow->used_us = now_us;
    list_remove(self, flow);
    list_append(self, flow);
}

static void
close_flow(struct port_udp_upstream *self, struct upstream_flow *flow)
{
    struct upstream_flow **place = chain_of(self, &flow->key);

    while (*place != flow) {
        place = &(*place)->chain;
    }
    *place = flow->chain;
    list_remove(self, flow);
    self->flow_count--;
    atomic_store(&self->counts.flows, self->flow_count);
    SlLoop_Unwatch(self->loop, &flow->watch);
    close(flow->watch.descriptor);
    free(flow);
}

static void
close_idle(struct port_udp_upstream *self, uint64_t now_us)
{
    for (int i = 0; i < CLOSES_PER_CALL && self->oldest != NULL; i++) {
        if (now_us < self->oldest->used_us + self->idle_us) {
            return;
        }
        close_flow(self, self->oldest);
    }
}

/// The upstream refused the flow's datagrams: the agent hears of it as it
/// would from the upstream's own host.
static uint32_t
build_unreachable(struct upstream_flow *flow, uint8_t *out)
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

/// Takes one datagram or refusal; false when none waits.
static bool
take_reply(struct upstream_flow *flow, struct SlBatchItem *item)
{
    struct port_udp_upstream *self = flow->owner;
    ssize_t length = recv(flow->watch.descriptor, self->payload,
                          sizeof(self->payload), MSG_DONTWAIT | MSG_TRUNC);

    if (length < 0) {
        item->length_bytes =
            errno == ECONNREFUSED ? build_unreachable(flow, item->bytes) : 0;
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
ready_flow(struct SlWatch *watch, uint32_t events)
{
    struct upstream_flow *flow = (struct upstream_flow *)watch;
    struct port_udp_upstream *self = flow->owner;
    struct SlBatch *batch = self->filling;

    (void)events;
    while (batch->count < SL_BATCH_ITEMS) {
        struct SlBatchItem *item = &batch->items[batch->count];

        if (!take_reply(flow, item)) {
            break;
        }
        touch(self, flow, self->filling_us);
        if (item->length_bytes > 0) {
            batch->count++;
        }
        else {
            port_count(&self->counts.refused, 1);
        }
    }
}

static void
port_receive_udp_upstream(struct SlPort *port, uint64_t now_us,
                          struct SlBatch *batch)
{
    struct port_udp_upstream *self = (struct port_udp_upstream *)port;

    batch->count = 0;
    pthread_mutex_lock(&self->lock);
    self->filling = batch;
    self->filling_us = now_us;
    SlLoop_RunOnce(self->loop, 0);
    self->filling = NULL;
    close_idle(self, now_us);
    pthread_mutex_unlock(&self->lock);
    port_count(&self->counts.received, batch->count);
}

/// Gives the flow's socket a loopback address and port that follow from its
/// key, so that an upstream on this host sees the flow come from the same
/// place after the agent restarted. Where that is not to be had, the system
/// chooses.
static void
bind_by_key(int descriptor, const struct SlAddress *upstream,
            const struct SlFlowKey *key)
{
    uint64_t hash = SlFlowKey_Hash(key, 0);
    struct SlAddress from = *upstream;
    struct sockaddr_storage name;
    socklen_t name_bytes;

    if (!SlAddress_IsIpv4(upstream) ||
        upstream->ip[IPV4_OFFSET] != LOOPBACK_NET ||
        key->caller.port < PORT_MIN) {
        return;
    }
    from.ip[IPV4_OFFSET + 1] = (uint8_t)(UPPER_HALF | (hash >> 16));
    from.ip[IPV4_OFFSET + 2] = (uint8_t)(hash >> 8);
    from.ip[IPV4_OFFSET + 3] = (uint8_t)hash;
    from.port = key->caller.port;
    name_bytes = SlAddress_ToSockaddr(&from, &name);
    (void)bind(descriptor, (struct sockaddr *)&name, name_bytes);
}

static int
connect_upstream(const struct port_udp_upstream *self,
                 const struct SlFlowKey *key)
{
    struct SlAddress to = self->upstream;
    struct sockaddr_storage name;
    socklen_t name_bytes;
    int descriptor;

    if (to.port == 0) {
        to.port = key->service.port;
    }
    name_bytes = SlAddress_ToSockaddr(&to, &name);
    descriptor =
        socket(name.ss_family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor >= 0) {
        bind_by_key(descriptor, &to, key);
    }
    if (descriptor >= 0 &&
        connect(descriptor, (struct sockaddr *)&name, name_bytes) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

static struct upstream_flow *
open_flow(struct port_udp_upstream *self, const struct SlFlowKey *key)
{
    struct upstream_flow **chain = chain_of(self, key);
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
    flow->watch.on_ready = ready_flow;
    flow->watch.descriptor = descriptor;
    flow->owner = self;
    flow->key = *key;
    flow->chain = *chain;
    *chain = flow;
    list_append(self, flow);
    self->flow_count++;
    atomic_store(&self->counts.flows, self->flow_count);
    SlLoop_Watch(self->loop, &flow->watch, SL_LOOP_READ);
    return flow;
}

static struct upstream_flow *
find_flow(struct port_udp_upstream *self, const struct SlFlowKey *key)
{
    struct upstream_flow *flow = *chain_of(self, key);

    while (flow != NULL && !SlFlowKey_Equal(&flow->key, key)) {
        flow = flow->chain;
    }
    return flow;
}

/// A refusal of an earlier datagram may show first.
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
send_packet(struct port_udp_upstream *self, uint64_t now_us,
            const struct SlBatchItem *item)
{
    struct upstream_flow *flow;
    struct SlPacket packet;
    struct SlFlowKey key;
    ssize_t sent;

    if (SlPacket_Parse(item->bytes, item->length_bytes, &packet) != SL_OK ||
        packet.kind != SL_PACKET_UDP) {
        port_count(&self->counts.refused, 1);
        return;
    }
    SlPacket_CallerKey(&packet, &key);
    flow = find_flow(self, &key);
    if (flow == NULL) {
        flow = open_flow(self, &key);
    }
    if (flow == NULL) {
        port_count(&self->counts.flows_refused, 1);
        return;
    }
    touch(self, flow, now_us);
    sent = send_payload(flow, item->bytes + packet.payload_offset,
                        packet.payload_bytes);
    port_count(sent >= 0 ? &self->counts.sent : &self->counts.send_failed, 1);
}

static void
port_send_udp_upstream(struct SlPort *port, uint64_t now_us,
                       struct SlBatch *batch)
{
    struct port_udp_upstream *self = (struct port_udp_upstream *)port;

    pthread_mutex_lock(&self->lock);
    for (uint32_t i = 0; i < batch->count; i++) {
        send_packet(self, now_us, &batch->items[i]);
    }
    close_idle(self, now_us);
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
port_counters_udp_upstream(const struct SlPort *port,
                           struct SlPortCounters *counters)
{
    port_read_counts(&((const struct port_udp_upstream *)port)->counts,
                     counters);
}

static void
port_close_udp_upstream(struct SlPort *port)
{
    struct port_udp_upstream *self = (struct port_udp_upstream *)port;

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
    .get_descriptor = port_descriptor_udp_upstream,
    .receive = port_receive_udp_upstream,
    .send = port_send_udp_upstream,
    .set_addresses = port_set_addresses_udp_upstream,
    .read_counters = port_counters_udp_upstream,
    .close = port_close_udp_upstream,
};
