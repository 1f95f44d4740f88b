#include "savoryledge/balance/body.h"

enum {
    /// A caller retransmits missing data after 200 ms at first. One that has
    /// sent nothing for longer has no unacknowledged data.
    SILENCE_US = 300 * 1000,
    /// The longest interval between retransmissions is 1.6 s. A caller that
    /// has sent nothing for twice that has left.
    STALLED_US = 3400 * 1000,
};

/// True when sequence number a is after b.
static bool
is_after(uint32_t a, uint32_t b)
{
    return (int32_t)(a - b) > 0;
}

void
SlBody_Begin(struct SlBody *body, uint64_t now_us, uint32_t seq,
             uint32_t full_bytes)
{
    *body = (struct SlBody){.complete_seq = seq,
                            .end_seq = seq,
                            .full_bytes = full_bytes,
                            .last_data_us = now_us};
}

/// Moves complete_seq over the kept ranges that it has reached, and removes
/// those.
static void
join_ranges(struct SlBody *body)
{
    uint32_t i = 0;

    while (i < body->range_count) {
        struct SlBodyRange range = body->ranges[i];

        if (is_after(range.begin_seq, body->complete_seq)) {
            i++;
            continue;
        }
        body->ranges[i] = body->ranges[--body->range_count];
        if (is_after(range.end_seq, body->complete_seq)) {
            body->complete_seq = range.end_seq;
            i = 0;
        }
    }
}

static void
keep_range(struct SlBody *body, uint32_t begin_seq, uint32_t end_seq)
{
    for (uint32_t i = 0; i < body->range_count; i++) {
        struct SlBodyRange *range = &body->ranges[i];

        if (range->begin_seq == begin_seq) {
            range->end_seq =
                is_after(end_seq, range->end_seq) ? end_seq : range->end_seq;
            return;
        }
        if (range->end_seq == begin_seq) {
            range->end_seq = end_seq;
            return;
        }
    }
    if (body->range_count < SL_BODY_RANGES_MAX) {
        body->ranges[body->range_count++] =
            (struct SlBodyRange){.begin_seq = begin_seq, .end_seq = end_seq};
    }
}

void
SlBody_AddSegment(struct SlBody *body, uint64_t now_us, uint32_t seq,
                  uint32_t length_bytes)
{
    uint32_t end_seq = seq + length_bytes;

    body->has_several =
        body->has_several || (body->last_bytes > 0 && seq != body->first_seq);
    if (body->last_bytes == 0) {
        body->first_seq = seq;
    }
    body->last_data_us = now_us;
    if (is_after(end_seq, body->end_seq)) {
        body->end_seq = end_seq;
        body->last_bytes = length_bytes;
    }
    if (length_bytes > body->largest_bytes) {
        body->largest_bytes = length_bytes;
    }
    if (is_after(seq, body->complete_seq)) {
        keep_range(body, seq, end_seq);
    }
    else if (is_after(end_seq, body->complete_seq)) {
        body->complete_seq = end_seq;
    }
    join_ranges(body);
}

void
SlBody_Acknowledge(struct SlBody *body, uint32_t ack)
{
    if (is_after(ack, body->complete_seq) && !is_after(ack, body->end_seq)) {
        body->complete_seq = ack;
        join_ranges(body);
    }
}

bool
SlBody_IsGapless(const struct SlBody *body)
{
    return body->complete_seq == body->end_seq && body->last_bytes > 0;
}

enum SlBodyState
SlBody_State(const struct SlBody *body, uint64_t now_us)
{
    uint64_t silent_us = now_us - body->last_data_us;
    uint32_t full_bytes =
        body->has_several ? body->largest_bytes : body->full_bytes;

    if (SlBody_IsGapless(body) &&
        (body->last_bytes < full_bytes || silent_us > SILENCE_US)) {
        return SL_BODY_ENDED;
    }
    return silent_us > STALLED_US ? SL_BODY_STALLED : SL_BODY_TRANSFER;
}
