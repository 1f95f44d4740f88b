/// Building IPv4 and IPv6 packets with TCP and UDP.

#include <arpa/inet.h>
#include <assert.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <string.h>

#include "packet_internal.h"

enum {
    MSS_OPTION_BYTES = 4,
};

uint32_t
packet_ip_header_bytes(const struct SlAddress *source)
{
    return SlAddress_IsIpv4(source) ? PACKET_IPV4_HEADER_BYTES
                                    : PACKET_IPV6_HEADER_BYTES;
}

static void
write_ipv4(const struct packet_ip *ip, uint8_t *out)
{
    struct iphdr header = {
        .version = 4,
        .ihl = PACKET_IPV4_HEADER_BYTES / 4,
        .tot_len =
            htons((uint16_t)(PACKET_IPV4_HEADER_BYTES + ip->payload_bytes)),
        .id = htons(ip->id),
        .frag_off = htons(ip->dont_fragment ? IP_DF : 0),
        .ttl = PACKET_TTL_HOPS,
        .protocol = ip->protocol};

    memcpy(&header.saddr, ip->source->ip + 12, 4);
    memcpy(&header.daddr, ip->destination->ip + 12, 4);
    memcpy(out, &header, sizeof(header));
    header.check = packet_fold(packet_sum(0, out, sizeof(header)));
    memcpy(out, &header, sizeof(header));
}

static void
write_ipv6(const struct packet_ip *ip, uint8_t *out)
{
    struct ip6_hdr header = {.ip6_flow = htonl(UINT32_C(6) << 28),
                             .ip6_plen = htons((uint16_t)ip->payload_bytes),
                             .ip6_nxt = ip->protocol,
                             .ip6_hlim = PACKET_TTL_HOPS};

    memcpy(&header.ip6_src, ip->source->ip, 16);
    memcpy(&header.ip6_dst, ip->destination->ip, 16);
    memcpy(out, &header, sizeof(header));
}

void
packet_write_ip(const struct packet_ip *ip, uint8_t *out)
{
    if (SlAddress_IsIpv4(ip->source)) {
        write_ipv4(ip, out);
    }
    else {
        write_ipv6(ip, out);
    }
}

/// True when a packet of that size may be written; then total_bytes is set.
static bool
fits(const struct SlAddress *source, uint32_t transport_bytes,
     uint32_t payload_bytes, uint32_t room_bytes, uint32_t *total_bytes)
{
    if (payload_bytes > SL_PACKET_MAX_BYTES) {
        return false;
    }
    *total_bytes =
        packet_ip_header_bytes(source) + transport_bytes + payload_bytes;
    return *total_bytes <= SL_PACKET_MAX_BYTES && *total_bytes <= room_bytes;
}

static uint16_t
checksum_of(const struct SlAddress *source,
            const struct SlAddress *destination, uint8_t protocol,
            const uint8_t *transport, uint32_t length_bytes)
{
    uint64_t sum =
        packet_pseudo_sum(source, destination, protocol, length_bytes);

    return packet_fold(packet_sum(sum, transport, length_bytes));
}

uint32_t
SlPacket_BuildUdp(const struct SlAddress *source,
                  const struct SlAddress *destination, const uint8_t *payload,
                  uint32_t payload_bytes, uint8_t *out, uint32_t room_bytes)
{
    uint8_t *udp = out + packet_ip_header_bytes(source);
    struct udphdr header = {.uh_sport = htons(source->port),
                            .uh_dport = htons(destination->port)};
    uint32_t length = PACKET_UDP_HEADER_BYTES + payload_bytes;
    uint32_t total;

    assert(SlAddress_IsIpv4(source) == SlAddress_IsIpv4(destination));
    if (!fits(source, PACKET_UDP_HEADER_BYTES, payload_bytes, room_bytes,
              &total)) {
        return 0;
    }
    header.uh_ulen = htons((uint16_t)length);
    memcpy(udp, &header, sizeof(header));
    if (payload_bytes > 0) {
        memcpy(udp + sizeof(header), payload, payload_bytes);
    }
    header.uh_sum = checksum_of(source, destination, IPPROTO_UDP, udp, length);
    if (header.uh_sum == 0) {
        header.uh_sum = UINT16_MAX;
    }
    memcpy(udp, &header, sizeof(header));
    packet_write_ip(&(struct packet_ip){.source = source,
                                        .destination = destination,
                                        .protocol = IPPROTO_UDP,
                                        .id = header.uh_sum,
                                        .payload_bytes = length},
                    out);
    return total;
}

static void
write_mss(uint8_t *option, uint16_t mss_bytes)
{
    option[0] = TCPOPT_MAXSEG;
    option[1] = MSS_OPTION_BYTES;
    option[2] = (uint8_t)(mss_bytes >> 8);
    option[3] = (uint8_t)mss_bytes;
}

