/* The entry: where it sends packets, what it refuses, and that its memory and
   log output are bounded. */

#include <stdlib.h>

#include "capture_sink.h"
#include "fragments.h"
#include "savoryledge/coordination/entry.h"
#include "site.h"

enum {
    PACKET_BUFFER_BYTES = 4096,
    SECOND_US = 1000 * 1000,
};

struct fixture {
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
publish_routing(struct fixture *fixture)
{
    site_build_routing(&fixture->site);
    SlEntry_SetRouting(fixture->entry, &fixture->out.sink,
                       fixture->site.now_us, fixture->site.routing);
}

static void
open_fixture(struct fixture *fixture)
{
    site_create(&fixture->site);
    capture_open(&fixture->out);
    fixture->entry = create_entry("entry-1", 1024);
    publish_routing(fixture);
}

static void
close_fixture(struct fixture *fixture)
{
    SlEntry_Destroy(fixture->entry);
    site_destroy(&fixture->site);
}

static void
handle_packet(struct fixture *fixture, const uint8_t *bytes, uint32_t length)
{
    struct SlInput input = {.kind = SL_INPUT_CALLER_PACKET,
                            .now_us = fixture->site.now_us};

    input.packet.bytes = bytes;
    input.packet.length_bytes = length;
    SlEntry_HandleInput(fixture->entry, &fixture->out.sink, &input);
}

static void
handle_tunnel(struct fixture *fixture, const struct SlTunnel *tunnel)
{
    struct SlInput input = {.kind = SL_INPUT_TUNNEL,
                            .now_us = fixture->site.now_us,
                            .tunnel = tunnel};

    SlEntry_HandleInput(fixture->entry, &fixture->out.sink, &input);
}

static struct SlFlowKey
make_flow(uint16_t port, const char *service, uint8_t protocol)
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
    static const uint8_t PAYLOAD[PACKET_BUFFER_BYTES];
    struct SlFlowKey flow = make_flow(port, WORKROOM, IPPROTO_TCP);
    struct SlTcpSegment segment = {.source = flow.caller,
                                   .destination = flow.service,
                                   .flags = flags,
                                   .seq = 100,
                                   .mss_bytes = mss,
                                   .payload = PAYLOAD,
                                   .payload_bytes = payload_bytes};

    return SlPacket_BuildTcp(&segment, out, PACKET_BUFFER_BYTES);
}

static void
send_tcp(struct fixture *fixture, uint16_t port, uint8_t flags)
{
    uint8_t bytes[PACKET_BUFFER_BYTES];

    handle_packet(fixture, bytes, build_tcp(port, flags, 0, 0, bytes));
}

static void
send_udp(struct fixture *fixture, uint16_t port)
{
    struct SlFlowKey flow = make_flow(port, CATALOGUE, IPPROTO_UDP);
    uint8_t bytes[PACKET_BUFFER_BYTES];

    handle_packet(fixture, bytes,
                  SlPacket_BuildUdp(&flow.caller, &flow.service,
                                    (const uint8_t *)"hello", 5, bytes,
                                    PACKET_BUFFER_BYTES));
}

static void
send_hint(struct fixture *fixture, uint16_t port, const char *sender,
          const char *holder)
{
    struct SlTunnel hint = {.kind = SL_TUNNEL_HINT,
                            .sender = SlNode_Id(sender),
                            .service_id = SlService_Id("workroom"),
                            .flow = make_flow(port, WORKROOM, IPPROTO_TCP),
                            .holder = holder ? SlNode_Id(holder) : 0};

    handle_tunnel(fixture, &hint);
}

static const struct SlRouteBucket *
find_bucket(const struct fixture *fixture, uint16_t port)
{
    struct SlFlowKey flow = make_flow(port, WORKROOM, IPPROTO_TCP);
    const struct SlRouteService *service =
        site_find_service(&fixture->site, "workroom");

    return &service->buckets[SlRouting_BucketOf(service->service_id, &flow)];
}

static uint64_t
choice_node_id(const struct fixture *fixture, uint16_t port, uint32_t rank)
{
    return site_find_service(&fixture->site, "workroom")
        ->members[find_bucket(fixture, port)->choices[rank]]
        ->node_id;
}

