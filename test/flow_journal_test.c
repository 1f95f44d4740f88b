/* The journal of kept flows in memory: runs of upstreams, limits, and encoded
   journals that are cut short or damaged. */

#include <endian.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "flow_records.h"

enum {
    LIMIT = 100,
    LIMIT_PER_AGENT = 40,
};

static uint32_t
apply(struct SlFlowJournal *journal, uint64_t agent_id, uint64_t started_ms,
      const struct SlFlowRecord *records, uint32_t count)
{
    return SlFlowJournal_Apply(journal,
                               &(struct SlFlowBundle){.agent_id = agent_id,
                                                      .started_ms = started_ms,
                                                      .count = count,
                                                      .records = records});
}

static uint32_t
count_of(const struct SlFlowJournal *journal, uint64_t agent_id)
{
    struct SlFlowBundle bundle = {.count = 0};

    return SlFlowJournal_Find(journal, agent_id, &bundle) ? bundle.count : 0;
}

static void
test_changes(void)
{
    struct SlFlowJournal *journal =
        SlFlowJournal_Create(LIMIT, LIMIT_PER_AGENT);
    struct SlFlowRecord records[3] = {flow_record(1, 10), flow_record(2, 20),
                                      flow_record(1, 30)};
    struct SlFlowBundle bundle;

    CU_ASSERT_EQUAL(apply(journal, 7, 100, records, 3), 0);
    CU_ASSERT_TRUE_FATAL(SlFlowJournal_Find(journal, 7, &bundle));
    CU_ASSERT_EQUAL(bundle.count, 2);
    CU_ASSERT_EQUAL(bundle.records[0].ack, 30);
    CU_ASSERT_EQUAL(bundle.started_ms, 100);
    records[0].ended = true;
    CU_ASSERT_EQUAL(apply(journal, 7, 100, records, 1), 0);
    CU_ASSERT_EQUAL(apply(journal, 7, 100, records, 1), 0);
    CU_ASSERT_EQUAL(count_of(journal, 7), 1);
    CU_ASSERT_EQUAL(count_of(journal, 8), 0);
    SlFlowJournal_Destroy(journal);
}

/// A later run of the upstream removes the records of earlier runs; a bundle
/// of an earlier run that arrives late changes nothing.
static void
test_runs(void)
{
    struct SlFlowJournal *journal =
        SlFlowJournal_Create(LIMIT, LIMIT_PER_AGENT);
    struct SlFlowRecord records[2] = {flow_record(1, 10), flow_record(2, 20)};

    (void)apply(journal, 7, 100, records, 2);
    (void)apply(journal, 7, 99, records, 0);
    CU_ASSERT_EQUAL(count_of(journal, 7), 2);
    (void)apply(journal, 7, 101, records, 1);
    CU_ASSERT_EQUAL(count_of(journal, 7), 1);
    (void)apply(journal, 7, 100, records, 2);
    CU_ASSERT_EQUAL(count_of(journal, 7), 1);
    (void)apply(journal, 7, 102, NULL, 0);
    CU_ASSERT_EQUAL(SlFlowJournal_Count(journal), 0);
    SlFlowJournal_Destroy(journal);
}

static void
test_limits(void)
{
    struct SlFlowJournal *journal =
        SlFlowJournal_Create(LIMIT, LIMIT_PER_AGENT);
    struct SlFlowRecord records[LIMIT_PER_AGENT + 5];
    struct SlFlowBundle bundle;
    bool has_last = false;

    for (uint32_t i = 0; i < LIMIT_PER_AGENT + 5; i++) {
        records[i] = flow_record(i, i);
    }
    /* Former records give way to new ones of the same agent. */
    CU_ASSERT_EQUAL(apply(journal, 1, 100, records, LIMIT_PER_AGENT + 5), 0);
    CU_ASSERT_EQUAL(SlFlowJournal_Count(journal), LIMIT_PER_AGENT);
    CU_ASSERT_FATAL(SlFlowJournal_Find(journal, 1, &bundle));
    for (uint32_t i = 0; i < bundle.count; i++) {
        has_last =
            has_last || SlFlowKey_Equal(&bundle.records[i].key,
                                        &records[LIMIT_PER_AGENT + 4].key);
    }
    CU_ASSERT(has_last);
    CU_ASSERT_EQUAL(apply(journal, 2, 100, records, LIMIT_PER_AGENT), 0);
    CU_ASSERT_EQUAL(apply(journal, 3, 100, records, LIMIT_PER_AGENT), 20);
    CU_ASSERT_EQUAL(SlFlowJournal_Count(journal), LIMIT);
    records[LIMIT_PER_AGENT + 4].ended = true;
    CU_ASSERT_EQUAL(apply(journal, 1, 100, &records[LIMIT_PER_AGENT + 4], 1),
                    0);
    CU_ASSERT_EQUAL(SlFlowJournal_Count(journal), LIMIT - 1);
    SlFlowJournal_Destroy(journal);
}

static uint8_t *
encode_sample(size_t *length_bytes)
{
    struct SlFlowJournal *journal = SlFlowJournal_Create(2000, 1000);
    struct SlFlowRecord records[300];
    uint8_t *bytes;

    for (uint32_t i = 0; i < 300; i++) {
        records[i] = flow_record(i, i * 3);
    }
    memset(records[0].key.caller.ip, 0x20, 16);
    (void)apply(journal, 5, 100, records, 300);
    (void)apply(journal, 6, 101, records, 10);
    bytes = SlFlowJournal_Encode(journal, length_bytes);
    SlFlowJournal_Destroy(journal);
    return bytes;
}

