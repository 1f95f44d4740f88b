#include "savoryledge/protocol/message.h"

#include <string.h>

#include "layout.h"
#include "savoryledge/protocol/encoding.h"

#define U8(owner, member) SL_FIELD_PLAIN(SL_FIELD_U8, owner, member)
#define U16(owner, member) SL_FIELD_PLAIN(SL_FIELD_U16, owner, member)
#define U32(owner, member) SL_FIELD_PLAIN(SL_FIELD_U32, owner, member)
#define U64(owner, member) SL_FIELD_PLAIN(SL_FIELD_U64, owner, member)
#define BOOL(owner, member) SL_FIELD_PLAIN(SL_FIELD_BOOL, owner, member)
#define IP(owner, member) SL_FIELD_PLAIN(SL_FIELD_IP, owner, member)
#define TEXT(owner, member) SL_FIELD_CHARS(owner, member)
#define ENUM(owner, member, count) SL_FIELD_CHOICE(owner, member, count)
#define PART(owner, member, layout_) SL_FIELD_PART(owner, member, layout_)

enum {
    APPEND_ENTRIES_MAX = 4096,
};

static const struct SlField ADDRESS_FIELDS[] = {
    IP(SlAddress, ip),
    U16(SlAddress, port),
};
static const struct SlLayout ADDRESS = SL_LAYOUT(SlAddress, ADDRESS_FIELDS);

static const struct SlField VERSION_FIELDS[] = {
    U64(SlVersion, term),
    U64(SlVersion, index),
};
static const struct SlLayout VERSION = SL_LAYOUT(SlVersion, VERSION_FIELDS);

static const struct SlField LABEL_FIELDS[] = {
    TEXT(SlLabel, key),
    TEXT(SlLabel, value),
};
static const struct SlLayout LABEL = SL_LAYOUT(SlLabel, LABEL_FIELDS);

static const struct SlField HOLD_FIELDS[] = {
    TEXT(SlHold, key),
    TEXT(SlHold, reason),
    U64(SlHold, since_us),
};
static const struct SlLayout HOLD = SL_LAYOUT(SlHold, HOLD_FIELDS);

static const struct SlField SERVICE_FIELDS[] = {
    PART(SlServiceSpec, address, ADDRESS),
    U8(SlServiceSpec, protocol),
    U32(SlServiceSpec, silence_ms),
    U32(SlServiceSpec, idle_ms),
};
static const struct SlLayout SERVICE =
    SL_LAYOUT(SlServiceSpec, SERVICE_FIELDS);

static const struct SlField NODE_FIELDS[] = {
    U64(SlNodeSpec, node_id),
    U32(SlNodeSpec, roles),
    TEXT(SlNodeSpec, zone),
    SL_FIELD_ITEMS(SlNodeSpec, announced, SL_LABELS_MAX, LABEL),
    PART(SlNodeSpec, tunnel, ADDRESS),
    PART(SlNodeSpec, link, ADDRESS),
    U64(SlNodeSpec, boot),
    U32(SlNodeSpec, slots),
    U32(SlNodeSpec, capacity_flows),
    BOOL(SlNodeSpec, leaving),
    BOOL(SlNodeSpec, unreachable),
};
static const struct SlLayout NODE = SL_LAYOUT(SlNodeSpec, NODE_FIELDS);

static const struct SlField OBJECT_FIELDS[] = {
    ENUM(SlObject, kind, SL_KIND_COUNT),
    TEXT(SlObject, name),
    PART(SlObject, modified, VERSION),
    SL_FIELD_ITEMS(SlObject, labels, SL_LABELS_MAX, LABEL),
    TEXT(SlObject, selector),
    SL_FIELD_ITEMS(SlObject, holds, SL_HOLDS_MAX, HOLD),
    PART(SlObject, service, SERVICE),
    PART(SlObject, node, NODE),
};
static const struct SlLayout OBJECT = SL_LAYOUT(SlObject, OBJECT_FIELDS);

static const struct SlField DOCUMENT_FIELDS[] = {
    U64(SlDocumentText, version),
    SL_FIELD_BYTES(SlDocumentText, bytes, length_bytes, SL_DOCUMENT_MAX_BYTES),
};
static const struct SlLayout DOCUMENT =
    SL_LAYOUT(SlDocumentText, DOCUMENT_FIELDS);

