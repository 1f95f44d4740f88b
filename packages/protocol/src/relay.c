#include "savoryledge/protocol/relay.h"

#include <string.h>

#include "encoding_check.h"
#include "layout.h"

enum {
    LENGTH_BYTES = 2,
    BYTE_BITS = 8,
};

#define U8(owner, member) SL_FIELD_PLAIN(SL_FIELD_U8, owner, member)
#define U16(owner, member) SL_FIELD_PLAIN(SL_FIELD_U16, owner, member)
#define U32(owner, member) SL_FIELD_PLAIN(SL_FIELD_U32, owner, member)
#define U64(owner, member) SL_FIELD_PLAIN(SL_FIELD_U64, owner, member)
#define BOOL(owner, member) SL_FIELD_PLAIN(SL_FIELD_BOOL, owner, member)

/// The lists of a frame as layouts want them: {count, items}.
struct tried_item {
    uint64_t node_id;
};

struct head {
    enum SlRelayKind kind;
    enum SlRelayReason reason;
    uint64_t sender;
    uint64_t plan_version;
    bool last;
    bool certain;
    uint32_t ack;
    struct {
        uint32_t count;
        struct tried_item items[SL_RELAY_DECLINED_MAX];
    } tried;
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
    U32(SlRelayLoad, in_progress),     U32(SlRelayLoad, slots),
    U32(SlRelayLoad, flows),           U32(SlRelayLoad, answer_us),
    BOOL(SlRelayLoad, declines_flows),
};
static const struct SlLayout LOAD = SL_LAYOUT(SlRelayLoad, LOAD_FIELDS);

static const struct SlField TRIED_FIELDS[] = {
    U64(tried_item, node_id),
};
static const struct SlLayout TRIED = SL_LAYOUT(tried_item, TRIED_FIELDS);

static const struct SlField HEAD_FIELDS[] = {
    SL_FIELD_CHOICE(head, kind, SL_RELAY_KIND_COUNT),
    SL_FIELD_CHOICE(head, reason, SL_RELAY_REASON_COUNT),
    U64(head, sender),
    U64(head, plan_version),
    BOOL(head, last),
    BOOL(head, certain),
    U32(head, ack),
    SL_FIELD_ITEMS(head, tried, SL_RELAY_DECLINED_MAX, TRIED),
    SL_FIELD_PART(head, load, LOAD),
    SL_FIELD_PART(head, flow, FLOW),
};
static const struct SlLayout HEAD = SL_LAYOUT_OPTIONAL(head, HEAD_FIELDS, 2);

static const struct SlField QUESTION_FIELDS[] = {
    SL_FIELD_PART(SlRelayQueryItem, flow, FLOW),
    U32(SlRelayQueryItem, ack),
    BOOL(SlRelayQueryItem, certain),
    U64(SlRelayQueryItem, holder),
};
static const struct SlLayout QUESTION =
    SL_LAYOUT(SlRelayQueryItem, QUESTION_FIELDS);

static const struct SlField VERSION_FIELDS[] = {
    U64(SlVersion, term),
    U64(SlVersion, index),
};
static const struct SlLayout VERSION = SL_LAYOUT(SlVersion, VERSION_FIELDS);

static const struct SlField QUESTIONS_FIELDS[] = {
    U32(SlRelayQueryList, query_id),
    SL_FIELD_PART(SlRelayQueryList, version, VERSION),
    U32(SlRelayQueryList, unanswered),
    {.type = SL_FIELD_LIST,
     .offset = offsetof(struct SlRelayQueryList, count),
     .limit = SL_RELAY_QUERY_ITEMS_MAX,
     .of = &QUESTION,
     .items_offset = offsetof(struct SlRelayQueryList, items)},
};
static const struct SlLayout QUESTIONS =
    SL_LAYOUT(SlRelayQueryList, QUESTIONS_FIELDS);

/// A fixed room being written; over the end nothing more is taken.
struct room {
    uint8_t *bytes;
    uint32_t most;
    uint32_t used;
    bool overflow;
};

static int
write_to_room(void *data, const char *bytes, size_t length_bytes)
{
    struct room *room = data;

    if (room->overflow || length_bytes > room->most - room->used) {
        room->overflow = true;
        return -1;
    }
    memcpy(room->bytes + room->used, bytes, length_bytes);
    room->used += (uint32_t)length_bytes;
    return 0;
}

