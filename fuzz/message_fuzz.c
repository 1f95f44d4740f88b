/// Fuzzes messages of links. A message that decodes must encode and decode
/// again.

#include "fuzz.h"
#include "savoryledge/protocol/message.h"

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    struct SlBuffer buffer = {.bytes = NULL};
    struct SlMessage message;
    struct SlMessage decoded;

    if (SlMessage_Decode(bytes, length_bytes, &message) != SL_OK) {
        return 0;
    }
    fuzz_require(SlMessage_Encode(&message, &buffer) == SL_OK);
    fuzz_require(SlMessage_Decode(buffer.bytes, buffer.length_bytes,
                                  &decoded) == SL_OK);
    fuzz_require(decoded.kind == message.kind);
    SlMessage_Release(&decoded);
    SlMessage_Release(&message);
    SlBuffer_Release(&buffer);
    return 0;
}
