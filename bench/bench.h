#ifndef SAVORYLEDGE_BENCH_BENCH_H
#define SAVORYLEDGE_BENCH_BENCH_H

/// Code shared by the benchmarks: processor time, the configuration of a small
/// site, packets of many flows, and a sink that ignores everything.

#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/node.h"

enum {
    BENCH_AGENTS = 7,
    BENCH_PACKET_BYTES = 160,
    BENCH_PAYLOAD_BYTES = 100,
    BENCH_CAPACITY_FLOWS = 1000000,
};

/// Returns the processor time that this thread has used, in nanoseconds.
static inline uint64_t
bench_cpu_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (uint64_t)time.tv_sec * 1000000000U + (uint64_t)time.tv_nsec;
}

static inline uint32_t
bench_random(uint64_t *state)
{
    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    return (uint32_t)((*state * 0x2545f4914f6cdd1dULL) >> 33);
}

static inline int
bench_compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static inline double
bench_median(double *values, size_t count)
{
    qsort(values, count, sizeof(*values), bench_compare);
    return values[count / 2];
}

/// Returns the lower quartile, which is the cost of a measurement with little
/// disturbance by other processes. Sorts the values.
static inline double
bench_lower_quartile(double *values, size_t count)
{
    qsort(values, count, sizeof(*values), bench_compare);
    return values[count / 4];
}

static inline struct SlAddress
bench_parse_address(const char *text)
{
    struct SlAddress address = {0};
    enum SlStatus status = SlAddress_Parse(text, &address);

    assert(status == SL_OK);
    (void)status;
    return address;
}

static inline void
bench_put_node(struct SlConfig *config, const char *name, uint32_t roles,
               const struct SlAddress *tunnel)
{
    struct SlObject object = {.kind = SL_KIND_NODE};

    snprintf(object.name, sizeof(object.name), "%s", name);
    object.node = (struct SlNodeSpec){
        .node_id = SlNode_Id(name),
        .roles = roles,
        .zone = "a",
        .tunnel = *tunnel,
        .link = *tunnel,
        .boot = 1,
        .slots = 4096,
        .capacity_flows = BENCH_CAPACITY_FLOWS,
    };
    SlConfig_PutObject(config, &object);
}

/// Creates a configuration with one TCP service, its agents agent-1 and
/// following, and one entry. All nodes have the tunnel address. The caller
/// owns the result.
static inline struct SlConfig *
bench_create_config(uint32_t agents, const struct SlAddress *tunnel)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlObject group = {.kind = SL_KIND_GROUP, .name = "workroom"};
    struct SlObject service = {
        .kind = SL_KIND_SERVICE,
        .name = "workroom",
        .service = {.address = bench_parse_address("192.0.2.1:443"),
                    .protocol = IPPROTO_TCP},
    };

    assert(config != NULL);
    SlConfig_PutObject(config, &group);
    SlConfig_PutObject(config, &service);
    for (uint32_t i = 0; i < agents; i++) {
        char name[SL_NAME_BYTES];

        snprintf(name, sizeof(name), "agent-%u", (i + 1) % 10000);
        bench_put_node(config, name, SL_ROLE_AGENT, tunnel);
    }
    bench_put_node(config, "entry-1", SL_ROLE_ENTRY, tunnel);
    SlConfig_SetVersion(config, (struct SlVersion){.term = 1, .index = 1});
    return config;
}

static inline void
bench_flow_key(uint32_t flow, struct SlFlowKey *key)
{
    *key = (struct SlFlowKey){
        .caller = bench_parse_address("10.0.0.0:0"),
        .service = bench_parse_address("192.0.2.1:443"),
        .protocol = IPPROTO_TCP,
    };
    key->caller.ip[13] = (uint8_t)(flow >> 16);
    key->caller.ip[14] = (uint8_t)(flow >> 8);
    key->caller.ip[15] = (uint8_t)flow;
    key->caller.port = (uint16_t)(1024 + (flow >> 24));
}

/// Builds a packet of the flow from its caller to the service. Returns its
/// length in bytes.
static inline uint32_t
bench_build_packet(uint32_t flow, uint8_t flags, uint32_t seq, uint32_t ack,
                   uint32_t payload_bytes, uint8_t out[BENCH_PACKET_BYTES])
{
    static const uint8_t PAYLOAD[BENCH_PAYLOAD_BYTES];
    struct SlFlowKey key;
    struct SlTcpSegment segment = {
        .flags = flags,
        .seq = seq,
        .ack = ack,
        .window = 1000,
        .payload = PAYLOAD,
        .payload_bytes = payload_bytes,
    };

    bench_flow_key(flow, &key);
    segment.source = key.caller;
    segment.destination = key.service;
    return SlPacket_BuildTcp(&segment, out, BENCH_PACKET_BYTES);
}

static const struct SlSinkType BENCH_NO_SINK = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = SlSink_IgnoreMessage,
    .dial_node = SlSink_IgnoreDialNode,
    .drop_node = SlSink_IgnoreDropNode,
    .log_event = SlSink_IgnoreLogEvent,
};

/// Creates an entry whose cache holds the flows 0 to flows - 1. The caller
/// owns the result.
static inline struct SlEntry *
bench_create_entry(struct SlSink *sink, struct SlRouting *routing,
                   uint32_t flows)
{
    struct SlEntryOptions options = {
        .core = {.name = "entry-1",
                 .zone = "a",
                 .roles = SL_ROLE_ENTRY,
                 .boot = 1,
                 .seed = 1,
                 .hash_seed = 2},
        .cache_flows = flows,
    };
    struct SlEntry *entry = SlEntry_Create(&options);
    struct SlTunnel hint = {
        .kind = SL_TUNNEL_HINT,
        .sender = SlNode_Id("agent-1"),
        .holder = SlNode_Id("agent-1"),
        .service_id = SlService_Id("workroom"),
        .version = SlRouting_Version(routing),
        .answer = SL_LOCATE_YES,
    };
    struct SlInput input = {.kind = SL_INPUT_TUNNEL,
                            .now_us = 1000000,
                            .wall_us = 1000000,
                            .tunnel = &hint};

    assert(entry != NULL);
    SlEntry_SetRouting(entry, sink, 1000000, routing);
    for (uint32_t i = 0; i < flows; i++) {
        char name[SL_NAME_BYTES];

        snprintf(name, sizeof(name), "agent-%u", 1 + i % BENCH_AGENTS);
        hint.holder = SlNode_Id(name);
        bench_flow_key(i, &hint.flow);
        SlEntry_HandleInput(entry, sink, &input);
    }
    return entry;
}

#endif