static void
test_new_flow_goes_home(void)
{
    struct fixture fixture;

    open_fixture(&fixture);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnels, 1);
    CU_ASSERT_EQUAL(fixture.out.tunnel.kind, SL_TUNNEL_FORWARD);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, choice_node_id(&fixture, 4000, 0));
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, 0);
    CU_ASSERT_EQUAL(fixture.out.tunnel.service_id, SlService_Id("workroom"));
    CU_ASSERT_EQUAL(fixture.out.tunnel.origin_entry, SlNode_Id("entry-1"));
    CU_ASSERT_EQUAL(SlVersion_Compare(fixture.out.tunnel.version,
                                      SlConfig_Version(fixture.site.config)),
                    0);
    CU_ASSERT_EQUAL(fixture.out.event, SL_EVENT_ROUTE);
    CU_ASSERT_STRING_EQUAL(fixture.out.event_reason, "first_choice");
    close_fixture(&fixture);
}

static void
test_cut_off_entry_sets_flag(void)
{
    struct fixture fixture;

    open_fixture(&fixture);
    SlEntry_SetCutOff(fixture.entry, true);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, SL_TUNNEL_CUT_OFF);
    send_hint(&fixture, 4000, "workroom-3", "workroom-3");
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags,
                    SL_TUNNEL_CUT_OFF | SL_TUNNEL_CACHED);
    SlEntry_SetCutOff(fixture.entry, false);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, 0);
    close_fixture(&fixture);
}

static void
test_cache_follows_hints_alone(void)
{
    struct fixture fixture;

    open_fixture(&fixture);
    send_hint(&fixture, 4000, "workroom-3", "workroom-3");
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, SlNode_Id("workroom-3"));
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, SL_TUNNEL_CACHED);
    /* Another agent reports that no agent holds the flow: ignored, because it
       is not the cached holder. */
    send_hint(&fixture, 4000, "workroom-4", NULL);
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, SL_TUNNEL_CACHED);
    /* A new flow with the same key must not be sent to the old flow's holder.
     */
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, choice_node_id(&fixture, 4000, 0));
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, 0);
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, 0);
    send_hint(&fixture, 4000, "workroom-3", "workroom-3");
    send_hint(&fixture, 4000, "workroom-3", NULL);
    CU_ASSERT_EQUAL(fixture.out.event, SL_EVENT_CACHE_DROPPED);
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, 0);
    close_fixture(&fixture);
}

static void
test_drained_holder_keeps_its_flow(void)
{
    struct fixture fixture;

    open_fixture(&fixture);
    send_hint(&fixture, 4000, "workroom-3", "workroom-3");
    site_change_hold(&fixture.site, SL_VERB_HOLD, SL_KIND_NODE, "workroom-3");
    publish_routing(&fixture);
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, SlNode_Id("workroom-3"));
    close_fixture(&fixture);
}

static void
test_zone_out_gets_no_packets(void)
{
    struct fixture fixture;

    open_fixture(&fixture);
    for (uint16_t port = 1; port < 500; port++) {
        send_hint(&fixture, port, "workroom-1", "workroom-1");
    }
    site_change_hold(&fixture.site, SL_VERB_HOLD, SL_KIND_ZONE, "b");
    publish_routing(&fixture);
    for (uint16_t port = 1; port < 1000; port++) {
        const struct SlRouteNode *node;

        send_tcp(&fixture, port, port % 2 ? SL_TCP_ACK : SL_TCP_SYN);
        node = SlRouting_FindNode(fixture.site.routing, fixture.out.tunnel_to);
        CU_ASSERT_STRING_NOT_EQUAL(node->zone, "b");
    }
    CU_ASSERT_EQUAL(
        fixture.out.entry_events[SL_EVENT_CACHE_DROPPED - SL_EVENT_ROUTE],
        250);
    close_fixture(&fixture);
}

static void
test_previous_home_is_named_for_two_minutes(void)
{
    struct fixture fixture;
    uint64_t home;

    open_fixture(&fixture);
    home = choice_node_id(&fixture, 4000, 0);
    site_change_hold(&fixture.site, SL_VERB_HOLD, SL_KIND_NODE,
                     SlRouting_FindNode(fixture.site.routing, home)->name);
    publish_routing(&fixture);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_NOT_EQUAL(fixture.out.tunnel_to, home);
    CU_ASSERT_EQUAL(fixture.out.tunnel.previous_home, home);
    fixture.site.now_us += 120 * (uint64_t)SECOND_US;
    send_tcp(&fixture, 4001, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel.previous_home, 0);
    close_fixture(&fixture);
}

/* The home of a bucket stops answering: new flows skip it after half a second,
   except one flow every five seconds as a retry, until a datagram is received
   from it. */
