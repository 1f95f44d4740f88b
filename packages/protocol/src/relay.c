#include "savoryledge/protocol/relay.h"

#include <string.h>

#include "layout.h"
#include "savoryledge/protocol/encoding.h"

enum {
    LENGTH_FIELD_BYTES = 2,
    BYTE_BITS = 8,
};

#define U8(owner, member) SL_FIELD_PLAIN(SL_FIELD_U8, owner, member)
#define U16(owner, member) SL_FIELD_PLAIN(SL_FIELD_U16, owner, member)
#define U32(owner, member) SL_FIELD_PLAIN(SL_FIELD_U32, owner, member)
#define U64(owner, member) SL_FIELD_PLAIN(SL_FIELD_U64, owner, member)
#define BOOL(owner, member) SL_FIELD_PLAIN(SL_FIELD_BOOL, owner, member)

/// An item of the header's list of agents that declined the flow.
struct declined_item {
    uint64_t node_id;
};

/// The header of a frame, with its list in the form {count, items} that
/// layouts require.
struct header {
    enum SlRelayKind kind;
    enum SlRelayReason reason;
    uint64_t sender;
    uint64_t plan_version;
    bool last;
    /// In an offer: whether its sender reads all fields of a load, and whether
    /// it uses them. In queries of several flows and their answers: what is
    /// said of unsure agents.
    bool certain;
    uint32_t ack;
    struct {
        uint32_t count;
        struct declined_item items[SL_RELAY_DECLINED_MAX];
    } declined_by;
    struct SlRelayLoad load;
    struct SlFlowKey flow;
};

static const struct SlField ADDRESS_FIELDS[] = {
    SL_FIELD_PLAIN(SL_FIELD_IP, SlAddress, ip),
    U16(SlAddress, port),
};
static const struct SlLayout ADDRESS = SL_LAYOUT(SlAddress, ADDRESS_FIELDS);

static const struct SlField FLOW_FIELDS[] = {
    SL_FIELD_PART(SlFlowKey, caller, ADDRESS),
    SL_FIELD_PART(SlFlowKey, service, ADDRESS),
    U8(SlFlowKey, protocol),
};
static const struct SlLayout FLOW = SL_LAYOUT(SlFlowKey, FLOW_FIELDS);

static const struct SlField LOAD_FIELDS[] = {
    U32(SlRelayLoad, in_progress),
    U32(SlRelayLoad, slots),
    U32(SlRelayLoad, flows),
    U32(SlRelayLoad, answer_us),
    BOOL(SlRelayLoad, declines_flows),
    U32(SlRelayLoad, transfers),
    U32(SlRelayLoad, work_us),
    U32(SlRelayLoad, variation_percent),
    U32(SlRelayLoad, remaining_us),
    U32(SlRelayLoad, demand_permille),
    U32(SlRelayLoad, flow_demand_permille),
};
static const struct SlLayout LOAD =
    SL_LAYOUT_OPTIONAL(SlRelayLoad, LOAD_FIELDS, 6);

static const struct SlField DECLINED_FIELDS[] = {
    U64(declined_item, node_id),
};
static const struct SlLayout DECLINED =
    SL_LAYOUT(declined_item, DECLINED_FIELDS);

static const struct SlField HEADER_FIELDS[] = {
    SL_FIELD_CHOICE(header, kind, SL_RELAY_KIND_COUNT),
    SL_FIELD_CHOICE(header, reason, SL_RELAY_REASON_COUNT),
    U64(header, sender),
    U64(header, plan_version),
    BOOL(header, last),
    BOOL(header, certain),
    U32(header, ack),
    SL_FIELD_ITEMS(header, declined_by, SL_RELAY_DECLINED_MAX, DECLINED),
    SL_FIELD_PART(header, load, LOAD),
    SL_FIELD_PART(header, flow, FLOW),
};
static const struct SlLayout HEADER =
    SL_LAYOUT_OPTIONAL(header, HEADER_FIELDS, 2);

