/// Durable state in a folder, in the files "state" (hard state), "log" and
/// "snapshot". Files are replaced as a whole by renaming a new file; only the
/// log is also appended to, with one write and one sync for each batch.

#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "folder.h"
#include "log_format.h"
#include "savoryledge/state/storage.h"

static const char STATE_NAME[] = "state";
static const char LOG_NAME[] = "log";
static const char SNAPSHOT_NAME[] = "snapshot";
static const char LOCK_NAME[] = "lock";

enum {
    /// Number of 64-bit integers in the file "state".
    STATE_WORDS = 5,
    /// The last word: a flag, and the promised election timeout above it.
    STATE_FLAG_BITS = 1,
    STATE_CAUGHT_UP = 1,
    /// Size of the term and index of the last change, which the file
    /// "snapshot" contains before the snapshot's bytes.
    SNAPSHOT_HEADER_BYTES = 16,
};

struct storage_folder {
    struct SlStorage storage;
    struct SlFolder folder;
    int lock_fd;
    int log_fd;
    /// Length of the log file up to the end of the last synced record.
    size_t log_bytes;
    /// Number of the last batch in the log file.
    uint64_t last_batch_number;
    /// Index of the last log record that was synced.
    uint64_t synced_index;
    /// The log file cannot be continued by the records in memory: it must be
    /// replaced before a record is written. Until then a restart recovers
    /// from the file as it is.
    bool log_is_outdated;
    /// The log file ended in an incomplete batch when it was read.
    bool log_has_torn_tail;
    struct SlHardState hard_state;
    struct SlRecords records;
    struct SlVersion snapshot_version;
    struct SlFileBytes snapshot;
};

static enum SlStatus
storage_save_hard_state_folder(struct SlStorage *storage,
                               const struct SlHardState *state)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    uint64_t words[STATE_WORDS] = {
        htole64(state->term),
        htole64(state->voted_for),
        htole64(state->incarnation),
        htole64(state->node_id),
        htole64(state->caught_up | state->promised_election_us
                                       << STATE_FLAG_BITS),
    };
    enum SlStatus status =
        SlFolder_ReplaceCheckedFile(&self->folder, SL_STEP_VOTE, STATE_NAME,
                                    (const uint8_t *)words, sizeof(words));

    if (status == SL_OK) {
        self->hard_state = *state;
    }
    return status;
}

static enum SlStatus
storage_append_folder(struct SlStorage *storage,
                      const struct SlLogRecord *records, uint32_t count)
{
    struct storage_folder *self = (struct storage_folder *)storage;

    if (self->folder.writes_disabled) {
        return SlFolder_SetRefusedError(&self->folder, SL_STEP_APPEND);
    }
    for (uint32_t i = 0; i < count; i++) {
        enum SlStatus status = SL_TOO_LONG;

        if (records[i].data_bytes <= SL_LOG_RECORD_MAX_BYTES) {
            status = SlRecords_Append(&self->records, &records[i]);
        }
        if (status != SL_OK) {
            return SlError_Set(&self->folder.error, status, SL_STEP_APPEND,
                               NULL, "cannot append log record %llu",
                               (unsigned long long)records[i].index);
        }
    }
    return SL_OK;
}

/// Encodes the records from first_index to last_index as one batch, optionally
/// with a file header before it. Returns NULL when memory runs out. The caller
/// frees the result.
static uint8_t *
encode_batch(const struct storage_folder *self, uint64_t first_index,
             uint64_t last_index, bool with_file_header, uint64_t batch_number,
             size_t *length_bytes)
{
    size_t capacity = SL_LOG_HEADER_BYTES;
    size_t written_bytes = 0;
    uint8_t *bytes;

    for (uint64_t i = first_index; i <= last_index; i++) {
        capacity += SlLog_RecordBytes(SlRecords_Find(&self->records, i));
    }
    bytes = malloc(capacity);
    if (bytes == NULL) {
        return NULL;
    }
    if (with_file_header) {
        SlLog_WriteHeader(bytes);
        written_bytes = SL_LOG_HEADER_BYTES;
    }
    for (uint64_t i = first_index; i <= last_index; i++) {
        const struct SlLogRecord *record = SlRecords_Find(&self->records, i);
        struct SlLogBatch batch = {.batch_number = batch_number,
                                   .remaining_records = last_index - i};

        SlLog_WriteRecord(record, &batch, bytes + written_bytes);
        written_bytes += SlLog_RecordBytes(record);
    }
    *length_bytes = written_bytes;
    return bytes;
}

