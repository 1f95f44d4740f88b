#include "savoryledge/state/flow_journal.h"

#include <endian.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

enum {
    BUNDLE_MAGIC = 0x5af10a11,
    /// Magic number, payload length and checksum.
    BUNDLE_HEADER_BYTES = 16,
    /// Agent, start of the run and number of records.
    PAYLOAD_HEADER_BYTES = 20,
    /// Largest encoded record: flags, protocol, two addresses with ports, and
    /// the acknowledged number.
    RECORD_MAX_BYTES = 2 + 2 * 18 + 4,
    RECORD_ENDED = 1,
    RECORD_IPV6 = 2,
    IPV4_OFFSET = 12,
    INITIAL_RECORDS = 16,
};

_Static_assert(BUNDLE_HEADER_BYTES + PAYLOAD_HEADER_BYTES +
                       SL_FLOW_BUNDLE_MAX * RECORD_MAX_BYTES <=
                   SL_FLOW_BUNDLE_BYTES,
               "the largest bundle fits into its buffer");

/// The records of one agent. hashes[i] belongs to records[i].
struct agent_records {
    uint64_t agent_id;
    uint64_t started_ms;
    uint32_t count;
    uint32_t capacity;
    uint64_t *hashes;
    struct SlFlowRecord *records;
};

/// agents is sorted by agent_id.
struct SlFlowJournal {
    uint32_t records_max;
    uint32_t records_per_agent_max;
    uint32_t record_count;
    uint32_t agent_count;
    uint32_t agent_capacity;
    struct agent_records *agents;
};

struct SlFlowJournal *
SlFlowJournal_Create(uint32_t records_max, uint32_t records_per_agent_max)
{
    struct SlFlowJournal *journal = calloc(1, sizeof(*journal));

    if (journal != NULL) {
        journal->records_max = records_max;
        journal->records_per_agent_max = records_per_agent_max;
    }
    return journal;
}

void
SlFlowJournal_Destroy(struct SlFlowJournal *journal)
{
    if (journal == NULL) {
        return;
    }
    for (uint32_t i = 0; i < journal->agent_count; i++) {
        free(journal->agents[i].hashes);
        free(journal->agents[i].records);
    }
    free(journal->agents);
    free(journal);
}

