/// Fuzzes tunnel datagrams. A datagram that decodes must encode, and decode to
/// an equal one again.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/protocol/tunnel.h"

enum {
    INPUT_MAX_BYTES = 4096,
};

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    static uint8_t reencoded[INPUT_MAX_BYTES + SL_TUNNEL_HEADER_MAX_BYTES];
    struct SlTunnel tunnel;
    struct SlTunnel decoded;
    uint32_t length = sizeof(reencoded);

    if (length_bytes > INPUT_MAX_BYTES ||
        SlTunnel_Decode(bytes, (uint32_t)length_bytes, &tunnel) != SL_OK) {
        return 0;
    }
    fuzz_require(tunnel.passed_on_count <= SL_TUNNEL_PASSED_ON_MAX);
    fuzz_require(strcmp(SlTunnelKind_Name(tunnel.kind), "unknown") != 0);
    fuzz_require(SlTunnel_Encode(&tunnel, reencoded, &length) == SL_OK);
    fuzz_require(SlTunnel_Decode(reencoded, length, &decoded) == SL_OK);
    fuzz_require(decoded.packet_bytes == tunnel.packet_bytes);
    fuzz_require(memcmp(decoded.packet, tunnel.packet, tunnel.packet_bytes) ==
                 0);
    decoded.packet = tunnel.packet;
    fuzz_require(memcmp(&decoded, &tunnel, sizeof(decoded)) == 0);
    return 0;
}