/// Handles a failed write to the log. After SL_DISK_FULL the file is durably
/// truncated to its synced length and the storage stays usable. After any
/// other failure, or when the truncation fails, the contents of the file are
/// unknown and further writes are disabled.
static enum SlStatus
truncate_failed_write(struct storage_folder *self, enum SlStatus status)
{
    struct SlFiles *files = self->folder.files;

    if (status != SL_DISK_FULL ||
        files->type->truncate(files, self->log_fd, (off_t)self->log_bytes) !=
            0 ||
        files->type->sync(files, self->log_fd) != 0) {
        self->folder.writes_disabled = true;
        self->folder.error.status = SL_IO;
        return SL_IO;
    }
    return status;
}

static enum SlStatus
write_batch(struct storage_folder *self)
{
    struct SlFiles *files = self->folder.files;
    size_t length_bytes;
    uint8_t *bytes = encode_batch(self, self->synced_index + 1,
                                  SlRecords_LastIndex(&self->records), false,
                                  self->last_batch_number + 1, &length_bytes);
    enum SlStatus status;

    if (bytes == NULL) {
        return SlError_Set(&self->folder.error, SL_NO_MEMORY, SL_STEP_SYNC,
                           NULL, "no memory to encode a log batch");
    }
    status = SlFolder_WriteFile(&self->folder, self->log_fd, SL_STEP_SYNC,
                                LOG_NAME, bytes, length_bytes);
    free(bytes);
    if (status != SL_OK) {
        return truncate_failed_write(self, status);
    }
    if (files->type->sync(files, self->log_fd) != 0) {
        SlFolder_SetSystemError(&self->folder, SL_STEP_SYNC, LOG_NAME);
        return truncate_failed_write(self, SL_IO);
    }
    self->log_bytes += length_bytes;
    self->last_batch_number++;
    return SL_OK;
}

/// Opens the log file for appending, and closes its old descriptor.
static enum SlStatus
reopen_log(struct storage_folder *self)
{
    struct SlFiles *files = self->folder.files;
    int fd = files->type->open(files, self->folder.folder_fd, LOG_NAME,
                               O_WRONLY | O_APPEND);

    if (self->log_fd >= 0) {
        files->type->close(files, self->log_fd);
    }
    self->log_fd = fd;
    return fd < 0
               ? SlFolder_SetSystemError(&self->folder, SL_STEP_OPEN, LOG_NAME)
               : SL_OK;
}

/// Replaces the log file by a file with the records in memory up to
/// last_index. On failure the old file remains, or writes are disabled.
static enum SlStatus
rewrite_log(struct storage_folder *self, uint64_t last_index)
{
    size_t length_bytes;
    uint8_t *bytes = encode_batch(self, self->records.first_index, last_index,
                                  true, 1, &length_bytes);
    enum SlStatus status;

    if (bytes == NULL) {
        return SlError_Set(&self->folder.error, SL_NO_MEMORY, SL_STEP_APPEND,
                           NULL, "no memory to encode the log file");
    }
    status = SlFolder_ReplaceFile(&self->folder, SL_STEP_APPEND, LOG_NAME,
                                  bytes, length_bytes);
    free(bytes);
    if (status == SL_OK) {
        self->log_bytes = length_bytes;
        self->last_batch_number = 1;
        self->synced_index = last_index;
        /* The new file is durable, but the old descriptor leads to the old
           file. */
        self->log_is_outdated = reopen_log(self) != SL_OK;
    }
    return status;
}

static enum SlStatus
storage_sync_folder(struct SlStorage *storage)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    enum SlStatus status;

    if (self->folder.writes_disabled) {
        return SlFolder_SetRefusedError(&self->folder, SL_STEP_SYNC);
    }
    if (SlRecords_LastIndex(&self->records) <= self->synced_index) {
        return SL_OK;
    }
    status = self->log_is_outdated
                 ? rewrite_log(self, SlRecords_LastIndex(&self->records))
                 : write_batch(self);
    if (status != SL_OK) {
        SlRecords_DropFrom(&self->records, self->synced_index + 1);
        return status;
    }
    self->synced_index = SlRecords_LastIndex(&self->records);
    return SL_OK;
}