static void
test_silent_home_is_skipped(void)
{
    struct fixture fixture;
    struct SlTunnel ping = {.kind = SL_TUNNEL_PING, .ping_us = 5};
    uint64_t home;

    open_fixture(&fixture);
    home = choice_node_id(&fixture, 4000, 0);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    fixture.site.now_us += SECOND_US / 2 - 1;
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, home);
    fixture.site.now_us += SECOND_US;
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, choice_node_id(&fixture, 4000, 1));
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, SL_TUNNEL_SKIPPED);
    CU_ASSERT_EQUAL(fixture.out.tunnel.skipped_choice, home);
    fixture.site.now_us += 6 * (uint64_t)SECOND_US;
    /* The second choice has not answered either, so the first choice is used.
     */
    send_hint(&fixture, 1, "workroom-0", "workroom-0");
    ping.sender = choice_node_id(&fixture, 4000, 1);
    handle_tunnel(&fixture, &ping);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, home);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel.skipped_choice, home);
    ping.sender = home;
    handle_tunnel(&fixture, &ping);
    CU_ASSERT_EQUAL(fixture.out.tunnel.kind, SL_TUNNEL_PONG);
    CU_ASSERT_EQUAL(fixture.out.tunnel.ping_us, 5);
    CU_ASSERT_EQUAL(fixture.out.event, SL_EVENT_UPSTREAM_CLEARED);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, home);
    CU_ASSERT_EQUAL(
        fixture.out.entry_events[SL_EVENT_UPSTREAM_SUSPECT - SL_EVENT_ROUTE],
        1);
    close_fixture(&fixture);
}

/* A home whose upstream is full passes flows on: the hint of the agent that
   admits the flow also counts as an answer of the home. */
static void
test_busy_home_is_not_suspect(void)
{
    struct fixture fixture;

    open_fixture(&fixture);
    for (uint32_t i = 0; i < 100; i++) {
        fixture.site.now_us += SECOND_US;
        send_tcp(&fixture, 4000, SL_TCP_SYN);
        CU_ASSERT_EQUAL(fixture.out.tunnel_to,
                        choice_node_id(&fixture, 4000, 0));
        send_hint(&fixture, 4000, "workroom-2", "workroom-2");
    }
    close_fixture(&fixture);
}

static void
test_restarted_home_is_not_suspect(void)
{
    struct fixture fixture;
    uint64_t home;
    struct SlChange again;

    open_fixture(&fixture);
    home = choice_node_id(&fixture, 4000, 0);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    fixture.site.now_us += SECOND_US;
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_NOT_EQUAL(fixture.out.tunnel_to, home);
    again = site_make_announcement(
        SlRouting_FindNode(fixture.site.routing, home)->name,
        SlRouting_FindNode(fixture.site.routing, home)->zone, "workroom",
        2000);
    again.object.node.boot = 2;
    site_apply_change(&fixture.site, &again);
    publish_routing(&fixture);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, home);
    close_fixture(&fixture);
}

static void
hold_all(struct fixture *fixture, enum SlKind kind)
{
    char name[SL_NAME_BYTES];

    for (uint32_t i = 0; i < (kind == SL_KIND_ZONE ? 4 : 7); i++) {
        snprintf(name, sizeof(name), "workroom-%u", i);
        if (kind == SL_KIND_ZONE) {
            snprintf(name, sizeof(name), "%c", (char)('a' + i));
        }
        site_change_hold(&fixture->site, SL_VERB_HOLD, kind, name);
    }
    publish_routing(fixture);
}

static void
test_all_draining_still_find_their_flows(void)
{
    struct fixture fixture;

    open_fixture(&fixture);
    hold_all(&fixture, SL_KIND_NODE);
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.tunnels, 1);
    CU_ASSERT_EQUAL(fixture.out.to_caller, 0);
    CU_ASSERT_STRING_EQUAL(fixture.out.event_reason, "draining");
    close_fixture(&fixture);
}

