/// Fuzzes frames of the relay. A frame that decodes and can be encoded must
/// decode again, with the same kind, sender, flow and segment length.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/protocol/relay.h"

/// Decodes the segment of a frame as each of the lists that it may be. One
/// that decodes must keep its bound.
static void
decode_lists(const struct SlRelayFrame *frame)
{
    struct SlRelayQueryList queries;
    struct SlRelayUnsureList unsure;
    struct SlRelayTable table;

    if (SlRelayQueryList_Decode(frame->segment, frame->segment_bytes,
                                &queries) == SL_OK) {
        fuzz_require(queries.count <= SL_RELAY_QUERY_ITEMS_MAX);
    }
    if (SlRelayUnsureList_Decode(frame->segment, frame->segment_bytes,
                                 &unsure) == SL_OK) {
        fuzz_require(unsure.count <= SL_RELAY_UNSURE_MAX);
    }
    if (SlRelayTable_Decode(frame->segment, frame->segment_bytes, &table) ==
        SL_OK) {
        fuzz_require(table.count <= SL_RELAY_TABLE_FLOWS_MAX);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    struct SlRelayFrame frame;
    struct SlRelayFrame decoded;
    uint8_t encoded[SL_RELAY_MAX_BYTES];
    uint32_t encoded_bytes;

    if (length_bytes > SL_RELAY_MAX_BYTES ||
        SlRelayFrame_Decode(bytes, (uint32_t)length_bytes, &frame) != SL_OK) {
        return 0;
    }
    fuzz_require(frame.segment_bytes <= length_bytes);
    fuzz_require(frame.declined_count <= SL_RELAY_DECLINED_MAX);
    decode_lists(&frame);
    encoded_bytes = SlRelayFrame_Encode(&frame, encoded);
    if (encoded_bytes == 0) {
        return 0;
    }
    fuzz_require(SlRelayFrame_Decode(encoded, encoded_bytes, &decoded) ==
                 SL_OK);
    fuzz_require(decoded.kind == frame.kind && decoded.sender == frame.sender);
    fuzz_require(SlFlowKey_Equal(&decoded.flow, &frame.flow));
    fuzz_require(decoded.segment_bytes == frame.segment_bytes);
    return 0;
}
