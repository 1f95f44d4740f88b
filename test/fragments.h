#ifndef SAVORYLEDGE_TEST_FRAGMENTS_H
#define SAVORYLEDGE_TEST_FRAGMENTS_H

/// Splits packets into fragments, as a router (IPv4) or a sender (IPv6) does.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <string.h>

#include "savoryledge/common/packet.h"

enum {
    FRAGMENTS_MAX = 8,
};

struct fragment {
    uint8_t bytes[SL_PACKET_MTU_BYTES];
    uint32_t length_bytes;
};

static inline void
fragment_ipv4(const uint8_t *packet, uint32_t offset, uint32_t length,
              bool more, uint32_t id, struct fragment *out)
{
    struct iphdr header;
    uint32_t sum = 0;
    uint16_t word;

    memcpy(&header, packet, sizeof(header));
    header.id = htons((uint16_t)id);
    header.tot_len = htons((uint16_t)(sizeof(header) + length));
    header.frag_off = htons((uint16_t)(offset / 8 | (more ? IP_MF : 0)));
    header.check = 0;
    for (uint32_t i = 0; i < sizeof(header); i += 2) {
        memcpy(&word, (const uint8_t *)&header + i, 2);
        sum += word;
    }
    sum = (sum & UINT16_MAX) + (sum >> 16);
    header.check = (uint16_t) ~((sum & UINT16_MAX) + (sum >> 16));
    memcpy(out->bytes, &header, sizeof(header));
    memcpy(out->bytes + sizeof(header), packet + sizeof(header) + offset,
           length);
    out->length_bytes = (uint32_t)sizeof(header) + length;
}

static inline void
fragment_ipv6(const uint8_t *packet, uint32_t offset, uint32_t length,
              bool more, uint32_t id, struct fragment *out)
{
    struct ip6_hdr header;
    struct ip6_frag fragment_header = {.ip6f_ident = htonl(id)};

    memcpy(&header, packet, sizeof(header));
    fragment_header.ip6f_nxt = header.ip6_nxt;
    fragment_header.ip6f_offlg = htons((uint16_t)(offset | (more ? 1 : 0)));
    header.ip6_nxt = IPPROTO_FRAGMENT;
    header.ip6_plen = htons((uint16_t)(sizeof(fragment_header) + length));
    memcpy(out->bytes, &header, sizeof(header));
    memcpy(out->bytes + sizeof(header), &fragment_header,
           sizeof(fragment_header));
    memcpy(out->bytes + sizeof(header) + sizeof(fragment_header),
           packet + sizeof(header) + offset, length);
    out->length_bytes =
        (uint32_t)(sizeof(header) + sizeof(fragment_header)) + length;
}

/// Splits a packet and returns the number of fragments. fragment_bytes:
/// payload of each fragment but the last, a multiple of 8.
static inline uint32_t
fragment_packet(const uint8_t *packet, uint32_t packet_bytes,
                uint32_t fragment_bytes, uint32_t id,
                struct fragment fragments[FRAGMENTS_MAX])
{
    bool ipv4 = packet[0] >> 4 == 4;
    uint32_t total = packet_bytes - (ipv4 ? 20 : 40);
    uint32_t count = 0;

    for (uint32_t offset = 0; offset < total && count < FRAGMENTS_MAX;
         offset += fragment_bytes) {
        bool more = offset + fragment_bytes < total;
        uint32_t length = more ? fragment_bytes : total - offset;

        (ipv4 ? fragment_ipv4 : fragment_ipv6)(packet, offset, length, more,
                                               id, &fragments[count++]);
    }
    return count;
}

#endif
