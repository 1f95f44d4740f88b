/// Fuzzes frames of the relay. A frame that decodes and can be encoded must
/// decode again, with the same kind, sender, flow and segment length.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/protocol/relay.h"

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
    must(frame.segment_bytes <= length_bytes);
    must(frame.declined_count <= SL_RELAY_DECLINED_MAX);
    encoded_bytes = SlRelayFrame_Encode(&frame, encoded);
    if (encoded_bytes == 0) {
        return 0;
    }
    must(SlRelayFrame_Decode(encoded, encoded_bytes, &decoded) == SL_OK);
    must(decoded.kind == frame.kind && decoded.sender == frame.sender);
    must(SlFlowKey_Equal(&decoded.flow, &frame.flow));
    must(decoded.segment_bytes == frame.segment_bytes);
    return 0;
}
