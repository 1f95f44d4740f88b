#include "log_format.h"

#include <endian.h>
#include <string.h>

#include <xxhash.h>

static const char LOG_MAGIC[SL_LOG_HEADER_BYTES] = "savoryledge log1";

enum {
    RECORD_MAGIC = 0x5ac0f1e7,
    SECTOR_BYTES = 512,
    HEADER_CHECKED_BYTES = 48,
};

/// A record's header on disk, little-endian.
struct record_header {
    uint32_t magic;
    uint32_t data_bytes;
    uint64_t term;
    uint64_t index;
    uint64_t batch;
    uint64_t remaining;
    uint64_t data_checksum;
    uint64_t header_checksum;
};

_Static_assert(sizeof(struct record_header) == SL_LOG_RECORD_HEADER_BYTES,
               "the header has no padding");

enum verdict {
    VERDICT_GOOD,
    /// The file ends within the record.
    VERDICT_SHORT,
    VERDICT_BAD,
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
        .batch = htole64(batch->number),
        .remaining = htole64(batch->remaining),
        .data_checksum =
            htole64(XXH3_64bits(record->data, record->data_bytes)),
    };

    header.header_checksum =
        htole64(XXH3_64bits(&header, HEADER_CHECKED_BYTES));
    memcpy(out, &header, sizeof(header));
    if (record->data_bytes > 0) {
        memcpy(out + sizeof(header), record->data, record->data_bytes);
    }
}

static void
to_host(struct record_header *header)
{
    header->magic = le32toh(header->magic);
    header->data_bytes = le32toh(header->data_bytes);
    header->term = le64toh(header->term);
    header->index = le64toh(header->index);
    header->batch = le64toh(header->batch);
    header->remaining = le64toh(header->remaining);
    header->data_checksum = le64toh(header->data_checksum);
    header->header_checksum = le64toh(header->header_checksum);
}

static enum verdict
read_record(const uint8_t *bytes, size_t length_bytes,
            struct record_header *header)
{
    uint64_t checksum;

    if (length_bytes < sizeof(*header)) {
        return VERDICT_SHORT;
    }
    memcpy(header, bytes, sizeof(*header));
    checksum = XXH3_64bits(header, HEADER_CHECKED_BYTES);
    to_host(header);
    if (header->magic != RECORD_MAGIC || header->header_checksum != checksum ||
        header->data_bytes > SL_LOG_RECORD_MAX_BYTES) {
        return VERDICT_BAD;
    }
    if (length_bytes - sizeof(*header) < header->data_bytes) {
        return VERDICT_SHORT;
    }
    checksum = XXH3_64bits(bytes + sizeof(*header), header->data_bytes);
    return checksum == header->data_checksum ? VERDICT_GOOD : VERDICT_BAD;
}

/// True when a part of the bytes from start on that lies within one sector
/// of the file is all zeros: it was never written.
static bool
has_unwritten_sector(const uint8_t *bytes, size_t start, size_t length_bytes)
{
    while (start < length_bytes) {
        size_t end = (start / SECTOR_BYTES + 1) * SECTOR_BYTES;
        bool zeros = true;

        if (end > length_bytes) {
            end = length_bytes;
        }
        for (size_t i = start; i < end && zeros; i++) {
            zeros = bytes[i] == 0;
        }
        if (zeros) {
            return true;
        }
        start = end;
    }
    return false;
}

/// True when a whole record of a batch after batch stands anywhere behind
/// start.
static bool
later_batch_follows(const uint8_t *bytes, size_t start, size_t length_bytes,
                    uint64_t batch)
{
    struct record_header header;

    for (size_t at = start + 1; at < length_bytes; at++) {
        if (read_record(bytes + at, length_bytes - at, &header) ==
                VERDICT_GOOD &&
            header.batch > batch) {
            return true;
        }
    }
    return false;
}

static bool
tail_is_torn(const uint8_t *bytes, size_t start, size_t length_bytes,
             enum verdict verdict, uint64_t batch)
{
    if (later_batch_follows(bytes, start, length_bytes, batch)) {
        return false;
    }
    return verdict == VERDICT_SHORT ||
           has_unwritten_sector(bytes, start, length_bytes);
}

static enum SlStatus
damaged(struct SlLogScan *scan, size_t offset)
{
    scan->damaged_at = offset;
    return SL_DAMAGED;
}

/// Takes the record at the given bytes into records.
static enum SlStatus
take_record(const uint8_t *bytes, const struct record_header *header,
            struct SlRecords *records)
{
    struct SlLogRecord record = {
        .term = header->term,
        .index = header->index,
        .data = bytes + sizeof(*header),
        .data_bytes = header->data_bytes,
    };

    if (records->count == 0) {
        records->first = header->index;
    }
    return SlRecords_Append(records, &record);
}

enum SlStatus
SlLog_Scan(const uint8_t *bytes, size_t length_bytes,
           struct SlRecords *records, struct SlLogScan *scan)
{
    struct record_header header;
    uint64_t tail_batch = 0;
    size_t at = SL_LOG_HEADER_BYTES;

    *scan = (struct SlLogScan){.good_bytes = at};
    if (length_bytes < at || memcmp(bytes, LOG_MAGIC, at) != 0) {
        return damaged(scan, 0);
    }
    while (at < length_bytes) {
        enum verdict verdict =
            read_record(bytes + at, length_bytes - at, &header);
        enum SlStatus status;

        if (verdict != VERDICT_GOOD) {
            return tail_is_torn(bytes, at, length_bytes, verdict, tail_batch)
                       ? SL_OK
                       : damaged(scan, at);
        }
        status = take_record(bytes + at, &header, records);
        if (status != SL_OK) {
            return status == SL_INVALID ? damaged(scan, at) : status;
        }
        at += sizeof(header) + header.data_bytes;
        scan->good_bytes = at;
        scan->batch = header.batch;
        tail_batch = header.remaining > 0 ? header.batch : header.batch + 1;
    }
    return SL_OK;
}
