#ifndef SAVORYLEDGE_COMMON_PACKET_H
#define SAVORYLEDGE_COMMON_PACKET_H

/// Reading and building IPv4 and IPv6 packets that carry TCP, UDP or ICMP.
/// Pure functions over bytes; header layouts come from the C library.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/status.h"

enum {
    SL_PACKET_MAX_BYTES = 65535,
    /// Largest packet that the data path carries unfragmented.
    SL_PACKET_MTU_BYTES = 9000,
    /// Largest answer that the builders below write.
    SL_PACKET_ANSWER_BYTES = 1280,
};

/// TCP flags as they stand in the header.
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
    /// An ICMP or ICMPv6 error; the key is that of the quoted packet's flow.
    SL_PACKET_ICMP_ERROR,
    /// A fragment other than a whole packet; the key has no ports.
    SL_PACKET_FRAGMENT,
};

/// A parsed view into bytes that the caller owns and keeps alive.
struct SlPacket {
    const uint8_t *bytes;
    uint32_t length_bytes;
    enum SlPacketKind kind;
    /// Source and destination as they stand in the IP header (with ports for
    /// TCP and UDP).
    struct SlAddress source;
    struct SlAddress destination;
    uint8_t protocol;
    /// Offset of the header after the IP headers within bytes.
    uint32_t transport_offset;
    /// True when the IP header forbids fragmentation (always for IPv6).
    bool dont_fragment;
    /// TCP: header fields. Host byte order.
    uint8_t tcp_flags;
    uint32_t tcp_seq;
    uint32_t tcp_ack;
    /// Offset and length of the TCP or UDP payload within bytes.
    uint32_t payload_offset;
    uint32_t payload_bytes;
    /// Fragments: identification, offset in bytes, more to follow.
    uint32_t fragment_id;
    uint32_t fragment_offset;
    bool fragment_more;
    /// ICMP errors: source and destination of the quoted packet.
    struct SlAddress quoted_source;
    struct SlAddress quoted_destination;
    uint8_t quoted_protocol;
};

/// Parses one whole IP packet.
///
/// Errors: SL_MALFORMED (cut short, bad lengths, checksum of the IPv4 header
/// wrong), SL_INVALID (neither TCP, UDP, an ICMP error nor a fragment; or an
/// IPv6 packet with an IPv4-mapped address).
enum SlStatus
SlPacket_Parse(const uint8_t *bytes, uint32_t length_bytes,
               struct SlPacket *packet);

/// The key of a packet that came from a caller (ICMP errors: the quoted
/// packet was sent by the service, so its source is the service).
void
SlPacket_CallerKey(const struct SlPacket *packet, struct SlFlowKey *key);

/// The key of a packet that came from an upstream.
void
SlPacket_UpstreamKey(const struct SlPacket *packet, struct SlFlowKey *key);

/// Builds a UDP packet with valid checksums. Returns its length in bytes, 0
/// when room_bytes is too small.
uint32_t
SlPacket_BuildUdp(const struct SlAddress *source,
                  const struct SlAddress *destination, const uint8_t *payload,
                  uint32_t payload_bytes, uint8_t *out, uint32_t room_bytes);

struct SlTcpSegment {
    struct SlAddress source;
    struct SlAddress destination;
    uint8_t flags;
    uint32_t seq;
    uint32_t ack;
    uint16_t window;
    /// Maximum segment size option; 0 leaves it out.
    uint16_t mss_bytes;
    const uint8_t *payload;
    uint32_t payload_bytes;
};

/// Builds a TCP packet with valid checksums; 0 when room_bytes is too small.
uint32_t
SlPacket_BuildTcp(const struct SlTcpSegment *segment, uint8_t *out,
                  uint32_t room_bytes);

/// Builds the reset that answers packet, as its destination would send it
/// (RFC 9293, 3.10.7.1). Returns 0 when packet is not TCP or is a reset.
uint32_t
SlPacket_BuildReset(const struct SlPacket *packet, uint8_t *out,
                    uint32_t room_bytes);

enum SlIcmpError {
    /// The port cannot be reached: the outcome of what was sent is unknown.
    SL_ICMP_PORT_UNREACHABLE = 1,
    /// Refused by policy before delivery: what was sent did not run.
    SL_ICMP_PROHIBITED,
    /// The packet is larger than mtu_bytes and must not be fragmented.
    SL_ICMP_TOO_BIG,
};

/// Builds the ICMP or ICMPv6 error that answers packet, sent from the
/// packet's destination. mtu_bytes: for SL_ICMP_TOO_BIG only.
uint32_t
SlPacket_BuildIcmp(const struct SlPacket *packet, enum SlIcmpError error,
                   uint16_t mtu_bytes, uint8_t *out, uint32_t room_bytes);

/// Lowers the MSS option of a SYN in place to at most mss_bytes, keeping the
/// checksum right. Returns true when it changed.
bool
SlPacket_ClampMss(uint8_t *bytes, uint32_t length_bytes, uint16_t mss_bytes);

/// Turns the headers of a datagram's first fragment, from which the fragment
/// header of IPv6 was taken out, into those of the whole datagram.
///
/// bytes: the headers, then the payload; header_bytes: at least those of a
/// plain IP header; protocol: what follows the headers.
void
SlPacket_RewriteReassembledHeaders(uint8_t *bytes, uint32_t header_bytes,
                                   uint32_t length_bytes, uint8_t protocol);

/// True when the TCP or UDP checksum of a whole packet holds.
bool
SlPacket_ChecksumOk(const struct SlPacket *packet);

#endif
