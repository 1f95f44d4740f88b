/// Durable state in a folder: the files "state" (hard state), "log" and
/// "snapshot". Whole files are replaced by rename; the log is appended to,
/// one write and one sync for each batch.

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
    STATE_WORDS = 5,
    SNAPSHOT_HEADER_BYTES = 16,
};

struct storage_folder {
    struct SlStorage storage;
    struct SlFolder folder;
    int lock_fd;
    int log_fd;
    /// The log up to here is whole and synced.
    size_t log_bytes;
    uint64_t batch;
    /// Last record that is synced.
    uint64_t synced;
    struct SlHardState state;
    struct SlRecords records;
    struct SlVersion snapshot_last;
    struct SlFileBytes snapshot;
};

static enum SlStatus
save_hard_state_folder(struct SlStorage *storage,
                       const struct SlHardState *state)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    uint64_t words[STATE_WORDS] = {
        htole64(state->term),        htole64(state->voted_for),
        htole64(state->incarnation), htole64(state->node_id),
        htole64(state->caught_up),
    };
    enum SlStatus status =
        SlFolder_ReplaceChecked(&self->folder, SL_STEP_VOTE, STATE_NAME,
                                (const uint8_t *)words, sizeof(words));

    if (status == SL_OK) {
        self->state = *state;
    }
    return status;
}

static enum SlStatus
append_folder(struct SlStorage *storage, const struct SlLogRecord *records,
              uint32_t count)
{
    struct storage_folder *self = (struct storage_folder *)storage;

    if (self->folder.failed) {
        return SlFolder_Refuse(&self->folder, SL_STEP_APPEND);
    }
    for (uint32_t i = 0; i < count; i++) {
        enum SlStatus status = SL_TOO_LONG;

        if (records[i].data_bytes <= SL_LOG_RECORD_MAX_BYTES) {
            status = SlRecords_Append(&self->records, &records[i]);
        }
        if (status != SL_OK) {
            return SlError_Set(&self->folder.error, status, SL_STEP_APPEND,
                               NULL, "record %llu does not fit",
                               (unsigned long long)records[i].index);
        }
    }
    return SL_OK;
}

/// Encodes the records from index from on as one batch, behind a file header
/// if so asked. NULL without memory.
static uint8_t *
encode_batch(const struct storage_folder *self, uint64_t from, bool header,
             uint64_t number, size_t *length_bytes)
{
    uint64_t last = SlRecords_Last(&self->records);
    size_t room = SL_LOG_HEADER_BYTES;
    size_t used = 0;
    uint8_t *bytes;

    for (uint64_t i = from; i <= last; i++) {
        room += SlLog_RecordBytes(SlRecords_Find(&self->records, i));
    }
    bytes = malloc(room);
    if (bytes == NULL) {
        return NULL;
    }
    if (header) {
        SlLog_WriteHeader(bytes);
        used = SL_LOG_HEADER_BYTES;
    }
    for (uint64_t i = from; i <= last; i++) {
        const struct SlLogRecord *record = SlRecords_Find(&self->records, i);
        struct SlLogBatch batch = {.number = number, .remaining = last - i};

        SlLog_WriteRecord(record, &batch, bytes + used);
        used += SlLog_RecordBytes(record);
    }
    *length_bytes = used;
    return bytes;
}

/// After a failed write: the file is cut back to its synced length. When even
/// that fails nothing can be said about the file any more.
static enum SlStatus
undo_write(struct storage_folder *self, enum SlStatus status)
{
    struct SlFiles *files = self->folder.files;

    if (status != SL_DISK_FULL ||
        files->type->truncate(files, self->log_fd, (off_t)self->log_bytes) !=
            0) {
        self->folder.failed = true;
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
    uint8_t *bytes = encode_batch(self, self->synced + 1, false,
                                  self->batch + 1, &length_bytes);
    enum SlStatus status;

    if (bytes == NULL) {
        return SlError_Set(&self->folder.error, SL_NO_MEMORY, SL_STEP_SYNC,
                           NULL, "no memory for a batch");
    }
    status = SlFolder_Write(&self->folder, self->log_fd, SL_STEP_SYNC,
                            LOG_NAME, bytes, length_bytes);
    free(bytes);
    if (status != SL_OK) {
        return undo_write(self, status);
    }
    if (files->type->sync(files, self->log_fd) != 0) {
        SlFolder_Fail(&self->folder, SL_STEP_SYNC, LOG_NAME);
        return undo_write(self, SL_IO);
    }
    self->log_bytes += length_bytes;
    self->batch++;
    return SL_OK;
}

static enum SlStatus
sync_folder(struct SlStorage *storage)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    enum SlStatus status;

    if (self->folder.failed) {
        return SlFolder_Refuse(&self->folder, SL_STEP_SYNC);
    }
    if (SlRecords_Last(&self->records) <= self->synced) {
        return SL_OK;
    }
    status = write_batch(self);
    if (status != SL_OK) {
        SlRecords_DropFrom(&self->records, self->synced + 1);
        return status;
    }
    self->synced = SlRecords_Last(&self->records);
    return SL_OK;
}