static enum SlStatus
storage_truncate_folder(struct SlStorage *storage, uint64_t index)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    enum SlStatus status = SL_OK;

    if (self->folder.writes_disabled) {
        return SlFolder_SetRefusedError(&self->folder, SL_STEP_APPEND);
    }
    if (index <= self->synced_index) {
        status = rewrite_log(self, index - 1);
    }
    if (status == SL_OK) {
        SlRecords_DropFrom(&self->records, index);
    }
    return status;
}

static enum SlStatus
write_snapshot(struct storage_folder *self, struct SlVersion last_version,
               const uint8_t *bytes, size_t length_bytes)
{
    uint64_t words[2] = {htole64(last_version.term),
                         htole64(last_version.index)};
    uint8_t *contents = malloc(SNAPSHOT_HEADER_BYTES + length_bytes);
    enum SlStatus status;

    if (contents == NULL) {
        return SlError_Set(&self->folder.error, SL_NO_MEMORY, SL_STEP_SNAPSHOT,
                           NULL, "no memory to encode the snapshot");
    }
    memcpy(contents, words, SNAPSHOT_HEADER_BYTES);
    memcpy(contents + SNAPSHOT_HEADER_BYTES, bytes, length_bytes);
    status = SlFolder_ReplaceCheckedFile(&self->folder, SL_STEP_SNAPSHOT,
                                         SNAPSHOT_NAME, contents,
                                         SNAPSHOT_HEADER_BYTES + length_bytes);
    if (status != SL_OK) {
        free(contents);
        return status;
    }
    free(self->snapshot.bytes);
    self->snapshot.bytes = contents;
    self->snapshot.length_bytes = SNAPSHOT_HEADER_BYTES + length_bytes;
    self->snapshot_version = last_version;
    return SL_OK;
}

static enum SlStatus
storage_save_snapshot_folder(struct SlStorage *storage,
                             struct SlVersion last_version,
                             const uint8_t *bytes, size_t length_bytes,
                             uint64_t keep_from)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    enum SlStatus status =
        write_snapshot(self, last_version, bytes, length_bytes);
    uint64_t last_index;

    if (status != SL_OK) {
        return status;
    }
    SlRecords_Compact(&self->records, last_version, keep_from);
    self->log_is_outdated = true;
    last_index = SlRecords_LastIndex(&self->records);
    if (self->synced_index < last_version.index ||
        self->synced_index > last_index) {
        self->synced_index = last_version.index;
    }
    /* The snapshot is durable, and a restart drops the records that it
       replaces: only the next write to the log needs the new file. */
    (void)rewrite_log(self, last_index);
    return SL_OK;
}

static enum SlStatus
storage_recover_folder(struct SlStorage *storage)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    bool was_disabled = self->folder.writes_disabled;
    enum SlStatus status;

    self->folder.writes_disabled = false;
    /* The snapshot's name first, as at the start. */
    status = SlFolder_Sync(&self->folder, SL_STEP_RECOVER);
    if (status == SL_OK) {
        status = rewrite_log(self, SlRecords_LastIndex(&self->records));
    }
    if (status == SL_OK) {
        status = storage_save_hard_state_folder(storage, &self->hard_state);
    }
    if (status != SL_OK) {
        self->folder.writes_disabled = was_disabled;
    }
    return status;
}

static void
storage_hard_state_folder(const struct SlStorage *storage,
                          struct SlHardState *state)
{
    *state = ((const struct storage_folder *)storage)->hard_state;
}

static void
storage_snapshot_folder(const struct SlStorage *storage,
                        struct SlVersion *last_version, const uint8_t **bytes,
                        size_t *length_bytes)
{
    const struct storage_folder *self = (const struct storage_folder *)storage;
    bool has_snapshot = self->snapshot.bytes != NULL;

    *last_version = self->snapshot_version;
    *bytes =
        has_snapshot ? self->snapshot.bytes + SNAPSHOT_HEADER_BYTES : NULL;
    *length_bytes =
        has_snapshot ? self->snapshot.length_bytes - SNAPSHOT_HEADER_BYTES : 0;
}

