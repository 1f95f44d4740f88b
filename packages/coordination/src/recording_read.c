/// Reader of recordings.

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <xxhash.h>

#include "recording_format.h"
#include "savoryledge/protocol/encoding.h"

struct SlRecordReader {
    const uint8_t *bytes;
    size_t length_bytes;
    size_t record_offset;
    size_t next_offset;
    msgpack_unpacked unpacked;
    /// Storage that the pointers in the present record refer to.
    struct SlNodeOptions options;
    struct SlTunnel tunnel;
    struct SlPeer peer;
    struct SlMessage message;
    bool owns_message;
    char event[SL_EVENT_TEXT_BYTES];
    uint8_t *packet;
};

/// Reads the fields of a record in order. A field of an unexpected type or
/// value sets is_malformed; all later reads then return empty values.
struct field_reader {
    const msgpack_object *next;
    uint32_t remaining;
    bool is_malformed;
};

static const msgpack_object NIL_FIELD = {.type = MSGPACK_OBJECT_NIL};

static const msgpack_object *
read_field(struct field_reader *fields, msgpack_object_type type)
{
    if (fields->is_malformed || fields->remaining == 0 ||
        fields->next->type != type) {
        fields->is_malformed = true;
        return &NIL_FIELD;
    }
    fields->remaining--;
    return fields->next++;
}

static uint64_t
read_number(struct field_reader *fields)
{
    const msgpack_object *field =
        read_field(fields, MSGPACK_OBJECT_POSITIVE_INTEGER);

    return fields->is_malformed ? 0 : field->via.u64;
}

static const uint8_t *
read_binary(struct field_reader *fields, size_t *length_bytes)
{
    const msgpack_object *field = read_field(fields, MSGPACK_OBJECT_BIN);

    *length_bytes = fields->is_malformed ? 0 : field->via.bin.size;
    return fields->is_malformed ? NULL : (const uint8_t *)field->via.bin.ptr;
}

static void
read_text(struct field_reader *fields, char *out, size_t size_bytes)
{
    const msgpack_object *field = read_field(fields, MSGPACK_OBJECT_STR);

    if (!fields->is_malformed && field->via.str.size >= size_bytes) {
        fields->is_malformed = true;
    }
    out[0] = '\0';
    if (!fields->is_malformed && field->via.str.size > 0) {
        memcpy(out, field->via.str.ptr, field->via.str.size);
        out[field->via.str.size] = '\0';
    }
}

static void
read_address(struct field_reader *fields, struct SlAddress *address)
{
    char text[SL_ADDRESS_TEXT_BYTES];

    read_text(fields, text, sizeof(text));
    if (!fields->is_malformed && SlAddress_Parse(text, address) != SL_OK) {
        fields->is_malformed = true;
    }
}

static struct field_reader
read_array(struct field_reader *fields)
{
    const msgpack_object *field = read_field(fields, MSGPACK_OBJECT_ARRAY);
    struct field_reader inner = {.is_malformed = fields->is_malformed};

    if (!fields->is_malformed) {
        inner.next = field->via.array.ptr;
        inner.remaining = field->via.array.size;
    }
    return inner;
}

static void
read_core(struct field_reader *fields, struct SlCoreOptions *core)
{
    read_text(fields, core->name, sizeof(core->name));
    read_text(fields, core->zone, sizeof(core->zone));
    core->roles = (uint32_t)read_number(fields);
    core->boot = read_number(fields);
    core->seed = read_number(fields);
    core->hash_seed = read_number(fields);
}

static void
read_control(struct field_reader *fields, struct SlControlOptions *control)
{
    struct field_reader members;

    control->bootstrap = read_number(fields) != 0;
    control->heartbeat_us = read_number(fields);
    control->election_us = read_number(fields);
    control->unreachable_us = read_number(fields);
    control->snapshot_entries = (uint32_t)read_number(fields);
    members = read_array(fields);
    while (members.remaining > 0 && !members.is_malformed) {
        struct SlControlMember *member;

        if (control->member_count == SL_MEMBERS_CONTROL_MAX) {
            members.is_malformed = true;
            break;
        }
        member = &control->members[control->member_count++];
        member->node_id = read_number(&members);
        read_text(&members, member->name, sizeof(member->name));
        read_address(&members, &member->link_address);
        member->is_voter = read_number(&members) != 0;
    }
    fields->is_malformed = fields->is_malformed || members.is_malformed;
}

static void
read_replica(struct field_reader *fields, struct SlReplicaOptions *replica)
{
    struct field_reader addresses;
    const uint8_t *object;
    size_t length_bytes;

    replica->lease_us = read_number(fields);
    addresses = read_array(fields);
    while (addresses.remaining > 0 && !addresses.is_malformed) {
        if (replica->control_count == SL_MEMBERS_CONTROL_MAX) {
            addresses.is_malformed = true;
            break;
        }
        read_address(&addresses, &replica->control[replica->control_count]);
        replica->control_ids[replica->control_count++] =
            read_number(&addresses);
    }
    object = read_binary(fields, &length_bytes);
    if (addresses.is_malformed || object == NULL ||
        SlObject_Decode(object, length_bytes, &replica->announce) != SL_OK) {
        fields->is_malformed = true;
    }
}