static const struct SlField CHANGE_FIELDS[] = {
    U64(SlChange, client),
    U64(SlChange, request),
    PART(SlChange, base, VERSION),
    ENUM(SlChange, verb, SL_VERB_COUNT),
    PART(SlChange, expected, VERSION),
    U64(SlChange, time_us),
    PART(SlChange, object, OBJECT),
    PART(SlChange, hold, HOLD),
    SL_FIELD_ITEMS(SlChange, unset, SL_LABELS_MAX, LABEL),
    PART(SlChange, document, DOCUMENT),
};
static const struct SlLayout CHANGE =
    SL_LAYOUT_OPTIONAL(SlChange, CHANGE_FIELDS, 1);

static const struct SlField RESULT_FIELDS[] = {
    ENUM(SlResult, status, SL_STATUS_COUNT),
    PART(SlResult, version, VERSION),
    BOOL(SlResult, has_object),
    PART(SlResult, object, OBJECT),
    TEXT(SlResult, message),
};
static const struct SlLayout RESULT = SL_LAYOUT(SlResult, RESULT_FIELDS);

struct request_record {
    uint64_t client;
    uint64_t request;
    struct SlResult result;
};

static const struct SlField RECORD_FIELDS[] = {
    U64(request_record, client),
    U64(request_record, request),
    PART(request_record, result, RESULT),
};
static const struct SlLayout RECORD = SL_LAYOUT(request_record, RECORD_FIELDS);

static const struct SlField HELLO_FIELDS[] = {
    TEXT(SlHello, name),
    U32(SlHello, roles),
    U64(SlHello, boot),
    PART(SlHello, version, VERSION),
};
static const struct SlLayout HELLO = SL_LAYOUT(SlHello, HELLO_FIELDS);

static const struct SlField HEARTBEAT_FIELDS[] = {
    PART(SlHeartbeat, version, VERSION), BOOL(SlHeartbeat, fresh),
    U64(SlHeartbeat, sent_us),           U64(SlHeartbeat, echo_us),
    U64(SlHeartbeat, kept_us),
};
static const struct SlLayout HEARTBEAT =
    SL_LAYOUT_OPTIONAL(SlHeartbeat, HEARTBEAT_FIELDS, 1);

static const struct SlField SUBSCRIBE_FIELDS[] = {
    PART(SlSubscribe, version, VERSION),
};
static const struct SlLayout SUBSCRIBE =
    SL_LAYOUT(SlSubscribe, SUBSCRIBE_FIELDS);

static const struct SlField CONFIG_FIELDS[] = {
    PART(SlConfigPart, from, VERSION),
    PART(SlConfigPart, to, VERSION),
    BOOL(SlConfigPart, full),
    BOOL(SlConfigPart, first),
    BOOL(SlConfigPart, last),
    BOOL(SlConfigPart, fresh),
    SL_FIELD_POINTER(SlConfigPart, objects, object_count,
                     SL_CONFIG_OBJECTS_MAX, OBJECT),
    SL_FIELD_POINTER(SlConfigPart, removed, removed_count,
                     SL_CONFIG_OBJECTS_MAX, OBJECT),
    PART(SlConfigPart, document, DOCUMENT),
};
static const struct SlLayout CONFIG =
    SL_LAYOUT_OPTIONAL(SlConfigPart, CONFIG_FIELDS, 1);

static const struct SlField QUERY_FIELDS[] = {
    ENUM(SlQuery, query, SL_QUERY_KIND_COUNT),
    ENUM(SlQuery, kind, SL_KIND_COUNT),
    TEXT(SlQuery, name),
    PART(SlQuery, version, VERSION),
};
static const struct SlLayout QUERY = SL_LAYOUT(SlQuery, QUERY_FIELDS);

static const struct SlField ANSWER_FIELDS[] = {
    BOOL(SlObjectAnswer, end),
    PART(SlObjectAnswer, object, OBJECT),
};
static const struct SlLayout ANSWER = SL_LAYOUT(SlObjectAnswer, ANSWER_FIELDS);

static const struct SlField TEXT_FIELDS[] = {
    ENUM(SlText, status, SL_STATUS_COUNT),
    SL_FIELD_BYTES(SlText, text, length_bytes, SL_FRAME_MAX_BYTES),
};
static const struct SlLayout TEXT_ANSWER = SL_LAYOUT(SlText, TEXT_FIELDS);