static const struct SlField QUERY_ITEM_FIELDS[] = {
    SL_FIELD_PART(SlRelayQueryItem, flow, FLOW),
    U32(SlRelayQueryItem, ack),
    BOOL(SlRelayQueryItem, certain),
    U64(SlRelayQueryItem, holder),
};
static const struct SlLayout QUERY_ITEM =
    SL_LAYOUT(SlRelayQueryItem, QUERY_ITEM_FIELDS);

static const struct SlField VERSION_FIELDS[] = {
    U64(SlVersion, term),
    U64(SlVersion, index),
};
static const struct SlLayout VERSION = SL_LAYOUT(SlVersion, VERSION_FIELDS);

static const struct SlField QUERY_LIST_FIELDS[] = {
    U32(SlRelayQueryList, query_id),
    SL_FIELD_PART(SlRelayQueryList, version, VERSION),
    U32(SlRelayQueryList, unanswered),
    {.type = SL_FIELD_LIST,
     .offset = offsetof(struct SlRelayQueryList, count),
     .limit = SL_RELAY_QUERY_ITEMS_MAX,
     .layout = &QUERY_ITEM,
     .items_offset = offsetof(struct SlRelayQueryList, items)},
};
static const struct SlLayout QUERY_LIST =
    SL_LAYOUT(SlRelayQueryList, QUERY_LIST_FIELDS);

/// One agent of a list of unsure agents.
struct unsure_item {
    uint64_t node_id;
};

static const struct SlField UNSURE_ITEM_FIELDS[] = {
    U64(unsure_item, node_id),
};
static const struct SlLayout UNSURE_ITEM =
    SL_LAYOUT(unsure_item, UNSURE_ITEM_FIELDS);

static const struct SlField UNSURE_LIST_FIELDS[] = {
    U32(SlRelayUnsureList, query_id),
    {.type = SL_FIELD_LIST,
     .offset = offsetof(struct SlRelayUnsureList, count),
     .limit = SL_RELAY_UNSURE_MAX,
     .layout = &UNSURE_ITEM,
     .items_offset = offsetof(struct SlRelayUnsureList, node_ids)},
};
static const struct SlLayout UNSURE_LIST =
    SL_LAYOUT(SlRelayUnsureList, UNSURE_LIST_FIELDS);

static const struct SlField TABLE_FIELDS[] = {
    U64(SlRelayTable, owner),
    U64(SlRelayTable, started_ms),
    U32(SlRelayTable, part),
    U32(SlRelayTable, part_count),
    {.type = SL_FIELD_LIST,
     .offset = offsetof(struct SlRelayTable, count),
     .limit = SL_RELAY_TABLE_FLOWS_MAX,
     .layout = &FLOW,
     .items_offset = offsetof(struct SlRelayTable, flows)},
};
static const struct SlLayout TABLE = SL_LAYOUT(SlRelayTable, TABLE_FIELDS);

/// A buffer of fixed size. The first write that does not fit sets overflowed;
/// all later writes then fail.
struct fixed_buffer {
    uint8_t *bytes;
    uint32_t size_bytes;
    uint32_t used_bytes;
    bool overflowed;
};

static int
write_to_buffer(void *data, const char *bytes, size_t length_bytes)
{
    struct fixed_buffer *buffer = data;

    if (buffer->overflowed ||
        length_bytes > buffer->size_bytes - buffer->used_bytes) {
        buffer->overflowed = true;
        return -1;
    }
    memcpy(buffer->bytes + buffer->used_bytes, bytes, length_bytes);
    buffer->used_bytes += (uint32_t)length_bytes;
    return 0;
}

/// Returns what the header's member certain says in a frame of this kind.
static bool
certain_field(const struct SlRelayFrame *frame)
{
    switch (frame->kind) {
    case SL_RELAY_OFFER:
        return frame->reads_cost;
    case SL_RELAY_QUERY_MANY:
    case SL_RELAY_BROADCAST_QUERY:
        return frame->reads_unsure;
    case SL_RELAY_HOLDS_MANY:
        return frame->is_unsure;
    default:
        return frame->certain;
    }
}

