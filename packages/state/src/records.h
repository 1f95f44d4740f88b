#ifndef SAVORYLEDGE_STATE_RECORDS_H
#define SAVORYLEDGE_STATE_RECORDS_H

/// The records of a log in memory: a run of consecutive indices.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/state/storage.h"

struct SlRecords {
    /// Index of items[0], or of the next record when empty.
    uint64_t first;
    uint32_t count;
    uint32_t room;
    struct SlLogRecord *items;
};

/// Copies a record behind the last; an empty run may begin earlier than a
/// snapshot's end, with records kept from before it. Errors: SL_INVALID (its
/// index does not follow), SL_NO_MEMORY.
enum SlStatus
SlRecords_Append(struct SlRecords *records, const struct SlLogRecord *record);

/// Index of the last record; first - 1 when empty.
uint64_t
SlRecords_Last(const struct SlRecords *records);

/// NULL when it is not held.
const struct SlLogRecord *
SlRecords_Find(const struct SlRecords *records, uint64_t index);

void
SlRecords_DropFrom(struct SlRecords *records, uint64_t index);

/// Drops what a snapshot up to last replaces: records before keep_from, and
/// all of them when they do not agree with the snapshot.
void
SlRecords_Compact(struct SlRecords *records, struct SlVersion last,
                  uint64_t keep_from);

/// Frees the records; the struct is empty afterwards.
void
SlRecords_Release(struct SlRecords *records);

#endif
