#ifndef SAVORYLEDGE_STATE_REASSEMBLY_H
#define SAVORYLEDGE_STATE_REASSEMBLY_H

/// Reassembles fragmented IPv4 and IPv6 datagrams in bounded memory.
///
/// A datagram with overlapping fragments is dropped completely, as RFC 5722
/// requires for IPv6; IPv4 is treated the same. Exact duplicates of a
/// fragment are ignored. When all slots are in use the oldest incomplete
/// datagram is evicted. The number of slots per source address is limited.

#include "savoryledge/common/packet.h"

struct SlReassembly;

struct SlReassemblyOptions {
    /// Maximum number of incomplete datagrams; 0 selects the default of 256.
    /// Each datagram takes about 9 KB of memory.
    uint32_t max_datagrams;
    /// Maximum number of incomplete datagrams of one source address; 0
    /// selects the default of 16.
    uint32_t max_datagrams_per_source;
    /// Time within which all fragments of a datagram must arrive; 0 selects
    /// the default of 2 s.
    uint64_t timeout_us;
};

/// Creates the state of a reassembly, without any datagram. Returns NULL when
/// memory runs out. The caller owns the result.
struct SlReassembly *
SlReassembly_Create(const struct SlReassemblyOptions *options);
/// Frees the reassembly state; reassembly may be NULL.
void
SlReassembly_Destroy(struct SlReassembly *reassembly);

/// Adds a fragment to its datagram. Not thread-safe.
///
/// fragment: a packet of kind SL_PACKET_FRAGMENT.
/// packet: buffer of SL_PACKET_MTU_BYTES, which receives the complete packet
/// on SL_OK.
/// length_bytes: receives the length of the complete packet on SL_OK.
/// Returns SL_OK when the datagram is complete, SL_AGAIN when fragments are
/// missing. Errors: SL_MALFORMED (the fragment is empty or has an invalid
/// length, or it overlaps or contradicts earlier ones, in which case the
/// datagram is dropped), SL_TOO_LONG (the datagram is larger than
/// SL_PACKET_MTU_BYTES), SL_FULL (the source address has used all its slots).
enum SlStatus
SlReassembly_Add(struct SlReassembly *reassembly, uint64_t now_us,
                 const struct SlPacket *fragment, uint8_t *packet,
                 uint32_t *length_bytes);

/// Drops the incomplete datagrams that have reached the timeout. Returns the
/// number of dropped datagrams.
uint32_t
SlReassembly_Expire(struct SlReassembly *reassembly, uint64_t now_us);

/// Returns the number of datagrams of which fragments are still missing.
uint32_t
SlReassembly_DatagramCount(const struct SlReassembly *reassembly);

#endif