/// Returns what the header's member ack says in a frame of this kind.
static uint32_t
ack_field(const struct SlRelayFrame *frame)
{
    switch (frame->kind) {
    case SL_RELAY_OFFER:
        return frame->uses_cost;
    case SL_RELAY_BROADCAST_RESULT:
        return frame->unsure_count;
    default:
        return frame->ack;
    }
}

static void
fill_header(const struct SlRelayFrame *frame, struct header *header)
{
    *header =
        (struct header){.kind = frame->kind,
                        .reason = frame->reason,
                        .sender = frame->sender,
                        .plan_version = frame->plan_version,
                        .last = frame->no_alternative || frame->more_follows,
                        .certain = certain_field(frame),
                        .ack = ack_field(frame),
                        .declined_by = {.count = frame->declined_count}};
    for (uint32_t i = 0; i < frame->declined_count; i++) {
        header->declined_by.items[i].node_id = frame->declined_by[i];
    }
    memcpy(&header->load, &frame->load, sizeof(header->load));
    memcpy(&header->flow, &frame->flow, sizeof(header->flow));
}

uint32_t
SlRelayFrame_Encode(const struct SlRelayFrame *frame,
                    uint8_t out[SL_RELAY_MAX_BYTES])
{
    struct fixed_buffer buffer = {.bytes = out,
                                  .size_bytes = SL_RELAY_MAX_BYTES,
                                  .used_bytes = LENGTH_FIELD_BYTES};
    struct header header;
    msgpack_packer packer;
    uint32_t header_bytes;

    fill_header(frame, &header);
    msgpack_packer_init(&packer, &buffer, write_to_buffer);
    SlLayout_Pack(&HEADER, &header, &packer);
    header_bytes = buffer.used_bytes - LENGTH_FIELD_BYTES;
    if (buffer.overflowed ||
        frame->segment_bytes > SL_RELAY_MAX_BYTES - buffer.used_bytes) {
        return 0;
    }
    out[0] = (uint8_t)(header_bytes >> BYTE_BITS);
    out[1] = (uint8_t)header_bytes;
    if (frame->segment_bytes > 0) {
        memcpy(out + buffer.used_bytes, frame->segment, frame->segment_bytes);
    }
    return buffer.used_bytes + frame->segment_bytes;
}

static void
copy_header(const struct header *header, struct SlRelayFrame *frame)
{
    *frame = (struct SlRelayFrame){.kind = header->kind,
                                   .reason = header->reason,
                                   .sender = header->sender,
                                   .plan_version = header->plan_version,
                                   .declined_count = header->declined_by.count,
                                   .flow = header->flow,
                                   .load = header->load};
    switch (header->kind) {
    case SL_RELAY_OFFER:
        frame->no_alternative = header->last;
        frame->reads_cost = header->certain;
        frame->uses_cost = header->ack != 0;
        break;
    case SL_RELAY_QUERY_MANY:
    case SL_RELAY_BROADCAST_QUERY:
        frame->reads_unsure = header->certain;
        break;
    case SL_RELAY_HOLDS_MANY:
        frame->is_unsure = header->certain;
        break;
    case SL_RELAY_BROADCAST_RESULT:
        frame->unsure_count = header->ack;
        frame->more_follows = header->last;
        break;
    default:
        frame->certain = header->certain;
        frame->ack = header->ack;
        break;
    }
    for (uint32_t i = 0; i < header->declined_by.count; i++) {
        frame->declined_by[i] = header->declined_by.items[i].node_id;
    }
}

/// Unpacks one value that fills bytes and reads it according to layout.
static enum SlStatus
unpack_value(const struct SlLayout *layout, const uint8_t *bytes,
             uint32_t length_bytes, void *base)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    enum SlStatus status = SL_MALFORMED;

    if (!SlEncoding_IsWellFormed(bytes, length_bytes,
                                 SL_ENCODING_DATAGRAM_VALUES_MAX)) {
        return SL_MALFORMED;
    }
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, (const char *)bytes, length_bytes,
                            &offset) == MSGPACK_UNPACK_SUCCESS &&
        offset == length_bytes) {
        status = SlLayout_Read(layout, &unpacked.data, base);
    }
    msgpack_unpacked_destroy(&unpacked);
    return status;
}

