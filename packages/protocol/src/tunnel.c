#include "savoryledge/protocol/tunnel.h"

#include <string.h>

#include "pack_buffer.h"
#include "savoryledge/protocol/encoding.h"

enum {
    COMMON_FIELD_COUNT = 6,
    LOAD_FIELD_COUNT = 4,
    FORWARD_FIELD_COUNT = 5,
    FLOW_FIELD_COUNT = 5,
    LOCATE_FIELD_COUNT = 3,
    IP_BYTES = 16,
    IPV4_BYTES = 4,
    IPV4_OFFSET = 12,
};

/// The groups of fields that follow the common fields in a kind of datagram.
enum field_group {
    GROUP_FORWARD = 1,
    GROUP_FLOW = 2,
    GROUP_LOCATE = 4,
    GROUP_LOAD = 8,
    GROUP_PING = 16,
    GROUP_PACKET = 32,
};

struct kind_row {
    const char *name;
    uint32_t groups;
};

static const struct kind_row KINDS[SL_TUNNEL_KIND_COUNT] = {
    [SL_TUNNEL_FORWARD] = {"forward",
                           GROUP_FORWARD | GROUP_LOAD | GROUP_PACKET},
    [SL_TUNNEL_RETURN] = {"return", GROUP_PACKET},
    [SL_TUNNEL_HINT] = {"hint", GROUP_FLOW | GROUP_LOCATE},
    [SL_TUNNEL_LOCATE] = {"locate", GROUP_FLOW | GROUP_LOCATE | GROUP_LOAD},
    [SL_TUNNEL_LOCATED] = {"located", GROUP_FLOW | GROUP_LOCATE | GROUP_LOAD},
    [SL_TUNNEL_LOAD] = {"load", GROUP_LOAD},
    [SL_TUNNEL_PING] = {"ping", GROUP_PING},
    [SL_TUNNEL_PONG] = {"pong", GROUP_PING},
    [SL_TUNNEL_FRAGMENT] = {"fragment", GROUP_PACKET},
};

static uint32_t
field_count(uint32_t groups)
{
    uint32_t count = COMMON_FIELD_COUNT;

    count += groups & GROUP_FORWARD ? FORWARD_FIELD_COUNT : 0;
    count += groups & GROUP_FLOW ? FLOW_FIELD_COUNT : 0;
    count += groups & GROUP_LOCATE ? LOCATE_FIELD_COUNT : 0;
    count += groups & GROUP_LOAD ? LOAD_FIELD_COUNT : 0;
    count += groups & GROUP_PING ? 1 : 0;
    return count;
}

static void
pack_ip(struct SlPackBuffer *buffer, const struct SlAddress *address)
{
    bool is_ipv4 = SlAddress_IsIpv4(address);
    size_t length = is_ipv4 ? IPV4_BYTES : IP_BYTES;

    buffer_pack_bin(buffer, length);
    buffer_pack_bin_body(buffer, address->ip + (is_ipv4 ? IPV4_OFFSET : 0),
                         length);
}

static void
pack_flow(struct SlPackBuffer *buffer, const struct SlFlowKey *flow)
{
    buffer_pack_uint8(buffer, flow->protocol);
    pack_ip(buffer, &flow->caller);
    buffer_pack_uint16(buffer, flow->caller.port);
    pack_ip(buffer, &flow->service);
    buffer_pack_uint16(buffer, flow->service.port);
}

static void
pack_forward(struct SlPackBuffer *buffer, const struct SlTunnel *tunnel)
{
    buffer_pack_uint64(buffer, tunnel->origin_entry);
    buffer_pack_array(buffer, tunnel->passed_on_count);
    for (uint32_t i = 0; i < tunnel->passed_on_count; i++) {
        buffer_pack_uint64(buffer, tunnel->passed_on_by[i]);
    }
    buffer_pack_uint64(buffer, tunnel->previous_home);
    buffer_pack_uint64(buffer, tunnel->skipped_choice);
    buffer_pack_uint32(buffer, tunnel->last_seq);
}

