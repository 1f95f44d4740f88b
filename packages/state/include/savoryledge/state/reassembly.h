#ifndef SAVORYLEDGE_STATE_REASSEMBLY_H
#define SAVORYLEDGE_STATE_REASSEMBLY_H

/// Puts fragmented IPv4 and IPv6 datagrams together again, in bounded memory.
///
/// A datagram whose fragments overlap is dropped whole (RFC 5722), for IPv4
/// too; exact duplicates of a fragment are ignored. When all places are taken
/// the oldest datagram is given up; no source holds more than its share.

#include "savoryledge/common/packet.h"

struct SlReassembly;

struct SlReassemblyOptions {
    /// Datagrams held at once; 0 takes 256. Each takes about 9 KB.
    uint32_t max_datagrams;
    /// Datagrams held of one source address; 0 takes 16.
    uint32_t datagrams_per_source;
    /// Longest wait for missing fragments; 0 takes 2 s.
    uint64_t timeout_us;
};

/// NULL without memory.
struct SlReassembly *
SlReassembly_Create(const struct SlReassemblyOptions *options);
/// NULL is allowed.
void
SlReassembly_Destroy(struct SlReassembly *reassembly);

/// Adds a packet of kind SL_PACKET_FRAGMENT. One thread at a time.
///
/// whole: room for SL_PACKET_MTU_BYTES; holds the packet on SL_OK.
/// Returns SL_OK when the datagram is whole, SL_AGAIN when fragments are
/// missing. Errors: SL_MALFORMED (fragments overlap or contradict each other;
/// the datagram is dropped), SL_TOO_LONG (larger than SL_PACKET_MTU_BYTES),
/// SL_FULL (the source holds its share already).
enum SlStatus
SlReassembly_Add(struct SlReassembly *reassembly, uint64_t now_us,
                 const struct SlPacket *fragment, uint8_t *whole,
                 uint32_t *length_bytes);

/// Gives up datagrams that waited too long; returns how many.
uint32_t
SlReassembly_Expire(struct SlReassembly *reassembly, uint64_t now_us);

/// Datagrams held now.
uint32_t
SlReassembly_DatagramCount(const struct SlReassembly *reassembly);

#endif