static void
test_refusals_without_members(void)
{
    struct fixture fixture;
    struct SlPacket answer;

    open_fixture(&fixture);
    hold_all(&fixture, SL_KIND_ZONE);
    send_tcp(&fixture, 4000, SL_TCP_SYN);
    CU_ASSERT_EQUAL(SlPacket_Parse(fixture.out.caller_packet,
                                   fixture.out.caller_packet_bytes, &answer),
                    SL_OK);
    CU_ASSERT(answer.tcp_flags & SL_TCP_RST);
    send_udp(&fixture, 4000);
    CU_ASSERT_EQUAL(fixture.out.to_caller, 2);
    CU_ASSERT_EQUAL(SlPacket_Parse(fixture.out.caller_packet,
                                   fixture.out.caller_packet_bytes, &answer),
                    SL_OK);
    CU_ASSERT_EQUAL(answer.kind, SL_PACKET_ICMP_ERROR);
    /* The outcome of earlier datagrams is unknown, so the ICMP code must not
       be that for "not run". */
    CU_ASSERT_EQUAL(fixture.out.caller_packet[41], 4);
    send_tcp(&fixture, 4001, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.to_caller, 2);
    CU_ASSERT_EQUAL(fixture.out.tunnels, 0);
    close_fixture(&fixture);
}

static void
test_reused_address_drops_the_cache(void)
{
    struct fixture fixture;
    struct SlChange deletion =
        site_make_change(SL_VERB_DELETE, SL_KIND_SERVICE, "workroom");

    open_fixture(&fixture);
    send_hint(&fixture, 4000, "workroom-3", "workroom-3");
    site_apply_change(&fixture.site, &deletion);
    publish_routing(&fixture);
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.tunnels, 0);
    CU_ASSERT_STRING_EQUAL(fixture.out.event_reason, "no_service");
    site_add_service(&fixture.site, "orders", WORKROOM, IPPROTO_TCP);
    site_announce_agent(&fixture.site, "orders-0", "a", "orders", 2000);
    publish_routing(&fixture);
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, SlNode_Id("orders-0"));
    CU_ASSERT_EQUAL(fixture.out.tunnel.flags, 0);
    close_fixture(&fixture);
}

static void
test_icmp_follows_the_quoted_flow(void)
{
    struct fixture fixture;
    struct SlFlowKey flow = make_flow(4000, WORKROOM, IPPROTO_TCP);
    struct SlTcpSegment segment = {.source = flow.service,
                                   .destination = flow.caller,
                                   .flags = SL_TCP_ACK};
    uint8_t sent[PACKET_BUFFER_BYTES];
    uint8_t error[PACKET_BUFFER_BYTES];
    struct SlPacket packet;
    uint32_t length = SlPacket_BuildTcp(&segment, sent, PACKET_BUFFER_BYTES);

    open_fixture(&fixture);
    CU_ASSERT_EQUAL(SlPacket_Parse(sent, length, &packet), SL_OK);
    length = SlPacket_BuildIcmp(&packet, SL_ICMP_TOO_BIG, 1300, error,
                                PACKET_BUFFER_BYTES);
    send_hint(&fixture, 4000, "workroom-3", "workroom-3");
    handle_packet(&fixture, error, length);
    CU_ASSERT_EQUAL(fixture.out.tunnel_to, SlNode_Id("workroom-3"));
    CU_ASSERT_EQUAL(fixture.out.tunnel.packet_bytes, length);
    close_fixture(&fixture);
}

static void
test_mtu_and_mss(void)
{
    struct fixture fixture;
    uint8_t bytes[PACKET_BUFFER_BYTES];
    struct SlTunnel return_datagram = {.kind = SL_TUNNEL_RETURN,
                                       .packet = bytes};
    struct SlPacket packet;
    uint32_t length = build_tcp(4000, SL_TCP_ACK, 0, 1361, bytes);

    open_fixture(&fixture);
    handle_packet(&fixture, bytes, length);
    CU_ASSERT_EQUAL(fixture.out.tunnels, 0);
    CU_ASSERT_EQUAL(fixture.out.to_caller, 1);
    CU_ASSERT_EQUAL(fixture.out.event, SL_EVENT_TOO_BIG);
    CU_ASSERT_EQUAL(SlPacket_Parse(fixture.out.caller_packet,
                                   fixture.out.caller_packet_bytes, &packet),
                    SL_OK);
    CU_ASSERT_EQUAL(packet.kind, SL_PACKET_ICMP_ERROR);
    /* The ICMP header contains the next hop's MTU, 1400. */
    CU_ASSERT_EQUAL(fixture.out.caller_packet[26], 1400 >> 8);
    CU_ASSERT_EQUAL(fixture.out.caller_packet[27], 1400 & 0xff);
    handle_packet(&fixture, bytes,
                  build_tcp(4000, SL_TCP_ACK, 0, 1360, bytes));
    CU_ASSERT_EQUAL(fixture.out.tunnels, 1);
    /* The MSS option of both ends' SYNs is lowered to what fits. */
    length = build_tcp(4000, SL_TCP_SYN, 1460, 0, bytes);
    handle_packet(&fixture, bytes, length);
    CU_ASSERT_EQUAL(fixture.out.tunnel_packet[42] << 8 |
                        fixture.out.tunnel_packet[43],
                    1360);
    CU_ASSERT_EQUAL(bytes[42] << 8 | bytes[43], 1460);
    return_datagram.packet_bytes =
        build_tcp(4000, SL_TCP_SYN | SL_TCP_ACK, 1460, 0, bytes);
    handle_tunnel(&fixture, &return_datagram);
    CU_ASSERT_EQUAL(fixture.out.caller_packet[42] << 8 |
                        fixture.out.caller_packet[43],
                    1360);
    close_fixture(&fixture);
}