static void
storage_index_range_folder(const struct SlStorage *storage,
                           uint64_t *first_index, uint64_t *last_index)
{
    const struct storage_folder *self = (const struct storage_folder *)storage;

    *first_index = self->records.first_index;
    *last_index = SlRecords_LastIndex(&self->records);
}

static enum SlStatus
storage_read_record_folder(struct SlStorage *storage, uint64_t index,
                           struct SlLogRecord *record)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    const struct SlLogRecord *found = SlRecords_Find(&self->records, index);

    if (found == NULL) {
        return SL_NOT_FOUND;
    }
    *record = *found;
    return SL_OK;
}

static const struct SlError *
storage_last_error_folder(const struct SlStorage *storage)
{
    return &((const struct storage_folder *)storage)->folder.error;
}

static void
storage_destroy_folder(struct SlStorage *storage)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    struct SlFiles *files = self->folder.files;
    int descriptors[] = {self->log_fd, self->lock_fd, self->folder.folder_fd};

    for (size_t i = 0; i < sizeof(descriptors) / sizeof(int); i++) {
        if (descriptors[i] >= 0) {
            files->type->close(files, descriptors[i]);
        }
    }
    SlRecords_Release(&self->records);
    free(self->snapshot.bytes);
    free(self);
}

static const struct SlStorageType STORAGE_FOLDER = {
    .save_hard_state = storage_save_hard_state_folder,
    .append = storage_append_folder,
    .sync = storage_sync_folder,
    .truncate = storage_truncate_folder,
    .save_snapshot = storage_save_snapshot_folder,
    .recover = storage_recover_folder,
    .copy_hard_state = storage_hard_state_folder,
    .get_snapshot = storage_snapshot_folder,
    .index_range = storage_index_range_folder,
    .read_record = storage_read_record_folder,
    .last_error = storage_last_error_folder,
    .destroy = storage_destroy_folder,
};

static enum SlStatus
set_damaged(struct storage_folder *self, const char *name, size_t offset,
            const char *problem)
{
    return SlError_Set(&self->folder.error, SL_DAMAGED, SL_STEP_RECOVER, NULL,
                       "%s/%s: damaged at offset %zu: %s", self->folder.path,
                       name, offset, problem);
}

static enum SlStatus
open_and_lock_folder(struct storage_folder *self, const char *path)
{
    struct SlFiles *files = self->folder.files;
    size_t length = strlen(path);
    size_t skipped_bytes =
        length < SL_FOLDER_PATH_BYTES ? 0 : length - SL_FOLDER_PATH_BYTES + 1;

    snprintf(self->folder.path, sizeof(self->folder.path), "%s",
             path + skipped_bytes);
    self->folder.folder_fd =
        files->type->open(files, AT_FDCWD, path, O_RDONLY | O_DIRECTORY);
    if (self->folder.folder_fd < 0) {
        return SlFolder_SetSystemError(&self->folder, SL_STEP_OPEN, "");
    }
    self->lock_fd = files->type->open(files, self->folder.folder_fd, LOCK_NAME,
                                      O_RDWR | O_CREAT);
    if (self->lock_fd < 0 || files->type->lock(files, self->lock_fd) != 0) {
        return SlFolder_SetSystemError(&self->folder, SL_STEP_OPEN, LOCK_NAME);
    }
    SlFolder_RemoveTemporaryFile(&self->folder, STATE_NAME);
    SlFolder_RemoveTemporaryFile(&self->folder, LOG_NAME);
    SlFolder_RemoveTemporaryFile(&self->folder, SNAPSHOT_NAME);
    return SL_OK;
}

static enum SlStatus
read_state(struct storage_folder *self)
{
    uint64_t words[STATE_WORDS];
    struct SlFileBytes file;
    enum SlStatus status =
        SlFolder_ReadCheckedFile(&self->folder, STATE_NAME, &file);

    if (status != SL_OK) {
        return status;
    }
    if (file.length_bytes != sizeof(words)) {
        free(file.bytes);
        return set_damaged(self, STATE_NAME, 0, "unexpected file length");
    }
    memcpy(words, file.bytes, sizeof(words));
    free(file.bytes);
    self->hard_state = (struct SlHardState){
        .term = le64toh(words[0]),
        .voted_for = le64toh(words[1]),
        .incarnation = le64toh(words[2]),
        .node_id = le64toh(words[3]),
        .caught_up = (le64toh(words[4]) & STATE_CAUGHT_UP) != 0,
        .promised_election_us = le64toh(words[4]) >> STATE_FLAG_BITS,
    };
    return SL_OK;
}

