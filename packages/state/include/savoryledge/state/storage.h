#ifndef SAVORYLEDGE_STATE_STORAGE_H
#define SAVORYLEDGE_STATE_STORAGE_H

/// Durable state of a control instance: vote, log and snapshot. Two kinds:
/// files under a data folder, and memory (for tests and replay).

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/status.h"
#include "savoryledge/common/version.h"
#include "savoryledge/state/files.h"

struct SlStorage;

/// What must survive beside the log. Written and synced as a whole.
struct SlHardState {
    uint64_t term;
    /// Node voted for in term; 0 nobody.
    uint64_t voted_for;
    /// Identity of this data folder, drawn when it was made.
    uint64_t incarnation;
    /// The folder belongs to this node; another's folder is refused.
    uint64_t node_id;
    /// False until a snapshot or log of a leader has been taken in full; an
    /// instance that has not caught up never votes.
    bool caught_up;
};

/// One record of the log. data is borrowed.
struct SlLogRecord {
    uint64_t term;
    uint64_t index;
    const uint8_t *data;
    uint32_t data_bytes;
};

struct SlStorageType {
    /// Writes and syncs. Errors: SL_IO, SL_DISK_FULL.
    enum SlStatus (*save_hard_state)(struct SlStorage *storage,
                                     const struct SlHardState *state);
    /// Appends records whose indices follow the last; not yet durable.
    enum SlStatus (*append)(struct SlStorage *storage,
                            const struct SlLogRecord *records, uint32_t count);
    /// Makes everything appended durable. On failure the records appended
    /// since the last sync are dropped (range tells). After SL_DISK_FULL
    /// storage stays usable and nothing of them is on disk; after SL_IO they
    /// may be, and storage refuses every write until it is opened again.
    enum SlStatus (*sync)(struct SlStorage *storage);
    /// Drops records from index on, durably. Errors as for sync.
    enum SlStatus (*truncate)(struct SlStorage *storage, uint64_t index);
    /// Replaces the snapshot durably, then drops records before keep_from
    /// (at most last.index + 1), or all when the record at last.index is not
    /// of last.term.
    enum SlStatus (*save_snapshot)(struct SlStorage *storage,
                                   struct SlVersion last, const uint8_t *bytes,
                                   size_t length_bytes, uint64_t keep_from);
    /// What was found when opened.
    void (*hard_state)(const struct SlStorage *storage,
                       struct SlHardState *state);
    /// bytes is borrowed until the next save_snapshot; NULL when none.
    void (*snapshot)(const struct SlStorage *storage, struct SlVersion *last,
                     const uint8_t **bytes, size_t *length_bytes);
    /// First and last index held; first > last when empty.
    void (*index_range)(const struct SlStorage *storage, uint64_t *first,
                        uint64_t *last);
    /// The record at index. Errors: SL_NOT_FOUND. Its data is borrowed until
    /// the next truncate, save_snapshot or failed sync.
    enum SlStatus (*read_record)(struct SlStorage *storage, uint64_t index,
                                 struct SlLogRecord *record);
    /// The last failure.
    const struct SlError *(*last_error)(const struct SlStorage *storage);
    void (*destroy)(struct SlStorage *storage);
};

struct SlStorage {
    const struct SlStorageType *type;
};

/// Opens or makes the durable state in folder (which must exist).
///
/// A torn tail of the log is cut. Damage anywhere else gives SL_DAMAGED with
/// file and offset in error, and nothing is written.
/// incarnation: used when the folder is empty.
enum SlStatus
SlStorage_OpenFolder(const char *folder, uint64_t node_id,
                     uint64_t incarnation, struct SlStorage **storage,
                     struct SlError *error);

/// The same with other file calls; files outlives the storage.
enum SlStatus
SlStorage_OpenFolderWithFiles(struct SlFiles *files, const char *folder,
                              uint64_t node_id, uint64_t incarnation,
                              struct SlStorage **storage,
                              struct SlError *error);

/// State in memory; NULL without memory.
struct SlStorage *
SlStorage_CreateMemory(uint64_t node_id, uint64_t incarnation);

/// NULL is allowed.
void
SlStorage_Destroy(struct SlStorage *storage);

#endif
