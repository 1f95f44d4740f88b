#ifndef SAVORYLEDGE_STATE_LOG_FORMAT_H
#define SAVORYLEDGE_STATE_LOG_FORMAT_H

/// The format of the log file: a header followed by records.
///
/// Records that are synced together form a batch. A batch is written only
/// after the previous one has been synced, so that a crash can leave only the
/// last batch incomplete (a torn tail). An invalid record is damage, not a
/// torn tail, when a valid record of a later batch follows it, or when the
/// file contains it in full length without an unwritten sector (zeros).

#include <stddef.h>
#include <stdint.h>

#include "records.h"

enum {
    SL_LOG_HEADER_BYTES = 16,
    SL_LOG_RECORD_HEADER_BYTES = 56,
    SL_LOG_RECORD_MAX_BYTES = 1 << 20,
};

/// Position of a record in its batch.
struct SlLogBatch {
    /// Sequence number of the batch in the file.
    uint64_t batch_number;
    /// Number of records of the batch that follow this record.
    uint64_t remaining_records;
};

/// Result of scanning a log file.
struct SlLogScan {
    /// Length of the file up to the end of the last valid record.
    size_t valid_bytes;
    /// Number of the last batch in the file; the next batch gets the following
    /// number.
    uint64_t last_batch_number;
    /// Offset of the damaged place when the scan fails with SL_DAMAGED.
    size_t damage_offset_bytes;
};

/// Encodes the header of a log file into SL_LOG_HEADER_BYTES bytes at out.
void
SlLog_WriteHeader(uint8_t *out);

/// Returns the length of a record in the log file, in bytes.
size_t
SlLog_RecordBytes(const struct SlLogRecord *record);
/// Encodes a record into SlLog_RecordBytes bytes at out.
void
SlLog_WriteRecord(const struct SlLogRecord *record,
                  const struct SlLogBatch *batch, uint8_t *out);

/// Decodes a complete log file and appends its records to records. A torn
/// tail is not an error; scan->valid_bytes ends before it.
/// Errors: SL_DAMAGED, SL_NO_MEMORY.
enum SlStatus
SlLog_Scan(const uint8_t *bytes, size_t length_bytes,
           struct SlRecords *records, struct SlLogScan *scan);

#endif
