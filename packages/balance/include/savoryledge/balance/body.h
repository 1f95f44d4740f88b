#ifndef SAVORYLEDGE_BALANCE_BODY_H
#define SAVORYLEDGE_BALANCE_BODY_H

/// Finds the end of a request's body from its segments, without reading the
/// bytes.
///
/// Load pattern: requests with long bodies arrive over slow links, where a
/// body is in transfer for a hundred times as long as the upstream works on
/// the request. Segments are lost, reordered and retransmitted, and some
/// callers stop halfway. A slot of the upstream is occupied only from the end
/// of the body.
///
/// A caller fills all segments of a body but the last one. So the body has
/// ended when all data up to a segment has arrived and that segment is shorter
/// than the largest one of the flow. A body whose last segment is full ends
/// when its caller sends nothing for longer than it waits with a
/// retransmission. More data after the end shows that the end was assumed too
/// early; the body is in transfer again.

#include <stdbool.h>
#include <stdint.h>

enum {
    /// Ranges of data that are kept while data before them is missing: as many
    /// as a caller has segments in flight. Data of further ranges counts when
    /// it is sent again or acknowledged by the upstream.
    SL_BODY_RANGES_MAX = 16,
};

enum SlBodyState {
    /// The caller is sending the body.
    SL_BODY_TRANSFER = 0,
    /// All of the body has arrived.
    SL_BODY_ENDED,
    /// Part of the body is missing, and the caller has sent nothing for longer
    /// than its longest interval between retransmissions.
    SL_BODY_STALLED,
};

struct SlBodyRange {
    uint32_t begin_seq;
    uint32_t end_seq;
};

/// The body of one request. Initialise with SlBody_Begin.
struct SlBody {
    /// All data before this sequence number has arrived.
    uint32_t complete_seq;
    /// End of the data that has arrived so far.
    uint32_t end_seq;
    /// Largest segment, and the length of the one that ends at end_seq; 0
    /// before the first segment.
    uint32_t largest_bytes;
    uint32_t last_bytes;
    /// Length of a full segment as other flows have it, and the sequence
    /// number of the segment that arrived first. They are used until a second
    /// segment has arrived.
    uint32_t full_bytes;
    uint32_t first_seq;
    bool has_several;
    /// When the last data arrived, microseconds.
    uint64_t last_data_us;
    uint32_t range_count;
    struct SlBodyRange ranges[SL_BODY_RANGES_MAX];
};

/// Begins a body. seq: sequence number of its first byte. full_bytes: length
/// of a full segment as far as it is known from other flows, 0 when unknown;
/// it decides only whether a first segment is a whole body.
void
SlBody_Begin(struct SlBody *body, uint64_t now_us, uint32_t seq,
             uint32_t full_bytes);
/// Records a segment with data that was passed to the upstream.
void
SlBody_AddSegment(struct SlBody *body, uint64_t now_us, uint32_t seq,
                  uint32_t length_bytes);
/// Records that the upstream has acknowledged all data before ack.
void
SlBody_Acknowledge(struct SlBody *body, uint32_t ack);
/// True when no data before the end of the last segment is missing.
bool
SlBody_IsGapless(const struct SlBody *body);
/// Returns the state of the body at now_us.
enum SlBodyState
SlBody_State(const struct SlBody *body, uint64_t now_us);

#endif
