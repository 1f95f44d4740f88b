#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "soak.h"

enum {
    HEAD_BYTES = 36,
    AT_ECHO = 4,
    AT_FLAGS = 28,
    AT_PAD = 29,
    IPV4_OFFSET = 12,
};

static void
put_u16(uint8_t *at, uint32_t value)
{
    at[0] = (uint8_t)(value >> 8);
    at[1] = (uint8_t)value;
}

static void
put_u32(uint8_t *at, uint32_t value)
{
    put_u16(at, value >> 16);
    put_u16(at + 2, value);
}

static uint32_t
sum_of(const uint8_t *bytes, uint32_t length_bytes)
{
    uint8_t copy[SOAK_PACKET_BYTES];

    memcpy(copy, bytes, length_bytes);
    memset(copy, 0, 8);
    copy[AT_FLAGS] &= (uint8_t)~PACKET_BOUNCED;
    memset(copy + AT_PAD, 0, 5);
    return (uint32_t)XXH3_64bits(copy, length_bytes) | 1;
}

uint32_t
packet_write(const struct packet *packet, uint8_t out[SOAK_PACKET_BYTES])
{
    uint32_t length_bytes = HEAD_BYTES + packet->data_bytes;

    memset(out, 0, HEAD_BYTES);
    put_u16(out + 8, packet->source.port);
    memcpy(out + 10, packet->destination.ip + IPV4_OFFSET, 4);
    memcpy(out + 14, packet->source.ip + IPV4_OFFSET, 4);
    put_u16(out + 18, packet->destination.port);
    put_u32(out + 20, packet->seq);
    put_u32(out + 24, packet->ack);
    out[AT_FLAGS] = packet->flags;
    put_u16(out + 34, packet->data_bytes);
    if (packet->data_bytes > 0) {
        memcpy(out + HEAD_BYTES, packet->data, packet->data_bytes);
    }
    put_u32(out, sum_of(out, length_bytes));
    return length_bytes;
}

bool
packet_is_whole(const uint8_t *bytes, uint32_t length_bytes)
{
    uint8_t sum[4];

    put_u32(sum, sum_of(bytes, length_bytes));
    return memcmp(bytes, sum, sizeof(sum)) == 0;
}

bool
packet_is_system_reset(const uint8_t *bytes, uint32_t length_bytes)
{
    static const uint8_t NO_SUM[4];

    return length_bytes == HEAD_BYTES && bytes[AT_FLAGS] == PACKET_RST &&
           memcmp(bytes, NO_SUM, sizeof(NO_SUM)) == 0;
}