static void
test_encoding(void)
{
    struct SlFlowJournal *journal = SlFlowJournal_Create(2000, 1000);
    struct SlFlowRecord first = flow_record(0, 0);
    struct SlFlowBundle bundle;
    size_t length_bytes;
    uint8_t *bytes = encode_sample(&length_bytes);

    CU_ASSERT_EQUAL(SlFlowJournal_Decode(journal, bytes, length_bytes),
                    length_bytes);
    CU_ASSERT_EQUAL(count_of(journal, 5), 300);
    CU_ASSERT_EQUAL(count_of(journal, 6), 10);
    CU_ASSERT_TRUE_FATAL(SlFlowJournal_Find(journal, 6, &bundle));
    CU_ASSERT_EQUAL(bundle.records[0].key.caller.ip[0], 0x20);
    CU_ASSERT_TRUE(
        SlAddress_Equal(&bundle.records[0].key.service, &first.key.service));
    CU_ASSERT_EQUAL(bundle.records[9].ack, 27);
    SlFlowJournal_Destroy(journal);
    free(bytes);
}

/// True for the record counts of the first bundles of the sample, which have
/// 256 and 44 records.
static bool
is_whole_bundles(uint32_t records)
{
    return records == 0 || records == 256 || records == 300;
}

/// A journal that is cut short anywhere, or with any byte changed, gives the
/// bundles before that place and nothing else.
static void
test_torn_and_damaged(void)
{
    size_t length_bytes;
    uint8_t *bytes = encode_sample(&length_bytes);

    for (size_t cut = 0; cut < length_bytes; cut++) {
        struct SlFlowJournal *journal = SlFlowJournal_Create(2000, 1000);
        uint8_t *copy = malloc(cut + 1);

        memcpy(copy, bytes, cut);
        CU_ASSERT(SlFlowJournal_Decode(journal, copy, cut) <= cut);
        CU_ASSERT_TRUE(is_whole_bundles(SlFlowJournal_Count(journal)));
        free(copy);
        SlFlowJournal_Destroy(journal);
        bytes[cut] ^= 0x40;
        journal = SlFlowJournal_Create(2000, 1000);
        CU_ASSERT(SlFlowJournal_Decode(journal, bytes, length_bytes) <= cut);
        CU_ASSERT_TRUE(is_whole_bundles(SlFlowJournal_Count(journal)));
        SlFlowJournal_Destroy(journal);
        bytes[cut] ^= 0x40;
    }
    free(bytes);
}

/// Writes a bundle with a valid checksum whose payload is the start of a
/// bundle of count records, then payload_bytes - 20 bytes of fill. Returns its
/// length.
static size_t
write_odd_bundle(uint8_t *out, uint32_t count, uint32_t payload_bytes,
                 uint8_t fill)
{
    uint8_t *payload = out + 16;
    uint64_t checksum;

    memset(payload, fill, payload_bytes);
    memset(payload, 0, 20);
    payload[0] = 5;
    payload[8] = 200;
    for (uint32_t i = 0; i < 4; i++) {
        payload[16 + i] = (uint8_t)(count >> (8 * i));
        out[4 + i] = (uint8_t)(payload_bytes >> (8 * i));
    }
    memcpy(out, "\x11\x0a\xf1\x5a", 4);
    checksum = htole64(XXH3_64bits(payload, payload_bytes));
    memcpy(out + 8, &checksum, sizeof(checksum));
    return 16 + payload_bytes;
}

/// A bundle of another writer that cannot be read is left out; those after it
/// are read.
static void
test_odd_bundles(void)
{
    static const struct {
        uint32_t count;
        uint32_t payload_bytes;
        uint8_t fill;
    } ODD_BUNDLES[] = {
        {257, 20 + 257 * 18, 0}, {UINT32_MAX, 20, 0}, {1, 20, 0},
        {1, 20 + 17, 0},         {1, 20 + 19, 0},     {1, 20 + 18, 2},
        {1, 20 + 18, 0xff},      {0, 21, 0},          {2, 20 + 18, 0},
    };
    size_t sample_bytes;
    uint8_t *sample = encode_sample(&sample_bytes);
    uint8_t *bytes = malloc(sample_bytes + SL_FLOW_BUNDLE_BYTES);

    for (size_t i = 0; i < sizeof(ODD_BUNDLES) / sizeof(ODD_BUNDLES[0]); i++) {
        struct SlFlowJournal *journal = SlFlowJournal_Create(2000, 1000);
        size_t length = write_odd_bundle(bytes, ODD_BUNDLES[i].count,
                                         ODD_BUNDLES[i].payload_bytes,
                                         ODD_BUNDLES[i].fill);

        memcpy(bytes + length, sample, sample_bytes);
        CU_ASSERT_EQUAL(
            SlFlowJournal_Decode(journal, bytes, length + sample_bytes),
            length + sample_bytes);
        CU_ASSERT_EQUAL(count_of(journal, 5), 300);
        CU_ASSERT_EQUAL(count_of(journal, 6), 10);
        SlFlowJournal_Destroy(journal);
    }
    free(bytes);
    free(sample);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"records are added, refreshed and removed", test_changes},
        {"runs of an upstream", test_runs},
        {"limits", test_limits},
        {"an encoded journal", test_encoding},
        {"an encoded journal that is torn or damaged", test_torn_and_damaged},
        {"bundles of another writer", test_odd_bundles},
    };

    return RUN_SUITE("flow journal", CASES);
}
