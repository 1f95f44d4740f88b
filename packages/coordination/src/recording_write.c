/// Writer of recordings.

#include <string.h>

#include <msgpack.h>
#include <xxhash.h>

#include "recording_format.h"

static int
write_bytes(void *data, const char *bytes, size_t length_bytes)
{
    struct SlBuffer *buffer = (struct SlBuffer *)data;

    return SlBuffer_Append(buffer, bytes, length_bytes) == SL_OK ? 0 : -1;
}

/// Appends an empty record header, which finish_record fills in, and begins
/// the array of fields.
static enum SlStatus
begin_record(struct SlBuffer *buffer, msgpack_packer *packer, size_t fields)
{
    static const uint8_t EMPTY_HEADER[SL_RECORD_HEADER_BYTES];
    enum SlStatus status =
        SlBuffer_Append(buffer, EMPTY_HEADER, sizeof(EMPTY_HEADER));

    msgpack_packer_init(packer, buffer, write_bytes);
    if (status == SL_OK && msgpack_pack_array(packer, fields) != 0) {
        return SL_NO_MEMORY;
    }
    return status;
}

static void
encode_little_endian(uint8_t *out, uint64_t value, uint32_t bytes)
{
    for (uint32_t i = 0; i < bytes; i++) {
        out[i] = (uint8_t)(value >> (8 * i));
    }
}

/// Fills in the record header. Removes the record from the buffer when it
/// could not be written completely.
static enum SlStatus
finish_record(struct SlBuffer *buffer, size_t start, bool is_packed)
{
    uint8_t *header = buffer->bytes + start;
    size_t length_bytes;

    if (!is_packed) {
        buffer->length_bytes = start;
        return SL_NO_MEMORY;
    }
    length_bytes = buffer->length_bytes - start - SL_RECORD_HEADER_BYTES;
    if (length_bytes > SL_RECORD_MAX_BYTES) {
        buffer->length_bytes = start;
        return SL_TOO_LONG;
    }
    encode_little_endian(header, length_bytes, 4);
    encode_little_endian(
        header + 4, XXH3_64bits(header + SL_RECORD_HEADER_BYTES, length_bytes),
        8);
    return SL_OK;
}

static bool
pack_binary(msgpack_packer *packer, const void *bytes, size_t length_bytes)
{
    return msgpack_pack_bin(packer, length_bytes) == 0 &&
           (length_bytes == 0 ||
            msgpack_pack_bin_body(packer, bytes, length_bytes) == 0);
}

static bool
pack_text(msgpack_packer *packer, const char *text)
{
    size_t length_bytes = strlen(text);

    return msgpack_pack_str(packer, length_bytes) == 0 &&
           msgpack_pack_str_body(packer, text, length_bytes) == 0;
}

static bool
pack_number(msgpack_packer *packer, uint64_t value)
{
    return msgpack_pack_uint64(packer, value) == 0;
}

static bool
pack_address(msgpack_packer *packer, const struct SlAddress *address)
{
    char text[SL_ADDRESS_TEXT_BYTES];

    return pack_text(packer, SlAddress_Format(address, text));
}

static bool
pack_core(msgpack_packer *packer, const struct SlCoreOptions *core)
{
    return pack_text(packer, core->name) && pack_text(packer, core->zone) &&
           pack_number(packer, core->roles) &&
           pack_number(packer, core->boot) &&
           pack_number(packer, core->seed) &&
           pack_number(packer, core->hash_seed);
}

static bool
pack_control(msgpack_packer *packer, const struct SlControlOptions *control)
{
    bool is_packed =
        pack_number(packer, control->bootstrap) &&
        pack_number(packer, control->heartbeat_us) &&
        pack_number(packer, control->election_us) &&
        pack_number(packer, control->unreachable_us) &&
        pack_number(packer, control->snapshot_entries) &&
        msgpack_pack_array(packer, (size_t)control->member_count *
                                       SL_RECORD_MEMBER_FIELD_COUNT) == 0;

    for (uint32_t i = 0; is_packed && i < control->member_count; i++) {
        const struct SlControlMember *member = &control->members[i];

        is_packed = pack_number(packer, member->node_id) &&
                    pack_text(packer, member->name) &&
                    pack_address(packer, &member->link_address) &&
                    pack_number(packer, member->is_voter);
    }
    return is_packed;
}

static bool
pack_replica(msgpack_packer *packer, const struct SlReplicaOptions *replica)
{
    struct SlBuffer object = {0};
    bool is_packed =
        pack_number(packer, replica->lease_us) &&
        msgpack_pack_array(packer, 2 * (size_t)replica->control_count) == 0;

    for (uint32_t i = 0; is_packed && i < replica->control_count; i++) {
        is_packed = pack_address(packer, &replica->control[i]) &&
                    pack_number(packer, replica->control_ids[i]);
    }
    is_packed = is_packed &&
                SlObject_Encode(&replica->announce, &object) == SL_OK &&
                pack_binary(packer, object.bytes, object.length_bytes);
    SlBuffer_Release(&object);
    return is_packed;
}

