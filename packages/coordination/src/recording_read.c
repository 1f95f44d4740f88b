/// Reading of recordings.

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <xxhash.h>

#include "recording_format.h"

struct SlRecordReader {
    const uint8_t *bytes;
    size_t length_bytes;
    size_t offset;
    size_t next;
    msgpack_unpacked unpacked;
    /// What the present record's pointers point to.
    struct SlNodeOptions options;
    struct SlTunnel tunnel;
    struct SlPeer peer;
    struct SlMessage message;
    bool message_held;
    char event[SL_EVENT_TEXT_BYTES];
    uint8_t *packet;
};

/// Walks over the fields of a record; one that does not fit marks it bad.
struct fields {
    const msgpack_object *next;
    uint32_t left;
    bool bad;
};

static const msgpack_object NIL_FIELD = {.type = MSGPACK_OBJECT_NIL};

static const msgpack_object *
take(struct fields *fields, msgpack_object_type type)
{
    if (fields->bad || fields->left == 0 || fields->next->type != type) {
        fields->bad = true;
        return &NIL_FIELD;
    }
    fields->left--;
    return fields->next++;
}

static uint64_t
take_number(struct fields *fields)
{
    const msgpack_object *field =
        take(fields, MSGPACK_OBJECT_POSITIVE_INTEGER);

    return fields->bad ? 0 : field->via.u64;
}

static const uint8_t *
take_binary(struct fields *fields, size_t *length_bytes)
{
    const msgpack_object *field = take(fields, MSGPACK_OBJECT_BIN);

    *length_bytes = fields->bad ? 0 : field->via.bin.size;
    return fields->bad ? NULL : (const uint8_t *)field->via.bin.ptr;
}

static void
take_text(struct fields *fields, char *out, size_t room)
{
    const msgpack_object *field = take(fields, MSGPACK_OBJECT_STR);

    if (!fields->bad && field->via.str.size >= room) {
        fields->bad = true;
    }
    out[0] = '\0';
    if (!fields->bad) {
        memcpy(out, field->via.str.ptr, field->via.str.size);
        out[field->via.str.size] = '\0';
    }
}

static void
take_address(struct fields *fields, struct SlAddress *address)
{
    char text[SL_ADDRESS_TEXT_BYTES];

    take_text(fields, text, sizeof(text));
    if (!fields->bad && SlAddress_Parse(text, address) != SL_OK) {
        fields->bad = true;
    }
}

static struct fields
take_array(struct fields *fields)
{
    const msgpack_object *field = take(fields, MSGPACK_OBJECT_ARRAY);
    struct fields inner = {.bad = fields->bad};

    if (!fields->bad) {
        inner.next = field->via.array.ptr;
        inner.left = field->via.array.size;
    }
    return inner;
}

static void
read_core(struct fields *fields, struct SlCoreOptions *core)
{
    take_text(fields, core->name, sizeof(core->name));
    take_text(fields, core->zone, sizeof(core->zone));
    core->roles = (uint32_t)take_number(fields);
    core->boot = take_number(fields);
    core->seed = take_number(fields);
    core->hash_seed = take_number(fields);
}

static void
read_control(struct fields *fields, struct SlControlOptions *control)
{
    struct fields members;

    control->bootstrap = take_number(fields) != 0;
    control->heartbeat_us = take_number(fields);
    control->election_us = take_number(fields);
    control->unreachable_us = take_number(fields);
    control->snapshot_entries = (uint32_t)take_number(fields);
    members = take_array(fields);
    while (members.left > 0 && !members.bad) {
        struct SlControlMember *member;

        if (control->member_count == SL_MEMBERS_CONTROL_MAX) {
            members.bad = true;
            break;
        }
        member = &control->members[control->member_count++];
        member->node_id = take_number(&members);
        take_text(&members, member->name, sizeof(member->name));
        take_address(&members, &member->link);
        member->voter = take_number(&members) != 0;
    }
    fields->bad = fields->bad || members.bad;
}

