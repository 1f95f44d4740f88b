/// Encoding and checksum of the packets between callers and upstreams.

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "soak.h"

enum {
    HEADER_BYTES = 36,
    ECHO_OFFSET = 4,
    FLAGS_OFFSET = 28,
    PADDING_OFFSET = 29,
    IPV4_OFFSET = 12,
};

static void
put_u16(uint8_t *out, uint32_t value)
{
    out[0] = (uint8_t)(value >> 8);
    out[1] = (uint8_t)value;
}

static void
put_u32(uint8_t *out, uint32_t value)
{
    put_u16(out, value >> 16);
    put_u16(out + 2, value);
}

/// Checksum of the packet without the fields that the relay may change: the
/// checksum itself, the echo, the returned flag and the padding. Never 0.
static uint32_t
compute_checksum(const uint8_t *bytes, uint32_t length_bytes)
{
    uint8_t copy[SOAK_PACKET_BYTES];

    memcpy(copy, bytes, length_bytes);
    memset(copy, 0, 8);
    copy[FLAGS_OFFSET] &= (uint8_t)~PACKET_RETURNED;
    memset(copy + PADDING_OFFSET, 0, 5);
    return (uint32_t)XXH3_64bits(copy, length_bytes) | 1;
}

uint32_t
packet_write(const struct packet *packet, uint8_t out[SOAK_PACKET_BYTES])
{
    uint32_t length_bytes = HEADER_BYTES + packet->data_bytes;

    memset(out, 0, HEADER_BYTES);
    put_u16(out + 8, packet->source.port);
    memcpy(out + 10, packet->destination.ip + IPV4_OFFSET, 4);
    memcpy(out + 14, packet->source.ip + IPV4_OFFSET, 4);
    put_u16(out + 18, packet->destination.port);
    put_u32(out + 20, packet->seq);
    put_u32(out + 24, packet->ack);
    out[FLAGS_OFFSET] = packet->flags;
    put_u16(out + 34, packet->data_bytes);
    if (packet->data_bytes > 0) {
        memcpy(out + HEADER_BYTES, packet->data, packet->data_bytes);
    }
    put_u32(out, compute_checksum(out, length_bytes));
    return length_bytes;
}

bool
packet_checksum_is_valid(const uint8_t *bytes, uint32_t length_bytes)
{
    uint8_t checksum[4];

    put_u32(checksum, compute_checksum(bytes, length_bytes));
    return memcmp(bytes, checksum, sizeof(checksum)) == 0;
}

bool
packet_is_relay_reset(const uint8_t *bytes, uint32_t length_bytes)
{
    static const uint8_t NO_CHECKSUM[4];

    return length_bytes == HEADER_BYTES && bytes[FLAGS_OFFSET] == PACKET_RST &&
           memcmp(bytes, NO_CHECKSUM, sizeof(NO_CHECKSUM)) == 0;
}
