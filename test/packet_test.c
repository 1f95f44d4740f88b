/* Tests of packets: parsing returns what was built, damaged packets are
 * rejected, and lengths and checksums stay correct when a packet is changed or
 * answered. */

#include <netinet/in.h>
#include <string.h>

#include "savoryledge/common/packet.h"
#include "test.h"

enum {
    BUFFER_BYTES = 2048,
};

static struct SlAddress
parse_address(const char *text)
{
    struct SlAddress result;

    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse(text, &result), SL_OK);
    return result;
}

static const char *const ENDPOINTS[2][2] = {
    {"192.0.2.1:4000", "198.51.100.7:80"},
    {"[2001:db8::1]:4000", "[2001:db8:1::7]:80"},
};

static uint32_t
build_udp(int family, uint32_t payload_bytes, uint8_t *out)
{
    static const uint8_t PAYLOAD[BUFFER_BYTES] = {1, 2, 3, 4, 5};
    struct SlAddress source = parse_address(ENDPOINTS[family][0]);
    struct SlAddress destination = parse_address(ENDPOINTS[family][1]);

    return SlPacket_BuildUdp(&source, &destination, PAYLOAD, payload_bytes,
                             out, BUFFER_BYTES);
}

static uint32_t
build_tcp(int family, uint8_t flags, uint16_t mss_bytes, uint8_t *out)
{
    struct SlTcpSegment segment = {
        .source = parse_address(ENDPOINTS[family][0]),
        .destination = parse_address(ENDPOINTS[family][1]),
        .flags = flags,
        .seq = UINT32_MAX,
        .ack = 77,
        .window = 1000,
        .mss_bytes = mss_bytes,
        .payload = (const uint8_t *)"hello",
        .payload_bytes = 5};

    return SlPacket_BuildTcp(&segment, out, BUFFER_BYTES);
}

static void
test_udp_round_trip(void)
{
    uint8_t bytes[BUFFER_BYTES];
    struct SlPacket packet;
    struct SlFlowKey key;

    for (int family = 0; family < 2; family++) {
        for (uint32_t size = 0; size < 6; size++) {
            uint32_t length = build_udp(family, size, bytes);

            CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
            CU_ASSERT_EQUAL(packet.kind, SL_PACKET_UDP);
            CU_ASSERT_EQUAL(packet.payload_bytes, size);
            CU_ASSERT(SlPacket_ChecksumOk(&packet));
            SlPacket_FlowKeyFromCaller(&packet, &key);
            CU_ASSERT_EQUAL(key.caller.port, 4000);
            CU_ASSERT_EQUAL(key.service.port, 80);
            for (uint32_t prefix_bytes = 0; prefix_bytes < length;
                 prefix_bytes++) {
                CU_ASSERT_EQUAL(SlPacket_Parse(bytes, prefix_bytes, &packet),
                                SL_MALFORMED);
            }
        }
    }
}

static void
test_tcp_round_trip(void)
{
    uint8_t bytes[BUFFER_BYTES];
    struct SlPacket packet;

    for (int family = 0; family < 2; family++) {
        uint32_t length = build_tcp(family, SL_TCP_ACK, 0, bytes);

        CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
        CU_ASSERT_EQUAL(packet.kind, SL_PACKET_TCP);
        CU_ASSERT_EQUAL(packet.tcp_seq, UINT32_MAX);
        CU_ASSERT_EQUAL(packet.tcp_ack, 77);
        CU_ASSERT_EQUAL(packet.payload_bytes, 5);
        CU_ASSERT(SlPacket_ChecksumOk(&packet));
        bytes[length - 1] ^= 1;
        CU_ASSERT(!SlPacket_ChecksumOk(&packet));
        for (uint32_t prefix_bytes = 0; prefix_bytes < length;
             prefix_bytes++) {
            CU_ASSERT_EQUAL(SlPacket_Parse(bytes, prefix_bytes, &packet),
                            SL_MALFORMED);
        }
    }
}

