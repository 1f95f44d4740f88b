#ifndef REVIEW_PACKET_H
#define REVIEW_PACKET_H

/// The platform's packet: the head of the protocol page, followed by data.

#include <stdbool.h>
#include <stdint.h>

enum {
    HEAD_BYTES = 36,
    DATA_MAX_BYTES = 1200,
    PACKET_BYTES = HEAD_BYTES + DATA_MAX_BYTES,
    FLAG_RST = 2,
    FLAG_FIN = 4,
    FLAG_SYN = 8,
    FLAG_BOUNCED = 16,
    FLAG_ACK = 128,
};

struct packet {
    uint32_t src;
    uint32_t dst;
    uint16_t sport;
    uint16_t dport;
    uint32_t seq;
    uint32_t ack;
    uint8_t flags;
    uint16_t data_bytes;
    const uint8_t *data;
};

/// Returns the length of the packet. Addresses are in host byte order.
int
packet_write(const struct packet *packet, uint8_t out[PACKET_BYTES]);
/// Returns false when the lengths do not fit. data points into bytes.
bool
packet_read(const uint8_t *bytes, int length, struct packet *packet);
/// True when the sum is the one that its sender wrote.
bool
packet_is_genuine(const uint8_t *bytes, int length);
/// True for a reset of the system's own: no data, and a sum of 0.
bool
packet_is_system_reset(const uint8_t *bytes, int length);

#endif
