/// Fuzzes what is read from files and carries a checksum: a journal of flows
/// and a recording. The first byte selects the kind, and whether the rest is a
/// payload, which is then given a valid header and checksum.

#include <endian.h>
#include <string.h>
#include <xxhash.h>

#include "fuzz.h"
#include "savoryledge/coordination/recording.h"
#include "savoryledge/state/flow_journal.h"

enum {
    INPUT_MAX_BYTES = 8192,
    HEADER_MAX_BYTES = 16,
    RECORDS_MAX = 500,
    RECORDS_PER_AGENT_MAX = 100,
    KIND_RECORDING = 1,
    KIND_PAYLOAD = 2,
};

/// Writes the header of a bundle of the journal or of a record of the
/// recording. Returns its length.
static size_t
write_header(uint8_t *out, bool is_recording, const uint8_t *payload,
             size_t length_bytes)
{
    uint64_t checksum = htole64(XXH3_64bits(payload, length_bytes));
    uint32_t length = htole32((uint32_t)length_bytes);
    size_t used_bytes = is_recording ? 0 : 4;

    memcpy(out, "\x11\x0a\xf1\x5a", used_bytes);
    memcpy(out + used_bytes, &length, sizeof(length));
    memcpy(out + used_bytes + sizeof(length), &checksum, sizeof(checksum));
    return used_bytes + sizeof(length) + sizeof(checksum);
}

static void
read_journal(const uint8_t *bytes, size_t length_bytes)
{
    struct SlFlowJournal *journal =
        SlFlowJournal_Create(RECORDS_MAX, RECORDS_PER_AGENT_MAX);
    size_t encoded_bytes;
    uint8_t *encoded;

    fuzz_require(SlFlowJournal_Decode(journal, bytes, length_bytes) <=
                 length_bytes);
    fuzz_require(SlFlowJournal_Count(journal) <= RECORDS_MAX);
    encoded = SlFlowJournal_Encode(journal, &encoded_bytes);
    fuzz_require(SlFlowJournal_Decode(journal, encoded, encoded_bytes) ==
                 encoded_bytes);
    free(encoded);
    SlFlowJournal_Destroy(journal);
}

static void
read_recording(const uint8_t *bytes, size_t length_bytes)
{
    struct SlRecordReader *reader = SlRecordReader_Create(bytes, length_bytes);
    struct SlRecord record;
    enum SlStatus status;

    do {
        status = SlRecordReader_NextRecord(reader, &record);
    } while (status == SL_OK || status == SL_MALFORMED);
    SlRecordReader_Destroy(reader);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    uint8_t *file;
    size_t header_bytes = 0;
    uint8_t kind;

    if (length_bytes == 0 || length_bytes > INPUT_MAX_BYTES) {
        return 0;
    }
    kind = *bytes++;
    length_bytes--;
    file = malloc(HEADER_MAX_BYTES + length_bytes);
    if (kind & KIND_PAYLOAD) {
        header_bytes = write_header(file, (kind & KIND_RECORDING) != 0, bytes,
                                    length_bytes);
    }
    memcpy(file + header_bytes, bytes, length_bytes);
    if (kind & KIND_RECORDING) {
        read_recording(file, header_bytes + length_bytes);
    }
    else {
        read_journal(file, header_bytes + length_bytes);
    }
    free(file);
    return 0;
}