enum SlStatus
SlRecord_PutNode(const struct SlNodeOptions *options, uint64_t now_us,
                 struct SlBuffer *buffer)
{
    size_t start = buffer->length_bytes;
    msgpack_packer packer;
    bool is_packed;

    if (begin_record(buffer, &packer, SL_RECORD_NODE_FIELD_COUNT) != SL_OK) {
        buffer->length_bytes = start;
        return SL_NO_MEMORY;
    }
    is_packed = pack_number(&packer, SL_RECORD_NODE) &&
                pack_number(&packer, SL_RECORD_FORMAT_VERSION) &&
                pack_number(&packer, now_us) &&
                pack_core(&packer, &options->core) &&
                pack_number(&packer, options->entry.cache_flows) &&
                pack_number(&packer, options->entry.tunnel_mtu_bytes) &&
                pack_number(&packer, options->agent.slots) &&
                pack_number(&packer, options->agent.capacity_flows) &&
                pack_number(&packer, options->agent.shards) &&
                pack_number(&packer, options->agent.probe_window_us) &&
                pack_control(&packer, &options->control) &&
                pack_replica(&packer, &options->replica);
    return finish_record(buffer, start, is_packed);
}

static enum SlStatus
put_hard_state(const struct SlHardState *state, struct SlBuffer *buffer)
{
    size_t start = buffer->length_bytes;
    msgpack_packer packer;
    bool is_packed;

    is_packed = begin_record(buffer, &packer, 6) == SL_OK &&
                pack_number(&packer, SL_RECORD_HARD_STATE) &&
                pack_number(&packer, state->term) &&
                pack_number(&packer, state->voted_for) &&
                pack_number(&packer, state->incarnation) &&
                pack_number(&packer, state->node_id) &&
                pack_number(&packer, state->caught_up);
    return finish_record(buffer, start, is_packed);
}

static enum SlStatus
put_versioned_record(enum SlRecordKind kind, struct SlVersion version,
                     const uint8_t *bytes, size_t length_bytes,
                     struct SlBuffer *buffer)
{
    size_t start = buffer->length_bytes;
    msgpack_packer packer;
    bool is_packed;

    is_packed = begin_record(buffer, &packer, 4) == SL_OK &&
                pack_number(&packer, kind) &&
                pack_number(&packer, version.term) &&
                pack_number(&packer, version.index) &&
                pack_binary(&packer, bytes, length_bytes);
    return finish_record(buffer, start, is_packed);
}

enum SlStatus
SlRecord_PutStorage(struct SlStorage *storage, struct SlBuffer *buffer)
{
    const struct SlStorageType *type = storage->type;
    struct SlHardState state;
    struct SlVersion last;
    const uint8_t *bytes;
    size_t length_bytes;
    uint64_t first_index;
    uint64_t last_index;
    enum SlStatus status;

    type->copy_hard_state(storage, &state);
    status = put_hard_state(&state, buffer);
    type->get_snapshot(storage, &last, &bytes, &length_bytes);
    if (status == SL_OK && bytes != NULL) {
        status = put_versioned_record(SL_RECORD_SNAPSHOT, last, bytes,
                                      length_bytes, buffer);
    }
    type->index_range(storage, &first_index, &last_index);
    for (uint64_t i = first_index; status == SL_OK && i <= last_index; i++) {
        struct SlLogRecord log;

        status = type->read_record(storage, i, &log);
        if (status == SL_OK) {
            last = (struct SlVersion){.term = log.term, .index = log.index};
            status = put_versioned_record(SL_RECORD_LOG, last, log.data,
                                          log.data_bytes, buffer);
        }
    }
    return status;
}

/// Returns the length of the part of a packet that decisions of the cores can
/// depend on.
static uint32_t
kept_packet_bytes(const uint8_t *bytes, uint32_t length_bytes)
{
    struct SlPacket packet;
    uint32_t kept_bytes = SL_RECORD_OPAQUE_PACKET_BYTES;

    if (SlPacket_Parse(bytes, length_bytes, &packet) == SL_OK) {
        if (packet.kind == SL_PACKET_TCP || packet.kind == SL_PACKET_UDP) {
            kept_bytes = packet.payload_offset;
        }
    }
    return kept_bytes < length_bytes ? kept_bytes : length_bytes;
}