static void
read_node(struct SlRecordReader *reader, struct field_reader *fields,
          struct SlRecord *record)
{
    struct SlNodeOptions *options = &reader->options;

    memset(options, 0, sizeof(*options));
    fields->is_malformed = fields->is_malformed ||
                           read_number(fields) != SL_RECORD_FORMAT_VERSION;
    record->node.now_us = read_number(fields);
    record->node.options = options;
    read_core(fields, &options->core);
    options->entry.cache_flows = (uint32_t)read_number(fields);
    options->entry.tunnel_mtu_bytes = (uint16_t)read_number(fields);
    options->agent.slots = (uint32_t)read_number(fields);
    options->agent.capacity_flows = (uint32_t)read_number(fields);
    options->agent.shards = (uint32_t)read_number(fields);
    options->agent.probe_window_us = read_number(fields);
    read_control(fields, &options->control);
    read_replica(fields, &options->replica);
}

static void
read_hard_state(struct field_reader *fields, struct SlHardState *state)
{
    state->term = read_number(fields);
    state->voted_for = read_number(fields);
    state->incarnation = read_number(fields);
    state->node_id = read_number(fields);
    state->caught_up = read_number(fields) != 0;
}

/// Reads a packet; fills a payload that was not recorded with zeros.
static const uint8_t *
read_packet(struct SlRecordReader *reader, struct field_reader *fields,
            uint32_t *length_bytes)
{
    uint64_t packet_length_bytes = read_number(fields);
    size_t kept_bytes;
    const uint8_t *kept_part = read_binary(fields, &kept_bytes);

    if (fields->is_malformed || packet_length_bytes > SL_PACKET_MAX_BYTES ||
        kept_bytes > packet_length_bytes) {
        fields->is_malformed = true;
        return NULL;
    }
    memset(reader->packet, 0, packet_length_bytes);
    if (kept_bytes > 0) {
        memcpy(reader->packet, kept_part, kept_bytes);
    }
    *length_bytes = (uint32_t)packet_length_bytes;
    return reader->packet;
}

static void
read_tunnel(struct SlRecordReader *reader, struct field_reader *fields)
{
    uint32_t packet_bytes = 0;
    const uint8_t *packet = read_packet(reader, fields, &packet_bytes);
    size_t header_bytes;
    const uint8_t *header = read_binary(fields, &header_bytes);

    if (fields->is_malformed || SlTunnel_Decode(header, (uint32_t)header_bytes,
                                                &reader->tunnel) != SL_OK) {
        fields->is_malformed = true;
        return;
    }
    reader->tunnel.packet = packet;
    reader->tunnel.packet_bytes = packet_bytes;
}

static void
read_peer(struct field_reader *fields, struct SlPeer *peer)
{
    peer->node_id = read_number(fields);
    read_text(fields, peer->name, sizeof(peer->name));
    peer->roles = (uint32_t)read_number(fields);
    peer->boot = read_number(fields);
}

static void
read_message(struct SlRecordReader *reader, struct field_reader *fields)
{
    size_t length_bytes;
    const uint8_t *bytes = read_binary(fields, &length_bytes);

    if (fields->is_malformed ||
        SlMessage_Decode(bytes, length_bytes, &reader->message) != SL_OK) {
        fields->is_malformed = true;
        return;
    }
    reader->owns_message = true;
}

static void
read_input(struct SlRecordReader *reader, struct field_reader *fields,
           struct SlInput *input)
{
    uint64_t kind = read_number(fields);

    input->kind =
        kind < SL_INPUT_KIND_COUNT ? (enum SlInputKind)kind : SL_INPUT_NONE;
    input->now_us = read_number(fields);
    input->wall_us = read_number(fields);
    input->link = read_number(fields);
    switch (input->kind) {
    case SL_INPUT_CALLER_PACKET:
    case SL_INPUT_UPSTREAM_PACKET:
        input->packet.bytes =
            read_packet(reader, fields, &input->packet.length_bytes);
        break;
    case SL_INPUT_TUNNEL:
        read_tunnel(reader, fields);
        input->tunnel = &reader->tunnel;
        break;
    case SL_INPUT_LINK_UP:
    case SL_INPUT_LINK_DOWN:
        read_peer(fields, &reader->peer);
        input->peer = &reader->peer;
        break;
    case SL_INPUT_MESSAGE:
        read_message(reader, fields);
        input->message = &reader->message;
        break;
    default:
        break;
    }
}

static void
read_versioned_record(struct field_reader *fields, struct SlVersion *version,
                      const uint8_t **bytes, size_t *length_bytes)
{
    version->term = read_number(fields);
    version->index = read_number(fields);
    *bytes = read_binary(fields, length_bytes);
}

