#ifndef SAVORYLEDGE_STATE_FOLDER_H
#define SAVORYLEDGE_STATE_FOLDER_H

/// A data folder and the whole-file operations on it.

#include <stddef.h>
#include <stdint.h>

#include "records.h"
#include "savoryledge/state/storage.h"

enum {
    SL_FOLDER_PATH_BYTES = 96,
};

struct SlFolder {
    struct SlFiles *files;
    int fd;
    /// Cut to its end when it is long; for messages.
    char path[SL_FOLDER_PATH_BYTES];
    struct SlError error;
    /// A file may differ from what memory says: no write is safe any more.
    bool failed;
};

/// A whole file in memory, freed by its user.
struct SlFileBytes {
    uint8_t *bytes;
    size_t length_bytes;
};

/// Notes and returns the failure of the last file call (errno): SL_DISK_FULL
/// or SL_IO.
enum SlStatus
SlFolder_Fail(struct SlFolder *folder, enum SlStep step, const char *name);

/// The status of a folder on which no write is safe.
enum SlStatus
SlFolder_Refuse(struct SlFolder *folder, enum SlStep step);

/// Errors: SL_NOT_FOUND, SL_IO, SL_NO_MEMORY.
enum SlStatus
SlFolder_Read(struct SlFolder *folder, const char *name,
              struct SlFileBytes *out);

/// Writes all bytes. Errors: SL_DISK_FULL, SL_IO.
enum SlStatus
SlFolder_Write(struct SlFolder *folder, int fd, enum SlStep step,
               const char *name, const uint8_t *bytes, size_t length_bytes);

/// Replaces a file durably: written under another name, synced, renamed, and
/// the folder synced. On an error before the rename nothing has changed;
/// after it the folder has failed.
enum SlStatus
SlFolder_Replace(struct SlFolder *folder, enum SlStep step, const char *name,
                 const uint8_t *bytes, size_t length_bytes);

/// A file of one value: magic, checksum, then the bytes.
enum SlStatus
SlFolder_ReplaceChecked(struct SlFolder *folder, enum SlStep step,
                        const char *name, const uint8_t *bytes,
                        size_t length_bytes);
/// Errors: those of SlFolder_Read, SL_DAMAGED.
enum SlStatus
SlFolder_ReadChecked(struct SlFolder *folder, const char *name,
                     struct SlFileBytes *out);

#endif
