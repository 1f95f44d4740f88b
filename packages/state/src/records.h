#ifndef SAVORYLEDGE_STATE_RECORDS_H
#define SAVORYLEDGE_STATE_RECORDS_H

/// The records of a log in memory, with consecutive indices.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/state/storage.h"

struct SlRecords {
    /// Index of items[0]; when empty, index of the next record.
    uint64_t first_index;
    uint32_t count;
    uint32_t capacity;
    struct SlLogRecord *items;
};

/// Appends a copy of a record. When records is empty its index may also be
/// lower than first_index, because a log may still contain records that the
/// snapshot includes.
/// Errors: SL_INVALID (the index does not follow the last one), SL_NO_MEMORY.
enum SlStatus
SlRecords_Append(struct SlRecords *records, const struct SlLogRecord *record);

/// Returns the index of the last record; first_index - 1 when empty.
uint64_t
SlRecords_Last(const struct SlRecords *records);

/// Returns the record at index, or NULL when there is none. Borrowed until
/// records are appended or dropped.
const struct SlLogRecord *
SlRecords_Find(const struct SlRecords *records, uint64_t index);

/// Drops the records from index on.
void
SlRecords_DropFrom(struct SlRecords *records, uint64_t index);

/// Drops records after a snapshot was saved. When the records contain the
/// last change of the snapshot, those before keep_from are dropped. Otherwise
/// all are dropped, unless the first one follows the snapshot immediately.
///
/// snapshot_last: version of the last change in the snapshot.
void
SlRecords_Compact(struct SlRecords *records, struct SlVersion snapshot_last,
                  uint64_t keep_from);

/// Frees all records; the struct is empty afterwards.
void
SlRecords_Release(struct SlRecords *records);

#endif
