#ifndef SAVORYLEDGE_TEST_FAULT_FILES_H
#define SAVORYLEDGE_TEST_FAULT_FILES_H

/// A stub for file calls that fails from a given call on, and helpers for
/// test folders.

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
    /// Number of calls that change a file until such a call fails; each call
    /// decrements it, and the call that decrements it to 0 fails. With 0 at
    /// the start no call fails.
    uint32_t calls_until_failure;
    /// Number of calls that changed a file so far.
    uint32_t calls;
    /// Value of errno that failing calls set. With EIO all later calls fail
    /// too, as after a crash. With ENOSPC writes fail until error is set to 0.
    int error;
    /// True once a call has failed.
    bool failing;
    /// Writes write nothing and report success.
    bool writes_nothing;
    /// Number of syncs so far, and the number of the one that fails with EIO;
    /// 0 for none.
    uint32_t syncs;
    uint32_t failing_sync;
    /// A write or a change of length came after the last sync.
    bool is_unsynced;
};

/// Counts a call that changes a file. Sets errno and returns true when the
/// call must fail.
///
/// needs_space: the call can fail with ENOSPC.
static inline bool
fault_files_should_fail(struct fault_files *fault, bool needs_space)
{
    fault->calls++;
    if (fault->calls_until_failure > 0 && --fault->calls_until_failure == 0) {
        fault->failing = true;
    }
    if (!fault->failing || fault->error == 0 ||
        (fault->error == ENOSPC && !needs_space)) {
        return false;
    }
    errno = fault->error;
    return true;
}

static int
file_open_fault(struct SlFiles *files, int folder, const char *name, int flags)
{
    (void)files;
    return SlFiles_System()->type->open(SlFiles_System(), folder, name, flags);
}

static int
file_lock_fault(struct SlFiles *files, int fd)
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

/// The first write that fails is a short one: half of its bytes are written.
static ssize_t
file_write_fault(struct SlFiles *files, int fd, const void *bytes,
                 size_t length_bytes)
{
    struct fault_files *fault = (struct fault_files *)files;
    bool failing = fault->failing;

    if (fault->writes_nothing) {
        return 0;
    }
    fault->is_unsynced = true;
    if (!fault_files_should_fail(fault, true)) {
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
    struct fault_files *fault = (struct fault_files *)files;

    if (fault_files_should_fail(fault, false)) {
        return -1;
    }
    if (++fault->syncs == fault->failing_sync) {
        errno = EIO;
        return -1;
    }
    fault->is_unsynced = false;
    return fsync(fd);
}

static int
file_truncate_fault(struct SlFiles *files, int fd, off_t length_bytes)
{
    struct fault_files *fault = (struct fault_files *)files;

    if (fault_files_should_fail(fault, false)) {
        return -1;
    }
    fault->is_unsynced = true;
    return ftruncate(fd, length_bytes);
}

static int
file_rename_fault(struct SlFiles *files, int folder, const char *from,
                  const char *to)
{
    return fault_files_should_fail((struct fault_files *)files, false)
               ? -1
               : renameat(folder, from, folder, to);
}

static int
file_unlink_fault(struct SlFiles *files, int folder, const char *name)
{
    return fault_files_should_fail((struct fault_files *)files, false)
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
fault_files_init(struct fault_files *fault, uint32_t calls_until_failure,
                 int error)
{
    static const struct SlFilesType TYPE = {
        .open = file_open_fault,
        .lock = file_lock_fault,
        .read = file_read_fault,
        .write = file_write_fault,
        .sync = file_sync_fault,
        .truncate = file_truncate_fault,
        .rename = file_rename_fault,
        .unlink = file_unlink_fault,
        .close = file_close_fault,
    };

    *fault = (struct fault_files){.files = {.type = &TYPE},
                                  .calls_until_failure = calls_until_failure,
                                  .error = error};
}

/// Creates a temporary folder and stores its path in path.
static inline void
folder_create_temporary(char path[64])
{
    snprintf(path, 64, "/tmp/savoryledge-test-XXXXXX");
    if (mkdtemp(path) == NULL) {
        abort();
    }
}

/// Removes all files in a folder.
static inline void
folder_remove_files(const char *path)
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
    folder_remove_files(path);
    rmdir(path);
}

/// Reads a file of at most size_bytes. Returns its length, or -1 when there
/// is no such file.
static inline long
folder_read_file(const char *path, const char *name, uint8_t *bytes,
                 size_t size_bytes)
{
    char file_path[128];
    FILE *file;
    long length_bytes;

    snprintf(file_path, sizeof(file_path), "%s/%s", path, name);
    file = fopen(file_path, "rb");
    if (file == NULL) {
        return -1;
    }
    length_bytes = (long)fread(bytes, 1, size_bytes, file);
    fclose(file);
    return length_bytes;
}

static inline void
folder_write_file(const char *path, const char *name, const uint8_t *bytes,
                  size_t length_bytes)
{
    char file_path[128];
    FILE *file;

    snprintf(file_path, sizeof(file_path), "%s/%s", path, name);
    file = fopen(file_path, "wb");
    if (file == NULL || fwrite(bytes, 1, length_bytes, file) != length_bytes) {
        abort();
    }
    fclose(file);
}

#endif