/* Fragments are spread over three entries: each datagram is reassembled and
   forwarded exactly once. */
static void
test_spread_fragments_are_reassembled(void)
{
    struct fixture fixtures[3];
    char name[SL_NAME_BYTES];
    struct SlFlowKey flow = make_flow(4000, CATALOGUE, IPPROTO_UDP);
    static const uint8_t PAYLOAD[3000];
    uint8_t packet[PACKET_BUFFER_BYTES];
    struct fragment fragments[FRAGMENTS_MAX];
    struct SlPacket parsed;
    uint32_t forwarded = 0;
    uint32_t length;

    for (uint32_t i = 0; i < 3; i++) {
        site_create(&fixtures[i].site);
        capture_open(&fixtures[i].out);
        for (uint32_t j = 0; j < 3; j++) {
            struct SlChange entry;

            snprintf(name, sizeof(name), "entry-%u", j);
            entry = site_make_announcement(name, "a", "none", 0);
            entry.object.node.roles = SL_ROLE_ENTRY;
            site_apply_change(&fixtures[i].site, &entry);
        }
        snprintf(name, sizeof(name), "entry-%u", i);
        fixtures[i].entry = create_entry(name, 1024);
        publish_routing(&fixtures[i]);
    }
    length = SlPacket_BuildUdp(&flow.caller, &flow.service, PAYLOAD,
                               sizeof(PAYLOAD), packet, PACKET_BUFFER_BYTES);
    for (uint32_t id = 0; id < 60; id++) {
        uint32_t count = fragment_packet(packet, length, 1208, id, fragments);

        for (uint32_t i = 0; i < count; i++) {
            struct fixture *receiver = &fixtures[(id / 3 + i * (id % 3)) % 3];
            uint32_t before = receiver->out.tunnels;

            handle_packet(receiver, fragments[i].bytes,
                          fragments[i].length_bytes);
            if (receiver->out.tunnels != before &&
                receiver->out.tunnel.kind == SL_TUNNEL_FRAGMENT) {
                struct SlTunnel tunnel = receiver->out.tunnel;

                for (uint32_t j = 0; j < 3; j++) {
                    snprintf(name, sizeof(name), "entry-%u", j);
                    if (SlNode_Id(name) == receiver->out.tunnel_to) {
                        receiver = &fixtures[j];
                        before = receiver->out.tunnels;
                        handle_tunnel(receiver, &tunnel);
                        break;
                    }
                }
            }
            if (receiver->out.tunnels != before &&
                receiver->out.tunnel.kind == SL_TUNNEL_FORWARD) {
                forwarded++;
                CU_ASSERT_EQUAL(i, count - 1);
                CU_ASSERT_EQUAL(
                    SlPacket_Parse(receiver->out.tunnel_packet,
                                   receiver->out.tunnel.packet_bytes, &parsed),
                    SL_OK);
                CU_ASSERT(SlPacket_ChecksumOk(&parsed));
            }
        }
    }
    CU_ASSERT_EQUAL(forwarded, 60);
    for (uint32_t i = 0; i < 3; i++) {
        close_fixture(&fixtures[i]);
    }
}

