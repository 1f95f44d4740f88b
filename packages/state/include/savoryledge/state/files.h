#ifndef SAVORYLEDGE_STATE_FILES_H
#define SAVORYLEDGE_STATE_FILES_H

/// The file system calls that durable storage makes, behind a vtable, so that
/// tests can inject a failure into any call.

#include <stddef.h>

#include <sys/types.h>

struct SlFiles;

/// Each function behaves like the system call of the same name, and reports
/// an error as that does: it returns -1 and sets errno.
struct SlFilesType {
    /// Calls openat(2) with O_CLOEXEC and mode 0600.
    int (*open)(struct SlFiles *files, int folder_fd, const char *name,
                int flags);
    /// Takes an exclusive lock with flock(2). Retries for up to 2 seconds,
    /// because a process that was killed may still hold the lock while it
    /// exits.
    int (*lock)(struct SlFiles *files, int fd);
    ssize_t (*read)(struct SlFiles *files, int fd, void *bytes,
                    size_t length_bytes);
    ssize_t (*write)(struct SlFiles *files, int fd, const void *bytes,
                     size_t length_bytes);
    int (*sync)(struct SlFiles *files, int fd);
    int (*truncate)(struct SlFiles *files, int fd, off_t length_bytes);
    int (*rename)(struct SlFiles *files, int folder_fd, const char *from,
                  const char *to);
    int (*unlink)(struct SlFiles *files, int folder_fd, const char *name);
    int (*close)(struct SlFiles *files, int fd);
};

/// An implementation of the file system calls. Implementations embed it as the
/// first member of a struct.
struct SlFiles {
    const struct SlFilesType *type;
};

/// Returns the implementation that makes the system calls. It has static
/// storage duration and may be used by any thread.
struct SlFiles *
SlFiles_System(void);

#endif