/// Opens the log for appending at its end.
static enum SlStatus
reopen_log(struct storage_folder *self)
{
    struct SlFiles *files = self->folder.files;
    int fd = files->type->open(files, self->folder.fd, LOG_NAME,
                               O_WRONLY | O_APPEND);

    if (fd < 0) {
        self->folder.failed = true;
        return SlFolder_Fail(&self->folder, SL_STEP_OPEN, LOG_NAME);
    }
    if (self->log_fd >= 0) {
        files->type->close(files, self->log_fd);
    }
    self->log_fd = fd;
    return SL_OK;
}

/// Replaces the log file by the records in memory.
static enum SlStatus
rewrite_log(struct storage_folder *self)
{
    size_t length_bytes;
    uint8_t *bytes =
        encode_batch(self, self->records.first, true, 1, &length_bytes);
    enum SlStatus status;

    if (bytes == NULL) {
        return SlError_Set(&self->folder.error, SL_NO_MEMORY, SL_STEP_APPEND,
                           NULL, "no memory for the log");
    }
    status = SlFolder_Replace(&self->folder, SL_STEP_APPEND, LOG_NAME, bytes,
                              length_bytes);
    free(bytes);
    if (status == SL_OK) {
        status = reopen_log(self);
    }
    if (status == SL_OK) {
        self->log_bytes = length_bytes;
        self->batch = 1;
        self->synced = SlRecords_Last(&self->records);
    }
    return status;
}

static enum SlStatus
truncate_folder(struct SlStorage *storage, uint64_t index)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    enum SlStatus status;

    if (self->folder.failed) {
        return SlFolder_Refuse(&self->folder, SL_STEP_APPEND);
    }
    if (index > self->synced) {
        SlRecords_DropFrom(&self->records, index);
        return SL_OK;
    }
    SlRecords_DropFrom(&self->records, index);
    status = rewrite_log(self);
    if (status != SL_OK) {
        /* The file still holds what memory has dropped. */
        self->folder.failed = true;
    }
    return status;
}

static enum SlStatus
write_snapshot(struct storage_folder *self, struct SlVersion last,
               const uint8_t *bytes, size_t length_bytes)
{
    uint64_t words[2] = {htole64(last.term), htole64(last.index)};
    uint8_t *whole = malloc(SNAPSHOT_HEADER_BYTES + length_bytes);
    enum SlStatus status;

    if (whole == NULL) {
        return SlError_Set(&self->folder.error, SL_NO_MEMORY, SL_STEP_SNAPSHOT,
                           NULL, "no memory for a snapshot");
    }
    memcpy(whole, words, SNAPSHOT_HEADER_BYTES);
    memcpy(whole + SNAPSHOT_HEADER_BYTES, bytes, length_bytes);
    status =
        SlFolder_ReplaceChecked(&self->folder, SL_STEP_SNAPSHOT, SNAPSHOT_NAME,
                                whole, SNAPSHOT_HEADER_BYTES + length_bytes);
    if (status != SL_OK) {
        free(whole);
        return status;
    }
    free(self->snapshot.bytes);
    self->snapshot.bytes = whole;
    self->snapshot.length_bytes = SNAPSHOT_HEADER_BYTES + length_bytes;
    self->snapshot_last = last;
    return SL_OK;
}

static enum SlStatus
save_snapshot_folder(struct SlStorage *storage, struct SlVersion last,
                     const uint8_t *bytes, size_t length_bytes,
                     uint64_t keep_from)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    enum SlStatus status = write_snapshot(self, last, bytes, length_bytes);

    if (status != SL_OK) {
        return status;
    }
    SlRecords_Compact(&self->records, last, keep_from);
    status = rewrite_log(self);
    if (status != SL_OK) {
        self->folder.failed = true;
    }
    return status;
}

static void
hard_state_folder(const struct SlStorage *storage, struct SlHardState *state)
{
    *state = ((const struct storage_folder *)storage)->state;
}

