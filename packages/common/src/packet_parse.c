/// Parses IPv4 and IPv6 packets. Headers are copied before their fields are
/// read, because a packet can have any alignment.

#include <arpa/inet.h>
#include <netinet/icmp6.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <string.h>

#include "packet_internal.h"

enum {
    EXTENSION_HEADERS_MAX = 8,
    QUOTED_PORTS_BYTES = 4,
};

/// The fields of the IP headers.
struct ip_view {
    struct SlAddress source;
    struct SlAddress destination;
    uint8_t protocol;
    bool dont_fragment;
    uint32_t transport_offset;
    /// Length of the packet according to its own length field.
    uint32_t end_offset;
    bool fragment;
    bool fragment_more;
    uint32_t fragment_id;
    uint32_t fragment_offset;
};

static void
set_ipv4(struct SlAddress *address, uint32_t network_order)
{
    *address = (struct SlAddress){.ip = {[10] = 0xff, [11] = 0xff}};
    memcpy(address->ip + 12, &network_order, sizeof(network_order));
}

static enum SlStatus
read_ipv4(const uint8_t *bytes, uint32_t length_bytes, struct ip_view *view)
{
    struct iphdr header;
    uint32_t header_bytes;
    uint16_t fragment;

    if (length_bytes < sizeof(header)) {
        return SL_MALFORMED;
    }
    memcpy(&header, bytes, sizeof(header));
    header_bytes = header.ihl * 4U;
    if (header_bytes < sizeof(header) || header_bytes > length_bytes) {
        return SL_MALFORMED;
    }
    fragment = ntohs(header.frag_off);
    set_ipv4(&view->source, header.saddr);
    set_ipv4(&view->destination, header.daddr);
    view->protocol = header.protocol;
    view->dont_fragment = (fragment & IP_DF) != 0;
    view->transport_offset = header_bytes;
    view->end_offset = ntohs(header.tot_len);
    view->fragment_more = (fragment & IP_MF) != 0;
    view->fragment_offset = (fragment & IP_OFFMASK) * 8U;
    view->fragment_id = ntohs(header.id);
    view->fragment = view->fragment_more || view->fragment_offset != 0;
    return SL_OK;
}

static void
read_fragment_header(const uint8_t *bytes, struct ip_view *view)
{
    struct ip6_frag header;
    uint16_t offset;

    memcpy(&header, bytes, sizeof(header));
    offset = ntohs(header.ip6f_offlg);
    view->fragment_more = (offset & 1) != 0;
    view->fragment_offset = offset & 0xfff8U;
    view->fragment_id = ntohl(header.ip6f_ident);
    view->fragment = view->fragment_more || view->fragment_offset != 0;
}

static bool
is_extension(uint8_t protocol)
{
    return protocol == IPPROTO_HOPOPTS || protocol == IPPROTO_ROUTING ||
           protocol == IPPROTO_DSTOPTS || protocol == IPPROTO_FRAGMENT;
}

/// Skips the extension headers up to the transport header, or in a fragment up
/// to the end of the fragment header.
static enum SlStatus
skip_extensions(const uint8_t *bytes, uint32_t length_bytes,
                struct ip_view *view)
{
    uint32_t offset = view->transport_offset;

    for (uint32_t i = 0; is_extension(view->protocol); i++) {
        uint8_t protocol = view->protocol;
        uint32_t header_bytes = PACKET_EXTENSION_UNIT_BYTES;

        if (i == EXTENSION_HEADERS_MAX ||
            offset + PACKET_EXTENSION_UNIT_BYTES > length_bytes) {
            return SL_MALFORMED;
        }
        if (protocol == IPPROTO_FRAGMENT) {
            read_fragment_header(bytes + offset, view);
        }
        else {
            header_bytes +=
                bytes[offset + 1] * (uint32_t)PACKET_EXTENSION_UNIT_BYTES;
        }
        view->protocol = bytes[offset];
        offset += header_bytes;
        if (offset > length_bytes) {
            return SL_MALFORMED;
        }
        if (protocol == IPPROTO_FRAGMENT && view->fragment) {
            break;
        }
    }
    view->transport_offset = offset;
    return SL_OK;
}

