/* The entry: where packets go, what is never done, and what stays bounded. */

#include <stdlib.h>

#include "capture_sink.h"
#include "fragments.h"
#include "savoryledge/coordination/entry.h"
#include "site.h"

enum {
    ROOM_BYTES = 4096,
    SECOND_US = 1000 * 1000,
};

struct bench {
    struct site site;
    struct SlEntry *entry;
    struct capture out;
};

static const char *const WORKROOM = "198.51.100.1:80";
static const char *const CATALOGUE = "[2001:db8::2]:53";

static struct SlEntry *
create_entry(const char *name, uint32_t cache_flows)
{
    struct SlEntryOptions options = {
        .core = {.roles = SL_ROLE_ENTRY, .boot = 1, .seed = 2, .hash_seed = 3},
        .cache_flows = cache_flows};

    snprintf(options.core.name, SL_NAME_BYTES, "%s", name);
    return SlEntry_Create(&options);
}

static void
refresh(struct bench *bench)
{
    site_build_routing(&bench->site);
    SlEntry_SetRouting(bench->entry, &bench->out.sink, bench->site.now_us,
                       bench->site.routing);
}

static void
open_bench(struct bench *bench)
{
    site_create(&bench->site);
    capture_open(&bench->out);
    bench->entry = create_entry("entry-1", 1024);
    refresh(bench);
}

static void
close_bench(struct bench *bench)
{
    SlEntry_Destroy(bench->entry);
    site_destroy(&bench->site);
}

static void
give_packet(struct bench *bench, const uint8_t *bytes, uint32_t length)
{
    struct SlInput input = {.kind = SL_INPUT_CALLER_PACKET,
                            .now_us = bench->site.now_us};

    input.packet.bytes = bytes;
    input.packet.length_bytes = length;
    SlEntry_Handle(bench->entry, &bench->out.sink, &input);
}

static void
give_tunnel(struct bench *bench, const struct SlTunnel *tunnel)
{
    struct SlInput input = {.kind = SL_INPUT_TUNNEL,
                            .now_us = bench->site.now_us,
                            .tunnel = tunnel};

    SlEntry_Handle(bench->entry, &bench->out.sink, &input);
}

static struct SlFlowKey
flow_of(uint16_t port, const char *service, uint8_t protocol)
{
    struct SlFlowKey flow = {.protocol = protocol};

    SlAddress_Parse(protocol == IPPROTO_TCP ? "192.0.2.9" : "2001:db8::9",
                    &flow.caller);
    flow.caller.port = port;
    SlAddress_Parse(service, &flow.service);
    return flow;
}

static uint32_t
build_tcp(uint16_t port, uint8_t flags, uint16_t mss, uint32_t payload_bytes,
          uint8_t *out)
{
    static const uint8_t PAYLOAD[ROOM_BYTES];
    struct SlFlowKey flow = flow_of(port, WORKROOM, IPPROTO_TCP);
    struct SlTcpSegment segment = {.source = flow.caller,
                                   .destination = flow.service,
                                   .flags = flags,
                                   .seq = 100,
                                   .mss_bytes = mss,
                                   .payload = PAYLOAD,
                                   .payload_bytes = payload_bytes};

    return SlPacket_BuildTcp(&segment, out, ROOM_BYTES);
}

static void
give_tcp(struct bench *bench, uint16_t port, uint8_t flags)
{
    uint8_t bytes[ROOM_BYTES];

    give_packet(bench, bytes, build_tcp(port, flags, 0, 0, bytes));
}

static void
give_udp(struct bench *bench, uint16_t port)
{
    struct SlFlowKey flow = flow_of(port, CATALOGUE, IPPROTO_UDP);
    uint8_t bytes[ROOM_BYTES];

    give_packet(bench, bytes,
                SlPacket_BuildUdp(&flow.caller, &flow.service,
                                  (const uint8_t *)"hello", 5, bytes,
                                  ROOM_BYTES));
}

static void
give_hint(struct bench *bench, uint16_t port, const char *sender,
          const char *holder)
{
    struct SlTunnel hint = {.kind = SL_TUNNEL_HINT,
                            .sender = SlNode_Id(sender),
                            .service_id = SlService_Id("workroom"),
                            .flow = flow_of(port, WORKROOM, IPPROTO_TCP),
                            .holder = holder ? SlNode_Id(holder) : 0};

    give_tunnel(bench, &hint);
}

