/// Frames of the relay: what decodes encodes to something that decodes alike.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/protocol/relay.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    struct SlRelayFrame frame;
    struct SlRelayFrame again;
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
    must(SlRelayFrame_Decode(encoded, encoded_bytes, &again) == SL_OK);
    must(again.kind == frame.kind && again.sender == frame.sender);
    must(SlFlowKey_Equal(&again.flow, &frame.flow));
    must(again.segment_bytes == frame.segment_bytes);
    return 0;
}
