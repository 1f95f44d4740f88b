#ifndef SAVORYLEDGE_COMMON_SEGMENT_H
#define SAVORYLEDGE_COMMON_SEGMENT_H

/// Segments of flows, whatever their bytes look like. The relay (see
/// coordination/relay_entry.h and relay_agent.h) reads and builds packets
/// through one vtable for each format and knows none of them.
///
/// A format needs an upstream that gives a segment back when it cannot take
/// it: the opening segment of a flow that it has no room for, and any segment
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
    /// The upstream gave the segment back.
    SL_SEGMENT_RETURNED = 0x10,
};

enum {
    /// Largest segment of any format.
    SL_SEGMENT_MAX_BYTES = 1400,
    /// Room for the largest reset that a format builds.
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
    uint32_t seq;
    uint32_t ack;
    uint32_t payload_bytes;
    /// Opening segments: how long ago the caller sent its first copy,
    /// milliseconds; 0 when the format does not tell.
    uint32_t age_ms;
};

struct SlSegmentFormat {
    const char *name;
    /// Errors: SL_MALFORMED.
    enum SlStatus (*parse)(const uint8_t *bytes, uint32_t length_bytes,
                           struct SlSegment *segment);
    /// Builds a reset from the service to the caller of flow. Returns its
    /// length in bytes. out: SL_SEGMENT_RESET_BYTES of room.
    uint32_t (*build_reset)(const struct SlFlowKey *flow, uint32_t seq,
                            uint8_t *out);
    /// Takes the returned mark off, so that another upstream gets the segment
    /// as its sender wrote it.
    void (*clear_returned)(uint8_t *bytes);
};

/// The flow of a segment that came from a caller, or, when the upstream gave
/// it back, that a caller sent.
struct SlFlowKey
SlSegment_CallerKey(const struct SlSegment *segment);
/// The flow of a segment that an upstream sent.
struct SlFlowKey
SlSegment_UpstreamKey(const struct SlSegment *segment);

#endif
