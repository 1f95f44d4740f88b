/// Datagrams: whatever is accepted can be encoded, and reads the same again.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/protocol/tunnel.h"

enum {
    INPUT_MAX_BYTES = 4096,
};

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    static uint8_t again[INPUT_MAX_BYTES + SL_TUNNEL_HEADER_MAX_BYTES];
    struct SlTunnel tunnel;
    struct SlTunnel copy;
    uint32_t length = sizeof(again);

    if (length_bytes > INPUT_MAX_BYTES ||
        SlTunnel_Decode(bytes, (uint32_t)length_bytes, &tunnel) != SL_OK) {
        return 0;
    }
    must(tunnel.passed_on_count <= SL_TUNNEL_PASSED_ON_MAX);
    must(strcmp(SlTunnelKind_Name(tunnel.kind), "unknown") != 0);
    must(SlTunnel_Encode(&tunnel, again, &length) == SL_OK);
    must(SlTunnel_Decode(again, length, &copy) == SL_OK);
    must(copy.packet_bytes == tunnel.packet_bytes);
    must(memcmp(copy.packet, tunnel.packet, tunnel.packet_bytes) == 0);
    copy.packet = tunnel.packet;
    must(memcmp(&copy, &tunnel, sizeof(copy)) == 0);
    return 0;
}
