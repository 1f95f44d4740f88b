#include "savoryledge/protocol/tunnel.h"

#include <string.h>

#include "encoding_check.h"
#include "pack_room.h"

enum {
    COMMON_FIELDS = 6,
    LOAD_FIELDS = 4,
    FORWARD_FIELDS = 5,
    FLOW_FIELDS = 5,
    LOCATE_FIELDS = 3,
    IP_BYTES = 16,
    IPV4_BYTES = 4,
    IPV4_OFFSET = 12,
};

/// What a kind carries behind the common fields.
enum part {
    PART_FORWARD = 1,
    PART_FLOW = 2,
    PART_LOCATE = 4,
    PART_LOAD = 8,
    PART_PING = 16,
    PART_PACKET = 32,
};

struct kind_row {
    const char *name;
    uint32_t parts;
};

static const struct kind_row KINDS[SL_TUNNEL_KIND_COUNT] = {
    [SL_TUNNEL_FORWARD] = {"forward", PART_FORWARD | PART_LOAD | PART_PACKET},
    [SL_TUNNEL_RETURN] = {"return", PART_PACKET},
    [SL_TUNNEL_HINT] = {"hint", PART_FLOW | PART_LOCATE},
    [SL_TUNNEL_LOCATE] = {"locate", PART_FLOW | PART_LOCATE | PART_LOAD},
    [SL_TUNNEL_LOCATED] = {"located", PART_FLOW | PART_LOCATE | PART_LOAD},
    [SL_TUNNEL_LOAD] = {"load", PART_LOAD},
    [SL_TUNNEL_PING] = {"ping", PART_PING},
    [SL_TUNNEL_PONG] = {"pong", PART_PING},
    [SL_TUNNEL_FRAGMENT] = {"fragment", PART_PACKET},
};

static uint32_t
field_count(uint32_t parts)
{
    uint32_t count = COMMON_FIELDS;

    count += parts & PART_FORWARD ? FORWARD_FIELDS : 0;
    count += parts & PART_FLOW ? FLOW_FIELDS : 0;
    count += parts & PART_LOCATE ? LOCATE_FIELDS : 0;
    count += parts & PART_LOAD ? LOAD_FIELDS : 0;
    count += parts & PART_PING ? 1 : 0;
    return count;
}

static void
pack_ip(struct SlRoom *room, const struct SlAddress *address)
{
    bool short_form = SlAddress_IsIpv4(address);
    size_t length = short_form ? IPV4_BYTES : IP_BYTES;

    room_pack_bin(room, length);
    room_pack_bin_body(room, address->ip + (short_form ? IPV4_OFFSET : 0),
                       length);
}

static void
pack_flow(struct SlRoom *room, const struct SlFlowKey *flow)
{
    room_pack_uint8(room, flow->protocol);
    pack_ip(room, &flow->caller);
    room_pack_uint16(room, flow->caller.port);
    pack_ip(room, &flow->service);
    room_pack_uint16(room, flow->service.port);
}

static void
pack_forward(struct SlRoom *room, const struct SlTunnel *tunnel)
{
    room_pack_uint64(room, tunnel->origin_entry);
    room_pack_array(room, tunnel->passed_on_count);
    for (uint32_t i = 0; i < tunnel->passed_on_count; i++) {
        room_pack_uint64(room, tunnel->passed_on_by[i]);
    }
    room_pack_uint64(room, tunnel->previous_home);
    room_pack_uint64(room, tunnel->skipped_choice);
    room_pack_uint32(room, tunnel->last_seq);
}

static void
pack_common(struct SlRoom *room, const struct SlTunnel *tunnel)
{
    room_pack_array(room, field_count(KINDS[tunnel->kind].parts));
    room_pack_uint32(room, (uint32_t)tunnel->kind);
    room_pack_uint64(room, tunnel->sender);
    room_pack_uint64(room, tunnel->version.term);
    room_pack_uint64(room, tunnel->version.index);
    room_pack_uint32(room, tunnel->flags);
    room_pack_uint64(room, tunnel->service_id);
}

static void
pack_parts(struct SlRoom *room, const struct SlTunnel *tunnel)
{
    uint32_t parts = KINDS[tunnel->kind].parts;

    if (parts & PART_FORWARD) {
        pack_forward(room, tunnel);
    }
    if (parts & PART_FLOW) {
        pack_flow(room, &tunnel->flow);
    }
    if (parts & PART_LOCATE) {
        room_pack_uint64(room, tunnel->holder);
        room_pack_uint32(room, (uint32_t)tunnel->answer);
        room_pack_uint32(room, tunnel->last_seq);
    }
    if (parts & PART_LOAD) {
        room_pack_uint32(room, tunnel->load_flows);
        room_pack_uint32(room, tunnel->load_capacity);
        room_pack_uint32(room, tunnel->load_exchanges);
        room_pack_uint32(room, tunnel->load_free_capacity);
    }
    if (parts & PART_PING) {
        room_pack_uint64(room, tunnel->ping_us);
    }
}

enum SlStatus
SlTunnel_Encode(const struct SlTunnel *tunnel, uint8_t *out,
                uint32_t *length_bytes)
{
    struct SlRoom room = {.bytes = out, .size_bytes = *length_bytes};

    pack_common(&room, tunnel);
    pack_parts(&room, tunnel);
    if (KINDS[tunnel->kind].parts & PART_PACKET) {
        SlRoom_Write(&room, tunnel->packet, tunnel->packet_bytes);
    }
    if (room.full) {
        return SL_TOO_LONG;
    }
    *length_bytes = room.used_bytes;
    return SL_OK;
}