static enum SlStatus
read_ipv6(const uint8_t *bytes, uint32_t length_bytes, struct ip_view *view)
{
    struct ip6_hdr header;

    if (length_bytes < sizeof(header)) {
        return SL_MALFORMED;
    }
    memcpy(&header, bytes, sizeof(header));
    memcpy(view->source.ip, &header.ip6_src, 16);
    memcpy(view->destination.ip, &header.ip6_dst, 16);
    if (SlAddress_IsIpv4(&view->source) ||
        SlAddress_IsIpv4(&view->destination)) {
        /* Otherwise the packet could be mistaken for one of the IPv4 address.
           RFC 4291, section 2.5.5.2, defines no use of these addresses on the
           wire. */
        return SL_INVALID;
    }
    view->protocol = header.ip6_nxt;
    view->dont_fragment = true;
    view->transport_offset = sizeof(header);
    view->end_offset = (uint32_t)sizeof(header) + ntohs(header.ip6_plen);
    return skip_extensions(bytes,
                           view->end_offset < length_bytes ? view->end_offset
                                                           : length_bytes,
                           view);
}

static enum SlStatus
read_ip(const uint8_t *bytes, uint32_t length_bytes, struct ip_view *view)
{
    *view = (struct ip_view){.protocol = 0};
    if (length_bytes == 0) {
        return SL_MALFORMED;
    }
    if (bytes[0] >> 4 == 4) {
        return read_ipv4(bytes, length_bytes, view);
    }
    if (bytes[0] >> 4 == 6) {
        return read_ipv6(bytes, length_bytes, view);
    }
    return SL_MALFORMED;
}

static enum SlStatus
parse_tcp(struct SlPacket *packet)
{
    struct tcphdr header;
    uint32_t header_bytes;
    uint32_t available_bytes = packet->length_bytes - packet->transport_offset;

    if (available_bytes < sizeof(header)) {
        return SL_MALFORMED;
    }
    memcpy(&header, packet->bytes + packet->transport_offset, sizeof(header));
    header_bytes = header.th_off * 4U;
    if (header_bytes < sizeof(header) || header_bytes > available_bytes) {
        return SL_MALFORMED;
    }
    packet->kind = SL_PACKET_TCP;
    packet->source.port = ntohs(header.th_sport);
    packet->destination.port = ntohs(header.th_dport);
    packet->tcp_flags = header.th_flags;
    packet->tcp_seq = ntohl(header.th_seq);
    packet->tcp_ack = ntohl(header.th_ack);
    packet->payload_offset = packet->transport_offset + header_bytes;
    packet->payload_bytes = available_bytes - header_bytes;
    return SL_OK;
}

static enum SlStatus
parse_udp(struct SlPacket *packet)
{
    struct udphdr header;
    uint32_t available_bytes = packet->length_bytes - packet->transport_offset;
    uint32_t udp_bytes;

    if (available_bytes < sizeof(header)) {
        return SL_MALFORMED;
    }
    memcpy(&header, packet->bytes + packet->transport_offset, sizeof(header));
    udp_bytes = ntohs(header.uh_ulen);
    if (udp_bytes < sizeof(header) || udp_bytes > available_bytes) {
        return SL_MALFORMED;
    }
    packet->kind = SL_PACKET_UDP;
    packet->source.port = ntohs(header.uh_sport);
    packet->destination.port = ntohs(header.uh_dport);
    packet->payload_offset = packet->transport_offset + sizeof(header);
    packet->payload_bytes = udp_bytes - sizeof(header);
    return SL_OK;
}

static bool
is_icmp_error(const struct SlPacket *packet, uint8_t type)
{
    if (packet->protocol == IPPROTO_ICMPV6) {
        return !(type & ICMP6_INFOMSG_MASK) && type != 0;
    }
    return type == ICMP_DEST_UNREACH || type == ICMP_TIME_EXCEEDED ||
           type == ICMP_PARAMETERPROB;
}