static const struct SlRouteBucket *
bucket_of(const struct bench *bench, uint16_t port)
{
    struct SlFlowKey flow = flow_of(port, WORKROOM, IPPROTO_TCP);
    const struct SlRouteService *service =
        site_find_service(&bench->site, "workroom");

    return &service->buckets[SlRouting_BucketOf(service->service_id, &flow)];
}

static uint64_t
choice_of(const struct bench *bench, uint16_t port, uint32_t rank)
{
    return site_find_service(&bench->site, "workroom")
        ->members[bucket_of(bench, port)->choices[rank]]
        ->node_id;
}

static void
test_new_flow_goes_home(void)
{
    struct bench bench;

    open_bench(&bench);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnels, 1);
    CU_ASSERT_EQUAL(bench.out.tunnel.kind, SL_TUNNEL_FORWARD);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, choice_of(&bench, 4000, 0));
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, 0);
    CU_ASSERT_EQUAL(bench.out.tunnel.service_id, SlService_Id("workroom"));
    CU_ASSERT_EQUAL(bench.out.tunnel.origin_entry, SlNode_Id("entry-1"));
    CU_ASSERT_EQUAL(SlVersion_Compare(bench.out.tunnel.version,
                                      SlConfig_Version(bench.site.config)),
                    0);
    CU_ASSERT_EQUAL(bench.out.event, SL_EVENT_ROUTE);
    CU_ASSERT_STRING_EQUAL(bench.out.event_reason, "first_choice");
    close_bench(&bench);
}

static void
test_cut_off_entry_says_so(void)
{
    struct bench bench;

    open_bench(&bench);
    SlEntry_SetCutOff(bench.entry, true);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, SL_TUNNEL_CUT_OFF);
    give_hint(&bench, 4000, "workroom-3", "workroom-3");
    give_tcp(&bench, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.tunnel.flags,
                    SL_TUNNEL_CUT_OFF | SL_TUNNEL_CACHED);
    SlEntry_SetCutOff(bench.entry, false);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, 0);
    close_bench(&bench);
}

static void
test_cache_follows_hints_alone(void)
{
    struct bench bench;

    open_bench(&bench);
    give_hint(&bench, 4000, "workroom-3", "workroom-3");
    give_tcp(&bench, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, SlNode_Id("workroom-3"));
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, SL_TUNNEL_CACHED);
    /* Another agent says that nobody has it: not the holder's word. */
    give_hint(&bench, 4000, "workroom-4", NULL);
    give_tcp(&bench, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, SL_TUNNEL_CACHED);
    /* A new flow with the same key must not be led by the old one. */
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, choice_of(&bench, 4000, 0));
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, 0);
    give_tcp(&bench, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, 0);
    give_hint(&bench, 4000, "workroom-3", "workroom-3");
    give_hint(&bench, 4000, "workroom-3", NULL);
    CU_ASSERT_EQUAL(bench.out.event, SL_EVENT_CACHE_DROPPED);
    give_tcp(&bench, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, 0);
    close_bench(&bench);
}

static void
test_drained_holder_keeps_its_flow(void)
{
    struct bench bench;

    open_bench(&bench);
    give_hint(&bench, 4000, "workroom-3", "workroom-3");
    site_change_hold(&bench.site, SL_VERB_HOLD, SL_KIND_NODE, "workroom-3");
    refresh(&bench);
    give_tcp(&bench, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, SlNode_Id("workroom-3"));
    close_bench(&bench);
}

static void
test_zone_out_gets_nothing(void)
{
    struct bench bench;

    open_bench(&bench);
    for (uint16_t port = 1; port < 500; port++) {
        give_hint(&bench, port, "workroom-1", "workroom-1");
    }
    site_change_hold(&bench.site, SL_VERB_HOLD, SL_KIND_ZONE, "b");
    refresh(&bench);
    for (uint16_t port = 1; port < 1000; port++) {
        const struct SlRouteNode *node;

        give_tcp(&bench, port, port % 2 ? SL_TCP_ACK : SL_TCP_SYN);
        node = SlRouting_FindNode(bench.site.routing, bench.out.tunnel_to);
        CU_ASSERT_STRING_NOT_EQUAL(node->zone, "b");
    }
    CU_ASSERT_EQUAL(
        bench.out.entry_events[SL_EVENT_CACHE_DROPPED - SL_EVENT_ROUTE], 250);
    close_bench(&bench);
}

