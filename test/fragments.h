#ifndef SAVORYLEDGE_TEST_FRAGMENTS_H
#define SAVORYLEDGE_TEST_FRAGMENTS_H

/// Cuts packets into fragments, as a router (IPv4) or sender (IPv6) does.

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
cut_ipv4(const uint8_t *packet, uint32_t offset, uint32_t length, bool more,
         uint32_t id, struct fragment *out)
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
cut_ipv6(const uint8_t *packet, uint32_t offset, uint32_t length, bool more,
         uint32_t id, struct fragment *out)
{
    struct ip6_hdr header;
    struct ip6_frag cut = {.ip6f_ident = htonl(id)};

    memcpy(&header, packet, sizeof(header));
    cut.ip6f_nxt = header.ip6_nxt;
    cut.ip6f_offlg = htons((uint16_t)(offset | (more ? 1 : 0)));
    header.ip6_nxt = IPPROTO_FRAGMENT;
    header.ip6_plen = htons((uint16_t)(sizeof(cut) + length));
    memcpy(out->bytes, &header, sizeof(header));
    memcpy(out->bytes + sizeof(header), &cut, sizeof(cut));
    memcpy(out->bytes + sizeof(header) + sizeof(cut),
           packet + sizeof(header) + offset, length);
    out->length_bytes = (uint32_t)(sizeof(header) + sizeof(cut)) + length;
}

/// piece_bytes: payload of each fragment but the last, a multiple of 8.
static inline uint32_t
fragment_packet(const uint8_t *packet, uint32_t packet_bytes,
                uint32_t piece_bytes, uint32_t id,
                struct fragment pieces[FRAGMENTS_MAX])
{
    bool ipv4 = packet[0] >> 4 == 4;
    uint32_t total = packet_bytes - (ipv4 ? 20 : 40);
    uint32_t count = 0;

    for (uint32_t at = 0; at < total && count < FRAGMENTS_MAX;
         at += piece_bytes) {
        bool more = at + piece_bytes < total;
        uint32_t length = more ? piece_bytes : total - at;

        (ipv4 ? cut_ipv4 : cut_ipv6)(packet, at, length, more, id,
                                     &pieces[count++]);
    }
    return count;
}

#endif
