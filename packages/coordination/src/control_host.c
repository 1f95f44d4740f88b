/// Callbacks of the replicated log: they apply changes to the configuration,
/// and save and restore snapshots of it with its stored request results.

#include <endian.h>
#include <string.h>

#include "control_core.h"

static void
send_raft_message(void *host, uint64_t node_id,
                  const struct SlMessage *message)
{
    struct SlControl *control = host;
    struct SlControlLink *link = SlControl_FindMemberLink(control, node_id);

    if (link != NULL && control->sink != NULL) {
        control->sink->type->send_message(control->sink, link->link, message);
    }
}

static void
apply_change(void *host, struct SlVersion version,
             const struct SlChange *change)
{
    struct SlControl *control = host;
    struct SlResult result;
    struct SlEvent event = {.number = SL_EVENT_COMMITTED,
                            .node = change->object.name,
                            .reason = SlVerb_Name(change->verb),
                            .value = (int64_t)change->client,
                            .limit = (int64_t)change->request};

    SlConfig_Apply(control->config, version, change, &result);
    if (result.status != SL_OK) {
        event.number = SL_EVENT_REJECTED;
        event.reason = SlStatus_Name(result.status);
    }
    /* A repeated request has the older version of its first result and
       modified nothing now. */
    if (result.status == SL_OK &&
        SlVersion_Compare(result.version, version) == 0) {
        SlControl_RecordModification(control, version, change);
    }
    if (change->verb != SL_VERB_NOOP) {
        SlControl_EmitEvent(control, &event);
    }
    SlControl_CompleteWaiters(control, version, &result);
}

static enum SlStatus
append_u64(struct SlBuffer *buffer, uint64_t value)
{
    uint64_t little_endian = htole64(value);

    return SlBuffer_Append(buffer, &little_endian, sizeof(little_endian));
}

/// Writes the length of the value that follows the length field at start.
static void
fill_value_length(struct SlBuffer *buffer, size_t start)
{
    uint64_t little_endian =
        htole64(buffer->length_bytes - start - sizeof(uint64_t));

    memcpy(buffer->bytes + start, &little_endian, sizeof(little_endian));
}

static enum SlStatus
save_object(const struct SlObject *object, struct SlBuffer *buffer)
{
    size_t start = buffer->length_bytes;
    enum SlStatus status = append_u64(buffer, 0);

    if (status == SL_OK) {
        status = SlObject_Encode(object, buffer);
    }
    if (status == SL_OK) {
        fill_value_length(buffer, start);
    }
    return status;
}

static enum SlStatus
save_result(const struct SlRequestRecord *record, struct SlBuffer *buffer)
{
    size_t start = buffer->length_bytes;
    enum SlStatus status = append_u64(buffer, 0);

    if (status == SL_OK) {
        status = SlRequestRecord_Encode(record->client, record->request,
                                        &record->result, buffer);
    }
    if (status == SL_OK) {
        fill_value_length(buffer, start);
    }
    return status;
}

static enum SlStatus
save_objects(const struct SlConfig *config, struct SlBuffer *buffer)
{
    uint64_t count = 0;
    enum SlStatus status;

    for (uint32_t kind = SL_KIND_ZONE; kind < SL_KIND_COUNT; kind++) {
        count += SlConfig_ObjectCount(config, kind);
    }
    status = append_u64(buffer, count);
    for (uint32_t kind = SL_KIND_ZONE; kind < SL_KIND_COUNT; kind++) {
        for (uint32_t i = 0;
             status == SL_OK && i < SlConfig_ObjectCount(config, kind); i++) {
            status = save_object(SlConfig_ObjectAt(config, kind, i), buffer);
        }
    }
    return status;
}

/// Without a document nothing is written, as in snapshots that precede
/// documents.
static enum SlStatus
save_document(const struct SlConfig *config, struct SlBuffer *buffer)
{
    const struct SlDocument *document = SlConfig_Document(config);
    struct SlVersion modified = SlConfig_DocumentModifiedVersion(config);
    enum SlStatus status;

    if (document == NULL) {
        return SL_OK;
    }
    status = append_u64(buffer, modified.term);
    status = status == SL_OK ? append_u64(buffer, modified.index) : status;
    status = status == SL_OK ? append_u64(buffer, document->version) : status;
    status =
        status == SL_OK ? append_u64(buffer, document->length_bytes) : status;
    return status == SL_OK ? SlBuffer_Append(buffer, document->bytes,
                                             document->length_bytes)
                           : status;
}

static enum SlStatus
save_state(void *host, struct SlBuffer *buffer)
{
    const struct SlControl *control = host;
    const struct SlConfig *config = control->config;
    struct SlVersion forgotten = SlConfig_ForgottenVersion(config);
    uint32_t count = SlConfig_ResultCount(config);
    enum SlStatus status = save_objects(config, buffer);

    status = status == SL_OK ? append_u64(buffer, forgotten.term) : status;
    status = status == SL_OK ? append_u64(buffer, forgotten.index) : status;
    status = status == SL_OK ? append_u64(buffer, count) : status;
    for (uint32_t i = 0; status == SL_OK && i < count; i++) {
        status = save_result(SlConfig_ResultAt(config, i), buffer);
    }
    return status == SL_OK ? save_document(config, buffer) : status;
}

/// The part of a snapshot that has not been read yet. Borrows the bytes.
struct snapshot_reader {
    const uint8_t *bytes;
    size_t length_bytes;
};

