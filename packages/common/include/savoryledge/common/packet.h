#ifndef SAVORYLEDGE_COMMON_PACKET_H
#define SAVORYLEDGE_COMMON_PACKET_H

/// Parses and builds IPv4 and IPv6 packets that carry TCP, UDP or ICMP. The
/// functions have no state; the header layouts come from the C library.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/status.h"

enum {
    SL_PACKET_MAX_BYTES = 65535,
    /// Largest packet that the data path forwards without fragmentation.
    SL_PACKET_MTU_BYTES = 9000,
    /// Largest reset or ICMP error that the functions below build.
    SL_PACKET_ANSWER_BYTES = 1280,
};

/// TCP flags with the bit values of the TCP header.
enum SlTcpFlag {
    SL_TCP_FIN = 0x01,
    SL_TCP_SYN = 0x02,
    SL_TCP_RST = 0x04,
    SL_TCP_PSH = 0x08,
    SL_TCP_ACK = 0x10,
};

enum SlPacketKind {
    SL_PACKET_TCP = 1,
    SL_PACKET_UDP,
    /// An ICMP or ICMPv6 error; its key is that of the quoted packet's flow.
    SL_PACKET_ICMP_ERROR,
    /// A fragment that is not a complete packet; its key has no ports.
    SL_PACKET_FRAGMENT,
};

/// A parsed view into bytes that the caller owns and keeps alive.
struct SlPacket {
    const uint8_t *bytes;
    uint32_t length_bytes;
    enum SlPacketKind kind;
    /// Addresses from the IP header, with the ports for TCP and UDP.
    struct SlAddress source;
    struct SlAddress destination;
    uint8_t protocol;
    /// Offset within bytes of the header that follows the IP headers.
    uint32_t transport_offset;
    /// True when the IP header forbids fragmentation (always for IPv6).
    bool dont_fragment;
    /// TCP: fields of the header in host byte order.
    uint8_t tcp_flags;
    uint32_t tcp_seq;
    uint32_t tcp_ack;
    /// Offset and length of the TCP or UDP payload within bytes.
    uint32_t payload_offset;
    uint32_t payload_bytes;
    /// Fragments: the identification field.
    uint32_t fragment_id;
    /// Fragments: offset in bytes within the datagram.
    uint32_t fragment_offset;
    /// Fragments: more fragments of the datagram follow.
    bool fragment_more;
    /// ICMP errors: addresses and protocol of the quoted packet.
    struct SlAddress quoted_source;
    struct SlAddress quoted_destination;
    uint8_t quoted_protocol;
};

/// Parses one complete IP packet.
///
/// Errors: SL_MALFORMED (truncated packet, invalid length field or wrong
/// checksum of the IPv4 header), SL_INVALID (neither TCP, UDP, an ICMP error
/// nor a fragment, or an IPv6 packet with an IPv4-mapped address).
enum SlStatus
SlPacket_Parse(const uint8_t *bytes, uint32_t length_bytes,
               struct SlPacket *packet);

/// Sets key to the flow of a packet that a caller sent. In an ICMP error from
/// a caller the quoted packet was sent by the service, so its source is the
/// service.
void
SlPacket_FlowKeyFromCaller(const struct SlPacket *packet,
                           struct SlFlowKey *key);

/// Sets key to the flow of a packet that an upstream sent.
void
SlPacket_FlowKeyFromUpstream(const struct SlPacket *packet,
                             struct SlFlowKey *key);

/// Builds a UDP packet with valid checksums. Returns its length in bytes, or 0
/// when it does not fit into capacity_bytes.
uint32_t
SlPacket_BuildUdp(const struct SlAddress *source,
                  const struct SlAddress *destination, const uint8_t *payload,
                  uint32_t payload_bytes, uint8_t *out,
                  uint32_t capacity_bytes);

struct SlTcpSegment {
    struct SlAddress source;
    struct SlAddress destination;
    uint8_t flags;
    uint32_t seq;
    uint32_t ack;
    uint16_t window;
    /// Value of the maximum segment size (MSS) option; 0 leaves the option
    /// out.
    uint16_t mss_bytes;
    const uint8_t *payload;
    uint32_t payload_bytes;
};

/// Builds a TCP packet with valid checksums. Returns its length in bytes, or 0
/// when it does not fit into capacity_bytes.
uint32_t
SlPacket_BuildTcp(const struct SlTcpSegment *segment, uint8_t *out,
                  uint32_t capacity_bytes);

/// Builds the reset that answers packet, as its destination would send it
/// (RFC 9293, section 3.10.7.1). Returns its length in bytes, or 0 when packet
/// is not TCP or is itself a reset, or the answer does not fit.
uint32_t
SlPacket_BuildReset(const struct SlPacket *packet, uint8_t *out,
                    uint32_t capacity_bytes);

enum SlIcmpError {
    /// The port is unreachable. Whether the request ran is unknown.
    SL_ICMP_PORT_UNREACHABLE = 1,
    /// Refused by policy before delivery. The request has not run.
    SL_ICMP_PROHIBITED,
    /// The packet is larger than mtu_bytes and must not be fragmented.
    SL_ICMP_TOO_BIG,
};

/// Builds the ICMP or ICMPv6 error that answers packet, with the packet's
/// destination as its source. mtu_bytes: for SL_ICMP_TOO_BIG only. Returns its
/// length in bytes, or 0 when packet must not be answered with an error or the
/// error does not fit.
uint32_t
SlPacket_BuildIcmp(const struct SlPacket *packet, enum SlIcmpError error,
                   uint16_t mtu_bytes, uint8_t *out, uint32_t capacity_bytes);

/// Lowers the MSS option of a SYN in place to at most mss_bytes and updates
/// the checksum. Returns true when the option changed.
bool
SlPacket_ClampMss(uint8_t *bytes, uint32_t length_bytes, uint16_t mss_bytes);

/// Rewrites the IP headers of a datagram's first fragment as those of the
/// reassembled datagram. The caller has removed the fragment header of IPv6.
///
/// bytes: the headers followed by the payload. header_bytes: length of the IP
/// headers, at least that of one without options. protocol: the protocol that
/// follows the headers.
void
SlPacket_RewriteReassembledHeaders(uint8_t *bytes, uint32_t header_bytes,
                                   uint32_t length_bytes, uint8_t protocol);

/// True when the TCP or UDP checksum of a complete packet is correct.
bool
SlPacket_ChecksumOk(const struct SlPacket *packet);

#endif
