#ifndef SAVORYLEDGE_STATE_RECORDS_H
#define SAVORYLEDGE_STATE_RECORDS_H

/// The records of a log in memory, with consecutive indices.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/state/storage.h"

struct SlRecords {
    /// Log index of items[0]; when there are no records, the index that the
    /// next record is expected to have.
    uint64_t first_index;
    uint32_t record_count;
    uint32_t capacity;
    struct SlLogRecord *items;
};

/// Appends a copy of a record. When there are no records, the index of the new
/// record may also be lower than first_index, because a log may still contain
/// records that the snapshot includes. Errors: SL_INVALID (the index of the
/// record does not follow that of the last record), SL_NO_MEMORY.
enum SlStatus
SlRecords_Append(struct SlRecords *records, const struct SlLogRecord *record);

/// Returns the index of the last record, or first_index - 1 when there are no
/// records.
uint64_t
SlRecords_LastIndex(const struct SlRecords *records);

/// Returns the record with this log index, or NULL when there is none. The
/// record is borrowed until records are appended or dropped.
const struct SlLogRecord *
SlRecords_Find(const struct SlRecords *records, uint64_t index);

/// Drops the records from this log index on.
void
SlRecords_DropFrom(struct SlRecords *records, uint64_t index);

/// Drops records that a new snapshot replaces. When the records contain the
/// last change of the snapshot, the records before keep_from are dropped.
/// Otherwise all records are dropped, unless the first one follows the
/// snapshot immediately.
///
/// snapshot_version: version of the last change in the snapshot.
/// keep_from: log index of the first record to keep.
void
SlRecords_Compact(struct SlRecords *records, struct SlVersion snapshot_version,
                  uint64_t keep_from);

/// Frees all records, after which the struct is empty.
void
SlRecords_Release(struct SlRecords *records);

#endif
