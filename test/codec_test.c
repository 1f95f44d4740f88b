/* Codecs: what is encoded is decoded alike, and nothing else is accepted. */

#include <netinet/in.h>
#include <string.h>

#include "savoryledge/protocol/message.h"
#include "savoryledge/protocol/tunnel.h"
#include "test.h"

static struct SlObject
sample_object(void)
{
    struct SlObject object = {
        .kind = SL_KIND_NODE,
        .name = "workroom-3",
        .modified = {.term = 7, .index = 412},
        .labels = {.count = 2,
                   .items = {{.key = "app", .value = "workroom"},
                             {.key = "rack", .value = "r2"}}},
        .holds = {.count = 1,
                  .items = {{.key = "oyuna",
                             .reason = "disk",
                             .since_us = UINT64_MAX}}},
        .node = {.node_id = SlNode_Id("workroom-3"),
                 .roles = SL_ROLE_AGENT,
                 .zone = "ulaan-b",
                 .boot = 9,
                 .slots = 3,
                 .capacity_flows = 2000,
                 .leaving = true},
    };

    SlAddress_Parse("127.0.0.9:7001", &object.node.tunnel);
    SlAddress_Parse("[2001:db8::9]:7002", &object.node.link);
    return object;
}

static void
test_object_round_trip(void)
{
    struct SlObject object = sample_object();
    struct SlObject copy;
    struct SlBuffer buffer = {.bytes = NULL};

    CU_ASSERT_EQUAL(SlObject_Encode(&object, &buffer), SL_OK);
    CU_ASSERT_EQUAL(SlObject_Decode(buffer.bytes, buffer.length_bytes, &copy),
                    SL_OK);
    CU_ASSERT_EQUAL(memcmp(&object, &copy, sizeof(copy)), 0);
    for (size_t cut = 0; cut < buffer.length_bytes; cut++) {
        CU_ASSERT_NOT_EQUAL(SlObject_Decode(buffer.bytes, cut, &copy), SL_OK);
    }
    SlBuffer_Release(&buffer);
}

static void
test_append_round_trip(void)
{
    struct SlLogEntry entries[2] = {
        {.term = 1,
         .index = 2,
         .data = (const uint8_t *)"abc",
         .data_bytes = 3},
        {.term = 1, .index = 3, .data = (const uint8_t *)"", .data_bytes = 0},
    };
    struct SlMessage message = {
        .kind = SL_MESSAGE_APPEND,
        .append = {
            .term = 1, .round = 8, .entry_count = 2, .entries = entries}};
    struct SlMessage copy;
    struct SlBuffer buffer = {.bytes = NULL};

    CU_ASSERT_EQUAL(SlMessage_Encode(&message, &buffer), SL_OK);
    CU_ASSERT_EQUAL(SlMessage_Decode(buffer.bytes, buffer.length_bytes, &copy),
                    SL_OK);
    CU_ASSERT_EQUAL(copy.append.entry_count, 2);
    CU_ASSERT_EQUAL(memcmp(copy.append.entries[0].data, "abc", 3), 0);
    SlMessage_Release(&copy);
    for (size_t cut = 0; cut < buffer.length_bytes; cut++) {
        CU_ASSERT_NOT_EQUAL(SlMessage_Decode(buffer.bytes, cut, &copy), SL_OK);
    }
    SlBuffer_Release(&buffer);
}

static void
test_tunnel_round_trip(void)
{
    uint8_t bytes[256];
    uint32_t length = sizeof(bytes);
    struct SlTunnel copy;
    struct SlTunnel tunnel = {.kind = SL_TUNNEL_FORWARD,
                              .sender = 1,
                              .version = {.term = 3, .index = 9},
                              .flags = SL_TUNNEL_CACHED,
                              .service_id = 77,
                              .origin_entry = 1,
                              .passed_on_count = 2,
                              .passed_on_by = {5, 6},
                              .previous_home = 4,
                              .packet = (const uint8_t *)"packet",
                              .packet_bytes = 6};

    CU_ASSERT_EQUAL(SlTunnel_Encode(&tunnel, bytes, &length), SL_OK);
    CU_ASSERT_EQUAL(SlTunnel_Decode(bytes, length, &copy), SL_OK);
    CU_ASSERT_EQUAL(copy.packet_bytes, 6);
    CU_ASSERT_EQUAL(memcmp(copy.packet, "packet", 6), 0);
    copy.packet = tunnel.packet;
    CU_ASSERT_EQUAL(memcmp(&copy, &tunnel, sizeof(copy)), 0);
    CU_ASSERT_EQUAL(SlTunnel_Decode(bytes, 8, &copy), SL_MALFORMED);
}

static void
test_locate_round_trip(void)
{
    uint8_t bytes[256];
    uint32_t length = sizeof(bytes);
    struct SlTunnel copy;
    struct SlTunnel tunnel = {.kind = SL_TUNNEL_LOCATED,
                              .sender = 1,
                              .service_id = 77,
                              .flow = {.protocol = IPPROTO_TCP},
                              .holder = 12,
                              .answer = SL_LOCATE_YES,
                              .load_flows = 100};

    SlAddress_Parse("10.0.0.1:4000", &tunnel.flow.caller);
    SlAddress_Parse("[2001:db8::1]:80", &tunnel.flow.service);
    CU_ASSERT_EQUAL(SlTunnel_Encode(&tunnel, bytes, &length), SL_OK);
    CU_ASSERT_EQUAL(SlTunnel_Decode(bytes, length, &copy), SL_OK);
    CU_ASSERT(SlFlowKey_Equal(&copy.flow, &tunnel.flow));
    CU_ASSERT_EQUAL(copy.holder, 12);
    CU_ASSERT_EQUAL(copy.load_flows, 100);
    for (uint32_t cut = 0; cut < length; cut++) {
        CU_ASSERT_EQUAL(SlTunnel_Decode(bytes, cut, &copy), SL_MALFORMED);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"object round trip", test_object_round_trip},
        {"append round trip", test_append_round_trip},
        {"tunnel round trip", test_tunnel_round_trip},
        {"locate round trip", test_locate_round_trip},
    };

    return RUN_SUITE("codec", CASES);
}
