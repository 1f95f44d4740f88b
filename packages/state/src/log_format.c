#include "log_format.h"

#include <endian.h>
#include <string.h>

#include <xxhash.h>

static const char LOG_MAGIC[SL_LOG_HEADER_BYTES] = "savoryledge log1";

enum {
    RECORD_MAGIC = 0x5ac0f1e7,
    /// Smallest unit that a disk writes.
    SECTOR_BYTES = 512,
    /// Size of the part of the record header that header_checksum covers,
    /// which is the part before header_checksum.
    HEADER_CHECKSUMMED_BYTES = 48,
};

/// Header of a record in the log file, in little-endian byte order.
struct record_header {
    uint32_t magic;
    uint32_t data_bytes;
    uint64_t term;
    uint64_t index;
    uint64_t batch;
    uint64_t remaining_records;
    uint64_t data_checksum;
    uint64_t header_checksum;
};

_Static_assert(sizeof(struct record_header) == SL_LOG_RECORD_HEADER_BYTES,
               "the header has no padding");

enum record_state {
    RECORD_STATE_VALID,
    /// The log file ends within the record.
    RECORD_STATE_TRUNCATED,
    /// The magic number, a checksum or the length of the record is wrong.
    RECORD_STATE_INVALID,
};

void
SlLog_WriteHeader(uint8_t *out)
{
    memcpy(out, LOG_MAGIC, SL_LOG_HEADER_BYTES);
}

size_t
SlLog_RecordBytes(const struct SlLogRecord *record)
{
    return SL_LOG_RECORD_HEADER_BYTES + (size_t)record->data_bytes;
}

void
SlLog_WriteRecord(const struct SlLogRecord *record,
                  const struct SlLogBatch *batch, uint8_t *out)
{
    struct record_header header = {
        .magic = htole32(RECORD_MAGIC),
        .data_bytes = htole32(record->data_bytes),
        .term = htole64(record->term),
        .index = htole64(record->index),
        .batch = htole64(batch->batch_number),
        .remaining_records = htole64(batch->remaining_records),
        .data_checksum =
            htole64(XXH3_64bits(record->data, record->data_bytes)),
    };

    header.header_checksum =
        htole64(XXH3_64bits(&header, HEADER_CHECKSUMMED_BYTES));
    memcpy(out, &header, sizeof(header));
    if (record->data_bytes > 0) {
        memcpy(out + sizeof(header), record->data, record->data_bytes);
    }
}

static void
header_to_host_order(struct record_header *header)
{
    header->magic = le32toh(header->magic);
    header->data_bytes = le32toh(header->data_bytes);
    header->term = le64toh(header->term);
    header->index = le64toh(header->index);
    header->batch = le64toh(header->batch);
    header->remaining_records = le64toh(header->remaining_records);
    header->data_checksum = le64toh(header->data_checksum);
    header->header_checksum = le64toh(header->header_checksum);
}

static enum record_state
read_record(const uint8_t *bytes, size_t length_bytes,
            struct record_header *header)
{
    uint64_t checksum;
    uint32_t magic;

    if (length_bytes < sizeof(*header)) {
        return RECORD_STATE_TRUNCATED;
    }
    memcpy(&magic, bytes, sizeof(magic));
    if (magic != htole32(RECORD_MAGIC)) {
        return RECORD_STATE_INVALID;
    }
    memcpy(header, bytes, sizeof(*header));
    checksum = XXH3_64bits(header, HEADER_CHECKSUMMED_BYTES);
    header_to_host_order(header);
    if (header->header_checksum != checksum ||
        header->data_bytes > SL_LOG_RECORD_MAX_BYTES) {
        return RECORD_STATE_INVALID;
    }
    if (length_bytes - sizeof(*header) < header->data_bytes) {
        return RECORD_STATE_TRUNCATED;
    }
    checksum = XXH3_64bits(bytes + sizeof(*header), header->data_bytes);
    return checksum == header->data_checksum ? RECORD_STATE_VALID
                                             : RECORD_STATE_INVALID;
}

/// Returns true when the bytes from start on include a sector of the file, or
/// the part of one that lies behind start, that is all zeros. Such a sector
/// was never written.
static bool
has_unwritten_sector(const uint8_t *bytes, size_t start, size_t length_bytes)
{
    while (start < length_bytes) {
        size_t end = (start / SECTOR_BYTES + 1) * SECTOR_BYTES;
        bool all_zeros = true;

        if (end > length_bytes) {
            end = length_bytes;
        }
        for (size_t i = start; i < end && all_zeros; i++) {
            all_zeros = bytes[i] == 0;
        }
        if (all_zeros) {
            return true;
        }
        start = end;
    }
    return false;
}

/// Returns true when a valid record of a batch later than batch begins
/// anywhere after start.
static bool
does_later_batch_follow(const uint8_t *bytes, size_t start,
                        size_t length_bytes, uint64_t batch)
{
    struct record_header header;

    for (size_t offset = start + 1; offset < length_bytes; offset++) {
        if (read_record(bytes + offset, length_bytes - offset, &header) ==
                RECORD_STATE_VALID &&
            header.batch > batch) {
            return true;
        }
    }
    return false;
}

/// Returns true when the invalid record at start was left by a crash during
/// the write of the last batch, and false when the file is damaged.
///
/// batch: number of the batch that the record belongs to.
static bool
is_tail_torn(const uint8_t *bytes, size_t start, size_t length_bytes,
             enum record_state record_state, uint64_t batch)
{
    if (does_later_batch_follow(bytes, start, length_bytes, batch)) {
        return false;
    }
    return record_state == RECORD_STATE_TRUNCATED ||
           has_unwritten_sector(bytes, start, length_bytes);
}

static enum SlStatus
set_damage_offset(struct SlLogScan *scan, size_t offset)
{
    scan->damage_offset_bytes = offset;
    return SL_DAMAGED;
}

/// Decodes the record at bytes and appends it to records.
static enum SlStatus
append_record(const uint8_t *bytes, const struct record_header *header,
              struct SlRecords *records)
{
    struct SlLogRecord record = {
        .term = header->term,
        .index = header->index,
        .data = bytes + sizeof(*header),
        .data_bytes = header->data_bytes,
    };

    if (records->record_count == 0) {
        records->first_index = header->index;
    }
    return SlRecords_Append(records, &record);
}

enum SlStatus
SlLog_Scan(const uint8_t *bytes, size_t length_bytes,
           struct SlRecords *records, struct SlLogScan *scan)
{
    struct record_header header;
    uint64_t tail_batch = 0;
    size_t offset = SL_LOG_HEADER_BYTES;

    *scan = (struct SlLogScan){.valid_bytes = offset};
    if (length_bytes < offset || memcmp(bytes, LOG_MAGIC, offset) != 0) {
        return set_damage_offset(scan, 0);
    }
    while (offset < length_bytes) {
        enum record_state record_state =
            read_record(bytes + offset, length_bytes - offset, &header);
        enum SlStatus status;

        if (record_state != RECORD_STATE_VALID) {
            return is_tail_torn(bytes, offset, length_bytes, record_state,
                                tail_batch)
                       ? SL_OK
                       : set_damage_offset(scan, offset);
        }
        status = append_record(bytes + offset, &header, records);
        if (status != SL_OK) {
            return status == SL_INVALID ? set_damage_offset(scan, offset)
                                        : status;
        }
        offset += sizeof(header) + header.data_bytes;
        scan->valid_bytes = offset;
        scan->last_batch_number = header.batch;
        tail_batch =
            header.remaining_records > 0 ? header.batch : header.batch + 1;
    }
    return SL_OK;
}