static void
test_previous_home_is_named_while_it_matters(void)
{
    struct bench bench;
    uint64_t home;

    open_bench(&bench);
    home = choice_of(&bench, 4000, 0);
    site_change_hold(&bench.site, SL_VERB_HOLD, SL_KIND_NODE,
                     SlRouting_FindNode(bench.site.routing, home)->name);
    refresh(&bench);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_NOT_EQUAL(bench.out.tunnel_to, home);
    CU_ASSERT_EQUAL(bench.out.tunnel.previous_home, home);
    bench.site.now_us += 120 * (uint64_t)SECOND_US;
    give_tcp(&bench, 4001, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel.previous_home, 0);
    close_bench(&bench);
}

/* The home died without a word: new flows skip it after the bound, one in
   five seconds tries it, and any word from it ends that. */
static void
test_silent_home_is_skipped(void)
{
    struct bench bench;
    struct SlTunnel ping = {.kind = SL_TUNNEL_PING, .ping_us = 5};
    uint64_t home;

    open_bench(&bench);
    home = choice_of(&bench, 4000, 0);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    bench.site.now_us += SECOND_US / 2 - 1;
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, home);
    bench.site.now_us += SECOND_US;
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, choice_of(&bench, 4000, 1));
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, SL_TUNNEL_SKIPPED);
    CU_ASSERT_EQUAL(bench.out.tunnel.skipped_choice, home);
    bench.site.now_us += 6 * (uint64_t)SECOND_US;
    /* The second choice stayed unanswered as well: then the first it is. */
    give_hint(&bench, 1, "workroom-0", "workroom-0");
    ping.sender = choice_of(&bench, 4000, 1);
    give_tunnel(&bench, &ping);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, home);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel.skipped_choice, home);
    ping.sender = home;
    give_tunnel(&bench, &ping);
    CU_ASSERT_EQUAL(bench.out.tunnel.kind, SL_TUNNEL_PONG);
    CU_ASSERT_EQUAL(bench.out.tunnel.ping_us, 5);
    CU_ASSERT_EQUAL(bench.out.event, SL_EVENT_UPSTREAM_CLEARED);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, home);
    CU_ASSERT_EQUAL(
        bench.out.entry_events[SL_EVENT_UPSTREAM_SUSPECT - SL_EVENT_ROUTE], 1);
    close_bench(&bench);
}

/* A full home passes flows on: the taker's hint speaks for the home too. */
static void
test_busy_home_is_not_suspect(void)
{
    struct bench bench;

    open_bench(&bench);
    for (uint32_t i = 0; i < 100; i++) {
        bench.site.now_us += SECOND_US;
        give_tcp(&bench, 4000, SL_TCP_SYN);
        CU_ASSERT_EQUAL(bench.out.tunnel_to, choice_of(&bench, 4000, 0));
        give_hint(&bench, 4000, "workroom-2", "workroom-2");
    }
    close_bench(&bench);
}

static void
test_restarted_home_is_not_suspect(void)
{
    struct bench bench;
    uint64_t home;
    struct SlChange again;

    open_bench(&bench);
    home = choice_of(&bench, 4000, 0);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    bench.site.now_us += SECOND_US;
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_NOT_EQUAL(bench.out.tunnel_to, home);
    again = site_make_announcement(
        SlRouting_FindNode(bench.site.routing, home)->name,
        SlRouting_FindNode(bench.site.routing, home)->zone, "workroom", 2000);
    again.object.node.boot = 2;
    site_apply_change(&bench.site, &again);
    refresh(&bench);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, home);
    close_bench(&bench);
}

static void
hold_all(struct bench *bench, enum SlKind kind)
{
    char name[SL_NAME_BYTES];

    for (uint32_t i = 0; i < (kind == SL_KIND_ZONE ? 4 : 7); i++) {
        snprintf(name, sizeof(name), "workroom-%u", i);
        if (kind == SL_KIND_ZONE) {
            snprintf(name, sizeof(name), "%c", (char)('a' + i));
        }
        site_change_hold(&bench->site, SL_VERB_HOLD, kind, name);
    }
    refresh(bench);
}

