/// Recordings: written records are read back, a truncated or damaged recording
/// is read up to its last intact record, and a replay finds the first
/// difference.

#include <endian.h>
#include <limits.h>
#include <netinet/in.h>
#include <string.h>
#include <urcu.h>
#include <xxhash.h>

#include "resources.h"
#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/recording.h"
#include "test.h"

enum {
    START_US = 1000000,
    TICKS = 50,
    ODD_BODY_BYTES = 1 << 20,
    ODD_BODY_MAX_KB = 2 * 1024,
};

struct recording {
    struct SlSink sink;
    struct SlBuffer bytes;
};

static void
record_event(struct SlSink *sink, const struct SlEvent *event)
{
    SlRecord_PutEvent(event, &((struct recording *)sink)->bytes);
}

static const struct SlSinkType RECORDING_SINK = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = SlSink_IgnoreMessage,
    .dial_node = SlSink_IgnoreDialNode,
    .drop_node = SlSink_IgnoreDropNode,
    .log_event = record_event,
};

static void
fill_options(struct SlNodeOptions *options)
{
    *options = (struct SlNodeOptions){
        .core = {.name = "one",
                 .zone = "a",
                 .roles = SL_ROLE_CONTROL | SL_ROLE_ENTRY | SL_ROLE_AGENT,
                 .boot = 5,
                 .seed = 6,
                 .hash_seed = 7},
        .agent = {.slots = 3, .capacity_flows = 100},
        .control = {.bootstrap = true, .member_count = 1},
        .replica = {.control_count = 1},
    };
    options->control.members[0] = (struct SlControlMember){
        .node_id = SlNode_Id("one"), .is_voter = true};
    memcpy(options->control.members[0].name, "one", 4);
    SlAddress_Parse("127.0.0.1:1", &options->control.members[0].link_address);
    options->replica.control[0] = options->control.members[0].link_address;
    options->replica.control_ids[0] = SlNode_Id("one");
    options->replica.announce.kind = SL_KIND_NODE;
    memcpy(options->replica.announce.name, "one", 4);
    options->replica.announce.node.node_id = SlNode_Id("one");
    options->replica.announce.node.roles = options->core.roles;
}

/// Builds a UDP packet of a caller with payload_bytes of payload. Returns its
/// length.
static uint32_t
caller_packet(uint8_t *out, uint32_t size_bytes, uint32_t payload_bytes)
{
    static const uint8_t PAYLOAD[512] = {'x'};
    struct SlAddress caller;
    struct SlAddress service;

    SlAddress_Parse("10.0.0.1:5", &caller);
    SlAddress_Parse("10.0.0.2:6", &service);
    return SlPacket_BuildUdp(&caller, &service, PAYLOAD, payload_bytes, out,
                             size_bytes);
}

static void
record_and_handle(struct recording *recording, struct SlNode *node,
                  struct SlInput input, uint64_t now_us)
{
    input.now_us = now_us;
    input.wall_us = now_us;
    CU_ASSERT_EQUAL(SlRecord_PutInput(&input, false, &recording->bytes),
                    SL_OK);
    SlNode_HandleInput(node, &recording->sink, &input);
}

/// Records one second of a node's run, with one caller packet per tick.
static void
record_node_run(struct recording *recording)
{
    struct SlNodeOptions options;
    struct SlStorage *storage;
    struct SlNode *node;
    uint8_t packet[600];
    struct SlInput caller = {.kind = SL_INPUT_CALLER_PACKET,
                             .packet = {.bytes = packet}};

    *recording = (struct recording){.sink = {.type = &RECORDING_SINK}};
    fill_options(&options);
    storage = SlStorage_CreateMemory(SlNode_Id("one"), 9);
    options.control.storage = storage;
    SlRecord_PutNode(&options, START_US, &recording->bytes);
    SlRecord_PutStorage(storage, &recording->bytes);
    CU_ASSERT_EQUAL_FATAL(SlNode_Create(&options, START_US, &node, NULL),
                          SL_OK);
    for (uint64_t i = 0; i < TICKS; i++) {
        uint64_t now_us = START_US + i * SL_TICK_US;

        record_and_handle(recording, node,
                          (struct SlInput){.kind = SL_INPUT_TICK}, now_us);
        record_and_handle(recording, node,
                          (struct SlInput){.kind = SL_INPUT_BATCH_END},
                          now_us);
        caller.packet.length_bytes =
            caller_packet(packet, sizeof(packet), 500);
        record_and_handle(recording, node, caller, now_us);
    }
    SlNode_Destroy(node);
    SlStorage_Destroy(storage);
}

