/* Several threads use one entry while routing tables change: no packet may go
   to a zone that is out in the table that routed it, and none may be lost. */

#include <pthread.h>
#include <stdatomic.h>
#include <urcu.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/entry.h"
#include "site.h"

enum {
    THREADS = 4,
    ROUNDS = 4000,
    CHANGES = 200,
    VERSIONS_MAX = 4096,
    AGENTS = 7,
    ZONES = 4,
    PACKET_BUFFER_BYTES = 4096,
};

static struct SlEntry *entry;
/// Index of the zone that is out of service at each version; ZONES when no
/// zone is out.
static _Atomic uint32_t zone_out_at[VERSIONS_MAX];
static _Atomic uint64_t now_us = 1;

struct worker {
    struct SlSink sink;
    pthread_t thread;
    uint32_t number;
    uint32_t packets;
    uint32_t returned;
    uint32_t forwarded;
    uint32_t sent_to_zone_out;
};

static void
send_to_caller(struct SlSink *sink, const uint8_t *bytes, uint32_t length)
{
    (void)bytes;
    (void)length;
    ((struct worker *)sink)->returned++;
}

static void
send_tunnel(struct SlSink *sink, uint64_t node_id, const struct SlAddress *to,
            const struct SlTunnel *tunnel)
{
    struct worker *worker = (struct worker *)sink;
    uint32_t zone_out = zone_out_at[tunnel->version.index];
    char name[SL_NAME_BYTES];

    (void)to;
    worker->forwarded++;
    for (uint32_t i = zone_out; zone_out < ZONES && i < AGENTS; i += ZONES) {
        snprintf(name, sizeof(name), "workroom-%u", i);
        worker->sent_to_zone_out += SlNode_Id(name) == node_id;
    }
}

static const struct SlSinkType SINK = {
    .send_to_caller = send_to_caller,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = send_tunnel,
    .send_message = SlSink_IgnoreMessage,
    .dial_node = SlSink_IgnoreDialNode,
    .drop_node = SlSink_IgnoreDropNode,
    .log_event = SlSink_IgnoreLogEvent,
};

static void
handle_packet(struct worker *worker, const uint8_t *bytes, uint32_t length)
{
    struct SlInput input = {.kind = SL_INPUT_CALLER_PACKET, .now_us = now_us};

    input.packet.bytes = bytes;
    input.packet.length_bytes = length;
    worker->packets++;
    SlEntry_HandleInput(entry, &worker->sink, &input);
}

static void
handle_tunnel(struct worker *worker, const struct SlTunnel *tunnel)
{
    struct SlInput input = {
        .kind = SL_INPUT_TUNNEL, .now_us = now_us, .tunnel = tunnel};

    SlEntry_HandleInput(entry, &worker->sink, &input);
}

static void
run_round(struct worker *worker, uint32_t round)
{
    char name[SL_NAME_BYTES];
    uint8_t bytes[PACKET_BUFFER_BYTES];
    uint32_t length;
    struct SlTcpSegment segment = {.flags = SL_TCP_SYN};
    struct SlTunnel hint = {.kind = SL_TUNNEL_HINT,
                            .service_id = SlService_Id("workroom"),
                            .flow = {.protocol = IPPROTO_TCP}};
    struct SlTunnel return_datagram = {.kind = SL_TUNNEL_RETURN,
                                       .packet = bytes};

    SlAddress_Parse("192.0.2.9", &segment.source);
    /* The ports of the threads overlap, so that they share some flows. */
    segment.source.port = (uint16_t)(1 + round % 997 + worker->number);
    SlAddress_Parse("198.51.100.1:80", &segment.destination);
    handle_packet(worker, bytes,
                  SlPacket_BuildTcp(&segment, bytes, PACKET_BUFFER_BYTES));
    snprintf(name, sizeof(name), "workroom-%u", round % AGENTS);
    hint.sender = SlNode_Id(name);
    hint.holder = hint.sender;
    hint.flow.caller = segment.source;
    hint.flow.service = segment.destination;
    handle_tunnel(worker, &hint);
    segment.flags = SL_TCP_ACK;
    length = SlPacket_BuildTcp(&segment, bytes, PACKET_BUFFER_BYTES);
    handle_packet(worker, bytes, length);
    return_datagram.sender = hint.sender;
    return_datagram.packet_bytes = length;
    handle_tunnel(worker, &return_datagram);
}

static void *
run_worker(void *argument)
{
    struct worker *worker = argument;

    rcu_register_thread();
    for (uint32_t round = 0; round < ROUNDS; round++) {
        run_round(worker, round);
    }
    rcu_unregister_thread();
    return NULL;
}

static void
set_routing(struct site *site, struct worker *worker, uint32_t zone_out)
{
    struct SlVersion version = SlConfig_Version(site->config);

    zone_out_at[version.index] = zone_out;
    site_build_routing(site);
    now_us = site->now_us;
    SlEntry_SetRouting(entry, &worker->sink, site->now_us, site->routing);
}

static void
change_zones(struct site *site, struct worker *worker)
{
    for (uint32_t i = 0; i < CHANGES; i++) {
        const char zone[2] = {(char)('a' + i % ZONES), '\0'};

        site_change_hold(site, SL_VERB_HOLD, SL_KIND_ZONE, zone);
        set_routing(site, worker, i % ZONES);
        site_change_hold(site, SL_VERB_RELEASE, SL_KIND_ZONE, zone);
        set_routing(site, worker, ZONES);
    }
}

static void
test_changes_under_load(void)
{
    static struct worker workers[THREADS];
    struct worker control = {.sink = {.type = &SINK}};
    struct SlEntryOptions options = {.core = {.name = "entry-1"},
                                     .cache_flows = 2048};
    struct SlEntryCounters counters;
    struct site site;
    uint64_t forwarded = 0;
    uint64_t returned = 0;

    site_create(&site);
    for (uint32_t i = 0; i < VERSIONS_MAX; i++) {
        zone_out_at[i] = ZONES;
    }
    entry = SlEntry_Create(&options);
    CU_ASSERT_PTR_NOT_NULL_FATAL(entry);
    set_routing(&site, &control, ZONES);
    for (uint32_t i = 0; i < THREADS; i++) {
        workers[i] = (struct worker){.sink = {.type = &SINK}, .number = i};
        pthread_create(&workers[i].thread, NULL, run_worker, &workers[i]);
    }
    change_zones(&site, &control);
    for (uint32_t i = 0; i < THREADS; i++) {
        pthread_join(workers[i].thread, NULL);
        CU_ASSERT_EQUAL(workers[i].packets, 2 * ROUNDS);
        CU_ASSERT_EQUAL(workers[i].sent_to_zone_out, 0);
        forwarded += workers[i].forwarded;
        returned += workers[i].returned;
    }
    SlEntry_Counters(entry, &counters);
    CU_ASSERT_EQUAL(counters.packets, 2ULL * ROUNDS * THREADS);
    CU_ASSERT_EQUAL(counters.packets_forwarded, forwarded);
    CU_ASSERT_EQUAL(forwarded, counters.packets);
    CU_ASSERT_EQUAL(returned, 1ULL * ROUNDS * THREADS);
    SlEntry_Destroy(entry);
    site_destroy(&site);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"routing tables change under load", test_changes_under_load},
    };
    int result;

    rcu_register_thread();
    result = RUN_SUITE("entry threads", CASES);
    rcu_unregister_thread();
    return result;
}