static bool
pack_packet(msgpack_packer *packer, const uint8_t *bytes,
            uint32_t length_bytes, bool payloads)
{
    uint32_t kept_bytes =
        payloads ? length_bytes : kept_packet_bytes(bytes, length_bytes);

    return pack_number(packer, length_bytes) &&
           pack_binary(packer, bytes, kept_bytes);
}

/// Packs the packet, then the tunnel header as encoded by the tunnel codec.
static bool
pack_tunnel(msgpack_packer *packer, const struct SlTunnel *tunnel,
            bool payloads)
{
    uint8_t header[SL_TUNNEL_HEADER_MAX_BYTES];
    uint32_t header_bytes = sizeof(header);
    struct SlTunnel tunnel_header = *tunnel;

    tunnel_header.packet = NULL;
    tunnel_header.packet_bytes = 0;
    return SlTunnel_Encode(&tunnel_header, header, &header_bytes) == SL_OK &&
           pack_packet(packer, tunnel->packet, tunnel->packet_bytes,
                       payloads) &&
           pack_binary(packer, header, header_bytes);
}

static bool
pack_message(msgpack_packer *packer, const struct SlMessage *message)
{
    struct SlBuffer bytes = {0};
    bool is_packed;

    is_packed = SlMessage_Encode(message, &bytes) == SL_OK &&
                pack_binary(packer, bytes.bytes, bytes.length_bytes);
    SlBuffer_Release(&bytes);
    return is_packed;
}

static bool
pack_peer(msgpack_packer *packer, const struct SlPeer *peer)
{
    static const struct SlPeer NO_PEER;

    peer = peer != NULL ? peer : &NO_PEER;
    return pack_number(packer, peer->node_id) &&
           pack_text(packer, peer->name) && pack_number(packer, peer->roles) &&
           pack_number(packer, peer->boot);
}

static bool
pack_input_fields(msgpack_packer *packer, const struct SlInput *input,
                  bool payloads)
{
    switch (input->kind) {
    case SL_INPUT_CALLER_PACKET:
    case SL_INPUT_UPSTREAM_PACKET:
        return pack_packet(packer, input->packet.bytes,
                           input->packet.length_bytes, payloads);
    case SL_INPUT_TUNNEL:
        return pack_tunnel(packer, input->tunnel, payloads);
    case SL_INPUT_LINK_UP:
    case SL_INPUT_LINK_DOWN:
        return pack_peer(packer, input->peer);
    case SL_INPUT_MESSAGE:
        return pack_message(packer, input->message);
    default:
        return true;
    }
}

static size_t
input_field_count(enum SlInputKind kind)
{
    switch (kind) {
    case SL_INPUT_CALLER_PACKET:
    case SL_INPUT_UPSTREAM_PACKET:
        return 2;
    case SL_INPUT_TUNNEL:
        return 3;
    case SL_INPUT_LINK_UP:
    case SL_INPUT_LINK_DOWN:
        return 4;
    case SL_INPUT_MESSAGE:
        return 1;
    default:
        return 0;
    }
}

enum SlStatus
SlRecord_PutInput(const struct SlInput *input, bool payloads,
                  struct SlBuffer *buffer)
{
    size_t start = buffer->length_bytes;
    size_t fields =
        SL_RECORD_INPUT_FIELD_COUNT + input_field_count(input->kind);
    msgpack_packer packer;
    bool is_packed;

    is_packed = begin_record(buffer, &packer, fields) == SL_OK &&
                pack_number(&packer, SL_RECORD_INPUT) &&
                pack_number(&packer, input->kind) &&
                pack_number(&packer, input->now_us) &&
                pack_number(&packer, input->wall_us) &&
                pack_number(&packer, input->link) &&
                pack_input_fields(&packer, input, payloads);
    return finish_record(buffer, start, is_packed);
}

enum SlStatus
SlRecord_PutEvent(const struct SlEvent *event, struct SlBuffer *buffer)
{
    size_t start = buffer->length_bytes;
    char text[SL_EVENT_TEXT_BYTES];
    msgpack_packer packer;
    bool is_packed;

    is_packed = begin_record(buffer, &packer, 2) == SL_OK &&
                pack_number(&packer, SL_RECORD_EVENT) &&
                pack_text(&packer, SlEvent_Format(event, text));
    return finish_record(buffer, start, is_packed);
}

enum SlStatus
SlRecord_PutLost(uint64_t count, struct SlBuffer *buffer)
{
    size_t start = buffer->length_bytes;
    msgpack_packer packer;
    bool is_packed;

    is_packed = begin_record(buffer, &packer, 2) == SL_OK &&
                pack_number(&packer, SL_RECORD_LOST) &&
                pack_number(&packer, count);
    return finish_record(buffer, start, is_packed);
}