static void
pack_common_fields(struct SlPackBuffer *buffer, const struct SlTunnel *tunnel)
{
    buffer_pack_array(buffer, field_count(KINDS[tunnel->kind].groups));
    buffer_pack_uint32(buffer, (uint32_t)tunnel->kind);
    buffer_pack_uint64(buffer, tunnel->sender);
    buffer_pack_uint64(buffer, tunnel->version.term);
    buffer_pack_uint64(buffer, tunnel->version.index);
    buffer_pack_uint32(buffer, tunnel->flags);
    buffer_pack_uint64(buffer, tunnel->service_id);
}

static void
pack_groups(struct SlPackBuffer *buffer, const struct SlTunnel *tunnel)
{
    uint32_t groups = KINDS[tunnel->kind].groups;

    if (groups & GROUP_FORWARD) {
        pack_forward(buffer, tunnel);
    }
    if (groups & GROUP_FLOW) {
        pack_flow(buffer, &tunnel->flow);
    }
    if (groups & GROUP_LOCATE) {
        buffer_pack_uint64(buffer, tunnel->holder);
        buffer_pack_uint32(buffer, (uint32_t)tunnel->answer);
        buffer_pack_uint32(buffer, tunnel->last_seq);
    }
    if (groups & GROUP_LOAD) {
        buffer_pack_uint32(buffer, tunnel->load_flows);
        buffer_pack_uint32(buffer, tunnel->load_capacity);
        buffer_pack_uint32(buffer, tunnel->load_exchanges);
        buffer_pack_uint32(buffer, tunnel->load_free_capacity);
    }
    if (groups & GROUP_PING) {
        buffer_pack_uint64(buffer, tunnel->ping_us);
    }
}

enum SlStatus
SlTunnel_Encode(const struct SlTunnel *tunnel, uint8_t *out,
                uint32_t *length_bytes)
{
    struct SlPackBuffer buffer = {.bytes = out, .size_bytes = *length_bytes};

    pack_common_fields(&buffer, tunnel);
    pack_groups(&buffer, tunnel);
    if (KINDS[tunnel->kind].groups & GROUP_PACKET) {
        SlPackBuffer_Write(&buffer, tunnel->packet, tunnel->packet_bytes);
    }
    if (buffer.full) {
        return SL_TOO_LONG;
    }
    *length_bytes = buffer.used_bytes;
    return SL_OK;
}

/// Reads the elements of a msgpack array in order. An element of the wrong
/// type or out of range sets malformed.
struct reader {
    const msgpack_object *next;
    uint32_t remaining;
    bool malformed;
};

static const msgpack_object *
take_element(struct reader *reader, msgpack_object_type type)
{
    if (reader->malformed || reader->remaining == 0 ||
        reader->next->type != type) {
        reader->malformed = true;
        return NULL;
    }
    reader->remaining--;
    return reader->next++;
}