static void
fill_head(const struct SlRelayFrame *frame, struct head *head)
{
    *head = (struct head){.kind = frame->kind,
                          .reason = frame->reason,
                          .sender = frame->sender,
                          .plan_version = frame->plan_version,
                          .last = frame->no_alternative,
                          .certain = frame->certain,
                          .ack = frame->ack,
                          .tried = {.count = frame->declined_count}};
    for (uint32_t i = 0; i < frame->declined_count; i++) {
        head->tried.items[i].node_id = frame->declined_by[i];
    }
    memcpy(&head->load, &frame->load, sizeof(head->load));
    memcpy(&head->flow, &frame->flow, sizeof(head->flow));
}

uint32_t
SlRelayFrame_Encode(const struct SlRelayFrame *frame,
                    uint8_t out[SL_RELAY_MAX_BYTES])
{
    struct room room = {
        .bytes = out, .most = SL_RELAY_MAX_BYTES, .used = LENGTH_BYTES};
    struct head head;
    msgpack_packer packer;
    uint32_t head_bytes;

    fill_head(frame, &head);
    msgpack_packer_init(&packer, &room, write_to_room);
    SlLayout_Pack(&HEAD, &head, &packer);
    head_bytes = room.used - LENGTH_BYTES;
    if (room.overflow ||
        frame->segment_bytes > SL_RELAY_MAX_BYTES - room.used) {
        return 0;
    }
    out[0] = (uint8_t)(head_bytes >> BYTE_BITS);
    out[1] = (uint8_t)head_bytes;
    if (frame->segment_bytes > 0) {
        memcpy(out + room.used, frame->segment, frame->segment_bytes);
    }
    return room.used + frame->segment_bytes;
}

static void
take_head(const struct head *head, struct SlRelayFrame *frame)
{
    *frame = (struct SlRelayFrame){.kind = head->kind,
                                   .reason = head->reason,
                                   .sender = head->sender,
                                   .plan_version = head->plan_version,
                                   .no_alternative = head->last,
                                   .certain = head->certain,
                                   .ack = head->ack,
                                   .declined_count = head->tried.count,
                                   .flow = head->flow,
                                   .load = head->load};
    for (uint32_t i = 0; i < head->tried.count; i++) {
        frame->declined_by[i] = head->tried.items[i].node_id;
    }
}

/// Reads one msgpack value that fills the bytes.
static enum SlStatus
unpack(const struct SlLayout *layout, const uint8_t *bytes,
       uint32_t length_bytes, void *base)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    enum SlStatus status = SL_MALFORMED;

    if (!shape_is_sound(bytes, length_bytes)) {
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
    struct head head = {.kind = SL_RELAY_NONE};
    uint32_t head_bytes;

    if (length_bytes < LENGTH_BYTES) {
        return SL_MALFORMED;
    }
    head_bytes = (uint32_t)bytes[0] << BYTE_BITS | bytes[1];
    bytes += LENGTH_BYTES;
    length_bytes -= LENGTH_BYTES;
    if (head_bytes > length_bytes ||
        unpack(&HEAD, bytes, head_bytes, &head) != SL_OK ||
        head.kind == SL_RELAY_NONE) {
        return SL_MALFORMED;
    }
    take_head(&head, frame);
    frame->segment = bytes + head_bytes;
    frame->segment_bytes = length_bytes - head_bytes;
    return SL_OK;
}

uint32_t
SlRelayQueryList_Encode(const struct SlRelayQueryList *questions,
                        uint8_t out[SL_SEGMENT_MAX_BYTES])
{
    struct room room = {.bytes = out, .most = SL_SEGMENT_MAX_BYTES};
    msgpack_packer packer;

    msgpack_packer_init(&packer, &room, write_to_room);
    SlLayout_Pack(&QUESTIONS, questions, &packer);
    return room.overflow ? 0 : room.used;
}

enum SlStatus
SlRelayQueryList_Decode(const uint8_t *bytes, uint32_t length_bytes,
                        struct SlRelayQueryList *questions)
{
    return unpack(&QUESTIONS, bytes, length_bytes, questions);
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
