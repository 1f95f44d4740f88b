/// savoryledged with injected faults of its files and wall clock. The faults
/// are read 50 times a second from the file SETTINGS.faults beside the
/// settings, which has one line:
///
///     files=none|slow|stall|full clock_ms=N
///
/// slow delays each write, sync and rename by 50 ms; stall blocks these calls
/// until the fault changes; full fails each write with ENOSPC. clock_ms is the
/// offset of the wall clock in milliseconds.

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "savoryledge/transport/loop.h"
#include "serve.h"

enum {
    EXIT_USAGE = 2,
    POLL_INTERVAL_NS = 20 * 1000 * 1000,
    SLOW_DELAY_NS = 50 * 1000 * 1000,
    US_PER_MS = 1000,
    PATH_BYTES = 512,
};

enum file_fault {
    FILES_NO_FAULT = 0,
    FILES_SLOW,
    FILES_STALL,
    FILES_FULL,
    FILES_FAULT_COUNT
};

static const char *const FILE_FAULT_NAMES[FILES_FAULT_COUNT] = {
    "none", "slow", "stall", "full"};

static _Atomic int file_fault;
static char faults_path[PATH_BYTES];

static void
sleep_ns(long ns)
{
    struct timespec pause = {.tv_nsec = ns};

    nanosleep(&pause, NULL);
}

/// Delays or blocks a file operation as the current fault demands. Returns
/// false, with errno ENOSPC, if the operation must fail because it needs
/// space.
static bool
apply_file_fault(bool takes_space)
{
    while (file_fault == FILES_STALL) {
        sleep_ns(POLL_INTERVAL_NS);
    }
    if (file_fault == FILES_SLOW) {
        sleep_ns(SLOW_DELAY_NS);
    }
    if (file_fault == FILES_FULL && takes_space) {
        errno = ENOSPC;
        return false;
    }
    return true;
}

static int
faulty_open(struct SlFiles *files, int folder, const char *name, int flags)
{
    (void)files;
    return SlFiles_System()->type->open(SlFiles_System(), folder, name, flags);
}

static int
faulty_lock(struct SlFiles *files, int fd)
{
    (void)files;
    return SlFiles_System()->type->lock(SlFiles_System(), fd);
}

static ssize_t
faulty_read(struct SlFiles *files, int fd, void *bytes, size_t length_bytes)
{
    (void)files;
    return SlFiles_System()->type->read(SlFiles_System(), fd, bytes,
                                        length_bytes);
}

static ssize_t
faulty_write(struct SlFiles *files, int fd, const void *bytes,
             size_t length_bytes)
{
    (void)files;
    return apply_file_fault(true)
               ? SlFiles_System()->type->write(SlFiles_System(), fd, bytes,
                                               length_bytes)
               : -1;
}

static int
faulty_sync(struct SlFiles *files, int fd)
{
    (void)files;
    return apply_file_fault(false)
               ? SlFiles_System()->type->sync(SlFiles_System(), fd)
               : -1;
}

static int
faulty_truncate(struct SlFiles *files, int fd, off_t length_bytes)
{
    (void)files;
    return SlFiles_System()->type->truncate(SlFiles_System(), fd,
                                            length_bytes);
}

static int
faulty_rename(struct SlFiles *files, int folder, const char *from,
              const char *to)
{
    (void)files;
    return apply_file_fault(false) ? SlFiles_System()->type->rename(
                                         SlFiles_System(), folder, from, to)
                                   : -1;
}

static int
faulty_unlink(struct SlFiles *files, int folder, const char *name)
{
    (void)files;
    return SlFiles_System()->type->unlink(SlFiles_System(), folder, name);
}

static int
faulty_close(struct SlFiles *files, int fd)
{
    (void)files;
    return SlFiles_System()->type->close(SlFiles_System(), fd);
}

static const struct SlFilesType FAULTY_FILES = {
    .open = faulty_open,
    .lock = faulty_lock,
    .read = faulty_read,
    .write = faulty_write,
    .sync = faulty_sync,
    .truncate = faulty_truncate,
    .rename = faulty_rename,
    .unlink = faulty_unlink,
    .close = faulty_close,
};

static void
read_faults(void)
{
    FILE *file = fopen(faults_path, "re");
    char name[16];
    long long clock_ms;

    if (file == NULL) {
        return;
    }
    if (fscanf(file, "files=%15s clock_ms=%lld", name, &clock_ms) == 2) {
        for (int i = 0; i < FILES_FAULT_COUNT; i++) {
            if (strcmp(name, FILE_FAULT_NAMES[i]) == 0) {
                file_fault = i;
            }
        }
        SlClock_SetWallOffset(clock_ms * US_PER_MS);
    }
    fclose(file);
}

static void *
poll_faults(void *unused)
{
    (void)unused;
    for (;;) {
        read_faults();
        sleep_ns(POLL_INTERVAL_NS);
    }
    return NULL;
}

/// Starts the thread that polls the faults. It blocks all signals, because the
/// daemon's own threads must receive them.
static bool
start_polling(void)
{
    pthread_t thread;
    sigset_t all;
    sigset_t before;
    bool started;

    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    started = pthread_create(&thread, NULL, poll_faults, NULL) == 0;
    pthread_sigmask(SIG_SETMASK, &before, NULL);
    return started;
}

int
main(int argc, char **argv)
{
    struct SlFiles files = {.type = &FAULTY_FILES};
    struct SlSettings settings;

    if (argc != 2) {
        fprintf(stderr, "usage: soak_daemon SETTINGS\n");
        return EXIT_USAGE;
    }
    snprintf(faults_path, sizeof(faults_path), "%s.faults", argv[1]);
    read_faults();
    if (!SlDaemon_LoadSettings(argv[1], &settings)) {
        return EXIT_USAGE;
    }
    if (!start_polling()) {
        fprintf(stderr, "soak_daemon: cannot start the thread that polls the "
                        "faults file\n");
        return EXIT_USAGE;
    }
    return SlDaemon_Serve(argv[1], &settings, &files);
}
