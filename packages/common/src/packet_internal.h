#ifndef SAVORYLEDGE_COMMON_PACKET_INTERNAL_H
#define SAVORYLEDGE_COMMON_PACKET_INTERNAL_H

/// Functions shared by the sources that parse and build packets: the Internet
/// checksum, and writing of IP headers.

#include "savoryledge/common/packet.h"

enum {
    PACKET_IPV4_HEADER_BYTES = 20,
    PACKET_IPV6_HEADER_BYTES = 40,
    PACKET_TCP_HEADER_BYTES = 20,
    PACKET_UDP_HEADER_BYTES = 8,
    PACKET_ICMP_HEADER_BYTES = 8,
    PACKET_EXTENSION_UNIT_BYTES = 8,
    PACKET_TTL_HOPS = 64,
};

/// Adds bytes to a running checksum sum (RFC 1071). When the data is added in
/// several pieces, each piece but the last must have an even length.
uint64_t
packet_sum(uint64_t sum, const uint8_t *bytes, uint32_t length_bytes);

/// Folds a sum to the checksum, in network byte order.
uint16_t
packet_fold(uint64_t sum);

/// Returns the checksum sum of the pseudo header of TCP, UDP and ICMPv6.
/// length_bytes: length of the transport header and the payload.
uint64_t
packet_pseudo_sum(const struct SlAddress *source,
                  const struct SlAddress *destination, uint8_t protocol,
                  uint32_t length_bytes);

/// Returns the length of the IP header that packet_write_ip writes for this
/// source address.
uint32_t
packet_ip_header_bytes(const struct SlAddress *source);

/// The fields of an IP header to write.
struct packet_ip {
    const struct SlAddress *source;
    const struct SlAddress *destination;
    uint8_t protocol;
    /// IPv4 only.
    bool dont_fragment;
    /// IPv4 only: the identification field.
    uint16_t id;
    uint32_t payload_bytes;
};

/// Writes an IPv4 or IPv6 header to out, which must hold
/// packet_ip_header_bytes.
void
packet_write_ip(const struct packet_ip *ip, uint8_t *out);

#endif
