#include "savoryledge/state/files.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <sys/file.h>
#include <time.h>
#include <unistd.h>

enum {
    LOCK_ATTEMPTS_MAX = 100,
    LOCK_RETRY_INTERVAL_NS = 20 * 1000 * 1000,
};

static int
system_files_open(struct SlFiles *files, int folder_fd, const char *name,
                  int flags)
{
    (void)files;
    return openat(folder_fd, name, flags | O_CLOEXEC, 0600);
}

static int
system_files_lock(struct SlFiles *files, int fd)
{
    struct timespec retry_interval = {.tv_nsec = LOCK_RETRY_INTERVAL_NS};

    (void)files;
    for (int attempt = 1; flock(fd, LOCK_EX | LOCK_NB) != 0; attempt++) {
        if (errno != EWOULDBLOCK || attempt == LOCK_ATTEMPTS_MAX) {
            return -1;
        }
        nanosleep(&retry_interval, NULL);
    }
    return 0;
}

static ssize_t
system_files_read(struct SlFiles *files, int fd, void *bytes,
                  size_t length_bytes)
{
    (void)files;
    return read(fd, bytes, length_bytes);
}

static ssize_t
system_files_write(struct SlFiles *files, int fd, const void *bytes,
                   size_t length_bytes)
{
    (void)files;
    return write(fd, bytes, length_bytes);
}

static int
system_files_sync(struct SlFiles *files, int fd)
{
    (void)files;
    return fsync(fd);
}

static int
system_files_truncate(struct SlFiles *files, int fd, off_t length_bytes)
{
    (void)files;
    return ftruncate(fd, length_bytes);
}

static int
system_files_rename(struct SlFiles *files, int folder_fd, const char *from,
                    const char *to)
{
    (void)files;
    return renameat(folder_fd, from, folder_fd, to);
}

static int
system_files_unlink(struct SlFiles *files, int folder_fd, const char *name)
{
    (void)files;
    return unlinkat(folder_fd, name, 0);
}

static int
system_files_close(struct SlFiles *files, int fd)
{
    (void)files;
    return close(fd);
}

static const struct SlFilesType FILES_SYSTEM = {
    .open = system_files_open,
    .lock = system_files_lock,
    .read = system_files_read,
    .write = system_files_write,
    .sync = system_files_sync,
    .truncate = system_files_truncate,
    .rename = system_files_rename,
    .unlink = system_files_unlink,
    .close = system_files_close,
};

struct SlFiles *
SlFiles_System(void)
{
    static struct SlFiles files = {.type = &FILES_SYSTEM};

    return &files;
}
