/// Measures the cost of the target size in docs/CAPACITY.md for a process:
/// configuration and routing table with 210 services, 2,400 upstreams and 420
/// entries in 5 zones, the next table after a change, and the size of the
/// small datagrams.

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
put_object(struct SlConfig *config, struct SlObject *object,
           const char *format, uint32_t number)
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
put_services_and_groups(struct SlConfig *config)
{
    for (uint32_t i = 0; i < SERVICES; i++) {
        struct SlObject group = {.kind = SL_KIND_GROUP};
        struct SlObject service = {.kind = SL_KIND_SERVICE};

        snprintf(group.selector, SL_SELECTOR_BYTES, "app=app-%u", i);
        put_object(config, &group, "group-%u", i);
        snprintf(service.selector, SL_SELECTOR_BYTES, "name=group-%u", i);
        service.service.address = bench_parse_address("10.0.0.1:80");
        service.service.address.port = (uint16_t)(1 + i);
        service.service.protocol = IPPROTO_TCP;
        put_object(config, &service, "service-%u", i);
    }
}

static struct SlObject
describe_node(uint32_t roles, uint32_t number)
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
create_target_config(void)
{
    struct SlConfig *config = SlConfig_Create();

    for (uint32_t i = 0; i < ZONES; i++) {
        struct SlObject zone = {.kind = SL_KIND_ZONE};

        put_object(config, &zone, "zone-%u", i);
    }
    put_services_and_groups(config);
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        struct SlObject node = describe_node(SL_ROLE_AGENT, i);

        put_object(config, &node, "upstream-%u", i);
    }
    for (uint32_t i = 0; i < ENTRIES; i++) {
        struct SlObject node = describe_node(SL_ROLE_ENTRY, i);

        put_object(config, &node, "entry-%u", i);
    }
    return config;
}

/// Returns the median processor time to build the table that follows previous,
/// in milliseconds.
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
    uint64_t heap_before_bytes = heap_bytes();
    struct SlConfig *config = create_target_config();
    uint64_t heap_with_config_bytes = heap_bytes();
    struct SlRouting *routing = SlRouting_Build(config, NULL, 1);
    uint64_t heap_with_routing_bytes = heap_bytes();
    struct SlObject zone = {.kind = SL_KIND_ZONE, .holds = {.count = 1}};
    struct SlObject node = describe_node(SL_ROLE_AGENT, 7);

    printf("target_config_bytes %.0f bytes\n",
           (double)(heap_with_config_bytes - heap_before_bytes));
    printf("target_routing_bytes %.0f bytes\n",
           (double)(heap_with_routing_bytes - heap_with_config_bytes));
    printf("target_routing_first_ms %.1f ms\n", build_ms(config, NULL));
    node.node.leaving = true;
    put_object(config, &node, "upstream-%u", 7);
    printf("target_routing_drain_ms %.1f ms\n", build_ms(config, routing));
    put_object(config, &zone, "zone-%u", 1);
    printf("target_routing_zone_ms %.1f ms\n", build_ms(config, routing));
    SlRouting_Unref(routing);
    SlConfig_Destroy(config);
}

/// Measures the memory of an agent's flow table with as many flows as a few
/// upstreams of the target have.
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

/// Returns the bytes on the wire of a datagram, including its seal and the UDP
/// and IPv4 headers.
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

    tunnel.flow.caller = bench_parse_address("192.0.2.9:41000");
    tunnel.flow.service = bench_parse_address("198.51.100.7:443");
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
