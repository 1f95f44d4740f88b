#include "folder.h"

#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

static const char CHECKED_MAGIC[8] = "savory 1";

enum {
    /// Size of the magic number and checksum at the start of a checked file.
    CHECKED_HEADER_BYTES = 16,
    /// Initial size of the read buffer, which grows by doubling.
    INITIAL_READ_BYTES = 64 * 1024,
    FILE_NAME_BYTES = 32,
};

enum SlStatus
SlFolder_SetSystemError(struct SlFolder *folder, enum SlStep step,
                        const char *name)
{
    int error_number = errno;
    enum SlStatus status = error_number == ENOSPC || error_number == EDQUOT
                               ? SL_DISK_FULL
                               : SL_IO;

    return SlError_Set(&folder->error, status, step, NULL, "%s/%s: %s",
                       folder->path, name, strerror(error_number));
}

enum SlStatus
SlFolder_SetRefusedError(struct SlFolder *folder, enum SlStep step)
{
    return SlError_Set(&folder->error, SL_IO, step, NULL,
                       "%s: write refused because an earlier write failed",
                       folder->path);
}

static enum SlStatus
read_until_end(struct SlFolder *folder, int fd, const char *name,
               struct SlFileBytes *out)
{
    size_t capacity = 0;

    for (;;) {
        ssize_t read_bytes;

        if (out->length_bytes == capacity) {
            uint8_t *bytes;

            capacity = capacity == 0 ? INITIAL_READ_BYTES : capacity * 2;
            bytes = realloc(out->bytes, capacity);
            if (bytes == NULL) {
                return SL_NO_MEMORY;
            }
            out->bytes = bytes;
        }
        read_bytes = folder->files->type->read(folder->files, fd,
                                               out->bytes + out->length_bytes,
                                               capacity - out->length_bytes);
        if (read_bytes < 0 && errno != EINTR) {
            return SlFolder_SetSystemError(folder, SL_STEP_RECOVER, name);
        }
        if (read_bytes == 0) {
            return SL_OK;
        }
        out->length_bytes += read_bytes > 0 ? (size_t)read_bytes : 0;
    }
}

enum SlStatus
SlFolder_ReadFile(struct SlFolder *folder, const char *name,
                  struct SlFileBytes *out)
{
    struct SlFiles *files = folder->files;
    enum SlStatus status;
    int fd;

    *out = (struct SlFileBytes){.bytes = NULL};
    fd = files->type->open(files, folder->folder_fd, name, O_RDONLY);
    if (fd < 0) {
        return errno == ENOENT
                   ? SL_NOT_FOUND
                   : SlFolder_SetSystemError(folder, SL_STEP_OPEN, name);
    }
    status = read_until_end(folder, fd, name, out);
    files->type->close(files, fd);
    if (status != SL_OK) {
        free(out->bytes);
        *out = (struct SlFileBytes){.bytes = NULL};
    }
    return status;
}

enum SlStatus
SlFolder_WriteFile(struct SlFolder *folder, int fd, enum SlStep step,
                   const char *name, const uint8_t *bytes, size_t length_bytes)
{
    while (length_bytes > 0) {
        ssize_t written =
            folder->files->type->write(folder->files, fd, bytes, length_bytes);

        if (written == 0) {
            errno = EIO;
            written = -1;
        }
        if (written < 0 && errno != EINTR) {
            return SlFolder_SetSystemError(folder, step, name);
        }
        if (written > 0) {
            bytes += written;
            length_bytes -= (size_t)written;
        }
    }
    return SL_OK;
}

/// Creates or truncates a file, writes its contents and syncs it.
static enum SlStatus
write_new_file(struct SlFolder *folder, enum SlStep step, const char *name,
               const uint8_t *bytes, size_t length_bytes)
{
    struct SlFiles *files = folder->files;
    int fd = files->type->open(files, folder->folder_fd, name,
                               O_WRONLY | O_CREAT | O_TRUNC);
    enum SlStatus status;

    if (fd < 0) {
        return SlFolder_SetSystemError(folder, step, name);
    }
    status = SlFolder_WriteFile(folder, fd, step, name, bytes, length_bytes);
    if (status == SL_OK && files->type->sync(files, fd) != 0) {
        status = SlFolder_SetSystemError(folder, step, name);
    }
    if (files->type->close(files, fd) != 0 && status == SL_OK) {
        status = SlFolder_SetSystemError(folder, step, name);
    }
    return status;
}

static void
temporary_name_of(const char *name, char temporary_name[FILE_NAME_BYTES])
{
    snprintf(temporary_name, FILE_NAME_BYTES, "%s.new", name);
}

