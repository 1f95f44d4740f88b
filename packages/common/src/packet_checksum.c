/// The Internet checksum (RFC 1071) and its incremental update (RFC 1624).

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "packet_internal.h"

enum {
    MSS_OPTION_BYTES = 4,
};

uint64_t
packet_sum(uint64_t sum, const uint8_t *bytes, uint32_t length_bytes)
{
    uint32_t word;
    uint16_t half = 0;

    while (length_bytes >= sizeof(word)) {
        memcpy(&word, bytes, sizeof(word));
        sum += word;
        bytes += sizeof(word);
        length_bytes -= sizeof(word);
    }
    if (length_bytes >= sizeof(half)) {
        memcpy(&half, bytes, sizeof(half));
        sum += half;
        bytes += sizeof(half);
        length_bytes -= sizeof(half);
    }
    if (length_bytes > 0) {
        half = 0;
        memcpy(&half, bytes, 1);
        sum += half;
    }
    return sum;
}

uint16_t
packet_fold(uint64_t sum)
{
    while (sum > UINT16_MAX) {
        sum = (sum & UINT16_MAX) + (sum >> 16);
    }
    return (uint16_t)~sum;
}

uint64_t
packet_pseudo_sum(const struct SlAddress *source,
                  const struct SlAddress *destination, uint8_t protocol,
                  uint32_t length_bytes)
{
    uint32_t skipped_bytes = SlAddress_IsIpv4(source) ? 12 : 0;
    uint64_t sum =
        packet_sum(0, source->ip + skipped_bytes, 16 - skipped_bytes);

    sum = packet_sum(sum, destination->ip + skipped_bytes, 16 - skipped_bytes);
    return sum + htons(protocol) + htons((uint16_t)length_bytes);
}

bool
SlPacket_ChecksumOk(const struct SlPacket *packet)
{
    const uint8_t *transport = packet->bytes + packet->transport_offset;
    uint32_t length = packet->payload_offset + packet->payload_bytes -
                      packet->transport_offset;
    uint64_t sum;

    if (packet->kind != SL_PACKET_TCP && packet->kind != SL_PACKET_UDP) {
        return false;
    }
    if (packet->kind == SL_PACKET_UDP && transport[6] == 0 &&
        transport[7] == 0) {
        return SlAddress_IsIpv4(&packet->source);
    }
    sum = packet_pseudo_sum(&packet->source, &packet->destination,
                            packet->protocol, length);
    return packet_fold(packet_sum(sum, transport, length)) == 0;
}

/// Returns the MSS option in the options of a TCP header, NULL when there is
/// none or the options are malformed.
static uint8_t *
find_mss(uint8_t *options, uint32_t length_bytes)
{
    uint32_t offset = 0;

    while (offset < length_bytes && options[offset] != TCPOPT_EOL) {
        if (options[offset] == TCPOPT_NOP) {
            offset++;
            continue;
        }
        if (offset + 1 >= length_bytes || options[offset + 1] < 2 ||
            offset + options[offset + 1] > length_bytes) {
            return NULL;
        }
        if (options[offset] == TCPOPT_MAXSEG &&
            options[offset + 1] == MSS_OPTION_BYTES) {
            return options + offset;
        }
        offset += options[offset + 1];
    }
    return NULL;
}

/// Returns the checksum after a 16-bit value has changed from old to new
/// (RFC 1624, equation 3).
static uint16_t
replace_word(uint16_t check, uint16_t old, uint16_t new)
{
    return packet_fold((uint64_t)(uint16_t)~check + (uint16_t)~old + new);
}

static void
set_mss(uint8_t *tcp, uint8_t *value, uint16_t mss_bytes)
{
    uint16_t check;
    uint16_t old;
    uint16_t new = htons(mss_bytes);
    uint8_t *check_field = tcp + offsetof(struct tcphdr, th_sum);

    memcpy(&old, value, sizeof(old));
    memcpy(&check, check_field, sizeof(check));
    memcpy(value, &new, sizeof(new));
    if ((value - tcp) % 2 != 0) {
        /* At an odd offset the value spans two 16-bit words, so its bytes
           count in swapped order. */
        old = (uint16_t)(old << 8 | old >> 8);
        new = (uint16_t)(new << 8 | new >> 8);
    }
    check = replace_word(check, old, new);
    memcpy(check_field, &check, sizeof(check));
}

bool
SlPacket_ClampMss(uint8_t *bytes, uint32_t length_bytes, uint16_t mss_bytes)
{
    struct SlPacket packet;
    uint8_t *tcp;
    uint8_t *option;
    uint16_t current_mss_bytes;

    if (SlPacket_Parse(bytes, length_bytes, &packet) != SL_OK ||
        packet.kind != SL_PACKET_TCP || !(packet.tcp_flags & SL_TCP_SYN)) {
        return false;
    }
    tcp = bytes + packet.transport_offset;
    option = find_mss(tcp + PACKET_TCP_HEADER_BYTES,
                      packet.payload_offset - packet.transport_offset -
                          PACKET_TCP_HEADER_BYTES);
    if (option == NULL) {
        return false;
    }
    current_mss_bytes = (uint16_t)(option[2] << 8 | option[3]);
    if (current_mss_bytes <= mss_bytes) {
        return false;
    }
    set_mss(tcp, option + 2, mss_bytes);
    return true;
}
