/// Builds ICMP and ICMPv6 errors (RFC 792, RFC 1812, RFC 4443).

#include <arpa/inet.h>
#include <netinet/icmp6.h>
#include <netinet/in.h>
#include <netinet/ip_icmp.h>
#include <string.h>

#include "packet_internal.h"

enum {
    /// Largest ICMP error packet of IPv4 (RFC 1812, section 4.3.2.3).
    IPV4_ERROR_BYTES = 576,
    CHECKSUM_OFFSET = 2,
    MTU_OFFSET = 6,
};

struct icmp_code {
    uint8_t type;
    uint8_t code;
};

static struct icmp_code
find_icmp_code(bool ipv4, enum SlIcmpError error)
{
    static const struct icmp_code CODES[2][SL_ICMP_TOO_BIG + 1] = {
        {[SL_ICMP_PORT_UNREACHABLE] = {ICMP6_DST_UNREACH,
                                       ICMP6_DST_UNREACH_NOPORT},
         [SL_ICMP_PROHIBITED] = {ICMP6_DST_UNREACH, ICMP6_DST_UNREACH_ADMIN},
         [SL_ICMP_TOO_BIG] = {ICMP6_PACKET_TOO_BIG, 0}},
        {[SL_ICMP_PORT_UNREACHABLE] = {ICMP_DEST_UNREACH, ICMP_PORT_UNREACH},
         [SL_ICMP_PROHIBITED] = {ICMP_DEST_UNREACH, ICMP_PKT_FILTERED},
         [SL_ICMP_TOO_BIG] = {ICMP_DEST_UNREACH, ICMP_FRAG_NEEDED}},
    };

    return CODES[ipv4 ? 1 : 0][error];
}

/// False for ICMP errors and for fragments other than the first, which must
/// not be answered with an ICMP error (RFC 1122, section 3.2.2).
static bool
may_be_answered(const struct SlPacket *packet)
{
    return packet->kind != SL_PACKET_ICMP_ERROR &&
           packet->fragment_offset == 0;
}

static void
set_checksum(const struct SlPacket *packet, bool ipv4, uint8_t *icmp,
             uint32_t length_bytes)
{
    uint64_t sum = 0;
    uint16_t check;

    if (!ipv4) {
        sum = packet_pseudo_sum(&packet->destination, &packet->source,
                                IPPROTO_ICMPV6, length_bytes);
    }
    check = packet_fold(packet_sum(sum, icmp, length_bytes));
    memcpy(icmp + CHECKSUM_OFFSET, &check, sizeof(check));
}

uint32_t
SlPacket_BuildIcmp(const struct SlPacket *packet, enum SlIcmpError error,
                   uint16_t mtu_bytes, uint8_t *out, uint32_t capacity_bytes)
{
    bool ipv4 = SlAddress_IsIpv4(&packet->destination);
    uint32_t header_bytes = packet_ip_header_bytes(&packet->destination) +
                            PACKET_ICMP_HEADER_BYTES;
    uint32_t limit_bytes = ipv4 ? IPV4_ERROR_BYTES : SL_PACKET_ANSWER_BYTES;
    uint32_t quoted_bytes = limit_bytes - header_bytes;
    uint8_t *icmp = out + header_bytes - PACKET_ICMP_HEADER_BYTES;
    struct icmp_code code = find_icmp_code(ipv4, error);
    uint16_t mtu = htons(mtu_bytes);

    if (quoted_bytes > packet->length_bytes) {
        quoted_bytes = packet->length_bytes;
    }
    if (!may_be_answered(packet) ||
        header_bytes + quoted_bytes > capacity_bytes) {
        return 0;
    }
    memset(icmp, 0, PACKET_ICMP_HEADER_BYTES);
    icmp[0] = code.type;
    icmp[1] = code.code;
    if (error == SL_ICMP_TOO_BIG) {
        memcpy(icmp + MTU_OFFSET, &mtu, sizeof(mtu));
    }
    memcpy(icmp + PACKET_ICMP_HEADER_BYTES, packet->bytes, quoted_bytes);
    set_checksum(packet, ipv4, icmp, PACKET_ICMP_HEADER_BYTES + quoted_bytes);
    packet_write_ip(
        &(struct packet_ip){.source = &packet->destination,
                            .destination = &packet->source,
                            .protocol = ipv4 ? IPPROTO_ICMP : IPPROTO_ICMPV6,
                            .payload_bytes =
                                PACKET_ICMP_HEADER_BYTES + quoted_bytes},
        out);
    return header_bytes + quoted_bytes;
}
