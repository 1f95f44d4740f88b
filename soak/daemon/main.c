/// savoryledged with files and a wall clock that misbehave when they are told:
/// a line in the file beside the settings, SETTINGS.faults, of the words
///
///     files=none|slow|stall|full clock_ms=N
///
/// is read 50 times a second. Slow files take 50 ms more for each write and
/// sync, stalled ones answer when they are told otherwise, full ones refuse
/// what takes space. clock_ms is how far the wall clock is off.

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
    USAGE = 2,
    LOOK_NS = 20 * 1000 * 1000,
    SLOW_NS = 50 * 1000 * 1000,
    US_PER_MS = 1000,
    PATH_BYTES = 512,
};

enum files_fault {
    FILES_NONE = 0,
    FILES_SLOW,
    FILES_STALL,
    FILES_FULL,
    FILES_FAULTS
};

static const char *const FILES_NAMES[FILES_FAULTS] = {"none", "slow", "stall",
                                                      "full"};

static _Atomic int files_fault;
static char faults_path[PATH_BYTES];

static void
pause_for(long ns)
{
    struct timespec pause = {.tv_nsec = ns};

    nanosleep(&pause, NULL);
}

/// False when the call is to fail for want of space.
static bool
misbehave(bool takes_space)
{
    while (files_fault == FILES_STALL) {
        pause_for(LOOK_NS);
    }
    if (files_fault == FILES_SLOW) {
        pause_for(SLOW_NS);
    }
    if (files_fault == FILES_FULL && takes_space) {
        errno = ENOSPC;
        return false;
    }
    return true;
}

static int
open_misbehaving(struct SlFiles *files, int folder, const char *name,
                 int flags)
{
    (void)files;
    return SlFiles_System()->type->open(SlFiles_System(), folder, name, flags);
}

static int
lock_misbehaving(struct SlFiles *files, int fd)
{
    (void)files;
    return SlFiles_System()->type->lock(SlFiles_System(), fd);
}

static ssize_t
read_misbehaving(struct SlFiles *files, int fd, void *bytes,
                 size_t length_bytes)
{
    (void)files;
    return SlFiles_System()->type->read(SlFiles_System(), fd, bytes,
                                        length_bytes);
}

static ssize_t
write_misbehaving(struct SlFiles *files, int fd, const void *bytes,
                  size_t length_bytes)
{
    (void)files;
    return misbehave(true) ? SlFiles_System()->type->write(
                                 SlFiles_System(), fd, bytes, length_bytes)
                           : -1;
}

static int
sync_misbehaving(struct SlFiles *files, int fd)
{
    (void)files;
    return misbehave(false)
               ? SlFiles_System()->type->sync(SlFiles_System(), fd)
               : -1;
}

static int
truncate_misbehaving(struct SlFiles *files, int fd, off_t length_bytes)
{
    (void)files;
    return SlFiles_System()->type->truncate(SlFiles_System(), fd,
                                            length_bytes);
}

static int
rename_misbehaving(struct SlFiles *files, int folder, const char *from,
                   const char *to)
{
    (void)files;
    return misbehave(false) ? SlFiles_System()->type->rename(SlFiles_System(),
                                                             folder, from, to)
                            : -1;
}

static int
unlink_misbehaving(struct SlFiles *files, int folder, const char *name)
{
    (void)files;
    return SlFiles_System()->type->unlink(SlFiles_System(), folder, name);
}

static int
close_misbehaving(struct SlFiles *files, int fd)
{
    (void)files;
    return SlFiles_System()->type->close(SlFiles_System(), fd);
}

static const struct SlFilesType MISBEHAVING = {
    .open = open_misbehaving,
    .lock = lock_misbehaving,
    .read = read_misbehaving,
    .write = write_misbehaving,
    .sync = sync_misbehaving,
    .truncate = truncate_misbehaving,
    .rename = rename_misbehaving,
    .unlink = unlink_misbehaving,
    .close = close_misbehaving,
};

static void
look(void)
{
    FILE *file = fopen(faults_path, "re");
    char name[16];
    long long clock_ms;

    if (file == NULL) {
        return;
    }
    if (fscanf(file, "files=%15s clock_ms=%lld", name, &clock_ms) == 2) {
        for (int i = 0; i < FILES_FAULTS; i++) {
            if (strcmp(name, FILES_NAMES[i]) == 0) {
                files_fault = i;
            }
        }
        SlClock_SetWallOffset(clock_ms * US_PER_MS);
    }
    fclose(file);
}

static void *
keep_looking(void *unused)
{
    (void)unused;
    for (;;) {
        look();
        pause_for(LOOK_NS);
    }
    return NULL;
}

/// The thread takes no signal: they are the daemon's.
static bool
start_looking(void)
{
    pthread_t thread;
    sigset_t all;
    sigset_t before;
    bool good;

    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    good = pthread_create(&thread, NULL, keep_looking, NULL) == 0;
    pthread_sigmask(SIG_SETMASK, &before, NULL);
    return good;
}

int
main(int argc, char **argv)
{
    struct SlFiles files = {.type = &MISBEHAVING};
    struct SlSettings settings;

    if (argc != 2) {
        fprintf(stderr, "usage: soak_daemon SETTINGS\n");
        return USAGE;
    }
    snprintf(faults_path, sizeof(faults_path), "%s.faults", argv[1]);
    look();
    if (!SlDaemon_LoadSettings(argv[1], &settings)) {
        return USAGE;
    }
    if (!start_looking()) {
        fprintf(stderr, "soak_daemon: cannot start a thread\n");
        return USAGE;
    }
    return SlDaemon_Serve(argv[1], &settings, &files);
}