static void
test_damaged_ipv4_header(void)
{
    uint8_t bytes[BUFFER_BYTES];
    struct SlPacket packet;
    uint32_t length = build_udp(0, 3, bytes);

    for (uint32_t bit = 8; bit < 20 * 8; bit++) {
        bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
        CU_ASSERT_NOT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
        bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
}

static void
test_zero_udp_checksum(void)
{
    uint8_t bytes[BUFFER_BYTES];
    struct SlPacket packet;

    for (int family = 0; family < 2; family++) {
        uint32_t length = build_udp(family, 3, bytes);

        CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
        memset(bytes + packet.transport_offset + 6, 0, 2);
        CU_ASSERT_EQUAL(SlPacket_ChecksumOk(&packet), family == 0);
    }
}

static void
test_builders_respect_capacity(void)
{
    uint8_t bytes[BUFFER_BYTES];
    struct SlAddress source = parse_address(ENDPOINTS[0][0]);
    struct SlAddress destination = parse_address(ENDPOINTS[0][1]);
    struct SlTcpSegment segment = {
        .source = source, .destination = destination, .mss_bytes = 9};
    struct SlPacket packet;
    uint32_t length = build_udp(0, 4, bytes);

    CU_ASSERT_EQUAL(
        SlPacket_BuildUdp(&source, &destination, bytes, 1, bytes, 28), 0);
    CU_ASSERT_EQUAL(SlPacket_BuildUdp(&source, &destination, bytes, UINT32_MAX,
                                      bytes, UINT32_MAX),
                    0);
    CU_ASSERT_EQUAL(SlPacket_BuildTcp(&segment, bytes + 1000, 43), 0);
    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    CU_ASSERT_EQUAL(SlPacket_BuildIcmp(&packet, SL_ICMP_PROHIBITED, 0,
                                       bytes + 1000, 28 + length - 1),
                    0);
}

static void
test_reset_answers(void)
{
    uint8_t bytes[BUFFER_BYTES];
    uint8_t answer[BUFFER_BYTES];
    struct SlPacket packet;
    struct SlPacket reset;
    uint32_t length = build_tcp(1, SL_TCP_SYN, 0, bytes);

    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    length = SlPacket_BuildReset(&packet, answer, sizeof(answer));
    CU_ASSERT_EQUAL(SlPacket_Parse(answer, length, &reset), SL_OK);
    CU_ASSERT_EQUAL(reset.tcp_flags, SL_TCP_RST | SL_TCP_ACK);
    CU_ASSERT_EQUAL(reset.tcp_ack, 5);
    CU_ASSERT_EQUAL(reset.source.port, 80);
    CU_ASSERT(SlPacket_ChecksumOk(&reset));
    CU_ASSERT_EQUAL(SlPacket_BuildReset(&reset, bytes, sizeof(bytes)), 0);

    length = build_tcp(0, SL_TCP_ACK | SL_TCP_PSH, 0, bytes);
    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    length = SlPacket_BuildReset(&packet, answer, sizeof(answer));
    CU_ASSERT_EQUAL(SlPacket_Parse(answer, length, &reset), SL_OK);
    CU_ASSERT_EQUAL(reset.tcp_flags, SL_TCP_RST);
    CU_ASSERT_EQUAL(reset.tcp_seq, 77);
}

static void
test_icmp_quotes_the_flow(void)
{
    uint8_t bytes[BUFFER_BYTES];
    uint8_t answer[BUFFER_BYTES];
    struct SlPacket packet;
    struct SlPacket error;
    struct SlFlowKey flow;
    struct SlFlowKey quoted;

    for (int family = 0; family < 2; family++) {
        for (int kind = SL_ICMP_PORT_UNREACHABLE; kind <= SL_ICMP_TOO_BIG;
             kind++) {
            uint32_t length = build_udp(family, 1500, bytes);

            CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
            SlPacket_FlowKeyFromCaller(&packet, &flow);
            length = SlPacket_BuildIcmp(&packet, (enum SlIcmpError)kind, 1400,
                                        answer, sizeof(answer));
            CU_ASSERT(length > 0 && length <= SL_PACKET_ANSWER_BYTES);
            CU_ASSERT_EQUAL(SlPacket_Parse(answer, length, &error), SL_OK);
            CU_ASSERT_EQUAL(error.kind, SL_PACKET_ICMP_ERROR);
            /* An error sent from the upstream's side has the same flow key. */
            SlPacket_FlowKeyFromUpstream(&error, &quoted);
            CU_ASSERT(SlFlowKey_Equal(&quoted, &flow));
            CU_ASSERT_EQUAL(SlPacket_BuildIcmp(&error, SL_ICMP_PROHIBITED, 0,
                                               bytes, sizeof(bytes)),
                            0);
        }
    }
}

static void
test_icmp_from_caller(void)
{
    uint8_t bytes[BUFFER_BYTES];
    uint8_t answer[BUFFER_BYTES];
    struct SlAddress caller = parse_address(ENDPOINTS[0][0]);
    struct SlAddress service = parse_address(ENDPOINTS[0][1]);
    struct SlPacket packet;
    struct SlFlowKey key;
    uint32_t length =
        SlPacket_BuildUdp(&service, &caller, NULL, 0, bytes, BUFFER_BYTES);

    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    length = SlPacket_BuildIcmp(&packet, SL_ICMP_PORT_UNREACHABLE, 0, answer,
                                sizeof(answer));
    CU_ASSERT_EQUAL(SlPacket_Parse(answer, length, &packet), SL_OK);
    SlPacket_FlowKeyFromCaller(&packet, &key);
    CU_ASSERT(SlAddress_Equal(&key.caller, &caller));
    CU_ASSERT(SlAddress_Equal(&key.service, &service));
    CU_ASSERT_EQUAL(key.protocol, IPPROTO_UDP);
}

static void
test_mss_clamped(void)
{
    uint8_t bytes[BUFFER_BYTES];
    struct SlPacket packet;

    for (int family = 0; family < 2; family++) {
        uint32_t length = build_tcp(family, SL_TCP_SYN, 1460, bytes);

        CU_ASSERT(!SlPacket_ClampMss(bytes, length, 1460));
        CU_ASSERT(SlPacket_ClampMss(bytes, length, 1301));
        CU_ASSERT(!SlPacket_ClampMss(bytes, length, 1301));
        CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
        CU_ASSERT(SlPacket_ChecksumOk(&packet));
    }
}

/* NOP options put the value of the MSS option at an odd offset, where each
 * byte counts in the other half of a 16-bit word. A damaged option list must
 * not be read beyond the header. */
static void
test_mss_at_odd_offset(void)
{
    uint8_t bytes[BUFFER_BYTES];
    struct SlPacket packet;
    uint32_t length = build_tcp(0, SL_TCP_SYN, 1460, bytes);
    uint8_t *tcp = bytes + 20;

    /* The first payload bytes become options: NOP, MSS 1460, EOL. */
    tcp[12] = 7 << 4;
    memcpy(tcp + 20, "\x01\x02\x04\x05\xb4\x00\x00\x00", 8);
    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    memset(tcp + 16, 0, 2);
    for (uint32_t check = 0; check <= UINT16_MAX; check++) {
        tcp[16] = (uint8_t)(check >> 8);
        tcp[17] = (uint8_t)check;
        if (SlPacket_ChecksumOk(&packet)) {
            break;
        }
    }
    CU_ASSERT(SlPacket_ClampMss(bytes, length, 1234));
    CU_ASSERT(SlPacket_ChecksumOk(&packet));
    CU_ASSERT_EQUAL(tcp[23], 1234 >> 8);
    CU_ASSERT_EQUAL(tcp[24], 1234 & 0xff);
    tcp[20] = 0x08;
    for (int size = 0; size < 256; size++) {
        tcp[21] = (uint8_t)size;
        SlPacket_ClampMss(bytes, length, 500);
    }
}

static void
test_fragments(void)
{
    /* IPv6 with a fragment header: first with more fragments to follow, then
       with offset 16. */
    uint8_t bytes[BUFFER_BYTES];
    struct SlPacket packet;
    uint32_t length = build_udp(1, 24, bytes);

    memmove(bytes + 48, bytes + 40, length - 40);
    memcpy(bytes + 40, "\x11\x00\x00\x01\x00\x00\x10\x01", 8);
    bytes[6] = IPPROTO_FRAGMENT;
    bytes[5] = (uint8_t)(bytes[5] + 8);
    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length + 8, &packet), SL_OK);
    CU_ASSERT_EQUAL(packet.kind, SL_PACKET_FRAGMENT);
    CU_ASSERT(packet.fragment_more);
    CU_ASSERT_EQUAL(packet.fragment_id, 0x1001);
    CU_ASSERT_EQUAL(packet.protocol, IPPROTO_UDP);
    CU_ASSERT_EQUAL(packet.payload_offset, 48);
    bytes[43] = 16;
    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length + 8, &packet), SL_OK);
    CU_ASSERT_EQUAL(packet.fragment_offset, 16);
    CU_ASSERT(!packet.fragment_more);
    /* With neither an offset nor more fragments it is a complete packet. */
    bytes[43] = 0;
    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length + 8, &packet), SL_OK);
    CU_ASSERT_EQUAL(packet.kind, SL_PACKET_UDP);
    CU_ASSERT(SlPacket_ChecksumOk(&packet));
}

