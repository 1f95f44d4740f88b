#ifndef SAVORYLEDGE_STATE_LOG_FORMAT_H
#define SAVORYLEDGE_STATE_LOG_FORMAT_H

/// The bytes of the log file: a header, then records.
///
/// Records synced together form a batch. A batch is written only after the
/// one before it was synced, so a crash can tear nothing but the last batch.
/// A bad record with a record of a later batch behind it is damage; so is a
/// bad record that stands there in full without a sector of zeros.

#include <stddef.h>
#include <stdint.h>

#include "records.h"

enum {
    SL_LOG_HEADER_BYTES = 16,
    SL_LOG_RECORD_HEADER_BYTES = 56,
    SL_LOG_RECORD_MAX_BYTES = 1 << 20,
};

/// Place of a record within its batch.
struct SlLogBatch {
    uint64_t number;
    /// Records of the batch behind this one.
    uint64_t remaining;
};

/// What a scan of a log file found.
struct SlLogScan {
    /// Where the good records end.
    size_t good_bytes;
    /// Number of the last batch; the next gets one more.
    uint64_t batch;
    /// SL_DAMAGED: the offset of the damage.
    size_t damaged_at;
};

/// Writes the SL_LOG_HEADER_BYTES that begin a log file.
void
SlLog_WriteHeader(uint8_t *out);

/// Bytes that SlLog_WriteRecord writes.
size_t
SlLog_RecordBytes(const struct SlLogRecord *record);
void
SlLog_WriteRecord(const struct SlLogRecord *record,
                  const struct SlLogBatch *batch, uint8_t *out);

/// Reads a whole log file into records.
/// Errors: SL_DAMAGED, SL_NO_MEMORY. A torn tail is none: it ends the good
/// bytes.
enum SlStatus
SlLog_Scan(const uint8_t *bytes, size_t length_bytes,
           struct SlRecords *records, struct SlLogScan *scan);

#endif
