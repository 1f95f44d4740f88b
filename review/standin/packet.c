#include "packet.h"

#include <string.h>

enum {
    ECHO_OFFSET = 4,
    FLAGS_OFFSET = 28,
    PAD_OFFSET = 29,
    PAD_BYTES = 5,
};

static void
put(uint8_t *out, uint32_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        out[i] = (uint8_t)value;
        value >>= 8;
    }
}

static uint32_t
get(const uint8_t *bytes, int count)
{
    uint32_t value = 0;

    for (int i = 0; i < count; i++) {
        value = value << 8 | bytes[i];
    }
    return value;
}

/// A keyed FNV-1a sum over all fields but the sum, echo, pad and BOUNCED.
static uint32_t
compute_sum(const uint8_t *bytes, int length)
{
    uint32_t sum = 2166136261U ^ 0x5eed1e55U;

    for (int i = 8; i < length; i++) {
        uint8_t byte = bytes[i];

        if (i >= PAD_OFFSET && i < PAD_OFFSET + PAD_BYTES) {
            continue;
        }
        if (i == FLAGS_OFFSET) {
            byte &= (uint8_t)~FLAG_BOUNCED;
        }
        sum = (sum ^ byte) * 16777619U;
    }
    return sum | 1;
}

int
packet_write(const struct packet *packet, uint8_t out[PACKET_BYTES])
{
    int length = HEAD_BYTES + packet->data_bytes;

    memset(out, 0, HEAD_BYTES);
    put(out + 8, packet->sport, 2);
    put(out + 10, packet->dst, 4);
    put(out + 14, packet->src, 4);
    put(out + 18, packet->dport, 2);
    put(out + 20, packet->seq, 4);
    put(out + 24, packet->ack, 4);
    out[FLAGS_OFFSET] = packet->flags;
    put(out + 34, packet->data_bytes, 2);
    if (packet->data_bytes > 0) {
        memcpy(out + HEAD_BYTES, packet->data, packet->data_bytes);
    }
    put(out, compute_sum(out, length), 4);
    return length;
}

bool
packet_read(const uint8_t *bytes, int length, struct packet *packet)
{
    if (length < HEAD_BYTES ||
        get(bytes + 34, 2) != (uint32_t)(length - HEAD_BYTES)) {
        return false;
    }
    *packet = (struct packet){.src = get(bytes + 14, 4),
                              .dst = get(bytes + 10, 4),
                              .sport = (uint16_t)get(bytes + 8, 2),
                              .dport = (uint16_t)get(bytes + 18, 2),
                              .seq = get(bytes + 20, 4),
                              .ack = get(bytes + 24, 4),
                              .flags = bytes[FLAGS_OFFSET],
                              .data_bytes = (uint16_t)(length - HEAD_BYTES),
                              .data = bytes + HEAD_BYTES};
    return true;
}

bool
packet_is_genuine(const uint8_t *bytes, int length)
{
    return get(bytes, 4) == compute_sum(bytes, length);
}

bool
packet_is_system_reset(const uint8_t *bytes, int length)
{
    return length == HEAD_BYTES && bytes[FLAGS_OFFSET] == FLAG_RST &&
           get(bytes, 4) == 0;
}
