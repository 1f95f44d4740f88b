#ifndef SAVORYLEDGE_STATE_FOLDER_H
#define SAVORYLEDGE_STATE_FOLDER_H

/// A data folder, and operations that read or replace complete files in it.

#include <stddef.h>
#include <stdint.h>

#include "records.h"
#include "savoryledge/state/storage.h"

enum {
    SL_FOLDER_PATH_BYTES = 96,
};

struct SlFolder {
    struct SlFiles *files;
    /// Descriptor of the open folder.
    int folder_fd;
    /// Path for error messages; only the end of a long path is kept.
    char path[SL_FOLDER_PATH_BYTES];
    /// Error of the last operation on the folder that failed.
    struct SlError error;
    /// True when a file may differ from the state in memory, so that further
    /// writes to the folder are not safe.
    bool writes_disabled;
};

/// The contents of a file. The caller frees bytes.
struct SlFileBytes {
    uint8_t *bytes;
    size_t length_bytes;
};

/// Stores the error that the last file call left in errno in folder->error.
/// Returns the status of the error: SL_DISK_FULL or SL_IO.
///
/// name: name of the file in the folder.
enum SlStatus
SlFolder_SetSystemError(struct SlFolder *folder, enum SlStep step,
                        const char *name);

/// Stores an error in folder->error that says that a write was refused because
/// writes to the folder are disabled. Returns the status of the error, SL_IO.
enum SlStatus
SlFolder_SetRefusedError(struct SlFolder *folder, enum SlStep step);

/// Reads a complete file of the folder. out is empty on failure.
/// Errors: SL_NOT_FOUND, SL_IO, SL_NO_MEMORY.
enum SlStatus
SlFolder_ReadFile(struct SlFolder *folder, const char *name,
                  struct SlFileBytes *out);

/// Writes all bytes to an open file, with several calls if necessary.
///
/// name: name of the file in the folder, for error messages.
/// Errors: SL_DISK_FULL, SL_IO.
enum SlStatus
SlFolder_WriteFile(struct SlFolder *folder, int fd, enum SlStep step,
                   const char *name, const uint8_t *bytes,
                   size_t length_bytes);

/// Replaces a file of the folder atomically and durably: writes and syncs a
/// temporary file, renames it, and syncs the folder. A failure up to the
/// rename leaves the old file in place. A failure after it disables writes,
/// because either file may remain after a crash. Errors: SL_DISK_FULL, SL_IO.
enum SlStatus
SlFolder_ReplaceFile(struct SlFolder *folder, enum SlStep step,
                     const char *name, const uint8_t *bytes,
                     size_t length_bytes);

/// Removes what a replacement of the file left behind when it was cut short by
/// a crash.
void
SlFolder_RemoveTemporaryFile(struct SlFolder *folder, const char *name);

/// Makes a file's present bytes durable. Errors: SL_DISK_FULL, SL_IO.
enum SlStatus
SlFolder_SyncFile(struct SlFolder *folder, enum SlStep step, const char *name);

/// Makes the names of the folder's files durable. Errors: SL_DISK_FULL, SL_IO.
enum SlStatus
SlFolder_Sync(struct SlFolder *folder, enum SlStep step);

/// Replaces a file like SlFolder_ReplaceFile, with a magic number and a
/// checksum before the bytes. Errors: SL_DISK_FULL, SL_IO, SL_NO_MEMORY.
enum SlStatus
SlFolder_ReplaceCheckedFile(struct SlFolder *folder, enum SlStep step,
                            const char *name, const uint8_t *bytes,
                            size_t length_bytes);
/// Reads a file written by SlFolder_ReplaceCheckedFile, without magic number
/// and checksum. Errors: those of SlFolder_ReadFile, and SL_DAMAGED for a
/// wrong magic number or checksum.
enum SlStatus
SlFolder_ReadCheckedFile(struct SlFolder *folder, const char *name,
                         struct SlFileBytes *out);

#endif