static void
test_replay_gives_same_events(void)
{
    struct recording recording;
    struct SlReplayReport report;

    record_node_run(&recording);
    CU_ASSERT_EQUAL(SlReplay_Run(recording.bytes.bytes,
                                 recording.bytes.length_bytes, NULL, NULL,
                                 &report, NULL),
                    SL_OK);
    CU_ASSERT(report.is_identical);
    CU_ASSERT_EQUAL(report.input_count, 3 * TICKS);
    CU_ASSERT(report.event_count > TICKS);
    SlBuffer_Release(&recording.bytes);
}

/// A replay reports the first event caused by an input that was inserted in
/// the middle of a recording.
static void
test_first_difference(void)
{
    struct recording recording;
    struct SlBuffer changed = {.bytes = NULL};
    struct SlReplayReport report;
    struct SlRecordReader *reader;
    struct SlRecord record;
    size_t start = 0;
    uint32_t inputs = 0;
    uint8_t packet[64];
    struct SlInput extra = {.kind = SL_INPUT_CALLER_PACKET,
                            .now_us = START_US,
                            .packet = {packet}};

    record_node_run(&recording);
    reader = SlRecordReader_Create(recording.bytes.bytes,
                                   recording.bytes.length_bytes);
    while (SlRecordReader_NextRecord(reader, &record) == SL_OK &&
           inputs < 30) {
        inputs += record.kind == SL_RECORD_INPUT;
        start = SlRecordReader_Offset(reader);
    }
    SlRecordReader_Destroy(reader);
    extra.packet.length_bytes = caller_packet(packet, sizeof(packet), 8);
    SlBuffer_Append(&changed, recording.bytes.bytes, start);
    SlRecord_PutInput(&extra, true, &changed);
    SlBuffer_Append(&changed, recording.bytes.bytes + start,
                    recording.bytes.length_bytes - start);
    CU_ASSERT_EQUAL(SlReplay_Run(changed.bytes, changed.length_bytes, NULL,
                                 NULL, &report, NULL),
                    SL_OK);
    CU_ASSERT(!report.is_identical);
    CU_ASSERT_STRING_EQUAL(report.expected, "(no event)");
    CU_ASSERT_PTR_NOT_NULL(strstr(report.actual, "route_failed"));
    SlBuffer_Release(&changed);
    SlBuffer_Release(&recording.bytes);
}

/// A recording truncated at any length is read up to its last complete record.
/// Payloads are not recorded.
static void
test_truncated_recording(void)
{
    struct SlBuffer bytes = {.bytes = NULL};
    uint8_t packet[600];
    struct SlInput input = {.kind = SL_INPUT_CALLER_PACKET,
                            .now_us = 3,
                            .packet = {.bytes = packet}};
    size_t record_bytes;

    input.packet.length_bytes = caller_packet(packet, sizeof(packet), 500);
    SlRecord_PutInput(&input, false, &bytes);
    record_bytes = bytes.length_bytes;
    SlRecord_PutInput(&input, false, &bytes);
    CU_ASSERT(record_bytes < 100);
    for (size_t length = 0; length <= bytes.length_bytes; length++) {
        struct SlRecordReader *reader =
            SlRecordReader_Create(bytes.bytes, length);
        struct SlRecord record;
        size_t read = 0;

        while (SlRecordReader_NextRecord(reader, &record) == SL_OK) {
            read++;
            CU_ASSERT_EQUAL(record.input.packet.length_bytes,
                            input.packet.length_bytes);
            CU_ASSERT_EQUAL(memcmp(record.input.packet.bytes, packet, 28), 0);
        }
        CU_ASSERT_EQUAL(read, length / record_bytes);
        SlRecordReader_Destroy(reader);
    }
    SlBuffer_Release(&bytes);
}