static void
test_all_draining_still_find_their_flows(void)
{
    struct bench bench;

    open_bench(&bench);
    hold_all(&bench, SL_KIND_NODE);
    give_tcp(&bench, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.tunnels, 1);
    CU_ASSERT_EQUAL(bench.out.to_caller, 0);
    CU_ASSERT_STRING_EQUAL(bench.out.event_reason, "draining");
    close_bench(&bench);
}

static void
test_nobody_left(void)
{
    struct bench bench;
    struct SlPacket answer;

    open_bench(&bench);
    hold_all(&bench, SL_KIND_ZONE);
    give_tcp(&bench, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(SlPacket_Parse(bench.out.caller_packet,
                                   bench.out.caller_packet_bytes, &answer),
                    SL_OK);
    CU_ASSERT(answer.tcp_flags & SL_TCP_RST);
    give_udp(&bench, 4000);
    CU_ASSERT_EQUAL(bench.out.to_caller, 2);
    CU_ASSERT_EQUAL(SlPacket_Parse(bench.out.caller_packet,
                                   bench.out.caller_packet_bytes, &answer),
                    SL_OK);
    CU_ASSERT_EQUAL(answer.kind, SL_PACKET_ICMP_ERROR);
    /* The outcome of earlier datagrams is unknown: never "not run". */
    CU_ASSERT_EQUAL(bench.out.caller_packet[41], 4);
    give_tcp(&bench, 4001, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.to_caller, 2);
    CU_ASSERT_EQUAL(bench.out.tunnels, 0);
    close_bench(&bench);
}

static void
test_reused_address_drops_the_cache(void)
{
    struct bench bench;
    struct SlChange deletion =
        site_make_change(SL_VERB_DELETE, SL_KIND_SERVICE, "workroom");

    open_bench(&bench);
    give_hint(&bench, 4000, "workroom-3", "workroom-3");
    site_apply_change(&bench.site, &deletion);
    refresh(&bench);
    give_tcp(&bench, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.tunnels, 0);
    CU_ASSERT_STRING_EQUAL(bench.out.event_reason, "no_service");
    site_add_service(&bench.site, "orders", WORKROOM, IPPROTO_TCP);
    site_announce_agent(&bench.site, "orders-0", "a", "orders", 2000);
    refresh(&bench);
    give_tcp(&bench, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, SlNode_Id("orders-0"));
    CU_ASSERT_EQUAL(bench.out.tunnel.flags, 0);
    close_bench(&bench);
}

static void
test_icmp_follows_the_quoted_flow(void)
{
    struct bench bench;
    struct SlFlowKey flow = flow_of(4000, WORKROOM, IPPROTO_TCP);
    struct SlTcpSegment segment = {.source = flow.service,
                                   .destination = flow.caller,
                                   .flags = SL_TCP_ACK};
    uint8_t sent[ROOM_BYTES];
    uint8_t error[ROOM_BYTES];
    struct SlPacket packet;
    uint32_t length = SlPacket_BuildTcp(&segment, sent, ROOM_BYTES);

    open_bench(&bench);
    CU_ASSERT_EQUAL(SlPacket_Parse(sent, length, &packet), SL_OK);
    length =
        SlPacket_BuildIcmp(&packet, SL_ICMP_TOO_BIG, 1300, error, ROOM_BYTES);
    give_hint(&bench, 4000, "workroom-3", "workroom-3");
    give_packet(&bench, error, length);
    CU_ASSERT_EQUAL(bench.out.tunnel_to, SlNode_Id("workroom-3"));
    CU_ASSERT_EQUAL(bench.out.tunnel.packet_bytes, length);
    close_bench(&bench);
}

static void
test_sizes(void)
{
    struct bench bench;
    uint8_t bytes[ROOM_BYTES];
    struct SlTunnel back = {.kind = SL_TUNNEL_RETURN, .packet = bytes};
    struct SlPacket packet;
    uint32_t length = build_tcp(4000, SL_TCP_ACK, 0, 1361, bytes);

    open_bench(&bench);
    give_packet(&bench, bytes, length);
    CU_ASSERT_EQUAL(bench.out.tunnels, 0);
    CU_ASSERT_EQUAL(bench.out.to_caller, 1);
    CU_ASSERT_EQUAL(bench.out.event, SL_EVENT_TOO_BIG);
    CU_ASSERT_EQUAL(SlPacket_Parse(bench.out.caller_packet,
                                   bench.out.caller_packet_bytes, &packet),
                    SL_OK);
    CU_ASSERT_EQUAL(packet.kind, SL_PACKET_ICMP_ERROR);
    /* The next hop's size, 1400, in the ICMP header. */
    CU_ASSERT_EQUAL(bench.out.caller_packet[26], 1400 >> 8);
    CU_ASSERT_EQUAL(bench.out.caller_packet[27], 1400 & 0xff);
    give_packet(&bench, bytes, build_tcp(4000, SL_TCP_ACK, 0, 1360, bytes));
    CU_ASSERT_EQUAL(bench.out.tunnels, 1);
    /* Both ends' SYNs are lowered to what fits. */
    length = build_tcp(4000, SL_TCP_SYN, 1460, 0, bytes);
    give_packet(&bench, bytes, length);
    CU_ASSERT_EQUAL(
        bench.out.tunnel_packet[42] << 8 | bench.out.tunnel_packet[43], 1360);
    CU_ASSERT_EQUAL(bytes[42] << 8 | bytes[43], 1460);
    back.packet_bytes =
        build_tcp(4000, SL_TCP_SYN | SL_TCP_ACK, 1460, 0, bytes);
    give_tunnel(&bench, &back);
    CU_ASSERT_EQUAL(
        bench.out.caller_packet[42] << 8 | bench.out.caller_packet[43], 1360);
    close_bench(&bench);
}

/* Three entries, fragments sprayed over them: the datagram leaves once. */
static void
test_sprayed_fragments_meet(void)
{
    struct bench benches[3];
    char name[SL_NAME_BYTES];
    struct SlFlowKey flow = flow_of(4000, CATALOGUE, IPPROTO_UDP);
    static const uint8_t PAYLOAD[3000];
    uint8_t packet[ROOM_BYTES];
    struct fragment pieces[FRAGMENTS_MAX];
    struct SlPacket parsed;
    uint32_t whole = 0;
    uint32_t length;

    for (uint32_t i = 0; i < 3; i++) {
        site_create(&benches[i].site);
        capture_open(&benches[i].out);
        for (uint32_t j = 0; j < 3; j++) {
            struct SlChange entry;

            snprintf(name, sizeof(name), "entry-%u", j);
            entry = site_make_announcement(name, "a", "none", 0);
            entry.object.node.roles = SL_ROLE_ENTRY;
            site_apply_change(&benches[i].site, &entry);
        }
        snprintf(name, sizeof(name), "entry-%u", i);
        benches[i].entry = create_entry(name, 1024);
        refresh(&benches[i]);
    }
    length = SlPacket_BuildUdp(&flow.caller, &flow.service, PAYLOAD,
                               sizeof(PAYLOAD), packet, ROOM_BYTES);
    for (uint32_t id = 0; id < 60; id++) {
        uint32_t count = fragment_packet(packet, length, 1208, id, pieces);

        for (uint32_t i = 0; i < count; i++) {
            struct bench *at = &benches[(id / 3 + i * (id % 3)) % 3];
            uint32_t before = at->out.tunnels;

            give_packet(at, pieces[i].bytes, pieces[i].length_bytes);
            if (at->out.tunnels != before &&
                at->out.tunnel.kind == SL_TUNNEL_FRAGMENT) {
                struct SlTunnel carried = at->out.tunnel;

                for (uint32_t j = 0; j < 3; j++) {
                    snprintf(name, sizeof(name), "entry-%u", j);
                    if (SlNode_Id(name) == at->out.tunnel_to) {
                        at = &benches[j];
                        before = at->out.tunnels;
                        give_tunnel(at, &carried);
                        break;
                    }
                }
            }
            if (at->out.tunnels != before &&
                at->out.tunnel.kind == SL_TUNNEL_FORWARD) {
                whole++;
                CU_ASSERT_EQUAL(i, count - 1);
                CU_ASSERT_EQUAL(SlPacket_Parse(at->out.tunnel_packet,
                                               at->out.tunnel.packet_bytes,
                                               &parsed),
                                SL_OK);
                CU_ASSERT(SlPacket_ChecksumOk(&parsed));
            }
        }
    }
    CU_ASSERT_EQUAL(whole, 60);
    for (uint32_t i = 0; i < 3; i++) {
        close_bench(&benches[i]);
    }
}

static void
test_cache_is_bounded(void)
{
    struct bench bench;
    struct SlEntryCounters before;
    struct SlEntryCounters after;
    uint32_t cached = 0;

    open_bench(&bench);
    SlEntry_Counters(bench.entry, &before);
    for (uint32_t i = 0; i < 200000; i++) {
        bench.site.now_us += 1000;
        give_hint(&bench, (uint16_t)(i % 60000 + 1), "workroom-3",
                  "workroom-3");
    }
    SlEntry_Counters(bench.entry, &after);
    CU_ASSERT_EQUAL(before.cache_bytes, after.cache_bytes);
    /* 16 bytes a flow, the locks and the numbers of nodes. */
    CU_ASSERT(after.cache_bytes <= 16 * 1024 + 8 * 16384 + 8192);
    for (uint32_t i = 0; i < 60000; i++) {
        give_tcp(&bench, (uint16_t)(i + 1), SL_TCP_ACK);
        cached += bench.out.tunnel.flags == SL_TUNNEL_CACHED;
    }
    CU_ASSERT(cached > 1400 && cached <= 2 * 1024 + 8);
    close_bench(&bench);
}

static void
test_damaged_packets_are_counted_and_few_reported(void)
{
    struct bench bench;
    struct SlEntryCounters counters;
    uint8_t bytes[ROOM_BYTES];
    uint64_t state = 88172645463325252U;

    open_bench(&bench);
    bench.out.events = 0;
    for (uint32_t i = 0; i < 20000; i++) {
        uint32_t length = build_tcp(4000, SL_TCP_SYN, 1460, 30, bytes);

        for (uint32_t j = 0; j < 3; j++) {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            bytes[state % length] ^= (uint8_t)(state >> 32);
        }
        give_packet(&bench, bytes, (uint32_t)(state >> 40) % (length + 1));
    }
    SlEntry_Counters(bench.entry, &counters);
    CU_ASSERT_EQUAL(counters.packets, 20000);
    CU_ASSERT_EQUAL(
        counters.malformed + counters.no_service + counters.forwarded, 20000);
    CU_ASSERT(bench.out.entry_events[SL_EVENT_ROUTE_FAILED - SL_EVENT_ROUTE] <=
              50);
    close_bench(&bench);
}

static void
test_without_configuration(void)
{
    struct bench bench = {.entry = create_entry("entry-1", 0)};
    uint8_t bytes[ROOM_BYTES];
    struct SlTunnel back = {.kind = SL_TUNNEL_RETURN, .packet = bytes};

    capture_open(&bench.out);
    give_tcp(&bench, 4000, SL_TCP_ACK);
    give_hint(&bench, 4000, "workroom-3", "workroom-3");
    CU_ASSERT_EQUAL(bench.out.tunnels + bench.out.to_caller, 0);
    CU_ASSERT_STRING_EQUAL(bench.out.event_reason, "no_configuration");
    /* Answers of a running agent pass also then. */
    back.packet_bytes = build_tcp(4000, SL_TCP_ACK, 0, 3, bytes);
    give_tunnel(&bench, &back);
    CU_ASSERT_EQUAL(bench.out.to_caller, 1);
    SlEntry_Destroy(bench.entry);
    SlEntry_Destroy(NULL);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"new flow goes home", test_new_flow_goes_home},
        {"cut off entry says so", test_cut_off_entry_says_so},
        {"cache follows hints alone", test_cache_follows_hints_alone},
        {"drained holder keeps its flow", test_drained_holder_keeps_its_flow},
        {"zone out gets nothing", test_zone_out_gets_nothing},
        {"previous home is named while it matters",
         test_previous_home_is_named_while_it_matters},
        {"silent home is skipped", test_silent_home_is_skipped},
        {"busy home is not suspect", test_busy_home_is_not_suspect},
        {"restarted home is not suspect", test_restarted_home_is_not_suspect},
        {"all draining still find their flows",
         test_all_draining_still_find_their_flows},
        {"nobody left", test_nobody_left},
        {"reused address drops the cache",
         test_reused_address_drops_the_cache},
        {"icmp follows the quoted flow", test_icmp_follows_the_quoted_flow},
        {"sizes", test_sizes},
        {"sprayed fragments meet", test_sprayed_fragments_meet},
        {"cache is bounded", test_cache_is_bounded},
        {"damaged packets are counted and few reported",
         test_damaged_packets_are_counted_and_few_reported},
        {"without configuration", test_without_configuration},
    };

    return RUN_SUITE("entry", CASES);
}
