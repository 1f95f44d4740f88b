#ifndef SAVORYLEDGE_COMMON_SEGMENT_H
#define SAVORYLEDGE_COMMON_SEGMENT_H

/// Segments of flows, independent of their wire format. A segment is one
/// datagram of a connection, like a TCP segment. The relay (see
/// coordination/relay_entry.h and relay_agent.h) parses and builds segments
/// only through the vtable of a format.
///
/// A format requires that an upstream returns a segment that it cannot accept:
/// the opening segment of a flow for which it has no capacity, and any segment
/// of a flow that it does not hold.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/status.h"

enum SlSegmentFlag {
    SL_SEGMENT_OPEN = 0x01,
    SL_SEGMENT_ACK = 0x02,
    SL_SEGMENT_CLOSE = 0x04,
    SL_SEGMENT_RESET = 0x08,
    /// The upstream returned the segment.
    SL_SEGMENT_RETURNED = 0x10,
};

enum {
    /// Largest segment of any format.
    SL_SEGMENT_MAX_BYTES = 1400,
    /// Size of a buffer for the largest reset that a format builds.
    SL_SEGMENT_RESET_BYTES = 128,
};

/// A parsed view into bytes that the caller owns.
struct SlSegment {
    const uint8_t *bytes;
    uint32_t length_bytes;
    struct SlAddress source;
    struct SlAddress destination;
    /// A set of SlSegmentFlag bits.
    uint8_t flags;
    /// Sequence number, and the number that the sender acknowledges.
    uint32_t seq;
    uint32_t ack;
    uint32_t payload_bytes;
    /// Opening segments: time since the caller sent its first copy,
    /// milliseconds; 0 when the format does not contain it.
    uint32_t age_ms;
};

/// The functions of one wire format.
struct SlSegmentFormat {
    const char *name;
    /// Parses one segment, which borrows bytes. Errors: SL_MALFORMED.
    enum SlStatus (*parse)(const uint8_t *bytes, uint32_t length_bytes,
                           struct SlSegment *segment);
    /// Builds a reset from the service to the caller of flow. Returns its
    /// length in bytes. out: a buffer of SL_SEGMENT_RESET_BYTES.
    uint32_t (*build_reset)(const struct SlFlowKey *flow, uint32_t seq,
                            uint8_t *out);
    /// Clears the returned flag, so that another upstream receives the segment
    /// as its sender wrote it.
    void (*clear_returned)(uint8_t *bytes);
};

/// Returns the key of the flow that a segment from a caller belongs to: the
/// caller is the segment's source. Also for such a segment that an upstream
/// has returned.
struct SlFlowKey
SlSegment_FlowKeyFromCaller(const struct SlSegment *segment);
/// Returns the key of the flow that a segment from an upstream belongs to: the
/// caller is the segment's destination.
struct SlFlowKey
SlSegment_FlowKeyFromUpstream(const struct SlSegment *segment);

#endif