/// Parses the start of the packet that an ICMP error quotes. Its checksums are
/// not verified, because routers change the header on the path.
static enum SlStatus
parse_quoted(struct SlPacket *packet)
{
    const uint8_t *quoted = packet->bytes + packet->payload_offset;
    struct ip_view view;
    uint16_t ports[2];
    enum SlStatus status = read_ip(quoted, packet->payload_bytes, &view);

    if (status != SL_OK) {
        return status;
    }
    if (view.fragment_offset != 0 ||
        (view.protocol != IPPROTO_TCP && view.protocol != IPPROTO_UDP)) {
        return SL_INVALID;
    }
    if (view.transport_offset + QUOTED_PORTS_BYTES > packet->payload_bytes) {
        return SL_MALFORMED;
    }
    memcpy(ports, quoted + view.transport_offset, sizeof(ports));
    packet->quoted_source = view.source;
    packet->quoted_source.port = ntohs(ports[0]);
    packet->quoted_destination = view.destination;
    packet->quoted_destination.port = ntohs(ports[1]);
    packet->quoted_protocol = view.protocol;
    return SL_OK;
}

static enum SlStatus
parse_icmp(struct SlPacket *packet)
{
    uint32_t available_bytes = packet->length_bytes - packet->transport_offset;

    if (available_bytes < PACKET_ICMP_HEADER_BYTES) {
        return SL_MALFORMED;
    }
    if (!is_icmp_error(packet, packet->bytes[packet->transport_offset])) {
        return SL_INVALID;
    }
    packet->kind = SL_PACKET_ICMP_ERROR;
    packet->payload_offset =
        packet->transport_offset + PACKET_ICMP_HEADER_BYTES;
    packet->payload_bytes = available_bytes - PACKET_ICMP_HEADER_BYTES;
    return parse_quoted(packet);
}

static enum SlStatus
parse_transport(struct SlPacket *packet)
{
    bool ipv4 = SlAddress_IsIpv4(&packet->source);

    if (packet->protocol == IPPROTO_TCP) {
        return parse_tcp(packet);
    }
    if (packet->protocol == IPPROTO_UDP) {
        return parse_udp(packet);
    }
    if (packet->protocol == (ipv4 ? IPPROTO_ICMP : IPPROTO_ICMPV6)) {
        return parse_icmp(packet);
    }
    return SL_INVALID;
}

enum SlStatus
SlPacket_Parse(const uint8_t *bytes, uint32_t length_bytes,
               struct SlPacket *packet)
{
    struct ip_view view;
    enum SlStatus status = read_ip(bytes, length_bytes, &view);

    if (status != SL_OK) {
        return status;
    }
    if (view.end_offset > length_bytes ||
        view.end_offset < view.transport_offset) {
        return SL_MALFORMED;
    }
    if (bytes[0] >> 4 == 4 &&
        packet_fold(packet_sum(0, bytes, view.transport_offset)) != 0) {
        return SL_MALFORMED;
    }
    *packet = (struct SlPacket){.bytes = bytes,
                                .length_bytes = view.end_offset,
                                .source = view.source,
                                .destination = view.destination,
                                .protocol = view.protocol,
                                .transport_offset = view.transport_offset,
                                .dont_fragment = view.dont_fragment};
    if (!view.fragment) {
        return parse_transport(packet);
    }
    packet->kind = SL_PACKET_FRAGMENT;
    packet->fragment_id = view.fragment_id;
    packet->fragment_offset = view.fragment_offset;
    packet->fragment_more = view.fragment_more;
    packet->payload_offset = view.transport_offset;
    packet->payload_bytes = view.end_offset - view.transport_offset;
    return SL_OK;
}

void
SlPacket_FlowKeyFromCaller(const struct SlPacket *packet,
                           struct SlFlowKey *key)
{
    bool quoted = packet->kind == SL_PACKET_ICMP_ERROR;

    *key = (struct SlFlowKey){
        .caller = quoted ? packet->quoted_destination : packet->source,
        .service = quoted ? packet->quoted_source : packet->destination,
        .protocol = quoted ? packet->quoted_protocol : packet->protocol};
}

void
SlPacket_FlowKeyFromUpstream(const struct SlPacket *packet,
                             struct SlFlowKey *key)
{
    bool quoted = packet->kind == SL_PACKET_ICMP_ERROR;

    *key = (struct SlFlowKey){
        .caller = quoted ? packet->quoted_source : packet->destination,
        .service = quoted ? packet->quoted_destination : packet->source,
        .protocol = quoted ? packet->quoted_protocol : packet->protocol};
}
