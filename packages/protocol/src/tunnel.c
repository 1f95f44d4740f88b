#include "savoryledge/protocol/tunnel.h"

#include <string.h>

#include <msgpack.h>

#include "shape.h"

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

/// Room being filled; a write that does not fit marks it full.
struct room {
    uint8_t *bytes;
    uint32_t used_bytes;
    uint32_t size_bytes;
    bool full;
};

/// Numbers come as 1, 2, 3, 5 or 9 bytes: copies of a known length are much
/// cheaper than calls, and this is done for each field of each datagram.
static void
copy_field(uint8_t *to, const char *from, size_t length_bytes)
{
    switch (length_bytes) {
    case 1:
        *to = (uint8_t)*from;
        break;
    case 2:
        memcpy(to, from, 2);
        break;
    case 3:
        memcpy(to, from, 3);
        break;
    case 5:
        memcpy(to, from, 5);
        break;
    case 9:
        memcpy(to, from, 9);
        break;
    default:
        memcpy(to, from, length_bytes);
        break;
    }
}

static int
write_to_room(void *data, const char *bytes, size_t length_bytes)
{
    struct room *room = data;

    if (room->full || room->size_bytes - room->used_bytes < length_bytes) {
        room->full = true;
        return -1;
    }
    copy_field(room->bytes + room->used_bytes, bytes, length_bytes);
    room->used_bytes += (uint32_t)length_bytes;
    return 0;
}

static void
pack_ip(msgpack_packer *packer, const struct SlAddress *address)
{
    bool short_form = SlAddress_IsIpv4(address);
    size_t length = short_form ? IPV4_BYTES : IP_BYTES;

    msgpack_pack_bin(packer, length);
    msgpack_pack_bin_body(packer, address->ip + (short_form ? IPV4_OFFSET : 0),
                          length);
}

static void
pack_flow(msgpack_packer *packer, const struct SlFlowKey *flow)
{
    msgpack_pack_uint8(packer, flow->protocol);
    pack_ip(packer, &flow->caller);
    msgpack_pack_uint16(packer, flow->caller.port);
    pack_ip(packer, &flow->service);
    msgpack_pack_uint16(packer, flow->service.port);
}

static void
pack_forward(msgpack_packer *packer, const struct SlTunnel *tunnel)
{
    msgpack_pack_uint64(packer, tunnel->origin);
    msgpack_pack_array(packer, tunnel->visited_count);
    for (uint32_t i = 0; i < tunnel->visited_count; i++) {
        msgpack_pack_uint64(packer, tunnel->visited[i]);
    }
    msgpack_pack_uint64(packer, tunnel->previous);
    msgpack_pack_uint64(packer, tunnel->skipped);
    msgpack_pack_uint32(packer, tunnel->last_seq);
}

static void
pack_common(msgpack_packer *packer, const struct SlTunnel *tunnel)
{
    msgpack_pack_array(packer, field_count(KINDS[tunnel->kind].parts));
    msgpack_pack_uint32(packer, (uint32_t)tunnel->kind);
    msgpack_pack_uint64(packer, tunnel->sender);
    msgpack_pack_uint64(packer, tunnel->version.term);
    msgpack_pack_uint64(packer, tunnel->version.index);
    msgpack_pack_uint32(packer, tunnel->flags);
    msgpack_pack_uint64(packer, tunnel->service_id);
}

static void
pack_parts(msgpack_packer *packer, const struct SlTunnel *tunnel)
{
    uint32_t parts = KINDS[tunnel->kind].parts;

    if (parts & PART_FORWARD) {
        pack_forward(packer, tunnel);
    }
    if (parts & PART_FLOW) {
        pack_flow(packer, &tunnel->flow);
    }
    if (parts & PART_LOCATE) {
        msgpack_pack_uint64(packer, tunnel->holder);
        msgpack_pack_uint32(packer, (uint32_t)tunnel->answer);
        msgpack_pack_uint32(packer, tunnel->last_seq);
    }
    if (parts & PART_LOAD) {
        msgpack_pack_uint32(packer, tunnel->load_flows);
        msgpack_pack_uint32(packer, tunnel->load_capacity);
        msgpack_pack_uint32(packer, tunnel->load_exchanges);
        msgpack_pack_uint32(packer, tunnel->load_room);
    }
    if (parts & PART_PING) {
        msgpack_pack_uint64(packer, tunnel->ping_us);
    }
}

enum SlStatus
SlTunnel_Encode(const struct SlTunnel *tunnel, uint8_t *out,
                uint32_t *length_bytes)
{
    struct room room = {.bytes = out, .size_bytes = *length_bytes};
    msgpack_packer packer;

    msgpack_packer_init(&packer, &room, write_to_room);
    pack_common(&packer, tunnel);
    pack_parts(&packer, tunnel);
    if (KINDS[tunnel->kind].parts & PART_PACKET) {
        write_to_room(&room, (const char *)tunnel->packet,
                      tunnel->packet_bytes);
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

    if (value == NULL || value->via.array.size > SL_VISITED_MAX) {
        reader->bad = true;
        return;
    }
    inner = (struct reader){.next = value->via.array.ptr,
                            .left = value->via.array.size};
    tunnel->visited_count = value->via.array.size;
    for (uint32_t i = 0; i < tunnel->visited_count; i++) {
        tunnel->visited[i] = take_number(&inner, UINT64_MAX);
    }
    reader->bad |= inner.bad;
}

static void
take_parts(struct reader *reader, uint32_t parts, struct SlTunnel *tunnel)
{
    if (parts & PART_FORWARD) {
        tunnel->origin = take_number(reader, UINT64_MAX);
        take_visited(reader, tunnel);
        tunnel->previous = take_number(reader, UINT64_MAX);
        tunnel->skipped = take_number(reader, UINT64_MAX);
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
        tunnel->load_room = (uint32_t)take_number(reader, UINT32_MAX);
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
