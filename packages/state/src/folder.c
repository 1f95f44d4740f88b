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
    CHECKED_HEADER_BYTES = 16,
    READ_STEP_BYTES = 64 * 1024,
    FILE_NAME_BYTES = 32,
};

enum SlStatus
SlFolder_Fail(struct SlFolder *folder, enum SlStep step, const char *name)
{
    int cause = errno;
    enum SlStatus status =
        cause == ENOSPC || cause == EDQUOT ? SL_DISK_FULL : SL_IO;

    return SlError_Set(&folder->error, status, step, NULL, "%s/%s: %s",
                       folder->path, name, strerror(cause));
}

enum SlStatus
SlFolder_Refuse(struct SlFolder *folder, enum SlStep step)
{
    return SlError_Set(&folder->error, SL_IO, step, NULL,
                       "%s: an earlier write failed", folder->path);
}

static enum SlStatus
read_all(struct SlFolder *folder, int fd, const char *name,
         struct SlFileBytes *out)
{
    size_t room = 0;

    for (;;) {
        ssize_t got;

        if (out->length_bytes == room) {
            uint8_t *bytes;

            room = room == 0 ? READ_STEP_BYTES : room * 2;
            bytes = realloc(out->bytes, room);
            if (bytes == NULL) {
                return SL_NO_MEMORY;
            }
            out->bytes = bytes;
        }
        got = folder->files->type->read(folder->files, fd,
                                        out->bytes + out->length_bytes,
                                        room - out->length_bytes);
        if (got < 0 && errno != EINTR) {
            return SlFolder_Fail(folder, SL_STEP_RECOVER, name);
        }
        if (got == 0) {
            return SL_OK;
        }
        out->length_bytes += got > 0 ? (size_t)got : 0;
    }
}

enum SlStatus
SlFolder_Read(struct SlFolder *folder, const char *name,
              struct SlFileBytes *out)
{
    struct SlFiles *files = folder->files;
    enum SlStatus status;
    int fd;

    *out = (struct SlFileBytes){.bytes = NULL};
    fd = files->type->open(files, folder->fd, name, O_RDONLY);
    if (fd < 0) {
        return errno == ENOENT ? SL_NOT_FOUND
                               : SlFolder_Fail(folder, SL_STEP_OPEN, name);
    }
    status = read_all(folder, fd, name, out);
    files->type->close(files, fd);
    if (status != SL_OK) {
        free(out->bytes);
        *out = (struct SlFileBytes){.bytes = NULL};
    }
    return status;
}

enum SlStatus
SlFolder_Write(struct SlFolder *folder, int fd, enum SlStep step,
               const char *name, const uint8_t *bytes, size_t length_bytes)
{
    while (length_bytes > 0) {
        ssize_t written =
            folder->files->type->write(folder->files, fd, bytes, length_bytes);

        if (written < 0 && errno != EINTR) {
            return SlFolder_Fail(folder, step, name);
        }
        if (written > 0) {
            bytes += written;
            length_bytes -= (size_t)written;
        }
    }
    return SL_OK;
}

/// Writes and syncs a new file.
static enum SlStatus
write_new(struct SlFolder *folder, enum SlStep step, const char *name,
          const uint8_t *bytes, size_t length_bytes)
{
    struct SlFiles *files = folder->files;
    int fd = files->type->open(files, folder->fd, name,
                               O_WRONLY | O_CREAT | O_TRUNC);
    enum SlStatus status;

    if (fd < 0) {
        return SlFolder_Fail(folder, step, name);
    }
    status = SlFolder_Write(folder, fd, step, name, bytes, length_bytes);
    if (status == SL_OK && files->type->sync(files, fd) != 0) {
        status = SlFolder_Fail(folder, step, name);
    }
    if (files->type->close(files, fd) != 0 && status == SL_OK) {
        status = SlFolder_Fail(folder, step, name);
    }
    return status;
}

enum SlStatus
SlFolder_Replace(struct SlFolder *folder, enum SlStep step, const char *name,
                 const uint8_t *bytes, size_t length_bytes)
{
    struct SlFiles *files = folder->files;
    char temporary[FILE_NAME_BYTES];
    enum SlStatus status;

    if (folder->failed) {
        return SlFolder_Refuse(folder, step);
    }
    snprintf(temporary, sizeof(temporary), "%s.new", name);
    status = write_new(folder, step, temporary, bytes, length_bytes);
    if (status == SL_OK &&
        files->type->rename(files, folder->fd, temporary, name) != 0) {
        status = SlFolder_Fail(folder, step, name);
    }
    if (status != SL_OK) {
        files->type->unlink(files, folder->fd, temporary);
        return status;
    }
    if (files->type->sync(files, folder->fd) != 0) {
        folder->failed = true;
        SlFolder_Fail(folder, step, name);
        folder->error.status = SL_IO;
        return SL_IO;
    }
    return SL_OK;
}

enum SlStatus
SlFolder_ReplaceChecked(struct SlFolder *folder, enum SlStep step,
                        const char *name, const uint8_t *bytes,
                        size_t length_bytes)
{
    uint64_t checksum = htole64(XXH3_64bits(bytes, length_bytes));
    uint8_t *whole = malloc(CHECKED_HEADER_BYTES + length_bytes);
    enum SlStatus status;

    if (whole == NULL) {
        return SlError_Set(&folder->error, SL_NO_MEMORY, step, NULL,
                           "no memory for %s", name);
    }
    memcpy(whole, CHECKED_MAGIC, sizeof(CHECKED_MAGIC));
    memcpy(whole + sizeof(CHECKED_MAGIC), &checksum, sizeof(checksum));
    memcpy(whole + CHECKED_HEADER_BYTES, bytes, length_bytes);
    status = SlFolder_Replace(folder, step, name, whole,
                              CHECKED_HEADER_BYTES + length_bytes);
    free(whole);
    return status;
}

static bool
checks(const struct SlFileBytes *file)
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
SlFolder_ReadChecked(struct SlFolder *folder, const char *name,
                     struct SlFileBytes *out)
{
    enum SlStatus status = SlFolder_Read(folder, name, out);

    if (status != SL_OK) {
        return status;
    }
    if (!checks(out)) {
        free(out->bytes);
        *out = (struct SlFileBytes){.bytes = NULL};
        return SlError_Set(&folder->error, SL_DAMAGED, SL_STEP_RECOVER, NULL,
                           "%s/%s: damaged at offset 0: its checksum does "
                           "not hold",
                           folder->path, name);
    }
    out->length_bytes -= CHECKED_HEADER_BYTES;
    memmove(out->bytes, out->bytes + CHECKED_HEADER_BYTES, out->length_bytes);
    return SL_OK;
}