uint32_t
SlPacket_BuildTcp(const struct SlTcpSegment *segment, uint8_t *out,
                  uint32_t room_bytes)
{
    uint32_t header_bytes =
        PACKET_TCP_HEADER_BYTES + (segment->mss_bytes ? MSS_OPTION_BYTES : 0);
    uint8_t *tcp = out + packet_ip_header_bytes(&segment->source);
    struct tcphdr header = {.th_sport = htons(segment->source.port),
                            .th_dport = htons(segment->destination.port),
                            .th_seq = htonl(segment->seq),
                            .th_ack = htonl(segment->ack),
                            .th_flags = segment->flags,
                            .th_win = htons(segment->window)};
    uint32_t total;

    assert(SlAddress_IsIpv4(&segment->source) ==
           SlAddress_IsIpv4(&segment->destination));
    if (!fits(&segment->source, header_bytes, segment->payload_bytes,
              room_bytes, &total)) {
        return 0;
    }
    header.th_off = (uint8_t)(header_bytes / 4) & 0xf;
    memcpy(tcp, &header, sizeof(header));
    if (segment->mss_bytes != 0) {
        write_mss(tcp + sizeof(header), segment->mss_bytes);
    }
    if (segment->payload_bytes > 0) {
        memcpy(tcp + header_bytes, segment->payload, segment->payload_bytes);
    }
    header.th_sum =
        checksum_of(&segment->source, &segment->destination, IPPROTO_TCP, tcp,
                    header_bytes + segment->payload_bytes);
    memcpy(tcp, &header, sizeof(header));
    packet_write_ip(
        &(struct packet_ip){.source = &segment->source,
                            .destination = &segment->destination,
                            .protocol = IPPROTO_TCP,
                            .dont_fragment = true,
                            .payload_bytes =
                                header_bytes + segment->payload_bytes},
        out);
    return total;
}

uint32_t
SlPacket_BuildReset(const struct SlPacket *packet, uint8_t *out,
                    uint32_t room_bytes)
{
    struct SlTcpSegment reset = {.source = packet->destination,
                                 .destination = packet->source,
                                 .flags = SL_TCP_RST};
    uint32_t occupied;

    if (packet->kind != SL_PACKET_TCP || (packet->tcp_flags & SL_TCP_RST)) {
        return 0;
    }
    if (packet->tcp_flags & SL_TCP_ACK) {
        reset.seq = packet->tcp_ack;
        return SlPacket_BuildTcp(&reset, out, room_bytes);
    }
    occupied = packet->payload_bytes;
    occupied += (packet->tcp_flags & SL_TCP_SYN) ? 1 : 0;
    occupied += (packet->tcp_flags & SL_TCP_FIN) ? 1 : 0;
    reset.flags = SL_TCP_RST | SL_TCP_ACK;
    reset.ack = packet->tcp_seq + occupied;
    return SlPacket_BuildTcp(&reset, out, room_bytes);
}

static void
join_ipv4(uint8_t *bytes, uint32_t header_bytes, uint32_t length_bytes)
{
    struct iphdr header;

    memcpy(&header, bytes, sizeof(header));
    header.frag_off = 0;
    header.tot_len = htons((uint16_t)length_bytes);
    header.check = 0;
    memcpy(bytes, &header, sizeof(header));
    header.check = packet_fold(packet_sum(0, bytes, header_bytes));
    memcpy(bytes, &header, sizeof(header));
}

/// Names the protocol where the fragment header stood.
static void
join_ipv6(uint8_t *bytes, uint32_t header_bytes, uint32_t length_bytes,
          uint8_t protocol)
{
    uint16_t payload =
        htons((uint16_t)(length_bytes - PACKET_IPV6_HEADER_BYTES));
    uint32_t next_at = offsetof(struct ip6_hdr, ip6_nxt);
    uint32_t at = PACKET_IPV6_HEADER_BYTES;

    memcpy(bytes + offsetof(struct ip6_hdr, ip6_plen), &payload,
           sizeof(payload));
    while (bytes[next_at] != IPPROTO_FRAGMENT &&
           at + PACKET_EXTENSION_UNIT_BYTES <= header_bytes) {
        next_at = at;
        at += (bytes[at + 1] + 1U) * PACKET_EXTENSION_UNIT_BYTES;
    }
    bytes[next_at] = protocol;
}

void
SlPacket_RewriteReassembledHeaders(uint8_t *bytes, uint32_t header_bytes,
                                   uint32_t length_bytes, uint8_t protocol)
{
    assert(length_bytes <= SL_PACKET_MAX_BYTES);
    if (bytes[0] >> 4 == 4) {
        join_ipv4(bytes, header_bytes, length_bytes);
    }
    else {
        join_ipv6(bytes, header_bytes, length_bytes, protocol);
    }
}
