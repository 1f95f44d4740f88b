/* Reassembly: fragments in any order and with duplicates give the packet;
   overlaps, floods and lost fragments use bounded memory and do not affect
   other datagrams. */

#include <netinet/in.h>
#include <string.h>

#include "fragments.h"
#include "savoryledge/state/reassembly.h"
#include "test.h"

enum {
    PAYLOAD_BYTES = 3000,
    FRAGMENT_PAYLOAD_BYTES = 1208,
};

static const char *const ENDPOINTS[2][2] = {
    {"192.0.2.1:4000", "198.51.100.7:53"},
    {"[2001:db8::1]:4000", "[2001:db8::2]:53"},
};

static uint32_t
build_udp_packet(int family, uint8_t *out)
{
    static uint8_t payload[PAYLOAD_BYTES];
    struct SlAddress source;
    struct SlAddress destination;

    for (uint32_t i = 0; i < PAYLOAD_BYTES; i++) {
        payload[i] = (uint8_t)(i * 7 + i / 256);
    }
    SlAddress_Parse(ENDPOINTS[family][0], &source);
    SlAddress_Parse(ENDPOINTS[family][1], &destination);
    return SlPacket_BuildUdp(&source, &destination, payload, PAYLOAD_BYTES,
                             out, SL_PACKET_MTU_BYTES);
}

static enum SlStatus
add_fragment(struct SlReassembly *reassembly, uint64_t now_us,
             const struct fragment *fragment, uint8_t *reassembled,
             uint32_t *length_bytes)
{
    struct SlPacket packet;

    CU_ASSERT_EQUAL_FATAL(
        SlPacket_Parse(fragment->bytes, fragment->length_bytes, &packet),
        SL_OK);
    CU_ASSERT_EQUAL_FATAL(packet.kind, SL_PACKET_FRAGMENT);
    return SlReassembly_Add(reassembly, now_us, &packet, reassembled,
                            length_bytes);
}

static struct SlReassembly *
create_reassembly(void)
{
    struct SlReassemblyOptions options = {
        .max_datagrams = 4, .max_datagrams_per_source = 3, .timeout_us = 1000};

    return SlReassembly_Create(&options);
}

static void
test_any_order(void)
{
    static const uint32_t ORDERS[6][3] = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
                                          {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};
    struct SlReassembly *reassembly = create_reassembly();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t reassembled[SL_PACKET_MTU_BYTES];
    struct fragment fragments[FRAGMENTS_MAX];
    struct SlPacket parsed;
    uint32_t length_bytes;

    for (int family = 0; family < 2; family++) {
        uint32_t packet_bytes = build_udp_packet(family, packet);
        uint32_t count = fragment_packet(
            packet, packet_bytes, FRAGMENT_PAYLOAD_BYTES, 77, fragments);

        CU_ASSERT_EQUAL_FATAL(count, 3);
        for (uint32_t order_index = 0; order_index < 6; order_index++) {
            const uint32_t *order = ORDERS[order_index];

            CU_ASSERT_EQUAL(add_fragment(reassembly, 1, &fragments[order[0]],
                                         reassembled, &length_bytes),
                            SL_AGAIN);
            CU_ASSERT_EQUAL(add_fragment(reassembly, 1, &fragments[order[1]],
                                         reassembled, &length_bytes),
                            SL_AGAIN);
            CU_ASSERT_EQUAL(add_fragment(reassembly, 1, &fragments[order[0]],
                                         reassembled, &length_bytes),
                            SL_AGAIN);
            CU_ASSERT_EQUAL(add_fragment(reassembly, 1, &fragments[order[2]],
                                         reassembled, &length_bytes),
                            SL_OK);
            CU_ASSERT_EQUAL(length_bytes, packet_bytes);
            CU_ASSERT_EQUAL(SlPacket_Parse(reassembled, length_bytes, &parsed),
                            SL_OK);
            CU_ASSERT_EQUAL(parsed.kind, SL_PACKET_UDP);
            CU_ASSERT(SlPacket_ChecksumOk(&parsed));
            CU_ASSERT_EQUAL(SlReassembly_DatagramCount(reassembly), 0);
        }
    }
    SlReassembly_Destroy(reassembly);
}

static void
test_overlap_drops_the_datagram(void)
{
    struct SlReassembly *reassembly = create_reassembly();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t reassembled[SL_PACKET_MTU_BYTES];
    struct fragment fragments[FRAGMENTS_MAX];
    uint32_t length_bytes;

    fragment_packet(packet, build_udp_packet(0, packet),
                    FRAGMENT_PAYLOAD_BYTES, 77, fragments);
    CU_ASSERT_EQUAL(
        add_fragment(reassembly, 1, &fragments[1], reassembled, &length_bytes),
        SL_AGAIN);
    fragments[1].bytes[fragments[1].length_bytes - 1] ^= 1;
    CU_ASSERT_EQUAL(
        add_fragment(reassembly, 1, &fragments[1], reassembled, &length_bytes),
        SL_MALFORMED);
    CU_ASSERT_EQUAL(SlReassembly_DatagramCount(reassembly), 0);
    SlReassembly_Destroy(reassembly);
}