/* An IPv6 packet with an IPv4-mapped address must not be accepted as a packet
 * of an IPv4 service. */
static void
test_mapped_addresses_on_the_wire(void)
{
    uint8_t bytes[BUFFER_BYTES];
    struct SlAddress mapped = parse_address("198.51.100.7:80");
    struct SlPacket packet;
    uint32_t length = build_udp(1, 3, bytes);

    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_OK);
    memcpy(bytes + 24, mapped.ip, 16);
    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_INVALID);
    length = build_udp(1, 3, bytes);
    memcpy(bytes + 8, mapped.ip, 16);
    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, length, &packet), SL_INVALID);
}

static void
test_endless_extension_headers(void)
{
    uint8_t bytes[BUFFER_BYTES] = {0x60};
    struct SlPacket packet;

    bytes[4] = 800 >> 8;
    bytes[5] = 800 & 0xff;
    bytes[6] = IPPROTO_DSTOPTS;
    for (uint32_t offset = 40; offset < 840; offset += 8) {
        bytes[offset] = IPPROTO_DSTOPTS;
    }
    CU_ASSERT_EQUAL(SlPacket_Parse(bytes, 840, &packet), SL_MALFORMED);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"udp round trip", test_udp_round_trip},
        {"tcp round trip", test_tcp_round_trip},
        {"damaged IPv4 header is rejected", test_damaged_ipv4_header},
        {"zero udp checksum", test_zero_udp_checksum},
        {"builders respect the capacity of the buffer",
         test_builders_respect_capacity},
        {"reset that answers a packet", test_reset_answers},
        {"icmp quotes the flow", test_icmp_quotes_the_flow},
        {"icmp from caller", test_icmp_from_caller},
        {"MSS option is lowered", test_mss_clamped},
        {"MSS option at an odd offset is lowered", test_mss_at_odd_offset},
        {"fragments are parsed", test_fragments},
        {"IPv6 packets with IPv4-mapped addresses are rejected",
         test_mapped_addresses_on_the_wire},
        {"endless extension headers", test_endless_extension_headers},
    };

    return RUN_SUITE("packet", CASES);
}