static void
read_replica(struct fields *fields, struct SlReplicaOptions *replica)
{
    struct fields addresses;
    const uint8_t *object;
    size_t length_bytes;

    replica->lease_us = take_number(fields);
    addresses = take_array(fields);
    while (addresses.left > 0 && !addresses.bad) {
        if (replica->control_count == SL_MEMBERS_CONTROL_MAX) {
            addresses.bad = true;
            break;
        }
        take_address(&addresses, &replica->control[replica->control_count]);
        replica->control_ids[replica->control_count++] =
            take_number(&addresses);
    }
    object = take_binary(fields, &length_bytes);
    if (addresses.bad || object == NULL ||
        SlObject_Decode(object, length_bytes, &replica->announce) != SL_OK) {
        fields->bad = true;
    }
}

static void
read_node(struct SlRecordReader *reader, struct fields *fields,
          struct SlRecord *record)
{
    struct SlNodeOptions *options = &reader->options;

    memset(options, 0, sizeof(*options));
    fields->bad = fields->bad || take_number(fields) != SL_RECORD_FORMAT;
    record->node.now_us = take_number(fields);
    record->node.options = options;
    read_core(fields, &options->core);
    options->entry.cache_flows = (uint32_t)take_number(fields);
    options->entry.tunnel_mtu_bytes = (uint16_t)take_number(fields);
    options->agent.slots = (uint32_t)take_number(fields);
    options->agent.capacity_flows = (uint32_t)take_number(fields);
    options->agent.shards = (uint32_t)take_number(fields);
    options->agent.probe_window_us = take_number(fields);
    read_control(fields, &options->control);
    read_replica(fields, &options->replica);
}

static void
read_hard_state(struct fields *fields, struct SlHardState *state)
{
    state->term = take_number(fields);
    state->voted_for = take_number(fields);
    state->incarnation = take_number(fields);
    state->node_id = take_number(fields);
    state->caught_up = take_number(fields) != 0;
}

/// A packet with zeros where its payload was left out.
static const uint8_t *
read_packet(struct SlRecordReader *reader, struct fields *fields,
            uint32_t *length_bytes)
{
    uint64_t whole_bytes = take_number(fields);
    size_t kept_bytes;
    const uint8_t *kept = take_binary(fields, &kept_bytes);

    if (fields->bad || whole_bytes > SL_PACKET_MAX_BYTES ||
        kept_bytes > whole_bytes) {
        fields->bad = true;
        return NULL;
    }
    memset(reader->packet, 0, whole_bytes);
    if (kept_bytes > 0) {
        memcpy(reader->packet, kept, kept_bytes);
    }
    *length_bytes = (uint32_t)whole_bytes;
    return reader->packet;
}

static void
read_tunnel(struct SlRecordReader *reader, struct fields *fields)
{
    uint32_t packet_bytes = 0;
    const uint8_t *packet = read_packet(reader, fields, &packet_bytes);
    size_t head_bytes;
    const uint8_t *head = take_binary(fields, &head_bytes);

    if (fields->bad || SlTunnel_Decode(head, (uint32_t)head_bytes,
                                       &reader->tunnel) != SL_OK) {
        fields->bad = true;
        return;
    }
    reader->tunnel.packet = packet;
    reader->tunnel.packet_bytes = packet_bytes;
}

static void
read_peer(struct fields *fields, struct SlPeer *peer)
{
    peer->node_id = take_number(fields);
    take_text(fields, peer->name, sizeof(peer->name));
    peer->roles = (uint32_t)take_number(fields);
    peer->boot = take_number(fields);
}

static void
read_message(struct SlRecordReader *reader, struct fields *fields)
{
    size_t length_bytes;
    const uint8_t *bytes = take_binary(fields, &length_bytes);

    if (fields->bad ||
        SlMessage_Decode(bytes, length_bytes, &reader->message) != SL_OK) {
        fields->bad = true;
        return;
    }
    reader->message_held = true;
}

static void
read_input(struct SlRecordReader *reader, struct fields *fields,
           struct SlInput *input)
{
    uint64_t kind = take_number(fields);