static enum SlStatus
read_snapshot(struct storage_folder *self)
{
    uint64_t words[2];
    enum SlStatus status = SlFolder_ReadCheckedFile(
        &self->folder, SNAPSHOT_NAME, &self->snapshot);

    if (status == SL_NOT_FOUND) {
        return SL_OK;
    }
    if (status != SL_OK) {
        return status;
    }
    if (self->snapshot.length_bytes < SNAPSHOT_HEADER_BYTES) {
        return set_damaged(self, SNAPSHOT_NAME, 0, "unexpected file length");
    }
    memcpy(words, self->snapshot.bytes, SNAPSHOT_HEADER_BYTES);
    self->snapshot_version = (struct SlVersion){.term = le64toh(words[0]),
                                                .index = le64toh(words[1])};
    return SL_OK;
}

/// Drops the records of a log that does not continue the snapshot. A crash
/// after the snapshot was saved and before the log was rewritten can leave
/// such a log. Fails with SL_DAMAGED when records between the snapshot and
/// the log are missing.
static enum SlStatus
drop_obsolete_records(struct storage_folder *self)
{
    uint64_t old_first = self->records.first_index;
    uint32_t old_count = self->records.record_count;

    if (old_count > 0 && old_first > self->snapshot_version.index + 1) {
        return set_damaged(self, LOG_NAME, SL_LOG_HEADER_BYTES,
                           "records before the first one are missing");
    }
    if (self->snapshot_version.index > 0) {
        SlRecords_Compact(&self->records, self->snapshot_version, old_first);
    }
    else if (old_count == 0) {
        self->records.first_index = 1;
    }
    self->log_is_outdated = self->records.record_count != old_count;
    return SL_OK;
}

static enum SlStatus
read_log(struct storage_folder *self)
{
    struct SlFileBytes file;
    struct SlLogScan scan;
    enum SlStatus status = SlFolder_ReadFile(&self->folder, LOG_NAME, &file);

    if (status == SL_NOT_FOUND) {
        return set_damaged(self, LOG_NAME, 0, "file is missing");
    }
    if (status != SL_OK) {
        return status;
    }
    status = SlLog_Scan(file.bytes, file.length_bytes, &self->records, &scan);
    free(file.bytes);
    if (status != SL_OK) {
        return status == SL_DAMAGED
                   ? set_damaged(self, LOG_NAME, scan.damage_offset_bytes,
                                 "invalid header or record")
                   : status;
    }
    self->log_bytes = scan.valid_bytes;
    self->last_batch_number = scan.last_batch_number;
    self->log_has_torn_tail = scan.valid_bytes != file.length_bytes;
    status = reopen_log(self);
    return status == SL_OK ? drop_obsolete_records(self) : status;
}

/// Makes the log file durable as it is, which needs no space, without what a
/// crash left of an incomplete batch. When that cannot be removed, it stays
/// until the next write replaces the file.
static enum SlStatus
sync_old_log(struct storage_folder *self)
{
    struct SlFiles *files = self->folder.files;

    if (self->log_has_torn_tail &&
        files->type->truncate(files, self->log_fd, (off_t)self->log_bytes) !=
            0) {
        self->log_is_outdated = true;
    }
    if (files->type->sync(files, self->log_fd) != 0) {
        return SlFolder_SetSystemError(&self->folder, SL_STEP_RECOVER,
                                       LOG_NAME);
    }
    self->synced_index = SlRecords_LastIndex(&self->records);
    return SL_OK;
}