/// Every single flipped bit in the checksum or the body of a record is
/// detected.
static void
test_damage(void)
{
    struct SlBuffer bytes = {.bytes = NULL};
    struct SlInput input = {.kind = SL_INPUT_TICK, .now_us = 3};

    SlRecord_PutInput(&input, false, &bytes);
    for (size_t bit = 4 * 8; bit < 8 * bytes.length_bytes; bit++) {
        struct SlRecordReader *reader;
        struct SlRecord record;

        bytes.bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
        reader = SlRecordReader_Create(bytes.bytes, bytes.length_bytes);
        CU_ASSERT_EQUAL(SlRecordReader_NextRecord(reader, &record),
                        SL_DAMAGED);
        SlRecordReader_Destroy(reader);
        bytes.bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
    SlBuffer_Release(&bytes);
}

/// A recording without its first records is refused instead of being replayed
/// incorrectly.
static void
test_missing_start(void)
{
    struct SlBuffer bytes = {.bytes = NULL};
    struct SlInput input = {.kind = SL_INPUT_TICK, .now_us = 3};
    struct SlReplayReport report;
    struct SlError error = {.status = SL_OK};

    SlRecord_PutInput(&input, false, &bytes);
    CU_ASSERT_EQUAL(SlReplay_Run(bytes.bytes, bytes.length_bytes, NULL, NULL,
                                 &report, &error),
                    SL_INVALID);
    SlBuffer_Release(&bytes);
}

/// Appends a record with this body and a valid checksum.
static void
append_body(struct SlBuffer *bytes, const void *body, uint32_t body_bytes)
{
    uint64_t checksum = htole64(XXH3_64bits(body, body_bytes));
    uint32_t length = htole32(body_bytes);

    SlBuffer_Append(bytes, &length, sizeof(length));
    SlBuffer_Append(bytes, &checksum, sizeof(checksum));
    SlBuffer_Append(bytes, body, body_bytes);
}

/// A record whose body another program wrote is malformed; the records after
/// it are read.
static void
test_odd_bodies(void)
{
    static const char *const BODIES[] = {
        "\xdd\xff\xff\xff\xff",
        "\xdf\xff\xff\xff\xff",
        "\x92\x06\xdb\xff\xff\xff\xff",
        "\x92\x06\xff",
        "\x92\x06\xcb\x7f\xf8",
        "\x91\x06",
        "\x93\x06\xa0\xa0",
        "\xc1",
        "\xa1x",
        "",
    };
    static const char EMPTY_EVENT[] = {(char)0x92, SL_RECORD_EVENT,
                                       (char)0xa0};
    char *large = malloc(ODD_BODY_BYTES);
    struct SlBuffer bytes = {.bytes = NULL};
    struct SlRecordReader *reader;
    struct SlRecord record;
    struct cost cost;

    for (size_t i = 0; i < sizeof(BODIES) / sizeof(BODIES[0]); i++) {
        append_body(&bytes, BODIES[i], (uint32_t)strlen(BODIES[i]));
    }
    memset(large, 0x91, ODD_BODY_BYTES);
    append_body(&bytes, large, ODD_BODY_BYTES);
    memset(large, 0xc0, ODD_BODY_BYTES);
    memcpy(large, "\xdd\0\x0f\xff\xf0", 5);
    append_body(&bytes, large, ODD_BODY_BYTES);
    append_body(&bytes, EMPTY_EVENT, sizeof(EMPTY_EVENT));
    reader = SlRecordReader_Create(bytes.bytes, bytes.length_bytes);
    start_cost(&cost);
    for (size_t i = 0; i < sizeof(BODIES) / sizeof(BODIES[0]) + 2; i++) {
        CU_ASSERT_EQUAL(SlRecordReader_NextRecord(reader, &record),
                        SL_MALFORMED);
    }
    end_cost(&cost, "odd bodies", ODD_BODY_MAX_KB, LONG_MAX);
    CU_ASSERT_EQUAL(SlRecordReader_NextRecord(reader, &record), SL_OK);
    CU_ASSERT_STRING_EQUAL(record.event, "");
    SlRecordReader_Destroy(reader);
    SlBuffer_Release(&bytes);
    free(large);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a replay gives the same events", test_replay_gives_same_events},
        {"the first difference is reported", test_first_difference},
        {"a truncated recording is read to its last complete record",
         test_truncated_recording},
        {"a damaged record is detected", test_damage},
        {"a recording without its start is refused", test_missing_start},
        {"a record with an odd body is malformed", test_odd_bodies},
    };
    int failed;

    rcu_register_thread();
    failed = RUN_SUITE("recording", CASES);
    rcu_barrier();
    rcu_unregister_thread();
    return failed;
}