enum SlStatus
SlRelayFrame_Decode(const uint8_t *bytes, uint32_t length_bytes,
                    struct SlRelayFrame *frame)
{
    struct header header = {.kind = SL_RELAY_NONE};
    uint32_t header_bytes;

    if (length_bytes < LENGTH_FIELD_BYTES) {
        return SL_MALFORMED;
    }
    header_bytes = (uint32_t)bytes[0] << BYTE_BITS | bytes[1];
    bytes += LENGTH_FIELD_BYTES;
    length_bytes -= LENGTH_FIELD_BYTES;
    if (header_bytes > length_bytes ||
        unpack_value(&HEADER, bytes, header_bytes, &header) != SL_OK ||
        header.kind == SL_RELAY_NONE) {
        return SL_MALFORMED;
    }
    copy_header(&header, frame);
    frame->segment = bytes + header_bytes;
    frame->segment_bytes = length_bytes - header_bytes;
    return SL_OK;
}

/// Packs one value as the segment of a frame. Returns its length in bytes, or
/// 0 when it does not fit.
static uint32_t
pack_segment(const struct SlLayout *layout, const void *base,
             uint8_t out[SL_SEGMENT_MAX_BYTES])
{
    struct fixed_buffer buffer = {.bytes = out,
                                  .size_bytes = SL_SEGMENT_MAX_BYTES};
    msgpack_packer packer;

    msgpack_packer_init(&packer, &buffer, write_to_buffer);
    SlLayout_Pack(layout, base, &packer);
    return buffer.overflowed ? 0 : buffer.used_bytes;
}

uint32_t
SlRelayQueryList_Encode(const struct SlRelayQueryList *query_list,
                        uint8_t out[SL_SEGMENT_MAX_BYTES])
{
    return pack_segment(&QUERY_LIST, query_list, out);
}

enum SlStatus
SlRelayQueryList_Decode(const uint8_t *bytes, uint32_t length_bytes,
                        struct SlRelayQueryList *query_list)
{
    return unpack_value(&QUERY_LIST, bytes, length_bytes, query_list);
}

uint32_t
SlRelayUnsureList_Encode(const struct SlRelayUnsureList *unsure_list,
                         uint8_t out[SL_SEGMENT_MAX_BYTES])
{
    return pack_segment(&UNSURE_LIST, unsure_list, out);
}

enum SlStatus
SlRelayUnsureList_Decode(const uint8_t *bytes, uint32_t length_bytes,
                         struct SlRelayUnsureList *unsure_list)
{
    return unpack_value(&UNSURE_LIST, bytes, length_bytes, unsure_list);
}

uint32_t
SlRelayTable_Encode(const struct SlRelayTable *table,
                    uint8_t out[SL_SEGMENT_MAX_BYTES])
{
    return pack_segment(&TABLE, table, out);
}

enum SlStatus
SlRelayTable_Decode(const uint8_t *bytes, uint32_t length_bytes,
                    struct SlRelayTable *table)
{
    return unpack_value(&TABLE, bytes, length_bytes, table);
}

const char *
SlRelayReason_Name(enum SlRelayReason reason)
{
    static const char *const NAMES[SL_RELAY_REASON_COUNT] = {
        [SL_RELAY_REASON_NONE] = "none",    [SL_RELAY_BUSY] = "busy",
        [SL_RELAY_FULL] = "full",           [SL_RELAY_COLD] = "cold",
        [SL_RELAY_LEAVING] = "leaving",     [SL_RELAY_ZONE_OUT] = "zone_out",
        [SL_RELAY_FOREIGN] = "foreign",     [SL_RELAY_SILENT] = "silent",
        [SL_RELAY_RETURNED] = "given_back", [SL_RELAY_EXPIRED] = "expired",
    };

    return (uint32_t)reason < SL_RELAY_REASON_COUNT ? NAMES[reason]
                                                    : "unknown";
}
