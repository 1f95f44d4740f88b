/// Packet sizes and the tunnel's MTU: MSS clamping and "packet too big"
/// answers.

#include <netinet/in.h>
#include <string.h>

#include "entry_internal.h"

enum {
    IPV4_TCP_HEADERS_BYTES = 40,
    IPV6_TCP_HEADERS_BYTES = 60,
    IPV4_PROTOCOL_OFFSET = 9,
    IPV6_PROTOCOL_OFFSET = 6,
};

bool
entry_refuse_too_big(const struct entry_call *call,
                     const struct SlPacket *packet)
{
    uint16_t mtu = call->entry->options.tunnel_mtu_bytes;
    uint8_t answer[SL_PACKET_ANSWER_BYTES];
    struct SlFlowKey flow;
    uint32_t length;

    if (packet->length_bytes <= mtu || !packet->dont_fragment) {
        return false;
    }
    entry_increment_counter(call, COUNT_TOO_BIG);
    SlPacket_FlowKeyFromCaller(packet, &flow);
    entry_log_event(call, (struct SlEvent){.number = SL_EVENT_TOO_BIG,
                                           .flow = &flow,
                                           .value = packet->length_bytes,
                                           .limit = mtu});
    length = SlPacket_BuildIcmp(packet, SL_ICMP_TOO_BIG, mtu, answer,
                                sizeof(answer));
    if (length > 0) {
        call->sink->type->send_to_caller(call->sink, answer, length);
    }
    return true;
}

/// Cheap test that skips parsing for packets that cannot be TCP.
static bool
may_be_tcp(const uint8_t *bytes, uint32_t length_bytes)
{
    if (length_bytes < IPV4_TCP_HEADERS_BYTES) {
        return false;
    }
    return bytes[0] >> 4 == 4 ? bytes[IPV4_PROTOCOL_OFFSET] == IPPROTO_TCP
                              : bytes[IPV6_PROTOCOL_OFFSET] != IPPROTO_UDP;
}

const uint8_t *
entry_clamp_mss(const struct SlEntry *entry, const uint8_t *bytes,
                uint32_t length_bytes, uint8_t copy[SL_PACKET_MTU_BYTES])
{
    struct SlPacket packet;
    uint16_t headers;

    if (!may_be_tcp(bytes, length_bytes) ||
        SlPacket_Parse(bytes, length_bytes, &packet) != SL_OK ||
        packet.kind != SL_PACKET_TCP || !(packet.tcp_flags & SL_TCP_SYN) ||
        length_bytes > SL_PACKET_MTU_BYTES) {
        return bytes;
    }
    headers = SlAddress_IsIpv4(&packet.source) ? IPV4_TCP_HEADERS_BYTES
                                               : IPV6_TCP_HEADERS_BYTES;
    memcpy(copy, bytes, length_bytes);
    SlPacket_ClampMss(copy, length_bytes,
                      (uint16_t)(entry->options.tunnel_mtu_bytes - headers));
    return copy;
}
