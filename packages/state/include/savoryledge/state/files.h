#ifndef SAVORYLEDGE_STATE_FILES_H
#define SAVORYLEDGE_STATE_FILES_H

/// The file calls that durable state makes, behind a vtable, so that a test
/// can fail any one of them.

#include <stddef.h>

#include <sys/types.h>

struct SlFiles;

/// Each call does what the system call of its name does, and reports errors
/// as that does: -1 and errno.
struct SlFilesType {
    /// openat(2), with mode 0600.
    int (*open)(struct SlFiles *files, int folder, const char *name,
                int flags);
    /// flock(2), exclusive. Waits at most two seconds: a process that was
    /// killed may still be on its way out.
    int (*lock)(struct SlFiles *files, int fd);
    ssize_t (*read)(struct SlFiles *files, int fd, void *bytes,
                    size_t length_bytes);
    ssize_t (*write)(struct SlFiles *files, int fd, const void *bytes,
                     size_t length_bytes);
    int (*sync)(struct SlFiles *files, int fd);
    int (*truncate)(struct SlFiles *files, int fd, off_t length_bytes);
    int (*rename)(struct SlFiles *files, int folder, const char *from,
                  const char *to);
    int (*unlink)(struct SlFiles *files, int folder, const char *name);
    int (*close)(struct SlFiles *files, int fd);
};

struct SlFiles {
    const struct SlFilesType *type;
};

/// The operating system's calls. Static storage, any thread.
struct SlFiles *
SlFiles_System(void);

#endif