static const struct SlField VOTE_FIELDS[] = {
    U64(SlVote, term),
    BOOL(SlVote, pre_vote),
    PART(SlVote, last, VERSION),
    U64(SlVote, sent_us),
};
static const struct SlLayout VOTE = SL_LAYOUT_OPTIONAL(SlVote, VOTE_FIELDS, 1);

static const struct SlField VOTED_FIELDS[] = {
    U64(SlVoted, term),     BOOL(SlVoted, pre_vote),
    BOOL(SlVoted, granted), U64(SlVoted, incarnation),
    U64(SlVoted, sent_us),  U64(SlVoted, lease_left_us),
};
static const struct SlLayout VOTED =
    SL_LAYOUT_OPTIONAL(SlVoted, VOTED_FIELDS, 2);

static const struct SlField LOG_ENTRY_FIELDS[] = {
    U64(SlLogEntry, term),
    U64(SlLogEntry, index),
    SL_FIELD_BYTES(SlLogEntry, data, data_bytes, SL_FRAME_MAX_BYTES),
};
static const struct SlLayout LOG_ENTRY =
    SL_LAYOUT(SlLogEntry, LOG_ENTRY_FIELDS);

static const struct SlField STAMP_FIELDS[] = {
    U64(SlTimestamp, us),
    U64(SlTimestamp, kept_us),
};
static const struct SlLayout STAMP = SL_LAYOUT(SlTimestamp, STAMP_FIELDS);

static const struct SlField APPEND_FIELDS[] = {
    U64(SlAppend, term),
    PART(SlAppend, previous, VERSION),
    U64(SlAppend, commit),
    U64(SlAppend, round),
    U64(SlAppend, lease_us),
    BOOL(SlAppend, resigns),
    SL_FIELD_POINTER(SlAppend, entries, entry_count, APPEND_ENTRIES_MAX,
                     LOG_ENTRY),
    PART(SlAppend, echo, STAMP),
    U64(SlAppend, election_us),
};
static const struct SlLayout APPEND =
    SL_LAYOUT_OPTIONAL(SlAppend, APPEND_FIELDS, 2);

static const struct SlField APPENDED_FIELDS[] = {
    U64(SlAppended, term),        BOOL(SlAppended, success),
    U64(SlAppended, index),       U64(SlAppended, round),
    U64(SlAppended, incarnation), PART(SlAppended, sent, STAMP),
    U64(SlAppended, election_us),
};
static const struct SlLayout APPENDED =
    SL_LAYOUT_OPTIONAL(SlAppended, APPENDED_FIELDS, 2);

static const struct SlField INSTALL_FIELDS[] = {
    U64(SlInstall, term),
    PART(SlInstall, last, VERSION),
    U64(SlInstall, offset),
    BOOL(SlInstall, done),
    SL_FIELD_BYTES(SlInstall, data, data_bytes, SL_BLOB_CHUNK_BYTES),
};
static const struct SlLayout INSTALL = SL_LAYOUT(SlInstall, INSTALL_FIELDS);

static const struct SlField INSTALLED_FIELDS[] = {
    U64(SlInstalled, term),
    U64(SlInstalled, offset),
    BOOL(SlInstalled, done),
    U64(SlInstalled, incarnation),
};
static const struct SlLayout INSTALLED =
    SL_LAYOUT(SlInstalled, INSTALLED_FIELDS);

static const struct SlField JOIN_FIELDS[] = {
    TEXT(SlJoin, name),
    PART(SlJoin, link, ADDRESS),
};
static const struct SlLayout JOIN = SL_LAYOUT(SlJoin, JOIN_FIELDS);

static const struct SlField FLOW_RECORD_FIELDS[] = {
    PART(SlFlowRecord, key.caller, ADDRESS),
    PART(SlFlowRecord, key.service, ADDRESS),
    U8(SlFlowRecord, key.protocol),
    U32(SlFlowRecord, ack),
    BOOL(SlFlowRecord, ended),
};
static const struct SlLayout FLOW_RECORD =
    SL_LAYOUT(SlFlowRecord, FLOW_RECORD_FIELDS);

static const struct SlField FLOW_RECORDS_FIELDS[] = {
    ENUM(SlFlowRecords, action, SL_FLOW_RECORDS_ACTION_COUNT),
    U64(SlFlowRecords, agent_id),
    U64(SlFlowRecords, started_ms),
    BOOL(SlFlowRecords, passed_on),
    SL_FIELD_POINTER(SlFlowRecords, records, count, SL_FLOW_BUNDLE_MAX,
                     FLOW_RECORD),
};
static const struct SlLayout FLOW_RECORDS =
    SL_LAYOUT(SlFlowRecords, FLOW_RECORDS_FIELDS);

