#ifndef SAVORYLEDGE_STATE_STORAGE_H
#define SAVORYLEDGE_STATE_STORAGE_H

/// Durable state of a control instance, as the Raft algorithm needs it: hard
/// state (term and vote), log and snapshot. A snapshot contains the whole
/// configuration after some change and replaces the log records up to that
/// change. One implementation keeps it in files in a data folder, another one
/// in memory, for tests and replay.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/status.h"
#include "savoryledge/common/version.h"
#include "savoryledge/state/files.h"

struct SlStorage;

/// The durable state besides log and snapshot. It is written and synced as a
/// unit.
struct SlHardState {
    /// The newest election term that this instance knows.
    uint64_t term;
    /// Identifier of the node that got this instance's vote in this term; 0
    /// when the instance has not voted.
    uint64_t voted_for;
    /// Random identity of the data folder, set when the folder is
    /// initialised.
    uint64_t incarnation;
    /// Identifier of the node that owns the data folder; any other node is
    /// refused.
    uint64_t node_id;
    /// True once the instance has received a leader's snapshot or log
    /// completely; the instance does not vote before that.
    bool caught_up;
    /// Longest election timeout for which the instance may have promised a
    /// leader to grant no vote, microseconds; 0 for the configured one.
    uint64_t promised_election_us;
};

/// A record of the log. Its data is borrowed.
struct SlLogRecord {
    uint64_t term;
    uint64_t index;
    const uint8_t *data;
    uint32_t data_bytes;
};

/// The operations of a storage implementation. Not thread-safe.
///
/// After SL_DISK_FULL and SL_NO_MEMORY the storage stays usable: what it holds
/// in memory is what a restart recovers, and the operation may be repeated.
/// After SL_IO it may refuse every write with SL_IO, because the kernel may
/// have dropped what it could not write, until recover succeeds or the storage
/// is opened again.
struct SlStorageType {
    /// Writes and syncs the hard state. Errors: SL_IO, SL_DISK_FULL,
    /// SL_NO_MEMORY.
    enum SlStatus (*save_hard_state)(struct SlStorage *storage,
                                     const struct SlHardState *state);
    /// Appends copies of records to the log, which become durable with the
    /// next sync. The indices of the records must continue the log.
    /// Errors: SL_INVALID (an index does not continue the log), SL_TOO_LONG,
    /// SL_IO, SL_NO_MEMORY.
    enum SlStatus (*append)(struct SlStorage *storage,
                            const struct SlLogRecord *records, uint32_t count);
    /// Makes all appended records durable. On failure the records appended
    /// since the last sync are dropped, so that index_range no longer includes
    /// them. After SL_DISK_FULL or SL_NO_MEMORY none of these records is on
    /// disk; after SL_IO some of them may be. Errors: SL_IO, SL_DISK_FULL,
    /// SL_NO_MEMORY.
    enum SlStatus (*sync)(struct SlStorage *storage);
    /// Removes the log records from index on, durably. On failure the log is
    /// unchanged; after SL_IO a restart may find it either way.
    /// Errors: SL_IO, SL_DISK_FULL, SL_NO_MEMORY.
    enum SlStatus (*truncate)(struct SlStorage *storage, uint64_t index);
    /// Replaces the snapshot durably, then drops the log records before
    /// keep_from. When the record at last_version.index is missing or not of
    /// last_version.term, drops all records unless they continue the snapshot.
    /// On failure snapshot and log are unchanged; after SL_IO a restart may
    /// find either snapshot.
    ///
    /// last_version: version of the last change in the snapshot.
    /// keep_from: index of the first record to keep, at most
    /// last_version.index + 1.
    /// Errors: SL_IO, SL_DISK_FULL, SL_NO_MEMORY.
    enum SlStatus (*save_snapshot)(struct SlStorage *storage,
                                   struct SlVersion last_version,
                                   const uint8_t *bytes, size_t length_bytes,
                                   uint64_t keep_from);
    /// Makes the storage usable again after SL_IO: writes hard state and log
    /// to new files, from memory, and syncs them. Nothing is read back,
    /// because the kernel may hold data that is not on disk. Errors: SL_IO,
    /// SL_DISK_FULL, SL_NO_MEMORY; writes are still refused.
    enum SlStatus (*recover)(struct SlStorage *storage);
    /// Copies the hard state that was most recently loaded or saved to state.
    void (*copy_hard_state)(const struct SlStorage *storage,
                            struct SlHardState *state);
    /// Returns the snapshot and the version of the last change in it. bytes is
    /// borrowed until the next save_snapshot; it is NULL when there is no
    /// snapshot.
    void (*get_snapshot)(const struct SlStorage *storage,
                         struct SlVersion *last_version, const uint8_t **bytes,
                         size_t *length_bytes);
    /// Returns the indices of the first and the last record of the log,
    /// including records not yet synced. first_index is greater than
    /// last_index when the log is empty.
    void (*index_range)(const struct SlStorage *storage, uint64_t *first_index,
                        uint64_t *last_index);
    /// Returns the log record with this index. Its data is borrowed until the
    /// next truncate, save_snapshot or failed sync. Errors: SL_NOT_FOUND.
    enum SlStatus (*read_record)(struct SlStorage *storage, uint64_t index,
                                 struct SlLogRecord *record);
    /// Returns the error of the last operation that failed. The error is
    /// borrowed from the storage.
    const struct SlError *(*last_error)(const struct SlStorage *storage);
    void (*destroy)(struct SlStorage *storage);
};

/// A storage implementation. Implementations embed it as the first member of a
/// struct.
struct SlStorage {
    const struct SlStorageType *type;
};

/// Opens the durable state in a folder, or initialises an empty folder. The
/// folder must exist. It is locked until the storage is destroyed.
///
/// What was read is made durable before the call returns: log and hard state
/// are written anew, or synced as they are on a full disk. When neither is
/// possible, every write and sync fails with SL_IO until recover succeeds.
/// An incomplete batch
/// at the end of the log, left by a crash, is removed.
/// Any other damage fails with SL_DAMAGED and leaves the files unchanged; the
/// message names the file and the offset.
///
/// node_id: identifier of the node that owns the folder.
/// incarnation: random identity of the folder, stored when the folder is
/// initialised.
/// storage: receives the storage, which the caller owns.
/// Errors: SL_DAMAGED, SL_INVALID (the folder belongs to another node),
/// SL_IO, SL_DISK_FULL, SL_NO_MEMORY.
enum SlStatus
SlStorage_OpenFolder(const char *folder, uint64_t node_id,
                     uint64_t incarnation, struct SlStorage **storage,
                     struct SlError *error);

/// Opens a folder like SlStorage_OpenFolder, but makes all file system calls
/// through files, which is borrowed and must outlive the storage.
enum SlStatus
SlStorage_OpenFolderWithFiles(struct SlFiles *files, const char *folder,
                              uint64_t node_id, uint64_t incarnation,
                              struct SlStorage **storage,
                              struct SlError *error);

/// Creates empty storage in memory. Returns NULL when memory runs out. The
/// caller owns the storage.
struct SlStorage *
SlStorage_CreateMemory(uint64_t node_id, uint64_t incarnation);

/// Closes and frees the storage; storage may be NULL.
void
SlStorage_Destroy(struct SlStorage *storage);

#endif
