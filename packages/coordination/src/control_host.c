/// The owner's side of the replicated log: applying changes, snapshots of
/// the configuration with its remembered results.

#include <endian.h>
#include <string.h>

#include "control_core.h"

static void
send_host(void *host, uint64_t node_id, const struct SlMessage *message)
{
    struct SlControl *control = host;
    struct SlControlLink *link = SlControl_MemberLink(control, node_id);

    if (link != NULL && control->sink != NULL) {
        control->sink->type->send_message(control->sink, link->link, message);
    }
}

static void
apply_host(void *host, struct SlVersion version, const struct SlChange *change)
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
    /* A resend has an older version and touched nothing now. */
    if (result.status == SL_OK &&
        SlVersion_Compare(result.version, version) == 0) {
        SlControl_Touch(control, version, change);
    }
    if (change->verb != SL_VERB_NOOP) {
        SlControl_Event(control, &event);
    }
    SlControl_Answer(control, version, &result);
}

static enum SlStatus
append_u64(struct SlBuffer *buffer, uint64_t value)
{
    uint64_t little = htole64(value);

    return SlBuffer_Append(buffer, &little, sizeof(little));
}

/// Fills in the length in front of a value that begins after start.
static void
close_value(struct SlBuffer *buffer, size_t start)
{
    uint64_t little = htole64(buffer->length_bytes - start - sizeof(uint64_t));

    memcpy(buffer->bytes + start, &little, sizeof(little));
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
        close_value(buffer, start);
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
        close_value(buffer, start);
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

/// Nothing at all is written for no document, as in older snapshots.
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
save_host(void *host, struct SlBuffer *buffer)
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

/// What is left of a snapshot.
struct reader {
    const uint8_t *bytes;
    size_t length_bytes;
};

static bool
read_u64(struct reader *reader, uint64_t *value)
{
    uint64_t little;

    if (reader->length_bytes < sizeof(little)) {
        return false;
    }
    memcpy(&little, reader->bytes, sizeof(little));
    *value = le64toh(little);
    reader->bytes += sizeof(little);
    reader->length_bytes -= sizeof(little);
    return true;
}

/// Takes one value with its length off the front.
static bool
read_value(struct reader *reader, struct reader *value)
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
load_objects(struct reader *reader, struct SlConfig *config)
{
    uint64_t count;
    struct reader value;
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
load_results(struct reader *reader, struct SlConfig *config)
{
    struct SlVersion forgotten;
    uint64_t count;
    struct reader value;
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
load_document(struct reader *reader, struct SlConfig *config)
{
    struct SlVersion modified;
    struct SlDocumentText text;
    struct reader value;

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

/// Reads a whole configuration with its remembered results.
static enum SlStatus
load_config(const uint8_t *bytes, size_t length_bytes, struct SlConfig **out)
{
    struct reader reader = {.bytes = bytes, .length_bytes = length_bytes};
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
check_host(void *host, const uint8_t *bytes, size_t length_bytes)
{
    struct SlConfig *config = NULL;
    enum SlStatus status = load_config(bytes, length_bytes, &config);

    (void)host;
    SlConfig_Destroy(config);
    return status;
}

static enum SlStatus
restore_host(void *host, struct SlVersion last, const uint8_t *bytes,
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
    SlControl_ForgetTouched(control);
    return SL_OK;
}

static void
refused_host(void *host, uint64_t from_index, enum SlStatus status)
{
    SlControl_Refuse(host, from_index, status);
}

static void
event_host(void *host, enum SlEventNumber number, const char *peer,
           const char *reason, int64_t value, int64_t limit)
{
    struct SlEvent event = {.number = number,
                            .peer = peer,
                            .reason = reason,
                            .value = value,
                            .limit = limit};

    SlControl_Event(host, &event);
}

const struct SlRaftHostType SL_CONTROL_HOST = {
    .send = send_host,
    .apply = apply_host,
    .save = save_host,
    .check = check_host,
    .restore = restore_host,
    .refused = refused_host,
    .event = event_host,
};