static bool
read_u64(struct snapshot_reader *reader, uint64_t *value)
{
    uint64_t little_endian;

    if (reader->length_bytes < sizeof(little_endian)) {
        return false;
    }
    memcpy(&little_endian, reader->bytes, sizeof(little_endian));
    *value = le64toh(little_endian);
    reader->bytes += sizeof(little_endian);
    reader->length_bytes -= sizeof(little_endian);
    return true;
}

/// Reads one value with its length prefix. value borrows the bytes.
static bool
read_value(struct snapshot_reader *reader, struct snapshot_reader *value)
{
    uint64_t length_bytes;

    if (!read_u64(reader, &length_bytes) ||
        length_bytes > reader->length_bytes) {
        return false;
    }
    value->bytes = reader->bytes;
    value->length_bytes = length_bytes;
    reader->bytes += length_bytes;
    reader->length_bytes -= length_bytes;
    return true;
}

static enum SlStatus
load_objects(struct snapshot_reader *reader, struct SlConfig *config)
{
    uint64_t count;
    struct snapshot_reader value;
    struct SlObject object;

    if (!read_u64(reader, &count)) {
        return SL_DAMAGED;
    }
    for (uint64_t i = 0; i < count; i++) {
        if (!read_value(reader, &value) ||
            SlObject_Decode(value.bytes, value.length_bytes, &object) !=
                SL_OK ||
            object.kind == SL_KIND_NONE) {
            return SL_DAMAGED;
        }
        if (SlConfig_PutObject(config, &object) != SL_OK) {
            return SL_NO_MEMORY;
        }
    }
    return SL_OK;
}

static enum SlStatus
load_results(struct snapshot_reader *reader, struct SlConfig *config)
{
    struct SlVersion forgotten;
    uint64_t count;
    struct snapshot_reader value;
    struct SlRequestRecord record;

    if (!read_u64(reader, &forgotten.term) ||
        !read_u64(reader, &forgotten.index) || !read_u64(reader, &count) ||
        count > SL_REMEMBERED_RESULTS_MAX) {
        return SL_DAMAGED;
    }
    for (uint64_t i = 0; i < count; i++) {
        if (!read_value(reader, &value) ||
            SlRequestRecord_Decode(value.bytes, value.length_bytes,
                                   &record.client, &record.request,
                                   &record.result) != SL_OK) {
            return SL_DAMAGED;
        }
        if (SlConfig_PutResult(config, &record) != SL_OK) {
            return SL_NO_MEMORY;
        }
    }
    SlConfig_SetForgottenVersion(config, forgotten);
    return SL_OK;
}

static enum SlStatus
load_document(struct snapshot_reader *reader, struct SlConfig *config)
{
    struct SlVersion modified;
    struct SlDocumentText text;
    struct snapshot_reader value;

    if (reader->length_bytes == 0) {
        return SL_OK;
    }
    if (!read_u64(reader, &modified.term) ||
        !read_u64(reader, &modified.index) ||
        !read_u64(reader, &text.version) || !read_value(reader, &value) ||
        value.length_bytes > SL_DOCUMENT_MAX_BYTES ||
        reader->length_bytes != 0) {
        return SL_DAMAGED;
    }
    text.bytes = value.bytes;
    text.length_bytes = (uint32_t)value.length_bytes;
    return SlConfig_PutDocument(config, modified, &text);
}

/// Decodes a whole configuration with its stored request results. On success
/// the caller owns *out.
static enum SlStatus
load_config(const uint8_t *bytes, size_t length_bytes, struct SlConfig **out)
{
    struct snapshot_reader reader = {.bytes = bytes,
                                     .length_bytes = length_bytes};
    struct SlConfig *config = SlConfig_Create();
    enum SlStatus status = SL_NO_MEMORY;

    if (config != NULL) {
        status = load_objects(&reader, config);
    }
    if (status == SL_OK) {
        status = load_results(&reader, config);
    }
    if (status == SL_OK) {
        status = load_document(&reader, config);
    }
    if (status != SL_OK) {
        SlConfig_Destroy(config);
        return status;
    }
    *out = config;
    return SL_OK;
}

static enum SlStatus
check_state(void *host, const uint8_t *bytes, size_t length_bytes)
{
    struct SlConfig *config = NULL;
    enum SlStatus status = load_config(bytes, length_bytes, &config);

    (void)host;
    SlConfig_Destroy(config);
    return status;
}

static enum SlStatus
restore_state(void *host, struct SlVersion last, const uint8_t *bytes,
              size_t length_bytes)
{
    struct SlControl *control = host;
    struct SlConfig *config = NULL;
    enum SlStatus status = load_config(bytes, length_bytes, &config);

    if (status != SL_OK) {
        return status;
    }
    SlConfig_SetVersion(config, last);
    SlConfig_Destroy(control->config);
    control->config = config;
    SlControl_ClearModifications(control);
    return SL_OK;
}

static void
on_records_refused(void *host, uint64_t from_index, enum SlStatus status)
{
    SlControl_RefuseWaiters(host, from_index, status);
}

static void
emit_raft_event(void *host, enum SlEventNumber number, const char *peer,
                const char *reason, int64_t value, int64_t limit)
{
    struct SlEvent event = {.number = number,
                            .peer = peer,
                            .reason = reason,
                            .value = value,
                            .limit = limit};

    SlControl_EmitEvent(host, &event);
}

const struct SlRaftHostType SL_CONTROL_HOST = {
    .send_message = send_raft_message,
    .apply_change = apply_change,
    .save_state = save_state,
    .check_state = check_state,
    .restore_state = restore_state,
    .records_refused = on_records_refused,
    .emit_event = emit_raft_event,
};