static void
test_cache_is_bounded(void)
{
    struct fixture fixture;
    struct SlEntryCounters before;
    struct SlEntryCounters after;
    uint32_t cached = 0;

    open_fixture(&fixture);
    SlEntry_Counters(fixture.entry, &before);
    for (uint32_t i = 0; i < 200000; i++) {
        fixture.site.now_us += 1000;
        send_hint(&fixture, (uint16_t)(i % 60000 + 1), "workroom-3",
                  "workroom-3");
    }
    SlEntry_Counters(fixture.entry, &after);
    CU_ASSERT_EQUAL(before.cache_bytes, after.cache_bytes);
    /* 16 bytes per flow, the locks and the table of node numbers. */
    CU_ASSERT(after.cache_bytes <= 16 * 1024 + 8 * 16384 + 8192);
    for (uint32_t i = 0; i < 60000; i++) {
        send_tcp(&fixture, (uint16_t)(i + 1), SL_TCP_ACK);
        cached += fixture.out.tunnel.flags == SL_TUNNEL_CACHED;
    }
    CU_ASSERT(cached > 1400 && cached <= 2 * 1024 + 8);
    close_fixture(&fixture);
}

static void
test_malformed_packets_are_counted_and_log_limited(void)
{
    struct fixture fixture;
    struct SlEntryCounters counters;
    uint8_t bytes[PACKET_BUFFER_BYTES];
    uint64_t state = 88172645463325252U;

    open_fixture(&fixture);
    fixture.out.events = 0;
    for (uint32_t i = 0; i < 20000; i++) {
        uint32_t length = build_tcp(4000, SL_TCP_SYN, 1460, 30, bytes);

        for (uint32_t j = 0; j < 3; j++) {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            bytes[state % length] ^= (uint8_t)(state >> 32);
        }
        handle_packet(&fixture, bytes, (uint32_t)(state >> 40) % (length + 1));
    }
    SlEntry_Counters(fixture.entry, &counters);
    CU_ASSERT_EQUAL(counters.packets, 20000);
    CU_ASSERT_EQUAL(counters.packets_malformed + counters.no_service +
                        counters.packets_forwarded,
                    20000);
    CU_ASSERT(
        fixture.out.entry_events[SL_EVENT_ROUTE_FAILED - SL_EVENT_ROUTE] <=
        50);
    close_fixture(&fixture);
}

static void
test_without_configuration(void)
{
    struct fixture fixture = {.entry = create_entry("entry-1", 0)};
    uint8_t bytes[PACKET_BUFFER_BYTES];
    struct SlTunnel return_datagram = {.kind = SL_TUNNEL_RETURN,
                                       .packet = bytes};

    capture_open(&fixture.out);
    send_tcp(&fixture, 4000, SL_TCP_ACK);
    send_hint(&fixture, 4000, "workroom-3", "workroom-3");
    CU_ASSERT_EQUAL(fixture.out.tunnels + fixture.out.to_caller, 0);
    CU_ASSERT_STRING_EQUAL(fixture.out.event_reason, "no_configuration");
    /* Answers of a running agent are passed on also without a configuration.
     */
    return_datagram.packet_bytes = build_tcp(4000, SL_TCP_ACK, 0, 3, bytes);
    handle_tunnel(&fixture, &return_datagram);
    CU_ASSERT_EQUAL(fixture.out.to_caller, 1);
    SlEntry_Destroy(fixture.entry);
    SlEntry_Destroy(NULL);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"new flow is sent to the home of its bucket",
         test_new_flow_goes_home},
        {"datagrams of a cut-off entry carry a flag",
         test_cut_off_entry_sets_flag},
        {"cache follows hints alone", test_cache_follows_hints_alone},
        {"drained holder keeps its flow", test_drained_holder_keeps_its_flow},
        {"agents of a zone out of service get no packets",
         test_zone_out_gets_no_packets},
        {"previous home is named for two minutes",
         test_previous_home_is_named_for_two_minutes},
        {"silent home is skipped", test_silent_home_is_skipped},
        {"busy home is not suspect", test_busy_home_is_not_suspect},
        {"restarted home is not suspect", test_restarted_home_is_not_suspect},
        {"flows are found while all agents drain",
         test_all_draining_still_find_their_flows},
        {"packets are refused while all zones are out of service",
         test_refusals_without_members},
        {"reused address drops the cache",
         test_reused_address_drops_the_cache},
        {"ICMP error is sent to the holder of the quoted flow",
         test_icmp_follows_the_quoted_flow},
        {"packets and MSS options are limited to the tunnel MTU",
         test_mtu_and_mss},
        {"fragments at several entries are reassembled",
         test_spread_fragments_are_reassembled},
        {"cache is bounded", test_cache_is_bounded},
        {"malformed packets are counted and log limited",
         test_malformed_packets_are_counted_and_log_limited},
        {"packets of callers get no answer without a configuration",
         test_without_configuration},
    };

    return RUN_SUITE("entry", CASES);
}