static void
read_log(struct field_reader *fields, struct SlLogRecord *log)
{
    struct SlVersion version;
    size_t length_bytes;

    read_versioned_record(fields, &version, &log->data, &length_bytes);
    log->term = version.term;
    log->index = version.index;
    log->data_bytes = (uint32_t)length_bytes;
}

static void
read_body(struct SlRecordReader *reader, struct field_reader *fields,
          struct SlRecord *record)
{
    record->kind = (enum SlRecordKind)read_number(fields);
    switch (record->kind) {
    case SL_RECORD_NODE:
        read_node(reader, fields, record);
        break;
    case SL_RECORD_HARD_STATE:
        read_hard_state(fields, &record->hard_state);
        break;
    case SL_RECORD_SNAPSHOT:
        read_versioned_record(fields, &record->snapshot.last,
                              &record->snapshot.bytes,
                              &record->snapshot.length_bytes);
        break;
    case SL_RECORD_LOG:
        read_log(fields, &record->log);
        break;
    case SL_RECORD_INPUT:
        read_input(reader, fields, &record->input);
        break;
    case SL_RECORD_EVENT:
        read_text(fields, reader->event, sizeof(reader->event));
        record->event = reader->event;
        break;
    case SL_RECORD_LOST:
        record->lost = read_number(fields);
        break;
    default:
        fields->is_malformed = true;
        break;
    }
}

struct SlRecordReader *
SlRecordReader_Create(const uint8_t *bytes, size_t length_bytes)
{
    struct SlRecordReader *reader =
        (struct SlRecordReader *)calloc(1, sizeof(*reader));

    if (reader == NULL) {
        return NULL;
    }
    reader->packet = (uint8_t *)malloc(SL_PACKET_MAX_BYTES);
    if (reader->packet == NULL) {
        free(reader);
        return NULL;
    }
    reader->bytes = bytes;
    reader->length_bytes = length_bytes;
    msgpack_unpacked_init(&reader->unpacked);
    return reader;
}

static void
release_message(struct SlRecordReader *reader)
{
    if (reader->owns_message) {
        SlMessage_Release(&reader->message);
        reader->owns_message = false;
    }
}

void
SlRecordReader_Destroy(struct SlRecordReader *reader)
{
    if (reader == NULL) {
        return;
    }
    release_message(reader);
    msgpack_unpacked_destroy(&reader->unpacked);
    free(reader->packet);
    free(reader);
}

static uint64_t
decode_little_endian(const uint8_t *bytes, uint32_t count)
{
    uint64_t value = 0;

    for (uint32_t i = count; i > 0; i--) {
        value = value << 8 | bytes[i - 1];
    }
    return value;
}

/// Finds the body of the next record and verifies its checksum.
static enum SlStatus
find_next_body(struct SlRecordReader *reader, const uint8_t **body,
               size_t *body_bytes)
{
    const uint8_t *header = reader->bytes + reader->next_offset;
    size_t remaining_bytes = reader->length_bytes - reader->next_offset;
    uint64_t length_bytes;

    if (remaining_bytes < SL_RECORD_HEADER_BYTES) {
        return SL_CLOSED;
    }
    length_bytes = decode_little_endian(header, 4);
    if (length_bytes > SL_RECORD_MAX_BYTES) {
        return SL_DAMAGED;
    }
    if (length_bytes > remaining_bytes - SL_RECORD_HEADER_BYTES) {
        return SL_CLOSED;
    }
    *body = header + SL_RECORD_HEADER_BYTES;
    *body_bytes = length_bytes;
    if (XXH3_64bits(*body, length_bytes) !=
        decode_little_endian(header + 4, 8)) {
        return SL_DAMAGED;
    }
    return SL_OK;
}

enum SlStatus
SlRecordReader_NextRecord(struct SlRecordReader *reader,
                          struct SlRecord *record)
{
    struct field_reader fields = {0};
    const uint8_t *body;
    size_t body_bytes;
    enum SlStatus status;

    release_message(reader);
    memset(record, 0, sizeof(*record));
    status = find_next_body(reader, &body, &body_bytes);
    if (status != SL_OK) {
        return status;
    }
    reader->record_offset = reader->next_offset;
    reader->next_offset += SL_RECORD_HEADER_BYTES + body_bytes;
    msgpack_unpacked_destroy(&reader->unpacked);
    msgpack_unpacked_init(&reader->unpacked);
    if (!SlEncoding_IsWellFormed(body, body_bytes,
                                 SL_ENCODING_FRAME_VALUES_MAX) ||
        msgpack_unpack_next(&reader->unpacked, (const char *)body, body_bytes,
                            NULL) != MSGPACK_UNPACK_SUCCESS ||
        reader->unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
        return SL_MALFORMED;
    }
    fields.next = reader->unpacked.data.via.array.ptr;
    fields.remaining = reader->unpacked.data.via.array.size;
    read_body(reader, &fields, record);
    return fields.is_malformed || fields.remaining > 0 ? SL_MALFORMED : SL_OK;
}

size_t
SlRecordReader_Offset(const struct SlRecordReader *reader)
{
    return reader->record_offset;
}
