/// Fuzzes IP packets. The offsets of a parsed packet must stay inside its
/// bytes, and every operation on parsed packets must work on any packet that
/// parses.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/common/packet.h"
#include "savoryledge/state/reassembly.h"

enum {
    INPUT_MAX_BYTES = 4096,
};

static void
check_answers(const struct SlPacket *packet)
{
    uint8_t answer[SL_PACKET_ANSWER_BYTES];
    struct SlPacket parsed;
    uint32_t length = SlPacket_BuildReset(packet, answer, sizeof(answer));

    fuzz_require(length == 0 ||
                 SlPacket_Parse(answer, length, &parsed) == SL_OK);
    length = SlPacket_BuildIcmp(packet, SL_ICMP_TOO_BIG, 1400, answer,
                                sizeof(answer));
    fuzz_require(length <= sizeof(answer));
    if (length != 0 && packet->kind != SL_PACKET_FRAGMENT) {
        fuzz_require(SlPacket_Parse(answer, length, &parsed) == SL_OK);
        fuzz_require(parsed.kind == SL_PACKET_ICMP_ERROR);
    }
}

static void
check_clamp(const uint8_t *bytes, uint32_t length_bytes, bool checksum_held)
{
    uint8_t copy[INPUT_MAX_BYTES];
    struct SlPacket packet;

    memcpy(copy, bytes, length_bytes);
    if (!SlPacket_ClampMss(copy, length_bytes, 1000)) {
        return;
    }
    fuzz_require(SlPacket_Parse(copy, length_bytes, &packet) == SL_OK);
    fuzz_require(SlPacket_ChecksumOk(&packet) == checksum_held);
}

/// Adds a fragment, then the same one with offset 0 as the last of its
/// datagram.
static void
check_reassembly(struct SlPacket *packet)
{
    struct SlReassemblyOptions options = {.max_datagrams = 2};
    struct SlReassembly *reassembly = SlReassembly_Create(&options);
    uint8_t whole[SL_PACKET_MTU_BYTES];
    uint32_t length;

    fuzz_require(reassembly != NULL);
    SlReassembly_Add(reassembly, 1, packet, whole, &length);
    packet->fragment_offset = 0;
    packet->fragment_more = false;
    if (SlReassembly_Add(reassembly, 2, packet, whole, &length) == SL_OK) {
        fuzz_require(length <= sizeof(whole));
    }
    SlReassembly_Destroy(reassembly);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    struct SlPacket packet;
    struct SlFlowKey key;

    if (length_bytes > INPUT_MAX_BYTES ||
        SlPacket_Parse(bytes, (uint32_t)length_bytes, &packet) != SL_OK) {
        return 0;
    }
    fuzz_require(packet.length_bytes <= length_bytes);
    fuzz_require(packet.payload_offset + packet.payload_bytes <=
                 packet.length_bytes);
    SlPacket_FlowKeyFromCaller(&packet, &key);
    SlPacket_FlowKeyFromUpstream(&packet, &key);
    check_answers(&packet);
    check_clamp(bytes, (uint32_t)length_bytes, SlPacket_ChecksumOk(&packet));
    if (packet.kind == SL_PACKET_FRAGMENT) {
        check_reassembly(&packet);
    }
    return 0;
}
