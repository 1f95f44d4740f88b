/* Fragments: any order and duplicates give the packet back; overlaps, floods
   and lost pieces stay bounded and harm no other datagram. */

#include <netinet/in.h>
#include <string.h>

#include "fragments.h"
#include "savoryledge/state/reassembly.h"
#include "test.h"

enum {
    PAYLOAD_BYTES = 3000,
    PIECE_BYTES = 1208,
};

static const char *const ENDS[2][2] = {
    {"192.0.2.1:4000", "198.51.100.7:53"},
    {"[2001:db8::1]:4000", "[2001:db8::2]:53"},
};

static uint32_t
build(int family, uint8_t *out)
{
    static uint8_t payload[PAYLOAD_BYTES];
    struct SlAddress source;
    struct SlAddress destination;

    for (uint32_t i = 0; i < PAYLOAD_BYTES; i++) {
        payload[i] = (uint8_t)(i * 7 + i / 256);
    }
    SlAddress_Parse(ENDS[family][0], &source);
    SlAddress_Parse(ENDS[family][1], &destination);
    return SlPacket_BuildUdp(&source, &destination, payload, PAYLOAD_BYTES,
                             out, SL_PACKET_MTU_BYTES);
}

static enum SlStatus
add(struct SlReassembly *reassembly, uint64_t now_us,
    const struct fragment *fragment, uint8_t *whole, uint32_t *length)
{
    struct SlPacket packet;

    CU_ASSERT_EQUAL_FATAL(
        SlPacket_Parse(fragment->bytes, fragment->length_bytes, &packet),
        SL_OK);
    CU_ASSERT_EQUAL_FATAL(packet.kind, SL_PACKET_FRAGMENT);
    return SlReassembly_Add(reassembly, now_us, &packet, whole, length);
}

static struct SlReassembly *
create(void)
{
    struct SlReassemblyOptions options = {
        .max_datagrams = 4, .datagrams_per_source = 3, .timeout_us = 1000};

    return SlReassembly_Create(&options);
}