    input->kind =
        kind < SL_INPUT_KIND_COUNT ? (enum SlInputKind)kind : SL_INPUT_NONE;
    input->now_us = take_number(fields);
    input->wall_us = take_number(fields);
    input->link = take_number(fields);
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
read_versioned(struct fields *fields, struct SlVersion *version,
               const uint8_t **bytes, size_t *length_bytes)
{
    version->term = take_number(fields);
    version->index = take_number(fields);
    *bytes = take_binary(fields, length_bytes);
}

static void
read_log(struct fields *fields, struct SlLogRecord *log)
{
    struct SlVersion version;
    size_t length_bytes;

    read_versioned(fields, &version, &log->data, &length_bytes);
    log->term = version.term;
    log->index = version.index;
    log->data_bytes = (uint32_t)length_bytes;
}

static void
read_body(struct SlRecordReader *reader, struct fields *fields,
          struct SlRecord *record)
{
    record->kind = (enum SlRecordKind)take_number(fields);
    switch (record->kind) {
    case SL_RECORD_NODE:
        read_node(reader, fields, record);
        break;
    case SL_RECORD_HARD_STATE:
        read_hard_state(fields, &record->hard_state);
        break;
    case SL_RECORD_SNAPSHOT:
        read_versioned(fields, &record->snapshot.last, &record->snapshot.bytes,
                       &record->snapshot.length_bytes);
        break;
    case SL_RECORD_LOG:
        read_log(fields, &record->log);
        break;
    case SL_RECORD_INPUT:
        read_input(reader, fields, &record->input);
        break;
    case SL_RECORD_EVENT:
        take_text(fields, reader->event, sizeof(reader->event));
        record->event = reader->event;
        break;
    case SL_RECORD_LOST:
        record->lost = take_number(fields);
        break;
    default:
        fields->bad = true;
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
    if (reader->message_held) {
        SlMessage_Release(&reader->message);
        reader->message_held = false;
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
get_little(const uint8_t *bytes, uint32_t count)
{
    uint64_t value = 0;

    for (uint32_t i = count; i > 0; i--) {
        value = value << 8 | bytes[i - 1];
    }
    return value;
}

/// Finds the present record's body and checks it.
static enum SlStatus
next_body(struct SlRecordReader *reader, const uint8_t **body,
          size_t *body_bytes)
{
    const uint8_t *head = reader->bytes + reader->next;
    size_t left = reader->length_bytes - reader->next;
    uint64_t length_bytes;

    if (left < SL_RECORD_HEAD_BYTES) {
        return SL_CLOSED;
    }
    length_bytes = get_little(head, 4);
    if (length_bytes > SL_RECORD_MAX_BYTES) {
        return SL_DAMAGED;
    }
    if (length_bytes > left - SL_RECORD_HEAD_BYTES) {
        return SL_CLOSED;
    }
    *body = head + SL_RECORD_HEAD_BYTES;
    *body_bytes = length_bytes;
    if (XXH3_64bits(*body, length_bytes) != get_little(head + 4, 8)) {
        return SL_DAMAGED;
    }
    return SL_OK;
}

enum SlStatus
SlRecordReader_Next(struct SlRecordReader *reader, struct SlRecord *record)
{
    struct fields fields = {0};
    const uint8_t *body;
    size_t body_bytes;
    enum SlStatus status;

    release_message(reader);
    memset(record, 0, sizeof(*record));
    status = next_body(reader, &body, &body_bytes);
    if (status != SL_OK) {
        return status;
    }
    reader->offset = reader->next;
    reader->next += SL_RECORD_HEAD_BYTES + body_bytes;
    msgpack_unpacked_destroy(&reader->unpacked);
    msgpack_unpacked_init(&reader->unpacked);
    if (msgpack_unpack_next(&reader->unpacked, (const char *)body, body_bytes,
                            NULL) != MSGPACK_UNPACK_SUCCESS ||
        reader->unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
        return SL_MALFORMED;
    }
    fields.next = reader->unpacked.data.via.array.ptr;
    fields.left = reader->unpacked.data.via.array.size;
    read_body(reader, &fields, record);
    return fields.bad || fields.left > 0 ? SL_MALFORMED : SL_OK;
}

size_t
SlRecordReader_Offset(const struct SlRecordReader *reader)
{
    return reader->offset;
}