static uint64_t
take_number(struct reader *reader, uint64_t limit)
{
    const msgpack_object *value =
        take_element(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

    if (value == NULL || value->via.u64 > limit) {
        reader->malformed = true;
        return 0;
    }
    return value->via.u64;
}

static void
take_address(struct reader *reader, struct SlAddress *address)
{
    const msgpack_object *value = take_element(reader, MSGPACK_OBJECT_BIN);

    if (value == NULL) {
        return;
    }
    if (value->via.bin.size == IP_BYTES) {
        memcpy(address->ip, value->via.bin.ptr, IP_BYTES);
    }
    else if (value->via.bin.size == IPV4_BYTES) {
        address->ip[10] = UINT8_MAX;
        address->ip[11] = UINT8_MAX;
        memcpy(address->ip + IPV4_OFFSET, value->via.bin.ptr, IPV4_BYTES);
    }
    else {
        reader->malformed = true;
    }
    address->port = (uint16_t)take_number(reader, UINT16_MAX);
}

static void
take_visited(struct reader *reader, struct SlTunnel *tunnel)
{
    const msgpack_object *value = take_element(reader, MSGPACK_OBJECT_ARRAY);
    struct reader element_reader;

    if (value == NULL || value->via.array.size > SL_TUNNEL_PASSED_ON_MAX) {
        reader->malformed = true;
        return;
    }
    element_reader = (struct reader){.next = value->via.array.ptr,
                                     .remaining = value->via.array.size};
    tunnel->passed_on_count = value->via.array.size;
    for (uint32_t i = 0; i < tunnel->passed_on_count; i++) {
        tunnel->passed_on_by[i] = take_number(&element_reader, UINT64_MAX);
    }
    reader->malformed |= element_reader.malformed;
}

static void
take_groups(struct reader *reader, uint32_t groups, struct SlTunnel *tunnel)
{
    if (groups & GROUP_FORWARD) {
        tunnel->origin_entry = take_number(reader, UINT64_MAX);
        take_visited(reader, tunnel);
        tunnel->previous_home = take_number(reader, UINT64_MAX);
        tunnel->skipped_choice = take_number(reader, UINT64_MAX);
        tunnel->last_seq = (uint32_t)take_number(reader, UINT32_MAX);
    }
    if (groups & GROUP_FLOW) {
        tunnel->flow.protocol = (uint8_t)take_number(reader, UINT8_MAX);
        take_address(reader, &tunnel->flow.caller);
        take_address(reader, &tunnel->flow.service);
    }
    if (groups & GROUP_LOCATE) {
        tunnel->holder = take_number(reader, UINT64_MAX);
        tunnel->answer =
            (enum SlLocateAnswer)take_number(reader, SL_LOCATE_CLAIMED);
        tunnel->last_seq = (uint32_t)take_number(reader, UINT32_MAX);
    }
    if (groups & GROUP_LOAD) {
        tunnel->load_flows = (uint32_t)take_number(reader, UINT32_MAX);
        tunnel->load_capacity = (uint32_t)take_number(reader, UINT32_MAX);
        tunnel->load_exchanges = (uint32_t)take_number(reader, UINT32_MAX);
        tunnel->load_free_capacity = (uint32_t)take_number(reader, UINT32_MAX);
    }
    if (groups & GROUP_PING) {
        tunnel->ping_us = take_number(reader, UINT64_MAX);
    }
}

/// Reads the unpacked header; false when it deviates from the format.
static bool
read_header(const msgpack_object *header, struct SlTunnel *tunnel)
{
    struct reader reader;

    if (header->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    reader = (struct reader){.next = header->via.array.ptr,
                             .remaining = header->via.array.size};
    tunnel->kind =
        (enum SlTunnelKind)take_number(&reader, SL_TUNNEL_KIND_COUNT - 1);
    tunnel->sender = take_number(&reader, UINT64_MAX);
    tunnel->version.term = take_number(&reader, UINT64_MAX);
    tunnel->version.index = take_number(&reader, UINT64_MAX);
    tunnel->flags = (uint32_t)take_number(&reader, UINT32_MAX);
    tunnel->service_id = take_number(&reader, UINT64_MAX);
    if (reader.malformed || tunnel->kind == SL_TUNNEL_NONE) {
        return false;
    }
    take_groups(&reader, KINDS[tunnel->kind].groups, tunnel);
    return !reader.malformed && reader.remaining == 0;
}

enum SlStatus
SlTunnel_Decode(const uint8_t *bytes, uint32_t length_bytes,
                struct SlTunnel *tunnel)
{
    msgpack_zone zone;
    msgpack_object header;
    size_t offset = 0;
    msgpack_unpack_return unpacked;
    bool valid;

    memset(tunnel, 0, sizeof(*tunnel));
    if (!SlEncoding_IsWellFormed(bytes, length_bytes,
                                 SL_ENCODING_DATAGRAM_VALUES_MAX)) {
        return SL_MALFORMED;
    }
    if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE)) {
        return SL_NO_MEMORY;
    }
    unpacked = msgpack_unpack((const char *)bytes, length_bytes, &offset,
                              &zone, &header);
    valid = (unpacked == MSGPACK_UNPACK_SUCCESS ||
             unpacked == MSGPACK_UNPACK_EXTRA_BYTES) &&
            read_header(&header, tunnel);
    msgpack_zone_destroy(&zone);
    if (!valid) {
        return SL_MALFORMED;
    }
    tunnel->packet = bytes + offset;
    tunnel->packet_bytes = length_bytes - (uint32_t)offset;
    if (tunnel->packet_bytes != 0 &&
        !(KINDS[tunnel->kind].groups & GROUP_PACKET)) {
        return SL_MALFORMED;
    }
    return SL_OK;
}

const char *
SlTunnelKind_Name(enum SlTunnelKind kind)
{
    if ((uint32_t)kind >= SL_TUNNEL_KIND_COUNT || kind == SL_TUNNEL_NONE) {
        return "unknown";
    }
    return KINDS[kind].name;
}