/// Reads elements of an array in turn; one that does not fit marks it bad.
struct reader {
    const msgpack_object *next;
    uint32_t left;
    bool bad;
};

static const msgpack_object *
take(struct reader *reader, msgpack_object_type type)
{
    if (reader->bad || reader->left == 0 || reader->next->type != type) {
        reader->bad = true;
        return NULL;
    }
    reader->left--;
    return reader->next++;
}

static uint64_t
take_number(struct reader *reader, uint64_t limit)
{
    const msgpack_object *value =
        take(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

    if (value == NULL || value->via.u64 > limit) {
        reader->bad = true;
        return 0;
    }
    return value->via.u64;
}

static void
take_address(struct reader *reader, struct SlAddress *address)
{
    const msgpack_object *value = take(reader, MSGPACK_OBJECT_BIN);

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
        reader->bad = true;
    }
    address->port = (uint16_t)take_number(reader, UINT16_MAX);
}

static void
take_visited(struct reader *reader, struct SlTunnel *tunnel)
{
    const msgpack_object *value = take(reader, MSGPACK_OBJECT_ARRAY);
    struct reader inner;

    if (value == NULL || value->via.array.size > SL_TUNNEL_PASSED_ON_MAX) {
        reader->bad = true;
        return;
    }
    inner = (struct reader){.next = value->via.array.ptr,
                            .left = value->via.array.size};
    tunnel->passed_on_count = value->via.array.size;
    for (uint32_t i = 0; i < tunnel->passed_on_count; i++) {
        tunnel->passed_on_by[i] = take_number(&inner, UINT64_MAX);
    }
    reader->bad |= inner.bad;
}

static void
take_parts(struct reader *reader, uint32_t parts, struct SlTunnel *tunnel)
{
    if (parts & PART_FORWARD) {
        tunnel->origin_entry = take_number(reader, UINT64_MAX);
        take_visited(reader, tunnel);
        tunnel->previous_home = take_number(reader, UINT64_MAX);
        tunnel->skipped_choice = take_number(reader, UINT64_MAX);
        tunnel->last_seq = (uint32_t)take_number(reader, UINT32_MAX);
    }
    if (parts & PART_FLOW) {
        tunnel->flow.protocol = (uint8_t)take_number(reader, UINT8_MAX);
        take_address(reader, &tunnel->flow.caller);
        take_address(reader, &tunnel->flow.service);
    }
    if (parts & PART_LOCATE) {
        tunnel->holder = take_number(reader, UINT64_MAX);
        tunnel->answer =
            (enum SlLocateAnswer)take_number(reader, SL_LOCATE_CLAIMED);
        tunnel->last_seq = (uint32_t)take_number(reader, UINT32_MAX);
    }
    if (parts & PART_LOAD) {
        tunnel->load_flows = (uint32_t)take_number(reader, UINT32_MAX);
        tunnel->load_capacity = (uint32_t)take_number(reader, UINT32_MAX);
        tunnel->load_exchanges = (uint32_t)take_number(reader, UINT32_MAX);
        tunnel->load_free_capacity = (uint32_t)take_number(reader, UINT32_MAX);
    }
    if (parts & PART_PING) {
        tunnel->ping_us = take_number(reader, UINT64_MAX);
    }
}

/// Reads the unpacked header; false on any deviation.
static bool
read_header(const msgpack_object *header, struct SlTunnel *tunnel)
{
    struct reader reader;

    if (header->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    reader = (struct reader){.next = header->via.array.ptr,
                             .left = header->via.array.size};
    tunnel->kind =
        (enum SlTunnelKind)take_number(&reader, SL_TUNNEL_KIND_COUNT - 1);
    tunnel->sender = take_number(&reader, UINT64_MAX);
    tunnel->version.term = take_number(&reader, UINT64_MAX);
    tunnel->version.index = take_number(&reader, UINT64_MAX);
    tunnel->flags = (uint32_t)take_number(&reader, UINT32_MAX);
    tunnel->service_id = take_number(&reader, UINT64_MAX);
    if (reader.bad || tunnel->kind == SL_TUNNEL_NONE) {
        return false;
    }
    take_parts(&reader, KINDS[tunnel->kind].parts, tunnel);
    return !reader.bad && reader.left == 0;
}

enum SlStatus
SlTunnel_Decode(const uint8_t *bytes, uint32_t length_bytes,
                struct SlTunnel *tunnel)
{
    msgpack_zone zone;
    msgpack_object header;
    size_t offset = 0;
    msgpack_unpack_return unpacked;
    bool good;

    memset(tunnel, 0, sizeof(*tunnel));
    if (!shape_is_sound(bytes, length_bytes)) {
        return SL_MALFORMED;
    }
    if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE)) {
        return SL_NO_MEMORY;
    }
    unpacked = msgpack_unpack((const char *)bytes, length_bytes, &offset,
                              &zone, &header);
    good = (unpacked == MSGPACK_UNPACK_SUCCESS ||
            unpacked == MSGPACK_UNPACK_EXTRA_BYTES) &&
           read_header(&header, tunnel);
    msgpack_zone_destroy(&zone);
    if (!good) {
        return SL_MALFORMED;
    }
    tunnel->packet = bytes + offset;
    tunnel->packet_bytes = length_bytes - (uint32_t)offset;
    if (tunnel->packet_bytes != 0 &&
        !(KINDS[tunnel->kind].parts & PART_PACKET)) {
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