struct message_row {
    const char *name;
    const struct SlLayout *layout;
    /// Offset in bytes of the kind's member within SlMessage.
    size_t offset;
};

#define ROW(text, layout_, member)                                            \
    {                                                                         \
        .name = (text), .layout = &(layout_),                                 \
        .offset = offsetof(struct SlMessage, member)                          \
    }

static const struct message_row MESSAGES[SL_MESSAGE_KIND_COUNT] = {
    [SL_MESSAGE_HELLO] = ROW("hello", HELLO, hello),
    [SL_MESSAGE_HEARTBEAT] = ROW("heartbeat", HEARTBEAT, heartbeat),
    [SL_MESSAGE_ANNOUNCE] = ROW("announce", OBJECT, announce),
    [SL_MESSAGE_SUBSCRIBE] = ROW("subscribe", SUBSCRIBE, subscribe),
    [SL_MESSAGE_CONFIG] = ROW("config", CONFIG, config),
    [SL_MESSAGE_CHANGE] = ROW("change", CHANGE, change),
    [SL_MESSAGE_RESULT] = ROW("result", RECORD, result),
    [SL_MESSAGE_QUERY] = ROW("query", QUERY, query),
    [SL_MESSAGE_OBJECT] = ROW("object", ANSWER, object),
    [SL_MESSAGE_TEXT] = ROW("text", TEXT_ANSWER, text),
    [SL_MESSAGE_VOTE] = ROW("vote", VOTE, vote),
    [SL_MESSAGE_VOTED] = ROW("voted", VOTED, voted),
    [SL_MESSAGE_APPEND] = ROW("append", APPEND, append),
    [SL_MESSAGE_APPENDED] = ROW("appended", APPENDED, appended),
    [SL_MESSAGE_INSTALL] = ROW("install", INSTALL, install),
    [SL_MESSAGE_INSTALLED] = ROW("installed", INSTALLED, installed),
    [SL_MESSAGE_JOIN] = ROW("join", JOIN, join),
    [SL_MESSAGE_FLOW_RECORDS] =
        ROW("flow_records", FLOW_RECORDS, flow_records),
};

/// The buffer that is written, and the status of the first write that failed.
struct writer {
    struct SlBuffer *buffer;
    enum SlStatus status;
};

static int
write_to_buffer(void *data, const char *bytes, size_t length_bytes)
{
    struct writer *writer = data;

    if (writer->status == SL_OK) {
        writer->status = SlBuffer_Append(writer->buffer, bytes, length_bytes);
    }
    return writer->status == SL_OK ? 0 : -1;
}

/// Appends one packed struct; after an error the buffer has its old length
/// again.
static enum SlStatus
encode_value(const struct SlLayout *layout, const void *base,
             struct SlBuffer *buffer)
{
    struct writer writer = {.buffer = buffer, .status = SL_OK};
    size_t start = buffer->length_bytes;
    msgpack_packer packer;

    msgpack_packer_init(&packer, &writer, write_to_buffer);
    SlLayout_Pack(layout, base, &packer);
    if (writer.status != SL_OK) {
        buffer->length_bytes = start;
    }
    return writer.status;
}

/// Unpacks one value that fills bytes and reads it according to layout.
static enum SlStatus
decode_value(const struct SlLayout *layout, const uint8_t *bytes,
             size_t length_bytes, void *base)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    enum SlStatus status = SL_MALFORMED;

    memset(base, 0, layout->size_bytes);
    msgpack_unpacked_init(&unpacked);
    if (SlEncoding_IsWellFormed(bytes, length_bytes,
                                SL_ENCODING_FRAME_VALUES_MAX) &&
        msgpack_unpack_next(&unpacked, (const char *)bytes, length_bytes,
                            &offset) == MSGPACK_UNPACK_SUCCESS &&
        offset == length_bytes) {
        status = SlLayout_Read(layout, &unpacked.data, base);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (status != SL_OK) {
        SlLayout_Release(layout, base);
    }
    return status;
}