/// Makes durable what was read. It may come from the page cache alone: the
/// process before may have been killed before it synced, or after a sync that
/// failed, which leaves pages that look clean. So log and hard state are
/// written anew; on a full disk the old files are synced. When neither is
/// possible, the storage refuses writes until it recovers.
static enum SlStatus
make_durable(struct storage_folder *self)
{
    enum SlStatus status;

    /* The new log lacks the records that the snapshot replaces, so the
       snapshot's name must be durable before the log's. Its bytes were synced
       before it got that name. */
    status = SlFolder_Sync(&self->folder, SL_STEP_RECOVER);
    if (status == SL_OK) {
        status = rewrite_log(self, SlRecords_LastIndex(&self->records));
    }
    if (status == SL_DISK_FULL) {
        status = sync_old_log(self);
    }
    if (status == SL_OK) {
        status =
            storage_save_hard_state_folder(&self->storage, &self->hard_state);
    }
    if (status == SL_DISK_FULL) {
        status = SlFolder_SyncFile(&self->folder, SL_STEP_RECOVER, STATE_NAME);
    }
    if (status == SL_IO || status == SL_DISK_FULL) {
        self->folder.writes_disabled = true;
        return SL_OK;
    }
    return status;
}

/// Returns true when the folder contains no snapshot and no log records. Its
/// initialisation may then have been interrupted by a crash.
static bool
is_folder_uninitialised(struct storage_folder *self)
{
    struct SlFileBytes file;
    enum SlStatus status;

    status = SlFolder_ReadFile(&self->folder, SNAPSHOT_NAME, &file);
    free(file.bytes);
    if (status != SL_NOT_FOUND) {
        return false;
    }
    status = SlFolder_ReadFile(&self->folder, LOG_NAME, &file);
    free(file.bytes);
    return status == SL_NOT_FOUND ||
           (status == SL_OK && file.length_bytes == SL_LOG_HEADER_BYTES);
}

static enum SlStatus
initialise_folder(struct storage_folder *self, uint64_t node_id,
                  uint64_t incarnation)
{
    struct SlHardState state = {.node_id = node_id,
                                .incarnation = incarnation};
    enum SlStatus status;

    if (!is_folder_uninitialised(self)) {
        return set_damaged(self, STATE_NAME, 0, "file is missing");
    }
    self->records.first_index = 1;
    status = rewrite_log(self, 0);
    if (status == SL_OK) {
        status = storage_save_hard_state_folder(&self->storage, &state);
    }
    return status;
}

static enum SlStatus
recover_folder(struct storage_folder *self, const char *path, uint64_t node_id,
               uint64_t incarnation)
{
    enum SlStatus status = open_and_lock_folder(self, path);

    if (status != SL_OK) {
        return status;
    }
    status = read_state(self);
    if (status == SL_NOT_FOUND) {
        return initialise_folder(self, node_id, incarnation);
    }
    if (status == SL_OK && self->hard_state.node_id != node_id) {
        return SlError_Set(&self->folder.error, SL_INVALID, SL_STEP_RECOVER,
                           NULL, "data folder %s belongs to another node",
                           self->folder.path);
    }
    if (status == SL_OK) {
        status = read_snapshot(self);
    }
    if (status == SL_OK) {
        status = read_log(self);
    }
    return status == SL_OK ? make_durable(self) : status;
}

enum SlStatus
SlStorage_OpenFolderWithFiles(struct SlFiles *files, const char *folder,
                              uint64_t node_id, uint64_t incarnation,
                              struct SlStorage **storage,
                              struct SlError *error)
{
    struct storage_folder *self = calloc(1, sizeof(*self));
    enum SlStatus status;

    *storage = NULL;
    if (self == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for the storage");
    }
    self->storage.type = &STORAGE_FOLDER;
    self->folder.files = files;
    self->folder.folder_fd = -1;
    self->lock_fd = -1;
    self->log_fd = -1;
    status = recover_folder(self, folder, node_id, incarnation);
    if (status != SL_OK) {
        if (error != NULL) {
            *error = self->folder.error;
            error->status = status;
        }
        storage_destroy_folder(&self->storage);
        return status;
    }
    *storage = &self->storage;
    return SL_OK;
}

enum SlStatus
SlStorage_OpenFolder(const char *folder, uint64_t node_id,
                     uint64_t incarnation, struct SlStorage **storage,
                     struct SlError *error)
{
    return SlStorage_OpenFolderWithFiles(SlFiles_System(), folder, node_id,
                                         incarnation, storage, error);
}