static void
snapshot_folder(const struct SlStorage *storage, struct SlVersion *last,
                const uint8_t **bytes, size_t *length_bytes)
{
    const struct storage_folder *self = (const struct storage_folder *)storage;
    bool held = self->snapshot.bytes != NULL;

    *last = self->snapshot_last;
    *bytes = held ? self->snapshot.bytes + SNAPSHOT_HEADER_BYTES : NULL;
    *length_bytes =
        held ? self->snapshot.length_bytes - SNAPSHOT_HEADER_BYTES : 0;
}

static void
range_folder(const struct SlStorage *storage, uint64_t *first, uint64_t *last)
{
    const struct storage_folder *self = (const struct storage_folder *)storage;

    *first = self->records.first;
    *last = SlRecords_Last(&self->records);
}

static enum SlStatus
read_folder(struct SlStorage *storage, uint64_t index,
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
error_folder(const struct SlStorage *storage)
{
    return &((const struct storage_folder *)storage)->folder.error;
}

static void
destroy_folder(struct SlStorage *storage)
{
    struct storage_folder *self = (struct storage_folder *)storage;
    struct SlFiles *files = self->folder.files;
    int descriptors[] = {self->log_fd, self->lock_fd, self->folder.fd};

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
    .save_hard_state = save_hard_state_folder,
    .append = append_folder,
    .sync = sync_folder,
    .truncate = truncate_folder,
    .save_snapshot = save_snapshot_folder,
    .hard_state = hard_state_folder,
    .snapshot = snapshot_folder,
    .index_range = range_folder,
    .read_record = read_folder,
    .last_error = error_folder,
    .destroy = destroy_folder,
};

static enum SlStatus
damaged(struct storage_folder *self, const char *name, size_t offset,
        const char *what)
{
    return SlError_Set(&self->folder.error, SL_DAMAGED, SL_STEP_RECOVER, NULL,
                       "%s/%s: damaged at offset %zu: %s", self->folder.path,
                       name, offset, what);
}

static enum SlStatus
open_folder(struct storage_folder *self, const char *path)
{
    struct SlFiles *files = self->folder.files;
    size_t length = strlen(path);
    size_t cut =
        length < SL_FOLDER_PATH_BYTES ? 0 : length - SL_FOLDER_PATH_BYTES + 1;

    snprintf(self->folder.path, sizeof(self->folder.path), "%s", path + cut);
    self->folder.fd =
        files->type->open(files, AT_FDCWD, path, O_RDONLY | O_DIRECTORY);
    if (self->folder.fd < 0) {
        return SlFolder_Fail(&self->folder, SL_STEP_OPEN, "");
    }
    self->lock_fd =
        files->type->open(files, self->folder.fd, LOCK_NAME, O_RDWR | O_CREAT);
    if (self->lock_fd < 0 || files->type->lock(files, self->lock_fd) != 0) {
        return SlFolder_Fail(&self->folder, SL_STEP_OPEN, LOCK_NAME);
    }
    return SL_OK;
}

static enum SlStatus
read_state(struct storage_folder *self)
{
    uint64_t words[STATE_WORDS];
    struct SlFileBytes file;
    enum SlStatus status =
        SlFolder_ReadChecked(&self->folder, STATE_NAME, &file);

    if (status != SL_OK) {
        return status;
    }
    if (file.length_bytes != sizeof(words)) {
        free(file.bytes);
        return damaged(self, STATE_NAME, 0, "its length is wrong");
    }
    memcpy(words, file.bytes, sizeof(words));
    free(file.bytes);
    self->state = (struct SlHardState){
        .term = le64toh(words[0]),
        .voted_for = le64toh(words[1]),
        .incarnation = le64toh(words[2]),
        .node_id = le64toh(words[3]),
        .caught_up = words[4] != 0,
    };
    return SL_OK;
}

static enum SlStatus
read_snapshot(struct storage_folder *self)
{
    uint64_t words[2];
    enum SlStatus status =
        SlFolder_ReadChecked(&self->folder, SNAPSHOT_NAME, &self->snapshot);

    if (status == SL_NOT_FOUND) {
        return SL_OK;
    }
    if (status != SL_OK) {
        return status;
    }
    if (self->snapshot.length_bytes < SNAPSHOT_HEADER_BYTES) {
        return damaged(self, SNAPSHOT_NAME, 0, "its length is wrong");
    }
    memcpy(words, self->snapshot.bytes, SNAPSHOT_HEADER_BYTES);
    self->snapshot_last = (struct SlVersion){.term = le64toh(words[0]),
                                             .index = le64toh(words[1])};
    return SL_OK;
}

/// Cuts what a crash left behind the good bytes.
static enum SlStatus
cut_tail(struct storage_folder *self, size_t length_bytes)
{
    struct SlFiles *files = self->folder.files;

    if (length_bytes == self->log_bytes) {
        return SL_OK;
    }
    if (files->type->truncate(files, self->log_fd, (off_t)self->log_bytes) !=
            0 ||
        files->type->sync(files, self->log_fd) != 0) {
        return SlFolder_Fail(&self->folder, SL_STEP_RECOVER, LOG_NAME);
    }
    return SL_OK;
}

/// A crash between the snapshot and the log leaves a log that the snapshot
/// replaces in part.
static enum SlStatus
match_snapshot(struct storage_folder *self)
{
    uint64_t had_first = self->records.first;
    uint32_t had = self->records.count;

    if (had > 0 && had_first > self->snapshot_last.index + 1) {
        return damaged(self, LOG_NAME, SL_LOG_HEADER_BYTES,
                       "records before the first are missing");
    }
    if (self->snapshot_last.index > 0) {
        SlRecords_Compact(&self->records, self->snapshot_last, had_first);
    }
    else if (had == 0) {
        self->records.first = 1;
    }
    return self->records.count != had ? rewrite_log(self) : SL_OK;
}

static enum SlStatus
read_log(struct storage_folder *self)
{
    struct SlFileBytes file;
    struct SlLogScan scan;
    enum SlStatus status = SlFolder_Read(&self->folder, LOG_NAME, &file);

    if (status == SL_NOT_FOUND) {
        return damaged(self, LOG_NAME, 0, "the file is missing");
    }
    if (status != SL_OK) {
        return status;
    }
    status = SlLog_Scan(file.bytes, file.length_bytes, &self->records, &scan);
    free(file.bytes);
    if (status != SL_OK) {
        return status == SL_DAMAGED
                   ? damaged(self, LOG_NAME, scan.damaged_at,
                             "a record does not hold its checksum")
                   : status;
    }
    self->log_bytes = scan.good_bytes;
    self->batch = scan.batch;
    status = reopen_log(self);
    if (status == SL_OK) {
        status = cut_tail(self, file.length_bytes);
    }
    if (status == SL_OK) {
        status = match_snapshot(self);
    }
    self->synced = SlRecords_Last(&self->records);
    return status;
}

/// True when no more than an unfinished first start has left anything.
static bool
is_unused(struct storage_folder *self)
{
    struct SlFileBytes file;
    enum SlStatus status;

    status = SlFolder_Read(&self->folder, SNAPSHOT_NAME, &file);
    free(file.bytes);
    if (status != SL_NOT_FOUND) {
        return false;
    }
    status = SlFolder_Read(&self->folder, LOG_NAME, &file);
    free(file.bytes);
    return status == SL_NOT_FOUND ||
           (status == SL_OK && file.length_bytes == SL_LOG_HEADER_BYTES);
}

static enum SlStatus
make_new(struct storage_folder *self, uint64_t node_id, uint64_t incarnation)
{
    struct SlHardState state = {.node_id = node_id,
                                .incarnation = incarnation};
    enum SlStatus status;

    if (!is_unused(self)) {
        return damaged(self, STATE_NAME, 0, "the file is missing");
    }
    self->records.first = 1;
    status = rewrite_log(self);
    if (status == SL_OK) {
        status = save_hard_state_folder(&self->storage, &state);
    }
    return status;
}

static enum SlStatus
recover(struct storage_folder *self, const char *path, uint64_t node_id,
        uint64_t incarnation)
{
    enum SlStatus status = open_folder(self, path);

    if (status != SL_OK) {
        return status;
    }
    status = read_state(self);
    if (status == SL_NOT_FOUND) {
        return make_new(self, node_id, incarnation);
    }
    if (status == SL_OK && self->state.node_id != node_id) {
        return SlError_Set(&self->folder.error, SL_INVALID, SL_STEP_RECOVER,
                           NULL, "%s belongs to another node",
                           self->folder.path);
    }
    if (status == SL_OK) {
        status = read_snapshot(self);
    }
    return status == SL_OK ? read_log(self) : status;
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
                           "no memory");
    }
    self->storage.type = &STORAGE_FOLDER;
    self->folder.files = files;
    self->folder.fd = -1;
    self->lock_fd = -1;
    self->log_fd = -1;
    status = recover(self, folder, node_id, incarnation);
    if (status != SL_OK) {
        if (error != NULL) {
            *error = self->folder.error;
            error->status = status;
        }
        destroy_folder(&self->storage);
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
