/// What the target of docs/CAPACITY.md costs a process: configuration and
/// routing table at 210 services, 2,400 upstreams and 420 entries in 5 zones,
/// the next table after a change, and the size of the small datagrams.

#include <malloc.h>
#include <stdbool.h>

#include "bench.h"
#include "savoryledge/protocol/tunnel.h"
#include "savoryledge/state/flow_table.h"
#include "savoryledge/transport/seal.h"

enum {
    SERVICES = 210,
    UPSTREAMS = 2400,
    ENTRIES = 420,
    ZONES = 5,
    ROUNDS = 9,
    AGENT_FLOWS = 100000,
    IP_UDP_HEADERS_BYTES = 28,
};

static uint64_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static void
put(struct SlConfig *config, struct SlObject *object, const char *format,
    uint32_t number)
{
    snprintf(object->name, sizeof(object->name), format, number);
    if (object->kind == SL_KIND_NODE) {
        object->node.node_id = SlNode_Id(object->name);
    }
    if (SlConfig_PutObject(config, object) != SL_OK) {
        abort();
    }
}

static void
put_services(struct SlConfig *config)
{
    for (uint32_t i = 0; i < SERVICES; i++) {
        struct SlObject group = {.kind = SL_KIND_GROUP};
        struct SlObject service = {.kind = SL_KIND_SERVICE};

        snprintf(group.selector, SL_SELECTOR_BYTES, "app=app-%u", i);
        put(config, &group, "group-%u", i);
        snprintf(service.selector, SL_SELECTOR_BYTES, "name=group-%u", i);
        service.service.address = bench_address("10.0.0.1:80");
        service.service.address.port = (uint16_t)(1 + i);
        service.service.protocol = IPPROTO_TCP;
        put(config, &service, "service-%u", i);
    }
}

static struct SlObject
make_node(uint32_t roles, uint32_t number)
{
    struct SlObject node = {
        .kind = SL_KIND_NODE,
        .node = {
            .roles = roles, .boot = 1, .slots = 3, .capacity_flows = 6000}};
    char app[SL_LABEL_VALUE_BYTES];

    snprintf(node.node.zone, SL_NAME_BYTES, "zone-%u", number % ZONES);
    snprintf(app, sizeof(app), "app-%u", number % SERVICES);
    if (roles & SL_ROLE_AGENT) {
        SlLabels_Set(&node.labels, "app", app);
    }
    return node;
}

static struct SlConfig *
create_target(void)
{
    struct SlConfig *config = SlConfig_Create();

    for (uint32_t i = 0; i < ZONES; i++) {
        struct SlObject zone = {.kind = SL_KIND_ZONE};

        put(config, &zone, "zone-%u", i);
    }
    put_services(config);
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        struct SlObject node = make_node(SL_ROLE_AGENT, i);

        put(config, &node, "upstream-%u", i);
    }
    for (uint32_t i = 0; i < ENTRIES; i++) {
        struct SlObject node = make_node(SL_ROLE_ENTRY, i);

        put(config, &node, "entry-%u", i);
    }
    return config;
}

/// Median processor time of building the next table after previous.
static double
build_ms(const struct SlConfig *config, const struct SlRouting *previous)
{
    double cost[ROUNDS];

    for (uint32_t i = 0; i < ROUNDS; i++) {
        uint64_t begin_ns = bench_cpu_ns();

        SlRouting_Unref(SlRouting_Build(config, previous, 2));
        cost[i] = (double)(bench_cpu_ns() - begin_ns) / 1e6;
    }
    return bench_median(cost, ROUNDS);
}

static void
bench_routing(void)
{
    uint64_t before = heap_bytes();
    struct SlConfig *config = create_target();
    uint64_t with_config = heap_bytes();
    struct SlRouting *routing = SlRouting_Build(config, NULL, 1);
    uint64_t with_routing = heap_bytes();
    struct SlObject zone = {.kind = SL_KIND_ZONE, .holds = {.count = 1}};
    struct SlObject node = make_node(SL_ROLE_AGENT, 7);

    printf("target_config_bytes %.0f bytes\n", (double)(with_config - before));
    printf("target_routing_bytes %.0f bytes\n",
           (double)(with_routing - with_config));
    printf("target_routing_first_ms %.1f ms\n", build_ms(config, NULL));
    node.node.leaving = true;
    put(config, &node, "upstream-%u", 7);
    printf("target_routing_drain_ms %.1f ms\n", build_ms(config, routing));
    put(config, &zone, "zone-%u", 1);
    printf("target_routing_zone_ms %.1f ms\n", build_ms(config, routing));
    SlRouting_Unref(routing);
    SlConfig_Destroy(config);
}

/// The agent's table with as many flows as a few upstreams of the target.
static void
bench_flow_table(void)
{
    struct SlFlowTableOptions options = {.max_entries = 2 * AGENT_FLOWS,
                                         .hash_seed = 3};
    struct SlFlowTable *table = SlFlowTable_Create(&options, 0);
    struct SlFlowKey key;

    if (table == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < AGENT_FLOWS; i++) {
        struct SlFlowShard *shard;

        bench_flow_key(i, &key);
        shard = SlFlowTable_Lock(table, &key);
        if (SlFlowShard_Insert(shard, &key) == NULL) {
            abort();
        }
        SlFlowShard_Unlock(shard);
    }
    printf("agent_bytes_per_flow %.1f bytes\n",
           (double)SlFlowTable_AllocatedBytes(table) / AGENT_FLOWS);
    SlFlowTable_Destroy(table);
}

/// Bytes on the wire, with seal, UDP and IPv4 header.
static uint32_t
datagram_bytes(enum SlTunnelKind kind)
{
    uint8_t bytes[SL_TUNNEL_HEADER_MAX_BYTES];
    uint32_t length = sizeof(bytes);
    struct SlTunnel tunnel = {.kind = kind,
                              .sender = SlNode_Id("upstream-7"),
                              .version = {.term = 40, .index = 700000},
                              .service_id = SlService_Id("service-7"),
                              .flow = {.protocol = IPPROTO_TCP},
                              .holder = SlNode_Id("upstream-9"),
                              .load_flows = 5400,
                              .load_capacity = 6000,
                              .load_exchanges = 40,
                              .load_free_capacity = 600,
                              .ping_us = UINT64_C(86400000000)};

    tunnel.flow.caller = bench_address("192.0.2.9:41000");
    tunnel.flow.service = bench_address("198.51.100.7:443");
    if (SlTunnel_Encode(&tunnel, bytes, &length) != SL_OK) {
        abort();
    }
    return length + SL_SEAL_OVERHEAD_BYTES + IP_UDP_HEADERS_BYTES;
}

int
main(void)
{
    bench_routing();
    bench_flow_table();
    printf("load_datagram_bytes %u bytes\n", datagram_bytes(SL_TUNNEL_LOAD));
    printf("ping_datagram_bytes %u bytes\n", datagram_bytes(SL_TUNNEL_PING));
    printf("hint_datagram_bytes %u bytes\n", datagram_bytes(SL_TUNNEL_HINT));
    printf("locate_datagram_bytes %u bytes\n",
           datagram_bytes(SL_TUNNEL_LOCATE));
    return 0;
}