/* Two fragments claim to be the last one but give different lengths: the
   second one ends before or after the end that the first one gave. */
static void
test_contradictory_lengths(void)
{
    struct SlReassembly *reassembly = create_reassembly();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t reassembled[SL_PACKET_MTU_BYTES];
    struct fragment fragments[FRAGMENTS_MAX];
    struct fragment shorter[FRAGMENTS_MAX];
    uint32_t length_bytes;
    uint32_t packet_bytes = build_udp_packet(0, packet);

    fragment_packet(packet, packet_bytes, FRAGMENT_PAYLOAD_BYTES, 77,
                    fragments);
    fragment_packet(packet, 20 + 2 * FRAGMENT_PAYLOAD_BYTES,
                    FRAGMENT_PAYLOAD_BYTES, 77, shorter);
    CU_ASSERT_EQUAL(
        add_fragment(reassembly, 1, &fragments[2], reassembled, &length_bytes),
        SL_AGAIN);
    CU_ASSERT_EQUAL(
        add_fragment(reassembly, 1, &shorter[1], reassembled, &length_bytes),
        SL_MALFORMED);
    CU_ASSERT_EQUAL(
        add_fragment(reassembly, 1, &shorter[1], reassembled, &length_bytes),
        SL_AGAIN);
    CU_ASSERT_EQUAL(
        add_fragment(reassembly, 1, &fragments[2], reassembled, &length_bytes),
        SL_MALFORMED);
    SlReassembly_Destroy(reassembly);
}

static void
test_lost_fragment_times_out(void)
{
    struct SlReassembly *reassembly = create_reassembly();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t reassembled[SL_PACKET_MTU_BYTES];
    struct fragment fragments[FRAGMENTS_MAX];
    uint32_t length_bytes;

    fragment_packet(packet, build_udp_packet(0, packet),
                    FRAGMENT_PAYLOAD_BYTES, 77, fragments);
    add_fragment(reassembly, 100, &fragments[0], reassembled, &length_bytes);
    add_fragment(reassembly, 100, &fragments[1], reassembled, &length_bytes);
    /* A new datagram uses the identification of an old datagram that has timed
       out but was not removed yet. */
    CU_ASSERT_EQUAL(add_fragment(reassembly, 1100, &fragments[2], reassembled,
                                 &length_bytes),
                    SL_AGAIN);
    CU_ASSERT_EQUAL(SlReassembly_Expire(reassembly, 2099), 0);
    CU_ASSERT_EQUAL(SlReassembly_Expire(reassembly, 2100), 1);
    CU_ASSERT_EQUAL(SlReassembly_DatagramCount(reassembly), 0);
    SlReassembly_Destroy(reassembly);
}

static void
test_flood_is_bounded(void)
{
    struct SlReassembly *reassembly = create_reassembly();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t reassembled[SL_PACKET_MTU_BYTES];
    struct fragment fragments[FRAGMENTS_MAX];
    struct fragment victim[FRAGMENTS_MAX];
    uint32_t length_bytes;

    fragment_packet(packet, build_udp_packet(1, packet),
                    FRAGMENT_PAYLOAD_BYTES, 1, victim);
    add_fragment(reassembly, 1, &victim[0], reassembled, &length_bytes);
    for (uint32_t id = 0; id < 1000; id++) {
        enum SlStatus status;

        fragment_packet(packet, build_udp_packet(0, packet),
                        FRAGMENT_PAYLOAD_BYTES, id, fragments);
        status = add_fragment(reassembly, 2, &fragments[0], reassembled,
                              &length_bytes);
        CU_ASSERT_EQUAL(status, id < 3 ? SL_AGAIN : SL_FULL);
    }
    CU_ASSERT_EQUAL(SlReassembly_DatagramCount(reassembly), 4);
    add_fragment(reassembly, 3, &victim[1], reassembled, &length_bytes);
    CU_ASSERT_EQUAL(
        add_fragment(reassembly, 3, &victim[2], reassembled, &length_bytes),
        SL_OK);
    SlReassembly_Destroy(reassembly);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"fragments are accepted in any order", test_any_order},
        {"overlapping fragments drop the datagram",
         test_overlap_drops_the_datagram},
        {"fragments that give different lengths are rejected",
         test_contradictory_lengths},
        {"a datagram with a lost fragment times out",
         test_lost_fragment_times_out},
        {"a flood of fragments uses bounded memory", test_flood_is_bounded},
    };

    return RUN_SUITE("reassembly", CASES);
}