/// Returns the index of the first agent whose id is at least agent_id.
static uint32_t
lower_bound(const struct SlFlowJournal *journal, uint64_t agent_id)
{
    uint32_t low = 0;
    uint32_t high = journal->agent_count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;

        if (journal->agents[middle].agent_id < agent_id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static struct agent_records *
find_agent(const struct SlFlowJournal *journal, uint64_t agent_id)
{
    uint32_t index = lower_bound(journal, agent_id);

    return index < journal->agent_count &&
                   journal->agents[index].agent_id == agent_id
               ? &journal->agents[index]
               : NULL;
}

static struct agent_records *
add_agent(struct SlFlowJournal *journal, uint64_t agent_id)
{
    uint32_t index = lower_bound(journal, agent_id);

    if (journal->agent_count == journal->agent_capacity) {
        uint32_t capacity =
            journal->agent_capacity == 0 ? 8 : journal->agent_capacity * 2;
        struct agent_records *agents =
            realloc(journal->agents, capacity * sizeof(*agents));

        if (agents == NULL) {
            return NULL;
        }
        journal->agents = agents;
        journal->agent_capacity = capacity;
    }
    memmove(&journal->agents[index + 1], &journal->agents[index],
            (journal->agent_count - index) * sizeof(*journal->agents));
    journal->agent_count++;
    journal->agents[index] = (struct agent_records){.agent_id = agent_id};
    return &journal->agents[index];
}

static bool
reserve_record(struct agent_records *agent)
{
    uint32_t capacity =
        agent->capacity == 0 ? INITIAL_RECORDS : agent->capacity * 2;
    struct SlFlowRecord *records;
    uint64_t *hashes;

    if (agent->count < agent->capacity) {
        return true;
    }
    records = realloc(agent->records, capacity * sizeof(*records));
    if (records == NULL) {
        return false;
    }
    agent->records = records;
    hashes = realloc(agent->hashes, capacity * sizeof(*hashes));
    if (hashes == NULL) {
        return false;
    }
    agent->hashes = hashes;
    agent->capacity = capacity;
    return true;
}

static uint32_t
find_record(const struct agent_records *agent, const struct SlFlowKey *key,
            uint64_t hash)
{
    for (uint32_t i = 0; i < agent->count; i++) {
        if (agent->hashes[i] == hash &&
            SlFlowKey_Equal(&agent->records[i].key, key)) {
            return i;
        }
    }
    return agent->count;
}

static void
remove_record(struct SlFlowJournal *journal, struct agent_records *agent,
              uint32_t index)
{
    agent->count--;
    journal->record_count--;
    agent->records[index] = agent->records[agent->count];
    agent->hashes[index] = agent->hashes[agent->count];
}

/// Returns false when the record had to be dropped.
static bool
apply_record(struct SlFlowJournal *journal, struct agent_records *agent,
             const struct SlFlowRecord *record)
{
    uint64_t hash = SlFlowKey_Hash(&record->key, 0);
    uint32_t index = find_record(agent, &record->key, hash);

    if (record->ended) {
        if (index < agent->count) {
            remove_record(journal, agent, index);
        }
        return true;
    }
    if (index >= agent->count && agent->count > 0 &&
        agent->count >= journal->records_per_agent_max) {
        /* Records of flows whose end was not recorded give way. */
        index = (uint32_t)(hash % agent->count);
    }
    if (index >= agent->count) {
        if (journal->record_count >= journal->records_max ||
            !reserve_record(agent)) {
            return false;
        }
        agent->count++;
        journal->record_count++;
    }
    agent->records[index] = *record;
    agent->hashes[index] = hash;
    return true;
}

uint32_t
SlFlowJournal_Apply(struct SlFlowJournal *journal,
                    const struct SlFlowBundle *bundle)
{
    struct agent_records *agent = find_agent(journal, bundle->agent_id);
    uint32_t dropped = 0;

    if (agent == NULL) {
        agent = add_agent(journal, bundle->agent_id);
        if (agent == NULL) {
            return bundle->count;
        }
    }
    if (bundle->started_ms < agent->started_ms) {
        return 0;
    }
    if (bundle->started_ms > agent->started_ms) {
        journal->record_count -= agent->count;
        agent->count = 0;
        agent->started_ms = bundle->started_ms;
    }
    for (uint32_t i = 0; i < bundle->count; i++) {
        dropped += !apply_record(journal, agent, &bundle->records[i]);
    }
    return dropped;
}

bool
SlFlowJournal_Find(const struct SlFlowJournal *journal, uint64_t agent_id,
                   struct SlFlowBundle *bundle)
{
    const struct agent_records *agent = find_agent(journal, agent_id);

    if (agent == NULL || agent->count == 0) {
        return false;
    }
    *bundle = (struct SlFlowBundle){.agent_id = agent_id,
                                    .started_ms = agent->started_ms,
                                    .count = agent->count,
                                    .records = agent->records};
    return true;
}

uint32_t
SlFlowJournal_Count(const struct SlFlowJournal *journal)
{
    return journal->record_count;
}

static uint8_t *
write_number(uint8_t *out, uint64_t value, uint32_t bytes)
{
    for (uint32_t i = 0; i < bytes; i++) {
        *out++ = (uint8_t)(value >> (8 * i));
    }
    return out;
}

static uint64_t
read_number(const uint8_t **in, uint32_t bytes)
{
    uint64_t value = 0;

    for (uint32_t i = 0; i < bytes; i++) {
        value |= (uint64_t) * (*in)++ << (8 * i);
    }
    return value;
}

static uint8_t *
write_address(uint8_t *out, const struct SlAddress *address, bool ipv6)
{
    uint32_t offset = ipv6 ? 0 : IPV4_OFFSET;

    memcpy(out, address->ip + offset, sizeof(address->ip) - offset);
    return write_number(out + sizeof(address->ip) - offset, address->port, 2);
}

static void
read_address(const uint8_t **in, struct SlAddress *address, bool ipv6)
{
    static const uint8_t IPV4_PREFIX[IPV4_OFFSET] = {[IPV4_OFFSET - 2] = 0xff,
                                                     [IPV4_OFFSET - 1] = 0xff};
    uint32_t offset = ipv6 ? 0 : IPV4_OFFSET;

    memcpy(address->ip, IPV4_PREFIX, offset);
    memcpy(address->ip + offset, *in, sizeof(address->ip) - offset);
    *in += sizeof(address->ip) - offset;
    address->port = (uint16_t)read_number(in, 2);
}

static uint8_t *
write_record(uint8_t *out, const struct SlFlowRecord *record)
{
    bool ipv6 = !SlAddress_IsIpv4(&record->key.caller) ||
                !SlAddress_IsIpv4(&record->key.service);

    *out++ = (uint8_t)((record->ended ? RECORD_ENDED : 0) |
                       (ipv6 ? RECORD_IPV6 : 0));
    *out++ = record->key.protocol;
    out = write_address(out, &record->key.caller, ipv6);
    out = write_address(out, &record->key.service, ipv6);
    return write_number(out, record->ack, 4);
}

static size_t
record_bytes(uint8_t flags)
{
    return flags & RECORD_IPV6 ? RECORD_MAX_BYTES
                               : RECORD_MAX_BYTES - 2 * IPV4_OFFSET;
}

static void
read_record(const uint8_t **in, struct SlFlowRecord *record)
{
    uint8_t flags = *(*in)++;
    bool ipv6 = (flags & RECORD_IPV6) != 0;

    memset(record, 0, sizeof(*record));
    record->ended = (flags & RECORD_ENDED) != 0;
    record->key.protocol = *(*in)++;
    read_address(in, &record->key.caller, ipv6);
    read_address(in, &record->key.service, ipv6);
    record->ack = (uint32_t)read_number(in, 4);
}

size_t
SlFlowBundle_Encode(const struct SlFlowBundle *bundle, uint8_t *out)
{
    uint8_t *payload = out + BUNDLE_HEADER_BYTES;
    uint8_t *end = payload;
    size_t payload_bytes;

    end = write_number(end, bundle->agent_id, 8);
    end = write_number(end, bundle->started_ms, 8);
    end = write_number(end, bundle->count, 4);
    for (uint32_t i = 0; i < bundle->count; i++) {
        end = write_record(end, &bundle->records[i]);
    }
    payload_bytes = (size_t)(end - payload);
    out = write_number(out, BUNDLE_MAGIC, 4);
    out = write_number(out, payload_bytes, 4);
    (void)write_number(out, XXH3_64bits(payload, payload_bytes), 8);
    return BUNDLE_HEADER_BYTES + payload_bytes;
}

/// Reads the records of a payload. Returns their number; UINT32_MAX when the
/// payload is malformed.
static uint32_t
read_records(const uint8_t *in, const uint8_t *end, uint32_t count,
             struct SlFlowRecord records[SL_FLOW_BUNDLE_MAX])
{
    if (count > SL_FLOW_BUNDLE_MAX) {
        return UINT32_MAX;
    }
    for (uint32_t i = 0; i < count; i++) {
        if (in == end || (size_t)(end - in) < record_bytes(*in)) {
            return UINT32_MAX;
        }
        read_record(&in, &records[i]);
    }
    return in == end ? count : UINT32_MAX;
}

/// Decodes and applies one bundle; a whole one whose payload is malformed is
/// left out. Returns its length; 0 when it is incomplete or damaged.
static size_t
decode_bundle(struct SlFlowJournal *journal, const uint8_t *bytes,
              size_t length_bytes)
{
    struct SlFlowRecord records[SL_FLOW_BUNDLE_MAX];
    struct SlFlowBundle bundle = {.records = records};
    const uint8_t *in = bytes;
    const uint8_t *end;
    size_t payload_bytes;
    uint64_t checksum;

    if (length_bytes < BUNDLE_HEADER_BYTES + PAYLOAD_HEADER_BYTES ||
        read_number(&in, 4) != BUNDLE_MAGIC) {
        return 0;
    }
    payload_bytes = read_number(&in, 4);
    checksum = read_number(&in, 8);
    if (payload_bytes < PAYLOAD_HEADER_BYTES ||
        payload_bytes > length_bytes - BUNDLE_HEADER_BYTES ||
        XXH3_64bits(in, payload_bytes) != checksum) {
        return 0;
    }
    end = in + payload_bytes;
    bundle.agent_id = read_number(&in, 8);
    bundle.started_ms = read_number(&in, 8);
    bundle.count = (uint32_t)read_number(&in, 4);
    bundle.count = read_records(in, end, bundle.count, records);
    if (bundle.count != UINT32_MAX) {
        (void)SlFlowJournal_Apply(journal, &bundle);
    }
    return BUNDLE_HEADER_BYTES + payload_bytes;
}

size_t
SlFlowJournal_Decode(struct SlFlowJournal *journal, const uint8_t *bytes,
                     size_t length_bytes)
{
    size_t offset = 0;
    size_t bundle_bytes;

    do {
        bundle_bytes =
            decode_bundle(journal, bytes + offset, length_bytes - offset);
        offset += bundle_bytes;
    } while (bundle_bytes > 0);
    return offset;
}

static size_t
encode_agent(const struct agent_records *agent, uint8_t *out)
{
    struct SlFlowBundle bundle = {.agent_id = agent->agent_id,
                                  .started_ms = agent->started_ms};
    size_t length_bytes = 0;

    for (uint32_t i = 0; i < agent->count; i += bundle.count) {
        bundle.records = agent->records + i;
        bundle.count = agent->count - i < SL_FLOW_BUNDLE_MAX
                           ? agent->count - i
                           : SL_FLOW_BUNDLE_MAX;
        length_bytes += SlFlowBundle_Encode(&bundle, out + length_bytes);
    }
    return length_bytes;
}

uint8_t *
SlFlowJournal_Encode(const struct SlFlowJournal *journal, size_t *length_bytes)
{
    size_t bundles =
        journal->agent_count + journal->record_count / SL_FLOW_BUNDLE_MAX;
    uint8_t *bytes =
        malloc(bundles * (BUNDLE_HEADER_BYTES + PAYLOAD_HEADER_BYTES) +
               (size_t)journal->record_count * RECORD_MAX_BYTES + 1);

    *length_bytes = 0;
    if (bytes == NULL) {
        return NULL;
    }
    for (uint32_t i = 0; i < journal->agent_count; i++) {
        *length_bytes +=
            encode_agent(&journal->agents[i], bytes + *length_bytes);
    }
    return bytes;
}