void
SlFolder_RemoveTemporaryFile(struct SlFolder *folder, const char *name)
{
    struct SlFiles *files = folder->files;
    char temporary_name[FILE_NAME_BYTES];
    int fd;

    temporary_name_of(name, temporary_name);
    fd = files->type->open(files, folder->folder_fd, temporary_name, O_RDONLY);
    if (fd >= 0) {
        files->type->close(files, fd);
        files->type->unlink(files, folder->folder_fd, temporary_name);
    }
}

enum SlStatus
SlFolder_ReplaceFile(struct SlFolder *folder, enum SlStep step,
                     const char *name, const uint8_t *bytes,
                     size_t length_bytes)
{
    struct SlFiles *files = folder->files;
    char temporary_name[FILE_NAME_BYTES];
    enum SlStatus status;

    if (folder->writes_disabled) {
        return SlFolder_SetRefusedError(folder, step);
    }
    temporary_name_of(name, temporary_name);
    status = write_new_file(folder, step, temporary_name, bytes, length_bytes);
    if (status == SL_OK && files->type->rename(files, folder->folder_fd,
                                               temporary_name, name) != 0) {
        status = SlFolder_SetSystemError(folder, step, name);
    }
    if (status != SL_OK) {
        files->type->unlink(files, folder->folder_fd, temporary_name);
        return status;
    }
    if (files->type->sync(files, folder->folder_fd) != 0) {
        folder->writes_disabled = true;
        SlFolder_SetSystemError(folder, step, name);
        folder->error.status = SL_IO;
        return SL_IO;
    }
    return SL_OK;
}

enum SlStatus
SlFolder_SyncFile(struct SlFolder *folder, enum SlStep step, const char *name)
{
    struct SlFiles *files = folder->files;
    enum SlStatus status = SL_OK;
    int fd = files->type->open(files, folder->folder_fd, name, O_WRONLY);

    if (fd < 0) {
        return SlFolder_SetSystemError(folder, step, name);
    }
    if (files->type->sync(files, fd) != 0) {
        status = SlFolder_SetSystemError(folder, step, name);
    }
    files->type->close(files, fd);
    return status;
}

enum SlStatus
SlFolder_Sync(struct SlFolder *folder, enum SlStep step)
{
    struct SlFiles *files = folder->files;

    return files->type->sync(files, folder->folder_fd) != 0
               ? SlFolder_SetSystemError(folder, step, "")
               : SL_OK;
}

enum SlStatus
SlFolder_ReplaceCheckedFile(struct SlFolder *folder, enum SlStep step,
                            const char *name, const uint8_t *bytes,
                            size_t length_bytes)
{
    uint64_t checksum = htole64(XXH3_64bits(bytes, length_bytes));
    uint8_t *contents = malloc(CHECKED_HEADER_BYTES + length_bytes);
    enum SlStatus status;

    if (contents == NULL) {
        return SlError_Set(&folder->error, SL_NO_MEMORY, step, NULL,
                           "no memory to write file %s", name);
    }
    memcpy(contents, CHECKED_MAGIC, sizeof(CHECKED_MAGIC));
    memcpy(contents + sizeof(CHECKED_MAGIC), &checksum, sizeof(checksum));
    memcpy(contents + CHECKED_HEADER_BYTES, bytes, length_bytes);
    status = SlFolder_ReplaceFile(folder, step, name, contents,
                                  CHECKED_HEADER_BYTES + length_bytes);
    free(contents);
    return status;
}

static bool
checksum_matches(const struct SlFileBytes *file)
{
    uint64_t checksum;

    if (file->length_bytes < CHECKED_HEADER_BYTES ||
        memcmp(file->bytes, CHECKED_MAGIC, sizeof(CHECKED_MAGIC)) != 0) {
        return false;
    }
    memcpy(&checksum, file->bytes + sizeof(CHECKED_MAGIC), sizeof(checksum));
    return le64toh(checksum) ==
           XXH3_64bits(file->bytes + CHECKED_HEADER_BYTES,
                       file->length_bytes - CHECKED_HEADER_BYTES);
}

enum SlStatus
SlFolder_ReadCheckedFile(struct SlFolder *folder, const char *name,
                         struct SlFileBytes *out)
{
    enum SlStatus status = SlFolder_ReadFile(folder, name, out);

    if (status != SL_OK) {
        return status;
    }
    if (!checksum_matches(out)) {
        free(out->bytes);
        *out = (struct SlFileBytes){.bytes = NULL};
        return SlError_Set(&folder->error, SL_DAMAGED, SL_STEP_RECOVER, NULL,
                           "%s/%s: damaged at offset 0: invalid magic number "
                           "or checksum",
                           folder->path, name);
    }
    out->length_bytes -= CHECKED_HEADER_BYTES;
    memmove(out->bytes, out->bytes + CHECKED_HEADER_BYTES, out->length_bytes);
    return SL_OK;
}
