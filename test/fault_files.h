#ifndef SAVORYLEDGE_TEST_FAULT_FILES_H
#define SAVORYLEDGE_TEST_FAULT_FILES_H

/// File calls that fail at a chosen one, and a folder to use them on.

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "savoryledge/state/files.h"

struct fault_files {
    struct SlFiles files;
    /// Calls that change something, until one fails; 0 never.
    uint32_t fail_in;
    uint32_t calls;
    /// The errno of the failing call. EIO: all calls after it fail too, as
    /// after a crash. ENOSPC: writes fail until it is set to 0.
    int error;
    bool failing;
};

/// Counts one call; true when it fails.
static inline bool
fault_files_hit(struct fault_files *fault, bool takes_space)
{
    fault->calls++;
    if (fault->fail_in > 0 && --fault->fail_in == 0) {
        fault->failing = true;
    }
    if (!fault->failing || fault->error == 0 ||
        (fault->error == ENOSPC && !takes_space)) {
        return false;
    }
    errno = fault->error;
    return true;
}

static int
open_fault(struct SlFiles *files, int folder, const char *name, int flags)
{
    (void)files;
    return SlFiles_System()->type->open(SlFiles_System(), folder, name, flags);
}

static int
lock_fault(struct SlFiles *files, int fd)
{
    (void)files;
    return flock(fd, LOCK_EX | LOCK_NB);
}

static ssize_t
file_read_fault(struct SlFiles *files, int fd, void *bytes,
                size_t length_bytes)
{
    (void)files;
    return read(fd, bytes, length_bytes);
}

/// A failing write gets half of its bytes through.
static ssize_t
file_write_fault(struct SlFiles *files, int fd, const void *bytes,
                 size_t length_bytes)
{
    struct fault_files *fault = (struct fault_files *)files;
    bool failing = fault->failing;

    if (!fault_files_hit(fault, true)) {
        return write(fd, bytes, length_bytes);
    }
    if (!failing && length_bytes > 1) {
        return write(fd, bytes, length_bytes / 2);
    }
    errno = fault->error;
    return -1;
}

static int
file_sync_fault(struct SlFiles *files, int fd)
{
    return fault_files_hit((struct fault_files *)files, false) ? -1
                                                               : fsync(fd);
}

static int
file_truncate_fault(struct SlFiles *files, int fd, off_t length_bytes)
{
    return fault_files_hit((struct fault_files *)files, false)
               ? -1
               : ftruncate(fd, length_bytes);
}

static int
file_rename_fault(struct SlFiles *files, int folder, const char *from,
                  const char *to)
{
    return fault_files_hit((struct fault_files *)files, false)
               ? -1
               : renameat(folder, from, folder, to);
}

static int
file_unlink_fault(struct SlFiles *files, int folder, const char *name)
{
    return fault_files_hit((struct fault_files *)files, false)
               ? -1
               : unlinkat(folder, name, 0);
}

static int
file_close_fault(struct SlFiles *files, int fd)
{
    (void)files;
    return close(fd);
}

static inline void
fault_files_init(struct fault_files *fault, uint32_t fail_in, int error)
{
    static const struct SlFilesType TYPE = {
        .open = open_fault,
        .lock = lock_fault,
        .read = file_read_fault,
        .write = file_write_fault,
        .sync = file_sync_fault,
        .truncate = file_truncate_fault,
        .rename = file_rename_fault,
        .unlink = file_unlink_fault,
        .close = file_close_fault,
    };

    *fault = (struct fault_files){
        .files = {.type = &TYPE}, .fail_in = fail_in, .error = error};
}

/// Makes a new folder; its path goes to path.
static inline void
folder_create_temporary(char path[64])
{
    snprintf(path, 64, "/tmp/savoryledge-test-XXXXXX");
    if (mkdtemp(path) == NULL) {
        abort();
    }
}

/// Removes all files of a folder.
static inline void
folder_empty(const char *path)
{
    DIR *folder = opendir(path);
    struct dirent *entry;

    while (folder != NULL && (entry = readdir(folder)) != NULL) {
        if (entry->d_name[0] != '.') {
            unlinkat(dirfd(folder), entry->d_name, 0);
        }
    }
    closedir(folder);
}

static inline void
folder_remove(const char *path)
{
    folder_empty(path);
    rmdir(path);
}

/// Reads a file of at most room bytes; returns its length, -1 if none.
static inline long
folder_load(const char *path, const char *name, uint8_t *bytes, size_t room)
{
    char whole[128];
    FILE *file;
    long length;

    snprintf(whole, sizeof(whole), "%s/%s", path, name);
    file = fopen(whole, "rb");
    if (file == NULL) {
        return -1;
    }
    length = (long)fread(bytes, 1, room, file);
    fclose(file);
    return length;
}

static inline void
folder_store(const char *path, const char *name, const uint8_t *bytes,
             size_t length)
{
    char whole[128];
    FILE *file;

    snprintf(whole, sizeof(whole), "%s/%s", path, name);
    file = fopen(whole, "wb");
    if (file == NULL || fwrite(bytes, 1, length, file) != length) {
        abort();
    }
    fclose(file);
}

#endif