enum SlStatus
SlMessage_Encode(const struct SlMessage *message, struct SlBuffer *buffer)
{
    const struct message_row *row = &MESSAGES[message->kind];
    size_t start = buffer->length_bytes;
    struct writer writer = {.buffer = buffer, .status = SL_OK};
    msgpack_packer packer;

    msgpack_packer_init(&packer, &writer, write_to_buffer);
    msgpack_pack_array(&packer, 2);
    msgpack_pack_uint32(&packer, (uint32_t)message->kind);
    SlLayout_Pack(row->layout, (const uint8_t *)message + row->offset,
                  &packer);
    if (writer.status == SL_OK &&
        buffer->length_bytes - start > SL_FRAME_MAX_BYTES) {
        writer.status = SL_TOO_LONG;
    }
    if (writer.status != SL_OK) {
        buffer->length_bytes = start;
    }
    return writer.status;
}

/// The row for the kind of an unpacked message, NULL when the value is not a
/// message.
static const struct message_row *
find_message_row(const msgpack_object *value)
{
    uint64_t kind;

    if (value->type != MSGPACK_OBJECT_ARRAY || value->via.array.size != 2 ||
        value->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return NULL;
    }
    kind = value->via.array.ptr[0].via.u64;
    if (kind == SL_MESSAGE_NONE || kind >= SL_MESSAGE_KIND_COUNT) {
        return NULL;
    }
    return &MESSAGES[kind];
}

enum SlStatus
SlMessage_Decode(const uint8_t *bytes, size_t length_bytes,
                 struct SlMessage *message)
{
    const struct message_row *row;
    msgpack_unpacked unpacked;
    size_t offset = 0;
    enum SlStatus status = SL_MALFORMED;

    memset(message, 0, sizeof(*message));
    msgpack_unpacked_init(&unpacked);
    if (SlEncoding_IsWellFormed(bytes, length_bytes,
                                SL_ENCODING_FRAME_VALUES_MAX) &&
        msgpack_unpack_next(&unpacked, (const char *)bytes, length_bytes,
                            &offset) == MSGPACK_UNPACK_SUCCESS &&
        offset == length_bytes) {
        row = find_message_row(&unpacked.data);
        if (row != NULL) {
            message->kind = (enum SlMessageKind)(row - MESSAGES);
            status =
                SlLayout_Read(row->layout, &unpacked.data.via.array.ptr[1],
                              (uint8_t *)message + row->offset);
        }
    }
    msgpack_unpacked_destroy(&unpacked);
    if (status != SL_OK) {
        SlMessage_Release(message);
    }
    return status;
}

void
SlMessage_Release(struct SlMessage *message)
{
    const struct message_row *row = &MESSAGES[message->kind];

    if (row->layout != NULL) {
        SlLayout_Release(row->layout, (uint8_t *)message + row->offset);
    }
    message->kind = SL_MESSAGE_NONE;
}

const char *
SlMessageKind_Name(enum SlMessageKind kind)
{
    if ((uint32_t)kind >= SL_MESSAGE_KIND_COUNT || kind == SL_MESSAGE_NONE) {
        return "unknown";
    }
    return MESSAGES[kind].name;
}

enum SlStatus
SlChange_Encode(const struct SlChange *change, struct SlBuffer *buffer)
{
    return encode_value(&CHANGE, change, buffer);
}

enum SlStatus
SlChange_Decode(const uint8_t *bytes, size_t length_bytes,
                struct SlChange *change)
{
    return decode_value(&CHANGE, bytes, length_bytes, change);
}

void
SlChange_Release(struct SlChange *change)
{
    SlLayout_Release(&CHANGE, change);
}

enum SlStatus
SlObject_Encode(const struct SlObject *object, struct SlBuffer *buffer)
{
    return encode_value(&OBJECT, object, buffer);
}

enum SlStatus
SlObject_Decode(const uint8_t *bytes, size_t length_bytes,
                struct SlObject *object)
{
    return decode_value(&OBJECT, bytes, length_bytes, object);
}

enum SlStatus
SlRequestRecord_Encode(uint64_t client, uint64_t request,
                       const struct SlResult *result, struct SlBuffer *buffer)
{
    struct request_record record = {
        .client = client, .request = request, .result = *result};

    return encode_value(&RECORD, &record, buffer);
}

enum SlStatus
SlRequestRecord_Decode(const uint8_t *bytes, size_t length_bytes,
                       uint64_t *client, uint64_t *request,
                       struct SlResult *result)
{
    struct request_record record;
    enum SlStatus status = decode_value(&RECORD, bytes, length_bytes, &record);

    if (status == SL_OK) {
        *client = record.client;
        *request = record.request;
        *result = record.result;
    }
    return status;
}