static void
test_any_order(void)
{
    static const uint32_t ORDERS[6][3] = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
                                          {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};
    struct SlReassembly *reassembly = create();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t whole[SL_PACKET_MTU_BYTES];
    struct fragment pieces[FRAGMENTS_MAX];
    struct SlPacket parsed;
    uint32_t length;

    for (int family = 0; family < 2; family++) {
        uint32_t packet_bytes = build(family, packet);
        uint32_t count =
            fragment_packet(packet, packet_bytes, PIECE_BYTES, 77, pieces);

        CU_ASSERT_EQUAL_FATAL(count, 3);
        for (uint32_t order = 0; order < 6; order++) {
            const uint32_t *at = ORDERS[order];

            CU_ASSERT_EQUAL(add(reassembly, 1, &pieces[at[0]], whole, &length),
                            SL_AGAIN);
            CU_ASSERT_EQUAL(add(reassembly, 1, &pieces[at[1]], whole, &length),
                            SL_AGAIN);
            CU_ASSERT_EQUAL(add(reassembly, 1, &pieces[at[0]], whole, &length),
                            SL_AGAIN);
            CU_ASSERT_EQUAL(add(reassembly, 1, &pieces[at[2]], whole, &length),
                            SL_OK);
            CU_ASSERT_EQUAL(length, packet_bytes);
            CU_ASSERT_EQUAL(SlPacket_Parse(whole, length, &parsed), SL_OK);
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
    struct SlReassembly *reassembly = create();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t whole[SL_PACKET_MTU_BYTES];
    struct fragment pieces[FRAGMENTS_MAX];
    uint32_t length;

    fragment_packet(packet, build(0, packet), PIECE_BYTES, 77, pieces);
    CU_ASSERT_EQUAL(add(reassembly, 1, &pieces[1], whole, &length), SL_AGAIN);
    pieces[1].bytes[pieces[1].length_bytes - 1] ^= 1;
    CU_ASSERT_EQUAL(add(reassembly, 1, &pieces[1], whole, &length),
                    SL_MALFORMED);
    CU_ASSERT_EQUAL(SlReassembly_DatagramCount(reassembly), 0);
    SlReassembly_Destroy(reassembly);
}

/* A second last fragment with another length, and one beyond the last. */
static void
test_lengths_that_contradict(void)
{
    struct SlReassembly *reassembly = create();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t whole[SL_PACKET_MTU_BYTES];
    struct fragment pieces[FRAGMENTS_MAX];
    struct fragment shorter[FRAGMENTS_MAX];
    uint32_t length;
    uint32_t packet_bytes = build(0, packet);

    fragment_packet(packet, packet_bytes, PIECE_BYTES, 77, pieces);
    fragment_packet(packet, 20 + 2 * PIECE_BYTES, PIECE_BYTES, 77, shorter);
    CU_ASSERT_EQUAL(add(reassembly, 1, &pieces[2], whole, &length), SL_AGAIN);
    CU_ASSERT_EQUAL(add(reassembly, 1, &shorter[1], whole, &length),
                    SL_MALFORMED);
    CU_ASSERT_EQUAL(add(reassembly, 1, &shorter[1], whole, &length), SL_AGAIN);
    CU_ASSERT_EQUAL(add(reassembly, 1, &pieces[2], whole, &length),
                    SL_MALFORMED);
    SlReassembly_Destroy(reassembly);
}

static void
test_lost_fragment_times_out(void)
{
    struct SlReassembly *reassembly = create();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t whole[SL_PACKET_MTU_BYTES];
    struct fragment pieces[FRAGMENTS_MAX];
    uint32_t length;

    fragment_packet(packet, build(0, packet), PIECE_BYTES, 77, pieces);
    add(reassembly, 100, &pieces[0], whole, &length);
    add(reassembly, 100, &pieces[1], whole, &length);
    /* The identification comes again before anybody expired the old one. */
    CU_ASSERT_EQUAL(add(reassembly, 1100, &pieces[2], whole, &length),
                    SL_AGAIN);
    CU_ASSERT_EQUAL(SlReassembly_Expire(reassembly, 2099), 0);
    CU_ASSERT_EQUAL(SlReassembly_Expire(reassembly, 2100), 1);
    CU_ASSERT_EQUAL(SlReassembly_DatagramCount(reassembly), 0);
    SlReassembly_Destroy(reassembly);
}

static void
test_flood_is_bounded(void)
{
    struct SlReassembly *reassembly = create();
    uint8_t packet[SL_PACKET_MTU_BYTES];
    uint8_t whole[SL_PACKET_MTU_BYTES];
    struct fragment pieces[FRAGMENTS_MAX];
    struct fragment victim[FRAGMENTS_MAX];
    uint32_t length;

    fragment_packet(packet, build(1, packet), PIECE_BYTES, 1, victim);
    add(reassembly, 1, &victim[0], whole, &length);
    for (uint32_t id = 0; id < 1000; id++) {
        enum SlStatus status;

        fragment_packet(packet, build(0, packet), PIECE_BYTES, id, pieces);
        status = add(reassembly, 2, &pieces[0], whole, &length);
        CU_ASSERT_EQUAL(status, id < 3 ? SL_AGAIN : SL_FULL);
    }
    CU_ASSERT_EQUAL(SlReassembly_DatagramCount(reassembly), 4);
    add(reassembly, 3, &victim[1], whole, &length);
    CU_ASSERT_EQUAL(add(reassembly, 3, &victim[2], whole, &length), SL_OK);
    SlReassembly_Destroy(reassembly);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"any order", test_any_order},
        {"overlap drops the datagram", test_overlap_drops_the_datagram},
        {"lengths that contradict", test_lengths_that_contradict},
        {"lost fragment times out", test_lost_fragment_times_out},
        {"flood is bounded", test_flood_is_bounded},
    };

    return RUN_SUITE("reassembly", CASES);
}
